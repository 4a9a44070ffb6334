package entry

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/timeout"
)

// Guards against a VM that was paused, or got no processor time, and takes its endpoints for stalled:
// when it runs again all timeouts have passed, and what arrived meanwhile is read a moment later.
func TestPausedProcessDoesNotTakeEndpointsForStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var w stallWatchdog
		var stalls atomic.Int32
		w.start(firstEventTimeout, func(time.Duration) { stalls.Add(1) })
		for range 3 {
			time.Sleep(nextEventTimeout + timeout.Confirmation/2)
			w.recordEvent()
		}
		synctest.Wait()
		is.Equal(stalls.Load(), int32(0))
		time.Sleep(nextEventTimeout + timeout.Confirmation)
		synctest.Wait()
		is.Equal(stalls.Load(), int32(1))
		w.stop()
	})
}
