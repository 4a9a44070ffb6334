// Package e2e tests the guarantees of the system with real processes: each VM,
// the platform and each endpoint is a process of its own, and failures are
// signals sent to them.
package e2e

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chivefield/chivefield/history"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/standin"
)

const (
	peerKey     = "peer-key-of-the-tests"
	operatorKey = "operator-key-of-the-tests"
	apiKey      = "api-key-of-karrawong"
	pollEvery   = 10 * time.Millisecond
)

var binary string

// Environment variables for tracing a failure.
const (
	// binaryVariable names a program to run in place of building one, which
	// takes minutes on a busy machine.
	binaryVariable = "CHIVEFIELD_TEST_BINARY"
	// logsVariable names a directory that keeps the whole log of each process.
	logsVariable = "CHIVEFIELD_TEST_LOGS"
)

// TestMain builds the binary once; the tests start it as processes.
func TestMain(m *testing.M) {
	if binary = os.Getenv(binaryVariable); binary != "" {
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "chivefield")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "chivefield")
	args := []string{"build", "-o", binary}
	if raceEnabled {
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, "../cmd/chivefield")...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a process started by a test.
type process struct {
	cmd *exec.Cmd
	log *bytes.Buffer
}

// vm is the process of one VM.
type vm struct {
	process
	id                        int
	domain                    string
	callers, peers, operators string
	settings                  string
}

// deployment is a set of processes under test.
type deployment struct {
	t        *testing.T
	lease    time.Duration
	platform string
	engines  []string
	service  string
	vms      []*vm
	relays   map[[2]int]*relay

	mu            sync.Mutex
	seen          []history.Observation
	nonIdempotent map[string]bool // keys of requests that are not idempotent
}

// Ports are taken from below the kernel's range for outgoing connections.
// Otherwise a port that was found free could be taken again before its process
// listens on it.
const (
	firstPort = 15000
	lastPort  = 30000
)

var nextPort = firstPort + os.Getpid()%1000*10

func freePort(t *testing.T) string {
	for range lastPort - firstPort {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
	t.Fatal("no port is free")
	return ""
}

func startProcess(t *testing.T, args ...string) process {
	p := process{cmd: exec.Command(binary, args...), log: &bytes.Buffer{}}
	out := io.Writer(p.log)
	if f := keptLog(t, args); f != nil {
		out = io.MultiWriter(p.log, f)
	}
	p.cmd.Stderr = out
	p.cmd.Stdout = out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if t.Failed() {
			t.Logf("%v\n%s", args, tail(p.log.String()))
		}
	})
	return p
}

// keptLog returns a file for a process's whole log, or nil if none is wanted.
func keptLog(t *testing.T, args []string) *os.File {
	dir := os.Getenv(logsVariable)
	if dir == "" {
		return nil
	}
	name := fmt.Sprintf("%s-%s.log", t.Name(), filepath.Base(strings.Join(args[:min(len(args), 4)], "-")))
	f, err := os.OpenFile(filepath.Join(dir, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Log(err)
		return nil
	}
	t.Cleanup(func() { _ = f.Close() })
	return f
}

func tail(s string) string {
	lines := strings.Split(s, "\n")
	return strings.Join(lines[max(0, len(lines)-40):], "\n")
}

// deploy starts a platform, two engines, a service and one VM for each given
// failure domain, and submits a configuration.
func deploy(t *testing.T, domains ...string) *deployment {
	return deployWithLease(t, longLease, domains...)
}

// Leases. The long one outlasts any pause of a busy machine, so that the death
// of a killed VM is always proven before its lease expires. The short one is
// for tests that wait for a lease to expire.
const (
	longLease  = 30 * time.Second
	shortLease = time.Second
)

func deployWithLease(t *testing.T, lease time.Duration, domains ...string) *deployment {
	d := &deployment{t: t, lease: lease, platform: freePort(t), service: freePort(t), nonIdempotent: map[string]bool{}, relays: map[[2]int]*relay{}}
	startProcess(t, "standin", "platform", "--listen", d.platform)
	startProcess(t, "standin", "service", "--listen", d.service)
	for i := range 2 {
		addr := freePort(t)
		d.engines = append(d.engines, addr)
		startProcess(t, "standin", "engine", "--listen", addr, "--name", fmt.Sprint("engine", i), "--output-speed", "200", "--slots", "64")
	}
	for i, domain := range domains {
		d.vms = append(d.vms, &vm{id: i + 1, domain: domain, callers: freePort(t), peers: freePort(t), operators: freePort(t)})
	}
	d.relayPeers()
	for _, v := range d.vms {
		d.writeSettings(v)
		d.startVM(v)
	}
	for _, addr := range append([]string{d.platform, d.service}, d.engines...) {
		waitUntil(func() bool { return dialable(addr) })
	}
	d.submit(d.document(0))
	for _, v := range d.vms {
		d.waitReady(v)
		d.waitBackedUp(v)
	}
	return d
}

// waitBackedUp waits until the death of any member of a VM's cell would lose no
// claim and the VM knows that it is the first process of its domain.
func (d *deployment) waitBackedUp(v *vm) {
	waitUntil(func() bool {
		_, body := d.callOperator(v, http.MethodGet, "/status", "")
		var s struct {
			Claims struct{ Members, Backed, Lost int }
		}
		_ = json.Unmarshal([]byte(body), &s)
		return s.Claims.Members > 0 && s.Claims.Backed == s.Claims.Members && s.Claims.Lost == 0
	})
}

func dialable(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

// waitUntil polls without a timeout. The timeout of the test run is the only
// bound, so that a slow machine does not fail a test.
func waitUntil(ok func() bool) {
	for !ok() {
		time.Sleep(pollEvery)
	}
}

func (d *deployment) startVM(v *vm) { v.process = startProcess(d.t, "serve", v.settings) }

func (d *deployment) writeSettings(v *vm) {
	var b strings.Builder
	fmt.Fprintf(&b, "[vm]\nid = %d\nname = \"vm%d\"\nfailure_domain = %q\n", v.id, v.id, v.domain)
	fmt.Fprintf(&b, "[listen]\ncallers = %q\npeers = %q\noperators = %q\n", v.callers, v.peers, v.operators)
	fmt.Fprintf(&b, "[platform]\naddress = %q\npoll_interval = \"20ms\"\n[keys]\npeer = %q\noperator = %q\n", d.platform, peerKey, operatorKey)
	fmt.Fprintf(&b, "[claims]\nlease = %q\ntrust_connection_close = true\n[shutdown]\nbound = \"60s\"\n", d.lease.String())
	for _, p := range d.vms {
		if p != v {
			fmt.Fprintf(&b, "[[peers]]\nid = %d\nname = \"vm%d\"\nfailure_domain = %q\naddress = %q\n", p.id, p.id, p.domain, d.relays[[2]int{v.id, p.id}].addr)
		}
	}
	v.settings = filepath.Join(d.t.TempDir(), fmt.Sprintf("vm%d.toml", v.id))
	if err := os.WriteFile(v.settings, []byte(b.String()), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// document returns a configuration with both kinds of endpoints, based on a
// version.
func (d *deployment) document(base uint64) string {
	sum := sha256.Sum256([]byte(apiKey))
	var b strings.Builder
	fmt.Fprintf(&b, "schema_version = 1\nbase_version = %d\nauthor = \"test\"\nrecord_ttl = \"15m\"\n", base)
	b.WriteString("[[tiers]]\nnumber = 0\nname = \"high\"\n[[tiers]]\nnumber = 1\nname = \"low\"\n")
	fmt.Fprintf(&b, "[[organisations]]\nname = \"karrawong\"\nkey_sha256 = %q\n", hex.EncodeToString(sum[:]))
	b.WriteString("[[kinds]]\nname = \"check\"\ndeadline = \"60s\"\nmodel = \"m\"\nexpected_output = 50\n")
	b.WriteString("[[kinds]]\nname = \"draft\"\ndeadline = \"60s\"\nmodel = \"m\"\nexpected_output = 50\n")
	b.WriteString("[[kinds]]\nname = \"invoice\"\ndeadline = \"10s\"\npath = \"/invoice\"\nnon_idempotent = true\n")
	b.WriteString("[[assignments]]\norganisation = \"*\"\nkind = \"draft\"\ntier = 1\n[[assignments]]\norganisation = \"*\"\nkind = \"*\"\ntier = 0\n")
	for i, e := range d.engines {
		fmt.Fprintf(&b, "[[endpoints]]\nname = \"engine%d\"\naddress = %q\nfailure_domain = \"a\"\nmodels = [\"m\"]\nchecks_fencing = true\nslots = 64\nprefill_tokens_per_s = 8000\noutput_tokens_per_s = 100\nprefill_price = 1.0\noutput_price = 2.0\n", i, e)
	}
	fmt.Fprintf(&b, "[[endpoints]]\nname = \"service\"\naddress = %q\nfailure_domain = \"a\"\nkinds = [\"invoice\"]\nslots = 64\n", d.service)
	return b.String()
}

// submit submits a document to the first VM until it is accepted.
func (d *deployment) submit(doc string) {
	waitUntil(func() bool {
		status, body := d.callOperator(d.vms[0], http.MethodPost, "/config", doc)
		if status != http.StatusOK {
			d.t.Log(status, body)
		}
		return status == http.StatusOK
	})
}

func (d *deployment) callOperator(v *vm, method, path, body string) (int, string) {
	req, _ := http.NewRequest(method, "http://"+v.operators+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	out, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(out)
}

func (d *deployment) waitReady(v *vm) {
	waitUntil(func() bool {
		resp, err := http.Get("http://" + v.callers + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (d *deployment) setFaults(addr string, faults any) {
	body, _ := json.Marshal(faults)
	resp, err := http.Post("http://"+addr+"/control", "application/json", bytes.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// runCounts returns, over all endpoints, how often each request was run.
func (d *deployment) runCounts() map[string]int {
	total := map[string]int{}
	for _, addr := range append([]string{d.service}, d.engines...) {
		resp, err := http.Get("http://" + addr + "/control/ran")
		if err != nil {
			d.t.Fatal(err)
		}
		part := map[string]int{}
		_ = json.NewDecoder(resp.Body).Decode(&part)
		_ = resp.Body.Close()
		for k, n := range part {
			total[k] += n
		}
	}
	return total
}

// callerRequest is one attempt of a request by a caller.
type callerRequest struct {
	id      string
	kind    string
	attempt int // 0: not declared
	tokens  int
	stream  bool
	prompt  string
}

// send sends a request to a VM and records what the caller received.
func (d *deployment) send(v *vm, s callerRequest) history.Observation {
	key := "karrawong/" + s.id
	seen := history.Observation{Key: key, Attempt: s.attempt, Want: standin.ResponseText(key, s.tokens)}
	path := "/v1/completions"
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":%t}`, s.prompt+s.id, s.tokens, s.stream)
	if s.kind == "invoice" {
		path, body = "/v1/services/invoice", s.id
		seen.Want = fmt.Sprintf("{\"body\":%q,\"path\":\"/invoice\",\"service\":\"service\"}\n", s.id)
	}
	req, _ := http.NewRequest(http.MethodPost, "http://"+v.callers+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Chivefield-Request-Id", s.id)
	if s.kind != "invoice" {
		req.Header.Set("Chivefield-Kind", s.kind)
	}
	if s.attempt > 0 {
		req.Header.Set("Chivefield-Attempt", fmt.Sprint(s.attempt))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		seen.ConnectionLost = true
	} else {
		readResponse(resp, &seen, s)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen = append(d.seen, seen)
	d.nonIdempotent[key] = s.kind == "invoice"
	return seen
}

func readResponse(resp *http.Response, seen *history.Observation, s callerRequest) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		var out struct{ Outcome request.Outcome }
		_ = json.Unmarshal(body, &out)
		seen.Outcome = out.Outcome
		seen.ConnectionLost = err != nil || out.Outcome == ""
		return
	}
	if err != nil {
		seen.ConnectionLost = true
		return
	}
	seen.Outcome = request.Answered
	switch {
	case s.kind == "invoice":
		seen.Text = string(body)
	case s.stream:
		seen.Text = streamedText(string(body))
	default:
		seen.Text = choiceText(body)
	}
}

func choiceText(data []byte) string {
	var c struct{ Choices []struct{ Text string } }
	if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text
}

func streamedText(body string) string {
	text := ""
	for line := range strings.Lines(body) {
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok && data != "[DONE]" {
			text += choiceText([]byte(data))
		}
	}
	return text
}

// verify checks everything that the callers received against the guarantees.
func (d *deployment) verify(mustFinish bool) {
	d.t.Helper()
	h := history.History{Observations: d.seen, RunCounts: d.runCounts(), NonIdempotent: d.nonIdempotent, RequireGraceful: mustFinish}
	for _, b := range h.Check() {
		d.t.Error(b)
	}
}

// logOutcomes logs the number of attempts for each outcome.
func (d *deployment) logOutcomes() {
	count := map[request.Outcome]int{}
	for _, s := range d.seen {
		count[s.Outcome]++
	}
	d.t.Logf("%d attempts: %v (no outcome: connection broken)", len(d.seen), count)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// versionOf returns the current configuration version from a status.
func versionOf(status string) uint64 {
	var s struct{ Version uint64 }
	_ = json.Unmarshal([]byte(status), &s)
	return s.Version
}
