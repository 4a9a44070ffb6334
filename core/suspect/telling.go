package suspect

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// hotFor is for how long what is new goes into each note. Notes leave ten times a second to
// five VMs and more, so each round multiplies those who know by about six: 1,800 VMs
// know after five rounds, half a second; the rest of the time is for notes that are lost.
const hotFor = 1500 * time.Millisecond

// Hot returns up to n records of what was learned lately, those that matter most first: they
// go into each note.
func (l *Ledger) Hot(now time.Duration, n int) []Record {
	type news struct {
		d       Digest
		view    View
		changed time.Duration
	}
	var hot []news
	for d, e := range l.entries {
		if now-e.changed < hotFor {
			hot = append(hot, news{d, e.view(), e.changed})
		}
	}
	slices.SortFunc(hot, func(a, b news) int {
		return cmp.Or(cmp.Compare(b.view.Level, a.view.Level), cmp.Compare(b.view.Possible, a.view.Possible), cmp.Compare(b.changed, a.changed), bytes.Compare(a.d[:], b.d[:]))
	})
	records := make([]Record, 0, n)
	for _, h := range hot[:min(n, len(hot))] {
		records = append(records, l.entries[h.d].record(now, h.d))
	}
	return records
}

// Worst returns up to n records of the requests against which most is known.
func (l *Ledger) Worst(now time.Duration, n int) []Record {
	list := make([]Record, 0, n)
	for level := ConvictedAt; level > 0; level-- {
		for d, e := range l.entries {
			if len(list) < n && min(e.view().Level, ConvictedAt) == level {
				list = append(list, e.record(now, d))
			}
		}
	}
	return list
}

// Turn returns up to n records, over many calls all of them in turn: VMs that missed a note or
// have just started learn from it what the others know.
func (l *Ledger) Turn(now time.Duration, n int) []Record {
	all := make([]Digest, 0, len(l.entries))
	for d, e := range l.entries {
		if e.life() > cutLife {
			all = append(all, d)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b Digest) int { return bytes.Compare(a[:], b[:]) })
	from, _ := slices.BinarySearchFunc(all, l.turn, func(a, b Digest) int { return bytes.Compare(a[:], b[:]) })
	n = min(n, len(all))
	records := make([]Record, 0, n)
	for i := range n {
		d := all[(from+i)%len(all)]
		records = append(records, l.entries[d].record(now, d))
	}
	l.turn = all[(from+n)%len(all)]
	return records
}

// Convicted returns the requests that are convicted, released ones included.
func (l *Ledger) Convicted() []Digest {
	var list []Digest
	for d, e := range l.entries {
		if e.told >= ConvictedAt {
			list = append(list, d)
		}
	}
	return list
}

// Record returns what is known of a request; ok is false if nothing is.
func (l *Ledger) Record(now time.Duration, d Digest) (r Record, ok bool) {
	e := l.entries[d]
	if e == nil {
		return Record{}, false
	}
	return e.record(now, d), true
}
