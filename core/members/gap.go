package members

import "time"

// A VM that could not read the registry finds entries missing afterwards. Either the registry was away,
// entries have lapsed and their endpoints are alive, or only VMs had lost their paths to it and the
// endpoints have left. An outage that is long enough for entries to lapse takes most of them: those that
// are listed after it have been written anew. Departures take a few, and leave the others untouched: a
// heartbeat that changes nothing writes no record. So a VM can tell by what it reads, without another one
// that saw more.

// gap is what has changed in the registry since the last record that was read before it was unavailable.
type gap struct {
	// known is the offset before which all records were known.
	known uint64
	// changed holds the entries that have changed since. It is nil after a restore, when missing entries
	// tell nothing.
	changed map[string]change
}

// change is what became of an entry.
type change int

const (
	removed change = iota
	// rewritten entries have another record. They may have lapsed and been listed again.
	rewritten
	// announced entries say that their endpoints are leaving. They are not counted.
	announced
)

// Gap counts what became of the entries that were in use before the registry was unavailable. Those
// that were kept are listed by the same record as before.
type Gap struct{ Kept, Rewritten, Removed int }

// keptPerChange is how many kept entries for each removed or rewritten one rule out an outage. It bounds the
// price of an outage that ends as the first entries have lapsed: a third of the live endpoints may be left
// until they are listed again.
const keptPerChange = 2

// outage reports whether the registry must be taken to have been away.
func (g Gap) outage() bool { return g.Kept == 0 || g.Kept < keptPerChange*(g.Rewritten+g.Removed) }

// JudgeGap decides, from records that are about to be applied, whether entries that they remove stay in
// use until their endpoints have had time to be listed again. It does so for as long as that is due. With
// complete, list is the whole registry.
func (s *Set) JudgeGap(now time.Duration, list []Change, complete bool) Gap {
	if now >= s.graceEnd || s.gap.changed == nil {
		return Gap{}
	}
	s.recordChanged(list)
	if complete {
		s.recordUnlisted(list)
	}
	g := s.countGap()
	s.keepRemoved = g.outage()
	if s.keepRemoved {
		s.extendMissing()
	}
	return g
}

// recordChanged records the entries that a list of records changes.
func (s *Set) recordChanged(list []Change) {
	for _, c := range list {
		e := s.known[c.ID]
		switch {
		case e == nil || e.Leaving || e.missing:
		case c.Endpoint == nil:
			s.gap.changed[c.ID] = removed
		case c.Endpoint.Leaving:
			s.gap.changed[c.ID] = announced
		case c.Written == 0 || c.Written > s.gap.known:
			s.gap.changed[c.ID] = rewritten
		}
	}
}

// recordUnlisted records the entries that the complete registry does not list.
func (s *Set) recordUnlisted(list []Change) {
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.ID] = c.Endpoint != nil
	}
	for id, e := range s.known {
		if !e.Leaving && !e.missing && !listed[id] {
			s.gap.changed[id] = removed
		}
	}
}

// countGap counts what became of the entries.
func (s *Set) countGap() Gap {
	var g Gap
	for _, c := range s.gap.changed {
		switch c {
		case removed:
			g.Removed++
		case rewritten:
			g.Rewritten++
		}
	}
	for id, e := range s.known {
		if _, ok := s.gap.changed[id]; !ok && !e.Leaving && !e.missing {
			g.Kept++
		}
	}
	return g
}

// extendMissing keeps the entries that are missing since an earlier outage for as long as those of this one.
func (s *Set) extendMissing() {
	for id := range s.lapsed {
		if e := s.known[id]; e != nil && e.missing {
			e.expires = max(e.expires, s.graceEnd)
		}
	}
}
