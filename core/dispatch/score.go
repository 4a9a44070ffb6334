package dispatch

import (
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

// candidate is an endpoint with its prediction for a job.
type candidate struct {
	ep *endpoint
	// firstEvent is the predicted time to the first event.
	firstEvent time.Duration
	// onTime is set if the job is predicted to meet its objective and deadline without a pause
	// that is too long.
	onTime bool
	// score ranks candidates; the lowest is picked.
	score float64
	// tokensAhead is the number of prompt tokens queued at the endpoint.
	tokensAhead int
	load        Load
}

const (
	// farCost is the cost in seconds of an endpoint in another failure domain, among endpoints
	// where a response is on time. A stream between two domains breaks if they are partitioned
	// from each other, and traffic between them is charged for. A tenth of a second is the
	// longest extra delay that callers should accept for that.
	farCost = 0.1
	// staleCost is the cost per second of age of other failure domains' loads: at an endpoint
	// whose load is not known, slots are taken twice.
	staleCost = 0.5
	// onTimeShare is the share of the remaining time that a prediction may use, since peers'
	// loads are older than a round trip.
	onTimeShare = 0.8
	// slotEvents is the number of event gaps after which a slot of a full endpoint is expected
	// to become free.
	slotEvents = 5
	// lateCost is added in seconds where the objective is expected to be missed.
	lateCost = 10
	// lostCost is added in seconds where the response is not expected to complete in time at
	// all: such work is entirely lost, with the capacity that it took from others.
	lostCost = 100
	// responseMargin is the factor by which a response may take longer than predicted. Estimates
	// of its length are right at the median and off by a factor of two in either direction one
	// time in ten, and steps slow down while prompts are processed.
	responseMargin = 1.5
)

// score predicts the latency of a job at an endpoint and computes the endpoint's score for it.
func (s *Scheduler) score(now time.Duration, sv *service, j *Job, e *endpoint, load Load) candidate {
	c := candidate{ep: e, tokensAhead: load.PromptTokens, load: load}
	if e.engine {
		sv.scoreEngine(now, j, &c)
	} else {
		responseTime := sv.latency.expectedResponse(now, e)
		firstEvent := responseTime * (1 + float64(load.Running+load.Waiting)/float64(max(1, e.Slots)))
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
	c.score += s.suspicionCost(j, e, load) + canaryCost(j, e) + s.backoffCostOf(now, e)
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
	responseTime := firstEvent + gap*float64(j.ExpectedEvents)
	completes := j.Deadline == 0 || responseMargin*responseTime <= (j.Deadline-now).Seconds()
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

// defaultTokensPerEvent is used where the configuration sets no value.
const defaultTokensPerEvent = 6

// maxPrefillPerEvent returns the most prompt tokens that an engine processes while it produces
// one event of its running streams: a chunk per token.
func (sv *service) maxPrefillPerEvent() int {
	return assumedChunkTokens * sv.latency.tokensInEvent()
}
