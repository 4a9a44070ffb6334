package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// ConvictionLevel is from how many generations on a request is not sent any more. One happens
	// to each neighbour of such a request, two to some whose callers send again at once;
	// the users allow three ends and few tries after them.
	ConvictionLevel = 3
	// trialLevel is from how many possible generations on a request is on trial, if one of them
	// surely ended an endpoint: cut links alone put nobody on trial.
	trialLevel = 2
	// maxEntries bounds the requests that are remembered, half a megabyte. One end of an
	// endpoint adds a dozen; an attacker who sends ever other bodies that end endpoints
	// needs as many ends as a dozenth of it to push out a suspect, and three times as many
	// as all of it to push out one that is convicted.
	maxEntries = 1024
	// maxSightings bounds what is kept of one request; three convict it.
	maxSightings = 8
	// cutTTL is how long a cut is kept of which nothing follows: the registry drops an
	// incarnation that fell silent after three heartbeats of a second or so, and VMs read
	// it each second or two.
	cutTTL = 10 * time.Second
	// suspectTTL is how long after the last sighting a suspect is remembered: jobs that run
	// hourly come again within it.
	suspectTTL = time.Hour
	// convictedTTL is the same for convicted ones: daily jobs. After it an endpoint that was
	// mended gets the request again, and if it was not, three have to end anew.
	convictedTTL = 24 * time.Hour
	// exemptFor is how long after a whole answer a request is no suspect here, whatever is cut
	// off. Of a page that many callers read some copies run at each endpoint: when all engines
	// of a service end under another request, it is at each of three generations of ends
	// before an answer can clear it, and would be refused to all.
	exemptFor = 10 * time.Second
	// maxExempt bounds the requests remembered for that, and so the memory.
	maxExempt = 2048
)

// Tracker is what one VM knows of such requests. It is not safe for concurrent use. Times are
// those of the VM's process; none is compared with another VM's.
type Tracker struct {
	entries  map[Digest]*entry
	released map[Digest]bool
	// watched are the incarnations at which something was cut and which may have ended;
	// they are worked out anew when something was learned.
	watched      map[uint64]bool
	watchedStale bool
	// firstCutAt is when something was first cut off at an incarnation that was not heard
	// since.
	firstCutAt map[uint64]time.Duration
	// exempt are the requests that got a whole answer here, with the time.
	exempt  *simplelru.LRU[Digest, time.Duration]
	changes []Change
	// cursor is where the next Turn begins.
	cursor Digest
}

// New returns a ledger that knows nothing.
func New() *Tracker {
	// The only error is a size that is not positive.
	exempt, _ := simplelru.NewLRU[Digest, time.Duration](maxExempt, nil)
	return &Tracker{
		entries: make(map[Digest]*entry), released: make(map[Digest]bool), watched: make(map[uint64]bool),
		firstCutAt: make(map[uint64]time.Duration), exempt: exempt,
	}
}

// Len is how many requests are remembered.
func (t *Tracker) Len() int { return len(t.entries) }

// SetReleased lets requests run whatever they did; others are no longer released.
func (t *Tracker) SetReleased(list []Digest) {
	clear(t.released)
	for _, d := range list {
		t.released[d] = true
	}
}

// Status returns what is known against a request. Each try asks before a byte of it leaves.
func (t *Tracker) Status(d Digest) Status {
	v := Status{}
	if e := t.entries[d]; e != nil {
		v = e.status()
	}
	v.Released = t.released[d]
	return v
}

// RecordCut says that a copy of a request that was sent at a time was cut off at an incarnation.
// generation is that of Look when the copy was sent.
//
// A copy that was sent after another had been cut off there, with nothing heard since, says
// nothing: it met an endpoint that had ended already. Where a relay stands before endpoints
// their connections open even so, and break.
func (t *Tracker) RecordCut(now, sent time.Duration, d Digest, endpoint uint64, generation int) {
	if sent > t.recordFirstCut(now, endpoint) {
		return
	}
	if at, ok := t.exempt.Peek(d); ok && now-at < exemptFor {
		return
	}
	e := t.ensureEntry(now, d)
	e.lastSighting = now
	cut := Sighting{Endpoint: endpoint, Generation: generation + 1}
	if s := e.sightings[endpoint]; s != nil && !s.relevant(e.cleared) {
		// It was heard after an earlier cut, which this is not.
		cut.Generation = max(cut.Generation, s.Generation+1)
	}
	t.mergeSighting(now, d, e, cut)
}

// RecordEnd says that an incarnation has ended, though nobody had said that it would.
func (t *Tracker) RecordEnd(now time.Duration, endpoint uint64) {
	t.updateSightings(now, endpoint, func(s *sighting) Sighting {
		return Sighting{Endpoint: endpoint, Generation: s.Generation, EndedAt: s.Generation}
	})
}

// RecordLeaving says that an incarnation has said that it leaves: what was cut off there before has
// another cause, since it lived on.
func (t *Tracker) RecordLeaving(now time.Duration, endpoint uint64) {
	delete(t.firstCutAt, endpoint)
	t.updateSightings(now, endpoint, func(s *sighting) Sighting { return s.asAlive() })
}

// RecordResponse says that an incarnation began to answer a request that was sent at a time. What
// was cut off there before has another cause.
func (t *Tracker) RecordResponse(now, sent time.Duration, endpoint uint64) {
	if at, ok := t.firstCutAt[endpoint]; ok && at < sent {
		delete(t.firstCutAt, endpoint)
	}
	t.updateSightings(now, endpoint, func(s *sighting) Sighting {
		if s.cutAt >= sent {
			return s.Sighting
		}
		return s.asAlive()
	})
}

// asAlive is the sighting once its incarnation was heard after the cut.
func (s *sighting) asAlive() Sighting {
	return Sighting{Endpoint: s.Endpoint, Generation: s.Generation, AliveAt: s.Generation}
}

// updateSightings takes in what follows from an incarnation's end, or life, for each request that was
// cut off there.
func (t *Tracker) updateSightings(now time.Duration, endpoint uint64, update func(*sighting) Sighting) {
	if !t.Watched(endpoint) {
		return
	}
	for d, e := range t.entries {
		if s := e.sightings[endpoint]; s != nil {
			t.mergeSighting(now, d, e, update(s))
		}
	}
}

// Watched says whether something was cut off at an incarnation that may have ended.
func (t *Tracker) Watched(endpoint uint64) bool {
	if t.watchedStale {
		t.watchedStale = false
		t.rebuildWatched()
	}
	return t.watched[endpoint]
}

// RecordSuccess says that a request got a whole answer from an endpoint.
func (t *Tracker) RecordSuccess(now time.Duration, d Digest) {
	t.exempt.Add(d, now)
	e := t.entries[d]
	if e == nil {
		return
	}
	if top := e.status().Generation; top > e.cleared {
		e.cleared, e.changedAt = top, now
		t.recordChange(d, e)
		t.watchedStale = true
	}
}

// Merge takes in what another VM, or the store, knows of a request, and reports whether
// anything of it is new.
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
	if r.Cleared > e.cleared {
		e.cleared, changed = r.Cleared, true
	}
	for _, s := range r.Sightings {
		if e.mergeSighting(now, s) {
			changed = true
			if s.Generation > s.AliveAt {
				t.recordFirstCut(now, s.Endpoint)
			}
		}
	}
	if !changed {
		return false
	}
	e.changedAt = now
	t.recordChange(r.Digest, e)
	t.watchedStale = true
	return true
}

// recordFirstCut notes a cut at an incarnation, here or at another VM, and returns when the first was
// since it was heard last.
func (t *Tracker) recordFirstCut(now time.Duration, endpoint uint64) time.Duration {
	at, ok := t.firstCutAt[endpoint]
	if !ok {
		at = now
		t.firstCutAt[endpoint] = at
	}
	return at
}

// maxGeneration bounds what another VM may say: far more than can happen in a life.
const maxGeneration = 1 << 20

// plausible says whether a record can be true. A garbled one would convict, or clear for ever.
func plausible(r Record) bool {
	if r.Digest == (Digest{}) || r.Age < 0 || r.Cleared < 0 || r.Cleared > maxGeneration || len(r.Sightings) > maxSightings {
		return false
	}
	return !slices.ContainsFunc(r.Sightings, func(s Sighting) bool {
		return s.Generation < 1 || s.Generation > maxGeneration || s.EndedAt > s.Generation || s.AliveAt > s.Generation || s.EndedAt < 0 || s.AliveAt < 0
	})
}

// ttlOf is how long a record is worth keeping.
func ttlOf(r Record) time.Duration {
	e := entry{sightings: make(map[uint64]*sighting, len(r.Sightings)), cleared: r.Cleared}
	for _, s := range r.Sightings {
		e.sightings[s.Endpoint] = &sighting{Sighting: s}
	}
	return e.ttl()
}

func (e *entry) ttl() time.Duration {
	switch v := e.status(); {
	case v.Level >= ConvictionLevel:
		return convictedTTL
	case v.Level > 0:
		return suspectTTL
	default:
		return cutTTL
	}
}

// ensureEntry returns what is known of a request; if that is nothing, a new ensureEntry whose last
// sighting was at a time.
func (t *Tracker) ensureEntry(at time.Duration, d Digest) *entry {
	e := t.entries[d]
	if e == nil {
		if len(t.entries) >= maxEntries {
			t.evict(t.evictionCandidate())
		}
		e = &entry{sightings: make(map[uint64]*sighting), lastSighting: at}
		t.entries[d] = e
	}
	return e
}

// evictionCandidate is the request that is evictionCandidate worth remembering.
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
	return cmp.Or(cmp.Compare(va.Level, vb.Level), cmp.Compare(va.PossibleLevel, vb.PossibleLevel), cmp.Compare(a.lastSighting, b.lastSighting)) < 0
}

func (t *Tracker) mergeSighting(now time.Duration, d Digest, e *entry, s Sighting) {
	if e.mergeSighting(now, s) {
		e.changedAt = now
		t.recordChange(d, e)
		t.watchedStale = true
	}
}

// rebuildWatched works out which incarnations are worth a look.
func (t *Tracker) rebuildWatched() {
	clear(t.watched)
	for _, e := range t.entries {
		for name, s := range e.sightings {
			if s.relevant(e.cleared) {
				t.watched[name] = true
			}
		}
	}
}

// Expire forgets what has been quiet for its time.
func (t *Tracker) Expire(now time.Duration) {
	for d, e := range t.entries {
		for name, s := range e.sightings {
			if !s.ended() && s.relevant(e.cleared) && now-s.cutAt >= cutTTL {
				delete(e.sightings, name)
			}
		}
		if now-e.lastSighting >= e.ttl() {
			t.evict(d)
		}
	}
	for name, at := range t.firstCutAt {
		if now-at >= cutTTL {
			delete(t.firstCutAt, name)
		}
	}
	t.watchedStale = true
}

func (t *Tracker) evict(d Digest) {
	if e := t.entries[d]; e.reportedLevel > 0 {
		t.changes = append(t.changes, Change{Digest: d, Kind: Forgotten, PreviousLevel: e.reportedLevel})
	}
	delete(t.entries, d)
}
