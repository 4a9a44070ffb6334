package suspect

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// recentFor is how long a new record goes into each note. Notes leave ten times a second to at
// least five VMs, so each round multiplies the number of VMs that have the record
// by about six: it reaches 1,800 VMs after five rounds, half a second. The rest of the time makes
// up for lost notes.
const recentFor = 1500 * time.Millisecond

// Recent returns up to n records that changed recently, the most important first. They go into
// each note.
func (t *Tracker) Recent(now time.Duration, n int) []Record {
	type candidate struct {
		entry  *entry
		status Status
	}
	var recent []candidate
	for _, e := range t.entries {
		if now-e.changedAt < recentFor && !e.unverified() {
			recent = append(recent, candidate{e, e.status()})
		}
	}
	slices.SortFunc(recent, func(a, b candidate) int {
		return cmp.Or(compareImportance(b.status, a.status), cmp.Compare(b.entry.changedAt, a.entry.changedAt), bytes.Compare(a.entry.digest[:], b.entry.digest[:]))
	})
	records := make([]Record, 0, n)
	for _, c := range recent[:min(n, len(recent))] {
		records = append(records, c.entry.record(now))
	}
	return records
}

// compareImportance orders what is known by how soon other VMs need it: what is convicted, then by
// terminations. Of two with as many, a part comes first, since it stands for many requests: otherwise
// the dozen requests that ran at each endpoint would leave no room for the part that they share.
func compareImportance(a, b Status) int {
	return cmp.Or(compareBool(a.Level >= ConvictionLevel, b.Level >= ConvictionLevel), cmp.Compare(a.evidence, b.evidence),
		compareBool(a.Digest.IsPart(), b.Digest.IsPart()), cmp.Compare(a.Level, b.Level), cmp.Compare(a.PossibleLevel, b.PossibleLevel))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// HighestLevel returns up to n records of suspect requests, those with the highest level first.
func (t *Tracker) HighestLevel(now time.Duration, n int) []Record {
	list := make([]Record, 0, n)
	for level := ConvictionLevel; level > 0; level-- {
		for _, e := range t.entries {
			if len(list) < n && min(e.status().Level, ConvictionLevel) == level {
				list = append(list, e.record(now))
			}
		}
	}
	return list
}

// NextInRotation returns up to n records. Successive calls go through all of them, so that VMs
// that missed a note or have just started receive every record.
func (t *Tracker) NextInRotation(now time.Duration, n int) []Record {
	all := make([]Digest, 0, len(t.entries))
	for d, e := range t.entries {
		if e.ttl() > cutTTL {
			all = append(all, d)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b Digest) int { return bytes.Compare(a[:], b[:]) })
	from, _ := slices.BinarySearchFunc(all, t.cursor, func(a, b Digest) int { return bytes.Compare(a[:], b[:]) })
	n = min(n, len(all))
	records := make([]Record, 0, n)
	for i := range n {
		d := all[(from+i)%len(all)]
		records = append(records, t.entries[d].record(now))
	}
	t.cursor = all[(from+n)%len(all)]
	return records
}

// ConvictedDigests returns the convicted requests, including released ones.
func (t *Tracker) ConvictedDigests() []Digest {
	var list []Digest
	for d, e := range t.entries {
		if e.reportedLevel >= ConvictionLevel {
			list = append(list, d)
		}
	}
	return list
}

// RecordOf returns the record of a request; ok is false if there is none.
func (t *Tracker) RecordOf(now time.Duration, d Digest) (r Record, ok bool) {
	e := t.entries[d]
	if e == nil {
		return Record{}, false
	}
	return e.record(now), true
}
