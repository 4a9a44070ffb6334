package timeout

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a timeout that never passes, or before its time.
func TestTimerFires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var fired atomic.Int32
		timer := AfterFunc(time.Second, func(time.Duration) { fired.Add(1) })
		time.Sleep(time.Second + Confirmation/2)
		synctest.Wait()
		is.Equal(fired.Load(), int32(0))
		timer.Reset(time.Second)
		time.Sleep(time.Second + Confirmation/2)
		synctest.Wait()
		is.Equal(fired.Load(), int32(0))
		time.Sleep(Confirmation)
		synctest.Wait()
		is.Equal(fired.Load(), int32(1))
	})
}

// Guards against a process that takes others for slow because it is late itself, however often in a
// row and by how much.
func TestLateProcessDoesNotTimeOut(t *testing.T) {
	is := is.New(t)
	fired := 0
	timer := AfterFunc(time.Hour, func(time.Duration) { fired++ })
	defer timer.Stop()
	for _, late := range []time.Duration{3 * time.Second, 200 * time.Millisecond, time.Minute, 150 * time.Millisecond} {
		timer.due = time.Now().Add(-late)
		timer.fire()
		is.Equal(fired, 0)
	}
	timer.due = time.Now()
	timer.fire()
	is.Equal(fired, 1)
}

// Guards against an operation that goes on after its timeout, and against one whose cause does not
// say that it timed out.
func TestContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := Context(context.Background(), time.Second)
		defer cancel()
		<-ctx.Done()
		is.Equal(context.Cause(ctx), context.DeadlineExceeded)
	})
}

// Guards against a stream whose later stalls go unnoticed because its caller had no alternative at the
// first one, and against a timer that is started anew by an event that came before.
func TestTimerFiresAgainAfterReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var fired atomic.Int32
		timer := AfterFunc(time.Second, func(time.Duration) { fired.Add(1) })
		time.Sleep(2 * time.Second)
		timer.Reset(time.Second)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(fired.Load(), int32(2))
		timer.Stop()
		timer.Reset(time.Second)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(fired.Load(), int32(2))
	})
}

// Guards against waits without an end in a process that is always late.
func TestTimerEndsInProcessThatIsAlwaysLate(t *testing.T) {
	is := is.New(t)
	fired := 0
	timer := AfterFunc(time.Hour, func(time.Duration) { fired++ })
	defer timer.Stop()
	for range 100 {
		if fired > 0 {
			break
		}
		timer.due = time.Now().Add(-time.Second)
		timer.fire()
	}
	is.Equal(fired, 1)
}
