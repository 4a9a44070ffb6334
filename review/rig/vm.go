package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Program is the daemon, as the deploy file builds it.
const Program = "target/chivefield-entry"

// VMSettings are the settings of one machine.
type VMSettings struct {
	Name, Domain string
	// Domains are all failure domains with their regions.
	Domains map[string]string
	// Store is the address of the platform's store.
	Store string
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
	// MemoryMB defaults to 284, CPUShare to 0.4.
	MemoryMB int
	CPUShare float64
	// DrainMs and ConfigMs default to 2000.
	DrainMs, ConfigMs int
}

// VM is one machine's process.
type VM struct {
	Settings              VMSettings
	Callers, Ready, Peers string
	dir                   string
	cmd                   *exec.Cmd
	done                  chan struct{}
}

const (
	// firstPort and ports are the range of the machines' ports, below those that the system gives to outgoing connections:
	// one of these could take a port between its choice and the start of the machine.
	firstPort = 20000
	ports     = 10000
	portTries = 100
)

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (address string, err error) {
	for range portTries {
		address = "127.0.0.1:" + strconv.Itoa(firstPort+rand.IntN(ports))
		var l net.Listener
		if l, err = net.Listen("tcp", address); err != nil {
			continue
		}
		var p net.PacketConn
		p, err = net.ListenPacket("udp4", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = p.Close()
		return address, nil
	}
	return "", err
}

// NewVM chooses the addresses of a machine. Its files are put into dir.
func NewVM(dir string, s VMSettings) (*VM, error) {
	v := &VM{Settings: s, dir: dir}
	for _, a := range []*string{&v.Callers, &v.Ready, &v.Peers} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	return v, nil
}

// settingsText returns the settings file, as the platform fills in deploy/settings.template.toml for a deployment like
// karrawong-perth.
func (v *VM) settingsText() string {
	s := v.Settings
	orDefault := func(n, d int) int {
		if n == 0 {
			return d
		}
		return n
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[vm]\nname = %q\nfailure_domain = %q\nfirst_start = %t\n", s.Name, s.Domain, s.FirstStart)
	fmt.Fprintf(&b, "[listen]\ncallers = %q\nready = %q\npeers = %q\n", v.Callers, v.Ready, v.Peers)
	fmt.Fprintf(&b, "[platform]\naddress = %q\n", s.Store)
	if s.CPUShare == 0 {
		s.CPUShare = 0.4
	}
	fmt.Fprintf(&b, "[limits]\nmemory_mb = %d\nmax_descriptors = 4100\ncpu_share = %v\nlink_mbps = 1000.0\n", orDefault(s.MemoryMB, 284), s.CPUShare)
	fmt.Fprintf(&b, "[bounds]\nconfig_in_force = \"%dms\"\ndrain = \"%dms\"\ngrace = \"8s\"\n", orDefault(s.ConfigMs, 2000), orDefault(s.DrainMs, 2000))
	b.WriteString("retry_ratio = 0.2\nretry_slack = 56\nretry_window = \"10s\"\nallowance_window = \"8s\"\nallowance_over = 0.1\nallowance_slack = 140000\n")
	for name, region := range s.Domains {
		fmt.Fprintf(&b, "[[failure_domains]]\nname = %q\nregion = %q\n", name, region)
	}
	return b.String()
}

// Start starts a process. Its output is appended to a file in the VM's folder.
func (v *VM) Start() error {
	path := filepath.Join(v.dir, v.Settings.Name+".toml")
	if err := os.WriteFile(path, []byte(v.settingsText()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.dir, v.Settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(Program)
	cmd.Env = []string{Names.SettingsVariable + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	// The process must not outlive the script, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.cmd, v.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (v *VM) Signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

// Exited is closed when the process has ended.
func (v *VM) Exited() <-chan struct{} { return v.done }

// Kill ends the process and waits for its end.
func (v *VM) Kill() {
	if v.cmd == nil {
		return
	}
	v.Signal(syscall.SIGKILL)
	<-v.done
}

// IsReady asks for readiness, as the platform does.
func (v *VM) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.Ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Log returns what the VM's processes have written.
func (v *VM) Log() string {
	b, err := os.ReadFile(filepath.Join(v.dir, v.Settings.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(b)
}
