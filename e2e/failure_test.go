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

// maxAttempts bounds the repeats of one request.
const maxAttempts = 40

// sendUntilAnswered sends a request and repeats it, at the next VM each time, until it is
// answered or cancelled, as a careful caller does.
func (d *deployment) sendUntilAnswered(vms []*vm, first int, s callerRequest) history.Seen {
	var seen history.Seen
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

// sendConcurrently sends many requests at once and waits for all. While they are under way
// it calls fault.
func (d *deployment) sendConcurrently(vms []*vm, count int, request func(i int) callerRequest, fault func()) []history.Seen {
	var wg sync.WaitGroup
	last := make([]history.Seen, count)
	for i := range count {
		wg.Go(func() { last[i] = d.sendUntilAnswered(vms, i, request(i)) })
	}
	fault()
	wg.Wait()
	return last
}

// waitForRuns waits until the engines have run at least n requests.
func (d *deployment) waitForRuns(n int) {
	waitUntil(func() bool { return len(d.runCounts()) >= n })
}

func checkRequest(i int) callerRequest {
	return callerRequest{id: fmt.Sprint("id", i), kind: "check", attempt: 1, tokens: 150, stream: true}
}

// TestKill: VMs are killed with streaming and waiting requests. Symptoms to
// prevent: a check runs twice, is lost to a caller that repeats it, or is cut
// short unnoticed. Sequence: load on four VMs, SIGKILL of one, its callers
// repeat at the others; then the VM is started again and serves.
func TestKill(t *testing.T) {
	is := is.New(t)
	d := deploy(t, "a", "a", "b", "b")
	last := d.sendConcurrently(d.vms, 120, checkRequest, func() {
		d.waitForRuns(60)
		d.vms[0].signal(syscall.SIGKILL)
	})
	for _, s := range last {
		is.Equal(s.Outcome, request.Answered) // no request is lost to a caller that repeats it
	}
	d.startVM(d.vms[0])
	d.waitReady(d.vms[0])
	is.Equal(d.send(d.vms[0], callerRequest{id: "after", kind: "check", attempt: 1, tokens: 5}).Outcome, request.Answered)
	d.logOutcomes()
	d.verify(false)
}

// TestPausePastLease: a VM is stopped past its lease and goes on later, believing that
// it still holds its keys. Symptom to prevent: it dispatches what the others
// have meanwhile served.
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

// TestTerm: a VM gets SIGTERM under load. Symptom to prevent: an answer in
// flight is cut off. Cause would be a listener, stream or process ended early.
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
	is.NoErr(v.cmd.Wait()) // it ends by itself, with status 0
	d.logOutcomes()
	d.verify(true)
}

// TestCheckerDetectsKill is TestTerm with a kill instead of a shutdown: callers are cut
// off, and the checker must say so.
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
	h := history.History{Seen: d.seen, Ran: d.runCounts(), MustFinish: true}
	if len(h.Check()) == 0 {
		t.Fatal("the checker passed callers that were cut off")
	}
}

// TestResponseLost: endpoints run a request and lose the answer. Symptom to
// prevent: a second run. A model's stream is resumed; a plain call is unknown,
// however often it is asked for.
func TestResponseLost(t *testing.T) {
	is := is.New(t)
	d := deploy(t, "a", "a", "b", "b")
	for _, e := range d.engines {
		d.setFaults(e, standin.EngineFaults{CutAfter: 20})
	}
	d.setFaults(d.service, standin.ServiceFaults{LoseAnswers: true})
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

// TestPlatformDown: the platform is away for the whole session, and a VM dies
// and comes back meanwhile. Claims move without the log, and the new process
// takes the configuration from its peers.
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

// TestDomainPartition: two failure domains are cut apart, with every packet between
// them lost. Each serves its first attempts; what needs the other domain is
// unknown, and settled after healing.
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
		is.Equal(d.send(d.vms[i%4], checkRequest(i)).Outcome, request.Answered) // firsts go on in both
	}
	undeclared := callerRequest{id: "undeclared", kind: "check", tokens: 5}
	is.Equal(d.send(d.vms[0], undeclared).Outcome, request.Unknown)
	is.Equal(d.send(d.vms[3], undeclared).Outcome, request.Unknown)
	setPartition(false)
	is.Equal(d.sendUntilAnswered(d.vms, 0, undeclared).Outcome, request.Answered)
	for i := range 8 {
		s := checkRequest(i)
		s.attempt = 2
		is.Equal(d.sendUntilAnswered(d.vms, i+2, s).Outcome, request.Answered) // found from the other side
	}
	d.verify(false)
}

// TestSameIDEverywhere: a thousand ids are sent at once to all VMs, without an
// attempt number. Each runs once; each sending gets the one whole answer.
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

// TestConfigurationRace: operators submit changes of one base at all VMs at
// once, with the log losing its answers. One is accepted, every VM has it in
// force, and no VM ever goes back.
func TestConfigurationRace(t *testing.T) {
	is := is.New(t)
	d := deploy(t, "a", "a", "b", "b")
	d.setFaults(d.platform, standin.PlatformFaults{LoseAnswers: true})
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
	is.Equal(accepted, 1) // the log's order lets one through
	versions := map[uint64]bool{}
	for _, v := range d.vms {
		waitUntil(func() bool { _, s := d.callOperator(v, http.MethodGet, "/status", ""); return versionOf(s) > base })
		_, s := d.callOperator(v, http.MethodGet, "/status", "")
		versions[versionOf(s)] = true
	}
	is.Equal(len(versions), 1) // the same everywhere
}

// TestDeclaredDead: a VM that the platform's list dropped while it was paused goes
// on with claims that others have taken over (found by reading: the daemon noted
// that it was taken for dead, and went on). It must end by itself, with an error
// for its supervisor.
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
	is.True(paused.cmd.Wait() != nil) // it ends, and not with status 0
	is.Equal(d.send(other, callerRequest{id: "after", kind: "check", attempt: 1, tokens: 3}).Outcome, request.Answered)
	d.verify(false)
}
