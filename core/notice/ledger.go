package notice

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// transitAllowance is by how much what another VM saw counts as older: the word of it may have been under way for
	// as long, and must not pass for later than what was said since.
	transitAllowance = 500 * time.Millisecond
	// maxSends is how many notes tell of a change before it is told in turn alone: few datagrams are lost.
	maxSends = 3
	// maxEntries bounds the incarnations that are remembered.
	maxEntries = 1 << 14
	// gossipFor is how long after an incarnation was last listed or heard here others are told of it. Else VMs would
	// remind each other for ever of those that are gone.
	gossipFor = 20 * time.Second
	// maxAge bounds ages.
	maxAge = 365 * 24 * time.Hour
)

// Never is the age of what did not happen.
const Never time.Duration = -1

// Record is what one VM tells others of an incarnation. Ages are as of when it is told.
type Record struct {
	// Endpoint is the short name of the incarnation.
	Endpoint uint64
	// Limit is the limit that was named in answer to the request that was sent last of those whose answer
	// named one, Asked how long ago that was sent. Named is how long ago the last such answer came, Lifted how
	// long ago the last request was sent whose answer named none.
	Limit                float64
	Asked, Named, Lifted time.Duration
	// Leaving says that the incarnation said that it leaves, which holds for the rest of its life.
	Leaving bool
	// Backoff is for how much longer it wants nothing from the VM that tells.
	Backoff time.Duration
}

// Valid says whether a record can be.
func (r Record) Valid() bool { return r.Limit >= 0 && !math.IsInf(r.Limit, 0) }

// stamp is a moment of the VM's process, if it ever was.
type stamp struct {
	at  time.Duration
	set bool
}

// after says whether it is the later one.
func (s stamp) after(o stamp) bool { return s.set && (!o.set || s.at > o.at) }

// lessTransit is the moment as others take it.
func (s stamp) lessTransit() stamp {
	s.at -= transitAllowance
	return s
}

// age is its age.
func (s stamp) age(now time.Duration) time.Duration {
	if !s.set {
		return Never
	}
	return max(0, now-s.at)
}

// stampFromAge is the moment of an age.
func stampFromAge(now, age time.Duration) stamp {
	if age < 0 {
		return stamp{}
	}
	return stamp{at: now - min(age, maxAge), set: true}
}

// entry is what is known of one incarnation.
type entry struct {
	limit                float64
	asked, named, lifted stamp
	leaving              bool
	// backoffUntil is when the backoffUntil for which it asked this VM ends, othersBackoffUntil when that for which it asked
	// another does.
	backoffUntil, othersBackoffUntil time.Duration
	// changedAt is when what holds changedAt last, tells how many notes told of that.
	changedAt time.Duration
	sends     int
	// listed is when the registry was last seen to list it, responded when an answer of it last came here.
	listed, responded stamp
}

func (e *entry) current() Notice {
	n := Notice{Leaving: e.leaving}
	if e.named.set && !e.lifted.after(e.named) {
		n.Limit, n.HasLimit = e.limit, true
	}
	return n
}

// Tracker is what one VM knows. Times are those of its process; it is not safe for concurrent use. Records of
// other VMs may come in any order and again.
type Tracker struct {
	entries map[uint64]*entry
	// cursor is the short name at which the next Turn begins.
	cursor uint64
}

// New returns an empty ledger.
func New() *Tracker { return &Tracker{entries: make(map[uint64]*entry)} }

// RecordResponse takes in an answer of an incarnation to a request that was sent at a time, and reports whether what
// holds has changed. Answers on different connections overtake each other: a limit holds until an answer
// names none whose request was sent after the last one that named it had come, and of two limits that of the
// request that was sent later, or the lower one if its answer came later.
func (t *Tracker) RecordResponse(now, sent time.Duration, endpoint uint64, n Notice) bool {
	e := t.entries[endpoint]
	if e == nil && !n.HasLimit && !n.Leaving && n.Backoff == 0 {
		return false
	}
	return t.update(now, endpoint, func(e *entry) {
		e.responded = stamp{now, true}
		e.leaving = e.leaving || n.Leaving
		if n.Backoff > 0 {
			e.backoffUntil = max(e.backoffUntil, now+n.Backoff)
		}
		switch {
		case n.LimitUnknown:
			return
		case !n.HasLimit:
			e.setLifted(stamp{sent, true})
			return
		}
		asked := stamp{sent, true}
		if e.asked.after(asked) {
			e.limit = min(e.limit, n.Limit)
		} else {
			e.asked, e.limit = asked, n.Limit
		}
		e.setNamed(stamp{now, true})
	})
}

func (e *entry) setNamed(at stamp) {
	if at.after(e.named) {
		e.named = at
	}
}

func (e *entry) setLifted(at stamp) {
	if at.after(e.lifted) {
		e.lifted = at
	}
}

// update changes an entry and reports whether what holds has changed.
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

// active says whether something does by a record.
func (r Record) active() bool {
	limited := r.Named >= 0 && (r.Lifted < 0 || r.Lifted >= r.Named)
	return limited || r.Leaving || r.Backoff > 0
}

// Merge takes in what another VM knows, and reports whether what holds has changed. listed says that the
// registry lists the incarnation, as far as this VM knows.
func (t *Tracker) Merge(now time.Duration, r Record, listed bool) bool {
	if t.entries[r.Endpoint] == nil && !listed && !r.active() {
		return false
	}
	return t.update(now, r.Endpoint, func(e *entry) {
		if listed {
			e.listed = stamp{now, true}
		}
		if asked := stampFromAge(now, r.Asked).lessTransit(); asked.after(e.asked) {
			e.asked, e.limit = asked, r.Limit
		}
		e.leaving = e.leaving || r.Leaving
		if r.Backoff > 0 {
			e.othersBackoffUntil = max(e.othersBackoffUntil, now+min(r.Backoff, maxAge))
		}
		e.setNamed(stampFromAge(now, r.Named))
		e.setLifted(stampFromAge(now, r.Lifted).lessTransit())
	})
}

// Current is what an incarnation says of itself now.
func (t *Tracker) Current(endpoint uint64) Notice {
	if e := t.entries[endpoint]; e != nil {
		return e.current()
	}
	return Notice{}
}

// BackoffEnds are when the rest ends for which an incarnation asked this VM, and that for which it asked another.
// Each is the latest that was named: an answer that comes later ends none.
func (t *Tracker) BackoffEnds(endpoint uint64) (own, others time.Duration) {
	if e := t.entries[endpoint]; e != nil {
		return e.backoffUntil, e.othersBackoffUntil
	}
	return 0, 0
}

// Expire drops incarnations that were not listed for a time, or of which nothing holds since then: the registry
// may list them later here than elsewhere, or again. It returns those by which something held.
func (t *Tracker) Expire(now, within time.Duration, listed func(endpoint uint64) bool) (expired []uint64) {
	for name, e := range t.entries {
		active := e.current() != Notice{} || e.backoffUntil > now
		if listed(name) {
			e.listed = stamp{now, true}
		}
		if now-e.changedAt <= within || active && e.listed.set && now-e.listed.at <= within {
			continue
		}
		if active {
			expired = append(expired, name)
		}
		delete(t.entries, name)
	}
	return expired
}

func (t *Tracker) record(now time.Duration, endpoint uint64) Record {
	e := t.entries[endpoint]
	return Record{Endpoint: endpoint, Limit: e.limit, Asked: e.asked.age(now), Named: e.named.age(now), Lifted: e.lifted.age(now), Leaving: e.leaving, Backoff: max(0, e.backoffUntil-now)}
}

// Recent are at most n records that changed lately, for one note: those by which something holds for all VMs
// first, then those that fewer notes told.
func (t *Tracker) Recent(now time.Duration, n int) []Record {
	list := t.selectRecords(now, n, func(e *entry) bool { return e.sends < maxSends && e.gossiped(now) })
	for _, r := range list {
		t.entries[r.Endpoint].sends++
	}
	return list
}

// Active are at most n records by which something holds.
func (t *Tracker) Active(now time.Duration, n int) []Record {
	return t.selectRecords(now, n, func(e *entry) bool { return (e.current() != Notice{} || e.backoffUntil > now) && e.gossiped(now) })
}

// gossiped says whether others are gossiped of it.
func (e *entry) gossiped(now time.Duration) bool {
	return e.listed.set && now-e.listed.at <= gossipFor || e.responded.set && now-e.responded.at <= gossipFor
}

// priority is 1 where something holds for all VMs, 0 for a rest.
func (e *entry) priority() int {
	if e.current() == (Notice{}) {
		return 0
	}
	return 1
}

func (t *Tracker) selectRecords(now time.Duration, n int, include func(*entry) bool) []Record {
	var names []uint64
	for name, e := range t.entries {
		if include(e) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b uint64) int {
		ea, eb := t.entries[a], t.entries[b]
		return cmp.Or(cmp.Compare(eb.priority(), ea.priority()), cmp.Compare(ea.sends, eb.sends), cmp.Compare(eb.changedAt, ea.changedAt), cmp.Compare(a, b))
	})
	var list []Record
	for _, name := range names[:min(n, len(names))] {
		list = append(list, t.record(now, name))
	}
	return list
}

// NextInRotation are the next n records, so that all come up equally often.
func (t *Tracker) NextInRotation(now time.Duration, n int) []Record {
	names := make([]uint64, 0, len(t.entries))
	for name, e := range t.entries {
		if e.gossiped(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	from, _ := slices.BinarySearch(names, t.cursor)
	var list []Record
	for k := range min(n, len(names)) {
		list = append(list, t.record(now, names[(from+k)%len(names)]))
	}
	if len(list) > 0 {
		t.cursor = list[len(list)-1].Endpoint + 1
	}
	return list
}
