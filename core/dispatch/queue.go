package dispatch

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

// maxQueued limits the queued jobs of one service on a VM.
const maxQueued = 400

// openEndpoint is an endpoint with capacity for a job, and its load. outOfTurn is the number of free slots if it is
// not this VM's turn to take one, 0 if it is.
type openEndpoint struct {
	ep        *endpoint
	load      Load
	outOfTurn int
}

// placeQueued assigns queued jobs to endpoints and refuses those that cannot be served while
// their caller waits. Jobs are ordered by tier. Within a tier, jobs that can still be on time
// come first, by objective, then late jobs in order of arrival; among both, jobs within their
// organisation's share precede those beyond it, and in each group callers that return at the time that they were
// promised come first. Under overload, ordering by objective alone would
// serve only requests that are already late.
func (s *Scheduler) placeQueued(now time.Duration, sv *service) {
	if len(sv.queue) == 0 {
		return
	}
	sv.sortQueue(now)
	s.refuseUnservable(now, sv)
	s.updateContention(now, sv)
	defer s.recordHeldBack(now, sv)
	open := s.openEndpoints(now, sv)
	if len(open) == 0 {
		return
	}
	sv.scarce = !s.disabled.Has(mechanism.ScarceSlowFirst) && float64(countInTurn(open)) < 0.25*float64(len(sv.list))
	kept, reserve := sv.queue[:0], s.newPeerReserve(now, sv)
	for _, j := range sv.queue {
		if j.excluded || reserve.holds(j) {
			kept = append(kept, j)
			continue
		}
		c := s.bestCandidate(now, sv, j, open)
		// A job that can still be on time elsewhere waits for capacity there.
		if c.ep == nil || !c.onTime && !j.late && !isCanaryRun(j, c.ep) {
			kept = append(kept, j)
			continue
		}
		s.assign(now, sv, j, c)
		reserve.recordTake()
		open = s.refreshLoad(now, sv, open, c.ep)
	}
	clear(sv.queue[len(kept):])
	sv.queue = kept
}

// countInTurn returns the number of endpoints where it is this VM's turn.
func countInTurn(open []openEndpoint) int {
	n := 0
	for _, o := range open {
		if o.outOfTurn == 0 {
			n++
		}
	}
	return n
}

// openEndpoints updates the learned limits and returns the endpoints that have capacity for a job, also those where
// only some jobs may take a free slot as it is not this VM's turn.
func (s *Scheduler) openEndpoints(now time.Duration, sv *service) []openEndpoint {
	var open []openEndpoint
	accepts := (*endpoint).eligible
	if !slices.ContainsFunc(sv.list, func(e *endpoint) bool { return !e.Canary && e.reachable(now) && !e.health.ejection.active }) {
		accepts = (*endpoint).usable
	}
	for _, e := range sv.list {
		e.learned.holdsBack = false
		if !accepts(e, now) || !s.withinLimit(now, e) {
			continue
		}
		load := e.totalLoad(now, sv.latency.prefillTime(e, 0), s.lastNote)
		s.updateLimit(now, e, load)
		if s.hasCapacity(now, e, load) {
			open = append(open, openEndpoint{e, load, 0})
		} else if free := s.freeOutOfTurn(now, sv, e, load); free > 0 {
			open = append(open, openEndpoint{e, load, free})
		}
	}
	return open
}

// refreshLoad recomputes the load of an endpoint that was assigned a job and removes the
// endpoint if it has no more capacity.
func (s *Scheduler) refreshLoad(now time.Duration, sv *service, open []openEndpoint, e *endpoint) []openEndpoint {
	i := slices.IndexFunc(open, func(o openEndpoint) bool { return o.ep == e })
	open[i].load = e.totalLoad(now, sv.latency.prefillTime(e, 0), s.lastNote)
	s.updateLimit(now, e, open[i].load)
	if e.admits(now) && s.withinLimit(now, e) {
		if s.hasCapacity(now, e, open[i].load) {
			return open
		}
		if open[i].outOfTurn = s.freeOutOfTurn(now, sv, e, open[i].load); open[i].outOfTurn > 0 {
			return open
		}
	}
	return slices.Delete(open, i, i+1)
}

// bestCandidate returns the endpoint with the lowest score among those that admit the job.
func (s *Scheduler) bestCandidate(now time.Duration, sv *service, j *Job, open []openEndpoint) (best candidate) {
	for _, o := range open {
		if o.outOfTurn > 0 && !s.mayTakeOutOfTurn(j, o.ep, o.outOfTurn) {
			continue
		}
		if slices.Contains(j.Tried, o.ep.hash) || slices.Contains(j.Avoided, o.ep.hash) || !s.admitsQuarantined(j, o.ep) || !admitsVersion(j, o.ep) || !j.Remote && s.inBackoff(now, o.ep) {
			continue
		}
		c := s.score(now, sv, j, o.ep, o.load)
		if best.ep == nil || c.score < best.score {
			best = c
		}
	}
	return best
}

// sortQueue sorts the queue in the order described at placeQueued.
func (sv *service) sortQueue(now time.Duration) {
	fastest := sv.fastestEndpoint()
	for _, j := range sv.queue {
		j.late = now+sv.minFirstEventTime(j, fastest) > j.Objective
		j.rank = sv.rankOf(j)
	}
	slices.SortStableFunc(sv.queue, func(a, b *Job) int {
		switch {
		case a.rank != b.rank:
			return a.rank - b.rank
		case a.returning != b.returning:
			return compareReturns(a, b)
		case a.late, a.Continues:
			return int(a.arrived - b.arrived)
		default:
			return int(a.Objective - b.Objective)
		}
	})
	sv.orderByShare(now)
}

// fastestEndpoint returns the endpoint with the shortest event gap, nil if there are none.
func (sv *service) fastestEndpoint() *endpoint {
	var best *endpoint
	for _, e := range sv.list {
		if best == nil || sv.latency.expectedGap(e) < sv.latency.expectedGap(best) {
			best = e
		}
	}
	return best
}

// minFirstEventTime returns the time to a job's first event on the fastest endpoint when idle.
func (sv *service) minFirstEventTime(j *Job, fastest *endpoint) time.Duration {
	if fastest == nil || !fastest.engine {
		return 0
	}
	return toDuration(sv.latency.firstEventTime(fastest, j.PromptTokens))
}

// refuseUnservable refuses jobs whose caller would disconnect before they could be placed, jobs
// beyond the queue limit, and jobs for which no endpoint is left. A caller that is refused
// early has time to retry; one that is held until its timeout does not. The caller of a stream that goes on
// holds a part of it, which an early refusal would break off: such a job waits for as long as its caller.
func (s *Scheduler) refuseUnservable(now time.Duration, sv *service) {
	fastest := sv.fastestEndpoint()
	sv.limited = s.rateLimitWait(sv) > 0
	kept := sv.queue[:0]
	sv.markExcluded()
	ahead, late := make(map[class]int), sv.lateJobsByTier()
	sv.ahead = ahead
	for _, j := range sv.queue {
		switch {
		case len(sv.list) == 0 || len(j.Tried) > 0 && !sv.hasUntriedEndpoint(j) || j.excluded && now-j.arrived >= maxExcludedWait:
			s.refuse(now, sv, j, ReasonNoEndpoint)
		case j.excluded && now < j.AbandonAt:
			kept = append(kept, j)
		case now+sv.minFirstEventTime(j, fastest) >= j.AbandonAt || !j.Continues && sv.unservable(now, j, ahead, late[j.Tier]):
			s.refuse(now, sv, j, ReasonTooLate)
		case now+s.backoffWait(now, sv, j) >= j.AbandonAt:
			s.refuse(now, sv, j, ReasonBackoff)
		case len(kept) >= maxQueued:
			s.refuse(now, sv, j, ReasonQueueFull)
		default:
			ahead[class{j.Tier, j.late}]++
			kept = append(kept, j)
		}
	}
	clear(sv.queue[len(kept):])
	sv.queue, sv.ahead = kept, nil
}

// hasUntriedEndpoint reports whether an endpoint is left that the job has not tried.
func (sv *service) hasUntriedEndpoint(j *Job) bool {
	return slices.ContainsFunc(sv.list, func(e *endpoint) bool {
		return admitsVersion(j, e) && !slices.Contains(j.Tried, e.hash)
	})
}

// maxExcludedWait is how long a job waits that the VM sending it can send to none of the endpoints:
// VMs that differ in what they know of endpoints agree some notes later, a tenth of a second each.
const maxExcludedWait = 300 * time.Millisecond

// markExcluded marks the jobs that no endpoint may run. Each is looked at once for a list of endpoints:
// a job may name all of them, and the queue is gone through with each request that comes or ends.
func (sv *service) markExcluded() {
	for _, j := range sv.queue {
		if (j.Continues || len(j.Avoided) > 0) && j.checkedList != sv.listNumber {
			j.excluded, j.checkedList = !sv.mayRunSomewhere(j), sv.listNumber
		}
	}
}

// mayRunSomewhere reports whether an endpoint is left that the job has not tried and that the VM
// sending it can use. A job without one does not count as congestion against others.
func (sv *service) mayRunSomewhere(j *Job) bool {
	return slices.ContainsFunc(sv.list, func(e *endpoint) bool {
		return admitsVersion(j, e) && !slices.Contains(j.Tried, e.hash) && !slices.Contains(j.Avoided, e.hash)
	})
}

// meanRetryAfter is the mean delay before a refused caller should retry. With a delay that grew
// with the overload, callers came back after their first objective and most of their timeout
// had passed.
const meanRetryAfter = 300 * time.Millisecond

// retryAfter returns the delay before a refused caller should retry. Jitter of half the mean
// either way, derived from the handle, keeps callers that are refused together from returning
// together.
func retryAfter(j *Job) time.Duration {
	jitter := time.Duration(j.Handle*2654435761%1000) * meanRetryAfter / 1000
	return meanRetryAfter/2 + jitter
}
