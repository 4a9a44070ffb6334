package dispatch

import (
	"time"

	"github.com/chivefield/chivefield/core/limit"
)

// An endpoint may name how many requests a second it takes from all VMs together. Of the VMs that place
// requests the first in the order for the endpoint sends it some, the others none; a VM that sends what another
// placed does so only if that one counted it.

// SetLimit sets how many requests a second an endpoint takes, by its short name.
func (s *Scheduler) SetLimit(now time.Duration, endpoint uint64, perSecond float64) {
	if b := s.limits[endpoint]; b != nil {
		b.SetLimit(perSecond)
		return
	}
	s.limits[endpoint] = limit.New(now, perSecond)
}

// LiftLimit ends an endpoint's limit.
func (s *Scheduler) LiftLimit(endpoint uint64) { delete(s.limits, endpoint) }

// SetReach says how many VMs the placers that are heard serve, this one included, of those known. It must be
// called several times a second.
func (s *Scheduler) SetReach(now time.Duration, heard, known int) {
	s.reach = limit.Share(heard, known)
	s.endRests(now)
	for name, b := range s.limits {
		if e := s.byName[name]; e != nil {
			b.Refill(now, s.part(now, e))
		}
	}
}

// part is the part of an endpoint's limit that this VM may use.
func (s *Scheduler) part(now time.Duration, e *endpoint) float64 {
	if s.asks {
		return 0
	}
	self := otherVM{name: s.self, domain: s.domain}
	for i, o := range s.others {
		if o.places && !o.gone(now-s.lastNote[i]) && before(e, o, self) {
			return 0
		}
	}
	return s.reach
}

// permits says whether an endpoint's limit lets a request be sent there now.
func (s *Scheduler) permits(now time.Duration, e *endpoint) bool {
	b := s.limits[e.name]
	if b == nil {
		return true
	}
	b.Refill(now, s.part(now, e))
	return b.Ready()
}

// spend counts a request against an endpoint's limit, and reports whether there is one.
func (s *Scheduler) spend(e *endpoint) bool {
	b := s.limits[e.name]
	if b != nil {
		b.Take()
	}
	return b != nil
}

// limitedWait is how long the waiting jobs of a service take if all of its endpoints have limits; 0 if
// one has none.
func (s *Scheduler) limitedWait(sv *service) time.Duration {
	if len(s.limits) == 0 || len(sv.list) == 0 {
		return 0
	}
	sum := 0.0
	for _, e := range sv.list {
		b := s.limits[e.name]
		if b == nil {
			return 0
		}
		sum += b.Limit()
	}
	if float64(len(sv.queue)+1) >= sum*maxWait.Seconds() {
		return maxWait
	}
	return seconds(float64(len(sv.queue)+1) / sum)
}
