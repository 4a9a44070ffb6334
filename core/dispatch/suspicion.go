package dispatch

import "github.com/chivefield/chivefield/core/mechanism"

// A request that was running at an endpoint when the endpoint terminated may have caused it, or
// may have been one of a dozen neighbours. If it is placed like any other request, the one at
// fault takes as many neighbours with it the next time, some of which were there the first time
// too: after three terminations more than one request has been at all three.
//
// Suspected requests are therefore kept apart. After two terminations in a row a request is
// quarantined: it runs one copy at a time, where few other requests run and no other
// quarantined one, so that a further termination can be attributed to it.

// Suspicion is the level of isolation with which a job is placed.
type Suspicion int

// Suspicion levels.
const (
	Unsuspected Suspicion = iota
	// Suspected: it was running at an endpoint that terminated.
	Suspected
	// Quarantined: endpoints terminated twice in a row while running it.
	Quarantined
)

// Costs in seconds, applied among endpoints where a response is on time. They are less than
// lateCost, so that none of them makes an innocent request late.
const (
	// suspectCost is the cost of another suspect at an endpoint, for a suspect.
	suspectCost = 1
	// quarantineCost is the cost of a quarantined request at an endpoint, for any other
	// request. A few in a hundred requests of other callers broke off next to one.
	quarantineCost = 2
	// quarantineNeighbourCost is the cost of each request at an endpoint, for a quarantined
	// request.
	quarantineNeighbourCost = 0.5
)

// suspicionCost returns the cost for a job of suspects at an endpoint, and of the requests
// there that the job itself would endanger.
func (s *Scheduler) suspicionCost(j *Job, e *endpoint, load Load) float64 {
	cost := 0.0
	if e.quarantinedRuns > 0 {
		cost += quarantineCost
	}
	if j.Suspicion >= Suspected && e.suspectRuns > 0 {
		cost += suspectCost
	}
	if j.Suspicion == Quarantined {
		cost += quarantineNeighbourCost * float64(load.Running+load.Waiting)
	}
	return cost
}

// admitsQuarantined reports whether quarantine rules let a job run at an endpoint. A job that
// no endpoint admits stays queued.
func (s *Scheduler) admitsQuarantined(j *Job, e *endpoint) bool {
	return j.Suspicion != Quarantined || s.quarantinedRuns[j.Suspect] == 0 && e.quarantinedRuns == 0
}

// effectiveSuspicion returns the suspicion of a job, or Unsuspected if the mechanism is
// disabled.
func (s *Scheduler) effectiveSuspicion(j *Job) Suspicion {
	if s.disabled.Has(mechanism.Trials) {
		return Unsuspected
	}
	return j.Suspicion
}

// countSuspects updates the counts of suspects as a run begins (n = 1) or ends (n = -1).
func (s *Scheduler) countSuspects(r *run, n int) {
	if r.job.Suspicion >= Suspected {
		r.ep.suspectRuns += n
	}
	if r.job.Suspicion == Quarantined {
		r.ep.quarantinedRuns += n
		if s.quarantinedRuns[r.job.Suspect] += n; s.quarantinedRuns[r.job.Suspect] == 0 {
			delete(s.quarantinedRuns, r.job.Suspect)
		}
	}
}
