package dispatch

import "math"

// Quantities of endpoints are learned by two estimators: lowEstimate follows the low end of a
// quantity that disturbances only lengthen, quantileEstimate a quantile of one that deviates
// either way.

// lowEstimate follows the low end of a quantity, that is its undisturbed value. An engine's
// event gap shows only while no prompt is being processed in between; an average would measure
// the load, not the engine. A lower value has a large weight, a higher one a weight of a
// hundredth, so an engine that slows down is detected within a second or two of ten streams.
type lowEstimate struct {
	value   float64
	samples int
}

const (
	lowDownWeight = 0.3
	lowUpWeight   = 0.01
	// lowMaxJump limits the factor by which a single value can lie above or below the estimate:
	// events that a stalled connection delivers together say nothing about the engine.
	lowMaxJump = 3
)

// observe records a value above 0; others are ignored.
func (e *lowEstimate) observe(v float64) { e.observeWeighted(v, lowUpWeight) }

// observeWeighted records a value as observe does, with the given weight for higher values.
func (e *lowEstimate) observeWeighted(v, up float64) {
	if !(v > 0) || math.IsInf(v, 0) {
		return
	}
	e.samples++
	switch {
	case e.value == 0:
		e.value = v
	case v < e.value:
		e.value += (max(v, e.value/lowMaxJump) - e.value) * lowDownWeight
	default:
		e.value += (min(v, lowMaxJump*e.value) - e.value) * up
	}
}

// merge blends in a peer's estimate with the given weight. It takes the value as it is if
// nothing was observed here.
func (e *lowEstimate) merge(v, weight float64) {
	if e.samples == 0 {
		e.value = v
		return
	}
	e.value += (v - e.value) * weight
}

// valueOr returns the estimate, or def if there is none.
func (e *lowEstimate) valueOr(def float64) float64 {
	if e.value == 0 {
		return def
	}
	return e.value
}

// quantileEstimate follows the lowest fifth of a quantity in steps of a fixed share, whatever
// the size of an observation. Occasional outliers, such as a prompt that is cached by an engine
// and not processed again, hardly move it. Other load at the engine lengthens most observations
// and is predicted separately.
type quantileEstimate struct {
	value   float64
	samples int
	// consecutiveAbove counts the observations above the estimate since the last one below.
	consecutiveAbove int
}

const (
	// quantileUp and quantileDown are the shares by which one observation moves the estimate: a
	// placer sees enough first events to converge within a second or two. With equal steps,
	// which follow the median, requests that could be on time are kept waiting under overload.
	quantileUp   = 0.01
	quantileDown = 0.04
	// quantileFarAfter is the number of consecutive higher observations after which the
	// estimate counts as far off; otherwise such a run occurs once in thirty. quantileFarFactor
	// is the factor by which it then moves faster.
	quantileFarAfter  = 12
	quantileFarFactor = 5
	// quantileMeanSamples is the number of first observations that are averaged, for a good
	// start value.
	quantileMeanSamples = 10
)

// observe records a value above 0.
func (q *quantileEstimate) observe(v float64) {
	q.samples++
	switch {
	case q.samples <= quantileMeanSamples:
		q.value += (v - q.value) / float64(q.samples)
	case v <= q.value:
		q.consecutiveAbove = 0
		q.value *= 1 - quantileDown
	case q.consecutiveAbove < quantileFarAfter:
		q.consecutiveAbove++
		q.value *= 1 + quantileUp
	default:
		q.value *= 1 + quantileFarFactor*quantileUp
	}
}

// valueOr returns the estimate, or def if there is none.
func (q *quantileEstimate) valueOr(def float64) float64 {
	if q.samples == 0 {
		return def
	}
	return q.value
}
