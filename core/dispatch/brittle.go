package dispatch

import (
	"math"
	"time"

	"github.com/chivefield/chivefield/core/brittle"
)

// An endpoint may state that it falls over if it has to reject more than some requests in a second,
// from all VMs together. Its queue may be shorter than usual, so it gets no more than it has slots,
// and each placer sends only as much as may be rejected within its part of that number.

// brittleEndpoint is what this VM keeps of an endpoint that is brittle.
type brittleEndpoint struct {
	*brittle.Guard
	perSecond int
}

// SetBrittle records how many requests an endpoint bears to reject in a second.
func (s *Scheduler) SetBrittle(now time.Duration, endpointHash uint64, perSecond float64) {
	b := s.brittle[endpointHash]
	if b == nil {
		b = &brittleEndpoint{Guard: brittle.New(now)}
		s.brittle[endpointHash] = b
	}
	b.perSecond = int(min(perSecond, math.MaxInt32))
}

// RemoveBrittle records that an endpoint is not brittle.
func (s *Scheduler) RemoveBrittle(endpointHash uint64) { delete(s.brittle, endpointHash) }

// mayBeRejected reports whether a brittle endpoint bears another request that it may have to reject;
// all others do.
func (s *Scheduler) mayBeRejected(now time.Duration, e *endpoint) bool {
	b := s.brittle[e.hash]
	if b == nil {
		return true
	}
	if s.delegates {
		return false
	}
	before, placers := s.placersBefore(now, e)
	// Only a VM that places for all knows all requests there; it sends no more than there are slots.
	return b.Admits(now, brittle.Budget(b.perSecond, s.limitShare, before, placers), placers == 1)
}

// recordBrittleOutcome records how a run that this VM placed ended at a brittle endpoint. A request
// that was given up may still be rejected.
func (s *Scheduler) recordBrittleOutcome(now time.Duration, r *run, o Outcome) {
	b := s.brittle[r.ep.hash]
	if b == nil || r.adopted {
		return
	}
	switch o {
	case Rejected:
		b.RecordRejected(now, r.job.Handle)
	case Answered, Failed, Unreachable, Replaced:
		b.RecordAccepted(r.job.Handle)
	}
}
