package dispatch

import (
	"time"

	"github.com/chivefield/chivefield/core/limit"
)

// An endpoint may set a limit on the requests per second that it accepts from all VMs together.
// Of the placers, only the one ranked first for the endpoint sends requests to it. A VM that
// sends a request placed by another does so only if the placer charged it to the limit.

// SetLimit sets the rate limit of an endpoint, in requests per second.
func (s *Scheduler) SetLimit(now time.Duration, endpointHash uint64, perSecond float64) {
	if b := s.limits[endpointHash]; b != nil {
		b.SetLimit(perSecond)
		return
	}
	s.limits[endpointHash] = limit.New(now, perSecond)
}

// RemoveLimit removes the rate limit of an endpoint.
func (s *Scheduler) RemoveLimit(endpointHash uint64) { delete(s.limits, endpointHash) }

// SetCoverage sets how many of the known VMs are served by reachable placers, this one
// included. It must be called several times a second.
func (s *Scheduler) SetCoverage(now time.Duration, served, known int) {
	s.limitShare = limit.Share(served, known)
	s.removeExpiredBackoffs(now)
	for hash, b := range s.limits {
		if e := s.byHash[hash]; e != nil {
			b.Refill(now, s.limitShareAt(now, e))
		}
	}
}

// limitShareAt returns the share of an endpoint's limit that this VM may use.
func (s *Scheduler) limitShareAt(now time.Duration, e *endpoint) float64 {
	if s.delegates {
		return 0
	}
	if before, _ := s.placersBefore(now, e); before > 0 {
		return 0
	}
	return s.limitShare
}

// placersBefore returns how many reachable placers come before this VM in the order for an endpoint,
// and how many there are, this one included.
func (s *Scheduler) placersBefore(now time.Duration, e *endpoint) (before, placers int) {
	self := peerVM{hash: s.self, domain: s.domain}
	placers = 1
	for i, o := range s.peers {
		if !o.isPlacer || o.presumedDown(now-s.lastNote[i]) {
			continue
		}
		placers++
		if precedes(e, o, self) {
			before++
		}
	}
	return before, placers
}

// withinLimit reports whether what an endpoint states of itself allows a request to be sent now: its
// limit, and what it bears to reject.
func (s *Scheduler) withinLimit(now time.Duration, e *endpoint) bool {
	if b := s.limits[e.hash]; b != nil {
		b.Refill(now, s.limitShareAt(now, e))
		if !b.Ready() {
			return false
		}
	}
	return s.mayBeRejected(now, e)
}

// charge counts a request towards what an endpoint states of itself, and reports whether it states
// anything.
func (s *Scheduler) charge(now time.Duration, e *endpoint, handle uint64) bool {
	if b := s.limits[e.hash]; b != nil {
		b.Take()
	}
	if b := s.brittle[e.hash]; b != nil {
		b.RecordSent(now, handle)
	}
	return s.mustBeCharged(e.hash)
}

// mustBeCharged reports whether each request to an endpoint must have been charged by the VM that
// placed it.
func (s *Scheduler) mustBeCharged(endpointHash uint64) bool {
	return s.limits[endpointHash] != nil || s.brittle[endpointHash] != nil
}

// rateLimitWait returns how long the queue of a service takes to clear if all its endpoints
// have limits; 0 if one has none.
func (s *Scheduler) rateLimitWait(sv *service) time.Duration {
	if len(s.limits) == 0 || len(sv.list) == 0 {
		return 0
	}
	perSecond := 0.0
	for _, e := range sv.list {
		b := s.limits[e.hash]
		if b == nil {
			return 0
		}
		perSecond += b.Limit()
	}
	if float64(len(sv.queue)+1) >= perSecond*maxWait.Seconds() {
		return maxWait
	}
	return toDuration(float64(len(sv.queue)+1) / perSecond)
}
