package sched

import (
	"time"

	"github.com/chivefield/chivefield/request"
)

// predictIdle is predict for an endpoint without other work.
func (e *endpoint) predictIdle(now time.Duration, s *request.Spec) Candidate {
	c := e.predict(now, s)
	if s.Model == "" {
		return c
	}
	pr, _ := e.ratios(now)
	ahead := seconds(float64(e.prefillAhead(now)) / e.PrefillSpeed * pr)
	c.FirstToken -= ahead
	c.Finish -= ahead
	return c
}

// assign goes through the queue, higher tiers first, and binds what has room.
func (s *Scheduler) assign() {
	s.countWants()
	clear(s.wanted)
	for _, tq := range s.queue.tiers {
		full := make(map[shape]bool)
		tq.inOrder(func(w *waiting) bool {
			k := shapeOf(&w.spec)
			switch {
			case w.reserved != "":
				s.place(w)
			case !full[k]:
				full[k] = s.place(w) == noRoom
				if full[k] {
					s.wantFor(w)
				}
			case s.hopeless(w):
			case s.urgent(w):
				s.makeRoom(w)
			}
			return true
		})
	}
}

// wantFor keeps lower tiers from the endpoints that a request without room
// could use: their prompts would lengthen the wait there, until the request
// cannot be done in time although lower-tier work goes on.
func (s *Scheduler) wantFor(w *waiting) {
	for _, e := range s.endpoints {
		if _, ok := s.wanted[e]; !ok && s.couldUse(e, w) {
			s.wanted[e] = w.spec.Tier
		}
	}
}

// keptFrom reports whether an endpoint is wanted by a higher tier, here or at
// another VM.
func (s *Scheduler) keptFrom(e *endpoint, t request.Tier) bool {
	if by, ok := s.wanted[e]; ok && by < t {
		return true
	}
	return e.higherWaits(s.now, t)
}

// placement is what became of a request that was looked at.
type placement int

const (
	// settled: assigned or given up.
	settled placement = iota
	// waits: there is room, but it waits for a better place.
	waits
	// noRoom: nothing it could use has room.
	noRoom
)

// hopeless gives up a request that cannot be done in time any more.
func (s *Scheduler) hopeless(w *waiting) bool {
	if s.now <= w.latest {
		return false
	}
	why, ok := s.possible(w)
	if !ok {
		s.drop(w, why)
	}
	return !ok
}

// shape groups requests that can use the same endpoints; if one of a shape
// finds no room, the next of that shape will not either.
type shape struct {
	model string
	kind  string
}

func shapeOf(s *request.Spec) shape {
	if s.Model != "" {
		return shape{model: s.Model}
	}
	return shape{kind: s.Kind}
}

// countWants counts the waiting requests that each endpoint could serve.
func (s *Scheduler) countWants() {
	shapes := make(map[shape]int)
	s.queue.each(func(w *waiting) {
		if !w.byChoice {
			shapes[shapeOf(&w.spec)]++
		}
	})
	clear(s.want)
	for sh, n := range shapes {
		probe := request.Spec{Model: sh.model, Kind: sh.kind}
		for _, e := range s.endpoints {
			if serves(e, &probe) {
				s.want[e] += n
			}
		}
	}
}

// place assigns a request, makes room for it, or gives it up.
func (s *Scheduler) place(w *waiting) placement {
	best, candidates, feasible := s.choose(w)
	w.byChoice = false
	switch {
	case best != nil && s.worthWaiting(w, candidates):
		w.byChoice = true
		return waits
	case best != nil:
		s.bind(w, best, candidates)
		return settled
	case !feasible && s.hopeless(w):
		return settled
	}
	if s.urgent(w) {
		s.makeRoom(w)
	}
	return noRoom
}

// choose runs filter, score and pick over the endpoints. feasible says whether
// some endpoint could still do it in time behind the work it has.
func (s *Scheduler) choose(w *waiting) (best *endpoint, all []Candidate, feasible bool) {
	bestAt := -1
	for _, e := range s.endpoints {
		if !serves(e, &w.spec) {
			continue
		}
		c := s.consider(e, w)
		if c.Why == "" || c.Why == WhyFull || c.Why == WhyYields {
			feasible = true
		}
		if c.Why == "" && (bestAt < 0 || c.Cost < all[bestAt].Cost) {
			best, bestAt = e, len(all)
		}
		all = append(all, c)
	}
	for i := range all {
		switch {
		case i == bestAt:
			all[i].Why = WhyPicked
		case all[i].Why == "":
			all[i].Why = WhyCostlier
		}
	}
	return best, all, feasible
}

const (
	// waitGain is how much cheaper a full endpoint must be to be waited for.
	waitGain = 1.5
	// patience is the part of its time, to the first token or in all, that a
	// request waits for a cheaper endpoint.
	patience = 0.15
)

// worthWaiting reports whether a request should wait for a full endpoint that
// has its prompt's beginning, rather than have it read again at the one picked.
func (s *Scheduler) worthWaiting(w *waiting, all []Candidate) bool {
	total := w.spec.Deadline - w.arrived
	if w.spec.FirstTokenTarget > 0 {
		total = min(total, w.spec.FirstTokenTarget)
	}
	if len(w.spec.PrefixHashes) == 0 || float64(s.now-w.arrived) >= patience*float64(total) {
		return false
	}
	picked, full := 0.0, -1.0
	for i := range all {
		switch c := &all[i]; {
		case c.Why == WhyPicked:
			picked = c.Cost
		case c.Why == WhyFull && (full < 0 || c.Cost < full):
			full = c.Cost
		}
	}
	return full >= 0 && picked > waitGain*full
}

// consider filters and scores one endpoint. Why is empty if it may be picked.
func (s *Scheduler) consider(e *endpoint, w *waiting) Candidate {
	if why, ok := e.usable(s.now); !ok {
		return Candidate{Endpoint: e.Name, Why: why}
	}
	c := e.predict(s.now, &w.spec)
	switch {
	case !inTime(s.now, &c, &w.spec):
		c.Why = WhyTooSlow
	case w.reserved == e.Name:
	case len(e.running) >= e.share(s.now, s.want[e]):
		c.Why = WhyFull
	case s.keptFrom(e, w.spec.Tier):
		c.Why = WhyYields
	}
	score(s.now, e, &c, &w.spec, w.arrived)
	return c
}

func (s *Scheduler) bind(w *waiting, e *endpoint, candidates []Candidate) {
	s.queue.charge(&w.spec)
	s.forget(w)
	r := &run{handle: w.handle, spec: w.spec, endpoint: e, assigned: s.now}
	r.uncached = w.spec.PromptTokens - e.cached(&w.spec)
	if e.PrefillSpeed > 0 {
		r.expected = seconds(float64(e.prefillAhead(s.now)+r.uncached) / e.PrefillSpeed)
	}
	e.prefill += r.uncached
	// Prompts are read one by one, so the next with this beginning finds it.
	e.remember(w.spec.PrefixHashes)
	e.running[w.handle] = r
	s.runs[w.handle] = r
	s.out.Assignments = append(s.out.Assignments, Assignment{Handle: w.handle, Endpoint: e.Name, Candidates: candidates})
}

// urgentShare is the part of a request's service time that may be left as
// slack before room is made for it by force.
const urgentShare = 0.25

// urgent reports whether a request misses its deadline or its target for the
// first token if it waits much longer.
func (s *Scheduler) urgent(w *waiting) bool { return s.now >= w.urgentAt }

// urgentMargin is the time that asking peers and stopping work takes.
const urgentMargin = 100 * time.Millisecond
