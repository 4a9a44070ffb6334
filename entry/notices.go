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
	// maxRecentNotices limits the recently changed records in each note, maxRotatedNotices those
	// sent in rotation in every tenth.
	maxRecentNotices  = 16
	maxRotatedNotices = 8
	// maxStartNotices limits the records that each VM sends to a newly started process.
	maxStartNotices = 64
	// unreadableLogInterval is the minimum time between log lines about unreadable headers.
	unreadableLogInterval = time.Second
	// evictionInterval is how often records of incarnations that are gone are evicted, unlistedTTL
	// how long the record of an incarnation is kept that this VM's registry does not list.
	evictionInterval = 10 * time.Second
	unlistedTTL      = time.Minute
)

// How a VM learned of an endpoint's notice, in logs.
const (
	noticeObserved = "seen"
	noticeReceived = "told"
)

// notices merges what endpoints announce in their responses (rate limit, brittle, backoff, leaving) with
// what other VMs received, and passes changes to the scheduler and to other VMs.
type notices struct {
	d *Daemon
	// urgent signals a change observed here that other VMs should receive at once.
	urgent chan struct{}

	mu      sync.Mutex
	tracker *notice.Tracker
	// unreadableAt is when an unreadable header was last logged, evictedAt when records were last
	// evicted.
	unreadableAt, evictedAt time.Duration
}

func newNotices(d *Daemon) *notices {
	return &notices{d: d, urgent: make(chan struct{}, 1), tracker: notice.New(), unreadableAt: -unreadableLogInterval}
}

// observe records an endpoint's response to a request that was sent at the time sent.
func (n *notices) observe(ep *members.Endpoint, sent time.Duration, headers ResponseHeaders) {
	if headers.Replaced {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logUnreadableHeaders(ep, headers.HeaderErrors)
	received := headers.Notice
	// A response without an id may come from something other than the incarnation: it does not lift
	// what another one stated.
	received.LimitUnknown = received.LimitUnknown || headers.ID == "" && !received.HasLimit
	received.BrittleUnknown = received.BrittleUnknown || headers.ID == "" && !received.IsBrittle
	n.count(received)
	hash := dispatch.EndpointHash(ep.Key())
	before := n.tracker.Current(hash)
	if !n.tracker.RecordResponse(n.d.now(), sent, hash, received) {
		return
	}
	n.updateScheduler(hash)
	n.logChange(hash, ep.ID, noticeObserved)
	if n.tracker.Current(hash) == before {
		// A backoff binds only this VM: others receive it with the next note.
		return
	}
	select {
	case n.urgent <- struct{}{}:
	default:
	}
}

// count counts what responses announce.
func (n *notices) count(received notice.Notice) {
	if received.HasLimit {
		n.d.count("answers_naming_a_limit")
	}
	if received.IsBrittle {
		n.d.count("answers_saying_brittle")
	}
	if received.Leaving {
		n.d.count("answers_saying_leaving")
	}
	if received.Backoff > 0 {
		n.d.count("answers_asking_for_rest")
	}
}

// mergeRemote merges records received from another VM.
func (n *notices) mergeRemote(list []*schema.EndpointNotice) {
	if len(list) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range list {
		r := noticeFromWire(m)
		if !r.Valid() {
			n.d.countInvalid(1)
			continue
		}
		before := n.tracker.Current(r.Endpoint)
		if !n.tracker.Merge(n.d.now(), r, n.d.sched.isListed(r.Endpoint)) {
			continue
		}
		n.updateScheduler(r.Endpoint)
		if n.tracker.Current(r.Endpoint) != before {
			n.logChange(r.Endpoint, "", noticeReceived)
		}
	}
}

// updateScheduler passes the current notice of an incarnation to the scheduler. The caller holds
// the lock.
func (n *notices) updateScheduler(hash uint64) {
	current := n.tracker.Current(hash)
	ownEnd, othersEnd := n.tracker.BackoffEnds(hash)
	n.d.sched.setNotice(hash, current)
	n.d.sched.setBackoff(hash, n.jitteredBackoffEnd(hash, ownEnd), othersEnd)
	if current.Leaving {
		n.d.sched.markLeaving(hash)
	}
}

// logChange logs the current notice of an incarnation; id is empty if unknown. The caller holds the
// lock.
func (n *notices) logChange(hash uint64, id, learned string) {
	current := n.tracker.Current(hash)
	own, _ := n.tracker.BackoffEnds(hash)
	n.d.log.Info().Str("endpoint", id).Uint64("endpoint_hash", hash).Str("learned", learned).
		Dur("rest", max(0, own-n.d.now())).Bool("limited", current.HasLimit).Float64("per_second", current.Limit).Bool("brittle", current.IsBrittle).Float64("bears", current.Brittle).Bool("leaving", current.Leaving).Msg("endpoint_notice")
}

// maxBackoffJitter limits how much longer than asked this VM backs off from an endpoint.
const maxBackoffJitter = 500 * time.Millisecond

// jitteredBackoffEnd returns when this VM sends again to an endpoint whose backoff ends at end, so
// that VMs that were turned away together do not all return at once. It returns 0 for no backoff.
func (n *notices) jitteredBackoffEnd(hash uint64, end time.Duration) time.Duration {
	if end == 0 {
		return 0
	}
	return end + time.Duration((hash^n.d.peers.incarnation)%uint64(maxBackoffJitter))
}

// evict drops records of incarnations that are gone.
func (n *notices) evict() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.d.now()
	if now < n.evictedAt+evictionInterval {
		return
	}
	n.evictedAt = now
	for _, hash := range n.tracker.Expire(now, unlistedTTL, n.d.sched.isListed) {
		n.d.sched.clearNotice(hash)
	}
}

// forNote returns the records for a note: those changed recently and, with inRotation, some of all
// in rotation.
func (n *notices) forNote(inRotation bool) []*schema.EndpointNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.tracker.Recent(n.d.now(), maxRecentNotices)
	if inRotation {
		list = append(list, n.tracker.NextInRotation(n.d.now(), maxRotatedNotices)...)
	}
	return noticesToWire(list)
}

// forNewProcess returns the records to send to a newly started process.
func (n *notices) forNewProcess() []*schema.EndpointNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	return noticesToWire(n.tracker.Active(n.d.now(), maxStartNotices))
}

func noticesToWire(list []notice.Record) []*schema.EndpointNotice {
	var encoded []*schema.EndpointNotice
	for _, r := range list {
		encoded = append(encoded, &schema.EndpointNotice{
			Endpoint: r.Endpoint, Leaving: r.Leaving, RestMs: uint64(r.Backoff.Milliseconds()),
			Limit: r.Limit.Value, AskedMs: ageToWire(r.Limit.Asked), NamedMs: ageToWire(r.Limit.Named), LiftedMs: ageToWire(r.Limit.Lifted),
			Brittle: r.Brittle.Value, BrittleAskedMs: ageToWire(r.Brittle.Asked), BrittleNamedMs: ageToWire(r.Brittle.Named), BrittleLiftedMs: ageToWire(r.Brittle.Lifted),
		})
	}
	return encoded
}

func noticeFromWire(m *schema.EndpointNotice) notice.Record {
	return notice.Record{
		Endpoint: m.Endpoint, Leaving: m.Leaving, Backoff: schema.Duration(m.RestMs),
		Limit:   notice.Statement{Value: m.Limit, Asked: ageFromWire(m.AskedMs), Named: ageFromWire(m.NamedMs), Lifted: ageFromWire(m.LiftedMs)},
		Brittle: notice.Statement{Value: m.Brittle, Asked: ageFromWire(m.BrittleAskedMs), Named: ageFromWire(m.BrittleNamedMs), Lifted: ageFromWire(m.BrittleLiftedMs)},
	}
}

// ageToWire encodes an age for notes: milliseconds plus one, 0 for never.
func ageToWire(ago time.Duration) uint64 {
	if ago < 0 {
		return 0
	}
	return uint64(ago.Milliseconds()) + 1
}

// ageFromWire decodes an age from a note.
func ageFromWire(ms uint64) time.Duration {
	if ms == 0 {
		return notice.Never
	}
	return schema.Duration(ms - 1)
}

// logUnreadableHeaders counts unreadable headers and logs at most one per unreadableLogInterval.
// The caller holds the lock.
func (n *notices) logUnreadableHeaders(ep *members.Endpoint, list []HeaderError) {
	for _, e := range list {
		n.d.count("headers_unreadable")
		if now := n.d.now(); now >= n.unreadableAt+unreadableLogInterval {
			n.unreadableAt = now
			n.d.log.Warn().Str("endpoint", ep.ID).Err(&e).Msg("header_unreadable")
		}
	}
}
