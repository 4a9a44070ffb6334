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
	// firstEventTimeout is how long a request that may be repeated waits at least for a
	// first sign of an endpoint before it goes on to another, and stallFactor how
	// many times the expected time. An endpoint that went dark behind an open
	// connection never answers; its callers leave after two seconds.
	firstEventTimeout       = time.Second
	firstEventTimeoutFactor = 4
	// nextEventTimeout is the same between two events of a stream.
	nextEventTimeout = time.Second
)

// stallWatchdog ends an attempt at an endpoint that has gone silent, if the request may
// go on elsewhere.
type stallWatchdog struct {
	mu       sync.Mutex
	timer    *time.Timer
	timedOut bool
	// stopped says that the attempt is over, repeat is what was paid as it fell silent.
	stopped bool
	permit  budget.Repeat
}

// startWatchdog starts to startWatchdog an attempt.
func (c *callerRequest) startWatchdog(dec dispatch.Decision, cancel context.CancelFunc) *stallWatchdog {
	w := &stallWatchdog{}
	// This attempt counts too.
	if c.d.settings.Off.Has(mechanism.StallRetry) || !c.route.Repeatable() || c.sendCount+1 >= c.route.MaxEndpoints {
		return w
	}
	tried := append(slices.Clone(c.tried), dispatch.NameOf(dec.Endpoint.Key()))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(max(firstEventTimeout, firstEventTimeoutFactor*dec.Predicted), func() {
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

// markTimedOut notes that the endpoint fell silent and that a repeat was paid, unless the attempt is
// over.
func (s *stallWatchdog) markTimedOut(permit budget.Repeat) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.timedOut, s.permit = true, permit
	return true
}

// recordEvent notes a recordEvent of life.
func (s *stallWatchdog) recordEvent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil && !s.timedOut {
		s.timer.Reset(nextEventTimeout)
	}
}

// stop ends the watch, and says whether the attempt was ended for silence.
func (s *stallWatchdog) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
	return s.timedOut
}
