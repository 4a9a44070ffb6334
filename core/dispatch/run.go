package dispatch

import (
	"time"

	"github.com/chivefield/chivefield/core/concurrency"
)

// run is a job that is in progress at an endpoint.
type run struct {
	job       *Job
	ep        *endpoint
	sent      time.Duration
	started   bool
	lastEvent time.Duration
	// batched is set if the last events arrived together, or if the last event was the first,
	// so that the time to the next one does not measure the event gap.
	batched bool
	// pendingGap is the time between the last two events if it measures the event gap; 0
	// otherwise.
	pendingGap  time.Duration
	tokensAhead int
	// predicted is the predicted time to the first event.
	predicted time.Duration
	// adopted is set on runs placed by another VM, which reports their load to all peers.
	adopted bool
	// trial is set if the endpoint was ejected when the run began.
	trial bool
	// learned is the run for the endpoint's learner, if it has one.
	learned concurrency.Request
}
