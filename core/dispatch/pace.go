package dispatch

import "time"

// Weights of new observations in moving averages. A speed is learned within ten
// events or so, which is a fifth of a second of one stream.
const (
	eventWeight = 0.1
	firstWeight = 0.1
	paceWeight  = 0.02
	hearWeight  = 0.05
)

// pace is what a service's endpoints usually take.
type pace struct {
	// gap is the usual time between two events of a stream, read the time to read
	// a token of a prompt, plain the time of an answer without a prompt.
	gap, read, plain float64
}

// Starting values until something was observed, in seconds.
const (
	startGap   = 0.025
	startRead  = 0.000025
	startPlain = 0.05
)

func orStart(v, start float64) float64 {
	if v == 0 {
		return start
	}
	return v
}

// estimate is a moving average of a ratio; 1 until something was observed.
type estimate struct {
	value float64
	seen  int
}

func (e *estimate) get() float64 {
	if e.value == 0 {
		return 1
	}
	return e.value
}

// own is the value if enough was observed here to tell others.
func (e *estimate) own() float64 {
	if e.seen < 3 {
		return 0
	}
	return e.value
}

// Bounds of a ratio, against single freak observations.
const (
	leastSlow = 0.2
	mostSlow  = 8
)

func (e *estimate) observe(v, weight float64) {
	v = min(max(v, leastSlow), mostSlow)
	e.seen++
	if e.value == 0 {
		e.value = 1
	}
	e.value += (v - e.value) * max(weight, 1/float64(e.seen+1))
}

// hear takes in a peer's estimate, with little weight once something was
// observed here.
func (e *estimate) hear(v float64) {
	if e.seen == 0 {
		e.value = v
		return
	}
	e.value += (v - e.value) * hearWeight
}

func (p *pace) observeEvent(ep *endpoint, gap time.Duration) {
	g := gap.Seconds()
	usual := orStart(p.gap, startGap)
	ep.slow.observe(g/usual, eventWeight)
	p.gap = usual + (min(g, 4*usual)-usual)*paceWeight
}

func (p *pace) observeFirst(r *run, took time.Duration) {
	t := took.Seconds()
	if r.job.Prompt == 0 {
		usual := orStart(p.plain, startPlain)
		r.ep.slow.observe(t/usual, firstWeight)
		p.plain = usual + (min(t, 4*usual)-usual)*paceWeight
		return
	}
	// Tokens ahead are read first, so they count as read too.
	perToken := t / float64(r.job.Prompt+r.ahead+1) / r.ep.slow.get()
	usual := orStart(p.read, startRead)
	p.read = usual + (min(perToken, 2*usual)-usual)*paceWeight
}
