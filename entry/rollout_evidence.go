package entry

import (
	"context"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/rollout"
)

// observe counts the result of an attempt for its version. The caller holds the lock.
//
// Not counted: endpoints that were full or gone, and requests cut off by the crash of their
// endpoint, which happens to good versions too.
func (v *trackedAttempt) observe(a attemptResult) {
	if v.stallCounted {
		return
	}
	took := v.rollouts.d.now() - v.startedAt
	switch a.outcome {
	case dispatch.Answered:
		v.count(func(c *rollout.Counts) {
			c.Answers++
			if !v.cold {
				c.FirstEvent.Observe(v.firstEventAfter)
				c.WholeAnswer.Observe(took)
			}
		})
	case dispatch.CallerDisconnected:
		v.countCallerDisconnected(took)
	case dispatch.Failed:
		v.countFailure()
	case dispatch.Broken, dispatch.Silent, dispatch.Endless:
		if a.connectionLost {
			time.AfterFunc(cutSettleTime, v.countCut)
			return
		}
		v.countFailure()
	}
}

// countCallerDisconnected counts a request whose caller disconnected. A caller that waited long saw a slow
// endpoint: without these counts slow versions would lose their slowest responses.
func (v *trackedAttempt) countCallerDisconnected(took time.Duration) {
	if v.cold || v.firstEventAfter == 0 && took < minCensoredTime {
		return
	}
	first := v.firstEventAfter
	if first == 0 {
		first = took
	}
	v.count(func(c *rollout.Counts) {
		c.Answers++
		c.FirstEvent.Observe(first)
	})
}

// recordStall counts an attempt whose endpoint has fallen silent as cut off if it still is after cutSettleTime, in
// which ctx then has not ended. Its caller may stay for much longer.
func (v *trackedAttempt) recordStall(ctx context.Context) {
	if v == nil {
		return
	}
	time.AfterFunc(cutSettleTime, func() {
		v.rollouts.mu.Lock()
		count := ctx.Err() == nil && !v.stallCounted
		v.stallCounted = v.stallCounted || count
		v.rollouts.mu.Unlock()
		if count {
			v.countCut()
		}
	})
}

func (v *trackedAttempt) countFailure() {
	v.count(func(c *rollout.Counts) {
		c.Answers++
		c.Failures++
	})
}

func (v *trackedAttempt) count(add func(*rollout.Counts)) { v.rollout.evidence.Update(v.group, add) }

// countCut counts a request that was cut off cutSettleTime ago, unless its endpoint has ended or is
// leaving.
func (v *trackedAttempt) countCut() {
	if !v.rollouts.d.sched.isServing(v.ep) || v.rollouts.d.poison.HasEnded(v.ep) {
		return
	}
	v.rollouts.mu.Lock()
	defer v.rollouts.mu.Unlock()
	v.count(func(c *rollout.Counts) {
		c.Answers++
		c.Cuts++
	})
}
