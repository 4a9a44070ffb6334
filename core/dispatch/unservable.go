package dispatch

import (
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

// class is a set of jobs served in order among themselves: the jobs of a tier that can still be
// on time, or its late ones.
type class struct {
	tier int
	late bool
}

const (
	// minQueuedPerClass is the number of jobs of a class that may wait whatever the recent rate of
	// placements: they reveal when there is capacity for the class again.
	minQueuedPerClass = 3
	// maxVainWait is the part of its caller's time for which a late job waits while none of its
	// class is placed, at endpoints whose limits tell their capacity. The rest is for the caller to
	// retry.
	maxVainWait = 0.5
)

// classPlacements records the placements of a class.
type classPlacements struct {
	rate decayingRate
	// last is when the newest one was made, if any was.
	last time.Duration
	any  bool
}

func (p *classPlacements) add(now time.Duration) {
	p.rate.add(now)
	p.last, p.any = now, true
}

func (sv *service) placementsOf(c class) *classPlacements {
	p := sv.classPlacements[c]
	if p == nil {
		p = &classPlacements{}
		sv.classPlacements[c] = p
	}
	return p
}

// waitsInVain reports whether none of a late job's class was placed while it waited, for most of its
// caller's time.
func (sv *service) waitsInVain(now time.Duration, j *Job) bool {
	p := sv.placementsOf(class{j.Tier, true})
	waited, callerTime := now-j.arrived, j.AbandonAt-j.arrived
	return float64(waited) > maxVainWait*float64(callerTime) && (!p.any || p.last < j.arrived)
}

// expectedWait returns how long a job of a class waits behind others of it, at the recent rate
// of placements. known is false if too few jobs are ahead for an estimate.
func (sv *service) expectedWait(now time.Duration, c class, ahead int) (wait time.Duration, known bool) {
	if ahead < minQueuedPerClass {
		return 0, false
	}
	rate := sv.placementsOf(c).rate.perSecond(now)
	if float64(ahead) > rate*maxWait.Seconds() {
		return maxWait, true
	}
	return toDuration(float64(ahead) / rate), true
}

// maxWait limits estimated waits; no caller waits longer.
const maxWait = 30 * time.Second

// unservable reports whether a job is expected to wait in vain, so that refusing it now leaves
// its caller time to retry: the jobs of its class ahead of it take until it is late, and the
// late ones until its caller disconnects. Without this, most refused jobs of the lowest tier
// would use up most of their callers' timeout.
func (sv *service) unservable(now time.Duration, j *Job, ahead map[class]int, late int) bool {
	if sv.disabled.Has(mechanism.Hopeless) {
		return false
	}
	if j.late {
		if sv.limited && sv.waitsInVain(now, j) {
			return true
		}
		// Late jobs behind it in the queue do not count.
		late = ahead[class{j.Tier, true}]
	}
	wait, known := sv.expectedWait(now, class{j.Tier, true}, sv.withPromised(now, j, class{j.Tier, true}, late, j.AbandonAt))
	if !known || wait <= j.AbandonAt-now {
		return false
	}
	if j.late {
		return true
	}
	onTime := class{j.Tier, false}
	wait, known = sv.expectedWait(now, onTime, sv.withPromised(now, j, onTime, ahead[onTime], j.Objective))
	return known && wait > j.Objective-now
}

// lateJobsByTier counts the late jobs in the queue by tier.
func (sv *service) lateJobsByTier() map[int]int {
	late := make(map[int]int)
	for _, j := range sv.queue {
		if j.late && !j.excluded {
			late[j.Tier]++
		}
	}
	return late
}
