package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// ConvictionLevel is the number of generations from which a request is no longer sent. One
	// generation is usual for every request that shares an endpoint with a poison request, and two
	// for some whose callers retry at once. Users tolerate three terminations and a few attempts
	// after them.
	ConvictionLevel = 3
	// partExtraEnds is how many more incarnations must terminate under a part than under a request
	// for the same level: users tolerate five terminations, and sound requests share the part.
	partExtraEnds = 2
	// quarantineLevel is the number of possible generations from which a request is quarantined,
	// provided that at least one of them certainly terminated an endpoint. Broken connections alone
	// quarantine no request.
	quarantineLevel = 2
	// maxEntries bounds the number of tracked requests, at about half a megabyte. One termination of
	// an endpoint adds a dozen entries. An attacker who keeps sending new bodies that crash
	// endpoints needs a twelfth of maxEntries terminations to evict a suspect, and three times
	// maxEntries to evict a convicted request.
	maxEntries = 1024
	// maxSightings bounds the sightings per request; three convict.
	maxSightings = 8
	// cutTTL is how long an unconfirmed cut is kept. The registry drops a silent incarnation after
	// three heartbeats of about a second, and VMs read the registry every one or two seconds.
	cutTTL = 10 * time.Second
	// suspectTTL is how long a suspect is kept after its last sighting. It covers jobs that run
	// hourly.
	suspectTTL = time.Hour
	// convictedTTL is how long a convicted request is kept after its last sighting. It covers daily
	// jobs. Afterwards an endpoint that has been fixed gets the request again; if it has not been
	// fixed, three must terminate again.
	convictedTTL = 24 * time.Hour
	// exemptFor is how long after a complete response a request is exempt from suspicion at this VM,
	// whatever is cut off. Copies of a page that many callers read run at every endpoint. When
	// another request crashes all engines of a service, the page reaches three generations before
	// a response can clear it, and would be refused to everyone.
	exemptFor = 10 * time.Second
	// exemptPartFor is exemptFor of the parts of a request that got a successful response. Parts are
	// shared by requests that come rarely at each VM.
	exemptPartFor = 30 * time.Second
	// maxExempt and maxExemptParts bound the number of exempt requests and parts, and so the memory
	// they take. Ever new requests push out requests only, and ever new parts only parts.
	maxExempt      = 2048
	maxExemptParts = 4096
)

// Tracker holds what one VM knows of suspect requests and parts of prompts. It is not safe for
// concurrent use. Times are those of the VM's process and are never compared with another VM's.
type Tracker struct {
	entries  map[Digest]*entry
	released map[Digest]bool
	// watched are the incarnations with sightings that still count, which may have terminated. It
	// is rebuilt when watchedStale is set.
	watched      map[uint64]bool
	watchedStale bool
	// firstCutAt is when a request was first cut off at an incarnation that has not responded
	// since.
	firstCutAt map[uint64]time.Duration
	// terminatedAt is when an incarnation was found to have terminated, here or at another VM, and has
	// not responded since. It is kept for cutTTL.
	terminatedAt map[uint64]time.Duration
	// exempt and exemptParts map each request that got a complete response at this VM, and each
	// part of those that were successful, to the time of it.
	exempt, exemptParts *simplelru.LRU[Digest, time.Duration]
	// services holds the services that responded or cut off requests lately.
	services map[string]*serviceHistory
	changes  []Change
	// cursor is where the next NextInRotation begins.
	cursor Digest
}

// New returns an empty tracker.
func New() *Tracker {
	// NewLRU fails only if the size is not positive.
	exempt, _ := simplelru.NewLRU[Digest, time.Duration](maxExempt, nil)
	exemptParts, _ := simplelru.NewLRU[Digest, time.Duration](maxExemptParts, nil)
	return &Tracker{
		entries: make(map[Digest]*entry), released: make(map[Digest]bool), watched: make(map[uint64]bool),
		firstCutAt: make(map[uint64]time.Duration), terminatedAt: make(map[uint64]time.Duration), exempt: exempt, exemptParts: exemptParts, services: make(map[string]*serviceHistory),
	}
}

// Len returns the number of tracked requests and parts.
func (t *Tracker) Len() int { return len(t.entries) }

// SetReleased replaces the set of requests that an operator has released, which run whatever is
// known against them.
func (t *Tracker) SetReleased(list []Digest) {
	clear(t.released)
	for _, d := range list {
		t.released[d] = true
	}
}

// Status returns what is known against a request. It must be consulted before each attempt,
// before any byte of the request is sent.
func (t *Tracker) Status(d Digest) Status {
	v := Status{Digest: d}
	if e := t.entries[d]; e != nil {
		v = e.status()
	}
	v.Released = t.released[d]
	return v
}

// RecordCut records that a copy of a request, sent at the given time, was cut off at an
// incarnation. generation is the Generation of Status when the copy was sent.
//
// It ignores a copy that was sent after another had been cut off there, with no response since:
// such a copy met an endpoint that had already terminated. Behind a relay, connections to such
// an endpoint still open, and then break.
func (t *Tracker) RecordCut(now, sent time.Duration, d Digest, endpoint uint64, generation int) {
	t.recordCut(now, sent, d, endpoint, generation, false)
}

// RecordUnverifiedCut is RecordCut for an incarnation that may have terminated before this process
// started: behind a relay, connections to it still open. The sighting stays at this VM, and is
// dropped if the incarnation turns out to be gone without a sign that it lived at the time of the
// cut.
func (t *Tracker) RecordUnverifiedCut(now, sent time.Duration, d Digest, endpoint uint64, generation int) {
	t.recordCut(now, sent, d, endpoint, generation, true)
}

func (t *Tracker) recordCut(now, sent time.Duration, d Digest, endpoint uint64, generation int, unverified bool) {
	if sent > t.recordFirstCut(now, endpoint) {
		return
	}
	if t.isExempt(now, d) {
		return
	}
	e := t.ensureEntry(now, d)
	e.lastSighting = now
	cut := Sighting{Endpoint: endpoint, Generation: generation + 1}
	if s := e.sightings[endpoint]; s != nil && !s.relevant(e.cleared) {
		// The incarnation responded after an earlier cut; this cut is a later one.
		cut.Generation = max(cut.Generation, s.Generation+1)
	}
	known := e.sightings[endpoint] != nil
	t.mergeSighting(now, d, e, cut)
	if s := e.sightings[endpoint]; s != nil && !known {
		s.unverified = unverified
	}
}

// RecordEnd records that an incarnation terminated without announcing that it leaves, and that it
// was alive until then.
func (t *Tracker) RecordEnd(now time.Duration, endpoint uint64) {
	t.RecordAlive(now, endpoint)
	t.updateSightings(now, endpoint, func(s *sighting) Sighting {
		return Sighting{Endpoint: endpoint, Generation: s.Generation, EndedAt: s.Generation}
	})
	t.terminatedAt[endpoint] = now
	t.blamePartsAt(now, endpoint)
}

// RecordAlive records that an incarnation was alive when requests were cut off there, as far as that
// was not known.
func (t *Tracker) RecordAlive(now time.Duration, endpoint uint64) {
	if !t.Watched(endpoint) {
		return
	}
	for d, e := range t.entries {
		if s := e.sightings[endpoint]; s != nil && s.unverified {
			s.unverified = false
			e.changedAt = now
			t.recordChange(d, e)
		}
	}
}

// Unverified returns the incarnations of which it is not known whether they were alive when requests
// were cut off there, n at most.
func (t *Tracker) Unverified(n int) []uint64 {
	var list []uint64
	for _, e := range t.entries {
		for endpoint, s := range e.sightings {
			if s.unverified && len(list) < n && !slices.Contains(list, endpoint) {
				list = append(list, endpoint)
			}
		}
	}
	return list
}

// RecordGone records that an incarnation has terminated, at an unknown time, without announcing
// that it leaves.
func (t *Tracker) RecordGone(now time.Duration, endpoint uint64) {
	for _, e := range t.entries {
		if s := e.sightings[endpoint]; s != nil && s.unverified {
			delete(e.sightings, endpoint)
			t.watchedStale = true
		}
	}
	t.RecordEnd(now, endpoint)
}

// RecordLeaving records that an incarnation announced that it leaves. Earlier cuts there have
// another cause, since it survived them.
func (t *Tracker) RecordLeaving(now time.Duration, endpoint uint64) {
	delete(t.firstCutAt, endpoint)
	delete(t.terminatedAt, endpoint)
	t.updateSightings(now, endpoint, func(s *sighting) Sighting { return s.asAlive() })
}

// RecordResponse records that an incarnation began to respond to a request that was sent at the
// given time. Earlier cuts there have another cause.
func (t *Tracker) RecordResponse(now, sent time.Duration, endpoint uint64) {
	if at, ok := t.firstCutAt[endpoint]; ok && at < sent {
		delete(t.firstCutAt, endpoint)
	}
	if at, ok := t.terminatedAt[endpoint]; ok && at < sent {
		delete(t.terminatedAt, endpoint)
	}
	t.updateSightings(now, endpoint, func(s *sighting) Sighting {
		if s.cutAt >= sent {
			return s.Sighting
		}
		return s.asAlive()
	})
}

// asAlive returns an update that marks the incarnation as alive after the cut.
func (s *sighting) asAlive() Sighting {
	return Sighting{Endpoint: s.Endpoint, Generation: s.Generation, AliveAt: s.Generation}
}

// updateSightings applies update to the sighting of each request that was cut off at an
// incarnation. Of a part it accepts no termination: blamePartsAt decides that.
func (t *Tracker) updateSightings(now time.Duration, endpoint uint64, update func(*sighting) Sighting) {
	if !t.Watched(endpoint) {
		return
	}
	for d, e := range t.entries {
		if s := e.sightings[endpoint]; s != nil {
			u := update(s)
			if d.IsPart() {
				u.EndedAt = s.EndedAt
			}
			t.mergeSighting(now, d, e, u)
		}
	}
}

// Watched reports whether sightings at an incarnation still count, so that it matters whether
// the incarnation has terminated.
func (t *Tracker) Watched(endpoint uint64) bool {
	if t.watchedStale {
		t.watchedStale = false
		t.rebuildWatched()
	}
	return t.watched[endpoint]
}

// RecordSuccess records that a request got a complete response from an endpoint, or that one with a
// part got a successful one.
func (t *Tracker) RecordSuccess(now time.Duration, d Digest) {
	t.exemptList(d).Add(d, now)
	if e := t.entries[d]; e != nil && e.clear() {
		e.changedAt = now
		t.recordChange(d, e)
		t.watchedStale = true
	}
}

// exemptList returns the list of exempt requests, or that of exempt parts.
func (t *Tracker) exemptList(d Digest) *simplelru.LRU[Digest, time.Duration] {
	if d.IsPart() {
		return t.exemptParts
	}
	return t.exempt
}

// isExempt reports whether a request or part got a complete response at this VM lately.
func (t *Tracker) isExempt(now time.Duration, d Digest) bool {
	ttl := exemptFor
	if d.IsPart() {
		ttl = exemptPartFor
	}
	at, ok := t.exemptList(d).Peek(d)
	return ok && now-at < ttl
}

// Merge merges a record received from another VM or read from the store, and reports whether it
// contained anything new.
func (t *Tracker) Merge(now time.Duration, r Record) bool {
	if !plausible(r) {
		return false
	}
	changed := t.entries[r.Digest] == nil
	if changed && r.Age >= ttlOf(r) {
		return false
	}
	at := now - r.Age
	e := t.ensureEntry(at, r.Digest)
	e.lastSighting = max(e.lastSighting, at)
	clears := r.Cleared > e.cleared
	if clears {
		e.cleared, changed = r.Cleared, true
	}
	var terminated []uint64
	for _, s := range r.Sightings {
		if e.mergeSighting(now, s) {
			changed = true
			if s.Generation > s.AliveAt {
				t.recordFirstCut(now, s.Endpoint)
			}
			if s.ended() {
				terminated = append(terminated, s.Endpoint)
			}
		}
		if known := e.sightings[s.Endpoint]; known != nil {
			known.unverified = false
		}
	}
	// A response that another VM got to a part counts as one that this VM got.
	if clears && r.Digest.IsPart() && e.status().Cuts == 0 {
		t.exemptParts.Add(r.Digest, now)
	}
	// A request or part gets responses at one VM while copies are cut off at another.
	if t.isExempt(now, r.Digest) && e.clear() {
		changed = true
	}
	if !changed {
		return false
	}
	e.changedAt = now
	t.recordChange(r.Digest, e)
	t.watchedStale = true
	for _, endpoint := range terminated {
		if _, known := t.terminatedAt[endpoint]; !known {
			t.terminatedAt[endpoint] = now
			t.blamePartsAt(now, endpoint)
		}
	}
	if r.Digest.IsPart() {
		t.blame(now, e)
	}
	return true
}

// recordFirstCut records a cut at an incarnation, seen here or at another VM, and returns the
// time of the first cut since the incarnation last responded.
func (t *Tracker) recordFirstCut(now time.Duration, endpoint uint64) time.Duration {
	at, ok := t.firstCutAt[endpoint]
	if !ok {
		at = now
		t.firstCutAt[endpoint] = at
	}
	return at
}

// maxGeneration bounds the generations accepted from other VMs. It is far above what a request
// can reach in its lifetime.
const maxGeneration = 1 << 20

// plausible reports whether a record is consistent. A corrupt one could convict a request, or
// clear it for ever.
func plausible(r Record) bool {
	if r.Digest == (Digest{}) || r.Age < 0 || r.Cleared < 0 || r.Cleared > maxGeneration || len(r.Sightings) > maxSightings {
		return false
	}
	return !slices.ContainsFunc(r.Sightings, func(s Sighting) bool {
		return s.Generation < 1 || s.Generation > maxGeneration || s.EndedAt > s.Generation || s.AliveAt > s.Generation || s.EndedAt < 0 || s.AliveAt < 0
	})
}

// ttlOf returns how long a record is kept after its last sighting.
func ttlOf(r Record) time.Duration {
	e := entry{digest: r.Digest, sightings: make(map[uint64]*sighting, len(r.Sightings)), cleared: r.Cleared}
	for _, s := range r.Sightings {
		e.sightings[s.Endpoint] = &sighting{Sighting: s}
	}
	return e.ttl()
}

func (e *entry) ttl() time.Duration {
	switch v := e.status(); {
	case v.Level >= ConvictionLevel:
		return convictedTTL
	case v.Ends > 0:
		return suspectTTL
	default:
		return cutTTL
	}
}

// ensureEntry returns the entry of a request or part. If there is none it adds one whose last sighting was
// at the given time, and evicts another if the tracker is full.
func (t *Tracker) ensureEntry(at time.Duration, d Digest) *entry {
	e := t.entries[d]
	if e == nil {
		if len(t.entries) >= maxEntries {
			t.evict(t.evictionCandidate())
		}
		e = &entry{digest: d, sightings: make(map[uint64]*sighting), lastSighting: at}
		t.entries[d] = e
	}
	return e
}

// evictionCandidate returns the least important request.
func (t *Tracker) evictionCandidate() Digest {
	var least Digest
	var leastEntry *entry
	for d, e := range t.entries {
		if leastEntry == nil || lessImportant(e, leastEntry) {
			least, leastEntry = d, e
		}
	}
	return least
}

func lessImportant(a, b *entry) bool {
	va, vb := a.status(), b.status()
	return cmp.Or(compareBool(va.Level >= ConvictionLevel, vb.Level >= ConvictionLevel), cmp.Compare(va.Ends, vb.Ends),
		cmp.Compare(va.PossibleLevel, vb.PossibleLevel), cmp.Compare(a.lastSighting, b.lastSighting)) < 0
}

func (t *Tracker) mergeSighting(now time.Duration, d Digest, e *entry, s Sighting) {
	if e.mergeSighting(now, s) {
		e.changedAt = now
		t.recordChange(d, e)
		t.watchedStale = true
	}
}

// rebuildWatched recomputes watched.
func (t *Tracker) rebuildWatched() {
	clear(t.watched)
	for _, e := range t.entries {
		for endpoint, s := range e.sightings {
			if s.relevant(e.cleared) {
				t.watched[endpoint] = true
			}
		}
	}
}

// Expire removes sightings, requests and parts whose TTL has passed.
func (t *Tracker) Expire(now time.Duration) {
	for name, h := range t.services {
		if h.expire(now); h.empty() {
			delete(t.services, name)
		}
	}
	for d, e := range t.entries {
		for endpoint, s := range e.sightings {
			if !s.ended() && s.relevant(e.cleared) && now-s.cutAt >= cutTTL {
				delete(e.sightings, endpoint)
			}
		}
		if now-e.lastSighting >= e.ttl() {
			t.evict(d)
		}
	}
	old := func(_ uint64, at time.Duration) bool { return now-at >= cutTTL }
	maps.DeleteFunc(t.firstCutAt, old)
	maps.DeleteFunc(t.terminatedAt, old)
	t.watchedStale = true
}

func (t *Tracker) evict(d Digest) {
	if e := t.entries[d]; e.reportedLevel > 0 {
		t.changes = append(t.changes, Change{Digest: d, Kind: Forgotten, PreviousLevel: e.reportedLevel})
	}
	delete(t.entries, d)
}
