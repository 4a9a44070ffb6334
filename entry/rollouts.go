package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/rollout"
)

// rollouts move services to other versions. Each VM bounds by itself what a new version gets
// of its requests, and counts what it sees of both; one VM of each failure domain judges
// (rollout_judge.go); what is decided is told in notes (rollout_notes.go) and written to the
// store (rollout_status.go).
//
// Its lock may be taken while the scheduler's is held, never the other way round.
type rollouts struct {
	d *Daemon

	mu        sync.Mutex
	byService map[string]*rolloutState
	// versions are those listed of each service, and since when.
	versions map[string]map[string]time.Duration
	// statusesRead says that the store's statuses were taken in: without them nobody knows
	// whether an order found there was rolled back.
	statusesRead bool
	// feedRead says that the operator's feed was read before.
	feedRead bool
	// statuses are those that the store had, by service; an order may be read after them.
	statuses map[string]RolloutStatus
	// held are the services that an operator wants tried but not moved.
	held []string
	// statusQueue are services whose status is to be written to the store.
	statusQueue chan string
	// changed says that something changed that others should hear at once.
	changed chan struct{}
}

// rolloutState is one order to move a service.
type rolloutState struct {
	order rollout.Order
	// position is where the order lies in the store.
	position Position
	phase    rollout.Phase
	// phaseKnown says that the phase is what the store or another VM told, or that nobody can
	// know more. Until then the new version gets nothing.
	phaseKnown bool
	// orderedAt is when the order came, shiftingSince and finalSince when its phase did.
	orderedAt, shiftingSince, finalSince time.Duration

	gate     rollout.Gate
	evidence rollout.Evidence
	// runningOld is how many requests of this VM are at endpoints of the old version.
	runningOld int
	// canaryEndpoints are the endpoints of the new version that get requests, listedNew and
	// listedOld how many of the versions the registry lists.
	canaryEndpoints map[string]bool
	// slots number the endpoints of the new version in the evidence.
	slots                map[string]uint64
	listedNew, listedOld int
	judge                *judge
	// reportedAt is when evidence was last told to the judge, announcedAt when the phase was
	// last told to the failure domain.
	reportedAt, announcedAt time.Duration
	// targetPhase is the phase that the store is to have, if writing is set, or has.
	targetPhase rollout.Phase
	writing     bool
	// superseded are the versions of earlier orders for the service.
	superseded []string
}

const (
	// versionSettleTime is how long a version that nobody ordered must be listed before it is
	// used: endpoints of a version that is about to be ordered may be listed a moment
	// before the order comes, and all VMs would use them until they hear of it. In a release one
	// endpoint after the other waits so long at its start.
	versionSettleTime = 1500 * time.Millisecond
	// oldVersionGoneAfter is how long after the completion of a move endpoints of the old version
	// are left alone: they have stopped, and the registry drops them some seconds later.
	oldVersionGoneAfter = 10 * time.Second
	// cutSettleTime is how long after a request was cut off it counts against the version: by
	// then it is known whether its endpoint has crashed, as good ones do.
	cutSettleTime = time.Second
	// minCensoredTime is after what time a request that its caller left counts as slow.
	minCensoredTime = time.Second
	// resyncMargin is how long after such a time endpoints are looked at again: several notes.
	resyncMargin = 500 * time.Millisecond
	// minGrantUptime is the least uptime of a process that gets a grant; half of it is the most
	// that an order may be old then.
	minGrantUptime = 2 * time.Second
	// statusQueueSize holds services whose status is to be written.
	statusQueueSize = 64
)

func newRollouts(d *Daemon) *rollouts {
	return &rollouts{
		d: d, byService: make(map[string]*rolloutState), versions: make(map[string]map[string]time.Duration), statuses: make(map[string]RolloutStatus),
		held: d.set.Rollouts.Held, statusQueue: make(chan string, statusQueueSize), changed: make(chan struct{}, 1),
	}
}

// applyOrders takes in what the operator's feed holds of orders.
func (r *rollouts) applyOrders(records []Record) {
	for _, rec := range records {
		o, err := r.d.codec.Order(rec)
		if err != nil {
			r.d.log.Error().Err(err).Msg("rollout_unreadable")
			continue
		}
		if o != nil {
			r.applyOrder(*o, rec.At, r.d.now(), nil)
		}
	}
	r.markFeedRead()
}

// markFeedRead notes that orders that come from now on are heard of as they come.
func (r *rollouts) markFeedRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feedRead = true
}

// applyOrder takes in an order that lies at a place of the store and came at a time. phase is how far
// it is, nil if that is not told.
func (r *rollouts) applyOrder(o rollout.Order, at Position, orderedAt time.Duration, phase *rollout.Phase) {
	r.mu.Lock()
	changed := false
	m := r.byService[o.Service]
	switch {
	case m != nil && m.order.Same(o):
		if m.position.Before(at) {
			m.position = at
		}
		m.orderedAt = min(m.orderedAt, orderedAt)
	case m != nil && (at.Before(m.position) || m.isRestoredOrder(o, at)):
		r.mu.Unlock()
		return
	default:
		changed = true
		before := m
		m = &rolloutState{order: o, position: at, orderedAt: orderedAt, evidence: make(rollout.Evidence), phaseKnown: r.statusesRead}
		if r.isNew(orderedAt) {
			m.gate = rollout.NewGate(rollout.Grant(r.d.set.Bounds.ExposureSlack, r.d.peers.fleetSize()))
		}
		if before != nil {
			m.superseded = append(before.superseded, before.order.Version)
		}
		r.byService[o.Service] = m
		r.d.log.Info().Str("service", o.Service).Str("version", o.Version).Dur("within", o.Duration).
			Uint64("era", at.Era).Uint64("offset", at.Offset).Bool("told", phase != nil).Msg("rollout_ordered")
		r.signalChange()
		r.adoptStatus(m)
	}
	if phase != nil {
		changed = changed || !m.phaseKnown || *phase > m.phase
		r.advance(m, *phase, learnedTold)
		m.phaseKnown = true
	}
	r.mu.Unlock()
	if changed {
		r.d.sched.resync()
	}
}

// isNew says whether an order that came at a time was heard of as it came, by a process that had
// started well before: none before it at this VM can have had a grant for it. The lock is held.
func (r *rollouts) isNew(orderedAt time.Duration) bool {
	return r.feedRead && orderedAt >= minGrantUptime && r.d.now()-orderedAt < minGrantUptime/2
}

// isRestoredOrder says whether an order that was replaced by this one comes back from a copy of the store
// in which the later one is missing. The operator writes that again.
func (m *rolloutState) isRestoredOrder(o rollout.Order, at Position) bool {
	return at.Era > m.position.Era && slices.Contains(m.superseded, o.Version)
}

// allPhasesKnown says whether it is known how far each order is.
func (r *rollouts) allPhasesKnown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.byService {
		if !m.phaseKnown {
			return false
		}
	}
	return true
}

// advance moves an order to a later phase. The lock is held.
func (r *rollouts) advance(m *rolloutState, phase rollout.Phase, learned string) {
	next := m.phase.Merge(phase)
	if next == m.phase {
		return
	}
	r.d.log.Info().Str("service", m.order.Service).Str("version", m.order.Version).Stringer("was", m.phase).
		Stringer("phase", next).Str("learned", learned).Dur("age", r.d.now()-m.orderedAt).Msg("rollout_phase")
	r.d.count("rollouts." + next.String())
	m.phase = next
	switch {
	case next == rollout.Moving:
		m.shiftingSince = r.d.now()
	case next == rollout.Completed && !m.phaseKnown:
		// Done before this process knew of it: other versions may have come since.
		m.finalSince = r.d.now() - oldVersionGoneAfter
	case next.Final():
		m.finalSince = r.d.now()
	}
	r.signalChange()
}

// signalChange has others told soon. The lock is held.
func (r *rollouts) signalChange() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// setHeld sets the services that are tried but not moved.
func (r *rollouts) setHeld(services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = services
}

// reserveCanary says whether a request is to try the new version of its service.
func (r *rollouts) reserveCanary(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byService[service]
	return m != nil && m.phaseKnown && !m.phase.Final() && m.gate.Take()
}

// releaseCanary says that a request that was to try the new version did not.
func (r *rollouts) releaseCanary(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.byService[service]; m != nil {
		m.gate.GiveBack()
	}
}

// trackedAttempt is one request at an endpoint of a service that moves.
type trackedAttempt struct {
	rollouts        *rollouts
	rollout         *rolloutState
	group           rollout.Group
	ep              *members.Endpoint
	startedAt       time.Duration
	firstEventAfter time.Duration
	// cold says that the endpoint started a moment ago, so that its times tell nothing.
	cold bool
}

// beginAttempt notes that a request is about to be sent to an endpoint, on which bytes leave only if ok.
// What is decided and told meanwhile must not be passed by: the placer may know less. visit is
// nil if the service does not move.
func (r *rollouts) beginAttempt(c *caller, ep *members.Endpoint, canary bool) (v *trackedAttempt, ok bool) {
	if !r.hasOrder(c.service) {
		return nil, true
	}
	cold := r.d.sched.cold(ep)
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byService[c.service]
	now := r.d.now()
	if !m.admits(now, ep, canary, r.d.set.Bounds.ExposureShare) {
		return nil, false
	}
	if m.phase.Final() {
		return nil, true
	}
	v = &trackedAttempt{rollouts: r, rollout: m, ep: ep, startedAt: now, group: rollout.Group{Route: c.route.Name}, cold: cold}
	if ep.Version == m.order.Version {
		v.group.Endpoint = max(1, m.slots[ep.Key()])
	} else {
		m.runningOld++
	}
	return v, true
}

// hasOrder says whether a service is under an order.
func (r *rollouts) hasOrder(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byService[service] != nil
}

// isShifting says whether a service's requests move to another version.
func (r *rollouts) isShifting(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byService[service]
	return m != nil && m.phase == rollout.Moving
}

// markFirstEvent notes that the endpoint began to answer.
func (v *trackedAttempt) markFirstEvent() {
	if v != nil && v.firstEventAfter == 0 {
		v.firstEventAfter = v.rollouts.d.now() - v.startedAt
	}
}

// finish notes how the request ended. sent says that it was sent, again that it had been sent to
// another endpoint before.
func (v *trackedAttempt) finish(a attempt, sent, again bool) {
	if v == nil {
		return
	}
	v.rollouts.mu.Lock()
	defer v.rollouts.mu.Unlock()
	if v.group.Endpoint == 0 {
		v.rollout.runningOld--
	}
	if !sent {
		return
	}
	if !again {
		share, _ := v.rollout.trafficShare(v.rollouts.d.now(), v.rollouts.d.set.Bounds.ExposureShare)
		v.rollout.gate.Sent(share)
	}
	v.observe(a)
}
