package dispatch

import "time"

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
	// floorJump bounds how far above the floor a single value counts.
	floorJump = 3
)

func (f *floor) observe(v float64) {
	f.seen++
	switch {
	case f.value == 0:
		f.value = v
	case v < f.value:
		f.value += (v - f.value) * floorDown
	default:
		f.value += (min(v, floorJump*f.value) - f.value) * floorUp
	}
}

// hear takes in what a peer observed, fully only if nothing was observed here.
func (f *floor) hear(v float64) {
	if f.seen == 0 {
		f.value = v
		return
	}
	f.value += (v - f.value) * hearWeight
}

// get is the value, or def if there is none.
func (f *floor) get(def float64) float64 {
	if f.value == 0 {
		return def
	}
	return f.value
}

const (
	// hearWeight is small, since this VM's own view is as good.
	hearWeight = 0.05
	// gapWeight is the weight of an endpoint in the service's mean pace.
	gapWeight = 0.02
	// tellAfter is how many observations are worth telling others.
	tellAfter = 3
)

// Starting values until something was observed, in seconds. They decide only
// about the first requests.
const (
	startGap   = 0.025
	startPlain = 0.05
	// startReadRatio is the time to read a token of a prompt, as a share of the time
	// between two events.
	startReadRatio = 0.001
)

// assumedChunk is how many tokens of a prompt an engine reads between two steps
// of the streams that it runs: a common setting of engines that read prompts in
// chunks, in tokens.
const assumedChunk = 1024

// pace is what a service's endpoints usually take.
type pace struct {
	// gap is the mean time between events over endpoints, in seconds.
	gap float64
	// readRatio is the time to read a token against the time between events, by
	// the size of the prompt; it hardly differs between endpoints, since both follow
	// the engine's speed, but grows with the prompt, since each token attends to all
	// before it.
	readRatio [promptSizes]floor
	// plain is the usual time of an answer without a prompt, in seconds.
	plain float64
}

func orStart(v, start float64) float64 {
	if v == 0 {
		return start
	}
	return v
}

// observeEvents takes in the time between events of one stream.
func (p *pace) observeEvents(ep *endpoint, gap time.Duration) {
	ep.gap.observe(gap.Seconds())
	usual := orStart(p.gap, startGap)
	p.gap = usual + (ep.gap.value-usual)*gapWeight
}

const (
	// tellingPrompt is the length from which reading dominates the time to the
	// first event, in tokens.
	tellingPrompt = 500
	plainWeight   = 0.1
)

// observeFirst takes in the time to the first event of a run.
func (p *pace) observeFirst(r *run, took time.Duration) {
	t := took.Seconds()
	if r.job.Prompt == 0 {
		r.ep.plain = orStart(r.ep.plain, startPlain)
		r.ep.plain += (t - r.ep.plain) * plainWeight
		p.plain = orStart(p.plain, startPlain)
		p.plain += (t - p.plain) * gapWeight
		return
	}
	if r.job.Prompt < tellingPrompt || r.ep.gap.value == 0 {
		return
	}
	gap := r.ep.gap.value
	p.readRatio[sizeOf(r.job.Prompt)].observe(max(0, t-gap) / gap / float64(r.job.Prompt+r.ahead))
}

// gapOf is the expected time between events at an endpoint, in seconds.
func (p *pace) gapOf(e *endpoint) float64 { return e.gap.get(orStart(p.gap, startGap)) }

// promptSizes is the number of sizes of prompts, each four times the one before
// and the first up to smallPrompt tokens.
const (
	promptSizes = 4
	smallPrompt = 2000
)

func sizeOf(prompt int) int {
	size := 0
	for bound := smallPrompt; size < promptSizes-1 && prompt > bound; bound *= 4 {
		size++
	}
	return size
}

// readOf is the expected time to read a token of a prompt of some length at an
// endpoint, in seconds. Sizes that were not seen yet count as the next smaller.
func (p *pace) readOf(e *endpoint, prompt int) float64 {
	ratio := startReadRatio
	for size := range sizeOf(prompt) + 1 {
		ratio = max(p.readRatio[size].get(ratio), p.readRatio[0].get(0))
	}
	return p.gapOf(e) * ratio
}
