// Package members keeps the endpoints that the platform's registry lists, and
// decides which of them may get new requests. It is pure: changes and the time
// come in, and the list for each service is derived.
package members

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is one incarnation of a server of a service.
type Endpoint struct {
	ID string
	// Born is when this incarnation started, in ms since 1970 by its own clock; 0 if it
	// does not say. Another start under the same id is another incarnation.
	Born          int64
	Service       string
	Address       string
	FailureDomain string
	// Version is that of the software it runs.
	Version string
	Slots   int
	Leaving bool
	// SlowStart is how much longer the endpoint stays slow after its start.
	SlowStart time.Duration
	// Trial says that it gets only requests that are chosen to try its version.
	Trial bool
}

// Key names the incarnation: what is known of one, connections included, says nothing
// of the next.
func (e *Endpoint) Key() string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.Born, 10)
}

// NameOf is the short name by which VMs tell each other of an incarnation, from its key.
func NameOf(key string) uint64 { return xxhash.Sum64String(key) }

// Change is one record of the registry: an endpoint, or its removal.
type Change struct {
	ID       string
	Endpoint *Endpoint
	// Unreadable says that the record names no endpoint that could be understood.
	Unreadable bool
	// Written is one more than the record's offset in the registry; 0 if that is not known.
	Written uint64
}

// returnGrace is how long after the registry's return an entry that lapsed
// while it was away may stay missing. The registry promises live entries back
// within about two seconds.
const returnGrace = 2500 * time.Millisecond

// Set is the endpoints known to one VM.
type Set struct {
	known map[string]*entry
	// away says that the registry cannot be read, returned is when it last came back;
	// lapsed entries are kept until returnGrace after it.
	away      bool
	returned  time.Duration
	everAway  bool
	byService map[string][]*Endpoint
	// names are the short names of those known; nil if they changed.
	names   map[uint64]bool
	version uint64
	// latest is the last start known of each id, also of those that are gone: a record
	// of an earlier incarnation may come late, from a VM that lags.
	latest     map[string]int64
	departures []Departure
	// departed are incarnations that are gone, by id. A registry that comes back from a copy
	// lists them again, as they were some seconds ago.
	departed map[string]departed
	// left are the incarnations that said themselves that they leave, by their short names.
	left map[uint64]bool
	// copies is how often it did, copied when it last did.
	copies int
	copied time.Duration
}

// departed is an incarnation that is gone.
type departed struct {
	key string
	// copies is how many copies there had been.
	copies int
	// listedIn is the copy that was first seen to list it again, by number, and written where
	// that lists it.
	listedIn int
	written  uint64
}

// Departure is an incarnation that may not get requests any more.
type Departure struct {
	Key string
	// Leaving says that it said so itself; else it is gone without a word.
	Leaving bool
}

// copyLists is how long after the registry came back from a copy a record whose offset is not known
// may be the copy's: the registry drops what is silent for three heartbeats.
const copyLists = 10 * time.Second

// mostLatest bounds the starts kept of ids that are gone: beyond it those are dropped,
// which are long past any late record.
const mostLatest = 4096

type entry struct {
	Endpoint
	// missing entries are not in the registry any more, and are dropped at
	// expires unless they come back.
	missing bool
	expires time.Duration
	// warmAt is when the incarnation is no longer slow after its start.
	warmAt time.Duration
}

// New returns an empty set.
func New() *Set {
	return &Set{known: make(map[string]*entry), latest: make(map[string]int64), departed: make(map[string]departed), left: make(map[uint64]bool)}
}

// Leave says that an incarnation has said itself that it leaves, by its short name. The registry may not
// list it yet, lag, or come back from a copy.
func (s *Set) Leave(name uint64) {
	s.left[name] = true
	for _, e := range s.known {
		if !e.Leaving && NameOf(e.Key()) == name {
			e.Leaving = true
			s.departures = append(s.departures, Departure{Key: e.Key(), Leaving: true})
			s.changed()
		}
	}
}

// ForgetLeft ends what Leave said of an incarnation that is gone.
func (s *Set) ForgetLeft(name uint64) { delete(s.left, name) }

// Version grows whenever the usable endpoints change.
func (s *Set) Version() uint64 { return s.version }

// Away says that the registry cannot be read.
func (s *Set) Away() { s.away, s.everAway = true, true }

// Back says that the registry can be read again.
func (s *Set) Back(now time.Duration) {
	if s.away {
		s.away, s.returned = false, now
	}
}

// Apply takes in one record of the registry that was written since the last.
func (s *Set) Apply(now time.Duration, c Change) {
	delete(s.departed, c.ID)
	s.apply(now, c)
}

func (s *Set) apply(now time.Duration, c Change) {
	if c.Unreadable {
		s.drop(c.ID)
		return
	}
	if c.Endpoint == nil {
		s.remove(now, c.ID)
		return
	}
	if c.Endpoint.Born < s.latest[c.ID] {
		return
	}
	old := s.known[c.ID]
	e := *c.Endpoint
	e.Leaving = e.Leaving || s.left[NameOf(e.Key())]
	if old != nil && !old.missing && old.Endpoint == e {
		return
	}
	if old != nil && old.Leaving && old.Born == e.Born {
		// An endpoint that leaves never comes back as the same incarnation; a
		// registry that lags could say so, and requests would be cut off.
		e.Leaving = true
	}
	switch {
	case old == nil:
	case old.Key() != e.Key():
		s.depart(old)
	case e.Leaving && !old.Leaving:
		s.departures = append(s.departures, Departure{Key: e.Key(), Leaving: true})
	}
	warmAt := now + e.SlowStart
	if old != nil && old.Key() == e.Key() {
		warmAt = old.warmAt
	}
	s.known[c.ID] = &entry{Endpoint: e, warmAt: warmAt}
	s.remember(e)
	s.changed()
}

// remember keeps the start of an incarnation.
func (s *Set) remember(e Endpoint) {
	if e.Born == 0 {
		return
	}
	s.latest[e.ID] = e.Born
	if len(s.latest) <= mostLatest+len(s.known) {
		return
	}
	for id := range s.latest {
		if s.known[id] == nil {
			delete(s.latest, id)
		}
	}
}

// drop forgets an entry whose record cannot be understood any more: another writer has
// its place, and what stood there before may be gone.
func (s *Set) drop(id string) {
	if s.known[id] == nil {
		return
	}
	delete(s.known, id)
	s.changed()
}

// Restore says that the registry came back from a copy of itself that is some seconds old. What
// was known outlasts it: an incarnation that left stays out though it is listed again, and one
// that lives is used though it is missing, until it has had time to be listed again, as after an
// outage. What is there follows by Replace or ApplyCopied.
func (s *Set) Restore(now time.Duration) {
	s.away, s.everAway, s.returned = false, true, now
	s.copied = now
	s.copies++
}

// listedByCopy says whether a record is of an incarnation that was gone before the last copy, as
// that still lists it. What the incarnation writes itself since then lies at a later offset.
func (s *Set) listedByCopy(now time.Duration, c Change) bool {
	d, ok := s.departed[c.ID]
	if !ok || c.Endpoint == nil || d.key != c.Endpoint.Key() || d.copies == s.copies {
		return false
	}
	if c.Written == 0 {
		return now < s.copied+copyLists
	}
	if d.listedIn != s.copies {
		d.listedIn, d.written = s.copies, c.Written
		s.departed[c.ID] = d
	}
	return c.Written <= d.written
}

// ApplyCopied takes in a record that may be as old as the copy from which the registry came back.
func (s *Set) ApplyCopied(now time.Duration, c Change) {
	if !s.listedByCopy(now, c) {
		s.apply(now, c)
	}
}

// Replace takes in the whole registry: what is not in list was removed.
func (s *Set) Replace(now time.Duration, list []Change) {
	present := make(map[string]bool, len(list))
	for _, c := range list {
		if c.Endpoint != nil {
			present[c.ID] = true
		}
		s.ApplyCopied(now, c)
	}
	for id := range s.known {
		if !present[id] {
			s.remove(now, id)
		}
	}
}

// remove handles an entry that is gone from the registry. While the registry
// was away entries lapse though the endpoints live; taking them all for gone
// would leave nothing to serve with, so they stay in use until the registry has
// had time to list them again.
func (s *Set) remove(now time.Duration, id string) {
	e := s.known[id]
	if e == nil || e.missing {
		return
	}
	if !e.Leaving && s.everAway && (s.away || now < s.returned+returnGrace) {
		e.missing = true
		e.expires = s.returned + returnGrace
		if s.away {
			e.expires = now + returnGrace
		}
		return
	}
	s.depart(e)
	delete(s.known, id)
	s.changed()
}

// depart notes that an incarnation is gone. One that was leaving was noted then.
func (s *Set) depart(e *entry) {
	s.departed[e.ID] = departed{key: e.Key(), copies: s.copies}
	if len(s.departed) > mostLatest {
		clear(s.departed)
	}
	if !e.Leaving {
		s.departures = append(s.departures, Departure{Key: e.Key()})
	}
}

// Departures returns the incarnations that departed since the last call.
func (s *Set) Departures() []Departure {
	list := s.departures
	s.departures = nil
	return list
}

// Lists says whether an incarnation is known, by its short name, also one that leaves.
func (s *Set) Lists(name uint64) bool {
	if s.names == nil {
		s.names = make(map[uint64]bool, len(s.known))
		for _, e := range s.known {
			s.names[NameOf(e.Key())] = true
		}
	}
	return s.names[name]
}

// Serving says whether the registry lists an incarnation that does not leave.
func (s *Set) Serving(e *Endpoint) bool {
	known := s.known[e.ID]
	return known != nil && known.Key() == e.Key() && !known.Leaving
}

// Cold says whether an incarnation is still slow after its start.
func (s *Set) Cold(now time.Duration, e *Endpoint) bool {
	known := s.known[e.ID]
	return known != nil && known.Key() == e.Key() && now < known.warmAt
}

// Expire drops lapsed entries that did not come back in time.
func (s *Set) Expire(now time.Duration) {
	for id, e := range s.known {
		if e.missing && !s.away && now >= e.expires && now >= s.returned+returnGrace {
			s.depart(e)
			delete(s.known, id)
			s.changed()
		}
	}
}

func (s *Set) changed() {
	s.version++
	s.byService, s.names = nil, nil
}

// Usable returns the endpoints of a service that may get new requests, by id.
// The slice must not be changed.
func (s *Set) Usable(service string) []*Endpoint {
	if s.byService == nil {
		s.index()
	}
	return s.byService[service]
}

func (s *Set) index() {
	s.byService = make(map[string][]*Endpoint)
	for _, e := range s.known {
		if e.Leaving {
			continue
		}
		ep := e.Endpoint
		s.byService[e.Service] = append(s.byService[e.Service], &ep)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
}
