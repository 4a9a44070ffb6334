package entry

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// standstillLimit is the time without a beat, of ten a second, from which this process has stood still.
	standstillLimit = time.Second
	// standstillSettle is how long after that messages may be as old as the standstill: they waited in this VM's sockets.
	standstillSettle = 500 * time.Millisecond
)

// ClockError reports a clock of this machine that cannot be read.
type ClockError struct{ Err error }

// Error implements error.
func (e *ClockError) Error() string { return "clock cannot be read: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ClockError) Unwrap() error { return e.Err }

// suspendedTime returns for how long this machine has been suspended since it started. Timers and time.Since do not count
// that time.
func suspendedTime() (time.Duration, error) {
	var withSuspension, without unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &withSuspension); err != nil {
		return 0, &ClockError{Err: err}
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &without); err != nil {
		return 0, &ClockError{Err: err}
	}
	return time.Duration(withSuspension.Nano() - without.Nano()), nil
}

// standstill tells how much time has passed for others while this process, or its machine, may have stood still.
type standstill struct {
	// now returns the uptime of the process without suspensions, suspended the time of all suspensions.
	now       func() time.Duration
	suspended func() (time.Duration, error)
	// before is the time of suspensions before the process started.
	before time.Duration
	// beatAt is when the process last beat, wokeAt when it did so after a standstill; by elapsed, 0 for never.
	beatAt, wokeAt atomic.Int64
}

func newStandstill(now func() time.Duration, suspended func() (time.Duration, error)) *standstill {
	s := &standstill{now: now, suspended: suspended}
	var err error
	if s.before, err = suspended(); err != nil {
		// Without the clock suspensions are not noticed.
		s.suspended = func() (time.Duration, error) { return 0, nil }
	}
	return s
}

// elapsed returns the uptime of the process, suspensions included.
func (s *standstill) elapsed() time.Duration {
	suspended, err := s.suspended()
	if err != nil {
		return s.now()
	}
	return s.now() + suspended - s.before
}

// beat records that the process runs.
func (s *standstill) beat() {
	at := int64(s.elapsed())
	if last := s.beatAt.Swap(at); last > 0 && time.Duration(at-last) > standstillLimit {
		s.wokeAt.Store(at)
	}
}

// justEnded reports whether the process stood still a moment ago, so that what it receives now may be old.
func (s *standstill) justEnded() bool {
	now := s.elapsed()
	last, woke := time.Duration(s.beatAt.Load()), time.Duration(s.wokeAt.Load())
	return last > 0 && now-last > standstillLimit || woke > 0 && now-woke < standstillSettle
}
