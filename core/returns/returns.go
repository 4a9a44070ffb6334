// Package returns schedules the return of refused callers to an overloaded service. It performs no
// I/O: the time, the rate at which capacity becomes free and the number of waiting jobs are passed
// in.
//
// It guards against callers that are told to return while there is still no capacity for them, and
// are refused a second time with most of their time spent. A promise is a time at which capacity is
// expected that no other caller was promised. A caller is recognised by a hash of its request when
// it returns at its time, and the promise is used once.
package returns

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxPromises bounds the promises of a schedule. At 170 promises a second, more than a placer
	// makes for one service, they reach 3 s ahead, a third of a caller's usual 10 s.
	MaxPromises = 512
	// EarlyTolerance is how long before its time a caller may return: Retry-After is rounded to a
	// millisecond, and clocks of VMs differ in speed.
	EarlyTolerance = 2 * time.Millisecond
	// Grace is how long after its time a promise can be used: a new connection within a region, and
	// two repetitions of a lost placement request, 40 ms each.
	Grace = 150 * time.Millisecond
	// sameCallerTolerance is the difference between the times at which two jobs give up up to which
	// they count as attempts of one caller. The margin that is left for a refusal is 150 ms at most and
	// shrinks with the time left.
	sameCallerTolerance = 150 * time.Millisecond
	// keptWeight is the weight of one promise in the moving average of those kept: some dozen
	// promises show that callers do not return here.
	keptWeight = 0.05
)

// Class is a set of jobs that are served in order among themselves: those of a tier that can be on
// time, or its late ones.
type Class struct {
	Tier int
	Late bool
}

// Caller identifies a caller over its attempts.
type Caller struct {
	// Request is a hash of what stays the same in all attempts; 0 if unknown. Several callers may
	// send the same request.
	Request uint64
	// GivesUp is the time at which the caller stops waiting, over all of its attempts. It tells
	// callers with the same request apart.
	GivesUp time.Duration
}

// Demand is what is known of a class when a caller is refused.
type Demand struct {
	// PerSecond is the rate of placements that may be promised.
	PerSecond float64
	// Earliest and Latest bound the time of a promise.
	Earliest, Latest time.Duration
}

// Counts counts promises since the last call of TakeCounts.
type Counts struct {
	// Made, Kept and Lapsed count promises. Early counts returns before the time of a promise.
	Made, Kept, Lapsed, Early int
}

// promise is a time at which capacity was promised to a caller.
type promise struct {
	caller Caller
	due    time.Duration
}

// classPromises holds the promises of a class.
type classPromises struct {
	// open are the promises that can still be used, ordered by due.
	open []promise
	// lastKept is the time of the newest promise that was kept, if any was.
	lastKept time.Duration
	anyKept  bool
}

// Schedule holds the promises of one service. It is not safe for concurrent use.
type Schedule struct {
	classes map[Class]*classPromises
	// open is the number of promises of all classes.
	open   int
	counts Counts
	// keptShare is the moving average of the share of promises that were kept.
	keptShare float64
}

// New returns an empty schedule, which assumes that callers keep to their times.
func New() *Schedule { return &Schedule{classes: make(map[Class]*classPromises), keptShare: 1} }

// Promise makes a promise to a refused caller and returns its time. ok is false if there is no room
// between the bounds. A caller that has a promise already is told the time of that one.
func (s *Schedule) Promise(now time.Duration, c Caller, class Class, d Demand) (due time.Duration, ok bool) {
	s.expire(now)
	if of, i := s.find(func(p promise) bool { return p.caller.isSame(c) }); of != nil {
		due = of.open[i].due
		return due, due >= max(now, d.Earliest) && due <= d.Latest
	}
	if c.Request == 0 || s.open >= MaxPromises || !(d.PerSecond > 0) {
		return 0, false
	}
	of := s.classes[class]
	if of == nil {
		of = &classPromises{}
		s.classes[class] = of
	}
	due, ok = of.firstGap(max(now, d.Earliest), d.Latest, time.Duration(float64(time.Second)/d.PerSecond))
	if !ok {
		return 0, false
	}
	of.open = slices.Insert(of.open, of.countBefore(due), promise{caller: c, due: due})
	s.open++
	s.counts.Made++
	return due, true
}

// isSame reports whether two jobs are attempts of one caller, as far as can be told.
func (c Caller) isSame(o Caller) bool {
	return c.Request == o.Request && (c.GivesUp-o.GivesUp).Abs() <= sameCallerTolerance
}

// find returns the earliest open promise for which a condition holds; of is nil if there is none.
func (s *Schedule) find(holds func(promise) bool) (of *classPromises, index int) {
	if s.open == 0 {
		return nil, 0
	}
	for _, cp := range s.classes {
		i := slices.IndexFunc(cp.open, holds)
		if i >= 0 && (of == nil || cp.open[i].due < of.open[index].due) {
			of, index = cp, i
		}
	}
	return of, index
}

// countBefore returns the number of open promises that are due before a time.
func (cp *classPromises) countBefore(t time.Duration) int {
	n, _ := slices.BinarySearchFunc(cp.open, t, func(p promise, t time.Duration) int { return cmp.Compare(p.due, t) })
	return n
}

// firstGap returns the first time between two bounds that is at least an interval away from all
// promises that are open or were kept. Any two promises are thus as far apart as the rate at the time
// of the later one demands.
func (cp *classPromises) firstGap(earliest, latest, interval time.Duration) (due time.Duration, ok bool) {
	if interval <= 0 {
		return 0, false
	}
	due = earliest
	if cp.anyKept {
		due = max(due, cp.lastKept+interval)
	}
	for _, p := range cp.open {
		if p.due <= due-interval {
			continue
		}
		if p.due >= due+interval {
			break
		}
		due = p.due + interval
	}
	return due, due <= latest
}

// Use reports whether a caller returns at the time of a promise, which is used up by that. Whoever
// sends the request first uses it. An early caller leaves its promise as it is.
func (s *Schedule) Use(now time.Duration, c Caller) bool {
	s.expire(now)
	if c.Request == 0 {
		return false
	}
	of, i := s.find(func(p promise) bool { return p.caller.Request == c.Request })
	if of == nil {
		return false
	}
	if of.open[i].due > now+EarlyTolerance {
		if own, _ := s.find(func(p promise) bool { return p.caller.isSame(c) }); own != nil {
			s.counts.Early++
		}
		return false
	}
	of.lastKept, of.anyKept = max(of.lastKept, of.open[i].due), true
	of.open = slices.Delete(of.open, i, i+1)
	s.open--
	s.counts.Kept++
	s.recordEnd(1)
	return true
}

// DueBefore returns the number of promises of a class that are due before a time and expected to be
// kept.
func (s *Schedule) DueBefore(now time.Duration, class Class, before time.Duration) int {
	of := s.classes[class]
	if s.open == 0 || of == nil {
		return 0
	}
	s.expire(now)
	return int(float64(of.countBefore(before)) * s.keptShare)
}

// expire removes promises that can no longer be used.
func (s *Schedule) expire(now time.Duration) {
	if s.open == 0 {
		return
	}
	for _, cp := range s.classes {
		n := cp.countBefore(now - Grace)
		if n == 0 {
			continue
		}
		cp.open = slices.Delete(cp.open, 0, n)
		s.open -= n
		s.counts.Lapsed += n
		for range n {
			s.recordEnd(0)
		}
	}
}

func (s *Schedule) recordEnd(kept float64) { s.keptShare += (kept - s.keptShare) * keptWeight }

// TakeCounts returns the counts since the last call.
func (s *Schedule) TakeCounts(now time.Duration) Counts {
	s.expire(now)
	c := s.counts
	s.counts = Counts{}
	return c
}
