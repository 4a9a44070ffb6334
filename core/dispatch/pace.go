package dispatch

import "time"

const (
	// hearWeight is small, since this VM's own view is as good; hearOld is that of a
	// view older than paceOld.
	hearWeight = 0.05
	hearOld    = 0.5
	paceOld    = time.Second
	// toldUp is the weight of a higher pace that a VM of the cell saw itself. It is the
	// lesser of two times between events, which a prompt that is read in between seldom
	// touches both; some sixty come a second from a full engine, ten from one that has
	// turned five times slower.
	toldUp = 0.1
	// gapWeight is the weight of an endpoint in the service's mean pace.
	gapWeight = 0.02
	// tellAfter is how many observations are worth telling others.
	tellAfter = 3
)

// Starting values until something was observed, in seconds. They decide only
// about the first requests.
const (
	startToken = 0.0045
	startPlain = 0.05
	// startReadToken is the time to read a token of a prompt, as a share of the time
	// between two tokens of a stream.
	startReadToken = 0.006
)

// assumedChunk is how many tokens of a prompt an engine reads between two steps
// of the streams that it runs: a common setting of engines that read prompts in
// chunks, in tokens.
const assumedChunk = 1024

// pace is what a service's endpoints usually take.
type pace struct {
	// eventTokens is how many tokens an event of a stream holds.
	eventTokens int
	// gap is the mean time between events over endpoints, in seconds.
	gap float64
	// readRatio is the time to read a token against the time between events, by
	// the size of the prompt; it hardly differs between endpoints, since both follow
	// the engine's speed, but grows with the prompt, since each token attends to all
	// before it. Its low end is no guide: a few prompts that are kept whole lower it, and
	// requests go to engines that are fast only by that.
	readRatio [promptSizes]typical
	// firstRatio is what the first event takes beyond the reading of the prompt, against
	// the time between events. It may hold a single token where others hold thirty, or as
	// many as they.
	firstRatio typical
	// plain is the usual time of an answer without a prompt, in seconds.
	plain float64
}

// Bounds of what is learned. A quantity that is learned as nothing makes times of nothing
// and divisions by it, which shows as predictions that cannot be.
const (
	// leastGap and mostGap bound the time between two events, in seconds. No engine writes
	// a hundred thousand tokens a second to one caller, and no caller waits for a minute.
	leastGap = 1e-5
	mostGap  = 60
	// leastReadRatio and mostReadRatio bound the time to read a token against the time
	// between events: an engine reads between ten tokens and a hundred thousand while it
	// writes an event.
	leastReadRatio = 1e-5
	mostReadRatio  = 0.1
	// leastFirst and mostFirst bound what a first event takes against any other.
	leastFirst = 0.01
	mostFirst  = 10
)

func orStart(v, start float64) float64 {
	if v == 0 {
		return start
	}
	return v
}

// A VM that places for others sees no streams of theirs, and each of them sees an engine
// only now and then. What each has made of it is old then, and the mean of that does not tell a
// slow engine for many seconds. So VMs
// tell their placer what they see as they see it, in the notes that they send anyway.

// takeFresh is what is told of the pace seen since the last time.
func (e *endpoint) takeFresh() time.Duration {
	if !e.fresh || e.recent[0] == 0 {
		return 0
	}
	e.fresh = false
	return seconds(min(e.recent[0], e.recent[1]))
}

// hearPace takes in what another VM says of the endpoint's pace: of one that places its
// opinion, of one that asks what it sees.
func (e *endpoint) hearPace(now time.Duration, u Load, places bool) {
	if u.RecentGap > 0 && !places {
		e.gap.follow(u.RecentGap.Seconds(), toldUp)
		e.observed = now
		return
	}
	if u.EventGap <= 0 || !places && e.gap.seen > 0 {
		return
	}
	weight := hearWeight
	if now-e.observed > paceOld {
		weight = hearOld
	}
	e.gap.hear(u.EventGap.Seconds(), weight)
}

// observeEvents takes in the time between events of one stream.
func (p *pace) observeEvents(now time.Duration, ep *endpoint, gap time.Duration) {
	ep.gap.observe(gap.Seconds())
	ep.recent = [2]float64{ep.recent[1], gap.Seconds()}
	ep.fresh, ep.observed = true, now
	usual := orStart(p.gap, p.startGap())
	p.gap = usual + (ep.gap.value-usual)*gapWeight
}

const (
	// tellingPrompt is the length from which reading dominates the time to the
	// first event, in tokens.
	tellingPrompt = 500
	plainWeight   = 0.1
	// tellingAhead is the most that may be read before a prompt, as a share of it, for
	// its time to tell the time to read: what is ahead is known a moment late.
	tellingAhead = 0.25
)

// observeFirst takes in the time to the first event of a run.
func (p *pace) observeFirst(r *run, took time.Duration) {
	t := took.Seconds()
	if r.job.PromptTokens == 0 {
		r.ep.plain = orStart(r.ep.plain, startPlain)
		r.ep.plain += (t - r.ep.plain) * plainWeight
		p.plain = orStart(p.plain, startPlain)
		p.plain += (t - p.plain) * gapWeight
		return
	}
	prompt := float64(r.job.PromptTokens)
	if r.ep.gap.value == 0 || float64(r.ahead) > tellingAhead*prompt {
		return
	}
	p.observePrompt(r.job.PromptTokens, prompt+float64(r.ahead), t/p.gapOf(r.ep))
}

// observePrompt takes in that a prompt of some length, behind which tokens in all were read,
// had its first event after a number of times between events. Long prompts tell the time to
// read, short ones what the first event takes beside it; since each takes the other's part
// off, and the long ones are six times as long or more, both become right whatever they
// were. When the larger part by what was known told which of the two was learned, two
// placers of six stayed at a tenth of the time to read long prompts for as long as they ran.
func (p *pace) observePrompt(prompt int, tokens, took float64) {
	size := sizeOf(prompt)
	long := &p.readRatio[1]
	if size == 0 && (prompt < tellingPrompt || long.seen > 0) {
		reading := long.get(p.ratioOf(prompt)) * tokens
		p.firstRatio.observe(clamp(took-reading, leastFirst, mostFirst))
	}
	if prompt >= tellingPrompt {
		p.readRatio[size].observe(clamp((took-p.firstShare())/tokens, leastReadRatio, mostReadRatio))
	}
}

// firstShare is what a first event takes beyond the reading of its prompt, in times
// between two events.
func (p *pace) firstShare() float64 { return p.firstRatio.get(startFirst) }

// startFirst is assumed of first events until some were seen: as long as any other.
const startFirst = 1

// perEvent is how many tokens an event holds, one at least.
func (p *pace) perEvent() int { return max(1, p.eventTokens) }

// startGap is the time between two events until some were seen, in seconds.
func (p *pace) startGap() float64 { return startToken * float64(p.perEvent()) }

// startReadRatio is the time to read a token of a prompt until some were seen, as a share
// of the time between two events.
func (p *pace) startReadRatio() float64 { return startReadToken / float64(p.perEvent()) }

// gapOf is the expected time between events at an endpoint, in seconds.
func (p *pace) gapOf(e *endpoint) float64 {
	return clamp(e.gap.get(orStart(p.gap, p.startGap())), leastGap, mostGap)
}

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

// ratioOf is the expected time to read a token of a prompt of some length, in times
// between two events. Sizes that were not seen yet count as the next smaller.
func (p *pace) ratioOf(prompt int) float64 {
	ratio := p.startReadRatio()
	for size := range sizeOf(prompt) + 1 {
		ratio = p.readRatio[size].get(ratio)
	}
	return clamp(ratio, leastReadRatio, mostReadRatio)
}

// readOf is that at an endpoint, in seconds; never 0.
func (p *pace) readOf(e *endpoint, prompt int) float64 { return p.gapOf(e) * p.ratioOf(prompt) }

// firstOf is the expected time to the first event of a prompt at an endpoint that reads
// nothing else, in seconds.
func (p *pace) firstOf(e *endpoint, prompt int) float64 {
	return p.readOf(e, prompt)*float64(prompt) + p.firstShare()*p.gapOf(e)
}
