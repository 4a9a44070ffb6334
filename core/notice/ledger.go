package notice

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// settle is by how much what another VM saw counts as older: the word of it may have been under way for
	// as long, and must not pass for later than what was said since.
	settle = 500 * time.Millisecond
	// mostTells is how many notes tell of a change before it is told in turn alone: few datagrams are lost.
	mostTells = 3
	// mostRecords bounds the incarnations that are remembered.
	mostRecords = 1 << 14
	// toldFor is how long after an incarnation was last listed or heard here others are told of it. Else VMs would
	// remind each other for ever of those that are gone.
	toldFor = 20 * time.Second
	// oldest bounds ages.
	oldest = 365 * 24 * time.Hour
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
	// Rest is for how much longer it wants nothing from the VM that tells.
	Rest time.Duration
}

// Valid says whether a record can be.
func (r Record) Valid() bool { return r.Limit >= 0 && !math.IsInf(r.Limit, 0) }

// stamp is a moment of the VM's process, if it ever was.
type stamp struct {
	at  time.Duration
	was bool
}

// after says whether it is the later one.
func (s stamp) after(o stamp) bool { return s.was && (!o.was || s.at > o.at) }

// settled is the moment as others take it.
func (s stamp) settled() stamp {
	s.at -= settle
	return s
}

// ago is its age.
func (s stamp) ago(now time.Duration) time.Duration {
	if !s.was {
		return Never
	}
	return max(0, now-s.at)
}

// stampOf is the moment of an age.
func stampOf(now, ago time.Duration) stamp {
	if ago < 0 {
		return stamp{}
	}
	return stamp{at: now - min(ago, oldest), was: true}
}

// entry is what is known of one incarnation.
type entry struct {
	limit                float64
	asked, named, lifted stamp
	leaving              bool
	// rest is when the rest for which it asked this VM ends, others when that for which it asked
	// another does.
	rest, others time.Duration
	// changed is when what holds changed last, tells how many notes told of that.
	changed time.Duration
	tells   int
	// listed is when the registry was last seen to list it, heard when an answer of it last came here.
	listed, heard stamp
}

func (e *entry) holds() Notice {
	n := Notice{Leaving: e.leaving}
	if e.named.was && !e.lifted.after(e.named) {
		n.Limit, n.HasLimit = e.limit, true
	}
	return n
}

// Ledger is what one VM knows. Times are those of its process; it is not safe for concurrent use. Records of
// other VMs may come in any order and again.
type Ledger struct {
	entries map[uint64]*entry
	// turn is the short name at which the next Turn begins.
	turn uint64
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{entries: make(map[uint64]*entry)} }

// Hear takes in an answer of an incarnation to a request that was sent at a time, and reports whether what
// holds has changed. Answers on different connections overtake each other: a limit holds until an answer
// names none whose request was sent after the last one that named it had come, and of two limits that of the
// request that was sent later, or the lower one if its answer came later.
func (l *Ledger) Hear(now, sent time.Duration, endpoint uint64, n Notice) bool {
	e := l.entries[endpoint]
	if e == nil && !n.HasLimit && !n.Leaving && n.Rest == 0 {
		return false
	}
	return l.change(now, endpoint, func(e *entry) {
		e.heard = stamp{now, true}
		e.leaving = e.leaving || n.Leaving
		if n.Rest > 0 {
			e.rest = max(e.rest, now+n.Rest)
		}
		switch {
		case n.LimitUnknown:
			return
		case !n.HasLimit:
			e.lift(stamp{sent, true})
			return
		}
		asked := stamp{sent, true}
		if e.asked.after(asked) {
			e.limit = min(e.limit, n.Limit)
		} else {
			e.asked, e.limit = asked, n.Limit
		}
		e.name(stamp{now, true})
	})
}

func (e *entry) name(at stamp) {
	if at.after(e.named) {
		e.named = at
	}
}

func (e *entry) lift(at stamp) {
	if at.after(e.lifted) {
		e.lifted = at
	}
}

// change changes an entry and reports whether what holds has changed.
func (l *Ledger) change(now time.Duration, endpoint uint64, do func(*entry)) bool {
	e := l.entries[endpoint]
	if e == nil {
		if len(l.entries) >= mostRecords {
			return false
		}
		e = &entry{changed: now}
		l.entries[endpoint] = e
	}
	before, rest, others := e.holds(), e.rest, e.others
	do(e)
	if e.holds() == before && e.rest == rest && e.others == others {
		return false
	}
	e.changed, e.tells = now, 0
	return true
}

// holds says whether something does by a record.
func (r Record) holds() bool {
	limited := r.Named >= 0 && (r.Lifted < 0 || r.Lifted >= r.Named)
	return limited || r.Leaving || r.Rest > 0
}

// Merge takes in what another VM knows, and reports whether what holds has changed. listed says that the
// registry lists the incarnation, as far as this VM knows.
func (l *Ledger) Merge(now time.Duration, r Record, listed bool) bool {
	if l.entries[r.Endpoint] == nil && !listed && !r.holds() {
		return false
	}
	return l.change(now, r.Endpoint, func(e *entry) {
		if listed {
			e.listed = stamp{now, true}
		}
		if asked := stampOf(now, r.Asked).settled(); asked.after(e.asked) {
			e.asked, e.limit = asked, r.Limit
		}
		e.leaving = e.leaving || r.Leaving
		if r.Rest > 0 {
			e.others = max(e.others, now+min(r.Rest, oldest))
		}
		e.name(stampOf(now, r.Named))
		e.lift(stampOf(now, r.Lifted).settled())
	})
}

// Holds is what an incarnation says of itself now.
func (l *Ledger) Holds(endpoint uint64) Notice {
	if e := l.entries[endpoint]; e != nil {
		return e.holds()
	}
	return Notice{}
}

// Rests are when the rest ends for which an incarnation asked this VM, and that for which it asked another.
// Each is the latest that was named: an answer that comes later ends none.
func (l *Ledger) Rests(endpoint uint64) (own, others time.Duration) {
	if e := l.entries[endpoint]; e != nil {
		return e.rest, e.others
	}
	return 0, 0
}

// Forget drops incarnations that were not listed for a time, or of which nothing holds since then: the registry
// may list them later here than elsewhere, or again. It returns those by which something held.
func (l *Ledger) Forget(now, within time.Duration, listed func(endpoint uint64) bool) (held []uint64) {
	for name, e := range l.entries {
		holds := e.holds() != Notice{} || e.rest > now
		if listed(name) {
			e.listed = stamp{now, true}
		}
		if now-e.changed <= within || holds && e.listed.was && now-e.listed.at <= within {
			continue
		}
		if holds {
			held = append(held, name)
		}
		delete(l.entries, name)
	}
	return held
}

func (l *Ledger) record(now time.Duration, endpoint uint64) Record {
	e := l.entries[endpoint]
	return Record{Endpoint: endpoint, Limit: e.limit, Asked: e.asked.ago(now), Named: e.named.ago(now), Lifted: e.lifted.ago(now), Leaving: e.leaving, Rest: max(0, e.rest-now)}
}

// Hot are at most n records that changed lately, for one note: those by which something holds for all VMs
// first, then those that fewer notes told.
func (l *Ledger) Hot(now time.Duration, n int) []Record {
	list := l.first(now, n, func(e *entry) bool { return e.tells < mostTells && e.told(now) })
	for _, r := range list {
		l.entries[r.Endpoint].tells++
	}
	return list
}

// Holding are at most n records by which something holds.
func (l *Ledger) Holding(now time.Duration, n int) []Record {
	return l.first(now, n, func(e *entry) bool { return (e.holds() != Notice{} || e.rest > now) && e.told(now) })
}

// told says whether others are told of it.
func (e *entry) told(now time.Duration) bool {
	return e.listed.was && now-e.listed.at <= toldFor || e.heard.was && now-e.heard.at <= toldFor
}

// weight is 1 where something holds for all VMs, 0 for a rest.
func (e *entry) weight() int {
	if e.holds() == (Notice{}) {
		return 0
	}
	return 1
}

func (l *Ledger) first(now time.Duration, n int, which func(*entry) bool) []Record {
	var names []uint64
	for name, e := range l.entries {
		if which(e) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b uint64) int {
		ea, eb := l.entries[a], l.entries[b]
		return cmp.Or(cmp.Compare(eb.weight(), ea.weight()), cmp.Compare(ea.tells, eb.tells), cmp.Compare(eb.changed, ea.changed), cmp.Compare(a, b))
	})
	var list []Record
	for _, name := range names[:min(n, len(names))] {
		list = append(list, l.record(now, name))
	}
	return list
}

// Turn are the next n records, so that all come up equally often.
func (l *Ledger) Turn(now time.Duration, n int) []Record {
	names := make([]uint64, 0, len(l.entries))
	for name, e := range l.entries {
		if e.told(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	from, _ := slices.BinarySearch(names, l.turn)
	var list []Record
	for k := range min(n, len(names)) {
		list = append(list, l.record(now, names[(from+k)%len(names)]))
	}
	if len(list) > 0 {
		l.turn = list[len(list)-1].Endpoint + 1
	}
	return list
}
