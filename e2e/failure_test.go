package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/history"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/standin"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 40

// sendUntilAnswered sends a request and retries it, each time at the next VM,
// until it is answered or cancelled, as a careful caller would.
func (d *deployment) sendUntilAnswered(vms []*vm, first int, s callerRequest) history.Observation {
	var seen history.Observation
	firstAttempt := s.attempt
	for i := range maxAttempts {
		if firstAttempt > 0 {
			s.attempt = firstAttempt + i
		}
		seen = d.send(vms[(first+i)%len(vms)], s)
		if seen.Outcome == request.Answered || seen.Outcome == request.Cancelled {
			return seen
		}
		time.Sleep(200 * time.Millisecond)
	}
	return seen
}

// sendConcurrently sends count requests at once and waits for all of them. It
// calls fault while they are in progress.
func (d *deployment) sendConcurrently(vms []*vm, count int, request func(i int) callerRequest, fault func()) []history.Observation {
	var wg sync.WaitGroup
	last := make([]history.Observation, count)
	for i := range count {
		wg.Go(func() { last[i] = d.sendUntilAnswered(vms, i, request(i)) })
	}
	fault()
	wg.Wait()
	return last
}

// waitForRuns waits until the endpoints have run at least n requests.
func (d *deployment) waitForRuns(n int) {
	waitUntil(func() bool { return len(d.runCounts()) >= n })
}

func checkRequest(i int) callerRequest {
	return callerRequest{id: fmt.Sprint("id", i), kind: "check", attempt: 1, tokens: 150, stream: true}
}

// TestKill kills a VM while it streams responses and has requests queued. It
// guards against a request that runs twice, that is lost to a caller that
// retries it, or whose response is truncated unnoticed. The callers of the
// killed VM retry at the others; then the VM is restarted and must serve.
func TestKill(t *testing.T) {
	is := is.New(t)
	d := deploy(t, "a", "a", "b", "b")
	last := d.sendConcurrently(d.vms, 120, checkRequest, func() {
		d.waitForRuns(60)
		d.vms[0].signal(syscall.SIGKILL)
	})
	for _, s := range last {
		is.Equal(s.Outcome, request.Answered) // no request is lost to a caller that retries it
	}
	d.startVM(d.vms[0])
	d.waitReady(d.vms[0])
	is.Equal(d.send(d.vms[0], callerRequest{id: "after", kind: "check", attempt: 1, tokens: 5}).Outcome, request.Answered)
	d.logOutcomes()
	d.verify(false)
}

// TestPausePastLease pauses a VM beyond its lease and resumes it while it
// assumes that it still holds its keys. It guards against the VM dispatching
// requests that others have served meanwhile.
func TestPausePastLease(t *testing.T) {
	d := deployWithLease(t, shortLease, "a", "a")
	paused, other := d.vms[0], d.vms[1:]
	d.sendConcurrently(d.vms, 30, checkRequest, func() { d.waitForRuns(10) })
	paused.signal(syscall.SIGSTOP)
	last := d.sendConcurrently(other, 30, func(i int) callerRequest { return checkRequest(100 + i) }, func() {
		d.waitForRuns(31)
		paused.signal(syscall.SIGCONT)
	})
	for _, s := range last {
		if s.Outcome != request.Answered {
			t.Errorf("%s ended as %s", s.Key, s.Outcome)
		}
	}
	d.logOutcomes()
	d.verify(false)
}

// TestTerm sends SIGTERM to a VM under load. It guards against a response in
// progress being cut off because a listener, stream or process ends too early.
func TestTerm(t *testing.T) {
	is := is.New(t)
	d := deploy(t, "a", "a")
	v := d.vms[0]
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() { d.send(v, checkRequest(i)) })
	}
	d.waitForRuns(60)
	v.signal(syscall.SIGTERM)
	wg.Wait()
	is.NoErr(v.cmd.Wait()) // it exits by itself, with status 0
	d.logOutcomes()
	d.verify(true)
}

// TestCheckerDetectsKill is TestTerm with SIGKILL: callers are cut off, and the
// checker must report that.
func TestCheckerDetectsKill(t *testing.T) {
	d := deploy(t, "a", "a")
	v := d.vms[0]
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() { d.send(v, checkRequest(i)) })
	}
	d.waitForRuns(10)
	v.signal(syscall.SIGKILL)
	wg.Wait()
	h := history.History{Observations: d.seen, RunCounts: d.runCounts(), RequireGraceful: true}
	if len(h.Check()) == 0 {
		t.Fatal("the checker passed callers that were cut off")
	}
}

// TestResponseLost makes endpoints run a request and lose the response. It
// guards against a second run. A model's stream is resumed; a call to a plain
// service stays unknown, however often it is retried.
func TestResponseLost(t *testing.T) {
	is := is.New(t)
	d := deploy(t, "a", "a", "b", "b")
	for _, e := range d.engines {
		d.setFaults(e, standin.EngineFaults{CutAfter: 20})
	}
	d.setFaults(d.service, standin.ServiceFaults{LoseResponses: true})
	go func() {
		d.waitForRuns(1)
		for _, e := range d.engines {
			d.setFaults(e, standin.EngineFaults{})
		}
	}()
	is.Equal(d.send(d.vms[0], checkRequest(1)).Outcome, request.Answered) // resumed at the engine
	for i := range 6 {
		s := callerRequest{id: "bill", kind: "invoice", attempt: i + 1}
		is.Equal(d.send(d.vms[i%4], s).Outcome, request.Unknown) // never run again
	}
	is.Equal(d.runCounts()["karrawong/bill"], 1)
	d.verify(false)
}

// TestPlatformDown makes the platform unavailable for the whole test while a VM
// is killed and restarted. Claims must move without the log, and the new
// process must get the configuration from its peers.
func TestPlatformDown(t *testing.T) {
	is := is.New(t)
	d := deploy(t, "a", "a", "b", "b")
	d.setFaults(d.platform, standin.PlatformFaults{Down: true})
	last := d.sendConcurrently(d.vms, 60, checkRequest, func() {
		d.waitForRuns(20)
		d.vms[1].signal(syscall.SIGKILL)
		_ = d.vms[1].cmd.Wait()
		d.startVM(d.vms[1])
		d.waitReady(d.vms[1])
	})
	for _, s := range last {
		is.Equal(s.Outcome, request.Answered)
	}
	d.logOutcomes()
	d.verify(false)
}

// TestDomainPartition partitions two failure domains: every packet between them
// is lost. Each domain serves its first attempts. What needs the other domain
// is unknown and is resolved once the partition has healed.
func TestDomainPartition(t *testing.T) {
	is := is.New(t)
	d := deployWithLease(t, shortLease, "a", "a", "b", "b")
	setPartition := func(on bool) {
		for _, a := range d.vms[:2] {
			for _, b := range d.vms[2:] {
				d.setPartitioned(a, b, on)
			}
		}
	}
	setPartition(true)
	for i := range 8 {
		is.Equal(d.send(d.vms[i%4], checkRequest(i)).Outcome, request.Answered) // first attempts are served in both domains
	}
	undeclared := callerRequest{id: "undeclared", kind: "check", tokens: 5}
	is.Equal(d.send(d.vms[0], undeclared).Outcome, request.Unknown)
	is.Equal(d.send(d.vms[3], undeclared).Outcome, request.Unknown)
	setPartition(false)
	is.Equal(d.sendUntilAnswered(d.vms, 0, undeclared).Outcome, request.Answered)
	for i := range 8 {
		s := checkRequest(i)
		s.attempt = 2
		is.Equal(d.sendUntilAnswered(d.vms, i+2, s).Outcome, request.Answered) // found from the other domain
	}
	d.verify(false)
}

// TestSameIDEverywhere sends a thousand ids, each to all VMs at once and
// without an attempt number. Each id must run once, and each attempt must get
// the same complete response.
func TestSameIDEverywhere(t *testing.T) {
	const ids, maxConcurrent = 1000, 50
	d := deploy(t, "a", "a", "b", "b")
	slots := make(chan struct{}, maxConcurrent)
	var wg sync.WaitGroup
	for i := range ids {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			var each sync.WaitGroup
			for _, v := range d.vms {
				each.Go(func() { d.send(v, callerRequest{id: fmt.Sprint("id", i), kind: "check", tokens: 3}) })
			}
			each.Wait()
		})
	}
	wg.Wait()
	if n := len(d.runCounts()); n != ids {
		t.Errorf("%d of %d ids ran", n, ids)
	}
	d.logOutcomes()
	d.verify(true)
}

// TestConfigurationRace submits changes of the same base version at all VMs at
// once while the log loses its responses. Exactly one change must be accepted,
// and all VMs must end with the same new version.
func TestConfigurationRace(t *testing.T) {
	is := is.New(t)
	d := deploy(t, "a", "a", "b", "b")
	d.setFaults(d.platform, standin.PlatformFaults{LoseResponses: true})
	_, before := d.callOperator(d.vms[0], http.MethodGet, "/status", "")
	base := versionOf(before)
	var wg sync.WaitGroup
	statuses := make([]int, len(d.vms))
	for i, v := range d.vms {
		wg.Go(func() { statuses[i], _ = d.callOperator(v, http.MethodPost, "/config", d.document(base)) })
	}
	wg.Wait()
	accepted := 0
	for _, status := range statuses {
		if status == http.StatusOK {
			accepted++
		} else {
			is.Equal(status, http.StatusConflict)
		}
	}
	is.Equal(accepted, 1) // the log's order accepts one
	versions := map[uint64]bool{}
	for _, v := range d.vms {
		waitUntil(func() bool { _, s := d.callOperator(v, http.MethodGet, "/status", ""); return versionOf(s) > base })
		_, s := d.callOperator(v, http.MethodGet, "/status", "")
		versions[versionOf(s)] = true
	}
	is.Equal(len(versions), 1) // the same version on all VMs
}

// TestDeclaredDead guards against a VM that goes on with claims that others
// have taken over, after the platform's list dropped it while it was paused.
// The daemon recorded that it had been declared dead but went on (found by code
// review). It must exit by itself, with an error for its supervisor.
func TestDeclaredDead(t *testing.T) {
	is := is.New(t)
	d := deployWithLease(t, shortLease, "a", "a")
	paused, other := d.vms[0], d.vms[1]
	paused.signal(syscall.SIGSTOP)
	body := strings.NewReader(`[{"id":1,"state":"gone"}]`)
	resp, err := http.Post("http://"+d.platform+"/control/vms", "application/json", body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	waitUntil(func() bool {
		_, status := d.callOperator(other, http.MethodGet, "/status", "")
		return strings.Contains(status, `"Members":0`)
	})
	paused.signal(syscall.SIGCONT)
	is.True(paused.cmd.Wait() != nil) // it exits with a status other than 0
	is.Equal(d.send(other, callerRequest{id: "after", kind: "check", attempt: 1, tokens: 3}).Outcome, request.Answered)
	d.verify(false)
}
