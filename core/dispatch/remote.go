package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// One VM may place requests for others, which ask it where to send each: with one
// queue for many VMs no slot goes to a lower tier while a higher one waits elsewhere,
// and nobody acts on old loads. The one that asks sends the request itself. Both keep
// a run of it: the one that placed it counts its load, the other, which has adopted
// it, learns from it and notices if the endpoint falls silent.

// UnusableReason says why an endpoint may not be used; empty if it may.
type UnusableReason string

// Reasons why an endpoint may not be used.
const (
	// NotListed: it is not among the service's endpoints, or is leaving.
	NotListed UnusableReason = "not_listed"
	// IncarnationGone: another incarnation has its address.
	IncarnationGone UnusableReason = "gone"
	// ProbeFailed: a probe from here failed.
	ProbeFailed UnusableReason = "not_reached"
	// OverLimit: it names a limit against which the request was not counted.
	OverLimit UnusableReason = "limited"
	// BackingOff: it wants nothing from this VM for a time.
	BackingOff UnusableReason = "resting"
	// CanaryOnly: its version gets only requests that are chosen to try it.
	CanaryOnly UnusableReason = "held_back"
)

// Adopt notes that another VM placed a job at the endpoint of that name, with the
// first event expected after a time, behind the prompt tokens ahead. It returns nil and
// why if the endpoint may not be used as far as this VM knows, which may know better:
// the endpoint may be leaving.
func (s *Scheduler) Adopt(now time.Duration, j Job, endpointHash uint64, predicted time.Duration, tokensAhead int) (*Decision, UnusableReason) {
	e := s.byHash[endpointHash]
	switch {
	case e == nil || e.Service != j.Service:
		return nil, NotListed
	case e.health.replaced:
		return nil, IncarnationGone
	case !admitsVersion(&j, e):
		return nil, CanaryOnly
	case e.health.probeFailed():
		return nil, ProbeFailed
	case s.inBackoff(now, e):
		return nil, BackingOff
	case s.limits[endpointHash] != nil && !j.LimitCharged:
		return nil, OverLimit
	}
	s.clampJob(&j)
	j.arrived, j.Suspicion = now, s.effectiveSuspicion(&j)
	r := s.startRun(now, &j, candidate{ep: e, firstEvent: predicted, tokensAhead: s.clampCount(tokensAhead, maxTokens)})
	r.adopted = true
	ep := e.Endpoint
	return &Decision{Handle: j.Handle, Endpoint: &ep, Predicted: predicted}, ""
}

// TakeOwnership makes an adopted run this VM's: the VM that placed it no longer counts it.
func (s *Scheduler) TakeOwnership(handle uint64) {
	if r := s.running[handle]; r != nil {
		r.adopted = false
	}
}

// Unavailable returns the names of a service's endpoints that this VM cannot reach, or that want nothing from it.
func (s *Scheduler) Unavailable(now time.Duration, service string) []uint64 {
	var hashes []uint64
	for _, e := range s.service(service).list {
		if e.health.probeFailed() || s.inBackoff(now, e) {
			hashes = append(hashes, e.hash)
		}
	}
	return hashes
}

// SetPlacer makes the next SetEndpoints choose as the VM of that name does, which places this
// one's requests: what it places must be known here. asks says that it is another VM.
func (s *Scheduler) SetPlacer(vm string, delegates bool) {
	s.placer = xxhash.Sum64String(vm)
	s.delegates = delegates
}
