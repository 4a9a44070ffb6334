package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/members"
)

// Guards against late requests that are held until their time limit to find out whether there is
// capacity for them. Load: 50 requests a second at a plain service that takes 2.5.
func TestLateJobsAreNotHeldUntilTheirLimit(t *testing.T) {
	const limit, tick = 4 * time.Second, 20 * time.Millisecond
	is := is.New(t)
	s := New("vm", "a")
	ep := &members.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:1", Slots: 4}
	s.SetEndpoints(0, "s", []*members.Endpoint{ep}, false)
	s.SetLimit(0, EndpointHash(ep.Key()), 2.5)
	arrived := make(map[uint64]time.Duration)
	placed, refused, longest := 0, 0, time.Duration(0)
	for now := time.Duration(0); now < 20*time.Second; now += tick {
		s.SetCoverage(now, 1, 1)
		handle := uint64(now/tick) + 1
		arrived[handle] = now
		decisions := s.Submit(now, Job{Handle: handle, Service: "s", Objective: now + 300*time.Millisecond, AbandonAt: now + limit, Deadline: now + limit})
		for _, d := range append(decisions, s.Tick(now)...) {
			if d.Endpoint != nil {
				placed++
				s.EndRun(now, d.Handle, Answered)
				continue
			}
			refused++
			longest = max(longest, now-arrived[d.Handle])
		}
	}
	t.Logf("%d placed, %d refused, after %v at most", placed, refused, longest)
	is.True(placed > 20)
	is.True(refused > 500)
	is.True(longest <= limit*6/10)
}
