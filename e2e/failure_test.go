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

// maxSendings bounds the repeats of one request.
const maxSendings = 40

// insist sends a request and repeats it, at the next VM each time, until it is
// answered or cancelled, as a careful caller does.
func (d *deployment) insist(vms []*vm, first int, s sending) history.Observation {
	var seen history.Observation
	firstAttempt := s.attempt
	for i := range maxSendings {
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

// load sends many requests at once and waits for all. While they are under way
// it calls fault.
func (d *deployment) load(vms []*vm, count int, request func(i int) sending, fault func()) []history.Observation {
	var wg sync.WaitGroup
	last := make([]history.Observation, count)
	for i := range count {
		wg.Go(func() { last[i] = d.insist(vms, i, request(i)) })
	}
	fault()
	wg.Wait()
	return last
}

// waitRunning waits until the engines have run at least n requests.
func (d *deployment) waitRunning(n int) {
	waitFor(func() bool { return len(d.ran()) >= n })
}

func check(i int) sending {
	return sending{id: fmt.Sprint("id", i), kind: "check", attempt: 1, tokens: 150, stream: true}
}

// TestKill: VMs are killed with streaming and waiting requests. Symptoms to
// prevent: a check runs twice, is lost to a caller that repeats it, or is cut
// short unnoticed. Sequence: load on four VMs, SIGKILL of one, its callers
// repeat at the others; then the VM is started again and serves.
func TestKill(t *testing.T) {
	is := is.New(t)
	d := deploy(t, "a", "a", "b", "b")
	last := d.load(d.vms, 120, check, func() {
		d.waitRunning(60)
		d.vms[0].signal(syscall.SIGKILL)
	})
	for _, s := range last {
		is.Equal(s.Outcome, request.Answered) // no request is lost to a caller that repeats it
	}
	d.startVM(d.vms[0])
	d.waitReady(d.vms[0])
	is.Equal(d.send(d.vms[0], sending{id: "after", kind: "check", attempt: 1, tokens: 5}).Outcome, request.Answered)
	d.shares()
	d.verify(false)
}

// TestFreeze: a VM is stopped past its lease and goes on later, believing that
// it still holds its keys. Symptom to prevent: it dispatches what the others
// have meanwhile served.
func TestFreeze(t *testing.T) {
	d := deployLeased(t, shortLease, "a", "a")
	frozen, other := d.vms[0], d.vms[1:]
	d.load(d.vms, 30, check, func() { d.waitRunning(10) })
	frozen.signal(syscall.SIGSTOP)
	last := d.load(other, 30, func(i int) sending { return check(100 + i) }, func() {
		d.waitRunning(31)
		frozen.signal(syscall.SIGCONT)
	})
	for _, s := range last {
		if s.Outcome != request.Answered {
			t.Errorf("%s ended as %s", s.Key, s.Outcome)
		}
	}
	d.shares()
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
		wg.Go(func() { d.send(v, check(i)) })
	}
	d.waitRunning(60)
	v.signal(syscall.SIGTERM)
	wg.Wait()
	is.NoErr(v.cmd.Wait()) // it ends by itself, with status 0
	d.shares()
	d.verify(true)
}

// TestControlTerm is TestTerm with a kill instead of a shutdown: callers are cut
// off, and the checker must say so.
func TestControlTerm(t *testing.T) {
	d := deploy(t, "a", "a")
	v := d.vms[0]
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() { d.send(v, check(i)) })
	}
	d.waitRunning(10)
	v.signal(syscall.SIGKILL)
	wg.Wait()
	h := history.History{Observations: d.seen, RunCounts: d.ran(), RequireGraceful: true}
	if len(h.Check()) == 0 {
		t.Fatal("the checker passed callers that were cut off")
	}
}

// TestAnswerLost: endpoints run a request and lose the answer. Symptom to
// prevent: a second run. A model's stream is resumed; a plain call is unknown,
// however often it is asked for.
func TestAnswerLost(t *testing.T) {
	is := is.New(t)
	d := deploy(t, "a", "a", "b", "b")
	for _, e := range d.engines {
		d.control(e, standin.EngineFaults{CutAfter: 20})
	}
	d.control(d.service, standin.ServiceFaults{LoseResponses: true})
	go func() {
		d.waitRunning(1)
		for _, e := range d.engines {
			d.control(e, standin.EngineFaults{})
		}
	}()
	is.Equal(d.send(d.vms[0], check(1)).Outcome, request.Answered) // resumed at the engine
	for i := range 6 {
		s := sending{id: "bill", kind: "invoice", attempt: i + 1}
		is.Equal(d.send(d.vms[i%4], s).Outcome, request.Unknown) // never run again
	}
	is.Equal(d.ran()["karrawong/bill"], 1)
	d.verify(false)
}

// TestPlatformDown: the platform is away for the whole session, and a VM dies
// and comes back meanwhile. Claims move without the log, and the new process
// takes the configuration from its peers.
func TestPlatformDown(t *testing.T) {
	is := is.New(t)
	d := deploy(t, "a", "a", "b", "b")
	d.control(d.platform, standin.PlatformFaults{Down: true})
	last := d.load(d.vms, 60, check, func() {
		d.waitRunning(20)
		d.vms[1].signal(syscall.SIGKILL)
		_ = d.vms[1].cmd.Wait()
		d.startVM(d.vms[1])
		d.waitReady(d.vms[1])
	})
	for _, s := range last {
		is.Equal(s.Outcome, request.Answered)
	}
	d.shares()
	d.verify(false)
}

// TestDomainsCut: two failure domains are cut apart, with every packet between
// them lost. Each serves its first attempts; what needs the other domain is
// unknown, and settled after healing.
func TestDomainsCut(t *testing.T) {
	is := is.New(t)
	d := deployLeased(t, shortLease, "a", "a", "b", "b")
	cut := func(on bool) {
		for _, a := range d.vms[:2] {
			for _, b := range d.vms[2:] {
				d.setCut(a, b, on)
			}
		}
	}
	cut(true)
	for i := range 8 {
		is.Equal(d.send(d.vms[i%4], check(i)).Outcome, request.Answered) // firsts go on in both
	}
	undeclared := sending{id: "undeclared", kind: "check", tokens: 5}
	is.Equal(d.send(d.vms[0], undeclared).Outcome, request.Unknown)
	is.Equal(d.send(d.vms[3], undeclared).Outcome, request.Unknown)
	cut(false)
	is.Equal(d.insist(d.vms, 0, undeclared).Outcome, request.Answered)
	for i := range 8 {
		s := check(i)
		s.attempt = 2
		is.Equal(d.insist(d.vms, i+2, s).Outcome, request.Answered) // found from the other side
	}
	d.verify(false)
}

// TestSameIDEverywhere: a thousand ids are sent at once to all VMs, without an
// attempt number. Each runs once; each sending gets the one whole answer.
func TestSameIDEverywhere(t *testing.T) {
	const ids, atOnce = 1000, 50
	d := deploy(t, "a", "a", "b", "b")
	slots := make(chan struct{}, atOnce)
	var wg sync.WaitGroup
	for i := range ids {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			var each sync.WaitGroup
			for _, v := range d.vms {
				each.Go(func() { d.send(v, sending{id: fmt.Sprint("id", i), kind: "check", tokens: 3}) })
			}
			each.Wait()
		})
	}
	wg.Wait()
	if n := len(d.ran()); n != ids {
		t.Errorf("%d of %d ids ran", n, ids)
	}
	d.shares()
	d.verify(true)
}

// TestConfigurationRace: operators submit changes of one base at all VMs at
// once, with the log losing its answers. One is accepted, every VM has it in
// force, and no VM ever goes back.
func TestConfigurationRace(t *testing.T) {
	is := is.New(t)
	d := deploy(t, "a", "a", "b", "b")
	d.control(d.platform, standin.PlatformFaults{LoseResponses: true})
	_, before := d.operator(d.vms[0], http.MethodGet, "/status", "")
	base := versionOf(before)
	var wg sync.WaitGroup
	accepted := make([]int, len(d.vms))
	for i, v := range d.vms {
		wg.Go(func() { accepted[i], _ = d.operator(v, http.MethodPost, "/config", d.document(base)) })
	}
	wg.Wait()
	ok := 0
	for _, status := range accepted {
		if status == http.StatusOK {
			ok++
		} else {
			is.Equal(status, http.StatusConflict)
		}
	}
	is.Equal(ok, 1) // the log's order lets one through
	versions := map[uint64]bool{}
	for _, v := range d.vms {
		waitFor(func() bool { _, s := d.operator(v, http.MethodGet, "/status", ""); return versionOf(s) > base })
		_, s := d.operator(v, http.MethodGet, "/status", "")
		versions[versionOf(s)] = true
	}
	is.Equal(len(versions), 1) // the same everywhere
}

// TestExpelled: a VM that the platform's list dropped while it was paused goes
// on with claims that others have taken over (found by reading: the daemon noted
// that it was taken for dead, and went on). It must end by itself, with an error
// for its supervisor.
func TestExpelled(t *testing.T) {
	is := is.New(t)
	d := deployLeased(t, shortLease, "a", "a")
	paused, other := d.vms[0], d.vms[1]
	paused.signal(syscall.SIGSTOP)
	body := strings.NewReader(`[{"id":1,"state":"gone"}]`)
	resp, err := http.Post("http://"+d.platform+"/control/vms", "application/json", body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	waitFor(func() bool {
		_, status := d.operator(other, http.MethodGet, "/status", "")
		return strings.Contains(status, `"Members":0`)
	})
	paused.signal(syscall.SIGCONT)
	is.True(paused.cmd.Wait() != nil) // it ends, and not with status 0
	is.Equal(d.send(other, sending{id: "after", kind: "check", attempt: 1, tokens: 3}).Outcome, request.Answered)
	d.verify(false)
}
