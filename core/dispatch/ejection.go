package dispatch

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

// An endpoint that fails requests at once always has free slots, so placement by load sends it
// everything that arrives: three such endpoints of sixty took five hundred to a thousand
// requests each in five seconds while reporting that they were healthy. An endpoint that fails
// several requests in a row is therefore ejected: it gets single trial requests, after growing
// delays, until several in a row have succeeded.
//
// Only consecutive failures count: an endpoint that fails some of its requests serves the
// others, and is needed under load. If a share of failures counted, any endpoint could look bad
// for a moment by chance where many of them lose some of their responses.
//
// Where the requests of a service fail through their own fault, no endpoint is ejected. The
// measure for this is the lower quartile of the endpoints' failure shares, which failing
// endpoints cannot move while they are fewer than three in four.
//
// VMs that place requests report ejections to each other. A VM that receives one ejects the
// endpoint too, unless it had a response from it just before. Trial delays grow with the number
// of VMs that report the ejection, so that all of them together send about one trial request
// per minTrialDelay, whatever their number.

const (
	// ejectAfterFailures is the number of consecutive failures that ejects an endpoint. One
	// that fails six in ten reaches it after one in thirteen requests, one that fails three in
	// ten after one in four hundred.
	ejectAfterFailures = 5
	// ejectAfterFailures applies while at most maxEjectedShare of a service's endpoints are
	// ejected, or minEjectedLimit of them in a small service. Where all endpoints fail about
	// half of their requests, each has such a run within a second. Beyond the share,
	// ejectAfterManyFailures are needed; those endpoints reach it once in a hundred thousand
	// requests.
	maxEjectedShare        = 0.25
	minEjectedLimit        = 2
	ejectAfterManyFailures = 15
	// endlessFailures is the number of failures that an endless response counts as. It does not occur by
	// chance, and uses memory and the link until it is given up.
	endlessFailures = ejectAfterFailures
	// failureShareWeight is the weight of one outcome in an endpoint's failure share: its last
	// five outcomes count most. Where all endpoints begin to fail, the share must show it
	// before one of them has failed five in a row by chance. Averaged over the last thirty
	// outcomes, it did so only after three seconds, when all were ejected.
	failureShareWeight = 0.2
	// maxBaselineFailures is the lower quartile of failure shares from which requests are taken
	// to fail through their own fault and no endpoint is ejected. readmitBaselineFailures is
	// the one from which ejected endpoints are readmitted. Where one request in seven fails by
	// itself the quartile is about 0.07.
	maxBaselineFailures     = 0.1
	readmitBaselineFailures = 0.2
	// minTrialDelay is the first delay before a trial by a single VM; each further VM adds as
	// much. The delay doubles up to maxTrialDelay.
	minTrialDelay = time.Second
	maxTrialDelay = 4 * time.Second
	// trialsToPass is the number of trials in a row that must succeed. Each success doubles the
	// number that may run concurrently, so that a recovered endpoint returns quickly.
	trialsToPass = 3
	// readmissionGrace is the time after readmission for which peers' reports do not eject the
	// endpoint, and for which the trial delay is remembered: some endpoints fail only for some
	// VMs, and some fail again at once.
	readmissionGrace = 10 * time.Second
	// ownResponsePrecedence is the time for which a VM's own last response outweighs peers'
	// reports.
	ownResponsePrecedence = 800 * time.Millisecond
)

// ejection is the ejection state of one endpoint.
type ejection struct {
	active bool
	// byPeer is set if the ejection rests on a peer's report rather than on failures seen here.
	byPeer bool
	// trialDelay is the last delay before a trial. nextTrial is the earliest time of the next
	// one.
	trialDelay, nextTrial time.Duration
	// trialsPassed is the number of trials in a row that succeeded, trialsRunning the number in
	// progress.
	trialsPassed, trialsRunning int
	// readmittedAt is the time at which the endpoint was last readmitted.
	readmittedAt time.Duration
	// reportedActive is the state last returned by TakeEjectionChanges.
	reportedActive bool
}

// EjectionChange is the ejection or readmission of an endpoint.
type EjectionChange struct {
	// Endpoint is the key of the endpoint's incarnation.
	Endpoint string
	Ejected  bool
	// ByPeer reports whether a peer's report caused the ejection.
	ByPeer bool
	// Failures is the number of consecutive failures seen here.
	Failures int
	// TrialDelay is the time until the first trial.
	TrialDelay time.Duration
}

// TakeEjectionChanges returns the changes since the last call.
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

// eject ejects the endpoint. peers is the number of other VMs that have ejected it too.
func (x *ejection) eject(now time.Duration, peers int) {
	x.active, x.byPeer, x.trialsPassed = true, false, 0
	if x.readmittedAt == 0 || now-x.readmittedAt > readmissionGrace {
		x.trialDelay = 0
	}
	x.scheduleTrial(now, peers)
}

// scheduleTrial sets the delay before the next trial.
func (x *ejection) scheduleTrial(now time.Duration, peers int) {
	first := minTrialDelay * time.Duration(1+peers)
	x.trialDelay = min(max(first, 2*x.trialDelay), max(first, maxTrialDelay))
	x.nextTrial = now + x.trialDelay
}

// allowsRequest reports whether a request may be sent to the endpoint now.
func (x *ejection) allowsRequest(now time.Duration) bool {
	return !x.active || now >= x.nextTrial && x.trialsRunning < 1<<x.trialsPassed
}

// admits reports whether the ejection state and a pending verification let the endpoint get a
// request. An ejection by a peer's report holds while some peer repeats it.
func (e *endpoint) admits(now time.Duration) bool {
	x := &e.health.ejection
	if x.active && x.byPeer && e.peerEjections(now) == 0 {
		x.active = false
	}
	return x.allowsRequest(now) && !e.awaitsVerification()
}

// recordTrial records the result of a trial.
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

// recordResult records a run that succeeded or failed, and ejects or readmits endpoints
// accordingly.
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

// recordResult records whether a request sent at the given time failed. A success of a request
// that was sent before the first failure in the row does not end the row: streams that had
// begun continue to their end.
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

// failuresToEject returns the number of consecutive failures that ejects one more endpoint.
func (sv *service) failuresToEject() int {
	if sv.ejectedCount() < max(minEjectedLimit, int(maxEjectedShare*float64(len(sv.list)))) {
		return ejectAfterFailures
	}
	return ejectAfterManyFailures
}

// readmitAll readmits all ejected endpoints, where the requests of most others fail too: those
// ejected first were no worse than the rest.
func (sv *service) readmitAll(now time.Duration) {
	for _, e := range sv.list {
		if x := &e.health.ejection; x.active {
			x.active, x.readmittedAt = false, now
		}
	}
}

// baselineFailureShare returns the lower quartile of the endpoints' failure shares.
func (sv *service) baselineFailureShare() float64 {
	shares := make([]float64, 0, len(sv.list))
	for _, e := range sv.list {
		shares = append(shares, e.health.failureShare)
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/4]
}

// ejectedCount returns the number of ejected endpoints.
func (sv *service) ejectedCount() int {
	n := 0
	for _, e := range sv.list {
		if e.health.ejection.active {
			n++
		}
	}
	return n
}

// peerEjections returns the number of other placers that report the endpoint as ejected.
func (e *endpoint) peerEjections(now time.Duration) int {
	n := 0
	for _, o := range e.peerLoads {
		if o.Ejected && now-o.received <= peerLoadTTL {
			n++
		}
	}
	return n
}

// applyPeerEjection ejects the endpoint on a peer's report, unless this VM's own information
// outweighs it or it would leave less than half of the endpoints.
func (e *endpoint) applyPeerEjection(now time.Duration, sv *service) {
	x := &e.health.ejection
	readmitted := x.readmittedAt > 0 && now-x.readmittedAt < readmissionGrace
	answered := e.health.lastResponse > 0 && now-e.health.lastResponse < ownResponsePrecedence
	if sv.disabled.Has(mechanism.Ejection) || x.active || readmitted || answered || 2*(sv.ejectedCount()+1) > len(sv.list) {
		return
	}
	x.eject(now, e.peerEjections(now))
	x.byPeer = true
}
