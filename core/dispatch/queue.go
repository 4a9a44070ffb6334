package dispatch

import (
	"slices"
	"time"
)

// maxQueued bounds the jobs of one service that wait at a VM.
const maxQueued = 400

// enqueue keeps the queue in order of tier, then of the objective.
func (sv *service) enqueue(j *Job) {
	at, _ := slices.BinarySearchFunc(sv.queue, j, func(a, b *Job) int {
		if a.Tier != b.Tier {
			return a.Tier - b.Tier
		}
		if a.Objective <= b.Objective {
			return -1
		}
		return 1
	})
	sv.queue = slices.Insert(sv.queue, at, j)
}

// place gives waiting jobs to endpoints, the most urgent first, and refuses
// those that cannot be served while their caller waits.
func (s *Scheduler) place(now time.Duration, sv *service) {
	if len(sv.queue) == 0 {
		return
	}
	kept := sv.queue[:0]
	full := false
	for _, j := range sv.queue {
		if now >= j.Abandon {
			s.refuse(sv, j, ReasonTooLate, comeBack(j))
			continue
		}
		if len(sv.list) == 0 {
			s.refuse(sv, j, ReasonNoEndpoint, comeBack(j))
			continue
		}
		if !full || len(j.Tried) > 0 {
			c, any := s.best(now, sv, j)
			if c.ep != nil {
				s.assign(now, sv, j, c)
				continue
			}
			if !any && len(j.Tried) >= len(sv.list) {
				s.refuse(sv, j, ReasonNoEndpoint, comeBack(j))
				continue
			}
			full = true
		}
		if len(kept) >= maxQueued {
			s.refuse(sv, j, ReasonFull, comeBack(j))
			continue
		}
		kept = append(kept, j)
	}
	clear(sv.queue[len(kept):])
	sv.queue = kept
}

// best picks the endpoint with the least score; any says whether one could be
// used if it had room.
func (s *Scheduler) best(now time.Duration, sv *service, j *Job) (best candidate, any bool) {
	for _, e := range sv.list {
		if !e.usable(now, j) {
			continue
		}
		any = true
		u := e.load(now, sv.pace.readOf(e, 0), s.lastNote)
		if !e.hasRoom(u) {
			continue
		}
		c := sv.rate(now, j, e, u)
		if best.ep == nil || c.score < best.score {
			best = c
		}
	}
	return best, any
}

// Bounds of Retry-After.
const (
	leastBack = 200 * time.Millisecond
	mostBack  = 2 * time.Second
)

// comeBack is when a refused caller should return: after about as long as it
// waited, spread by its handle so that callers do not return together.
func comeBack(j *Job) time.Duration {
	base := min(max(j.Abandon-j.arrived, leastBack), mostBack) / 2
	spread := time.Duration(j.Handle*2654435761%1000) * base / 1000
	return base/2 + spread
}
