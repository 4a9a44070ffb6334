package dispatch

import (
	"math"
	"time"
)

const (
	// peerGapWeight is small because this VM's own estimate is as good. stalePeerGapWeight
	// applies where the own estimate is older than gapStaleAfter.
	peerGapWeight      = 0.05
	stalePeerGapWeight = 0.5
	gapStaleAfter      = time.Second
	// reportedUpWeight is the weight of a higher gap that a VM of the cell observed itself. The
	// reported value is the lesser of two gaps, since a prompt processed in between seldom
	// lengthens both. About sixty such values arrive per second for a full engine, ten for one
	// that has become five times slower.
	reportedUpWeight = 0.1
	// meanWeight is the weight of an endpoint in the service's mean gap.
	meanWeight = 0.02
	// minReportedSamples is the number of observations needed to report a gap to peers.
	minReportedSamples = 3
)

// Defaults until something was observed, in seconds. They matter only for the first requests.
const (
	defaultTokenTime    = 0.0045
	defaultResponseTime = 0.05
	// defaultPrefillShare is the time to process a prompt token, as a share of the time between
	// two tokens of a stream.
	defaultPrefillShare = 0.006
)

// assumedChunkTokens is the number of prompt tokens that an engine processes between two steps
// of its running streams: a common setting of engines with chunked prefill.
const assumedChunkTokens = 1024

// latencyModel holds the learned latencies of a service's endpoints.
type latencyModel struct {
	// tokensPerEvent is the number of tokens in an event of a stream.
	tokensPerEvent int
	// meanGap is the mean event gap over endpoints, in seconds.
	meanGap float64
	// prefillRatio is the time to process a prompt token divided by the event gap, by prompt
	// size. It hardly differs between endpoints, since both times follow the engine's speed,
	// but grows with the prompt, since each token attends to all before it. Its low end must
	// not be used: a few cached prompts lower it, and requests then go to engines that are fast
	// only by that measure.
	prefillRatio [promptSizes]quantileEstimate
	// firstEventRatio is the time of the first event beyond prefill, divided by the event gap.
	// The first event may hold a single token where others hold thirty, or as many tokens as
	// they do.
	firstEventRatio quantileEstimate
	// responseTime is the mean response time for jobs without a prompt, in seconds.
	responseTime float64
}

// Bounds of learned quantities. A quantity learned as 0 leads to times of 0 and divisions by 0,
// which show as impossible predictions.
const (
	// minGap and maxGap bound the event gap, in seconds. No engine writes a hundred thousand
	// tokens per second to one caller, and no caller waits for a minute.
	minGap = 1e-5
	maxGap = 60
	// minPrefillRatio and maxPrefillRatio bound prefillRatio: an engine processes between ten
	// and a hundred thousand prompt tokens while it writes one event.
	minPrefillRatio = 1e-5
	maxPrefillRatio = 0.1
	// minFirstEventRatio and maxFirstEventRatio bound firstEventRatio.
	minFirstEventRatio = 0.01
	maxFirstEventRatio = 10
)

func orDefault(v, def float64) float64 {
	if v == 0 {
		return def
	}
	return v
}

// A placer sees no streams of the VMs it places for, and each of those sees a given engine only
// now and then. Their estimates are old by the time they are reported, and the mean of these
// takes many seconds to reveal a slow engine. VMs therefore report the gaps that they observe
// to their placer at once, in the notes that they send anyway.

// takeUnreportedGap returns the lesser of the last two gaps if one was observed since the last
// report to peers; 0 otherwise.
func (e *endpoint) takeUnreportedGap() time.Duration {
	if !e.gapUnreported || e.recentGaps[0] == 0 {
		return 0
	}
	e.gapUnreported = false
	return toDuration(min(e.recentGaps[0], e.recentGaps[1]))
}

// applyPeerGap merges the endpoint's event gap as reported by another VM: a placer's estimate,
// or the observation of a VM that delegates placement.
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

// observeGap records the time between two events of a stream.
func (m *latencyModel) observeGap(now time.Duration, ep *endpoint, gap time.Duration) {
	ep.eventGap.observe(gap.Seconds())
	ep.recentGaps = [2]float64{ep.recentGaps[1], gap.Seconds()}
	ep.gapUnreported, ep.gapObserved = true, now
	mean := orDefault(m.meanGap, m.defaultGap())
	m.meanGap = mean + (ep.eventGap.value-mean)*meanWeight
}

const (
	// minPrefillPrompt is the prompt length in tokens from which prefill dominates the time to
	// the first event.
	minPrefillPrompt   = 500
	responseTimeWeight = 0.1
	// slowMemory is the time in which most of what was learned of a slow plain endpoint is forgotten
	// while it gets no requests: sound ones fall silent for about a second.
	slowMemory = 3 * time.Second
	// maxAheadShare is the largest amount of prompt tokens queued ahead, as a share of the
	// prompt, with which the time to the first event still measures prefill: the amount is
	// known with a delay.
	maxAheadShare = 0.25
)

// expectedResponse returns the response time, in seconds, of an idle endpoint for a job without a
// prompt. An endpoint that was slow is expected to be like the others again the longer ago that was:
// no request would ever show it, as all go to those that are faster.
func (m *latencyModel) expectedResponse(now time.Duration, e *endpoint) float64 {
	usual := orDefault(m.responseTime, defaultResponseTime)
	own := orDefault(e.responseTime, usual)
	if own <= usual {
		return own
	}
	remembered := math.Exp(-(now - e.responseObserved).Seconds() / slowMemory.Seconds())
	return usual + (own-usual)*remembered
}

// observeFirstEvent records the time to the first event of a run, which came just now.
func (m *latencyModel) observeFirstEvent(now time.Duration, r *run) {
	seconds := (now - r.sent).Seconds()
	if r.job.PromptTokens == 0 {
		if r.ep.responseTime == 0 {
			r.ep.responseTime = defaultResponseTime
		} else {
			r.ep.responseTime = m.expectedResponse(now, r.ep)
		}
		r.ep.responseObserved = now
		r.ep.responseTime += (seconds - r.ep.responseTime) * responseTimeWeight
		m.responseTime = orDefault(m.responseTime, defaultResponseTime)
		m.responseTime += (seconds - m.responseTime) * meanWeight
		return
	}
	prompt := float64(r.job.PromptTokens)
	if r.ep.eventGap.value == 0 || float64(r.tokensAhead) > maxAheadShare*prompt {
		return
	}
	m.observePrompt(r.job.PromptTokens, prompt+float64(r.tokensAhead), seconds/m.expectedGap(r.ep))
}

// observePrompt records the first event of a prompt. tokens is the length of the prompt and of
// those queued ahead of it, took the time to the event as a multiple of the event gap. Long
// prompts measure the prefill time, short ones what the first event takes beyond it. Each
// subtracts the other's part, and long prompts are at least six times as long, so both converge
// from any start. Attributing each observation to whichever part is estimated as the larger does not:
// an estimate of a tenth of the real prefill time for long prompts then stays so.
func (m *latencyModel) observePrompt(prompt int, tokens, took float64) {
	size := promptSize(prompt)
	longPrompts := &m.prefillRatio[1]
	if size == 0 && (prompt < minPrefillPrompt || longPrompts.samples > 0) {
		prefill := longPrompts.valueOr(m.expectedPrefillRatio(prompt)) * tokens
		m.firstEventRatio.observe(clamp(took-prefill, minFirstEventRatio, maxFirstEventRatio))
	}
	if prompt >= minPrefillPrompt {
		m.prefillRatio[size].observe(clamp((took-m.firstEventFactor())/tokens, minPrefillRatio, maxPrefillRatio))
	}
}

// firstEventFactor returns the time of a first event beyond prefill, as a multiple of the event
// gap.
func (m *latencyModel) firstEventFactor() float64 {
	return m.firstEventRatio.valueOr(defaultFirstEventRatio)
}

// defaultFirstEventRatio applies until first events were observed: as long as any other event.
const defaultFirstEventRatio = 1

// tokensInEvent returns the number of tokens in an event, at least one.
func (m *latencyModel) tokensInEvent() int { return max(1, m.tokensPerEvent) }

// defaultGap returns the event gap assumed until one was observed, in seconds.
func (m *latencyModel) defaultGap() float64 { return defaultTokenTime * float64(m.tokensInEvent()) }

// defaultPrefillRatio returns the prefill ratio assumed until one was observed.
func (m *latencyModel) defaultPrefillRatio() float64 {
	return defaultPrefillShare / float64(m.tokensInEvent())
}

// expectedGap returns the expected event gap at an endpoint, in seconds.
func (m *latencyModel) expectedGap(e *endpoint) float64 {
	return clamp(e.eventGap.valueOr(orDefault(m.meanGap, m.defaultGap())), minGap, maxGap)
}

// promptSizes is the number of prompt size classes. The first extends to smallPromptTokens,
// each further one to four times the bound before.
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

// expectedPrefillRatio returns the expected prefill ratio for a prompt length. A size class
// without observations uses the next smaller one.
func (m *latencyModel) expectedPrefillRatio(prompt int) float64 {
	ratio := m.defaultPrefillRatio()
	for size := range promptSize(prompt) + 1 {
		ratio = m.prefillRatio[size].valueOr(ratio)
	}
	return clamp(ratio, minPrefillRatio, maxPrefillRatio)
}

// prefillTime returns the expected time to process a prompt token at an endpoint, in seconds.
// It is never 0.
func (m *latencyModel) prefillTime(e *endpoint, prompt int) float64 {
	return m.expectedGap(e) * m.expectedPrefillRatio(prompt)
}

// firstEventTime returns the expected time to the first event of a prompt at an endpoint that
// processes no other prompts, in seconds.
func (m *latencyModel) firstEventTime(e *endpoint, prompt int) float64 {
	return m.prefillTime(e, prompt)*float64(prompt) + m.firstEventFactor()*m.expectedGap(e)
}
