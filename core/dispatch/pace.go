package dispatch

import "time"

const (
	// peerGapWeight is small, since this VM's own view is as good; hearOld is that of a
	// view older than paceOld.
	peerGapWeight      = 0.05
	stalePeerGapWeight = 0.5
	gapStaleAfter      = time.Second
	// reportedUpWeight is the weight of a higher pace that a VM of the cell saw itself. It is the
	// lesser of two times between events, which a prompt that is read in between seldom
	// touches both; some sixty come a second from a full engine, ten from one that has
	// turned five times slower.
	reportedUpWeight = 0.1
	// meanWeight is the weight of an endpoint in the service's mean pace.
	meanWeight = 0.02
	// minReportedSamples is how many observations are worth telling others.
	minReportedSamples = 3
)

// Starting values until something was observed, in seconds. They decide only
// about the first requests.
const (
	defaultTokenTime  = 0.0045
	defaultAnswerTime = 0.05
	// defaultPrefillShare is the time to read a token of a prompt, as a share of the time
	// between two tokens of a stream.
	defaultPrefillShare = 0.006
)

// assumedChunkTokens is how many tokens of a prompt an engine reads between two steps
// of the streams that it runs: a common setting of engines that read prompts in
// chunks, in tokens.
const assumedChunkTokens = 1024

// latencyModel is what a service's endpoints usually take.
type latencyModel struct {
	// tokensPerEvent is how many tokens an event of a stream holds.
	tokensPerEvent int
	// meanGap is the mean time between events over endpoints, in seconds.
	meanGap float64
	// prefillRatio is the time to read a token against the time between events, by
	// the size of the prompt; it hardly differs between endpoints, since both follow
	// the engine's speed, but grows with the prompt, since each token attends to all
	// before it. Its low end is no guide: a few prompts that are kept whole lower it, and
	// requests go to engines that are fast only by that.
	prefillRatio [promptSizes]quantileEstimate
	// firstEventRatio is what the first event takes beyond the reading of the prompt, against
	// the time between events. It may hold a single token where others hold thirty, or as
	// many as they.
	firstEventRatio quantileEstimate
	// answerTime is the usual time of an answer without a prompt, in seconds.
	answerTime float64
}

// Bounds of what is learned. A quantity that is learned as nothing makes times of nothing
// and divisions by it, which shows as predictions that cannot be.
const (
	// minGap and mostGap bound the time between two events, in seconds. No engine writes
	// a hundred thousand tokens a second to one caller, and no caller waits for a minute.
	minGap = 1e-5
	maxGap = 60
	// minPrefillRatio and mostReadRatio bound the time to read a token against the time
	// between events: an engine reads between ten tokens and a hundred thousand while it
	// writes an event.
	minPrefillRatio = 1e-5
	maxPrefillRatio = 0.1
	// minFirstEventRatio and mostFirst bound what a first event takes against any other.
	minFirstEventRatio = 0.01
	maxFirstEventRatio = 10
)

func orDefault(v, def float64) float64 {
	if v == 0 {
		return def
	}
	return v
}

// A VM that places for others sees no streams of theirs, and each of them sees an engine
// only now and then. What each has made of it is old then, and the mean of that does not tell a
// slow engine for many seconds. So VMs
// tell their placer what they see as they see it, in the notes that they send anyway.

// takeUnreportedGap is what is told of the pace seen since the last time.
func (e *endpoint) takeUnreportedGap() time.Duration {
	if !e.gapUnreported || e.recentGaps[0] == 0 {
		return 0
	}
	e.gapUnreported = false
	return toDuration(min(e.recentGaps[0], e.recentGaps[1]))
}

// applyPeerGap takes in what another VM says of the endpoint's pace: of one that places its
// opinion, of one that asks what it sees.
func (e *endpoint) applyPeerGap(now time.Duration, load Load, isPlacer bool) {
	if load.RecentGap > 0 && !isPlacer {
		e.eventGap.observeWeighted(load.RecentGap.Seconds(), reportedUpWeight)
		e.gapObserved = now
		return
	}
	if load.EventGap <= 0 || !isPlacer && e.eventGap.samples > 0 {
		return
	}
	weight := peerGapWeight
	if now-e.gapObserved > gapStaleAfter {
		weight = stalePeerGapWeight
	}
	e.eventGap.merge(load.EventGap.Seconds(), weight)
}

// observeGap takes in the time between events of one stream.
func (p *latencyModel) observeGap(now time.Duration, ep *endpoint, gap time.Duration) {
	ep.eventGap.observe(gap.Seconds())
	ep.recentGaps = [2]float64{ep.recentGaps[1], gap.Seconds()}
	ep.gapUnreported, ep.gapObserved = true, now
	mean := orDefault(p.meanGap, p.defaultGap())
	p.meanGap = mean + (ep.eventGap.value-mean)*meanWeight
}

const (
	// minPrefillPrompt is the length from which reading dominates the time to the
	// first event, in tokens.
	minPrefillPrompt = 500
	answerTimeWeight = 0.1
	// maxAheadShare is the most that may be read before a prompt, as a share of it, for
	// its time to tell the time to read: what is ahead is known a moment late.
	maxAheadShare = 0.25
)

// observeFirstEvent takes in the time to the first event of a run.
func (p *latencyModel) observeFirstEvent(r *run, took time.Duration) {
	seconds := took.Seconds()
	if r.job.PromptTokens == 0 {
		r.ep.answerTime = orDefault(r.ep.answerTime, defaultAnswerTime)
		r.ep.answerTime += (seconds - r.ep.answerTime) * answerTimeWeight
		p.answerTime = orDefault(p.answerTime, defaultAnswerTime)
		p.answerTime += (seconds - p.answerTime) * meanWeight
		return
	}
	prompt := float64(r.job.PromptTokens)
	if r.ep.eventGap.value == 0 || float64(r.tokensAhead) > maxAheadShare*prompt {
		return
	}
	p.observePrompt(r.job.PromptTokens, prompt+float64(r.tokensAhead), seconds/p.expectedGap(r.ep))
}

// observePrompt takes in that a prompt of some length, behind which tokens in all were read,
// had its first event after a number of times between events. Long prompts tell the time to
// read, short ones what the first event takes beside it; since each takes the other's part
// off, and the long ones are six times as long or more, both become right whatever they
// were. When the larger part by what was known told which of the two was learned, two
// placers of six stayed at a tenth of the time to read long prompts for as long as they ran.
func (p *latencyModel) observePrompt(prompt int, tokens, took float64) {
	size := promptSize(prompt)
	longPrompts := &p.prefillRatio[1]
	if size == 0 && (prompt < minPrefillPrompt || longPrompts.samples > 0) {
		prefill := longPrompts.valueOr(p.expectedPrefillRatio(prompt)) * tokens
		p.firstEventRatio.observe(clamp(took-prefill, minFirstEventRatio, maxFirstEventRatio))
	}
	if prompt >= minPrefillPrompt {
		p.prefillRatio[size].observe(clamp((took-p.firstEventFactor())/tokens, minPrefillRatio, maxPrefillRatio))
	}
}

// firstEventFactor is what a first event takes beyond the reading of its prompt, in times
// between two events.
func (p *latencyModel) firstEventFactor() float64 {
	return p.firstEventRatio.valueOr(defaultFirstEventRatio)
}

// defaultFirstEventRatio is assumed of first events until some were seen: as long as any other.
const defaultFirstEventRatio = 1

// tokensInEvent is how many tokens an event holds, one at least.
func (p *latencyModel) tokensInEvent() int { return max(1, p.tokensPerEvent) }

// defaultGap is the time between two events until some were seen, in seconds.
func (p *latencyModel) defaultGap() float64 { return defaultTokenTime * float64(p.tokensInEvent()) }

// defaultPrefillRatio is the time to read a token of a prompt until some were seen, as a share
// of the time between two events.
func (p *latencyModel) defaultPrefillRatio() float64 {
	return defaultPrefillShare / float64(p.tokensInEvent())
}

// expectedGap is the expected time between events at an endpoint, in seconds.
func (p *latencyModel) expectedGap(e *endpoint) float64 {
	return clamp(e.eventGap.valueOr(orDefault(p.meanGap, p.defaultGap())), minGap, maxGap)
}

// promptSizes is the number of sizes of prompts, each four times the one before
// and the first up to smallPromptTokens tokens.
const (
	promptSizes       = 4
	smallPromptTokens = 2000
)

func promptSize(prompt int) int {
	size := 0
	for bound := smallPromptTokens; size < promptSizes-1 && prompt > bound; bound *= 4 {
		size++
	}
	return size
}

// expectedPrefillRatio is the expected time to read a token of a prompt of some length, in times
// between two events. Sizes that were not seen yet count as the next smaller.
func (p *latencyModel) expectedPrefillRatio(prompt int) float64 {
	ratio := p.defaultPrefillRatio()
	for size := range promptSize(prompt) + 1 {
		ratio = p.prefillRatio[size].valueOr(ratio)
	}
	return clamp(ratio, minPrefillRatio, maxPrefillRatio)
}

// prefillTime is that at an endpoint, in seconds; never 0.
func (p *latencyModel) prefillTime(e *endpoint, prompt int) float64 {
	return p.expectedGap(e) * p.expectedPrefillRatio(prompt)
}

// firstEventTime is the expected time to the first event of a prompt at an endpoint that reads
// nothing else, in seconds.
func (p *latencyModel) firstEventTime(e *endpoint, prompt int) float64 {
	return p.prefillTime(e, prompt)*float64(prompt) + p.firstEventFactor()*p.expectedGap(e)
}
