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
	// Canary says that it gets only requests that are chosen to try its version.
	Canary bool
}

// Key names the incarnation: what is known of one, connections included, says nothing
// of the next.
func (e *Endpoint) Key() string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.Born, 10)
}

// KeyHash is the short name by which VMs tell each other of an incarnation, from its key.
func KeyHash(key string) uint64 { return xxhash.Sum64String(key) }

// Change is one record of the registry: an endpoint, or its removal.
type Change struct {
	ID       string
	Endpoint *Endpoint
	// Unreadable says that the record names no endpoint that could be understood.
	Unreadable bool
	// Written is one more than the record's offset in the registry; 0 if that is not known.
	Written uint64
}

// relistGrace is how long after the registry's return an entry that lapsed
// while it was away may stay missing. The registry promises live entries back
// within about two seconds.
const relistGrace = 2500 * time.Millisecond

// Set is the endpoints known to one VM.
type Set struct {
	known map[string]*entry
	// unavailable says that the registry cannot be read, returned is when it last came back;
	// lapsed entries are kept until returnGrace after it.
	unavailable     bool
	availableSince  time.Duration
	everUnavailable bool
	byService       map[string][]*Endpoint
	// keyHashes are the short keyHashes of those known; nil if they changed.
	keyHashes map[uint64]bool
	version   uint64
	// latestBorn is the last start known of each id, also of those that are gone: a record
	// of an earlier incarnation may come late, from a VM that lags.
	latestBorn map[string]int64
	departures []Departure
	// tombstones are incarnations that are gone, by id. A registry that comes back from a copy
	// lists them again, as they were some seconds ago.
	tombstones map[string]tombstone
	// announcedLeaving are the incarnations that said themselves that they leave, by their short names.
	announcedLeaving map[uint64]bool
	// restores is how often it did, copied when it last did.
	restores   int
	restoredAt time.Duration
}

// tombstone is an incarnation that is gone.
type tombstone struct {
	key string
	// restores is how many restores there had been.
	restores int
	// relistedIn is the copy that was first seen to list it again, by number, and written where
	// that lists it.
	relistedIn int
	written    uint64
}

// Departure is an incarnation that may not get requests any more.
type Departure struct {
	Key string
	// Leaving says that it said so itself; else it is gone without a word.
	Leaving bool
}

// backupListWindow is how long after the registry came back from a copy a record whose offset is not known
// may be the copy's: the registry drops what is silent for three heartbeats.
const backupListWindow = 10 * time.Second

// maxGoneIDs bounds the starts kept of ids that are gone: beyond it those are dropped,
// which are long past any late record.
const maxGoneIDs = 4096

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
	return &Set{known: make(map[string]*entry), latestBorn: make(map[string]int64), tombstones: make(map[string]tombstone), announcedLeaving: make(map[uint64]bool)}
}

// MarkLeaving says that an incarnation has said itself that it leaves, by its short name. The registry may not
// list it yet, lag, or come back from a copy.
func (s *Set) MarkLeaving(hash uint64) {
	s.announcedLeaving[hash] = true
	for _, e := range s.known {
		if !e.Leaving && KeyHash(e.Key()) == hash {
			e.Leaving = true
			s.departures = append(s.departures, Departure{Key: e.Key(), Leaving: true})
			s.invalidate()
		}
	}
}

// ClearLeaving ends what Leave said of an incarnation that is gone.
func (s *Set) ClearLeaving(hash uint64) { delete(s.announcedLeaving, hash) }

// Version grows whenever the usable endpoints change.
func (s *Set) Version() uint64 { return s.version }

// MarkRegistryUnavailable says that the registry cannot be read.
func (s *Set) MarkRegistryUnavailable() { s.unavailable, s.everUnavailable = true, true }

// MarkRegistryAvailable says that the registry can be read again.
func (s *Set) MarkRegistryAvailable(now time.Duration) {
	if s.unavailable {
		s.unavailable, s.availableSince = false, now
	}
}

// Apply takes in one record of the registry that was written since the last.
func (s *Set) Apply(now time.Duration, c Change) {
	delete(s.tombstones, c.ID)
	s.apply(now, c)
}

func (s *Set) apply(now time.Duration, c Change) {
	if c.Unreadable {
		s.dropUnreadable(c.ID)
		return
	}
	if c.Endpoint == nil {
		s.remove(now, c.ID)
		return
	}
	if c.Endpoint.Born < s.latestBorn[c.ID] {
		return
	}
	old := s.known[c.ID]
	e := *c.Endpoint
	e.Leaving = e.Leaving || s.announcedLeaving[KeyHash(e.Key())]
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
		s.recordDeparture(old)
	case e.Leaving && !old.Leaving:
		s.departures = append(s.departures, Departure{Key: e.Key(), Leaving: true})
	}
	warmAt := now + e.SlowStart
	if old != nil && old.Key() == e.Key() {
		warmAt = old.warmAt
	}
	s.known[c.ID] = &entry{Endpoint: e, warmAt: warmAt}
	s.recordBorn(e)
	s.invalidate()
}

// recordBorn keeps the start of an incarnation.
func (s *Set) recordBorn(e Endpoint) {
	if e.Born == 0 {
		return
	}
	s.latestBorn[e.ID] = e.Born
	if len(s.latestBorn) <= maxGoneIDs+len(s.known) {
		return
	}
	for id := range s.latestBorn {
		if s.known[id] == nil {
			delete(s.latestBorn, id)
		}
	}
}

// dropUnreadable forgets an entry whose record cannot be understood any more: another writer has
// its place, and what stood there before may be gone.
func (s *Set) dropUnreadable(id string) {
	if s.known[id] == nil {
		return
	}
	delete(s.known, id)
	s.invalidate()
}

// MarkRegistryRestored says that the registry came back from a copy of itself that is some seconds old. What
// was known outlasts it: an incarnation that left stays out though it is listed again, and one
// that lives is used though it is missing, until it has had time to be listed again, as after an
// outage. What is there follows by Replace or ApplyCopied.
func (s *Set) MarkRegistryRestored(now time.Duration) {
	s.unavailable, s.everUnavailable, s.availableSince = false, true, now
	s.restoredAt = now
	s.restores++
}

// listedByBackup says whether a record is of an incarnation that was gone before the last copy, as
// that still lists it. What the incarnation writes itself since then lies at a later offset.
func (s *Set) listedByBackup(now time.Duration, c Change) bool {
	d, ok := s.tombstones[c.ID]
	if !ok || c.Endpoint == nil || d.key != c.Endpoint.Key() || d.restores == s.restores {
		return false
	}
	if c.Written == 0 {
		return now < s.restoredAt+backupListWindow
	}
	if d.relistedIn != s.restores {
		d.relistedIn, d.written = s.restores, c.Written
		s.tombstones[c.ID] = d
	}
	return c.Written <= d.written
}

// ApplyRestored takes in a record that may be as old as the copy from which the registry came back.
func (s *Set) ApplyRestored(now time.Duration, c Change) {
	if !s.listedByBackup(now, c) {
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
		s.ApplyRestored(now, c)
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
	if !e.Leaving && s.everUnavailable && (s.unavailable || now < s.availableSince+relistGrace) {
		e.missing = true
		e.expires = s.availableSince + relistGrace
		if s.unavailable {
			e.expires = now + relistGrace
		}
		return
	}
	s.recordDeparture(e)
	delete(s.known, id)
	s.invalidate()
}

// recordDeparture notes that an incarnation is gone. One that was leaving was noted then.
func (s *Set) recordDeparture(e *entry) {
	s.tombstones[e.ID] = tombstone{key: e.Key(), restores: s.restores}
	if len(s.tombstones) > maxGoneIDs {
		clear(s.tombstones)
	}
	if !e.Leaving {
		s.departures = append(s.departures, Departure{Key: e.Key()})
	}
}

// TakeDepartures returns the incarnations that departed since the last call.
func (s *Set) TakeDepartures() []Departure {
	list := s.departures
	s.departures = nil
	return list
}

// Contains says whether an incarnation is known, by its short name, also one that leaves.
func (s *Set) Contains(hash uint64) bool {
	if s.keyHashes == nil {
		s.keyHashes = make(map[uint64]bool, len(s.known))
		for _, e := range s.known {
			s.keyHashes[KeyHash(e.Key())] = true
		}
	}
	return s.keyHashes[hash]
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
		if e.missing && !s.unavailable && now >= e.expires && now >= s.availableSince+relistGrace {
			s.recordDeparture(e)
			delete(s.known, id)
			s.invalidate()
		}
	}
}

func (s *Set) invalidate() {
	s.version++
	s.byService, s.keyHashes = nil, nil
}

// Usable returns the endpoints of a service that may get new requests, by id.
// The slice must not be changed.
func (s *Set) Usable(service string) []*Endpoint {
	if s.byService == nil {
		s.buildIndex()
	}
	return s.byService[service]
}

func (s *Set) buildIndex() {
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
