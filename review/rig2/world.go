// Package rig2 starts the project's entry daemon as separate processes beside stand-ins of the platform's store and
// servers, for the cases of the second review. Everything listens on loopback addresses.
package rig2

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/chivefield/chivefield/platform/fake"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	NotRun  = 2
	host    = "edge.example"
	startup = 10 * time.Second
)

// Host is the host of all routes.
const Host = host

// Recorder writes what was sent, answered and run, with the time since its start.
type Recorder struct {
	mu    sync.Mutex
	file  io.Writer
	start time.Time
}

// NewRecorder returns a recorder that writes to a file.
func NewRecorder(file io.Writer) *Recorder {
	return &Recorder{file: file, start: time.Now()}
}

// Printf writes a line to the file and to standard output.
func (r *Recorder) Printf(format string, args ...any) {
	_, _ = io.WriteString(os.Stdout, r.Detailf(format, args...))
}

// Detailf writes a line to the file only, and returns it.
func (r *Recorder) Detailf(format string, args ...any) string {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = io.WriteString(r.file, line)
	return line
}

// started holds all VMs that were started.
var started []*VM

// Fatal ends the case as one that could not run.
func Fatal(err error) {
	for _, vm := range started {
		vm.Signal(os.Kill)
	}
	_, _ = fmt.Fprintln(os.Stderr, "case not run:", err)
	os.Exit(NotRun)
}

// VM is an entry daemon in a process of its own.
type VM struct {
	Name, Domain, IP      string
	Callers, Ready, Peers string
	settings, log         string
	program               string
	cmd                   *exec.Cmd
	exited                chan struct{}
}

// used holds the ports that were given out.
var used = make(map[int]bool)

// FreePort returns a port that is free on an address, for TCP and UDP, and was not given out before.
func FreePort(ip string) int {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			Fatal(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, uerr := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, port))
		_ = l.Close()
		if uerr != nil {
			continue
		}
		_ = u.Close()
		if !used[port] {
			used[port] = true
			return port
		}
	}
	Fatal(fmt.Errorf("no free port on %s", ip))
	return 0
}

// Zones are the zones of the deployment.
var Zones = []string{"kewdale-a", "kewdale-b", "malaga", "osborne"}

// firstHost is the last number of the loopback address before that of the first VM, vms how many there are. Each has an
// address of its own, so that no outgoing channel takes its ports.
const firstHost = 10

var vms int

// NewVM writes the settings of a VM, with the figures of the small deployment karrawong-perth.
func NewVM(dir, program, name, domain, store string, firstStart bool) *VM {
	vms++
	ip := fmt.Sprintf("127.0.0.%d", firstHost+vms)
	vm := &VM{Name: name, Domain: domain, IP: ip, program: program}
	vm.Callers, vm.Ready = fmt.Sprintf("%s:%d", ip, FreePort(ip)), fmt.Sprintf("%s:%d", ip, FreePort(ip))
	vm.Peers = fmt.Sprintf("%s:%d", ip, FreePort(ip))
	vm.settings, vm.log = filepath.Join(dir, name+".toml"), filepath.Join(dir, name+".log")
	vm.WriteSettings(store, firstStart)
	return vm
}

// WriteSettings writes the VM's settings file.
func (vm *VM) WriteSettings(store string, firstStart bool) {
	s := fmt.Sprintf(`[vm]
name = %q
failure_domain = %q
first_start = %t

[listen]
callers = %q
ready = %q
peers = %q

[platform]
address = %q

[limits]
memory_mb = 284
max_descriptors = 4100
cpu_share = 0.4
link_mbps = 1000.0

[bounds]
config_in_force = "2000ms"
drain = "2000ms"
grace = "8s"
retry_ratio = 0.2
retry_slack = 56
retry_window = "10s"
allowance_window = "8s"
allowance_over = 0.1
allowance_slack = 140000
`, vm.Name, vm.Domain, firstStart, vm.Callers, vm.Ready, vm.Peers, store)
	for _, z := range Zones {
		s += fmt.Sprintf("[[failure_domains]]\nname = %q\nregion = \"wa-perth\"\n", z)
	}
	if err := os.WriteFile(vm.settings, []byte(s), 0o600); err != nil {
		Fatal(err)
	}
}

// Start starts the process.
func (vm *VM) Start() {
	log, err := os.OpenFile(vm.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		Fatal(err)
	}
	vm.cmd = exec.Command(vm.program)
	vm.cmd.Env = append(os.Environ(), "CHIVEFIELD_SETTINGS="+vm.settings)
	vm.cmd.Stdout, vm.cmd.Stderr = log, log
	if err := vm.cmd.Start(); err != nil {
		Fatal(err)
	}
	started = append(started, vm)
	exited := make(chan struct{})
	vm.exited = exited
	cmd := vm.cmd
	go func() { _ = cmd.Wait(); _ = log.Close(); close(exited) }()
}

// Signal sends a signal to the process.
func (vm *VM) Signal(s os.Signal) {
	if vm.cmd != nil && vm.cmd.Process != nil {
		_ = vm.cmd.Process.Signal(s)
	}
}

// Exited is closed once the process has ended.
func (vm *VM) Exited() <-chan struct{} { return vm.exited }

// Kill ends the process and waits for its end.
func (vm *VM) Kill() {
	if vm.cmd == nil {
		return
	}
	_ = vm.cmd.Process.Kill()
	<-vm.exited
}

// AwaitReady waits until the VM says that it is ready.
func (vm *VM) AwaitReady() {
	for end := time.Now().Add(startup); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if vm.IsReady() {
			return
		}
	}
	Fatal(fmt.Errorf("%s is not ready after %v", vm.Name, startup))
}

// IsReady asks the VM whether it is ready.
func (vm *VM) IsReady() bool {
	c, err := net.DialTimeout("tcp", vm.Ready, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c, "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	b, _ := io.ReadAll(c)
	return len(b) > 12 && string(b[9:12]) == "200"
}

// NewStore starts a stand-in of the store.
func NewStore() *fake.Store { return fake.NewStore() }
