package resume

import (
	"container/heap"
	"time"
)

// maxRecords bounds the records of a VM, and so their memory, to about 1.6 MB. A VM with 18 requests
// a second and streams of half a minute holds a tenth of that.
const maxRecords = 16384

// Record tells which version began a stream.
type Record struct {
	Key     Key
	Service string
	Version string
	// Expires is when the stream can no longer be resumed.
	Expires time.Duration
}

// Ledger holds the records of one VM: of the streams that it began itself, and of those for which it is a
// keeper. It is not safe for concurrent use.
type Ledger struct {
	entries map[Key]*entry
	// queue orders the entries by expiry.
	queue expiryQueue
	// untold holds the own records that the keepers have not been told, in order of arrival. Those that
	// have expired in the meantime are skipped.
	untold []Key
	// forgotten counts the records dropped for others before they expired.
	forgotten int
}

type entry struct {
	Record
	own  bool
	told bool
	// index is the position in the queue.
	index int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: make(map[Key]*entry)} }

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.entries) }

// Version returns the version that began a stream, if it is known.
func (l *Ledger) Version(key Key) (version string, known bool) {
	e := l.entries[key]
	if e == nil {
		return "", false
	}
	return e.Version, true
}

// Begin adds the record of a stream that this VM serves.
func (l *Ledger) Begin(r Record) {
	e := l.put(r)
	if e != nil && !e.own {
		e.own = true
		l.untold = append(l.untold, r.Key)
	}
}

// Keep adds a record that another VM told. It returns false if the stream is known to have begun at
// another version, which stays.
func (l *Ledger) Keep(r Record) bool {
	if known := l.entries[r.Key]; known != nil && known.Version != r.Version {
		return false
	}
	l.put(r)
	return true
}

// put adds a record, or extends the one that is there. It returns nil if there is no room for it.
func (l *Ledger) put(r Record) *entry {
	if e := l.entries[r.Key]; e != nil {
		if r.Expires > e.Expires {
			e.Expires = r.Expires
			heap.Fix(&l.queue, e.index)
		}
		return e
	}
	e := &entry{Record: r}
	l.entries[r.Key] = e
	heap.Push(&l.queue, e)
	if len(l.entries) > maxRecords {
		// The stream whose caller has least time left.
		l.forgotten++
		if l.drop() == e {
			return nil
		}
	}
	return e
}

// drop removes the record that expires first.
func (l *Ledger) drop() *entry {
	e := heap.Pop(&l.queue).(*entry)
	delete(l.entries, e.Key)
	return e
}

// Expire drops the records of streams that can no longer be resumed.
func (l *Ledger) Expire(now time.Duration) {
	for len(l.queue) > 0 && l.queue[0].Expires <= now {
		l.drop()
	}
}

// TakeForgotten returns how many records were dropped before they expired since the last call.
func (l *Ledger) TakeForgotten() int {
	n := l.forgotten
	l.forgotten = 0
	return n
}

// TellAgain marks all own records as not told, after the set of VMs has changed.
func (l *Ledger) TellAgain() {
	l.untold = l.untold[:0]
	for key, e := range l.entries {
		if e.own {
			e.told = false
			l.untold = append(l.untold, key)
		}
	}
}

// TellAgainIf is TellAgain for the records whose keys again accepts.
func (l *Ledger) TellAgainIf(again func(Key) bool) {
	for key, e := range l.entries {
		if e.own && e.told && again(key) {
			e.told = false
			l.untold = append(l.untold, key)
		}
	}
}

// TakeUntold returns up to n own records to tell, of the services for which due returns true. They count as
// told from then on.
func (l *Ledger) TakeUntold(n int, due func(service string) bool) []Record {
	var list []Record
	kept := l.untold[:0]
	for _, key := range l.untold {
		e := l.entries[key]
		switch {
		case e == nil || e.told:
		case len(list) == n || !due(e.Service):
			kept = append(kept, key)
		default:
			e.told = true
			list = append(list, e.Record)
		}
	}
	l.untold = kept
	return list
}

// MarkTold records that the keepers of a stream have been told.
func (l *Ledger) MarkTold(key Key) {
	if e := l.entries[key]; e != nil {
		e.told = true
	}
}

// expiryQueue is a heap of entries by expiry.
type expiryQueue []*entry

// Len implements sort.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].Expires < q[j].Expires }

// Swap implements sort.Interface.
func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return e
}
