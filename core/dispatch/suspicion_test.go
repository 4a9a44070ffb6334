package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/suspect"
)

// newEngineScheduler returns a scheduler with n engines of four slots.
func newEngineScheduler(n int) *Scheduler {
	s := New("vm", "a")
	var list []*members.Endpoint
	for i := range n {
		list = append(list, &members.Endpoint{ID: fmt.Sprint("e", i), Service: "engine", FailureDomain: "a", Slots: 4})
	}
	s.SetEndpoints(0, "engine", list, true)
	return s
}

func suspectJob(handle uint64, request byte, c Suspicion) Job {
	return Job{
		Handle: handle, Service: "engine", PromptTokens: 100, ExpectedEvents: 10, Objective: 10 * time.Second, AbandonAt: 20 * time.Second,
		Suspect: suspect.Digest{request}, Suspicion: c,
	}
}

// submitJob submits a job and returns the id of its endpoint; empty if it stays queued.
func submitJob(s *Scheduler, j Job) string {
	for _, d := range s.Submit(0, j) {
		if d.Handle == j.Handle && d.Endpoint != nil {
			return d.Endpoint.ID
		}
	}
	return ""
}

// Guards against innocent requests that are taken for the cause of an endpoint's termination:
// after three terminations more than one request had been at all three. The request at fault
// and those that ran beside it are retried together, and placement by least load puts them on
// the same endpoint again. Suspects run apart while there is capacity elsewhere.
func TestSuspectsRunApart(t *testing.T) {
	is := is.New(t)
	s := newEngineScheduler(4)
	got := make(map[string]int)
	for i := range uint64(4) {
		got[submitJob(s, suspectJob(i, byte(i), Suspected))]++
	}
	is.Equal(len(got), 4)
	// There is no fifth engine: sharing one is better than not running.
	is.True(submitJob(s, suspectJob(9, 9, Suspected)) != "")
}

// A quarantined request runs one copy at a time, where few others run and no other quarantined
// request does, and other requests avoid its endpoint. A copy that had to wait is placed when
// it ends.
func TestQuarantinedRequestsRunAlone(t *testing.T) {
	is := is.New(t)
	s := newEngineScheduler(6)
	for i := range uint64(4) {
		is.True(submitJob(s, suspectJob(i, 0, Unsuspected)) != "")
	}
	busy := make(map[string]int)
	for _, r := range s.running {
		busy[r.ep.ID]++
	}
	first := submitJob(s, suspectJob(10, 1, Quarantined))
	for id, n := range busy {
		is.True(busy[first] <= n || id == first)
	}
	is.Equal(submitJob(s, suspectJob(11, 1, Quarantined)), "")
	second := submitJob(s, suspectJob(12, 2, Quarantined))
	is.True(second != "" && second != first)
	for i := range uint64(4) {
		is.True(submitJob(s, suspectJob(20+i, 0, Unsuspected)) != first)
	}
	var next string
	for _, d := range s.EndRun(time.Second, 10, Broken) {
		if d.Handle == 11 {
			next = d.Endpoint.ID
		}
	}
	is.True(next != "")
	// The counts of suspects return to zero.
	for h := range s.running {
		s.EndRun(2*time.Second, h, Answered)
	}
	for _, e := range s.service("engine").list {
		is.Equal(e.suspectRuns, 0)
		is.Equal(e.quarantinedRuns, 0)
	}
	is.Equal(len(s.quarantinedRuns), 0)
}

// With the mechanism disabled, suspects are placed like all other requests.
func TestQuarantineDisabled(t *testing.T) {
	is := is.New(t)
	s := New("vm", "a")
	off, err := mechanism.Parse([]string{"trials"})
	is.NoErr(err)
	s.Disable(off)
	s.SetEndpoints(0, "engine", []*members.Endpoint{{ID: "e", Service: "engine", FailureDomain: "a", Slots: 4}}, true)
	is.True(submitJob(s, suspectJob(1, 1, Quarantined)) != "")
	is.True(submitJob(s, suspectJob(2, 1, Quarantined)) != "")
}
