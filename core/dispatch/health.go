package dispatch

import (
	"maps"
	"slices"
	"time"
)

// An endpoint can be unfit for requests in four ways, each with its own symptoms.
//
//   - It is unreachable or silent: connections do not open in time, or requests that should
//     have begun have not, and nothing else is received from it. It gets no requests until
//     something is received or, if it was unreachable, a connection opens. Probes are connections,
//     so that no request is spent on them. The kernel of a silent endpoint accepts them, too: one
//     at which runs are waiting stays out of use, one without runs gets one request until it
//     responds. VMs report such endpoints to each other, and each VM checks for itself, since an
//     endpoint may be partitioned from only some of them.
//   - Another incarnation responds at its address. The registry may list the earlier one for
//     seconds; one VM's report is enough for all.
//   - It rejects requests because it is full: it gets none for a moment.
//   - It fails one request after another, although it reports itself healthy: it is ejected
//     (ejection.go).

const (
	// assumedFullTime is the time for which an endpoint that reported itself full gets no
	// requests: about the time in which a slot becomes free.
	assumedFullTime = 100 * time.Millisecond
	// silenceTimeout is the time for which an endpoint may send nothing, beyond three times the
	// predicted time to a first event. Running streams send several events in that time.
	silenceTimeout = 800 * time.Millisecond
	// silenceFactor is the multiple of the predicted time to a first event that is allowed for.
	silenceFactor = 3
	// minProbeInterval and maxProbeInterval bound the interval between probes.
	minProbeInterval = 150 * time.Millisecond
	maxProbeInterval = time.Second
)

// health is the health of one endpoint as seen by this VM.
type health struct {
	// fullUntil is the time until which an endpoint that was full gets no requests.
	fullUntil time.Duration
	// lastContact is the time at which anything was last received from it.
	lastContact time.Duration
	// suspectedDown endpoints are probed and get no requests.
	suspectedDown bool
	probes        int
	nextProbe     time.Duration
	// replaced is set once another incarnation has responded at the endpoint's address. It is
	// never reset.
	replaced bool
	// probing is set while a probe is in progress.
	probing bool
	// suspectedSilent is set on an endpoint from which nothing was received for too long, until
	// something is.
	suspectedSilent bool
	// unverified is set on an endpoint that was unreachable and accepts connections again,
	// while it is not known whether the same incarnation does. When other endpoints start at
	// the addresses of engines that crashed, each would otherwise get several requests and
	// reject them. Also set on one that was silent. The endpoint gets one request at a time until
	// it responds.
	unverified bool
	// lastResponse is the time of its last response to a request.
	lastResponse time.Duration
	// failureShare is the moving average of failures. consecutiveFailures is the number since
	// the last success. firstFailureSent is when the first of these was sent.
	failureShare        float64
	consecutiveFailures int
	firstFailureSent    time.Duration
	ejection            ejection
}

// recordContact records that something was received from the endpoint.
func (h *health) recordContact(now time.Duration) {
	h.lastContact = now
	h.suspectedDown, h.unverified, h.suspectedSilent = false, false, false
	h.probes = 0
}

// suspectDown stops requests until the endpoint proves reachable.
func (h *health) suspectDown(now time.Duration) {
	switch {
	case h.suspectedDown:
	case h.suspectedSilent:
		// It has accepted a connection and is still silent: probes go on at their interval.
		h.suspectedDown = true
	default:
		h.suspectedDown, h.probes, h.nextProbe = true, 0, now
	}
}

// suspectSilent is suspectDown for an endpoint from which nothing was received.
func (h *health) suspectSilent(now time.Duration) {
	h.suspectDown(now)
	h.suspectedSilent = true
}

// probeFailed reports whether the endpoint is still suspected after a probe: it failed, or runs are
// waiting there in vain. Suspicion alone does not mean so: a VM that has no runs there finds out by
// the probe that follows at once.
func (h *health) probeFailed() bool { return h.suspectedDown && h.probes > 1 }

// startProbeIfDue reports whether a probe is due now, and marks it as started.
func (h *health) startProbeIfDue(now time.Duration) bool {
	if !h.suspectedDown || h.replaced || h.probing || now < h.nextProbe {
		return false
	}
	h.probing = true
	h.nextProbe = now + min(minProbeInterval<<min(h.probes, maxDoublings), maxProbeInterval)
	h.probes++
	return true
}

// recordOutcome updates the endpoint's health from the outcome of a run.
func (e *endpoint) recordOutcome(now time.Duration, r *run, o Outcome, sv *service) {
	if r.trial {
		e.health.ejection.trialsRunning--
	}
	switch o {
	case Answered:
		e.health.recordContact(now)
		e.health.lastResponse = now
		e.recordResult(now, r, false, sv)
	case Failed:
		e.health.recordContact(now)
		e.recordResult(now, r, true, sv)
	case Broken:
		e.recordResult(now, r, true, sv)
	case Endless:
		e.health.consecutiveFailures += endlessFailures - 1
		e.recordResult(now, r, true, sv)
	case Rejected:
		e.health.recordContact(now)
		e.health.fullUntil = now + assumedFullTime
	case Replaced:
		e.health.replaced = true
	case Unreachable:
		e.health.suspectDown(now)
	case Silent:
		e.health.suspectSilent(now)
	case CallerDisconnected:
	}
}

// silent reports whether runs of this VM have been waiting at the endpoint for longer than
// predicted, while nothing was received from it.
func (e *endpoint) silent(now time.Duration) bool {
	for _, r := range e.runs {
		if r.job.Remote {
			// The VM that sent it monitors it, and reports an endpoint that is silent.
			continue
		}
		since := max(r.lastEvent, e.health.lastContact)
		limit := silenceTimeout
		if !r.started {
			limit += silenceFactor * r.predicted
		}
		if now-since > limit {
			return true
		}
	}
	return false
}

// eligible reports whether the endpoint may get requests.
func (e *endpoint) eligible(now time.Duration) bool {
	return e.usable(now) && e.admits(now)
}

// awaitsVerification reports whether a request is in progress that will show which incarnation
// is at the endpoint's address.
func (e *endpoint) awaitsVerification() bool { return e.health.unverified && len(e.runs) > 0 }

// usable reports whether the endpoint may get requests when no eligible one is left: an
// endpoint that fails some requests is better than none.
func (e *endpoint) usable(now time.Duration) bool {
	return e.reachable(now) && now >= e.health.fullUntil
}

// reachable reports whether this VM takes the endpoint to be reachable.
func (e *endpoint) reachable(now time.Duration) bool {
	if e.silent(now) {
		e.health.suspectSilent(now)
	}
	return !e.health.replaced && !e.health.suspectedDown
}

// ReportUnreachable records that nothing listens at an endpoint's address: it gets no requests
// until a probe succeeds.
func (s *Scheduler) ReportUnreachable(now time.Duration, key string) {
	if e := s.byHash[EndpointHash(key)]; e != nil {
		e.health.suspectDown(now)
	}
}

// HasAlternative reports whether there is an untried endpoint to which a job may be sent now.
func (s *Scheduler) HasAlternative(now time.Duration, j *Job) bool {
	for _, e := range s.service(j.Service).list {
		if e.eligible(now) && s.withinLimit(now, e) && !s.inBackoff(now, e) && j.mayStillTry(e) {
			return true
		}
	}
	return false
}

// maxControlProbes limits the endpoints probed to distinguish a failure of a VM's own link from
// the end of an endpoint.
const maxControlProbes = 2

// ControlProbes returns endpoints to probe for comparison while connections to another endpoint
// fail: endpoints of its failure domain if there are any, otherwise of others.
func (s *Scheduler) ControlProbes(now time.Duration, key, failureDomain string) []Probe {
	var near, far []Probe
	for _, sv := range s.services {
		for _, e := range sv.list {
			switch p := (Probe{e.Key(), e.Address}); {
			case p.Key == key || !e.reachable(now):
			case e.FailureDomain == failureDomain:
				near = append(near, p)
			default:
				far = append(far, p)
			}
		}
	}
	if len(near) == 0 {
		near = far
	}
	return near[:min(maxControlProbes, len(near))]
}

// Endpoints returns all endpoints, ordered by service.
func (s *Scheduler) Endpoints() []Probe {
	list := make([]Probe, 0, s.EndpointCount())
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		for _, e := range s.services[name].list {
			list = append(list, Probe{e.Key(), e.Address})
		}
	}
	return list
}

// EndpointCount returns the number of endpoints.
func (s *Scheduler) EndpointCount() int { return len(s.byHash) }

// ProbeSuspected makes probes due of all endpoints that were found unreachable: they are reached in
// another way now. Until a probe succeeds they stay out of use, since some of them may be down.
func (s *Scheduler) ProbeSuspected(now time.Duration) {
	for _, sv := range s.services {
		for _, e := range sv.list {
			e.health.nextProbe, e.health.probes = now, min(e.health.probes, 1)
		}
	}
}

// Probe is a request to open a connection to an endpoint, to check whether it is reachable. The
// result must be passed to RecordProbe.
type Probe struct{ Key, Address string }

// DueProbes returns the probes to start now.
func (s *Scheduler) DueProbes(now time.Duration) []Probe {
	var probes []Probe
	for _, sv := range s.services {
		for _, e := range sv.list {
			if e.eligible(now); e.health.startProbeIfDue(now) {
				probes = append(probes, Probe{e.Key(), e.Address})
			}
		}
	}
	return probes
}

// RecordProbe records the result of a probe.
func (s *Scheduler) RecordProbe(now time.Duration, key string, ok bool) {
	e := s.byHash[EndpointHash(key)]
	if e == nil {
		return
	}
	e.health.probing = false
	switch {
	case !ok:
	case e.health.suspectedSilent && e.silent(now):
		// The kernel of a silent endpoint accepts connections; its runs show when it goes on.
	case e.health.suspectedSilent:
		e.health.suspectedDown, e.health.unverified = false, true
	default:
		unverified := e.health.probeFailed() || e.health.unverified
		e.health.recordContact(now)
		e.health.unverified = unverified
	}
}

// applyPeerSuspicion records that a peer suspects the endpoint to be down. Anything that this
// VM received from it since about then takes precedence. Only VMs that place requests act on
// such reports: if all VMs of a large fleet probed when a failure domain is partitioned, they
// would open several connections per request.
func (e *endpoint) applyPeerSuspicion(now time.Duration) {
	if now-e.health.lastContact > silenceTimeout {
		e.health.suspectSilent(now)
	}
}
