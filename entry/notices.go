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
	// hotNotices bounds the records of what changed lately in each note, turnNotices those in turn in each
	// tenth.
	hotNotices  = 16
	turnNotices = 8
	// startNotices bounds what a VM that has just started is told at once by each that hears of it.
	startNotices = 64
	// unreadableEvery bounds the log lines on headers that cannot be understood.
	unreadableEvery = time.Second
	// forgetEvery is how often incarnations that are gone are forgotten, unlistedFor for how long one is
	// remembered that this VM's registry does not list.
	forgetEvery = 10 * time.Second
	unlistedFor = time.Minute
)

// How a VM learned what an endpoint says of itself.
const (
	noticeSeen = "seen"
	noticeTold = "told"
)

// notices takes in what endpoints say of themselves in their answers and what other VMs know of that, and
// tells the scheduler and other VMs.
type notices struct {
	d *Daemon
	// fresh says that something was seen here that others should hear at once.
	fresh chan struct{}

	mu     sync.Mutex
	ledger *notice.Ledger
	// unreadableAt is when a header that cannot be understood was logged last, forgotAt when incarnations
	// that are gone were forgotten.
	unreadableAt, forgotAt time.Duration
}

func newNotices(d *Daemon) *notices {
	return &notices{d: d, fresh: make(chan struct{}, 1), ledger: notice.New(), unreadableAt: -unreadableEvery}
}

// heard takes in an answer of an endpoint to a request that was sent at a time.
func (n *notices) heard(ep *members.Endpoint, sent time.Duration, reply ResponseHeaders) {
	if reply.Replaced {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logUnreadable(ep, reply.HeaderErrors)
	said := reply.Notice
	// An answer without an id may be none of the incarnation's own: it ends nothing.
	said.LimitUnknown = said.LimitUnknown || reply.ID == "" && !said.HasLimit
	n.count(said)
	name := dispatch.NameOf(ep.Key())
	before := n.ledger.Holds(name)
	if !n.ledger.Hear(n.d.now(), sent, name, said) {
		return
	}
	n.apply(name)
	n.logChange(name, ep.ID, noticeSeen)
	if n.ledger.Holds(name) == before {
		// A rest binds this VM alone: others hear of it with the next note.
		return
	}
	select {
	case n.fresh <- struct{}{}:
	default:
	}
}

// count counts what answers say.
func (n *notices) count(said notice.Notice) {
	if said.HasLimit {
		n.d.count("answers_naming_a_limit")
	}
	if said.Leaving {
		n.d.count("answers_saying_leaving")
	}
	if said.Rest > 0 {
		n.d.count("answers_asking_for_rest")
	}
}

// told takes in what another VM knows.
func (n *notices) told(list []*schema.EndpointNotice) {
	if len(list) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range list {
		r := noticeRecord(m)
		if !r.Valid() {
			n.d.countInvalid(1)
			continue
		}
		before := n.ledger.Holds(r.Endpoint)
		if !n.ledger.Merge(n.d.now(), r, n.d.sched.isListed(r.Endpoint)) {
			continue
		}
		n.apply(r.Endpoint)
		if n.ledger.Holds(r.Endpoint) != before {
			n.logChange(r.Endpoint, "", noticeTold)
		}
	}
}

// apply tells the scheduler what an incarnation says of itself now. The lock is held.
func (n *notices) apply(name uint64) {
	holds := n.ledger.Holds(name)
	own, others := n.ledger.Rests(name)
	n.d.sched.setRateLimit(name, holds)
	n.d.sched.setBackoff(name, n.spread(name, own), others)
	if holds.Leaving {
		n.d.sched.markLeaving(name)
	}
}

// logChange logs what an incarnation says of itself now; id is empty where it is not at hand. The lock is held.
func (n *notices) logChange(name uint64, id, learned string) {
	holds := n.ledger.Holds(name)
	own, _ := n.ledger.Rests(name)
	n.d.log.Info().Str("endpoint", id).Uint64("endpoint_hash", name).Str("learned", learned).
		Dur("rest", max(0, own-n.d.now())).Bool("limited", holds.HasLimit).Float64("per_second", holds.Limit).Bool("leaving", holds.Leaving).Msg("endpoint_notice")
}

// restSpread bounds by how much longer than it asked an endpoint gets rest.
const restSpread = 500 * time.Millisecond

// spread is when this VM sends again to an endpoint whose rest ends at a time: VMs that were turned away
// together do not all come back together.
func (n *notices) spread(name uint64, end time.Duration) time.Duration {
	if end == 0 {
		return 0
	}
	return end + time.Duration((name^n.d.peers.inc)%uint64(restSpread))
}

// forget drops what is known of incarnations that are gone.
func (n *notices) forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.d.now()
	if now < n.forgotAt+forgetEvery {
		return
	}
	n.forgotAt = now
	for _, name := range n.ledger.Forget(now, unlistedFor, n.d.sched.isListed) {
		n.d.sched.clearNotice(name)
	}
}

// news is what a note tells: what changed lately and, in some notes, of all in turn.
func (n *notices) news(inTurn bool) []*schema.EndpointNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.ledger.Hot(n.d.now(), hotNotices)
	if inTurn {
		list = append(list, n.ledger.Turn(n.d.now(), turnNotices)...)
	}
	return noticesOf(list)
}

// holding is what a process that has just started is told.
func (n *notices) holding() []*schema.EndpointNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	return noticesOf(n.ledger.Holding(n.d.now(), startNotices))
}

func noticesOf(list []notice.Record) []*schema.EndpointNotice {
	var told []*schema.EndpointNotice
	for _, r := range list {
		told = append(told, &schema.EndpointNotice{
			Endpoint: r.Endpoint, Limit: r.Limit, AskedMs: agoOf(r.Asked), NamedMs: agoOf(r.Named), LiftedMs: agoOf(r.Lifted), Leaving: r.Leaving, RestMs: uint64(r.Rest.Milliseconds()),
		})
	}
	return told
}

func noticeRecord(m *schema.EndpointNotice) notice.Record {
	return notice.Record{Endpoint: m.Endpoint, Limit: m.Limit, Asked: agoIn(m.AskedMs), Named: agoIn(m.NamedMs), Lifted: agoIn(m.LiftedMs), Leaving: m.Leaving, Rest: toldTime(m.RestMs)}
}

// agoOf is an age as notes tell it: one more than its ms, 0 for never.
func agoOf(ago time.Duration) uint64 {
	if ago < 0 {
		return 0
	}
	return uint64(ago.Milliseconds()) + 1
}

// agoIn is an age that a note tells.
func agoIn(ms uint64) time.Duration {
	if ms == 0 {
		return notice.Never
	}
	return toldTime(ms - 1)
}

// logUnreadable counts headers that cannot be understood and logs one now and then. The lock is held.
func (n *notices) logUnreadable(ep *members.Endpoint, list []HeaderError) {
	for _, e := range list {
		n.d.count("headers_unreadable")
		if now := n.d.now(); now >= n.unreadableAt+unreadableEvery {
			n.unreadableAt = now
			n.d.log.Warn().Str("endpoint", ep.ID).Err(&e).Msg("header_unreadable")
		}
	}
}
