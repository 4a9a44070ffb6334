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

// keptAnyway is how many jobs of a class wait whatever was placed lately: they show
// when there is room for the class again.
const keptAnyway = 3

func (sv *service) classRate(c class) *rate {
	r := sv.served[c]
	if r == nil {
		r = &rate{}
		sv.served[c] = r
	}
	return r
}

// wait is how long a job of a class waits behind others of it, as fast as they were
// placed lately; known is false if too few are ahead to tell.
func (sv *service) wait(now time.Duration, c class, ahead int) (wait time.Duration, known bool) {
	if ahead < keptAnyway {
		return 0, false
	}
	rate := sv.classRate(c).perSecond(now)
	if float64(ahead) > rate*maxWait.Seconds() {
		return maxWait, true
	}
	return seconds(float64(ahead) / rate), true
}

// maxWait bounds waits that are told apart; no caller waits for so long.
const maxWait = 30 * time.Second

// hopeless says whether a job waits for nothing, so that its caller is better told now, while
// it has time to return: others of its class ahead of it take until it is late, and
// the late ones until its caller leaves. Held to the end, most refused jobs of the lowest tier
// would cost their callers most of their patience.
func (sv *service) hopeless(now time.Duration, j *Job, ahead map[class]int, late int) bool {
	if j.late {
		// Those behind it in the queue do not count.
		late = ahead[class{j.Tier, true}]
	}
	wait, known := sv.wait(now, class{j.Tier, true}, late)
	if sv.off.Has(mechanism.Hopeless) || !known || wait <= j.AbandonAt-now {
		return false
	}
	if j.late {
		return true
	}
	onTime := class{j.Tier, false}
	wait, known = sv.wait(now, onTime, ahead[onTime])
	return known && wait > j.Objective-now
}

// lateJobs counts the waiting jobs that are late, by tier.
func (sv *service) lateJobs() map[int]int {
	late := make(map[int]int)
	for _, j := range sv.queue {
		if j.late {
			late[j.Tier]++
		}
	}
	return late
}
