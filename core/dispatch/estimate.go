package dispatch

import "math"

// What is learned of endpoints follows observations by two estimators: floor the low end
// of what disturbances only lengthen, typical a quantile of what is off either way.

// lowEstimate follows the low end of a quantity: what it takes when nothing disturbs.
// An engine's pace shows when no prompt is being read in between; an average
// would tell the load, not the engine. A lower value counts at once, a higher one
// by hundreds, so an engine that turns slow is noticed within a second or two of
// ten streams.
type lowEstimate struct {
	value   float64
	samples int
}

const (
	lowDownWeight = 0.3
	lowUpWeight   = 0.01
	// lowMaxJump bounds how far above or below the floor a single value counts: events
	// that a stalled link brings at the same moment say nothing of the engine.
	lowMaxJump = 3
)

// observe takes in a value above 0; others are none.
func (f *lowEstimate) observe(v float64) { f.observeWeighted(v, lowUpWeight) }

// observeWeighted is that with a weight for higher values.
func (f *lowEstimate) observeWeighted(v, up float64) {
	if !(v > 0) || math.IsInf(v, 0) {
		return
	}
	f.samples++
	switch {
	case f.value == 0:
		f.value = v
	case v < f.value:
		f.value += (max(v, f.value/lowMaxJump) - f.value) * lowDownWeight
	default:
		f.value += (min(v, lowMaxJump*f.value) - f.value) * up
	}
}

// merge takes in what a peer observed with a weight, fully if nothing was observed here.
func (f *lowEstimate) merge(v, weight float64) {
	if f.samples == 0 {
		f.value = v
		return
	}
	f.value += (v - f.value) * weight
}

// valueOr is the value, or def if there is none.
func (f *lowEstimate) valueOr(def float64) float64 {
	if f.value == 0 {
		return def
	}
	return f.value
}

// quantileEstimate follows the lowest fifth of a quantity by steps of a fixed share, whatever the
// size of an observation. Something that is far off now and then, such as a prompt that an
// engine has kept whole and need not read, hardly moves it. What others do at the engine
// lengthens most observations and is predicted apart.
type quantileEstimate struct {
	value   float64
	samples int
	// consecutiveAbove are the observations above it without one below in between.
	consecutiveAbove int
}

const (
	// quantileUp and typicalDown are the shares by which one observation moves it: a placer
	// sees so many first events that it is right within a second or two. With steps alike,
	// which follow the median, requests that could be on time are kept waiting under overload.
	quantileUp   = 0.01
	quantileDown = 0.04
	// quantileFarAfter is how many higher observations in a row say that it is far off, which
	// happens to one in thirty otherwise; typicalLeap is by how many times faster it
	// follows then.
	quantileFarAfter  = 12
	quantileFarFactor = 5
	// quantileMeanSamples is how many observations move it by their mean, so that it starts near.
	quantileMeanSamples = 10
)

// observe takes in a value above 0.
func (t *quantileEstimate) observe(v float64) {
	t.samples++
	switch {
	case t.samples <= quantileMeanSamples:
		t.value += (v - t.value) / float64(t.samples)
	case v <= t.value:
		t.consecutiveAbove = 0
		t.value *= 1 - quantileDown
	case t.consecutiveAbove < quantileFarAfter:
		t.consecutiveAbove++
		t.value *= 1 + quantileUp
	default:
		t.value *= 1 + quantileFarFactor*quantileUp
	}
}

// valueOr is the value, or def if there is none.
func (t *quantileEstimate) valueOr(def float64) float64 {
	if t.samples == 0 {
		return def
	}
	return t.value
}
