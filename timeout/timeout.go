// Package timeout bounds waits by the time in which this process ran. A process that stood still or
// got no processor time finds that all of its timeouts have passed, before it has read what arrived
// meanwhile; it must not conclude from them that others are slow.
package timeout

import (
	"context"
	"runtime"
	"sync"
	"time"
)

// Confirmation is how much longer nothing must happen once a timeout has passed, and how late a
// timer may fire in a process that runs as it should.
const Confirmation = 100 * time.Millisecond

// maxConfirmations bounds the Confirmations in a row for which the process may be late: a wait in a
// process that is always late must end too.
const maxConfirmations = 10

// Timer calls a function once a timeout has passed and, after it, a Confirmation for which the
// process was not late.
type Timer struct {
	mu    sync.Mutex
	timer *time.Timer
	f     func(late time.Duration)
	// end is when a process that runs as it should calls f.
	end time.Time
	// due is when the running stage ends, confirmations counts those begun.
	due           time.Time
	confirmations int
	stopped       bool
}

// AfterFunc starts a timer that calls f in a goroutine of its own, with how late this process is.
func AfterFunc(d time.Duration, f func(late time.Duration)) *Timer {
	t := &Timer{f: f}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due = time.Now().Add(d)
	t.end = t.due.Add(Confirmation)
	t.timer = time.AfterFunc(d, t.fire)
	return t
}

func (t *Timer) fire() {
	// Timers run before goroutines that wait for a processor. What is ready runs first, and how long
	// that takes counts as lateness.
	runtime.Gosched()
	if late, ok := t.passed(); ok {
		t.f(late)
	}
}

// passed reports whether the timeout is over; if not, it starts the next Confirmation.
func (t *Timer) passed() (late time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.stopped || now.Before(t.due) {
		return 0, false
	}
	onTime := t.confirmations > 0 && now.Sub(t.due) <= Confirmation
	if onTime || t.confirmations >= maxConfirmations {
		return now.Sub(t.end), true
	}
	t.confirmations++
	t.due = now.Add(Confirmation)
	t.timer.Reset(Confirmation)
	return 0, false
}

// Reset starts the timer anew unless it has been stopped.
func (t *Timer) Reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.confirmations = 0
	t.due = time.Now().Add(d)
	t.end = t.due.Add(Confirmation)
	t.timer.Reset(d)
}

// Stop ends the timer. f may still run if it has been started already.
func (t *Timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// Context returns a copy of ctx that ends, with the cause context.DeadlineExceeded, once the timeout
// has passed.
func Context(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := AfterFunc(d, func(time.Duration) { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}
