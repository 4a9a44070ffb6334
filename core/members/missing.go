package members

import "time"

// relistGrace is how long after the registry becomes available again an entry that
// lapsed during the outage may stay missing. The registry promises to list live
// endpoints again within about two seconds.
const relistGrace = 2500 * time.Millisecond

// MarkRegistryUnavailable records that the registry cannot be read.
func (s *Set) MarkRegistryUnavailable() { s.unavailable, s.everUnavailable = true, true }

// MarkRegistryAvailable records that the registry can be read again.
func (s *Set) MarkRegistryAvailable(now time.Duration) {
	if s.unavailable {
		s.unavailable, s.availableSince = false, now
	}
}

// remove handles an entry that is gone from the registry. During a registry outage
// entries lapse although the endpoints are alive. Removing them all would leave no
// endpoint to send requests to, so they stay in use until the registry has had time
// to list them again.
func (s *Set) remove(now time.Duration, id string) {
	e := s.known[id]
	if e == nil || e.missing {
		return
	}
	if !e.Leaving && s.everUnavailable && (s.unavailable || now < s.availableSince+relistGrace) {
		e.missing = true
		s.lapsed[id] = true
		e.expires = s.availableSince + relistGrace
		if s.unavailable {
			e.expires = now + relistGrace
		}
		return
	}
	s.depart(now, e, Listed)
}

// Expire removes lapsed entries that were not listed again in time. It is called many times a second,
// with thousands of entries none of which lapsed.
func (s *Set) Expire(now time.Duration) {
	for id := range s.lapsed {
		e := s.known[id]
		if e == nil || !e.missing {
			delete(s.lapsed, id)
			continue
		}
		if !s.unavailable && now >= e.expires && now >= s.availableSince+relistGrace {
			s.depart(now, e, Lapsed)
		}
	}
}

// Gap compares the entries that were in use before the registry could not be read with those that it lists since.
type Gap struct {
	// Kept entries are still listed with their record of before. Rewritten ones have a record written since then:
	// they may have been removed in between and listed again. Removed ones are not listed.
	Kept, Rewritten, Removed int
}

// Gap returns what has changed in the complete registry since the records before the offset known. Endpoints that
// are leaving are not counted: they write a record of their own accord.
func (s *Set) Gap(list []Change, known uint64) Gap {
	listed := make(map[string]Change, len(list))
	for _, c := range list {
		listed[c.ID] = c
	}
	var g Gap
	for id, e := range s.known {
		c := listed[id]
		switch {
		case e.Leaving || e.missing:
		case c.Endpoint == nil:
			g.Removed++
		case c.Endpoint.Leaving:
		case c.Written > 0 && c.Written <= known:
			g.Kept++
		default:
			g.Rewritten++
		}
	}
	return g
}

// Missing returns the number of entries that are no longer in the registry and are still in use.
func (s *Set) Missing() int {
	n := 0
	for id := range s.lapsed {
		if e := s.known[id]; e != nil && e.missing {
			n++
		}
	}
	return n
}

// Gone returns the endpoint hashes of the incarnations that were found gone at since or later and
// have not been listed again.
func (s *Set) Gone(since time.Duration) []uint64 {
	var list []uint64
	for id, t := range s.tombstones {
		if e := s.known[id]; t.at >= since && (e == nil || e.Key() != t.key) {
			list = append(list, EndpointHash(t.key))
		}
	}
	return list
}

// ConfirmGone removes the missing entries of incarnations that another VM has found gone, given by
// their endpoint hashes, and returns how many. Incarnations that are listed stay in use.
func (s *Set) ConfirmGone(now time.Duration, hashes []uint64) int {
	if s.Missing() == 0 {
		return 0
	}
	gone := make(map[uint64]bool, len(hashes))
	for _, h := range hashes {
		gone[h] = true
	}
	removed := 0
	for id := range s.lapsed {
		if e := s.known[id]; e != nil && e.missing && gone[EndpointHash(e.Key())] {
			s.depart(now, e, Confirmed)
			removed++
		}
	}
	return removed
}
