package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/members"
)

// setPlainEndpoints sets a scheduler's endpoints of a plain service.
func setPlainEndpoints(s *Scheduler, ids ...string) {
	var list []*members.Endpoint
	for _, id := range ids {
		list = append(list, &members.Endpoint{ID: id, Service: "plain", Slots: 2, FailureDomain: "a"})
	}
	s.SetEndpoints(0, "plain", list, false)
}

// submitOne submits a job of a plain service, sent by this VM or another. It returns the id of
// its endpoint, the reason if it is refused, or an empty string if it stays queued.
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

// Guards against sending requests of this VM to an endpoint that asked it for backoff, even if
// no other endpoint is left.
func TestOwnBackoffIsRespected(t *testing.T) {
	is := is.New(t)
	s := New("vm1", "a")
	setPlainEndpoints(s, "e")
	s.SetBackoff(EndpointHash("e"), time.Second, 0)
	is.Equal(submitOne(s, 0, 1, false), "")
	is.Equal(s.Unavailable(0, "plain"), []uint64{EndpointHash("e")})
	_, reason := s.Adopt(0, Job{Handle: 2, Service: "plain"}, EndpointHash("e"), 0, 0)
	is.Equal(reason, BackingOff)
	out := s.Tick(time.Second)
	is.Equal(len(out), 1)
	is.Equal(out[0].Endpoint.ID, "e")
}

// Guards against callers that wait in vain for a backoff that exceeds their timeout.
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

// Guards against requests of each VM being rejected by an endpoint that already asked other VMs
// for backoff, and against leaving its capacity unused where nothing else is free.
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

// Guards against a VM that uses an endpoint's limit although another VM ranks first, or
// although it delegates placement.
func TestOnlyFirstRankedPlacerUsesLimit(t *testing.T) {
	is := is.New(t)
	s := New("vm1", "a")
	setPlainEndpoints(s, "e")
	use := func(now time.Duration) string {
		s.SetCoverage(now, 2, 2)
		return submitOne(s, now, uint64(now), false)
	}
	s.SetLimit(0, EndpointHash("e"), 10)
	is.Equal(use(0), "") // the bucket starts empty
	is.Equal(use(250*time.Millisecond), "e")
	// Of two placers in the endpoint's failure domain exactly one ranks first.
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

// Guards against an endpoint with a limit of zero that gets no request at all, and so cannot
// report that it accepts requests again.
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

// Guards against counting the capacity of an endpoint whose limit admits nothing.
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
