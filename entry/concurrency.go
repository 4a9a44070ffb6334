package entry

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivefield/chivefield/core/dispatch"
)

// limitedEndpoints is the gauge of the endpoints with a learned concurrency limit.
const limitedEndpoints = "endpoints_limited"

// logLimits logs and counts the concurrency limits of endpoints that were learned, have moved, or were
// lifted.
func (d *Daemon) logLimits(changes []dispatch.LimitChange, limited int) {
	metrics.GetOrRegisterGauge(limitedEndpoints, d.metrics).Update(int64(limited))
	for _, c := range changes {
		event := "endpoint_limit_moved"
		switch {
		case c.From == 0:
			event = "endpoint_limit_learned"
		case c.To == 0:
			event = "endpoint_limit_lifted"
		}
		d.count(event)
		d.log.Info().Str("endpoint", c.Endpoint).Int("from", c.From).Int("to", c.To).Int("allowed", c.Allowed).Msg(event)
	}
}

// wireAge returns the age of a response for a note, in milliseconds; 0 stands for no response.
func wireAge(age time.Duration) uint32 { return uint32(min(age.Milliseconds(), math.MaxUint32)) }
