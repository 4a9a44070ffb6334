package dispatch

import (
	"math"
	"time"
)

// rateTime is the time over which a rate fades: long against the time between two
// placements of a busy VM, short against that of a burst.
const rateTime = time.Second

// rate counts events with a weight that fades.
type rate struct {
	sum float64
	at  time.Duration
}

func (r *rate) fade(now time.Duration) {
	r.sum *= math.Exp(-(now - r.at).Seconds() / rateTime.Seconds())
	r.at = now
}

func (r *rate) count(now time.Duration) {
	r.fade(now)
	r.sum++
}

func (r *rate) perSecond(now time.Duration) float64 {
	r.fade(now)
	return r.sum / rateTime.Seconds()
}
