package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/budget"
	"github.com/chivefield/chivefield/core/dispatch"

	"github.com/chivefield/chivefield/core/mechanism"
)

const (
	// A retryable request is sent to another endpoint if the first event does not arrive within
	// firstEventTimeoutFactor times the predicted time, or firstEventTimeout if that is longer.
	// An endpoint that becomes unreachable behind an open connection never responds; its callers
	// disconnect after two seconds.
	firstEventTimeout       = time.Second
	firstEventTimeoutFactor = 4
	// nextEventTimeout is the timeout between two events of a stream.
	nextEventTimeout = time.Second
	// stallConfirmation is how much longer nothing must arrive. When this process was paused, all
	// timers expire at once, before what has arrived meanwhile is read.
	stallConfirmation = 100 * time.Millisecond
)

// stallWatchdog cancels an attempt at an endpoint that has stopped responding, if the request may
// be retried elsewhere.
type stallWatchdog struct {
	mu       sync.Mutex
	timer    *time.Timer
	timedOut bool
	// expired is set once the timeout has passed and stallConfirmation runs.
	expired bool
	// stopped is set once the attempt is over, permit is the retry acquired when the attempt
	// timed out.
	stopped bool
	permit  budget.Permit
}

// startWatchdog starts a watchdog for an attempt.
func (c *callerRequest) startWatchdog(dec dispatch.Decision, cancel context.CancelFunc) *stallWatchdog {
	w := &stallWatchdog{}
	// The endpoint limit includes this attempt.
	if c.d.settings.Disabled.Has(mechanism.StallRetry) || !c.route.Retryable() || c.sendCount+1 >= c.route.MaxEndpoints {
		return w
	}
	tried := append(slices.Clone(c.tried), dispatch.EndpointHash(dec.Endpoint.Key()))
	w.start(max(firstEventTimeout, firstEventTimeoutFactor*dec.Predicted), func() {
		if time.Until(c.deadline) < shortRetryAfter || !c.d.sched.hasAlternative(c.service, tried) {
			return
		}
		permit, ok := c.d.retryBudgets.acquire(c.service)
		if !ok {
			return
		}
		if !w.markTimedOut(permit) {
			c.d.retryBudgets.release(c.service, permit)
			return
		}
		cancel()
	})
	return w
}

// start has stalled called if no event arrives within a timeout and stallConfirmation after it.
func (w *stallWatchdog) start(timeout time.Duration, stalled func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, func() {
		if w.confirmed() {
			stalled()
		}
	})
}

// confirmed reports whether stallConfirmation has passed too; if not, it begins.
func (w *stallWatchdog) confirmed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	if !w.expired {
		w.expired = true
		w.timer.Reset(stallConfirmation)
		return false
	}
	return true
}

// markTimedOut records that the endpoint stopped responding and that a retry was acquired. It
// returns false if the attempt is already over.
func (w *stallWatchdog) markTimedOut(permit budget.Permit) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	w.timedOut, w.permit = true, permit
	return true
}

// recordEvent restarts the timeout after an event.
func (w *stallWatchdog) recordEvent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.timedOut {
		w.expired = false
		w.timer.Reset(nextEventTimeout)
	}
}

// stop stops the watchdog and reports whether it timed the attempt out.
func (w *stallWatchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.timedOut
}
