package dispatch

import (
	"slices"
	"time"
)

// An endpoint can be unfit in four ways, and each shows differently.
//
//   - It cannot be reached, or is silent: connections are not opened in time, or
//     requests that should have begun have not, and nothing else comes from it. It
//     gets no requests until something does come, or a connection opens: probes are
//     connections, so that no request is spent on finding out. VMs tell each other,
//     and each checks for itself, since an endpoint may be cut off from some alone.
//   - Another incarnation answers at its address. The registry may list the one
//     before for seconds; the word of one VM is enough for all.
//   - It rejects requests as full: it rests a moment.
//   - It fails one request after the other, though it is healthy by its own word: it is
//     ejected (ejection.go).

const (
	// rejectedBackoff is how long an endpoint that said it is full rests: about the
	// time in which a slot becomes free.
	rejectedBackoff = 100 * time.Millisecond
	// silenceTimeout is how long nothing may come from an endpoint beyond three times
	// what was expected. Running streams send several events in that time.
	silenceTimeout = 800 * time.Millisecond
	// silenceFactor is how many times the expected time to a first event counts.
	silenceFactor = 3
	// minProbeInterval and probeMost bound the pause between two probes.
	minProbeInterval = 150 * time.Millisecond
	maxProbeInterval = time.Second
)

// health is what is known of one endpoint's fitness.
type health struct {
	// backoffUntil is when an endpoint that was full may get requests again.
	backoffUntil time.Duration
	// lastContact is when anything came from it.
	lastContact time.Duration
	// suspectedDown endpoints are probed; they get no requests.
	suspectedDown bool
	probes        int
	nextProbe     time.Duration
	// replaced endpoints were replaced at their address by another incarnation, and never
	// come back.
	replaced bool
	// probing is set while a probe is under way.
	probing bool
	// unverified endpoints could not be reached and take connections again: nothing tells
	// yet that the same incarnation does. When others come up at the addresses of engines
	// that crashed, each would get several requests and turn them away. One at a time until
	// something is heard.
	unverified bool
	// lastAnswer is when it last lastAnswer a request.
	lastAnswer time.Duration
	// failureShare is the share of requests that failed, inARow how many did without a success
	// in between, rowSince when the first of them was sent.
	failureShare        float64
	consecutiveFailures int
	firstFailureSent    time.Duration
	ejection            ejection
}

// recordContact notes a sign of life.
func (h *health) recordContact(now time.Duration) {
	h.lastContact = now
	h.suspectedDown, h.unverified = false, false
	h.probes = 0
}

// suspectDown stops requests until the endpoint shows that it can be reached.
func (h *health) suspectDown(now time.Duration) {
	if !h.suspectedDown {
		h.suspectedDown, h.probes, h.nextProbe = true, 0, now
	}
}

// probeFailed says whether a probe has failed. Doubt alone does not say so: an engine
// that is too full looks silent, and a probe that follows at once tells the two apart.
func (h *health) probeFailed() bool { return h.suspectedDown && h.probes > 1 }

// startProbeIfDue says whether to probe now, and notes that it is done.
func (h *health) startProbeIfDue(now time.Duration) bool {
	if !h.suspectedDown || h.replaced || h.probing || now < h.nextProbe {
		return false
	}
	h.probing = true
	h.nextProbe = now + min(minProbeInterval<<min(h.probes, maxDoublings), maxProbeInterval)
	h.probes++
	return true
}

// recordOutcome learns from the end of a run.
func (e *endpoint) recordOutcome(now time.Duration, r *run, o Outcome, sv *service) {
	if r.trial {
		e.health.ejection.trialsRunning--
	}
	switch o {
	case Answered:
		e.health.recordContact(now)
		e.health.lastAnswer = now
		e.recordResult(now, r, false, sv)
	case Failed:
		e.health.recordContact(now)
		e.recordResult(now, r, true, sv)
	case Broken:
		e.recordResult(now, r, true, sv)
	case Rejected:
		e.health.recordContact(now)
		e.health.backoffUntil = now + rejectedBackoff
	case Replaced:
		e.health.replaced = true
	case Unreachable, Silent:
		e.health.suspectDown(now)
	case CallerLeft:
	}
}

// silent says whether runs of this VM wait at the endpoint for longer than can be
// explained while nothing comes from it.
func (e *endpoint) silent(now time.Duration) bool {
	for _, r := range e.runs {
		if r.job.Remote {
			// The VM that sent it watches it, and says so if it is silent.
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

// eligible says whether the endpoint may get requests.
func (e *endpoint) eligible(now time.Duration) bool {
	return e.usable(now) && e.admits(now)
}

// awaitsVerification says that one request is under way that tells whether the endpoint is what
// it was.
func (e *endpoint) awaitsVerification() bool { return e.health.unverified && len(e.runs) > 0 }

// usable says whether the endpoint may get requests at least where no other is
// better: one that fails some is better than none.
func (e *endpoint) usable(now time.Duration) bool {
	return e.reachable(now) && now >= e.health.backoffUntil
}

// reachable says that the endpoint can be reached as far as this VM knows.
func (e *endpoint) reachable(now time.Duration) bool {
	if e.silent(now) {
		e.health.suspectDown(now)
	}
	return !e.health.replaced && !e.health.suspectedDown
}

// ReportUnreachable says that nothing listens at an endpoint's address: it gets no requests until a probe
// shows otherwise.
func (s *Scheduler) ReportUnreachable(now time.Duration, key string) {
	if e := s.byHash[EndpointHash(key)]; e != nil {
		e.health.suspectDown(now)
	}
}

// HasAlternative says whether a service has a fit endpoint that was not tried.
func (s *Scheduler) HasAlternative(now time.Duration, service string, tried []uint64) bool {
	for _, e := range s.service(service).list {
		if e.eligible(now) && s.withinLimit(now, e) && !s.inBackoff(now, e) && !slices.Contains(tried, e.hash) {
			return true
		}
	}
	return false
}

// maxControlProbes bounds the endpoints that tell a VM's own link from an endpoint's end.
const maxControlProbes = 2

// ControlProbes returns endpoints to which connections should open while they do not to another: of
// its failure domain if there are any, else of others.
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

// Probe asks for a connection to be opened to an endpoint, to see whether it can
// be reached. ProbeEnded must follow.
type Probe struct{ Key, Address string }

// DueProbes returns the endpoints to probe now.
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

// RecordProbe says how a probe ended.
func (s *Scheduler) RecordProbe(now time.Duration, key string, ok bool) {
	e := s.byHash[EndpointHash(key)]
	if e == nil {
		return
	}
	e.health.probing = false
	if ok {
		unverified := e.health.probeFailed() || e.health.unverified
		e.health.recordContact(now)
		e.health.unverified = unverified
	}
}

// applyPeerSuspicion takes in another VM's doubt. What this VM heard itself since about
// then counts more. Only VMs that place do so: if all of a large fleet found out for
// themselves when a failure domain is cut off, they would open several connections a request.
func (e *endpoint) applyPeerSuspicion(now time.Duration) {
	if now-e.health.lastContact > silenceTimeout {
		e.health.suspectDown(now)
	}
}
