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
	// rejectedRest is how long an endpoint that said it is full rests: about the
	// time in which a slot becomes free.
	rejectedRest = 100 * time.Millisecond
	// silentAfter is how long nothing may come from an endpoint beyond three times
	// what was expected. Running streams send several events in that time.
	silentAfter = 800 * time.Millisecond
	// silentFactor is how many times the expected time to a first event counts.
	silentFactor = 3
	// probeFirst and probeMost bound the pause between two probes.
	probeFirst = 150 * time.Millisecond
	probeMost  = time.Second
)

// health is what is known of one endpoint's fitness.
type health struct {
	// restUntil is when an endpoint that was full may get requests again.
	restUntil time.Duration
	// lastHeard is when anything came from it.
	lastHeard time.Duration
	// doubted endpoints are probed; they get no requests.
	doubted   bool
	probes    int
	nextProbe time.Duration
	// gone endpoints were replaced at their address by another incarnation, and never
	// come back.
	gone bool
	// probing is set while a probe is under way.
	probing bool
	// unproven endpoints could not be reached and take connections again: nothing tells
	// yet that the same incarnation does. When others come up at the addresses of engines
	// that crashed, each would get several requests and turn them away. One at a time until
	// something is heard.
	unproven bool
	// answered is when it last answered a request.
	answered time.Duration
	// failing is the share of requests that failed, inARow how many did without a success
	// in between, rowSince when the first of them was sent.
	failing  float64
	inARow   int
	rowSince time.Duration
	ejection ejection
}

// heard notes a sign of life.
func (h *health) heard(now time.Duration) {
	h.lastHeard = now
	h.doubted, h.unproven = false, false
	h.probes = 0
}

// doubt stops requests until the endpoint shows that it can be reached.
func (h *health) doubt(now time.Duration) {
	if !h.doubted {
		h.doubted, h.probes, h.nextProbe = true, 0, now
	}
}

// unreachable says whether a probe has failed. Doubt alone does not say so: an engine
// that is too full looks silent, and a probe that follows at once tells the two apart.
func (h *health) unreachable() bool { return h.doubted && h.probes > 1 }

// probeDue says whether to probe now, and notes that it is done.
func (h *health) probeDue(now time.Duration) bool {
	if !h.doubted || h.gone || h.probing || now < h.nextProbe {
		return false
	}
	h.probing = true
	h.nextProbe = now + min(probeFirst<<min(h.probes, maxDoublings), probeMost)
	h.probes++
	return true
}

// note learns from the end of a run.
func (e *endpoint) note(now time.Duration, r *run, o Outcome, sv *service) {
	if r.trial {
		e.health.ejection.running--
	}
	switch o {
	case Answered:
		e.health.heard(now)
		e.health.answered = now
		e.outcome(now, r, false, sv)
	case Failed:
		e.health.heard(now)
		e.outcome(now, r, true, sv)
	case Broken:
		e.outcome(now, r, true, sv)
	case Rejected:
		e.health.heard(now)
		e.health.restUntil = now + rejectedRest
	case Replaced:
		e.health.gone = true
	case Unreachable, Silent:
		e.health.doubt(now)
	case CallerLeft:
	}
}

// silent says whether runs of this VM wait at the endpoint for longer than can be
// explained while nothing comes from it.
func (e *endpoint) silent(now time.Duration) bool {
	for _, r := range e.own {
		if r.job.Remote {
			// The VM that sent it watches it, and says so if it is silent.
			continue
		}
		since := max(r.last, e.health.lastHeard)
		limit := silentAfter
		if !r.started {
			limit += silentFactor * r.expected
		}
		if now-since > limit {
			return true
		}
	}
	return false
}

// fit says whether the endpoint may get requests.
func (e *endpoint) fit(now time.Duration) bool {
	return e.reachable(now) && e.admits(now)
}

// awaitsProof says that one request is under way that tells whether the endpoint is what
// it was.
func (e *endpoint) awaitsProof() bool { return e.health.unproven && len(e.own) > 0 }

// reachable says whether the endpoint may get requests at least where no other is
// better: one that fails some is better than none.
func (e *endpoint) reachable(now time.Duration) bool {
	return e.sound(now) && now >= e.health.restUntil
}

// sound says that the endpoint can be reached as far as this VM knows.
func (e *endpoint) sound(now time.Duration) bool {
	if e.silent(now) {
		e.health.doubt(now)
	}
	return !e.health.gone && !e.health.doubted
}

// ReportUnreachable says that nothing listens at an endpoint's address: it gets no requests until a probe
// shows otherwise.
func (s *Scheduler) ReportUnreachable(now time.Duration, key string) {
	if e := s.byName[EndpointHash(key)]; e != nil {
		e.health.doubt(now)
	}
}

// HasAlternative says whether a service has a fit endpoint that was not tried.
func (s *Scheduler) HasAlternative(now time.Duration, service string, tried []uint64) bool {
	for _, e := range s.service(service).list {
		if e.fit(now) && s.permits(now, e) && !s.wantsRest(now, e) && !slices.Contains(tried, e.name) {
			return true
		}
	}
	return false
}

// mostControls bounds the endpoints that tell a VM's own link from an endpoint's end.
const mostControls = 2

// ControlProbes returns endpoints to which connections should open while they do not to another: of
// its failure domain if there are any, else of others.
func (s *Scheduler) ControlProbes(now time.Duration, key, failureDomain string) []Probe {
	var near, far []Probe
	for _, sv := range s.services {
		for _, e := range sv.list {
			switch p := (Probe{e.Key(), e.Address}); {
			case p.Key == key || !e.sound(now):
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
	return near[:min(mostControls, len(near))]
}

// Probe asks for a connection to be opened to an endpoint, to see whether it can
// be reached. ProbeEnded must follow.
type Probe struct{ Key, Address string }

// DueProbes returns the endpoints to probe now.
func (s *Scheduler) DueProbes(now time.Duration) []Probe {
	var probes []Probe
	for _, sv := range s.services {
		for _, e := range sv.list {
			if e.fit(now); e.health.probeDue(now) {
				probes = append(probes, Probe{e.Key(), e.Address})
			}
		}
	}
	return probes
}

// RecordProbe says how a probe ended.
func (s *Scheduler) RecordProbe(now time.Duration, key string, ok bool) {
	e := s.byName[EndpointHash(key)]
	if e == nil {
		return
	}
	e.health.probing = false
	if ok {
		unproven := e.health.unreachable() || e.health.unproven
		e.health.heard(now)
		e.health.unproven = unproven
	}
}

// peerDoubts takes in another VM's doubt. What this VM heard itself since about
// then counts more. Only VMs that place do so: if all of a large fleet found out for
// themselves when a failure domain is cut off, they would open several connections a request.
func (e *endpoint) peerDoubts(now time.Duration) {
	if now-e.health.lastHeard > silentAfter {
		e.health.doubt(now)
	}
}
