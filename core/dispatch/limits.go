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
	self := peerVM{hash: s.self, domain: s.domain}
	for i, o := range s.peers {
		if o.isPlacer && !o.presumedDown(now-s.lastNote[i]) && precedes(e, o, self) {
			return 0
		}
	}
	return s.limitShare
}

// withinLimit reports whether an endpoint's limit allows a request to be sent now.
func (s *Scheduler) withinLimit(now time.Duration, e *endpoint) bool {
	b := s.limits[e.hash]
	if b == nil {
		return true
	}
	b.Refill(now, s.limitShareAt(now, e))
	return b.Ready()
}

// chargeLimit charges a request to an endpoint's limit, and reports whether there is one.
func (s *Scheduler) chargeLimit(e *endpoint) bool {
	b := s.limits[e.hash]
	if b != nil {
		b.Take()
	}
	return b != nil
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
