package dispatch

import "time"

// An endpoint that rejects a request may ask the sending VM for backoff. That VM then sends it
// nothing until the backoff expires. The endpoint may still serve other VMs, but is likely to
// reject their requests too, so they use it only where nothing else is free.

// backoffCost is the cost in seconds of an endpoint that asked another VM for backoff: more
// than a late response, since a rejected request has to be sent once more, and less than a lost
// response.
const backoffCost = 2 * lateCost

// backoff holds the times at which an endpoint's backoffs expire.
type backoff struct {
	// own applies to this VM, others to other VMs.
	own, others time.Duration
}

// SetBackoff sets the times until which an endpoint has asked this VM and others for backoff.
func (s *Scheduler) SetBackoff(endpointHash uint64, own, others time.Duration) {
	s.backoffs[endpointHash] = backoff{own, others}
}

// removeExpiredBackoffs deletes expired backoffs.
func (s *Scheduler) removeExpiredBackoffs(now time.Duration) {
	for hash, b := range s.backoffs {
		if now >= max(b.own, b.others) {
			delete(s.backoffs, hash)
		}
	}
}

// inBackoff reports whether an endpoint has asked this VM to send nothing now.
func (s *Scheduler) inBackoff(now time.Duration, e *endpoint) bool {
	return now < s.backoffs[e.hash].own
}

// backoffCostOf returns the cost of an endpoint's current backoffs.
func (s *Scheduler) backoffCostOf(now time.Duration, e *endpoint) float64 {
	if b, ok := s.backoffs[e.hash]; ok && now < max(b.own, b.others) {
		return backoffCost
	}
	return 0
}

// BackoffWait returns the time until the first untried endpoint for a job accepts requests of this
// VM; 0 if one does now.
func (s *Scheduler) BackoffWait(now time.Duration, j *Job) time.Duration {
	if len(s.backoffs) == 0 {
		return 0
	}
	least := time.Duration(-1)
	for _, e := range s.service(j.Service).list {
		if !j.mayStillTry(e) {
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

// backoffWait returns BackoffWait for a job of this VM, 0 for jobs of other VMs, which apply
// their own backoffs.
func (s *Scheduler) backoffWait(now time.Duration, sv *service, j *Job) time.Duration {
	if j.Remote {
		return 0
	}
	return s.BackoffWait(now, j)
}
