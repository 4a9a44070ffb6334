package dispatch

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

// maxQueued bounds the jobs of one service that wait at a VM.
const maxQueued = 400

// seat is an endpoint with room, and its load.
type seat struct {
	ep   *endpoint
	load Use
}

// place gives waiting jobs to endpoints and refuses those that cannot be served
// while their caller waits. Order: by tier; within a tier first those that can
// still be on time, by their objective; then those that are late anyway, in order
// of arrival. Under overload the earliest objective first would serve only requests
// that are late already.
func (s *Scheduler) place(now time.Duration, sv *service) {
	if len(sv.queue) == 0 {
		return
	}
	sv.sortQueue(now)
	s.refuseHopeless(now, sv)
	s.meet(now, sv)
	seats := s.seats(now, sv)
	if len(seats) == 0 {
		return
	}
	sv.scarce = !s.off.Has(mechanism.ScarceSlowFirst) && float64(len(seats)) < 0.25*float64(len(sv.list))
	kept := sv.queue[:0]
	for _, j := range sv.queue {
		c := s.best(now, sv, j, seats)
		// A request that can still be on time elsewhere waits for room there.
		if c.ep == nil || !c.onTime && !j.late && !tries(j, c.ep) {
			kept = append(kept, j)
			continue
		}
		s.assign(now, sv, j, c)
		seats = s.reseat(now, sv, seats, c.ep)
	}
	clear(sv.queue[len(kept):])
	sv.queue = kept
}

// seats returns the endpoints that have room for a job.
func (s *Scheduler) seats(now time.Duration, sv *service) []seat {
	var seats []seat
	may := (*endpoint).fit
	if !slices.ContainsFunc(sv.list, func(e *endpoint) bool { return !e.Canary && e.sound(now) && !e.health.ejection.on }) {
		may = (*endpoint).reachable
	}
	for _, e := range sv.list {
		if !may(e, now) || !s.permits(now, e) {
			continue
		}
		if u := e.load(now, sv.pace.readOf(e, 0), s.lastNote); s.hasRoom(now, e, u) {
			seats = append(seats, seat{e, u})
		}
	}
	return seats
}

// reseat brings the load of one endpoint up to date after a job went there.
func (s *Scheduler) reseat(now time.Duration, sv *service, seats []seat, e *endpoint) []seat {
	i := slices.IndexFunc(seats, func(t seat) bool { return t.ep == e })
	seats[i].load = e.load(now, sv.pace.readOf(e, 0), s.lastNote)
	if e.admits(now) && s.permits(now, e) && s.hasRoom(now, e, seats[i].load) {
		return seats
	}
	return slices.Delete(seats, i, i+1)
}

// best picks the seat with the least score that the job has not tried yet.
func (s *Scheduler) best(now time.Duration, sv *service, j *Job, seats []seat) (best candidate) {
	for _, t := range seats {
		if slices.Contains(j.Tried, t.ep.name) || slices.Contains(j.Avoided, t.ep.name) || !s.mayTry(j, t.ep) || !admitsVersion(j, t.ep) || !j.Remote && s.wantsRest(now, t.ep) {
			continue
		}
		c := s.rate(now, sv, j, t.ep, t.load)
		if best.ep == nil || c.score < best.score {
			best = c
		}
	}
	return best
}

// sortQueue orders the jobs as place says.
func (sv *service) sortQueue(now time.Duration) {
	fastest := sv.fastest()
	for _, j := range sv.queue {
		j.late = now+sv.atBest(j, fastest) > j.Objective
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

// fastest is the endpoint with the best pace, nil if there is none.
func (sv *service) fastest() *endpoint {
	var best *endpoint
	for _, e := range sv.list {
		if best == nil || sv.pace.gapOf(e) < sv.pace.gapOf(best) {
			best = e
		}
	}
	return best
}

// atBest is the time to a job's first event on the fastest endpoint, if idle.
func (sv *service) atBest(j *Job, fastest *endpoint) time.Duration {
	if fastest == nil || !fastest.engine {
		return 0
	}
	return seconds(sv.pace.firstOf(fastest, j.Prompt))
}

// refuseHopeless refuses jobs whose caller is about to leave or would have left by
// the time they are placed, those beyond the queue's bound, and those for which no
// endpoint is left. A caller that is refused soon has time to return; one that is
// held to the end has not.
func (s *Scheduler) refuseHopeless(now time.Duration, sv *service) {
	fastest := sv.fastest()
	kept := sv.queue[:0]
	ahead, late := make(map[class]int), sv.lateJobs()
	for _, j := range sv.queue {
		switch {
		case len(sv.list) == 0 || len(j.Tried) > 0 && !sv.untried(j):
			s.refuse(now, sv, j, ReasonNoEndpoint)
		case now+sv.atBest(j, fastest) >= j.Abandon || sv.hopeless(now, j, ahead, late[j.Tier]):
			s.refuse(now, sv, j, ReasonTooLate)
		case now+s.restWait(now, sv, j) >= j.Abandon:
			s.refuse(now, sv, j, ReasonRest)
		case len(kept) >= maxQueued:
			s.refuse(now, sv, j, ReasonFull)
		default:
			ahead[class{j.Tier, j.late}]++
			kept = append(kept, j)
		}
	}
	clear(sv.queue[len(kept):])
	sv.queue = kept
}

// untried says whether an endpoint is left that the job has not tried.
func (sv *service) untried(j *Job) bool {
	return slices.ContainsFunc(sv.list, func(e *endpoint) bool {
		return admitsVersion(j, e) && !slices.Contains(j.Tried, e.name)
	})
}

// returnAfter is when a refused caller should return, on average. A time that grows with the
// overload brings callers back when their first objective and most of their patience are gone.
const returnAfter = 300 * time.Millisecond

// comeBack is when a refused caller should return, spread by its handle by half either
// way, so that callers who are refused together do not return together.
func comeBack(j *Job) time.Duration {
	spread := time.Duration(j.Handle*2654435761%1000) * returnAfter / 1000
	return returnAfter/2 + spread
}
