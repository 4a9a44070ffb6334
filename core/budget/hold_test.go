package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that is taken from an endpoint for a retry whose permit expires before the
// retry is sent.
func TestPermitLastsUntilItIsSent(t *testing.T) {
	const window, hold = 10 * time.Second, 700 * time.Millisecond
	for _, offset := range []time.Duration{0, 100 * time.Millisecond, 499 * time.Millisecond} {
		is := is.New(t)
		b := New(0.2, window)
		for range 10 {
			b.RecordRequest(0)
		}
		now := window - time.Second + offset
		for range 10 {
			b.RecordRequest(now)
		}
		p, ok := b.AcquireFor(now, hold)
		is.True(ok)
		// All other credit is spent meanwhile.
		for {
			if _, ok := b.Acquire(now + hold); !ok {
				break
			}
		}
		_, ok = b.Renew(now+hold, p)
		is.True(ok)
	}
}
