package dispatch

import (
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/core/returns"
)

// A refused caller is told when capacity is expected that no other caller was promised. If it
// returns at that time, its job precedes new ones of its rank.

const (
	// promisedShare is the share of the rate of placements of a class that is promised. The rest is
	// left for new callers: each promise costs another caller a refusal, and with larger shares fewer
	// responses were within the objective of the first attempt (docs/design/return-times.md).
	promisedShare = 0.25
	// maxReturnShare is the share of their remaining time for which callers wait before they return.
	maxReturnShare = 1.0 / 3
	// Callers without a promise return after at least minUnpromisedShare of the longest time, when the
	// overload is most likely over. The rest is jitter, so that they do not return together.
	minUnpromisedShare = 0.7
	// minRetryAfter is the least Retry-After. Without one, callers do not know that they may return.
	minRetryAfter = time.Millisecond
)

// callerOf returns what identifies the caller of a job over its attempts.
func callerOf(j *Job) returns.Caller {
	return returns.Caller{Request: j.Request, GivesUp: max(j.AbandonAt, j.Deadline)}
}

// recogniseReturn marks a submitted job of a caller that returns at the time that it was promised.
func (sv *service) recogniseReturn(now time.Duration, j *Job) {
	if !sv.disabled.Has(mechanism.ReturnTimes) {
		j.returning = sv.returns.Use(now, callerOf(j))
	}
}

// compareReturns orders two jobs of which one is of a caller that keeps to its time: that one comes first.
func compareReturns(a, b *Job) int {
	if a.returning {
		return -1
	}
	return 1
}

// setReturnTime replaces the return time of a job that was refused for lack of capacity by the first one
// at which capacity is expected. If there is none within the time for which the caller waits, the caller
// is told nearly all of that time. stated is how long the endpoints' own limits or backoffs last; no
// caller returns before, and without a promise callers are told that time as it is.
func (sv *service) setReturnTime(now time.Duration, j *Job, d *Decision, stated time.Duration) {
	if sv.disabled.Has(mechanism.ReturnTimes) || d.Reason != ReasonTooLate && d.Reason != ReasonQueueFull {
		return
	}
	longest := time.Duration(maxReturnShare * float64(callerOf(j).GivesUp-now))
	if due, ok := sv.promise(now, j, now+stated, now+longest); ok {
		d.RetryAfter, d.Promised = max(minRetryAfter, due-now), true
		return
	}
	if stated > 0 {
		return
	}
	wait := minUnpromisedShare + (1-minUnpromisedShare)*jitterOf(j)
	d.RetryAfter = max(minRetryAfter, time.Duration(wait*float64(longest)))
}

// jitterOf returns a number in [0, 1) that is derived from the job's handle. The multiplier spreads consecutive handles.
func jitterOf(j *Job) float64 { return float64(j.Handle*2654435761%1000) / 1000 }

// promise makes a promise to the caller of a refused job, between two times.
func (sv *service) promise(now time.Duration, j *Job, earliest, latest time.Duration) (due time.Duration, ok bool) {
	if j.Continues || j.Suspicion == Quarantined {
		return 0, false
	}
	c := sv.returnClass(j)
	perSecond := sv.placementsOf(c).rate.perSecond(now)
	if perSecond == 0 {
		return 0, false
	}
	earliest = max(earliest, now+toDuration(float64(sv.ahead[c]+1)/perSecond))
	return sv.returns.Promise(now, callerOf(j), returns.Class{Tier: c.tier, Late: c.late}, returns.Demand{
		PerSecond: promisedShare * perSecond, Earliest: earliest, Latest: latest,
	})
}

// returnClass returns the class in which a refused caller is expected to return. Each attempt has an
// objective of its own, so a caller that could be on time when it came can be on time again.
func (sv *service) returnClass(j *Job) class {
	return class{j.Tier, j.arrived+sv.minFirstEventTime(j, sv.fastestEndpoint()) > j.Objective}
}

// withPromised returns how many jobs of a class precede a job: those that wait, and the promises due
// before a time. Promises count only behind as many waiting jobs as show that no slot is free, and not
// for callers that return at their own time.
func (sv *service) withPromised(now time.Duration, j *Job, c class, waiting int, before time.Duration) int {
	if sv.disabled.Has(mechanism.ReturnTimes) || j.returning || waiting < minQueuedPerClass {
		return waiting
	}
	return waiting + sv.returns.DueBefore(now, returns.Class{Tier: c.tier, Late: c.late}, before)
}

// ReturnCounts counts promises of return times over all services.
type ReturnCounts = returns.Counts

// TakeReturnCounts returns the counts since the last call.
func (s *Scheduler) TakeReturnCounts(now time.Duration) ReturnCounts {
	var sum ReturnCounts
	for _, sv := range s.services {
		c := sv.returns.TakeCounts(now)
		sum.Made, sum.Kept, sum.Lapsed, sum.Early = sum.Made+c.Made, sum.Kept+c.Kept, sum.Lapsed+c.Lapsed, sum.Early+c.Early
	}
	return sum
}
