package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/members"
)

// setPlainEndpoints are a scheduler's endpoints of a plain service.
func setPlainEndpoints(s *Scheduler, ids ...string) {
	var list []*members.Endpoint
	for _, id := range ids {
		list = append(list, &members.Endpoint{ID: id, Service: "plain", Slots: 2, FailureDomain: "a"})
	}
	s.SetEndpoints(0, "plain", list, false)
}

// submitOne places a job of a plain service, of this VM or another, and returns where; empty if it waits, the
// reason if it is refused.
func submitOne(s *Scheduler, now time.Duration, handle uint64, remote bool) string {
	j := Job{Handle: handle, Service: "plain", Objective: now + time.Second, AbandonAt: now + 2*time.Second, Remote: remote, SenderDomain: "a"}
	out := s.Submit(now, j)
	switch {
	case len(out) == 0:
		return ""
	case out[0].Endpoint == nil:
		return out[0].Reason
	}
	return out[0].Endpoint.ID
}

// Guards against requests of this VM to an endpoint that asked it for rest, also where no other is left.
func TestOwnBackoffIsRespected(t *testing.T) {
	is := is.New(t)
	s := New("vm1", "a")
	setPlainEndpoints(s, "e")
	s.SetBackoff(EndpointHash("e"), time.Second, 0)
	is.Equal(submitOne(s, 0, 1, false), "")
	is.Equal(s.Unavailable(0, "plain"), []uint64{EndpointHash("e")})
	_, why := s.Adopt(0, Job{Handle: 2, Service: "plain"}, EndpointHash("e"), 0, 0)
	is.Equal(why, BackingOff)
	out := s.Tick(time.Second)
	is.Equal(len(out), 1)
	is.Equal(out[0].Endpoint.ID, "e")
}

// Guards against callers that wait in vain for a rest that is longer than their time.
func TestBackoffBeyondCallerTimeoutIsRefused(t *testing.T) {
	is := is.New(t)
	s := New("vm1", "a")
	setPlainEndpoints(s, "e", "f")
	s.SetBackoff(EndpointHash("e"), 5*time.Second, 0)
	s.SetBackoff(EndpointHash("f"), 4*time.Second, 0)
	out := s.Submit(0, Job{Handle: 1, Service: "plain", Objective: time.Second, AbandonAt: 2 * time.Second})
	is.Equal(out[0].Reason, ReasonBackoff)
	is.Equal(out[0].RetryAfter, 4*time.Second)
}

// Guards against requests that each VM has turned away by an endpoint that already asked others for rest, and
// against room that is left where nothing else is free.
func TestEndpointBackingOffPeersIsUsedLast(t *testing.T) {
	is := is.New(t)
	s := New("vm1", "a")
	setPlainEndpoints(s, "e", "f")
	s.SetBackoff(EndpointHash("e"), 0, time.Second)
	for n := range uint64(plainFillFactor * 2) {
		is.Equal(submitOne(s, 0, n+1, n%2 == 0), "f")
	}
	is.Equal(submitOne(s, 0, 10, false), "e")
}

// Guards against a limit that a VM keeps which another VM is first to use, or that asks another.
func TestOnlyFirstRankedPlacerUsesLimit(t *testing.T) {
	is := is.New(t)
	s := New("vm1", "a")
	setPlainEndpoints(s, "e")
	use := func(now time.Duration) string {
		s.SetCoverage(now, 2, 2)
		return submitOne(s, now, uint64(now), false)
	}
	s.SetLimit(0, EndpointHash("e"), 10)
	is.Equal(use(0), "") // begins with nothing
	is.Equal(use(250*time.Millisecond), "e")
	// A VM of the endpoint's failure domain that places comes first, or this one does, but not both.
	s.ApplyPeerLoads(300*time.Millisecond, "vm2", "a", nil, true)
	other := New("vm2", "a")
	setPlainEndpoints(other, "e")
	other.SetLimit(0, EndpointHash("e"), 10)
	other.ApplyPeerLoads(300*time.Millisecond, "vm1", "a", nil, true)
	e := s.byHash[EndpointHash("e")]
	is.True((s.limitShareAt(300*time.Millisecond, e) == 0) != (func() bool {
		other.SetCoverage(300*time.Millisecond, 2, 2)
		return other.limitShareAt(300*time.Millisecond, other.byHash[EndpointHash("e")]) == 0
	}()))
	s.SetPlacer("vm3", true)
	is.Equal(s.limitShareAt(5*time.Second, e), 0.0)
}

// Guards against an endpoint whose limit is low that is never asked again, and cannot say that its need is over.
func TestZeroLimitIsTriedOccasionally(t *testing.T) {
	is := is.New(t)
	s := New("vm1", "a")
	setPlainEndpoints(s, "e")
	s.SetLimit(0, EndpointHash("e"), 0)
	sent := 0
	for now := time.Duration(0); now < 30*time.Second; now += 100 * time.Millisecond {
		s.SetCoverage(now, 1, 1)
		for _, d := range s.Submit(now, Job{Handle: uint64(now) + 1, Service: "plain", Objective: now + time.Second, AbandonAt: now + time.Second}) {
			if d.Endpoint != nil {
				sent++
				s.EndRun(now, d.Handle, Answered)
			}
		}
	}
	is.True(sent >= 2 && sent <= 3)
}

// Guards against an endpoint whose capacity is counted though its limit lets nothing through.
func TestRateLimitedEndpointIsBypassed(t *testing.T) {
	is := is.New(t)
	s := New("vm1", "a")
	setPlainEndpoints(s, "e", "f")
	s.SetCoverage(0, 1, 1)
	s.SetLimit(0, EndpointHash("e"), 0.1)
	for n := range uint64(plainFillFactor * 2) {
		is.Equal(submitOne(s, 0, n+1, false), "f")
	}
}
