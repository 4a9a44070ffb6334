package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/rollout"
)

// Where the phase of a rollout was learned, in logs.
const (
	learnedSeen   = "seen"
	learnedRemote = "told"
	learnedStore  = "store"
)

// rollouts moves services to other versions. Each VM limits the share of its requests that a new
// version gets and counts the results of both versions; one VM of each failure domain judges
// (rollout_judge.go); decisions are sent in notes (rollout_notes.go) and written to the store
// (rollout_status.go).
//
// Its lock may be taken while the scheduler's lock is held, never the other way round.
type rollouts struct {
	d *Daemon

	mu        sync.Mutex
	byService map[string]*rolloutState
	// versions holds the listed versions of each service and since when they are listed.
	versions map[string]map[string]time.Duration
	// transitionsAt is when takeTransition was last called.
	transitionsAt time.Duration
	// statusesRead reports whether the store's statuses were loaded: without them it is unknown
	// whether an order in the store was rolled back.
	statusesRead bool
	// feedRead reports whether the feed of orders was ever read.
	feedRead bool
	// statuses holds the statuses found in the store, by service; an order may be read after its
	// status.
	statuses map[string]RolloutStatus
	// held lists the services that an operator keeps in the canary phase.
	held []string
	// statusQueue holds services whose status is to be written to the store.
	statusQueue chan string
	// changed signals a change that other VMs should receive at once.
	changed chan struct{}
}

// rolloutState is the state of one rollout order.
type rolloutState struct {
	order rollout.Order
	// position is the order's position in the store.
	position Position
	phase    rollout.Phase
	// phaseKnown means that the phase came from another VM or that the store's statuses were read.
	// Until then the new version gets no requests.
	phaseKnown bool
	// orderedAt is when the order came, shiftingSince and finalSince when the phase did.
	orderedAt, shiftingSince, finalSince time.Duration

	gate     rollout.Gate
	evidence rollout.Evidence
	// runningOld is the number of this VM's requests at endpoints of the old version.
	runningOld int
	// canaryEndpoints holds the endpoints of the new version that get requests; listedNew and
	// listedOld count the listed endpoints of both versions.
	canaryEndpoints map[string]bool
	// slots numbers the endpoints of the new version in the evidence.
	slots                map[string]uint64
	listedNew, listedOld int
	judge                *judge
	// reportedAt is when evidence was last sent to the judge, announcedAt when the phase was last
	// sent to the failure domain.
	reportedAt, announcedAt time.Duration
	// targetPhase is the phase to be written to the store or already there; it is valid if writing
	// is set.
	targetPhase rollout.Phase
	writing     bool
	// superseded lists the versions of earlier orders for the service.
	superseded []string
}

const (
	// minVersionSettleTime is the least time for which a version without an order must be listed before
	// it is used. Endpoints of a version may be listed a moment before its order arrives, and until
	// then all VMs would use them. A release without an order also waits this long at its start.
	minVersionSettleTime = 1500 * time.Millisecond
	// oldVersionGoneAfter is how long after the completion of a rollout endpoints of the old
	// version get no requests: they have stopped, and the registry drops them some seconds later.
	oldVersionGoneAfter = 10 * time.Second
	// cutSettleTime is the delay after which a cut-off request counts against the version: by then
	// it is known whether its endpoint has crashed, which happens to good versions too.
	cutSettleTime = time.Second
	// minCensoredTime is the time after which a request whose caller disconnected counts as slow.
	minCensoredTime = time.Second
	// minGrantUptime is the minimum uptime of a process that gets an initial grant of canary
	// requests; half of it is the maximum age of the order then.
	minGrantUptime = 2 * time.Second
	// statusQueueSize limits the services whose status waits to be written.
	statusQueueSize = 64
)

func newRollouts(d *Daemon) *rollouts {
	return &rollouts{
		d: d, byService: make(map[string]*rolloutState), versions: make(map[string]map[string]time.Duration), statuses: make(map[string]RolloutStatus),
		held: d.settings.Rollouts.Held, statusQueue: make(chan string, statusQueueSize), changed: make(chan struct{}, 1),
	}
}

// applyOrders applies the orders read from the operator's feed.
func (r *rollouts) applyOrders(records []Record) {
	for _, rec := range records {
		o, err := r.d.codec.DecodeOrder(rec)
		if err != nil {
			r.d.log.Error().Err(err).Msg("rollout_unreadable")
			continue
		}
		if o != nil {
			r.applyOrder(*o, rec.Position, r.d.now(), nil)
		}
	}
	r.markFeedRead()
}

// markFeedRead records that orders read from now on are new.
func (r *rollouts) markFeedRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feedRead = true
}

// applyOrder applies an order at a position of the store that came at the time orderedAt. phase is
// its phase as received from another VM, nil if the order comes from the store.
func (r *rollouts) applyOrder(o rollout.Order, at Position, orderedAt time.Duration, phase *rollout.Phase) {
	r.mu.Lock()
	changed := false
	m := r.byService[o.Service]
	switch {
	case m != nil && m.order.SameTarget(o):
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
			m.gate = rollout.NewGate(rollout.InitialGrant(r.d.settings.Bounds.ExposureSlack, r.d.peers.fleetSize()))
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
		r.advance(m, *phase, learnedRemote)
		m.phaseKnown = true
	}
	r.mu.Unlock()
	if changed {
		r.d.sched.resync()
	}
}

// isNew reports whether an order reached this process as it was issued, at least minGrantUptime
// after its start: then no earlier process of this VM can have had a grant for it. The caller holds
// the lock.
func (r *rollouts) isNew(orderedAt time.Duration) bool {
	return r.feedRead && orderedAt >= minGrantUptime && r.d.now()-orderedAt < minGrantUptime/2
}

// isRestoredOrder reports whether an order that this one superseded reappears because the store was
// restored from a backup without the later one. The operator writes the later one again.
func (m *rolloutState) isRestoredOrder(o rollout.Order, at Position) bool {
	return at.Era > m.position.Era && slices.Contains(m.superseded, o.Version)
}

// allPhasesKnown reports whether the phase of each order is known.
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

// advance moves an order to a later phase. The caller holds the lock.
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
	case next == rollout.Shifting:
		m.shiftingSince = r.d.now()
	case next == rollout.Completed && !m.phaseKnown:
		// Completed before this process knew of it: other versions may have come since.
		m.finalSince = r.d.now() - oldVersionGoneAfter
	case next.Final():
		m.finalSince = r.d.now()
	}
	r.signalChange()
}

// signalChange has changes announced to other VMs soon. The caller holds the lock.
func (r *rollouts) signalChange() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// setHeld sets the services that are kept in the canary phase.
func (r *rollouts) setHeld(services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = services
}

// reserveCanary reserves a canary request for a service and reports whether it may try the new
// version.
func (r *rollouts) reserveCanary(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byService[service]
	return m != nil && m.phaseKnown && !m.phase.Final() && m.gate.TryTake()
}

// releaseCanary returns the reservation of a request that did not try the new version.
func (r *rollouts) releaseCanary(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.byService[service]; m != nil {
		m.gate.Refund()
	}
}

// trackedAttempt is one attempt of a request at an endpoint of a service under a rollout.
type trackedAttempt struct {
	rollouts        *rollouts
	rollout         *rolloutState
	group           rollout.Group
	ep              *members.Endpoint
	startedAt       time.Duration
	firstEventAfter time.Duration
	// stallCounted is set once the attempt was counted as cut off because its endpoint is silent.
	stallCounted bool
	// cold means that the endpoint started a moment ago, so that its times are not representative.
	cold bool
}

// beginAttempt registers a request that is about to be sent to an endpoint; it may be sent only if
// ok is true. This check sees rollout changes that the placer may not know yet. v is nil if the
// service has no unfinished rollout.
func (r *rollouts) beginAttempt(c *callerRequest, ep *members.Endpoint, canary bool) (v *trackedAttempt, ok bool) {
	if !r.hasOrder(c.service) {
		return nil, true
	}
	cold := r.d.sched.isCold(ep)
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byService[c.service]
	now := r.d.now()
	if !m.admits(now, ep, canary, r.d.settings.Bounds.ExposureShare) {
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

// hasOrder reports whether a service has a rollout order.
func (r *rollouts) hasOrder(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byService[service] != nil
}

// isShifting reports whether a service's requests are shifting to another version.
func (r *rollouts) isShifting(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byService[service]
	return m != nil && m.phase == rollout.Shifting
}

// markFirstEvent records that the endpoint began to respond.
func (v *trackedAttempt) markFirstEvent() {
	if v != nil && v.firstEventAfter == 0 {
		v.firstEventAfter = v.rollouts.d.now() - v.startedAt
	}
}

// finish records the result of the attempt. sent means that the request was sent, again that it had
// been sent to another endpoint before.
func (v *trackedAttempt) finish(a attemptResult, sent, again bool) {
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
		share, _ := v.rollout.trafficShare(v.rollouts.d.now(), v.rollouts.d.settings.Bounds.ExposureShare)
		v.rollout.gate.RecordSent(share)
	}
	v.observe(a)
}
