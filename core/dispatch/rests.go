package dispatch

import (
	"slices"
	"time"
)

// An endpoint that turns a request away may ask the VM that sent it for rest. It gets nothing from that VM until
// then. To others it may still answer, but rather turns them away too: they use it where nothing else is free.

// backoffCost is what an endpoint counts for that asked another VM for rest, in seconds: more than a late answer,
// since a request that is turned away has to be sent once more, less than an answer that is lost.
const backoffCost = 2 * lateCost

// backoff is when an endpoint wants requests again.
type backoff struct {
	// own is when it does from this VM, peers from those that it asked.
	own, peers time.Duration
}

// SetBackoff sets when an endpoint wants requests of this VM again, by its short name, and of others that it asked
// for rest.
func (s *Scheduler) SetBackoff(endpointHash uint64, own, peers time.Duration) {
	s.backoffs[endpointHash] = backoff{own, peers}
}

// removeExpiredBackoffs drops those that are over.
func (s *Scheduler) removeExpiredBackoffs(now time.Duration) {
	for hash, b := range s.backoffs {
		if now >= max(b.own, b.peers) {
			delete(s.backoffs, hash)
		}
	}
}

// inBackoff says whether an endpoint wants nothing from this VM.
func (s *Scheduler) inBackoff(now time.Duration, e *endpoint) bool {
	return now < s.backoffs[e.hash].own
}

// backoffCostOf is what the rest of an endpoint counts for a job.
func (s *Scheduler) backoffCostOf(now time.Duration, e *endpoint) float64 {
	if b, ok := s.backoffs[e.hash]; ok && now < max(b.own, b.peers) {
		return backoffCost
	}
	return 0
}

// BackoffWait is how long all endpoints of a service that were not tried want nothing from this VM; 0 if one does.
func (s *Scheduler) BackoffWait(now time.Duration, service string, tried []uint64) time.Duration {
	if len(s.backoffs) == 0 {
		return 0
	}
	least := time.Duration(-1)
	for _, e := range s.service(service).list {
		if slices.Contains(tried, e.hash) {
			continue
		}
		if !s.inBackoff(now, e) {
			return 0
		}
		if left := s.backoffs[e.hash].own - now; least < 0 || left < least {
			least = left
		}
	}
	return max(0, least)
}

// backoffWait is that for a job of this VM; other VMs know their own.
func (s *Scheduler) backoffWait(now time.Duration, sv *service, j *Job) time.Duration {
	if j.Remote {
		return 0
	}
	return s.BackoffWait(now, sv.name, j.Tried)
}
