package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
)

// Guards against wake-ups of a VM that has nothing to do: fifty a second cost more than its requests
// in a large deployment. A request that waits is checked as often as ever, from its arrival on.
func TestIdleVMTicksSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		s := newSharedScheduler("vm", "a", 0, func() time.Duration { return time.Since(start) })
		var ticks atomic.Int32
		s.onDepartures = func([]members.Departure) { ticks.Add(1) }
		s.countInvalid, s.probe = func(int) {}, func(dispatch.Probe) {}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.run(ctx) }()
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(ticks.Load() <= 11)
		s.mu.Lock()
		s.sched.SetEndpoints(s.now(), "s", []*members.Endpoint{{ID: "e", Service: "s", Address: "10.0.0.1:1", Slots: 1}}, false)
		s.mu.Unlock()
		job := dispatch.Job{Handle: 1, Service: "s", Objective: s.now() + time.Minute, AbandonAt: s.now() + time.Minute, Deadline: s.now() + time.Minute}
		_, ok := s.place(ctx, job)
		is.True(ok)
		time.Sleep(2 * time.Second)
		ticks.Store(0)
		waiting, giveUp := context.WithTimeout(ctx, time.Second)
		defer giveUp()
		job.Handle = 2
		_, ok = s.place(waiting, job)
		is.True(!ok)
		synctest.Wait()
		is.True(ticks.Load() >= 49)
		cancel()
		is.NoErr(<-done)
	})
}
