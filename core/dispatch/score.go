package dispatch

import (
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

// candidate is an endpoint with what is expected of it for one job.
type candidate struct {
	ep *endpoint
	// first is the expected time to the first event.
	first time.Duration
	// onTime says that the job's objective is expected to be met, and that no
	// stream pauses for too long.
	onTime bool
	// score orders candidates: the least is picked.
	score float64
	// ahead are the prompt tokens that wait there.
	ahead int
	load  Load
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
	// wholeMargin is by how much an answer may take longer than expected. Guesses of
	// its length are right at the median and off by a factor of two either way one
	// time in ten, and steps slow down while prompts are read.
	wholeMargin = 1.5
)

// rate predicts what a job meets at an endpoint.
func (s *Scheduler) rate(now time.Duration, sv *service, j *Job, e *endpoint, u Load) candidate {
	c := candidate{ep: e, ahead: u.PromptTokens, load: u}
	if e.engine {
		sv.rateEngine(now, j, &c)
	} else {
		plain := orStart(e.plain, orStart(sv.pace.plain, startPlain))
		first := plain * (1 + float64(u.Running+u.Waiting)/float64(max(1, e.Slots)))
		c.first = seconds(first)
		c.onTime = true
		c.score = first
	}
	from := s.domain
	if j.Remote {
		from = j.SenderDomain
	}
	if e.FailureDomain != from && !s.off.Has(mechanism.NearFirst) {
		c.score += farCost
	}
	if e.FailureDomain != s.domain && !s.off.Has(mechanism.StaleCost) {
		c.score += staleCost * s.company[1].age.Seconds()
	}
	c.score += s.caution(j, e, u) + trialCost(j, e) + s.restingCost(now, e)
	return c
}

func (sv *service) rateEngine(now time.Duration, j *Job, c *candidate) {
	gap, read := sv.pace.gapOf(c.ep), sv.pace.readOf(c.ep, j.PromptTokens)
	c.load.EventGap = seconds(gap)
	first := sv.pace.readOf(c.ep, 0)*float64(c.load.PromptTokens) + sv.pace.firstOf(c.ep, j.PromptTokens)
	if c.load.Running+c.load.Waiting >= c.ep.Slots {
		first += slotEvents * gap
	}
	c.first = seconds(first)
	pause := gap + read*float64(min(c.load.PromptTokens+j.PromptTokens, sv.readBesideEvent()))
	whole := first + gap*float64(j.ExpectedEvents)
	ends := j.Deadline == 0 || wholeMargin*whole <= (j.Deadline-now).Seconds()
	c.onTime = ends && first <= onTimeShare*(j.Objective-now).Seconds() && (j.MaxPause == 0 || pause <= j.MaxPause.Seconds())
	busy := float64(c.load.Running+c.load.Waiting) / float64(max(1, c.ep.Slots))
	c.score = first + busy*gap
	if c.onTime && sv.scarce {
		c.score = -gap + busy*0.001
	}
	if !c.onTime {
		c.score += lateCost
	}
	if !ends {
		c.score += lostCost
	}
}

// usualEventTokens is how many tokens an event holds where the configuration does not say.
const usualEventTokens = 6

// readBesideEvent is the most that an engine reads of prompts while it makes one event of
// the streams that it runs: a chunk beside each token.
func (sv *service) readBesideEvent() int {
	return assumedChunk * sv.pace.perEvent()
}
