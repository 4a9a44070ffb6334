package notice

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// transitAllowance is subtracted from the times that another VM reports: its note may have been in transit
	// for that long, and must not override a response that was received here in the meantime.
	transitAllowance = 500 * time.Millisecond
	// maxSends is the number of notes that carry a change before it is only sent in rotation. Few notes are lost.
	maxSends = 3
	// maxEntries bounds the number of tracked incarnations.
	maxEntries = 1 << 14
	// gossipFor is how long an incarnation is gossiped after it was last listed, or last responded, here. Without
	// this bound VMs would send each other records of terminated incarnations for ever.
	gossipFor = 20 * time.Second
	// maxAge bounds the ages in received records.
	maxAge = 365 * 24 * time.Hour
)

// Never is the age of an event that has not happened.
const Never time.Duration = -1

// Statement is what one VM gossips about a number that an incarnation states in its responses for as long as it
// holds. Ages are relative to when it is sent.
type Statement struct {
	// Value is from the response to the latest request whose response stated one. Asked is the time since that request
	// was sent, Named the time since the last response that stated one arrived, and Lifted the time since the latest
	// request was sent whose response stated none.
	Value                float64
	Asked, Named, Lifted time.Duration
}

// Unstated is the statement of an incarnation that never stated a number.
var Unstated = Statement{Asked: Never, Named: Never, Lifted: Never}

// valid reports whether the value is a finite number that is not negative.
func (s Statement) valid() bool { return s.Value >= 0 && !math.IsInf(s.Value, 0) }

// active reports whether the statement holds.
func (s Statement) active() bool { return s.Named >= 0 && (s.Lifted < 0 || s.Lifted >= s.Named) }

// Record is what one VM gossips about an incarnation. Ages are relative to when it is sent.
type Record struct {
	// Endpoint is the hash of the incarnation's key.
	Endpoint uint64
	// Limit is in requests a second, Brittle in rejected requests a second.
	Limit, Brittle Statement
	// Leaving is set if the incarnation announced that it leaves. That is permanent.
	Leaving bool
	// Backoff is for how much longer the incarnation wants no requests from the VM that sends the record.
	Backoff time.Duration
}

// Valid reports whether the numbers are finite and not negative.
func (r Record) Valid() bool { return r.Limit.valid() && r.Brittle.valid() }

// stamp is a time of the VM's process, if set.
type stamp struct {
	at  time.Duration
	set bool
}

// after reports whether s is later than o.
func (s stamp) after(o stamp) bool { return s.set && (!o.set || s.at > o.at) }

// lessTransit returns the stamp of another VM, adjusted by transitAllowance.
func (s stamp) lessTransit() stamp {
	s.at -= transitAllowance
	return s
}

// age returns the time since the stamp, or Never.
func (s stamp) age(now time.Duration) time.Duration {
	if !s.set {
		return Never
	}
	return max(0, now-s.at)
}

// stampFromAge converts an age to a stamp.
func stampFromAge(now, age time.Duration) stamp {
	if age < 0 {
		return stamp{}
	}
	return stamp{at: now - min(age, maxAge), set: true}
}

// statement is the state of a number that an incarnation states. Responses on different connections overtake each
// other. A number therefore holds until a response states none to a request that was sent after the last response
// with one had arrived. Of two, that of the later request holds, or the lower one if the response to the earlier
// request arrives last.
type statement struct {
	value                float64
	asked, named, lifted stamp
}

// current returns the number, if one holds.
func (s *statement) current() (value float64, holds bool) {
	if s.named.set && !s.lifted.after(s.named) {
		return s.value, true
	}
	return 0, false
}

// recordNamed records a response with a number to a request that was sent at the given time.
func (s *statement) recordNamed(now, sent time.Duration, value float64) {
	asked := stamp{sent, true}
	if s.asked.after(asked) {
		s.value = min(s.value, value)
	} else {
		s.asked, s.value = asked, value
	}
	s.named = latest(s.named, stamp{now, true})
}

// recordLifted records a response without a number to a request that was sent at the given time.
func (s *statement) recordLifted(sent time.Duration) { s.lifted = latest(s.lifted, stamp{sent, true}) }

// merge merges what another VM knows.
func (s *statement) merge(now time.Duration, o Statement) {
	if asked := stampFromAge(now, o.Asked).lessTransit(); asked.after(s.asked) {
		s.asked, s.value = asked, o.Value
	}
	s.named = latest(s.named, stampFromAge(now, o.Named))
	s.lifted = latest(s.lifted, stampFromAge(now, o.Lifted).lessTransit())
}

// gossip returns the statement for a record.
func (s *statement) gossip(now time.Duration) Statement {
	return Statement{Value: s.value, Asked: s.asked.age(now), Named: s.named.age(now), Lifted: s.lifted.age(now)}
}

// latest returns the later of two stamps.
func latest(a, b stamp) stamp {
	if b.after(a) {
		return b
	}
	return a
}

// entry is the state of one incarnation.
type entry struct {
	limit, brittle statement
	leaving        bool
	// backoffUntil is when the backoff ends that the incarnation asked of this VM, othersBackoffUntil the latest end
	// of those that it asked of other VMs.
	backoffUntil, othersBackoffUntil time.Duration
	// changedAt is when the notice or a backoff last changed, sends the number of notes that carried the change.
	changedAt time.Duration
	sends     int
	// listed is when the registry was last seen to list the incarnation, responded when its last response arrived here.
	listed, responded stamp
}

func (e *entry) current() Notice {
	n := Notice{Leaving: e.leaving}
	n.Limit, n.HasLimit = e.limit.current()
	n.Brittle, n.IsBrittle = e.brittle.current()
	return n
}

// Tracker holds the notices that one VM knows. Times are those of its process. It is not safe for concurrent use.
// Records of other VMs may arrive in any order and repeatedly.
type Tracker struct {
	entries map[uint64]*entry
	// cursor is the hash at which the next NextInRotation begins.
	cursor uint64
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{entries: make(map[uint64]*entry)} }

// RecordResponse records a response of an incarnation to a request that was sent at the given time, and reports
// whether its notice or a backoff changed.
func (t *Tracker) RecordResponse(now, sent time.Duration, endpoint uint64, n Notice) bool {
	e := t.entries[endpoint]
	if e == nil && !n.HasLimit && !n.IsBrittle && !n.Leaving && n.Backoff == 0 {
		return false
	}
	return t.update(now, endpoint, func(e *entry) {
		e.responded = stamp{now, true}
		e.leaving = e.leaving || n.Leaving
		if n.Backoff > 0 {
			e.backoffUntil = max(e.backoffUntil, now+n.Backoff)
		}
		if n.HasLimit {
			e.limit.recordNamed(now, sent, n.Limit)
		} else if !n.LimitUnknown {
			e.limit.recordLifted(sent)
		}
		if n.IsBrittle {
			e.brittle.recordNamed(now, sent, n.Brittle)
		} else if !n.BrittleUnknown {
			e.brittle.recordLifted(sent)
		}
	})
}

// update applies a change to an entry and reports whether its notice or a backoff changed.
func (t *Tracker) update(now time.Duration, endpoint uint64, apply func(*entry)) bool {
	e := t.entries[endpoint]
	if e == nil {
		if len(t.entries) >= maxEntries {
			return false
		}
		e = &entry{changedAt: now}
		t.entries[endpoint] = e
	}
	before, own, others := e.current(), e.backoffUntil, e.othersBackoffUntil
	apply(e)
	if e.current() == before && e.backoffUntil == own && e.othersBackoffUntil == others {
		return false
	}
	e.changedAt, e.sends = now, 0
	return true
}

// active reports whether the record contains a limit, a backoff or that the incarnation leaves.
func (r Record) active() bool {
	return r.Limit.active() || r.Brittle.active() || r.Leaving || r.Backoff > 0
}

// Merge merges a record of another VM, and reports whether the notice or a backoff changed. listed is whether the
// registry lists the incarnation, as far as this VM knows.
func (t *Tracker) Merge(now time.Duration, r Record, listed bool) bool {
	if t.entries[r.Endpoint] == nil && !listed && !r.active() {
		return false
	}
	return t.update(now, r.Endpoint, func(e *entry) {
		if listed {
			e.listed = stamp{now, true}
		}
		e.limit.merge(now, r.Limit)
		e.brittle.merge(now, r.Brittle)
		e.leaving = e.leaving || r.Leaving
		if r.Backoff > 0 {
			e.othersBackoffUntil = max(e.othersBackoffUntil, now+min(r.Backoff, maxAge))
		}
	})
}

// Current returns the notice that holds for an incarnation now.
func (t *Tracker) Current(endpoint uint64) Notice {
	if e := t.entries[endpoint]; e != nil {
		return e.current()
	}
	return Notice{}
}

// BackoffEnds returns when the backoff ends that an incarnation asked of this VM, and the latest end of those that it
// asked of other VMs. Each is the latest end that was named: a later response ends no backoff early.
func (t *Tracker) BackoffEnds(endpoint uint64) (own, others time.Duration) {
	if e := t.entries[endpoint]; e != nil {
		return e.backoffUntil, e.othersBackoffUntil
	}
	return 0, 0
}

// Expire removes incarnations that have not changed for the time within, and that either were not listed for as long
// or have no active notice or backoff. It waits because the registry may list an incarnation here later than
// elsewhere, or again. It returns the removed incarnations that had an active notice or backoff.
func (t *Tracker) Expire(now, within time.Duration, listed func(endpoint uint64) bool) (expired []uint64) {
	for endpoint, e := range t.entries {
		active := e.current() != Notice{} || e.backoffUntil > now
		if listed(endpoint) {
			e.listed = stamp{now, true}
		}
		if now-e.changedAt <= within || active && e.listed.set && now-e.listed.at <= within {
			continue
		}
		if active {
			expired = append(expired, endpoint)
		}
		delete(t.entries, endpoint)
	}
	return expired
}

func (t *Tracker) record(now time.Duration, endpoint uint64) Record {
	e := t.entries[endpoint]
	return Record{Endpoint: endpoint, Limit: e.limit.gossip(now), Brittle: e.brittle.gossip(now), Leaving: e.leaving, Backoff: max(0, e.backoffUntil-now)}
}

// Recent returns at most n records that changed recently, for one note. Records with a notice that holds
// for all VMs come first, then those that fewer notes have carried.
func (t *Tracker) Recent(now time.Duration, n int) []Record {
	list := t.selectRecords(now, n, func(e *entry) bool { return e.sends < maxSends && e.gossiped(now) })
	for _, r := range list {
		t.entries[r.Endpoint].sends++
	}
	return list
}

// Active returns at most n records with an active notice or backoff.
func (t *Tracker) Active(now time.Duration, n int) []Record {
	return t.selectRecords(now, n, func(e *entry) bool { return (e.current() != Notice{} || e.backoffUntil > now) && e.gossiped(now) })
}

// gossiped reports whether the entry is still sent to other VMs.
func (e *entry) gossiped(now time.Duration) bool {
	return e.listed.set && now-e.listed.at <= gossipFor || e.responded.set && now-e.responded.at <= gossipFor
}

// priority is 1 for a notice that holds for all VMs, and 0 for a backoff alone.
func (e *entry) priority() int {
	if e.current() == (Notice{}) {
		return 0
	}
	return 1
}

func (t *Tracker) selectRecords(now time.Duration, n int, include func(*entry) bool) []Record {
	var endpoints []uint64
	for endpoint, e := range t.entries {
		if include(e) {
			endpoints = append(endpoints, endpoint)
		}
	}
	slices.SortFunc(endpoints, func(a, b uint64) int {
		ea, eb := t.entries[a], t.entries[b]
		return cmp.Or(cmp.Compare(eb.priority(), ea.priority()), cmp.Compare(ea.sends, eb.sends), cmp.Compare(eb.changedAt, ea.changedAt), cmp.Compare(a, b))
	})
	var list []Record
	for _, endpoint := range endpoints[:min(n, len(endpoints))] {
		list = append(list, t.record(now, endpoint))
	}
	return list
}

// NextInRotation returns the next n records, so that all are sent equally often.
func (t *Tracker) NextInRotation(now time.Duration, n int) []Record {
	endpoints := make([]uint64, 0, len(t.entries))
	for endpoint, e := range t.entries {
		if e.gossiped(now) {
			endpoints = append(endpoints, endpoint)
		}
	}
	slices.Sort(endpoints)
	from, _ := slices.BinarySearch(endpoints, t.cursor)
	var list []Record
	for k := range min(n, len(endpoints)) {
		list = append(list, t.record(now, endpoints[(from+k)%len(endpoints)]))
	}
	if len(list) > 0 {
		t.cursor = list[len(list)-1].Endpoint + 1
	}
	return list
}
