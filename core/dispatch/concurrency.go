package dispatch

import (
	"time"

	"github.com/chivefield/chivefield/core/concurrency"
	"github.com/chivefield/chivefield/core/mechanism"
)

// Placers learn from responses how many requests each endpoint runs well at once, and send no more. For
// plain services, the runs that end show it, for engines the time between events. A VM that delegates
// placement does not learn: it reports its runs to its placer.
//
// Experiments with an endpoint's limit would disturb each other, so all placers follow the first one in
// the endpoint's order that has had a response recently.

const (
	// limitFollowTime is how long the limit in another placer's note is followed: three note intervals,
	// so that a lost note changes nothing.
	limitFollowTime = 300 * time.Millisecond
	// maxLearnedAge is the age of a placer's newest response up to which it knows an endpoint's state.
	maxLearnedAge = time.Second
	// minLimitAge is how long a limit must last before it is reported as learned. One that was set for a
	// pause is gone by then.
	minLimitAge = 500 * time.Millisecond
	// limitChangeShare is the share by which a limit must move to be reported.
	limitChangeShare = 1.0 / 3
)

// learnedLimit is what this VM learned of an endpoint's concurrency limit.
type learnedLimit struct {
	*concurrency.Learner
	// maxPause is the longest pause that callers of the last placed stream accept.
	maxPause time.Duration
	// holdsBack is set if the limit held back a request when requests were last placed.
	holdsBack bool
	// reported is the limit last returned by TakeLimitChanges, 0 for none.
	reported int
}

// learnerOf returns the learner of an endpoint, nil if this VM does not learn.
func (s *Scheduler) learnerOf(now time.Duration, e *endpoint) *concurrency.Learner {
	if s.delegates || s.disabled.Has(mechanism.EndpointLimits) {
		return nil
	}
	if e.learned.Learner == nil {
		e.learned.Learner = concurrency.New(now)
	}
	return e.learned.Learner
}

// allowedRuns returns how many requests the registry allows at an endpoint.
func (e *endpoint) allowedRuns() int {
	if e.engine {
		return e.Slots
	}
	return plainFillFactor * e.Slots
}

// placedRuns returns when the runs at the endpoint were sent that this VM has placed.
func (e *endpoint) placedRuns() []time.Duration {
	sent := make([]time.Duration, 0, len(e.runs))
	for _, r := range e.runs {
		if !r.adopted {
			sent = append(sent, r.sent)
		}
	}
	return sent
}

// updateLimit tells the learner of an endpoint what runs there, and brings its limit up to date.
func (s *Scheduler) updateLimit(now time.Duration, e *endpoint, load Load) {
	l := s.learnerOf(now, e)
	if l == nil {
		return
	}
	if !e.engine {
		placed := e.placedRuns()
		l.SetOwn(now, placed)
		l.SetOthers(now, load.Running+load.Waiting-len(placed))
	}
	s.followLimit(now, e, l)
	l.Update(now, e.allowedRuns())
	e.learned.holdsBack = !s.limitAllows(now, e, load)
}

// limitAllows reports whether the learned limit of an endpoint allows another request of this VM.
func (s *Scheduler) limitAllows(now time.Duration, e *endpoint, load Load) bool {
	l := e.learned.Learner
	if s.delegates || l == nil || l.Limit() == 0 {
		return true
	}
	limit, total := l.Limit(), load.Running+load.Waiting
	return total < limit && s.holdsLess(now, e, len(e.placedRuns()), limit, limit-total)
}

// recordHeldBack tells the learners whose limits hold requests back, and whether any of these wait as no other
// endpoint takes them.
func (s *Scheduler) recordHeldBack(now time.Duration, sv *service) {
	for _, e := range sv.list {
		if e.learned.holdsBack {
			e.learned.RecordHeldBack(now, len(sv.queue) > 0)
		}
	}
}

// holdsLess reports whether this VM may take one of the free places of a limit. It may if it holds less
// than its part, or if there are more free places than placers before it in the endpoint's order, which
// may take them at the same time. So a VM that gets all requests can use all places.
func (s *Scheduler) holdsLess(now time.Duration, e *endpoint, own, limit, free int) bool {
	before, placers := s.placersBefore(now, e)
	part := limit / placers
	if before < limit%placers {
		part++
	}
	return own < part || free > before
}

// followLimit makes the learner follow the first placer in the endpoint's order that has had a response
// recently, if that is not this VM.
func (s *Scheduler) followLimit(now time.Duration, e *endpoint, l *concurrency.Learner) {
	self := peerVM{hash: s.self, domain: s.domain}
	knows := l.Responded() > 0 && now-l.Responded() <= maxLearnedAge
	var first *peerLoad
	for i := range e.peerLoads {
		o := &e.peerLoads[i]
		age := now - o.received
		switch {
		case !s.peers[o.vm].isPlacer || o.LearnedAge == 0 || age > limitFollowTime || o.LearnedAge+age > maxLearnedAge:
		case knows && !precedes(e, s.peers[o.vm], self):
		case first == nil || precedes(e, s.peers[o.vm], s.peers[first.vm]):
			first = o
		}
	}
	if first != nil {
		l.Follow(now, first.received+limitFollowTime, first.LearnedLimit)
	}
}

// learnedFor returns what this VM reports to other placers of an endpoint's limit.
func (s *Scheduler) learnedFor(now time.Duration, e *endpoint) (limit int, age time.Duration) {
	l := e.learned.Learner
	if l == nil || s.delegates || l.Responded() == 0 {
		return 0, 0
	}
	return l.Limit(), max(time.Millisecond, now-l.Responded())
}

// learnFromStart records that a run has begun.
func (s *Scheduler) learnFromStart(now time.Duration, r *run) {
	l := s.learnerOf(now, r.ep)
	switch {
	case l == nil:
	case r.ep.engine:
		r.ep.learned.maxPause = r.job.MaxPause
	default:
		if accepted := r.job.Objective - r.job.arrived; accepted > 0 {
			l.SetRequired(accepted)
		}
		l.SetOwn(now, r.ep.placedRuns())
		r.learned = l.Begin(now)
	}
}

// learnFromEnd records that a run has ended.
func (s *Scheduler) learnFromEnd(now time.Duration, r *run, o Outcome) {
	l := s.learnerOf(now, r.ep)
	if l == nil || r.ep.engine || r.adopted {
		return
	}
	if o == Answered {
		l.RecordResponse(now, r.learned)
	} else {
		l.RecordGiveUp(now, r.learned)
	}
	l.SetOwn(now, r.ep.placedRuns())
}

// learnFromGap records the time between two events of a stream, the lesser of two in a row: a prompt that is
// processed in between seldom lengthens both.
func (s *Scheduler) learnFromGap(now time.Duration, e *endpoint, gap time.Duration) {
	if l := s.learnerOf(now, e); l != nil && e.engine {
		load := e.totalLoad(now, defaultTokenTime, s.lastNote)
		l.RecordGap(now, load.Running, gap, e.learned.maxPause)
	}
}

// learnFromPeerGap records the time between two events that a VM reports for which this one places.
func (s *Scheduler) learnFromPeerGap(now time.Duration, e *endpoint, load Load, isPlacer bool) {
	if load.RecentGap > 0 && !isPlacer {
		s.learnFromGap(now, e, load.RecentGap)
	}
}

// LimitChange is a concurrency limit that was learned, has moved, or was lifted.
type LimitChange struct {
	// Endpoint is the key of the endpoint's incarnation.
	Endpoint string
	// From and To are the limits, 0 for none. Allowed is what the registry allows.
	From, To, Allowed int
}

// TakeLimitChanges returns the changes since the last call, and the number of endpoints with a limit.
func (s *Scheduler) TakeLimitChanges(now time.Duration) (changes []LimitChange, limited int) {
	for _, sv := range s.services {
		for _, e := range sv.list {
			if e.learned.Learner == nil {
				continue
			}
			from, to := e.learned.reported, e.learned.Confirmed()
			if isLimitChange(from, to) && (from > 0 || now-e.learned.LimitedSince() >= minLimitAge) {
				e.learned.reported = to
				changes = append(changes, LimitChange{Endpoint: e.Key(), From: from, To: to, Allowed: e.allowedRuns()})
			}
			if e.learned.reported > 0 {
				limited++
			}
		}
	}
	return changes, limited
}

// isLimitChange reports whether a limit was learned, lifted, or has moved enough to be reported.
func isLimitChange(from, to int) bool {
	if from == 0 || to == 0 {
		return from != to
	}
	moved := max(from, to) - min(from, to)
	return float64(moved) > limitChangeShare*float64(from)
}
