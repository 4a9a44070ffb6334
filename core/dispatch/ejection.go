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
	// ejectAfterFailures eject an endpoint. One that fails six in ten does so after one in
	// thirteen requests, one that fails three in ten after one in four hundred.
	ejectAfterFailures = 5
	// maxEjectedShare is the share of a service's endpoints up to which that is enough, but for
	// two of a small service. Where all fail about half of their requests each of them has
	// such a row within a second; beyond the share manyInARow are asked for, which those
	// show once in a hundred thousand requests.
	maxEjectedShare        = 0.25
	minEjectedLimit        = 2
	ejectAfterManyFailures = 15
	// failureShareWeight is the weight of one outcome in an endpoint's share of failures: its last
	// five count most. Where all endpoints begin to fail, this must show before one of
	// them has failed five in a row by chance; with the last thirty it showed after three
	// seconds, when all were ejected.
	failureShareWeight = 0.2
	// maxBaselineFailures is the lower quartile of shares from which requests are taken to fail by
	// themselves and nobody is ejected, usualSure that from which those that are ejected
	// are taken back. Where one request in seven fails by itself it is about 0.07.
	maxBaselineFailures     = 0.1
	readmitBaselineFailures = 0.2
	// minTrialDelay is the first pause before a trial of a VM that is alone with it; others
	// add as much each. trialMost bounds it as it doubles.
	minTrialDelay = time.Second
	maxTrialDelay = 4 * time.Second
	// trialsToPass is how many trials in a row must succeed. Each doubles the number that
	// may run at the same time, so that an endpoint that is well again is back soon.
	trialsToPass = 3
	// readmissionGrace is how long after it has passed its trials an endpoint is not ejected by
	// the word of other VMs, and how long the pause is remembered: some endpoints fail
	// only for some VMs, and some fail again at once.
	readmissionGrace = 10 * time.Second
	// ownAnswerPrecedence is how long a VM's own last answer counts more than others' word.
	ownAnswerPrecedence = 800 * time.Millisecond
)

// ejection is the state of one endpoint's trials.
type ejection struct {
	active bool
	// byPeer says that another VM's word ejected it, not what was seen here.
	byPeer bool
	// trialDelay is the last trialDelay before a trial, nextTrial when the nextTrial trial may begin.
	trialDelay, nextTrial time.Duration
	// trialsPassed is how many trials in a row succeeded, trialsRunning how many are under way.
	trialsPassed, trialsRunning int
	// readmittedAt is when the endpoint was last taken back.
	readmittedAt time.Duration
	// reportedActive is the state that Ejections told last.
	reportedActive bool
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
			if x.active == x.reportedActive {
				continue
			}
			x.reportedActive = x.active
			changes = append(changes, EjectionChange{Endpoint: e.Key(), Ejected: x.active, ByPeer: x.byPeer, Failures: e.health.consecutiveFailures, TrialDelay: x.trialDelay})
		}
	}
	return changes
}

// eject ejects the endpoint. others is how many other VMs try it too.
func (x *ejection) eject(now time.Duration, peers int) {
	x.active, x.byPeer, x.trialsPassed = true, false, 0
	if x.readmittedAt == 0 || now-x.readmittedAt > readmissionGrace {
		x.trialDelay = 0
	}
	x.scheduleTrial(now, peers)
}

// scheduleTrial sets the pause before the next trial.
func (x *ejection) scheduleTrial(now time.Duration, peers int) {
	first := minTrialDelay * time.Duration(1+peers)
	x.trialDelay = min(max(first, 2*x.trialDelay), max(first, maxTrialDelay))
	x.nextTrial = now + x.trialDelay
}

// allowsRequest says whether a request may go there now.
func (x *ejection) allowsRequest(now time.Duration) bool {
	return !x.active || now >= x.nextTrial && x.trialsRunning < 1<<x.trialsPassed
}

// admits says whether the endpoint may get a request as far as its failures go, and the
// proof that it is what it was. The word of other VMs holds while one of them repeats it.
func (e *endpoint) admits(now time.Duration) bool {
	x := &e.health.ejection
	if x.active && x.byPeer && e.peerEjections(now) == 0 {
		x.active = false
	}
	return x.allowsRequest(now) && !e.awaitsVerification()
}

// recordTrial takes in the end of a trial.
func (x *ejection) recordTrial(now time.Duration, failed bool, peers int) {
	if failed {
		x.trialsPassed, x.byPeer = 0, false
		x.scheduleTrial(now, peers)
		return
	}
	if x.trialsPassed++; x.trialsPassed >= trialsToPass {
		x.active, x.readmittedAt = false, now
	}
}

// recordResult takes in a run that the endpoint answered or failed.
func (e *endpoint) recordResult(now time.Duration, r *run, failed bool, sv *service) {
	e.health.recordResult(r.sent, failed)
	x := &e.health.ejection
	switch {
	case x.active && r.trial:
		x.recordTrial(now, failed, e.peerEjections(now))
	case x.active || sv.disabled.Has(mechanism.Ejection):
	case e.health.consecutiveFailures >= ejectAfterFailures && e.health.consecutiveFailures >= sv.failuresToEject() && sv.baselineFailureShare() < maxBaselineFailures:
		x.eject(now, e.peerEjections(now))
	}
	if failed && sv.ejectedCount() > 0 && sv.baselineFailureShare() >= readmitBaselineFailures {
		sv.readmitAll(now)
	}
}

// recordResult takes in whether a request that was sent at a time failed. What was sent before the
// first failure in a row says nothing: streams that had begun go on to their end.
func (h *health) recordResult(sent time.Duration, failed bool) {
	if !failed {
		if sent >= h.firstFailureSent {
			h.consecutiveFailures = 0
		}
		h.failureShare -= h.failureShare * failureShareWeight
		return
	}
	if h.consecutiveFailures == 0 {
		h.firstFailureSent = sent
	}
	h.consecutiveFailures++
	h.failureShare += (1 - h.failureShare) * failureShareWeight
}

// failuresToEject is how many failures in a row eject one endpoint more.
func (sv *service) failuresToEject() int {
	if sv.ejectedCount() < max(minEjectedLimit, int(maxEjectedShare*float64(len(sv.list)))) {
		return ejectAfterFailures
	}
	return ejectAfterManyFailures
}

// readmitAll returns ejected endpoints where the requests of most others fail too: the first
// to show it were no worse than the rest.
func (sv *service) readmitAll(now time.Duration) {
	for _, e := range sv.list {
		if x := &e.health.ejection; x.active {
			x.active, x.readmittedAt = false, now
		}
	}
}

// baselineFailureShare is the lower quartile of the endpoints' shares of failures.
func (sv *service) baselineFailureShare() float64 {
	shares := make([]float64, 0, len(sv.list))
	for _, e := range sv.list {
		shares = append(shares, e.health.failureShare)
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/4]
}

// ejectedCount is how many endpoints are on trial.
func (sv *service) ejectedCount() int {
	n := 0
	for _, e := range sv.list {
		if e.health.ejection.active {
			n++
		}
	}
	return n
}

// peerEjections is how many other VMs that place requests say that they have ejected
// the endpoint.
func (e *endpoint) peerEjections(now time.Duration) int {
	n := 0
	for _, o := range e.peerLoads {
		if o.Ejected && now-o.received <= peerLoadTTL {
			n++
		}
	}
	return n
}

// applyPeerEjection takes in another VM's word that it has ejected the endpoint.
func (e *endpoint) applyPeerEjection(now time.Duration, sv *service) {
	x := &e.health.ejection
	readmitted := x.readmittedAt > 0 && now-x.readmittedAt < readmissionGrace
	answered := e.health.lastAnswer > 0 && now-e.health.lastAnswer < ownAnswerPrecedence
	if sv.disabled.Has(mechanism.Ejection) || x.active || readmitted || answered || 2*(sv.ejectedCount()+1) > len(sv.list) {
		return
	}
	x.eject(now, e.peerEjections(now))
	x.byPeer = true
}
