// Package concurrency learns how many requests an endpoint runs well at once, from its own responses.
//
// A Learner records how long responses take at each concurrency level, and derives the throughput of
// each level from that (the level by the mean response time). A limit is set where throughput falls beyond a level: such an endpoint delivers
// more if it gets less. Where throughput only stops growing there is no limit.
//
// High concurrency may be the cause of slow responses or their effect. A limit is therefore an
// experiment: while requests wait, it is raised again and again, and stays where throughput falls
// beyond it. Four findings start one:
//
//   - throughput falls at higher levels;
//   - a request runs for longer than all of the last ones at a level that was not reached before: the
//     endpoint gets no more than ran well until it has completed some;
//   - the endpoint stalls beyond the levels that ran well: whether it is paused or collapsing is not
//     known before it responds, and it gets no more requests until then;
//   - responses take longer than callers accept and longer than at low levels, if these are known. An
//     endpoint that is overloaded from its start has never shown how it performs with less.
//
// The package reads no clock.
package concurrency

import (
	"math"
	"slices"
	"time"
)

const (
	// maxLevel bounds the levels that are distinguished, and so the memory of a learner. Levels above
	// it count as this one.
	maxLevel = 128
	// memory is the time constant with which levels that are not reached are forgotten: long enough to
	// compare levels before and after a collapse, short against a limit that is wrong.
	memory = 2 * time.Second
	// stallTimeout is the time without a response from which a busy endpoint counts as stalled, unless
	// stallFactor usual response times are longer.
	stallTimeout = 100 * time.Millisecond
	stallFactor  = 2
	// stallProbeDelay is the least time from the end of a stall to the next probe. It is shorter than the probe
	// interval, as each request counts as a stall at an endpoint with large requests and a limit of 1.
	stallProbeDelay = 150 * time.Millisecond
	// longestResponses is the number of responses in which most of the longest duration is forgotten: less
	// than a second's of a busy endpoint.
	longestResponses = 50
	// minDurations is the number of responses from which the longest duration counts as known.
	minDurations = 8
	// A request is overdue if it has run for longer than the longest by a fifth of that and overdueSlack, the
	// time that VMs which send requests take to report their ends.
	overdueDivisor = 5
	overdueSlack   = 10 * time.Millisecond
	// evaluateInterval is the least time between evaluations, a few of which fit in the time between
	// two notes of other VMs.
	evaluateInterval = 30 * time.Millisecond
	// minExploreInterval is the time until a low level is tried again where that did not help. It
	// doubles up to maxExploreInterval.
	minExploreInterval = 2 * time.Second
	maxExploreInterval = 30 * time.Second
	// exploredLevel is the low level that is tried. At level 1 an endpoint idles between requests.
	exploredLevel = 2
	// exploreWindows is the number of windows above exploredLevel that must be known before responses there count
	// as slow.
	exploreWindows = 1
	// dependence is the factor by which responses must be slower than at a low level to be taken to
	// depend on concurrency.
	dependence = 1.5
	// firstShare is the first limit as a share of the level that ran well, as far as is known: that may
	// have changed, and each level too many costs longer than one too few, from which probes go up fast.
	firstShare = 0.6
	// unansweredFactor is the number of times that callers accept after which an endpoint that has not
	// responded at all is tried with less.
	unansweredFactor = 2
	// minKnownTotal is the number of windows in all from which it counts as known which levels run well. In
	// the first moments, one more request is always more than ran before.
	minKnownTotal = 1.5
	// trialFloorDivisor is the part of the allowed number below which an endpoint is not held while it is only slow
	// to respond: in the first moments, few levels are known.
	trialFloorDivisor = 6
	// exploreGain is the factor by which throughput must have grown for a limit that was found from
	// below to stay.
	exploreGain = 1.1
)

// Learner learns the limit of one endpoint. It is not safe for concurrent use.
type Learner struct {
	// own are the requests of this VM at the endpoint, others those of the other VMs.
	own, others int
	// oldest is when the oldest request of this VM was sent. longest is the longest duration of the last
	// requests: higher ones raise it at once, but by at most a quarter, lower ones lower it slowly.
	oldest, longest time.Duration
	// durations is the number of durations that longest is known from, up to minDurations.
	durations int
	// at is the time up to which interval and area are recorded.
	at time.Duration
	// area is the integral of the concurrency level over time, in level seconds.
	area float64
	// interval is the time since the last response during which requests ran. Responses to requests that were
	// sent before stalledUntil, the end of the last stall, do not count until ignoreUntil: it held them up.
	// wasStalled is set from then until a later request is answered: stalls in a row are no pause, and count.
	interval, ignoreUntil, stalledUntil time.Duration
	wasStalled                          bool
	levels                              levels
	// good is the highest level that runs well, usual the response time there; 0 if none is known.
	good  int
	usual time.Duration
	// responded is the time of the newest response.
	responded, evaluatedAt time.Duration

	// limit is 0 if there is none. limitedSince is when it was last set where there was none.
	limit        int
	limitedSince time.Duration
	// confirmed is set once throughput was seen to fall beyond the limit. Until then it is a trial.
	confirmed bool
	// observedSince is the time from which Update was called without a long interruption, updatedAt when it was last
	// called. While an endpoint gets no requests, nothing shows whether its limit holds any back. Limits of other VMs do
	// not count: they are lifted once these no longer tell them.
	observedSince, updatedAt time.Duration
	// peerLimitUntil is the time until which the limit is another VM's.
	peerLimitUntil time.Duration
	probe          probe
	explored       exploration
	// required is the longest response time that callers accept, in seconds; 0 if unknown.
	// requireSlow is set if there is a limit only where responses take longer than that.
	required    float64
	requireSlow bool
}

// exploration is the state of trying a low level.
type exploration struct {
	active bool
	// at is the time of the last one, interval the time until the next.
	at, interval time.Duration
	// throughput is that of the level that was left, responseTime the longest at higher levels than the one
	// that is tried; 0 if unknown.
	throughput, responseTime float64
}

// New returns a learner for an endpoint of which nothing is known.
func New(now time.Duration) *Learner {
	return &Learner{at: now, evaluatedAt: now, levels: newLevels(), probe: probe{interval: minProbeInterval}}
}

// Request is what a learner needs to know of a request at its endpoint.
type Request struct {
	sent time.Duration
	// level is the number of requests that ran when it was sent, this one included. area is the integral
	// of the concurrency level over time up to then, in level seconds.
	level int
	area  float64
}

// Begin returns a request that is sent now, after SetOwn has counted it.
func (l *Learner) Begin(now time.Duration) Request {
	l.advance(now)
	if p := &l.probe; p.active && !p.down && !p.reached && l.own+l.others > p.from {
		p.reached, p.reachedAt = true, now
	}
	return Request{sent: now, level: l.own + l.others, area: l.area}
}

// levelOf returns the concurrency level at which a request has run: the mean over its time, or the one at which it
// was sent if that is higher, as an endpoint may decide then how fast it runs.
func (l *Learner) levelOf(now time.Duration, r Request) int {
	if now <= r.sent {
		return r.level
	}
	return max(r.level, int(math.Round((l.area-r.area)/(now-r.sent).Seconds())))
}

// SetOwn sets the requests that this VM has at the endpoint, given when each was sent, in any order.
func (l *Learner) SetOwn(now time.Duration, sent []time.Duration) {
	l.advance(now)
	l.own, l.oldest = len(sent), now
	if len(sent) > 0 {
		l.oldest = slices.Min(sent)
	} else {
		l.interval = 0
	}
}

// RecordResponse records that the endpoint has answered a request of this VM, which SetOwn still counts. The zero
// request, one that began before the endpoint had a learner, is ignored.
func (l *Learner) RecordResponse(now time.Duration, r Request) {
	if r.level == 0 {
		return
	}
	l.advance(now)
	l.recordDuration(now - r.sent)
	l.recordResponse(now, r)
	l.evaluate(now)
}

// RecordGiveUp records that a request of this VM has ended without a response. It counts as a response if it ran for
// more than stallFactor usual response times and for longer than callers accept: else the slowest requests would
// never be seen.
func (l *Learner) RecordGiveUp(now time.Duration, r Request) {
	l.advance(now)
	if took := now - r.sent; r.level > 0 && l.usual > 0 && took > stallFactor*l.usual && took.Seconds() > l.required {
		l.levels.addResponse(l.levelOf(now, r), took)
	}
	l.evaluate(now)
}

// recordDuration updates the longest duration.
func (l *Learner) recordDuration(took time.Duration) {
	l.durations = min(l.durations+1, minDurations)
	switch {
	case l.durations < minDurations:
		l.longest = max(l.longest, took)
	case took > l.longest:
		l.longest += min(took-l.longest, l.longest/4)
	default:
		l.longest -= (l.longest - took) / longestResponses
	}
}

// isOverdue reports whether a request has been running for clearly longer than all of the last ones.
func (l *Learner) isOverdue(now time.Duration) bool {
	return l.own > 0 && l.durations == minDurations && now-l.oldest > l.longest+l.longest/overdueDivisor+overdueSlack
}

// SetRequired sets the response time that callers accept.
func (l *Learner) SetRequired(d time.Duration) { l.required = d.Seconds() }

// SetOthers sets the number of requests that the other VMs have at the endpoint.
func (l *Learner) SetOthers(now time.Duration, n int) {
	if n != l.others {
		l.advance(now)
		l.others = n
	}
}

// RecordGap records the time between two events of a stream, with the number of streams that ran.
// Pauses are what callers of streams see, so there is a limit only where these exceed required.
func (l *Learner) RecordGap(now time.Duration, streams int, gap, required time.Duration) {
	if streams < 1 || gap <= 0 || required <= 0 {
		return
	}
	l.required, l.requireSlow = required.Seconds(), true
	l.levels.add(streams, 1, gap.Seconds(), gapWeight)
	l.responded = now
	l.evaluate(now)
}

// Limit returns the limit; 0 if there is none.
func (l *Learner) Limit() int { return l.limit }

// Confirmed returns the limit if throughput was seen to fall beyond it, apart from a probe that is in
// progress; 0 otherwise.
func (l *Learner) Confirmed() int {
	switch {
	case !l.confirmed:
		return 0
	case l.limit > 0 && l.probe.active:
		return l.probe.from
	}
	return l.limit
}

// Responded returns the time of the newest response; 0 if there was none.
func (l *Learner) Responded() time.Duration { return l.responded }

// LimitedSince returns the time from which there has been a limit without interruption.
func (l *Learner) LimitedSince() time.Duration { return l.limitedSince }

// RecordHeldBack records that the limit holds a request back. waits is set if the request waits, as no other
// endpoint takes it either.
func (l *Learner) RecordHeldBack(now time.Duration, waits bool) {
	l.probe.heldBack.record(now)
	if waits {
		l.probe.waiting.record(now)
	}
}

// Follow sets the limit that another VM learned, 0 for none, which this VM uses until the given time
// instead of its own.
func (l *Learner) Follow(now, until time.Duration, limit int) {
	l.peerLimitUntil = until
	if limit > 0 && l.limit == 0 {
		l.limitedSince = now
	}
	if limit != l.limit {
		l.probe.stop(now)
	}
	l.limit, l.explored.active, l.confirmed = limit, false, false
}

// Update lowers the limit if the endpoint stalls, raises it if a probe is due, and removes it once it
// reaches the allowed number. It must be called regularly, as a stalled endpoint has no responses.
func (l *Learner) Update(now time.Duration, allowed int) {
	if now-l.updatedAt > trialLiftTime && l.limitedSince >= l.peerLimitUntil {
		l.observedSince = now
	}
	l.updatedAt = now
	if l.limit >= allowed && !l.probe.active {
		l.lift()
	}
	if now < l.peerLimitUntil {
		return
	}
	l.advance(now)
	if l.isStalled() {
		switch {
		case l.good > 0 && l.own+l.others > l.good:
			l.lower(now, max(l.good, allowed/trialFloorDivisor))
		case l.good == 0 && l.own > exploredLevel && l.required > 0 && l.interval.Seconds() > unansweredFactor*l.required && l.mayExplore(now):
			l.startExploration(now, 0, 0)
		}
		p := &l.probe
		if p.active {
			p.startedAt = now
		} else {
			p.startedAt = max(p.startedAt, now-max(0, p.interval-stallProbeDelay))
		}
		return
	}
	if l.limit == 0 && l.good > 0 && l.own+l.others > l.good && l.isOverdue(now) {
		// No more until responses show how the endpoint runs at this level.
		l.limit, l.limitedSince = max(l.good, allowed/trialFloorDivisor), now
		l.probe.reset()
		l.probe.stop(now)
	}
	if l.limit > 0 {
		l.updateProbe(now, allowed)
	}
}

func (l *Learner) lift() {
	l.limit, l.confirmed, l.explored.active, l.probe.active = 0, false, false, false
}

// advance records the time up to now.
func (l *Learner) advance(now time.Duration) {
	d := now - l.at
	l.at = now
	if l.own > 0 && d > 0 {
		l.interval += d
	}
	if d > 0 {
		l.area += d.Seconds() * float64(l.own+l.others)
	}
}

// isStalled reports whether the endpoint has not responded for much longer than usual.
func (l *Learner) isStalled() bool {
	return l.own > 0 && l.interval > max(stallTimeout, stallFactor*l.usual)
}

// recordResponse adds a response to its level, unless it was held up by a stall.
func (l *Learner) recordResponse(now time.Duration, r Request) {
	l.responded = now
	if l.isStalled() && !l.wasStalled {
		l.stalledUntil, l.wasStalled = now, true
		l.ignoreUntil = now + l.usual
		if l.usual == 0 {
			l.ignoreUntil = now + stallFactor*stallTimeout
		}
	}
	l.interval = 0
	if now < l.ignoreUntil && r.sent < l.stalledUntil {
		return
	}
	if r.sent >= l.stalledUntil {
		l.wasStalled = false
	}
	level := l.levelOf(now, r)
	if p := &l.probe; p.active && !p.down {
		if r.sent < p.startedAt {
			level = min(level, p.from)
		} else if r.level > p.from {
			p.beyond++
			p.beyondTook += now - r.sent
		}
	}
	if l.limit > 0 && level > l.limit {
		// It was sent at a higher limit, and belongs to no window at this one.
		l.levels.addSingle(level, now-r.sent)
		return
	}
	l.levels.addResponse(level, now-r.sent)
}

// evaluate sets the limit from what is known of the levels.
func (l *Learner) evaluate(now time.Duration) {
	if now-l.evaluatedAt < evaluateInterval {
		return
	}
	l.levels.fade(math.Exp(-(now - l.evaluatedAt).Seconds() / memory.Seconds()))
	l.evaluatedAt = now
	e := l.levels.estimate()
	l.good, l.usual = 0, 0
	if e.knee > 0 && l.levels.windowsIn(1, maxLevel) >= minKnownTotal {
		l.good = e.knee
	}
	if e.knee > 0 {
		l.usual = seconds(l.levels.responseTime(e.knee))
	}
	if now < l.peerLimitUntil {
		return
	}
	deviations := learnDeviations
	if l.confirmed || l.explored.active {
		deviations = followDeviations
	}
	switch {
	case e.best == 0:
	case l.requireSlow && (l.levels.slowest(1) <= l.required || !l.levels.fallsBy(e, minStreamFall)):
		// Prompts that are processed in between lengthen the time between events, too.
	case l.levels.falls(e, deviations):
		l.confirmed = l.confirmed || l.levels.falls(e, learnDeviations)
		l.lower(now, e.knee)
	}
	l.explore(now)
}

// lower sets the limit if it is below the current one. A limit found by exploration is kept only if it
// gains something.
func (l *Learner) lower(now time.Duration, limit int) {
	if l.limit > 0 && limit >= l.limit {
		return
	}
	if l.explored.active {
		l.explored.active = false
		if max(l.levels.throughput(limit), l.probe.activeReference()) < exploreGain*l.explored.throughput {
			l.lift()
			return
		}
	}
	if l.limit == 0 {
		l.limitedSince = now
		l.probe.reset()
		limit = max(1, int(firstShare*float64(limit)))
	}
	loss, drain := l.lossAbove(limit)
	l.probe.recordFailure(now, l.limit, loss, drain)
	l.limit = limit
}

// lossAbove returns the share of throughput that is lost at the highest known level, all of it if none
// above the limit is known, and the time in which requests end there.
func (l *Learner) lossAbove(limit int) (loss float64, drain time.Duration) {
	highest := l.levels.highestKnown(maxLevel)
	if highest <= limit || !l.levels.isKnown(limit) {
		return 1, 0
	}
	return max(0, 1-l.levels.throughput(highest)/l.levels.throughput(limit)), seconds(l.levels.responseTime(highest))
}

// explore starts to try a low level if responses take longer than callers accept, and ends it if
// responses are no faster there.
func (l *Learner) explore(now time.Duration) {
	if l.explored.active {
		x := &l.explored
		x.responseTime = max(x.responseTime, l.levels.slowest(exploredLevel+1))
		if l.limit <= exploredLevel && l.levels.windowsIn(1, l.limit) >= verdictWindows && x.responseTime > 0 && dependence*l.levels.fastest() > x.responseTime {
			l.lift()
		}
		return
	}
	highest := l.levels.highestKnown(maxLevel)
	if l.required == 0 || !l.mayExplore(now) || highest <= exploredLevel || l.levels.windowsIn(exploredLevel+1, maxLevel) < exploreWindows || l.limit > 0 && highest > l.limit || l.probe.active {
		return
	}
	took, lowest := l.levels.responseTime(highest), l.levels.lowestKnown()
	if took <= l.required || lowest <= highest/2 && took < dependence*l.levels.responseTime(lowest) {
		return
	}
	l.startExploration(now, l.levels.throughput(highest), took)
}

func (l *Learner) mayExplore(now time.Duration) bool {
	x := &l.explored
	return !l.requireSlow && !x.active && (x.interval == 0 || now-x.at >= x.interval)
}

func (l *Learner) startExploration(now time.Duration, throughput, responseTime float64) {
	interval := min(max(minExploreInterval, 2*l.explored.interval), maxExploreInterval)
	l.explored = exploration{active: true, at: now, interval: interval, throughput: throughput, responseTime: responseTime}
	l.levels.forgetRange(0, maxLevel)
	if l.limit == 0 {
		l.limitedSince = now
	}
	l.limit = exploredLevel
	l.probe.reset()
	l.probe.stop(now)
}
