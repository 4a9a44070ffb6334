package entry

import (
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/notice"
	"github.com/chivefield/chivefield/schema"
)

const (
	// maxRecentNotices bounds the records of what changed lately in each note, turnNotices those in turn in each
	// tenth.
	maxRecentNotices  = 16
	maxRotatedNotices = 8
	// maxStartNotices bounds what a VM that has just started is told at once by each that hears of it.
	maxStartNotices = 64
	// unreadableLogInterval bounds the log lines on headers that cannot be understood.
	unreadableLogInterval = time.Second
	// evictionInterval is how often incarnations that are gone are forgotten, unlistedFor for how long one is
	// remembered that this VM's registry does not list.
	evictionInterval = 10 * time.Second
	unlistedTTL      = time.Minute
)

// How a VM learned what an endpoint says of itself.
const (
	noticeObserved = "seen"
	noticeReceived = "told"
)

// notices takes in what endpoints say of themselves in their answers and what other VMs know of that, and
// tells the scheduler and other VMs.
type notices struct {
	d *Daemon
	// urgent says that something was seen here that others should hear at once.
	urgent chan struct{}

	mu     sync.Mutex
	ledger *notice.Ledger
	// unreadableAt is when a header that cannot be understood was logged last, evictedAt when incarnations
	// that are gone were forgotten.
	unreadableAt, evictedAt time.Duration
}

func newNotices(d *Daemon) *notices {
	return &notices{d: d, urgent: make(chan struct{}, 1), ledger: notice.New(), unreadableAt: -unreadableLogInterval}
}

// observe takes in an answer of an endpoint to a request that was sent at a time.
func (n *notices) observe(ep *members.Endpoint, sent time.Duration, reply Reply) {
	if reply.Replaced {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logUnreadableHeaders(ep, reply.Unreadable)
	received := reply.Notice
	// An answer without an id may be none of the incarnation's own: it ends nothing.
	received.LimitUnknown = received.LimitUnknown || reply.ID == "" && !received.HasLimit
	n.count(received)
	hash := dispatch.NameOf(ep.Key())
	before := n.ledger.Holds(hash)
	if !n.ledger.Hear(n.d.now(), sent, hash, received) {
		return
	}
	n.updateScheduler(hash)
	n.logChange(hash, ep.ID, noticeObserved)
	if n.ledger.Holds(hash) == before {
		// A rest binds this VM alone: others hear of it with the next note.
		return
	}
	select {
	case n.urgent <- struct{}{}:
	default:
	}
}

// count counts what answers say.
func (n *notices) count(received notice.Notice) {
	if received.HasLimit {
		n.d.count("answers_naming_a_limit")
	}
	if received.Leaving {
		n.d.count("answers_saying_leaving")
	}
	if received.Rest > 0 {
		n.d.count("answers_asking_for_rest")
	}
}

// mergeRemote takes in what another VM knows.
func (n *notices) mergeRemote(list []*schema.EndpointNotice) {
	if len(list) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range list {
		r := noticeFromWire(m)
		if !r.Valid() {
			n.d.countImpossible(1)
			continue
		}
		before := n.ledger.Holds(r.Endpoint)
		if !n.ledger.Merge(n.d.now(), r, n.d.sched.lists(r.Endpoint)) {
			continue
		}
		n.updateScheduler(r.Endpoint)
		if n.ledger.Holds(r.Endpoint) != before {
			n.logChange(r.Endpoint, "", noticeReceived)
		}
	}
}

// updateScheduler tells the scheduler what an incarnation says of itself now. The lock is held.
func (n *notices) updateScheduler(hash uint64) {
	current := n.ledger.Holds(hash)
	ownEnd, othersEnd := n.ledger.Rests(hash)
	n.d.sched.setLimit(hash, current)
	n.d.sched.setRest(hash, n.jitteredBackoffEnd(hash, ownEnd), othersEnd)
	if current.Leaving {
		n.d.sched.leave(hash)
	}
}

// logChange logs what an incarnation says of itself now; id is empty where it is not at hand. The lock is held.
func (n *notices) logChange(hash uint64, id, learned string) {
	current := n.ledger.Holds(hash)
	own, _ := n.ledger.Rests(hash)
	n.d.log.Info().Str("endpoint", id).Uint64("endpoint_hash", hash).Str("learned", learned).
		Dur("rest", max(0, own-n.d.now())).Bool("limited", current.HasLimit).Float64("per_second", current.Limit).Bool("leaving", current.Leaving).Msg("endpoint_notice")
}

// maxBackoffJitter bounds by how much longer than it asked an endpoint gets rest.
const maxBackoffJitter = 500 * time.Millisecond

// jitteredBackoffEnd is when this VM sends again to an endpoint whose rest ends at a time: VMs that were turned away
// together do not all come back together.
func (n *notices) jitteredBackoffEnd(hash uint64, end time.Duration) time.Duration {
	if end == 0 {
		return 0
	}
	return end + time.Duration((hash^n.d.peers.incarnation)%uint64(maxBackoffJitter))
}

// evict drops what is known of incarnations that are gone.
func (n *notices) evict() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.d.now()
	if now < n.evictedAt+evictionInterval {
		return
	}
	n.evictedAt = now
	for _, hash := range n.ledger.Forget(now, unlistedTTL, n.d.sched.lists) {
		n.d.sched.forget(hash)
	}
}

// forNote is what a note tells: what changed lately and, in some notes, of all in turn.
func (n *notices) forNote(inTurn bool) []*schema.EndpointNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.ledger.Hot(n.d.now(), maxRecentNotices)
	if inTurn {
		list = append(list, n.ledger.Turn(n.d.now(), maxRotatedNotices)...)
	}
	return noticesToWire(list)
}

// forNewProcess is what a process that has just started is told.
func (n *notices) forNewProcess() []*schema.EndpointNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	return noticesToWire(n.ledger.Holding(n.d.now(), maxStartNotices))
}

func noticesToWire(list []notice.Record) []*schema.EndpointNotice {
	var encoded []*schema.EndpointNotice
	for _, r := range list {
		encoded = append(encoded, &schema.EndpointNotice{
			Endpoint: r.Endpoint, Limit: r.Limit, AskedMs: ageToWire(r.Asked), NamedMs: ageToWire(r.Named), LiftedMs: ageToWire(r.Lifted), Leaving: r.Leaving, RestMs: uint64(r.Rest.Milliseconds()),
		})
	}
	return encoded
}

func noticeFromWire(m *schema.EndpointNotice) notice.Record {
	return notice.Record{Endpoint: m.Endpoint, Limit: m.Limit, Asked: ageFromWire(m.AskedMs), Named: ageFromWire(m.NamedMs), Lifted: ageFromWire(m.LiftedMs), Leaving: m.Leaving, Rest: durationFromWire(m.RestMs)}
}

// ageToWire is an age as notes tell it: one more than its ms, 0 for never.
func ageToWire(ago time.Duration) uint64 {
	if ago < 0 {
		return 0
	}
	return uint64(ago.Milliseconds()) + 1
}

// ageFromWire is an age that a note tells.
func ageFromWire(ms uint64) time.Duration {
	if ms == 0 {
		return notice.Never
	}
	return durationFromWire(ms - 1)
}

// logUnreadableHeaders counts headers that cannot be understood and logs one now and then. The lock is held.
func (n *notices) logUnreadableHeaders(ep *members.Endpoint, list []HeaderError) {
	for _, e := range list {
		n.d.count("headers_unreadable")
		if now := n.d.now(); now >= n.unreadableAt+unreadableLogInterval {
			n.unreadableAt = now
			n.d.log.Warn().Str("endpoint", ep.ID).Err(&e).Msg("header_unreadable")
		}
	}
}
