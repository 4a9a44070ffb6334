package sched

import (
	"time"

	"github.com/chivefield/chivefield/request"
)

// predictIdle is like predict, for an endpoint without other requests.
func (e *endpoint) predictIdle(now time.Duration, s *request.Spec) Candidate {
	c := e.predict(now, s)
	if s.Model == "" {
		return c
	}
	prefillRatio, _ := e.slowdown(now)
	ahead := seconds(float64(e.prefillAhead(now)) / e.PrefillSpeed * prefillRatio)
	c.TimeToFirstToken -= ahead
	c.TimeToFinish -= ahead
	return c
}

// assign visits the queue, higher tiers first, and assigns the requests for
// which there is capacity.
func (s *Scheduler) assign() {
	s.countDemand()
	clear(s.blockedBy)
	for _, tq := range s.queue.tiers {
		full := make(map[requestClass]bool)
		tq.visitFairly(func(w *waiting) bool {
			k := classOf(&w.spec)
			switch {
			case w.reserved != "":
				s.place(w)
			case !full[k]:
				full[k] = s.place(w) == noCapacity
				if full[k] {
					s.blockLowerTiers(w)
				}
			case s.dropIfInfeasible(w):
			case s.urgent(w):
				s.freeCapacity(w)
			}
			return true
		})
	}
}

// blockLowerTiers blocks lower tiers from the endpoints that a request without
// capacity could use. Their prompts would lengthen the wait there, until the
// request could not be completed in time while lower-tier requests still run.
func (s *Scheduler) blockLowerTiers(w *waiting) {
	for _, e := range s.endpoints {
		if _, ok := s.blockedBy[e]; !ok && s.couldUse(e, w) {
			s.blockedBy[e] = w.spec.Tier
		}
	}
}

// blockedFor reports whether an endpoint is blocked for a tier by a higher
// tier, here or at another VM.
func (s *Scheduler) blockedFor(e *endpoint, t request.Tier) bool {
	if by, ok := s.blockedBy[e]; ok && by < t {
		return true
	}
	return e.higherTierWaits(s.now, t)
}

// placement is the result of trying to place a request.
type placement int

const (
	// decided: assigned or refused.
	decided placement = iota
	// deferred: there is capacity, but the request waits for a cheaper endpoint.
	deferred
	// noCapacity: no endpoint that it could use has capacity.
	noCapacity
)

// dropIfInfeasible refuses a request that cannot be completed in time any more
// and reports whether it did.
func (s *Scheduler) dropIfInfeasible(w *waiting) bool {
	if s.now <= w.latestStart {
		return false
	}
	reason, ok := s.checkFeasible(w)
	if !ok {
		s.drop(w, reason)
	}
	return !ok
}

// requestClass groups requests that can use the same endpoints. If one of a
// class finds no capacity, the next one of that class will not either.
type requestClass struct {
	model string
	kind  string
}

func classOf(s *request.Spec) requestClass {
	if s.Model != "" {
		return requestClass{model: s.Model}
	}
	return requestClass{kind: s.Kind}
}

// countDemand counts the waiting requests that each endpoint could serve.
func (s *Scheduler) countDemand() {
	classes := make(map[requestClass]int)
	s.queue.each(func(w *waiting) {
		if !w.deferred {
			classes[classOf(&w.spec)]++
		}
	})
	clear(s.demand)
	for class, n := range classes {
		probe := request.Spec{Model: class.model, Kind: class.kind}
		for _, e := range s.endpoints {
			if serves(e, &probe) {
				s.demand[e] += n
			}
		}
	}
}

// place assigns a request, frees capacity for it, or refuses it.
func (s *Scheduler) place(w *waiting) placement {
	best, candidates, feasible := s.selectEndpoint(w)
	w.deferred = false
	switch {
	case best != nil && s.worthWaiting(w, candidates):
		w.deferred = true
		return deferred
	case best != nil:
		s.assignTo(w, best, candidates)
		return decided
	case !feasible && s.dropIfInfeasible(w):
		return decided
	}
	if s.urgent(w) {
		s.freeCapacity(w)
	}
	return noCapacity
}

// selectEndpoint filters, scores and picks among the endpoints. feasible
// reports whether some endpoint could still complete the request in time after
// the requests it already has.
func (s *Scheduler) selectEndpoint(w *waiting) (best *endpoint, all []Candidate, feasible bool) {
	bestIndex := -1
	for _, e := range s.endpoints {
		if !serves(e, &w.spec) {
			continue
		}
		c := s.evaluate(e, w)
		if c.Reason == "" || c.Reason == ReasonFull || c.Reason == ReasonHigherTierWaits {
			feasible = true
		}
		if c.Reason == "" && (bestIndex < 0 || c.Cost < all[bestIndex].Cost) {
			best, bestIndex = e, len(all)
		}
		all = append(all, c)
	}
	for i := range all {
		switch {
		case i == bestIndex:
			all[i].Reason = ReasonPicked
		case all[i].Reason == "":
			all[i].Reason = ReasonCostlier
		}
	}
	return best, all, feasible
}

const (
	// minWaitGain is how many times cheaper a full endpoint must be to wait for
	// it.
	minWaitGain = 1.5
	// maxWaitShare is the share of its time, up to the deadline or to the
	// first-token target, for which a request waits for a cheaper endpoint.
	maxWaitShare = 0.15
)

// worthWaiting reports whether a request should wait for a full endpoint that
// has its prompt prefix cached, instead of repeating the prefill at the one
// picked.
func (s *Scheduler) worthWaiting(w *waiting, all []Candidate) bool {
	total := w.spec.Deadline - w.arrived
	if w.spec.FirstTokenTarget > 0 {
		total = min(total, w.spec.FirstTokenTarget)
	}
	if len(w.spec.PrefixHashes) == 0 || float64(s.now-w.arrived) >= maxWaitShare*float64(total) {
		return false
	}
	picked, full := 0.0, -1.0
	for i := range all {
		switch c := &all[i]; {
		case c.Reason == ReasonPicked:
			picked = c.Cost
		case c.Reason == ReasonFull && (full < 0 || c.Cost < full):
			full = c.Cost
		}
	}
	return full >= 0 && picked > minWaitGain*full
}

// evaluate filters and scores one endpoint. Reason is empty if it may be
// picked.
func (s *Scheduler) evaluate(e *endpoint, w *waiting) Candidate {
	if reason, ok := e.usable(s.now); !ok {
		return Candidate{Endpoint: e.Name, Reason: reason}
	}
	c := e.predict(s.now, &w.spec)
	switch {
	case !inTime(s.now, &c, &w.spec):
		c.Reason = ReasonTooSlow
	case w.reserved == e.Name:
	case len(e.running) >= e.share(s.now, s.demand[e]):
		c.Reason = ReasonFull
	case s.blockedFor(e, w.spec.Tier):
		c.Reason = ReasonHigherTierWaits
	}
	score(s.now, e, &c, &w.spec, w.arrived)
	return c
}

func (s *Scheduler) assignTo(w *waiting, e *endpoint, candidates []Candidate) {
	s.queue.chargeOrganisation(&w.spec)
	s.removeWaiting(w)
	r := &run{handle: w.handle, spec: w.spec, endpoint: e, dispatchedAt: s.now}
	r.uncached = w.spec.PromptTokens - e.cachedTokens(&w.spec)
	if e.PrefillSpeed > 0 {
		r.expectedFirstToken = seconds(float64(e.prefillAhead(s.now)+r.uncached) / e.PrefillSpeed)
	}
	e.prefill += r.uncached
	// Prefill is sequential, so the next request with this prefix finds it
	// cached.
	e.indexBlocks(w.spec.PrefixHashes)
	e.running[w.handle] = r
	s.runs[w.handle] = r
	s.out.Assignments = append(s.out.Assignments, Assignment{Handle: w.handle, Endpoint: e.Name, Candidates: candidates})
}

// urgentShare is the slack, as a share of a request's service time, below which
// other requests are stopped to free capacity for it.
const urgentShare = 0.25

// urgent reports whether a request would miss its deadline or its first-token
// target if it waited much longer.
func (s *Scheduler) urgent(w *waiting) bool { return s.now >= w.urgentAt }

// urgentMargin is the time needed to ask peers and to stop requests.
const urgentMargin = 100 * time.Millisecond
