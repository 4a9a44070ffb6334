package dispatch

import "math"

// What is learned of endpoints follows observations by two estimators: floor the low end
// of what disturbances only lengthen, typical a quantile of what is off either way.

// floor follows the low end of a quantity: what it takes when nothing disturbs.
// An engine's pace shows when no prompt is being read in between; an average
// would tell the load, not the engine. A lower value counts at once, a higher one
// by hundreds, so an engine that turns slow is noticed within a second or two of
// ten streams.
type floor struct {
	value float64
	seen  int
}

const (
	floorDown = 0.3
	floorUp   = 0.01
	// floorJump bounds how far above or below the floor a single value counts: events
	// that a stalled link brings at the same moment say nothing of the engine.
	floorJump = 3
)

// observe takes in a value above 0; others are none.
func (f *floor) observe(v float64) { f.follow(v, floorUp) }

// follow is that with a weight for higher values.
func (f *floor) follow(v, up float64) {
	if !(v > 0) || math.IsInf(v, 0) {
		return
	}
	f.seen++
	switch {
	case f.value == 0:
		f.value = v
	case v < f.value:
		f.value += (max(v, f.value/floorJump) - f.value) * floorDown
	default:
		f.value += (min(v, floorJump*f.value) - f.value) * up
	}
}

// hear takes in what a peer observed with a weight, fully if nothing was observed here.
func (f *floor) hear(v, weight float64) {
	if f.seen == 0 {
		f.value = v
		return
	}
	f.value += (v - f.value) * weight
}

// get is the value, or def if there is none.
func (f *floor) get(def float64) float64 {
	if f.value == 0 {
		return def
	}
	return f.value
}

// typical follows the lowest fifth of a quantity by steps of a fixed share, whatever the
// size of an observation. Something that is far off now and then, such as a prompt that an
// engine has kept whole and need not read, hardly moves it. What others do at the engine
// lengthens most observations and is predicted apart.
type typical struct {
	value float64
	seen  int
	// ups are the observations above it without one below in between.
	ups int
}

const (
	// typicalUp and typicalDown are the shares by which one observation moves it: a placer
	// sees so many first events that it is right within a second or two. With steps alike,
	// which follow the median, requests that could be on time are kept waiting under overload.
	typicalUp   = 0.01
	typicalDown = 0.04
	// typicalFar is how many higher observations in a row say that it is far off, which
	// happens to one in thirty otherwise; typicalLeap is by how many times faster it
	// follows then.
	typicalFar  = 12
	typicalLeap = 5
	// typicalFirst is how many observations move it by their mean, so that it starts near.
	typicalFirst = 10
)

// observe takes in a value above 0.
func (t *typical) observe(v float64) {
	t.seen++
	switch {
	case t.seen <= typicalFirst:
		t.value += (v - t.value) / float64(t.seen)
	case v <= t.value:
		t.ups = 0
		t.value *= 1 - typicalDown
	case t.ups < typicalFar:
		t.ups++
		t.value *= 1 + typicalUp
	default:
		t.value *= 1 + typicalLeap*typicalUp
	}
}

// get is the value, or def if there is none.
func (t *typical) get(def float64) float64 {
	if t.seen == 0 {
		return def
	}
	return t.value
}
