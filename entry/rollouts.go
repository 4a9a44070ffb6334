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
	byService map[string]*movement
	// versions are those listed of each service, and since when.
	versions map[string]map[string]time.Duration
	// statusesRead says that the store's statuses were taken in: without them nobody knows
	// whether an order found there was rolled back.
	statusesRead bool
	// began says that the operator's feed was read before.
	began bool
	// statuses are those that the store had, by service; an order may be read after them.
	statuses map[string]RolloutStatus
	// held are the services that an operator wants tried but not moved.
	held []string
	// unrecorded are services whose status is to be written to the store.
	unrecorded chan string
	// news says that something changed that others should hear at once.
	news chan struct{}
}

// movement is one order to move a service.
type movement struct {
	order rollout.Order
	// at is where the order lies in the store.
	at    Position
	phase rollout.Phase
	// known says that the phase is what the store or another VM told, or that nobody can
	// know more. Until then the new version gets nothing.
	known bool
	// since is when the order came, movingSince and finalSince when its phase did.
	since, movingSince, finalSince time.Duration

	gate     rollout.Gate
	evidence rollout.Evidence
	// runningOld is how many requests of this VM are at endpoints of the old version.
	runningOld int
	// tried are the endpoints of the new version that get requests, listedNew and
	// listedOld how many of the versions the registry lists.
	tried map[string]bool
	// slots number the endpoints of the new version in the evidence.
	slots                map[string]uint64
	listedNew, listedOld int
	judge                *judge
	// reported is when evidence was last told to the judge, announced when the phase was
	// last told to the failure domain.
	reported, announced time.Duration
	// wanted is the phase that the store is to have, if writing is set, or has.
	wanted  rollout.Phase
	writing bool
	// superseded are the versions of earlier orders for the service.
	superseded []string
}

const (
	// versionSettles is how long a version that nobody ordered must be listed before it is
	// used: endpoints of a version that is about to be ordered may be listed a moment
	// before the order comes, and all VMs would use them until they hear of it. In a release one
	// endpoint after the other waits so long at its start.
	versionSettles = 1500 * time.Millisecond
	// oldGoneAfter is how long after the completion of a move endpoints of the old version
	// are left alone: they have stopped, and the registry drops them some seconds later.
	oldGoneAfter = 10 * time.Second
	// cutSettles is how long after a request was cut off it counts against the version: by
	// then it is known whether its endpoint has crashed, as good ones do.
	cutSettles = time.Second
	// leastCensored is after what time a request that its caller left counts as slow.
	leastCensored = time.Second
	// resyncMargin is how long after such a time endpoints are looked at again: several notes.
	resyncMargin = 500 * time.Millisecond
	// grantUptime is the least uptime of a process that gets a grant; half of it is the most
	// that an order may be old then.
	grantUptime = 2 * time.Second
	// rolloutBuffer holds services whose status is to be written.
	rolloutBuffer = 64
)

func newRollouts(d *Daemon) *rollouts {
	return &rollouts{
		d: d, byService: make(map[string]*movement), versions: make(map[string]map[string]time.Duration), statuses: make(map[string]RolloutStatus),
		held: d.settings.Rollouts.Held, unrecorded: make(chan string, rolloutBuffer), news: make(chan struct{}, 1),
	}
}

// takeRecords takes in what the operator's feed holds of orders.
func (r *rollouts) takeRecords(records []Record) {
	for _, rec := range records {
		o, err := r.d.codec.DecodeOrder(rec)
		if err != nil {
			r.d.log.Error().Err(err).Msg("rollout_unreadable")
			continue
		}
		if o != nil {
			r.take(*o, rec.Position, r.d.now(), nil)
		}
	}
	r.begun()
}

// begun notes that orders that come from now on are heard of as they come.
func (r *rollouts) begun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began = true
}

// take takes in an order that lies at a place of the store and came at a time. phase is how far
// it is, nil if that is not told.
func (r *rollouts) take(o rollout.Order, at Position, since time.Duration, phase *rollout.Phase) {
	r.mu.Lock()
	changed := false
	m := r.byService[o.Service]
	switch {
	case m != nil && m.order.Same(o):
		if m.at.Before(at) {
			m.at = at
		}
		m.since = min(m.since, since)
	case m != nil && (at.Before(m.at) || m.comesBack(o, at)):
		r.mu.Unlock()
		return
	default:
		changed = true
		before := m
		m = &movement{order: o, at: at, since: since, evidence: make(rollout.Evidence), known: r.statusesRead}
		if r.isNew(since) {
			m.gate = rollout.NewGate(rollout.Grant(r.d.settings.Bounds.ExposureSlack, r.d.peers.fleetSize()))
		}
		if before != nil {
			m.superseded = append(before.superseded, before.order.Version)
		}
		r.byService[o.Service] = m
		r.d.log.Info().Str("service", o.Service).Str("version", o.Version).Dur("within", o.Duration).
			Uint64("era", at.Era).Uint64("offset", at.Offset).Bool("told", phase != nil).Msg("rollout_ordered")
		r.tellLater()
		r.adoptStatus(m)
	}
	if phase != nil {
		changed = changed || !m.known || *phase > m.phase
		r.advance(m, *phase, learnedTold)
		m.known = true
	}
	r.mu.Unlock()
	if changed {
		r.d.sched.resync()
	}
}

// isNew says whether an order that came at a time was heard of as it came, by a process that had
// started well before: none before it at this VM can have had a grant for it. The lock is held.
func (r *rollouts) isNew(since time.Duration) bool {
	return r.began && since >= grantUptime && r.d.now()-since < grantUptime/2
}

// comesBack says whether an order that was replaced by this one comes back from a copy of the store
// in which the later one is missing. The operator writes that again.
func (m *movement) comesBack(o rollout.Order, at Position) bool {
	return at.Era > m.at.Era && slices.Contains(m.superseded, o.Version)
}

// allKnown says whether it is known how far each order is.
func (r *rollouts) allKnown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.byService {
		if !m.known {
			return false
		}
	}
	return true
}

// advance moves an order to a later phase. The lock is held.
func (r *rollouts) advance(m *movement, phase rollout.Phase, learned string) {
	next := m.phase.Merge(phase)
	if next == m.phase {
		return
	}
	r.d.log.Info().Str("service", m.order.Service).Str("version", m.order.Version).Stringer("was", m.phase).
		Stringer("phase", next).Str("learned", learned).Dur("age", r.d.now()-m.since).Msg("rollout_phase")
	r.d.count("rollouts." + next.String())
	m.phase = next
	switch {
	case next == rollout.Moving:
		m.movingSince = r.d.now()
	case next == rollout.Completed && !m.known:
		// Done before this process knew of it: other versions may have come since.
		m.finalSince = r.d.now() - oldGoneAfter
	case next.Final():
		m.finalSince = r.d.now()
	}
	r.tellLater()
}

// tellLater has others told soon. The lock is held.
func (r *rollouts) tellLater() {
	select {
	case r.news <- struct{}{}:
	default:
	}
}

// hold sets the services that are tried but not moved.
func (r *rollouts) hold(services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = services
}

// reserve says whether a request is to try the new version of its service.
func (r *rollouts) reserve(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byService[service]
	return m != nil && m.known && !m.phase.Final() && m.gate.Take()
}

// giveBack says that a request that was to try the new version did not.
func (r *rollouts) giveBack(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.byService[service]; m != nil {
		m.gate.GiveBack()
	}
}

// visit is one request at an endpoint of a service that moves.
type visit struct {
	r     *rollouts
	m     *movement
	group rollout.Group
	ep    *members.Endpoint
	began time.Duration
	first time.Duration
	// cold says that the endpoint started a moment ago, so that its times tell nothing.
	cold bool
}

// begin notes that a request is about to be sent to an endpoint, on which bytes leave only if ok.
// What is decided and told meanwhile must not be passed by: the placer may know less. visit is
// nil if the service does not move.
func (r *rollouts) begin(c *callerRequest, ep *members.Endpoint, trial bool) (v *visit, ok bool) {
	if !r.moves(c.service) {
		return nil, true
	}
	cold := r.d.sched.isCold(ep)
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byService[c.service]
	now := r.d.now()
	if !m.admits(now, ep, trial, r.d.settings.Bounds.ExposureShare) {
		return nil, false
	}
	if m.phase.Final() {
		return nil, true
	}
	v = &visit{r: r, m: m, ep: ep, began: now, group: rollout.Group{Route: c.route.Name}, cold: cold}
	if ep.Version == m.order.Version {
		v.group.Endpoint = max(1, m.slots[ep.Key()])
	} else {
		m.runningOld++
	}
	return v, true
}

// moves says whether a service is under an order.
func (r *rollouts) moves(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byService[service] != nil
}

// moving says whether a service's requests move to another version.
func (r *rollouts) moving(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byService[service]
	return m != nil && m.phase == rollout.Moving
}

// event notes that the endpoint began to answer.
func (v *visit) event() {
	if v != nil && v.first == 0 {
		v.first = v.r.d.now() - v.began
	}
}

// end notes how the request ended. sent says that it was sent, again that it had been sent to
// another endpoint before.
func (v *visit) end(a attemptResult, sent, again bool) {
	if v == nil {
		return
	}
	v.r.mu.Lock()
	defer v.r.mu.Unlock()
	if v.group.Endpoint == 0 {
		v.m.runningOld--
	}
	if !sent {
		return
	}
	if !again {
		share, _ := v.m.share(v.r.d.now(), v.r.d.settings.Bounds.ExposureShare)
		v.m.gate.Sent(share)
	}
	v.observe(a)
}
