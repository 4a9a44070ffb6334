package dispatch

import "github.com/chivefield/chivefield/core/mechanism"

// A request that was at an endpoint when it ended may have ended it, or may have been one of
// its dozen neighbours. Placed as any other, the one that did it takes as many neighbours with
// it the next time, of which some have come again from the first; after three ends more
// than one request has been at all three.
//
// So suspects are kept from one another, and one that is on trial, since endpoints ended twice
// in a row, runs one copy at a time, where few others run and no other that is on trial: what
// ends with it then is its own doing.

// Suspicion says how carefully a job is placed.
type Suspicion int

// Suspicions.
const (
	Unsuspected Suspicion = iota
	// Suspected: it was at an endpoint that ended.
	Suspected
	// Quarantined: endpoints ended twice in a row with it.
	Quarantined
)

// Costs, in seconds, among endpoints where an answer is on time; less than a late answer
// costs, so that none of them makes an innocent request late.
const (
	// suspectCost is what another suspect at an endpoint counts for a suspect.
	suspectCost = 1
	// quarantineCost is what a request on trial at an endpoint counts for any other: a few in a
	// hundred requests of other callers broke off beside it.
	quarantineCost = 2
	// quarantineNeighbourCost is what each request at an endpoint counts for one on trial.
	quarantineNeighbourCost = 0.5
)

// suspicionCost is what the suspects at an endpoint, and those that a suspect would endanger there,
// count for a job.
func (s *Scheduler) suspicionCost(j *Job, e *endpoint, u Load) float64 {
	cost := 0.0
	if e.quarantinedRuns > 0 {
		cost += quarantineCost
	}
	if j.Suspicion >= Suspected && e.suspectRuns > 0 {
		cost += suspectCost
	}
	if j.Suspicion == Quarantined {
		cost += quarantineNeighbourCost * float64(u.Running+u.Waiting)
	}
	return cost
}

// admitsQuarantined says whether a job may run at an endpoint as far as trials go. A job that may not
// anywhere waits.
func (s *Scheduler) admitsQuarantined(j *Job, e *endpoint) bool {
	return j.Suspicion != Quarantined || s.quarantinedRuns[j.Request] == 0 && e.quarantinedRuns == 0
}

// effectiveSuspicion is how carefully a job is placed here.
func (s *Scheduler) effectiveSuspicion(j *Job) Suspicion {
	if s.disabled.Has(mechanism.Trials) {
		return Unsuspected
	}
	return j.Suspicion
}

// countSuspects counts the suspects at endpoints as a run begins (n = 1) or ends (n = -1).
func (s *Scheduler) countSuspects(r *run, n int) {
	if r.job.Suspicion >= Suspected {
		r.ep.suspectRuns += n
	}
	if r.job.Suspicion == Quarantined {
		r.ep.quarantinedRuns += n
		if s.quarantinedRuns[r.job.Request] += n; s.quarantinedRuns[r.job.Request] == 0 {
			delete(s.quarantinedRuns, r.job.Request)
		}
	}
}
