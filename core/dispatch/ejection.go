package dispatch

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

// An endpoint that fails requests at once always has free slots, so placing by load
// sends it all that comes: three such endpoints of sixty took five hundred to a thousand
// requests each in five seconds, while they said that they were well. An endpoint that
// fails several in a row is ejected: it gets single requests on trial, after pauses that
// grow, until several in a row have succeeded.
//
// Only failures in a row count: an endpoint that spoils some of its requests serves the
// others, and is needed under load. By a share of failures chance makes any endpoint look bad for a
// moment where many lose some of their answers.
//
// Where the requests of a service fail by themselves nobody is ejected. That is measured
// by the lower quartile of the endpoints' shares of failures, which failing ones cannot
// move while they are fewer than three in four.
//
// VMs that place requests tell each other. One that hears of an ejection does the same
// unless it had an answer of its own just before, and its pauses grow with the number of
// those who say so: together they try about one request in trialPause, at any number of
// VMs.

const (
	// failuresInARow eject an endpoint. One that fails six in ten does so after one in
	// thirteen requests, one that fails three in ten after one in four hundred.
	failuresInARow = 5
	// ejectedShare is the share of a service's endpoints up to which that is enough, but for
	// two of a small service. Where all fail about half of their requests each of them has
	// such a row within a second; beyond the share manyInARow are asked for, which those
	// show once in a hundred thousand requests.
	ejectedShare = 0.25
	ejectedLeast = 2
	manyInARow   = 15
	// usualWeight is the weight of one outcome in an endpoint's share of failures: its last
	// five count most. Where all endpoints begin to fail, this must show before one of
	// them has failed five in a row by chance; with the last thirty it showed after three
	// seconds, when all were ejected.
	usualWeight = 0.2
	// usualMost is the lower quartile of shares from which requests are taken to fail by
	// themselves and nobody is ejected, usualSure that from which those that are ejected
	// are taken back. Where one request in seven fails by itself it is about 0.07.
	usualMost = 0.1
	usualSure = 0.2
	// trialPause is the first pause before a trial of a VM that is alone with it; others
	// add as much each. trialMost bounds it as it doubles.
	trialPause = time.Second
	trialMost  = 4 * time.Second
	// trialsToPass is how many trials in a row must succeed. Each doubles the number that
	// may run at the same time, so that an endpoint that is well again is back soon.
	trialsToPass = 3
	// trustFor is how long after it has passed its trials an endpoint is not ejected by
	// the word of other VMs, and how long the pause is remembered: some endpoints fail
	// only for some VMs, and some fail again at once.
	trustFor = 10 * time.Second
	// ownWord is how long a VM's own last answer counts more than others' word.
	ownWord = 800 * time.Millisecond
)

// ejection is the state of one endpoint's trials.
type ejection struct {
	on bool
	// told says that another VM's word ejected it, not what was seen here.
	told bool
	// pause is the last pause before a trial, next when the next trial may begin.
	pause, next time.Duration
	// passed is how many trials in a row succeeded, running how many are under way.
	passed, running int
	// returned is when the endpoint was last taken back.
	returned time.Duration
	// reported is the state that Ejections told last.
	reported bool
}

// EjectionChange says that an endpoint was ejected or taken back.
type EjectionChange struct {
	// Endpoint is the key of its incarnation.
	Endpoint string
	Ejected  bool
	// ByPeer says that another VM's word ejected it.
	ByPeer bool
	// Failures is how many requests failed here without a success in between.
	Failures int
	// TrialDelay is the time until the first trial.
	TrialDelay time.Duration
}

// TakeEjectionChanges returns what changed since the last call.
func (s *Scheduler) TakeEjectionChanges() []EjectionChange {
	var changes []EjectionChange
	for _, sv := range s.services {
		for _, e := range sv.list {
			x := &e.health.ejection
			if x.on == x.reported {
				continue
			}
			x.reported = x.on
			changes = append(changes, EjectionChange{Endpoint: e.Key(), Ejected: x.on, ByPeer: x.told, Failures: e.health.inARow, TrialDelay: x.pause})
		}
	}
	return changes
}

// begin ejects the endpoint. others is how many other VMs try it too.
func (x *ejection) begin(now time.Duration, others int) {
	x.on, x.told, x.passed = true, false, 0
	if x.returned == 0 || now-x.returned > trustFor {
		x.pause = 0
	}
	x.wait(now, others)
}

// wait sets the pause before the next trial.
func (x *ejection) wait(now time.Duration, others int) {
	first := trialPause * time.Duration(1+others)
	x.pause = min(max(first, 2*x.pause), max(first, trialMost))
	x.next = now + x.pause
}

// allows says whether a request may go there now.
func (x *ejection) allows(now time.Duration) bool {
	return !x.on || now >= x.next && x.running < 1<<x.passed
}

// admits says whether the endpoint may get a request as far as its failures go, and the
// proof that it is what it was. The word of other VMs holds while one of them repeats it.
func (e *endpoint) admits(now time.Duration) bool {
	x := &e.health.ejection
	if x.on && x.told && e.otherEjections(now) == 0 {
		x.on = false
	}
	return x.allows(now) && !e.awaitsProof()
}

// ended takes in the end of a trial.
func (x *ejection) ended(now time.Duration, failed bool, others int) {
	if failed {
		x.passed, x.told = 0, false
		x.wait(now, others)
		return
	}
	if x.passed++; x.passed >= trialsToPass {
		x.on, x.returned = false, now
	}
}

// outcome takes in a run that the endpoint answered or failed.
func (e *endpoint) outcome(now time.Duration, r *run, failed bool, sv *service) {
	e.health.count(r.sent, failed)
	x := &e.health.ejection
	switch {
	case x.on && r.trial:
		x.ended(now, failed, e.otherEjections(now))
	case x.on || sv.off.Has(mechanism.Ejection):
	case e.health.inARow >= failuresInARow && e.health.inARow >= sv.rowToEject() && sv.usualFailing() < usualMost:
		x.begin(now, e.otherEjections(now))
	}
	if failed && sv.ejected() > 0 && sv.usualFailing() >= usualSure {
		sv.takeBack(now)
	}
}

// count takes in whether a request that was sent at a time failed. What was sent before the
// first failure in a row says nothing: streams that had begun go on to their end.
func (h *health) count(sent time.Duration, failed bool) {
	if !failed {
		if sent >= h.rowSince {
			h.inARow = 0
		}
		h.failing -= h.failing * usualWeight
		return
	}
	if h.inARow == 0 {
		h.rowSince = sent
	}
	h.inARow++
	h.failing += (1 - h.failing) * usualWeight
}

// rowToEject is how many failures in a row eject one endpoint more.
func (sv *service) rowToEject() int {
	if sv.ejected() < max(ejectedLeast, int(ejectedShare*float64(len(sv.list)))) {
		return failuresInARow
	}
	return manyInARow
}

// takeBack returns ejected endpoints where the requests of most others fail too: the first
// to show it were no worse than the rest.
func (sv *service) takeBack(now time.Duration) {
	for _, e := range sv.list {
		if x := &e.health.ejection; x.on {
			x.on, x.returned = false, now
		}
	}
}

// usualFailing is the lower quartile of the endpoints' shares of failures.
func (sv *service) usualFailing() float64 {
	shares := make([]float64, 0, len(sv.list))
	for _, e := range sv.list {
		shares = append(shares, e.health.failing)
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/4]
}

// ejected is how many endpoints are on trial.
func (sv *service) ejected() int {
	n := 0
	for _, e := range sv.list {
		if e.health.ejection.on {
			n++
		}
	}
	return n
}

// otherEjections is how many other VMs that place requests say that they have ejected
// the endpoint.
func (e *endpoint) otherEjections(now time.Duration) int {
	n := 0
	for _, o := range e.others {
		if o.Ejected && now-o.at <= peerFresh {
			n++
		}
	}
	return n
}

// peerEjects takes in another VM's word that it has ejected the endpoint.
func (e *endpoint) peerEjects(now time.Duration, sv *service) {
	x := &e.health.ejection
	trusted := x.returned > 0 && now-x.returned < trustFor
	answered := e.health.answered > 0 && now-e.health.answered < ownWord
	if sv.off.Has(mechanism.Ejection) || x.on || trusted || answered || 2*(sv.ejected()+1) > len(sv.list) {
		return
	}
	x.begin(now, e.otherEjections(now))
	x.told = true
}
