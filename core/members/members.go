// Package members tracks the endpoints that the platform's registry lists, and
// decides which of them may get new requests. It performs no I/O: registry records and
// the current time are passed in, and the list for each service is derived.
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
	// Born is the start time of this incarnation in ms since 1970, by its own clock; 0 if
	// unknown. Another start under the same id is another incarnation.
	Born          int64
	Service       string
	Address       string
	FailureDomain string
	// Version is the version of the software it runs.
	Version string
	Slots   int
	Leaving bool
	// SlowStart is how much longer the endpoint stays slow after its start.
	SlowStart time.Duration
	// Canary endpoints only get requests that are chosen to test their version.
	Canary bool
}

// Key identifies the incarnation. State of one incarnation, such as its connections, does not
// apply to the next.
func (e *Endpoint) Key() string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.Born, 10)
}

// EndpointHash returns the hash by which VMs identify an incarnation in notes, from its key.
func EndpointHash(key string) uint64 { return xxhash.Sum64String(key) }

// Change is one record of the registry: an endpoint, or its removal.
type Change struct {
	ID       string
	Endpoint *Endpoint
	// Unreadable is set if no endpoint could be decoded from the record.
	Unreadable bool
	// Written is the record's offset in the registry plus one; 0 if unknown.
	Written uint64
}

// Set is the set of endpoints known to one VM.
type Set struct {
	known map[string]*entry
	// versionCounts counts the known endpoints by service and software version.
	versionCounts map[string]map[string]int
	// lapsed are the ids of entries that were missing at some time since they were last looked at.
	lapsed map[string]bool
	// unavailable is set while the registry cannot be read, graceEnd is relistGrace after it last became
	// readable again. Until then entries that are removed stay in use with keepRemoved, which depends on
	// what is read of the gap.
	unavailable bool
	graceEnd    time.Duration
	keepRemoved bool
	gap         gap
	byService   map[string][]*Endpoint
	// byHash maps endpoint hashes to the known incarnations; nil after a change.
	byHash  map[uint64]*Endpoint
	version uint64
	// latestBorn is the latest start known of each id, including ids that are gone. A record
	// of an earlier incarnation may arrive late, from a VM that lags.
	latestBorn map[string]int64
	departures []Departure
	// tombstones are the incarnations that are gone, by id. A registry restored from a backup
	// lists them again, in their state of some seconds ago.
	tombstones map[string]tombstone
	// announcedLeaving are the endpoint hashes of the incarnations that announced that they leave.
	announcedLeaving map[uint64]bool
	// restores counts the restores of the registry, restoredAt is the time of the last.
	restores   int
	restoredAt time.Duration
}

// tombstone marks an incarnation that is gone.
type tombstone struct {
	key string
	// at is when it was found gone.
	at time.Duration
	// restores is the number of restores that preceded its removal.
	restores int
	// relistedIn is the number of the restore after which it was first listed again, written
	// the Written of that record.
	relistedIn int
	written    uint64
}

// Departure is an incarnation that may no longer get requests.
type Departure struct {
	Key string
	// Leaving is set if it announced that it leaves; otherwise it vanished unannounced.
	Leaving bool
	// Cause tells how that became known.
	Cause Cause
}

// Cause is how the departure of an endpoint became known.
type Cause int

// Causes.
const (
	// Listed departures were read from the registry.
	Listed Cause = iota
	// Unseen departures happened while the registry could not be read.
	Unseen
	// Lapsed entries stayed missing until relistGrace was over.
	Lapsed
	// Confirmed departures were found by another VM.
	Confirmed
)

// String implements fmt.Stringer.
func (c Cause) String() string { return [...]string{"listed", "unseen", "lapsed", "confirmed"}[c] }

// maxGoneIDs bounds the ids that are gone in latestBorn, and the tombstones. What is dropped beyond
// it is older than any late record.
const maxGoneIDs = 4096

type entry struct {
	Endpoint
	// missing entries are no longer in the registry, and are dropped at expires
	// unless they are listed again.
	missing bool
	expires time.Duration
	// warmAt is when the incarnation is no longer slow after its start.
	warmAt time.Duration
}

// New returns an empty set.
func New() *Set {
	return &Set{known: make(map[string]*entry), versionCounts: make(map[string]map[string]int), lapsed: make(map[string]bool), latestBorn: make(map[string]int64), tombstones: make(map[string]tombstone), announcedLeaving: make(map[uint64]bool)}
}

// MarkLeaving records that an incarnation, given by its endpoint hash, has announced that it
// leaves. The registry may not list it yet, may lag, or may be restored from a backup.
func (s *Set) MarkLeaving(hash uint64) {
	s.announcedLeaving[hash] = true
	for _, e := range s.known {
		if !e.Leaving && EndpointHash(e.Key()) == hash {
			e.Leaving = true
			s.departures = append(s.departures, Departure{Key: e.Key(), Leaving: true})
			s.invalidate()
		}
	}
}

// ClearLeaving deletes the record of MarkLeaving for an incarnation that is gone.
func (s *Set) ClearLeaving(hash uint64) { delete(s.announcedLeaving, hash) }

// Version returns a number that increases whenever the usable endpoints change.
func (s *Set) Version() uint64 { return s.version }

// Apply applies one record that was written to the registry since the last one. A removal may come
// twice; only a listed endpoint ends the tombstone of its id.
func (s *Set) Apply(now time.Duration, c Change) {
	if c.Endpoint != nil {
		delete(s.tombstones, c.ID)
	}
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
	e.Leaving = e.Leaving || s.announcedLeaving[EndpointHash(e.Key())]
	if old != nil && !old.missing && old.Endpoint == e {
		return
	}
	if old != nil && old.Leaving && old.Born == e.Born {
		// A leaving incarnation never becomes ready again. A lagging registry could list it
		// as ready, and requests sent to it would be cut off.
		e.Leaving = true
	}
	switch {
	case old == nil:
	case old.Key() != e.Key():
		s.recordDeparture(now, old, Listed)
	case e.Leaving && !old.Leaving:
		s.departures = append(s.departures, Departure{Key: e.Key(), Leaving: true})
	}
	warmAt := now + e.SlowStart
	if old != nil && old.Key() == e.Key() {
		warmAt = old.warmAt
	}
	s.put(&entry{Endpoint: e, warmAt: warmAt})
	s.recordBorn(e)
	s.invalidate()
}

// recordBorn records the start of an incarnation.
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

// dropUnreadable removes an entry whose record has become unreadable. Another writer has
// replaced it, and the endpoint may be gone.
func (s *Set) dropUnreadable(id string) {
	if s.known[id] == nil {
		return
	}
	s.drop(id)
	s.invalidate()
}

// Replace applies the complete registry: endpoints that are not in list are removed.
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

// depart removes an entry whose incarnation is gone.
func (s *Set) depart(now time.Duration, e *entry, cause Cause) {
	s.recordDeparture(now, e, cause)
	s.drop(e.ID)
	s.invalidate()
}

// recordDeparture records that an incarnation is gone. One that was leaving has been reported before.
func (s *Set) recordDeparture(now time.Duration, e *entry, cause Cause) {
	s.tombstones[e.ID] = tombstone{key: e.Key(), at: now, restores: s.restores}
	if len(s.tombstones) > maxGoneIDs {
		clear(s.tombstones)
	}
	if !e.Leaving {
		s.departures = append(s.departures, Departure{Key: e.Key(), Cause: cause})
	}
}

// TakeDepartures returns the incarnations that departed since the last call.
func (s *Set) TakeDepartures() []Departure {
	list := s.departures
	s.departures = nil
	return list
}

// Contains reports whether an incarnation is known, by its endpoint hash. Leaving ones are
// included.
func (s *Set) Contains(hash uint64) bool { return s.Lookup(hash) != nil }

// Lookup returns a known incarnation by its endpoint hash, or nil. Leaving ones are included. It must
// not be modified.
func (s *Set) Lookup(hash uint64) *Endpoint {
	if s.byHash == nil {
		s.byHash = make(map[uint64]*Endpoint, len(s.known))
		for _, e := range s.known {
			s.byHash[EndpointHash(e.Key())] = &e.Endpoint
		}
	}
	return s.byHash[hash]
}

// Versions returns the software versions of the known endpoints by service. Leaving ones are included.
func (s *Set) Versions() map[string]map[string]bool {
	versions := make(map[string]map[string]bool, len(s.versionCounts))
	for service, counts := range s.versionCounts {
		versions[service] = make(map[string]bool, len(counts))
		for version := range counts {
			versions[service][version] = true
		}
	}
	return versions
}

// put adds or replaces an entry.
func (s *Set) put(e *entry) {
	s.drop(e.ID)
	s.known[e.ID] = e
	if s.versionCounts[e.Service] == nil {
		s.versionCounts[e.Service] = make(map[string]int)
	}
	s.versionCounts[e.Service][e.Version]++
}

// drop removes the entry of an id, if there is one.
func (s *Set) drop(id string) {
	e := s.known[id]
	if e == nil {
		return
	}
	delete(s.known, id)
	counts := s.versionCounts[e.Service]
	counts[e.Version]--
	if counts[e.Version] == 0 {
		delete(counts, e.Version)
	}
	if len(counts) == 0 {
		delete(s.versionCounts, e.Service)
	}
}

// Serving reports whether an incarnation is listed and not leaving.
func (s *Set) Serving(e *Endpoint) bool {
	known := s.known[e.ID]
	return known != nil && known.Key() == e.Key() && !known.Leaving
}

// Left reports whether an incarnation has announced that it leaves, or is no longer listed. One whose id a later
// incarnation has taken did not leave.
func (s *Set) Left(e *Endpoint) bool {
	known := s.known[e.ID]
	return known == nil || known.Key() == e.Key() && known.Leaving
}

// Cold reports whether an incarnation is still slow after its start.
func (s *Set) Cold(now time.Duration, e *Endpoint) bool {
	known := s.known[e.ID]
	return known != nil && known.Key() == e.Key() && now < known.warmAt
}

func (s *Set) invalidate() {
	s.version++
	s.byService, s.byHash = nil, nil
}

// Usable returns the endpoints of a service that may get new requests, ordered by id.
// The slice must not be modified.
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
