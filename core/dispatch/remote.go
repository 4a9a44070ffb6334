package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A VM may place requests for others, which ask it where to send each one. With one queue for
// many VMs, no slot goes to a lower tier while a higher one waits elsewhere, and no VM acts on
// old loads. The VM that asks sends the request itself. Both keep a run for it: the placer
// reports its load, and the sender, which has adopted it, learns from it and detects a silent
// endpoint.

// UnusableReason is the reason why an endpoint may not be used; empty if it may.
type UnusableReason string

// Reasons why an endpoint may not be used.
const (
	// NotListed: it is not among the service's endpoints, or is leaving.
	NotListed UnusableReason = "not_listed"
	// IncarnationReplaced: another incarnation has its address.
	IncarnationReplaced UnusableReason = "gone"
	// ProbeFailed: a probe from this VM failed.
	ProbeFailed UnusableReason = "not_reached"
	// OverLimit: it has a rate limit, or is brittle, and the request was not charged to that.
	OverLimit UnusableReason = "limited"
	// BackingOff: it asked this VM to send nothing for a time.
	BackingOff UnusableReason = "resting"
	// CanaryOnly: its version gets canary requests only.
	CanaryOnly UnusableReason = "held_back"
	// OtherVersion: the request is the rest of a stream that another version began.
	OtherVersion UnusableReason = "other_version"
)

// Adopt records that another VM placed a job at an endpoint, with the predicted time to the
// first event and the prompt tokens queued ahead. If the endpoint may not be used as far as
// this VM knows, it returns nil and the reason. This VM may have newer information: the
// endpoint may be leaving.
func (s *Scheduler) Adopt(now time.Duration, j Job, endpointHash uint64, predicted time.Duration, tokensAhead int) (*Decision, UnusableReason) {
	e := s.byHash[endpointHash]
	switch {
	case e == nil || e.Service != j.Service:
		return nil, NotListed
	case e.health.replaced:
		return nil, IncarnationReplaced
	case j.versionDiffers(e.Version):
		return nil, OtherVersion
	case !admitsVersion(&j, e):
		return nil, CanaryOnly
	case e.health.probeFailed():
		return nil, ProbeFailed
	case s.inBackoff(now, e):
		return nil, BackingOff
	case s.mustBeCharged(endpointHash) && !j.LimitCharged:
		return nil, OverLimit
	}
	s.clampJob(&j)
	j.arrived, j.Suspicion = now, s.effectiveSuspicion(&j)
	r := s.startRun(now, &j, candidate{ep: e, firstEvent: predicted, tokensAhead: s.clampCount(tokensAhead, maxTokens)})
	r.adopted = true
	ep := e.Endpoint
	return &Decision{Handle: j.Handle, Endpoint: &ep, Predicted: predicted}, ""
}

// TakeOwnership makes an adopted run this VM's own: the VM that placed it no longer reports its
// load.
func (s *Scheduler) TakeOwnership(handle uint64) {
	if r := s.running[handle]; r != nil {
		r.adopted = false
	}
}

// Unavailable returns the hashes of a service's endpoints that this VM cannot reach or that
// asked it for backoff.
func (s *Scheduler) Unavailable(now time.Duration, service string) []uint64 {
	var hashes []uint64
	for _, e := range s.service(service).list {
		if e.health.probeFailed() || s.inBackoff(now, e) {
			hashes = append(hashes, e.hash)
		}
	}
	return hashes
}

// SetPlacer makes the next SetEndpoints choose the same subset as the named VM, which places
// this VM's requests: the endpoints that it assigns must be known here. delegates reports
// whether it is another VM.
func (s *Scheduler) SetPlacer(vm string, delegates bool) {
	s.placer = xxhash.Sum64String(vm)
	s.delegates = delegates
}
