package dispatch

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of decayingRate: long against the time between two
// placements of a busy VM, short against a burst.
const rateTimeConstant = time.Second

// decayingRate counts events with exponentially decaying weight.
type decayingRate struct {
	sum float64
	at  time.Duration
}

func (r *decayingRate) decay(now time.Duration) {
	r.sum *= math.Exp(-(now - r.at).Seconds() / rateTimeConstant.Seconds())
	r.at = now
}

func (r *decayingRate) add(now time.Duration) {
	r.decay(now)
	r.sum++
}

func (r *decayingRate) perSecond(now time.Duration) float64 {
	r.decay(now)
	return r.sum / rateTimeConstant.Seconds()
}
