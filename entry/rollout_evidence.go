package entry

import (
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/rollout"
)

// observe counts what an attempt says of the version. The lock is held.
//
// What says nothing of it: endpoints that were full or gone, and requests cut off by the
// crash of their endpoint, which comes to good versions too.
func (v *visit) observe(a attemptResult) {
	took := v.r.d.now() - v.began
	switch a.outcome {
	case dispatch.Answered:
		v.count(func(c *rollout.Counts) {
			c.Answers++
			if !v.cold {
				c.First.Observe(v.first)
				c.Whole.Observe(took)
			}
		})
	case dispatch.Left:
		v.observeLeft(took)
	case dispatch.Failed:
		v.failed()
	case dispatch.Broken, dispatch.Silent:
		if a.connectionLost {
			time.AfterFunc(cutSettles, v.cutOff)
			return
		}
		v.failed()
	}
}

// observeLeft counts a request whose caller left: one that waited long for an endpoint saw a
// slow one, and versions that are slow would otherwise lose their slowest answers.
func (v *visit) observeLeft(took time.Duration) {
	if v.cold || v.first == 0 && took < leastCensored {
		return
	}
	first := v.first
	if first == 0 {
		first = took
	}
	v.count(func(c *rollout.Counts) {
		c.Answers++
		c.First.Observe(first)
	})
}

func (v *visit) failed() {
	v.count(func(c *rollout.Counts) {
		c.Answers++
		c.Failures++
	})
}

func (v *visit) count(add func(*rollout.Counts)) { v.m.evidence.Count(v.group, add) }

// cutOff counts a request that was cut off a while ago, unless its endpoint has ended or leaves.
func (v *visit) cutOff() {
	if !v.r.d.sched.isServing(v.ep) || v.r.d.suspects.hasEnded(v.ep) {
		return
	}
	v.r.mu.Lock()
	defer v.r.mu.Unlock()
	v.count(func(c *rollout.Counts) {
		c.Answers++
		c.Cuts++
	})
}
