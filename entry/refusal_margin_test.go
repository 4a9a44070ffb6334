package entry

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/logging"
)

// Guards against waiting requests that are refused only once their time limit has passed, when their
// callers have gone.
func TestWaitingRequestIsRefusedBeforeItsTimeLimit(t *testing.T) {
	d := New(Options{Settings: testSettings(t, false), Log: logging.New(io.Discard)})
	d.table.Store(routing.NewTable(&routing.Document{}))
	for _, limit := range []time.Duration{200 * time.Millisecond, 4 * time.Second, time.Minute} {
		for _, kind := range []routing.RequestKind{routing.Idempotent, routing.NonIdempotent, routing.Stream} {
			is := is.New(t)
			arrived := time.Now()
			c := &callerRequest{d: d, arrived: arrived, deadline: arrived.Add(limit), route: &routing.Route{Kind: kind, MaxPause: time.Minute}}
			atLimit := d.now() + time.Until(c.deadline)
			left := atLimit - c.dispatchJob().AbandonAt
			is.True(left >= min(100*time.Millisecond, limit/10))
			is.True(left <= limit/2 || kind == routing.Stream)
		}
	}
}
