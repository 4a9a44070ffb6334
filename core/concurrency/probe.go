package concurrency

import "time"

const (
	// minProbeInterval and maxProbeInterval bound the time from a failed probe to the next while requests
	// wait. It doubles with each failure in a row, as one may fail by chance, up to what follows from
	// probeCost, the share of throughput that failed probes may cost.
	minProbeInterval = 300 * time.Millisecond
	maxProbeInterval = 4 * time.Second
	probeCost        = 0.02
	maxFailures      = 5
	// minDownInterval and maxDownInterval bound the time between probes downwards.
	minDownInterval = time.Second
	maxDownInterval = 16 * time.Second
	// idleProbeInterval is the interval of probes while no requests wait. Such a limit binds nobody, but
	// must not be there forever.
	idleProbeInterval = 3 * time.Second
	// trialLiftTime is the time without waiting requests after which a limit is lifted beyond which
	// throughput was not seen to fall.
	trialLiftTime = 300 * time.Millisecond
	// raiseShare is the share of the limit by which a probe raises it, lowerShare the one by which it
	// lowers it, and at least one: far beyond a knee, each request takes many times as long. A limit
	// beyond which no fall was seen may be there for a pause and must go soon, hence trialRaiseShare.
	raiseShare      = 0.25
	trialRaiseShare = 0.5
	lowerShare      = 0.2
	// ceilingTime is how long probes close in on a limit at which one has failed, instead of passing it.
	ceilingTime = 4 * time.Second
	// verdictWindows is the number of windows beyond the previous limit, a little less as they fade, from
	// which a probe succeeds if throughput has not fallen, lastVerdictWindows the one from which it fails
	// otherwise.
	verdictWindows     = 0.9
	lastVerdictWindows = 1.8
	// A probe cannot succeed while requests that were sent beyond the previous limit take more than beyondFactor
	// times equalTime on average. It fails if none of them has been answered after silentFactor times equalTime.
	beyondFactor = 1.5
	silentFactor = 3
	// verdictTimeout is how long a probe waits for windows.
	verdictTimeout = time.Second
	// heldBackTime is how long a request that the limit held back counts as waiting.
	heldBackTime = 100 * time.Millisecond
)

// probe is the state of trying another limit.
type probe struct {
	active bool
	// from is the limit before. down is set while a lower limit is tried, which finds out whether
	// throughput falls already below the limit. nextDown is set if the next probe is one.
	from           int
	down, nextDown bool
	// downInterval is the time until the next probe downwards, which doubles with each that shows that
	// throughput is lower there. downAt is when the last one started.
	downAt, downInterval time.Duration
	// startedAt is when the last probe started, or ended without success; a stall puts it off.
	startedAt time.Duration
	// interval is the time to the next probe, failures the number that failed in a row.
	interval time.Duration
	failures int
	// successes is the number of probes upwards that succeeded in a row, reference the throughput at the
	// limit before the probe.
	successes int
	reference float64
	// beyond is the number of responses to requests that were sent beyond the previous limit, beyondTook the sum
	// of their response times.
	beyond     int
	beyondTook time.Duration
	// reached is set once a request was sent beyond the previous limit, at reachedAt.
	reached   bool
	reachedAt time.Duration
	// ceiling is the limit at which a probe has last failed, 0 if there is none. ceilingAt is when.
	ceiling   int
	ceilingAt time.Duration
	// heldBack is when the limit last held a request back, waiting when no other endpoint took that one.
	heldBack, waiting moment
}

func (p *probe) reset() {
	p.failures, p.successes, p.interval, p.nextDown, p.downInterval = 0, 0, minProbeInterval, false, minDownInterval
}

func (p *probe) stop(now time.Duration) { p.active, p.startedAt = false, now }

// recordFailure records that the given limit was lowered. loss is the share of throughput that was lost
// beyond it, drain the time in which requests there end.
func (p *probe) recordFailure(now time.Duration, limit int, loss float64, drain time.Duration) {
	// The last probe that succeeded has failed if the limit is lowered without one in progress.
	if p.active && !p.down || !p.active && p.successes > 0 {
		cost := loss * (now - p.startedAt + drain).Seconds()
		p.interval = min(minProbeInterval<<min(p.failures, maxFailures), max(minProbeInterval, seconds(cost/probeCost)), maxProbeInterval)
		p.failures++
		p.successes = 0
		p.nextDown = now-p.downAt >= p.downInterval
		p.ceiling, p.ceilingAt = limit, now
	}
	p.stop(now)
}

// recordSuccess records that throughput does not fall at the given limit. One success may be by chance, and does
// not end a row of failures.
func (p *probe) recordSuccess(limit int) {
	p.active, p.interval = false, 0
	p.successes++
	if limit >= p.ceiling && p.successes > 1 {
		p.ceiling, p.failures = 0, 0
	}
}

// next returns the limit to try after the given one.
func (p *probe) next(now time.Duration, limit int, share float64) int {
	next := limit + max(1, int(share*float64(limit)))
	if p.ceiling > limit && now-p.ceilingAt < ceilingTime {
		next = min(next, max(limit+1, (limit+p.ceiling)/2))
	}
	return next
}

// moment is the time of the last event of a kind.
type moment struct {
	at       time.Duration
	happened bool
}

func (m *moment) record(now time.Duration) { *m = moment{now, true} }

func (m *moment) isRecent(now time.Duration) bool { return m.happened && now-m.at <= heldBackTime }

// needsMore reports whether raising the limit would help now. For a confirmed limit a probe costs requests, so it is
// only worth it while requests wait that no other endpoint takes.
func (l *Learner) needsMore(now time.Duration) bool {
	if l.confirmed {
		return l.probe.waiting.isRecent(now)
	}
	return l.probe.heldBack.isRecent(now)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// updateProbe ends a probe of which enough is known, and starts one that is due.
func (l *Learner) updateProbe(now time.Duration, allowed int) {
	p := &l.probe
	switch {
	case p.active && p.down:
		l.judgeLower(now)
		return
	case p.active && !l.judgeHigher(now):
		return
	case l.limit >= allowed:
		l.lift()
		return
	}
	if !l.confirmed && now-max(p.heldBack.at, l.limitedSince, l.observedSince) > trialLiftTime {
		l.lift()
		return
	}
	p.nextDown = p.nextDown && !l.levels.isKnown(l.limit-1)
	wait := p.interval
	switch {
	case !l.needsMore(now):
		wait = idleProbeInterval
	case p.nextDown:
		wait = minProbeInterval
	case l.levels.windowsIn(1, l.limit) < verdictWindows && now-p.startedAt < verdictTimeout:
		return
	}
	if now-p.startedAt >= wait {
		l.startProbe(now, allowed)
	}
}

// judgeHigher reports whether a probe upwards has succeeded, and ends it if it has failed.
func (l *Learner) judgeHigher(now time.Duration) bool {
	p := &l.probe
	throughput, windows, _ := l.levels.pooled(func(n int) bool { return n > p.from })
	switch {
	case windows >= verdictWindows && throughput >= (1-levelTolerance)*p.reference && p.isFastBeyond(l.limit):
		p.recordSuccess(l.limit)
		return true
	case windows >= lastVerdictWindows, windows >= verdictWindows && throughput < (1-minFall)*p.reference:
		l.lower(now, p.from)
	case p.reached && (now-p.startedAt >= verdictTimeout || p.isSilentBeyond(now, l.limit)):
		l.lower(now, p.from)
	case now-p.startedAt >= verdictTimeout:
		if l.needsMore(now) {
			l.limit = p.from
		}
		// A limit that holds nobody back goes up without a verdict, so that it does not last forever.
		p.interval = minProbeInterval
		p.stop(now)
	}
	return false
}

// equalTime returns the response time in seconds at which throughput at a limit is as before the probe.
func (p *probe) equalTime(limit int) float64 { return float64(limit) / p.reference }

// isSilentBeyond reports whether the first request that was sent beyond the previous limit runs for much longer than
// equalTime.
func (p *probe) isSilentBeyond(now time.Duration, limit int) bool {
	return p.beyond == 0 && p.reference > 0 && (now-p.reachedAt).Seconds() > silentFactor*p.equalTime(limit)
}

// activeReference returns the throughput before the probe that is in progress, 0 if there is none.
func (p *probe) activeReference() float64 {
	if !p.active {
		return 0
	}
	return p.reference
}

// isFastBeyond reports whether requests that were sent beyond the previous limit take about equalTime or less.
// An endpoint may slow down only these, and the faster ones respond first.
func (p *probe) isFastBeyond(limit int) bool {
	if p.beyond == 0 {
		return false
	}
	mean := p.beyondTook.Seconds() / float64(p.beyond)
	return p.reference == 0 || mean <= beyondFactor*p.equalTime(limit)
}

// judgeLower ends a probe downwards: the lower limit stays if throughput is higher there.
func (l *Learner) judgeLower(now time.Duration) {
	p := &l.probe
	throughput, windows, _ := l.levels.pooled(func(n int) bool { return n <= l.limit })
	if windows < verdictWindows && now-p.startedAt < verdictTimeout {
		return
	}
	p.stop(now)
	if windows < verdictWindows || throughput < (1+levelTolerance)*p.reference {
		l.limit, p.nextDown = p.from, false
		p.downInterval = min(2*p.downInterval, maxDownInterval)
		return
	}
	p.downInterval, p.interval = minDownInterval, minProbeInterval
}

func (l *Learner) startProbe(now time.Duration, allowed int) {
	p := &l.probe
	p.active, p.from, p.startedAt, p.down = true, l.limit, now, p.nextDown && l.limit > 1
	l.levels.pending = window{}
	p.reference, p.beyond, p.beyondTook, p.reached = l.levels.throughput(l.levels.highestKnown(l.limit)), 0, 0, false
	if p.down {
		p.downAt = now
		l.limit -= max(1, int(lowerShare*float64(l.limit)))
		l.levels.forgetRange(1, l.limit)
		return
	}
	l.levels.forgetRange(l.limit+1, maxLevel)
	share := raiseShare
	if !l.confirmed && !l.explored.active || !p.heldBack.isRecent(now) {
		share = trialRaiseShare
	}
	l.limit = min(p.next(now, l.limit, share), allowed)
}
