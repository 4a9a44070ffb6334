package dispatch

import (
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

// class is jobs that are served in order among themselves: those of a tier that can
// still be on time, or those of it that are late.
type class struct {
	tier int
	late bool
}

// minQueuedPerClass is how many jobs of a class wait whatever was placed lately: they show
// when there is room for the class again.
const minQueuedPerClass = 3

func (sv *service) classRate(c class) *decayingRate {
	r := sv.classPlacements[c]
	if r == nil {
		r = &decayingRate{}
		sv.classPlacements[c] = r
	}
	return r
}

// expectedWait is how long a job of a class waits behind others of it, as fast as they were
// placed lately; known is false if too few are ahead to tell.
func (sv *service) expectedWait(now time.Duration, c class, ahead int) (wait time.Duration, known bool) {
	if ahead < minQueuedPerClass {
		return 0, false
	}
	rate := sv.classRate(c).perSecond(now)
	if float64(ahead) > rate*maxWait.Seconds() {
		return maxWait, true
	}
	return toDuration(float64(ahead) / rate), true
}

// maxWait bounds waits that are told apart; no caller waits for so long.
const maxWait = 30 * time.Second

// unservable says whether a job waits for nothing, so that its caller is better told now, while
// it has time to return: others of its class ahead of it take until it is late, and
// the late ones until its caller leaves. Held to the end, most refused jobs of the lowest tier
// would cost their callers most of their patience.
func (sv *service) unservable(now time.Duration, j *Job, ahead map[class]int, late int) bool {
	if j.late {
		// Those behind it in the queue do not count.
		late = ahead[class{j.Tier, true}]
	}
	wait, known := sv.expectedWait(now, class{j.Tier, true}, late)
	if sv.disabled.Has(mechanism.Hopeless) || !known || wait <= j.AbandonAt-now {
		return false
	}
	if j.late {
		return true
	}
	onTime := class{j.Tier, false}
	wait, known = sv.expectedWait(now, onTime, ahead[onTime])
	return known && wait > j.Objective-now
}

// lateJobsByTier counts the waiting jobs that are late, by tier.
func (sv *service) lateJobsByTier() map[int]int {
	late := make(map[int]int)
	for _, j := range sv.queue {
		if j.late {
			late[j.Tier]++
		}
	}
	return late
}
