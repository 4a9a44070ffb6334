package dispatch

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

// An endpoint that fails requests at once always has free slots, so placing by load
// sends it all that comes: three such endpoints of sixty took five hundred to a thousand
// requests each in five seconds, while they said that they were well. An endpoint whose
// share of failures is far above that of the others is ejected: it gets single requests
// on trial, after pauses that grow, until several in a row have succeeded.
//
// What others do is measured by the lower quartile over the service's endpoints, which
// failing ones cannot move while they are fewer than three in four. Each endpoint's share
// is kept twice, over its last five and its last thirty outcomes: the first shows a failing
// endpoint soon, the second tells a service whose requests fail by themselves from chance.
// Where three in ten do, the first alone left one of three endpoints out.
//
// VMs that place requests tell each other. One that hears of an ejection does the same
// unless it had an answer of its own just before, and its pauses grow with the number of
// those who say so: together they try about one request in trialPause, at any number of
// VMs.

const (
	// failWeight is the weight of one outcome in an endpoint's share of failures: four
	// failures in a row make 0.59.
	failWeight = 0.2
	// usualWeight is that in the share which measures the others.
	usualWeight = 0.03
	// failTimes and failMargin are by how much an endpoint's share of failures must pass
	// the others'. One that fails less than half still serves more than it spoils: where
	// three in five lost three in ten answers for six seconds, a margin of 0.25 ejected
	// half of them, and 0.632 of the worth was earned in place of 0.668.
	failTimes  = 2
	failMargin = 0.5
	// mostlyFailing is the share from which an endpoint is ejected however many are
	// already: it serves next to nothing. Others are ejected up to half of the service,
	// so that what is left is not drowned.
	mostlyFailing = 0.7
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

// admits says whether the endpoint may get a request as far as its failures go. The word
// of other VMs holds while one of them repeats it.
func (e *endpoint) admits(now time.Duration) bool {
	x := &e.health.ejection
	if x.on && x.told && e.otherEjections(now) == 0 {
		x.on = false
	}
	return x.allows(now)
}

// ended takes in the end of a trial.
func (x *ejection) ended(now time.Duration, failed bool, others int) {
	if !x.on {
		return
	}
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
	share := 0.0
	if failed {
		share = 1
	}
	e.health.failing += (share - e.health.failing) * failWeight
	e.health.usual += (share - e.health.usual) * usualWeight
	x := &e.health.ejection
	switch {
	case x.on:
		if r.trial {
			x.ended(now, failed, e.otherEjections(now))
		}
		if !x.on {
			e.health.failing = 0
		}
	case failed && !sv.off.Has(mechanism.Ejection) && e.fails(sv):
		x.begin(now, e.otherEjections(now))
	}
	if failed {
		sv.takeBack(now)
	}
}

// takeBack returns ejected endpoints where most others fail half of their requests too, so
// that none would be ejected any more: the first to show it were no worse than the rest.
func (sv *service) takeBack(now time.Duration) {
	if sv.failBound() < 1 {
		return
	}
	for _, e := range sv.list {
		if x := &e.health.ejection; x.on && !x.told {
			x.on, x.returned = false, now
		}
	}
}

// fails says whether the endpoint fails so much more than the others that it is better
// left out.
func (e *endpoint) fails(sv *service) bool {
	if e.health.failing <= sv.failBound() {
		return false
	}
	return e.health.failing > mostlyFailing || 2*(sv.ejected()+1) <= len(sv.list)
}

// failBound is the share of failures up to which an endpoint fails no more than others.
func (sv *service) failBound() float64 {
	lately, usual := make([]float64, 0, len(sv.list)), make([]float64, 0, len(sv.list))
	for _, e := range sv.list {
		lately, usual = append(lately, e.health.failing), append(usual, e.health.usual)
	}
	slices.Sort(lately)
	slices.Sort(usual)
	quartile := (len(lately) - 1) / 4
	return failTimes*max(lately[quartile], usual[quartile]) + failMargin
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
