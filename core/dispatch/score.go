package dispatch

import (
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

// candidate is an endpoint with what is expected of it for one job.
type candidate struct {
	ep *endpoint
	// firstEvent is the expected time to the firstEvent event.
	firstEvent time.Duration
	// onTime says that the job's objective is expected to be met, and that no
	// stream pauses for too long.
	onTime bool
	// score orders candidates: the least is picked.
	score float64
	// tokensAhead are the prompt tokens that wait there.
	tokensAhead int
	load        Load
}

const (
	// farCost is what another failure domain counts for, in seconds, among endpoints where
	// an answer is on time. A stream between two domains breaks if they are cut off from
	// each other, and each byte between them is paid for; a tenth of a second is the most
	// that callers are to wait longer for that.
	farCost = 0.1
	// staleCost is what the age of other failure domains' loads counts for: at an
	// endpoint whose load is not known slots are taken twice.
	staleCost = 0.5
	// onTimeShare is the part of the time left that a prediction may take, since
	// peers' loads are older than a round trip.
	onTimeShare = 0.8
	// slotEvents is after how many events a slot of a full endpoint is expected to
	// become free.
	slotEvents = 5
	// lateCost is added where the objective is expected to be missed, in seconds.
	lateCost = 10
	// lostCost is added where the answer is not expected to end in time at all, in
	// seconds: such work is lost whole, with all that it took from others.
	lostCost = 100
	// answerMargin is by how much an answer may take longer than expected. Guesses of
	// its length are right at the median and off by a factor of two either way one
	// time in ten, and steps slow down while prompts are read.
	answerMargin = 1.5
)

// score predicts what a job meets at an endpoint.
func (s *Scheduler) score(now time.Duration, sv *service, j *Job, e *endpoint, u Load) candidate {
	c := candidate{ep: e, tokensAhead: u.PromptTokens, load: u}
	if e.engine {
		sv.scoreEngine(now, j, &c)
	} else {
		answerTime := orDefault(e.answerTime, orDefault(sv.latency.answerTime, defaultAnswerTime))
		firstEvent := answerTime * (1 + float64(u.Running+u.Waiting)/float64(max(1, e.Slots)))
		c.firstEvent = toDuration(firstEvent)
		c.onTime = true
		c.score = firstEvent
	}
	senderDomain := s.domain
	if j.Remote {
		senderDomain = j.SenderDomain
	}
	if e.FailureDomain != senderDomain && !s.disabled.Has(mechanism.NearFirst) {
		c.score += farCost
	}
	if e.FailureDomain != s.domain && !s.disabled.Has(mechanism.StaleCost) {
		c.score += staleCost * s.contention[1].loadAge.Seconds()
	}
	c.score += s.suspicionCost(j, e, u) + canaryCost(j, e) + s.backoffCostOf(now, e)
	return c
}

func (sv *service) scoreEngine(now time.Duration, j *Job, c *candidate) {
	gap, prefillTime := sv.latency.expectedGap(c.ep), sv.latency.prefillTime(c.ep, j.PromptTokens)
	c.load.EventGap = toDuration(gap)
	firstEvent := sv.latency.prefillTime(c.ep, 0)*float64(c.load.PromptTokens) + sv.latency.firstEventTime(c.ep, j.PromptTokens)
	if c.load.Running+c.load.Waiting >= c.ep.Slots {
		firstEvent += slotEvents * gap
	}
	c.firstEvent = toDuration(firstEvent)
	pause := gap + prefillTime*float64(min(c.load.PromptTokens+j.PromptTokens, sv.maxPrefillPerEvent()))
	answerTime := firstEvent + gap*float64(j.ExpectedEvents)
	completes := j.Deadline == 0 || answerMargin*answerTime <= (j.Deadline-now).Seconds()
	c.onTime = completes && firstEvent <= onTimeShare*(j.Objective-now).Seconds() && (j.MaxPause == 0 || pause <= j.MaxPause.Seconds())
	occupancy := float64(c.load.Running+c.load.Waiting) / float64(max(1, c.ep.Slots))
	c.score = firstEvent + occupancy*gap
	if c.onTime && sv.scarce {
		c.score = -gap + occupancy*0.001
	}
	if !c.onTime {
		c.score += lateCost
	}
	if !completes {
		c.score += lostCost
	}
}

// defaultTokensPerEvent is how many tokens an event holds where the configuration does not say.
const defaultTokensPerEvent = 6

// maxPrefillPerEvent is the most that an engine reads of prompts while it makes one event of
// the streams that it runs: a chunk beside each token.
func (sv *service) maxPrefillPerEvent() int {
	return assumedChunkTokens * sv.latency.tokensInEvent()
}
