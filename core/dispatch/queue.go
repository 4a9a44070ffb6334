package dispatch

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

// maxQueued bounds the jobs of one service that wait at a VM.
const maxQueued = 400

// openEndpoint is an endpoint with room, and its load.
type openEndpoint struct {
	ep   *endpoint
	load Load
}

// placeQueued gives waiting jobs to endpoints and refuses those that cannot be served
// while their caller waits. Order: by tier; within a tier first those that can
// still be on time, by their objective; then those that are late anyway, in order
// of arrival. Under overload the earliest objective first would serve only requests
// that are late already.
func (s *Scheduler) placeQueued(now time.Duration, sv *service) {
	if len(sv.queue) == 0 {
		return
	}
	sv.sortQueue(now)
	s.refuseUnservable(now, sv)
	s.updateContention(now, sv)
	open := s.openEndpoints(now, sv)
	if len(open) == 0 {
		return
	}
	sv.scarce = !s.disabled.Has(mechanism.ScarceSlowFirst) && float64(len(open)) < 0.25*float64(len(sv.list))
	kept := sv.queue[:0]
	for _, j := range sv.queue {
		c := s.bestCandidate(now, sv, j, open)
		// A request that can still be on time elsewhere waits for room there.
		if c.ep == nil || !c.onTime && !j.late && !isCanaryRun(j, c.ep) {
			kept = append(kept, j)
			continue
		}
		s.assign(now, sv, j, c)
		open = s.refreshLoad(now, sv, open, c.ep)
	}
	clear(sv.queue[len(kept):])
	sv.queue = kept
}

// openEndpoints returns the endpoints that have room for a job.
func (s *Scheduler) openEndpoints(now time.Duration, sv *service) []openEndpoint {
	var open []openEndpoint
	accepts := (*endpoint).eligible
	if !slices.ContainsFunc(sv.list, func(e *endpoint) bool { return !e.Trial && e.reachable(now) && !e.health.ejection.active }) {
		accepts = (*endpoint).usable
	}
	for _, e := range sv.list {
		if !accepts(e, now) || !s.withinLimit(now, e) {
			continue
		}
		if u := e.totalLoad(now, sv.latency.prefillTime(e, 0), s.lastNote); s.hasRoom(now, e, u) {
			open = append(open, openEndpoint{e, u})
		}
	}
	return open
}

// refreshLoad brings the load of one endpoint up to date after a job went there.
func (s *Scheduler) refreshLoad(now time.Duration, sv *service, open []openEndpoint, e *endpoint) []openEndpoint {
	i := slices.IndexFunc(open, func(o openEndpoint) bool { return o.ep == e })
	open[i].load = e.totalLoad(now, sv.latency.prefillTime(e, 0), s.lastNote)
	if e.admits(now) && s.withinLimit(now, e) && s.hasRoom(now, e, open[i].load) {
		return open
	}
	return slices.Delete(open, i, i+1)
}

// bestCandidate picks the seat with the least score that the job has not tried yet.
func (s *Scheduler) bestCandidate(now time.Duration, sv *service, j *Job, open []openEndpoint) (best candidate) {
	for _, o := range open {
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

// sortQueue orders the jobs as place says.
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
		case a.late:
			return int(a.arrived - b.arrived)
		default:
			return int(a.Objective - b.Objective)
		}
	})
}

// fastestEndpoint is the endpoint with the best pace, nil if there is none.
func (sv *service) fastestEndpoint() *endpoint {
	var best *endpoint
	for _, e := range sv.list {
		if best == nil || sv.latency.expectedGap(e) < sv.latency.expectedGap(best) {
			best = e
		}
	}
	return best
}

// minFirstEventTime is the time to a job's first event on the fastest endpoint, if idle.
func (sv *service) minFirstEventTime(j *Job, fastest *endpoint) time.Duration {
	if fastest == nil || !fastest.engine {
		return 0
	}
	return toDuration(sv.latency.firstEventTime(fastest, j.PromptTokens))
}

// refuseUnservable refuses jobs whose caller is about to leave or would have left by
// the time they are placed, those beyond the queue's bound, and those for which no
// endpoint is left. A caller that is refused soon has time to return; one that is
// held to the end has not.
func (s *Scheduler) refuseUnservable(now time.Duration, sv *service) {
	fastest := sv.fastestEndpoint()
	kept := sv.queue[:0]
	ahead, late := make(map[class]int), sv.lateJobsByTier()
	for _, j := range sv.queue {
		switch {
		case len(sv.list) == 0 || len(j.Tried) > 0 && !sv.hasUntriedEndpoint(j):
			s.refuse(now, sv, j, ReasonNoEndpoint)
		case now+sv.minFirstEventTime(j, fastest) >= j.AbandonAt || sv.unservable(now, j, ahead, late[j.Tier]):
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
	sv.queue = kept
}

// hasUntriedEndpoint says whether an endpoint is left that the job has not tried.
func (sv *service) hasUntriedEndpoint(j *Job) bool {
	return slices.ContainsFunc(sv.list, func(e *endpoint) bool {
		return admitsVersion(j, e) && !slices.Contains(j.Tried, e.hash)
	})
}

// meanRetryAfter is when a refused caller should return, on average. A time that grows with the
// overload brings callers back when their first objective and most of their patience are gone.
const meanRetryAfter = 300 * time.Millisecond

// retryAfter is when a refused caller should return, spread by its handle by half either
// way, so that callers who are refused together do not return together.
func retryAfter(j *Job) time.Duration {
	jitter := time.Duration(j.Handle*2654435761%1000) * meanRetryAfter / 1000
	return meanRetryAfter/2 + jitter
}
