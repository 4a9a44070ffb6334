package dispatch

import (
	"slices"
	"time"
)

// An endpoint that turns a request away may ask the VM that sent it for rest. It gets nothing from that VM until
// then. To others it may still answer, but rather turns them away too: they use it where nothing else is free.

// restCost is what an endpoint counts for that asked another VM for rest, in seconds: more than a late answer,
// since a request that is turned away has to be sent once more, less than an answer that is lost.
const restCost = 2 * lateCost

// rest is when an endpoint wants requests again.
type rest struct {
	// own is when it does from this VM, others from those that it asked.
	own, others time.Duration
}

// SetBackoff sets when an endpoint wants requests of this VM again, by its short name, and of others that it asked
// for rest.
func (s *Scheduler) SetBackoff(endpoint uint64, own, others time.Duration) {
	s.rests[endpoint] = rest{own, others}
}

// endRests drops those that are over.
func (s *Scheduler) endRests(now time.Duration) {
	for name, r := range s.rests {
		if now >= max(r.own, r.others) {
			delete(s.rests, name)
		}
	}
}

// wantsRest says whether an endpoint wants nothing from this VM.
func (s *Scheduler) wantsRest(now time.Duration, e *endpoint) bool { return now < s.rests[e.name].own }

// restingCost is what the rest of an endpoint counts for a job.
func (s *Scheduler) restingCost(now time.Duration, e *endpoint) float64 {
	if r, ok := s.rests[e.name]; ok && now < max(r.own, r.others) {
		return restCost
	}
	return 0
}

// BackoffWait is how long all endpoints of a service that were not tried want nothing from this VM; 0 if one does.
func (s *Scheduler) BackoffWait(now time.Duration, service string, tried []uint64) time.Duration {
	if len(s.rests) == 0 {
		return 0
	}
	least := time.Duration(-1)
	for _, e := range s.service(service).list {
		if slices.Contains(tried, e.name) {
			continue
		}
		if !s.wantsRest(now, e) {
			return 0
		}
		if left := s.rests[e.name].own - now; least < 0 || left < least {
			least = left
		}
	}
	return max(0, least)
}

// restWait is that for a job of this VM; other VMs know their own.
func (s *Scheduler) restWait(now time.Duration, sv *service, j *Job) time.Duration {
	if j.Remote {
		return 0
	}
	return s.BackoffWait(now, sv.name, j.Tried)
}
