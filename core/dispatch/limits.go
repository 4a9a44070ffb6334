package dispatch

import (
	"time"

	"github.com/chivefield/chivefield/core/limit"
)

// An endpoint may name how many requests a second it takes from all VMs together. Of the VMs that place
// requests the first in the order for the endpoint sends it some, the others none; a VM that sends what another
// placed does so only if that one counted it.

// SetLimit sets how many requests a second an endpoint takes, by its short name.
func (s *Scheduler) SetLimit(now time.Duration, endpointHash uint64, perSecond float64) {
	if b := s.limits[endpointHash]; b != nil {
		b.SetLimit(perSecond)
		return
	}
	s.limits[endpointHash] = limit.New(now, perSecond)
}

// RemoveLimit ends an endpoint's limit.
func (s *Scheduler) RemoveLimit(endpointHash uint64) { delete(s.limits, endpointHash) }

// SetCoverage says how many VMs the placers that are heard serve, this one included, of those known. It must be
// called several times a second.
func (s *Scheduler) SetCoverage(now time.Duration, reachable, known int) {
	s.limitShare = limit.Part(reachable, known)
	s.removeExpiredBackoffs(now)
	for hash, b := range s.limits {
		if e := s.byHash[hash]; e != nil {
			b.Fill(now, s.limitShareAt(now, e))
		}
	}
}

// limitShareAt is the limitShareAt of an endpoint's limit that this VM may use.
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

// withinLimit says whether an endpoint's limit lets a request be sent there now.
func (s *Scheduler) withinLimit(now time.Duration, e *endpoint) bool {
	b := s.limits[e.hash]
	if b == nil {
		return true
	}
	b.Fill(now, s.limitShareAt(now, e))
	return b.Ready()
}

// chargeLimit counts a request against an endpoint's limit, and reports whether there is one.
func (s *Scheduler) chargeLimit(e *endpoint) bool {
	b := s.limits[e.hash]
	if b != nil {
		b.Take()
	}
	return b != nil
}

// rateLimitWait is how long the waiting jobs of a service take if all of its endpoints have limits; 0 if
// one has none.
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
