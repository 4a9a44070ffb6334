package members

import "time"

// relistGrace is how long after the registry becomes available again an entry that
// lapsed during the outage may stay missing. The registry promises to list live
// endpoints again within about two seconds.
const relistGrace = 2500 * time.Millisecond

// MarkRegistryUnavailable records that the registry cannot be read.
func (s *Set) MarkRegistryUnavailable() { s.unavailable, s.keepRemoved = true, true }

// MarkRegistryAvailable records that the registry can be read again. The records before the offset
// known were applied before.
func (s *Set) MarkRegistryAvailable(now time.Duration, known uint64) {
	if !s.unavailable {
		return
	}
	s.unavailable = false
	s.graceEnd = now + relistGrace
	s.gap = gap{known: known, changed: make(map[string]change)}
	s.keepRemoved = true
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
	inGrace := s.unavailable || now < s.graceEnd
	if !e.Leaving && inGrace && s.keepRemoved {
		e.missing = true
		s.lapsed[id] = true
		e.expires = s.graceEnd
		if s.unavailable {
			e.expires = now + relistGrace
		}
		return
	}
	cause := Listed
	if inGrace {
		cause = Unseen
	}
	s.depart(now, e, cause)
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
		if !s.unavailable && now >= e.expires {
			s.depart(now, e, Lapsed)
		}
	}
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
