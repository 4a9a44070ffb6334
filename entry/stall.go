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
	// stallFirst is how long a request that may be repeated waits at least for a
	// first sign of an endpoint before it goes on to another, and stallFactor how
	// many times the expected time. An endpoint that went dark behind an open
	// connection never answers; its callers leave after two seconds.
	stallFirst  = time.Second
	stallFactor = 4
	// stallNext is the same between two events of a stream.
	stallNext = time.Second
)

// stall ends an attempt at an endpoint that has gone silent, if the request may
// go on elsewhere.
type stall struct {
	mu     sync.Mutex
	timer  *time.Timer
	silent bool
	// ended says that the attempt is over, repeat is what was paid as it fell silent.
	ended  bool
	repeat budget.Permit
}

// watch starts to watch an attempt.
func (c *caller) watch(dec dispatch.Decision, cancel context.CancelFunc) *stall {
	s := &stall{}
	// This attempt counts too.
	if c.d.set.Off.Has(mechanism.StallRetry) || !c.route.Retryable() || c.sent+1 >= c.route.MaxEndpoints {
		return s
	}
	tried := append(slices.Clone(c.tried), dispatch.EndpointHash(dec.Endpoint.Key()))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(max(stallFirst, stallFactor*dec.Predicted), func() {
		if time.Until(c.limit) < shortWait || !c.d.sched.otherFit(c.service, tried) {
			return
		}
		repeat, ok := c.d.retries.pay(c.service)
		if !ok {
			return
		}
		if !s.fallSilent(repeat) {
			c.d.retries.giveBack(c.service, repeat)
			return
		}
		cancel()
	})
	return s
}

// fallSilent notes that the endpoint fell silent and that a repeat was paid, unless the attempt is
// over.
func (s *stall) fallSilent(repeat budget.Permit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.silent, s.repeat = true, repeat
	return true
}

// sign notes a sign of life.
func (s *stall) sign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil && !s.silent {
		s.timer.Reset(stallNext)
	}
}

// over ends the watch, and says whether the attempt was ended for silence.
func (s *stall) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.timer != nil {
		s.timer.Stop()
	}
	return s.silent
}
