package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// ConvictedAt is from how many generations on a request is not sent any more. One happens
	// to each neighbour of such a request, two to some whose callers send again at once;
	// the users allow three ends and few tries after them.
	ConvictedAt = 3
	// trialAt is from how many possible generations on a request is on trial, if one of them
	// surely ended an endpoint: cut links alone put nobody on trial.
	trialAt = 2
	// maxEntries bounds the requests that are remembered, half a megabyte. One end of an
	// endpoint adds a dozen; an attacker who sends ever other bodies that end endpoints
	// needs as many ends as a dozenth of it to push out a suspect, and three times as many
	// as all of it to push out one that is convicted.
	maxEntries = 1024
	// maxSightings bounds what is kept of one request; three convict it.
	maxSightings = 8
	// cutLife is how long a cut is kept of which nothing follows: the registry drops an
	// incarnation that fell silent after three heartbeats of a second or so, and VMs read
	// it each second or two.
	cutLife = 10 * time.Second
	// suspectLife is how long after the last sighting a suspect is remembered: jobs that run
	// hourly come again within it.
	suspectLife = time.Hour
	// convictedLife is the same for convicted ones: daily jobs. After it an endpoint that was
	// mended gets the request again, and if it was not, three have to end anew.
	convictedLife = 24 * time.Hour
	// trustFor is how long after a whole answer a request is no suspect here, whatever is cut
	// off. Of a page that many callers read some copies run at each endpoint: when all engines
	// of a service end under another request, it is at each of three generations of ends
	// before an answer can clear it, and would be refused to all.
	trustFor = 10 * time.Second
	// mostTrusted bounds the requests remembered for that, and so the memory.
	mostTrusted = 2048
)

// Ledger is what one VM knows of such requests. It is not safe for concurrent use. Times are
// those of the VM's process; none is compared with another VM's.
type Ledger struct {
	entries  map[Digest]*entry
	released map[Digest]bool
	// watched are the incarnations at which something was cut and which may have ended;
	// they are worked out anew when something was learned.
	watched map[uint64]bool
	learned bool
	// brokeAt is when something was first cut off at an incarnation that was not heard
	// since.
	brokeAt map[uint64]time.Duration
	// trusted are the requests that got a whole answer here, with the time.
	trusted *simplelru.LRU[Digest, time.Duration]
	changes []Change
	// turn is where the next Turn begins.
	turn Digest
}

// New returns a ledger that knows nothing.
func New() *Ledger {
	// The only error is a size that is not positive.
	trusted, _ := simplelru.NewLRU[Digest, time.Duration](mostTrusted, nil)
	return &Ledger{
		entries: make(map[Digest]*entry), released: make(map[Digest]bool), watched: make(map[uint64]bool),
		brokeAt: make(map[uint64]time.Duration), trusted: trusted,
	}
}

// Len is how many requests are remembered.
func (l *Ledger) Len() int { return len(l.entries) }

// Release lets requests run whatever they did; others are no longer released.
func (l *Ledger) Release(list []Digest) {
	clear(l.released)
	for _, d := range list {
		l.released[d] = true
	}
}

// Look returns what is known against a request. Each try asks before a byte of it leaves.
func (l *Ledger) Look(d Digest) View {
	v := View{}
	if e := l.entries[d]; e != nil {
		v = e.view()
	}
	v.Released = l.released[d]
	return v
}

// Cut says that a copy of a request that was sent at a time was cut off at an incarnation.
// generation is that of Look when the copy was sent.
//
// A copy that was sent after another had been cut off there, with nothing heard since, says
// nothing: it met an endpoint that had ended already. Where a relay stands before endpoints
// their connections open even so, and break.
func (l *Ledger) Cut(now, sent time.Duration, d Digest, endpoint uint64, generation int) {
	if sent > l.broke(now, endpoint) {
		return
	}
	if at, ok := l.trusted.Peek(d); ok && now-at < trustFor {
		return
	}
	e := l.entry(now, d)
	e.touched = now
	cut := Sighting{Endpoint: endpoint, Generation: generation + 1}
	if s := e.sightings[endpoint]; s != nil && !s.counts(e.cleared) {
		// It was heard after an earlier cut, which this is not.
		cut.Generation = max(cut.Generation, s.Generation+1)
	}
	l.see(now, d, e, cut)
}

// Ended says that an incarnation has ended, though nobody had said that it would.
func (l *Ledger) Ended(now time.Duration, endpoint uint64) {
	l.conclude(now, endpoint, func(s *sighting) Sighting {
		return Sighting{Endpoint: endpoint, Generation: s.Generation, EndedAt: s.Generation}
	})
}

// Leaving says that an incarnation has said that it leaves: what was cut off there before has
// another cause, since it lived on.
func (l *Ledger) Leaving(now time.Duration, endpoint uint64) {
	delete(l.brokeAt, endpoint)
	l.conclude(now, endpoint, func(s *sighting) Sighting { return s.alive() })
}

// Answered says that an incarnation began to answer a request that was sent at a time. What
// was cut off there before has another cause.
func (l *Ledger) Answered(now, sent time.Duration, endpoint uint64) {
	if at, ok := l.brokeAt[endpoint]; ok && at < sent {
		delete(l.brokeAt, endpoint)
	}
	l.conclude(now, endpoint, func(s *sighting) Sighting {
		if s.at >= sent {
			return s.Sighting
		}
		return s.alive()
	})
}

// alive is the sighting once its incarnation was heard after the cut.
func (s *sighting) alive() Sighting {
	return Sighting{Endpoint: s.Endpoint, Generation: s.Generation, AliveAt: s.Generation}
}

// conclude takes in what follows from an incarnation's end, or life, for each request that was
// cut off there.
func (l *Ledger) conclude(now time.Duration, endpoint uint64, what func(*sighting) Sighting) {
	if !l.Watched(endpoint) {
		return
	}
	for d, e := range l.entries {
		if s := e.sightings[endpoint]; s != nil {
			l.see(now, d, e, what(s))
		}
	}
}

// Watched says whether something was cut off at an incarnation that may have ended.
func (l *Ledger) Watched(endpoint uint64) bool {
	if l.learned {
		l.learned = false
		l.watch()
	}
	return l.watched[endpoint]
}

// Success says that a request got a whole answer from an endpoint.
func (l *Ledger) Success(now time.Duration, d Digest) {
	l.trusted.Add(d, now)
	e := l.entries[d]
	if e == nil {
		return
	}
	if top := e.view().Generation; top > e.cleared {
		e.cleared, e.changed = top, now
		l.tell(d, e)
		l.learned = true
	}
}

// Merge takes in what another VM, or the store, knows of a request, and reports whether
// anything of it is new.
func (l *Ledger) Merge(now time.Duration, r Record) bool {
	if !plausible(r) {
		return false
	}
	news := l.entries[r.Digest] == nil
	if news && r.Quiet >= lifeOf(r) {
		return false
	}
	at := now - r.Quiet
	e := l.entry(at, r.Digest)
	e.touched = max(e.touched, at)
	if r.Cleared > e.cleared {
		e.cleared, news = r.Cleared, true
	}
	for _, s := range r.Sightings {
		if e.see(now, s) {
			news = true
			if s.Generation > s.AliveAt {
				l.broke(now, s.Endpoint)
			}
		}
	}
	if !news {
		return false
	}
	e.changed = now
	l.tell(r.Digest, e)
	l.learned = true
	return true
}

// broke notes a cut at an incarnation, here or at another VM, and returns when the first was
// since it was heard last.
func (l *Ledger) broke(now time.Duration, endpoint uint64) time.Duration {
	at, ok := l.brokeAt[endpoint]
	if !ok {
		at = now
		l.brokeAt[endpoint] = at
	}
	return at
}

// mostGeneration bounds what another VM may say: far more than can happen in a life.
const mostGeneration = 1 << 20

// plausible says whether a record can be true. A garbled one would convict, or clear for ever.
func plausible(r Record) bool {
	if r.Digest == (Digest{}) || r.Quiet < 0 || r.Cleared < 0 || r.Cleared > mostGeneration || len(r.Sightings) > maxSightings {
		return false
	}
	return !slices.ContainsFunc(r.Sightings, func(s Sighting) bool {
		return s.Generation < 1 || s.Generation > mostGeneration || s.EndedAt > s.Generation || s.AliveAt > s.Generation || s.EndedAt < 0 || s.AliveAt < 0
	})
}

// lifeOf is how long a record is worth keeping.
func lifeOf(r Record) time.Duration {
	e := entry{sightings: make(map[uint64]*sighting, len(r.Sightings)), cleared: r.Cleared}
	for _, s := range r.Sightings {
		e.sightings[s.Endpoint] = &sighting{Sighting: s}
	}
	return e.life()
}

func (e *entry) life() time.Duration {
	switch v := e.view(); {
	case v.Level >= ConvictedAt:
		return convictedLife
	case v.Level > 0:
		return suspectLife
	default:
		return cutLife
	}
}

// entry returns what is known of a request; if that is nothing, a new entry whose last
// sighting was at a time.
func (l *Ledger) entry(at time.Duration, d Digest) *entry {
	e := l.entries[d]
	if e == nil {
		if len(l.entries) >= maxEntries {
			l.forget(l.least())
		}
		e = &entry{sightings: make(map[uint64]*sighting), touched: at}
		l.entries[d] = e
	}
	return e
}

// least is the request that is least worth remembering.
func (l *Ledger) least() Digest {
	var least Digest
	var leastEntry *entry
	for d, e := range l.entries {
		if leastEntry == nil || lessWorth(e, leastEntry) {
			least, leastEntry = d, e
		}
	}
	return least
}

func lessWorth(a, b *entry) bool {
	va, vb := a.view(), b.view()
	return cmp.Or(cmp.Compare(va.Level, vb.Level), cmp.Compare(va.Possible, vb.Possible), cmp.Compare(a.touched, b.touched)) < 0
}

func (l *Ledger) see(now time.Duration, d Digest, e *entry, s Sighting) {
	if e.see(now, s) {
		e.changed = now
		l.tell(d, e)
		l.learned = true
	}
}

// watch works out which incarnations are worth a look.
func (l *Ledger) watch() {
	clear(l.watched)
	for _, e := range l.entries {
		for name, s := range e.sightings {
			if s.counts(e.cleared) {
				l.watched[name] = true
			}
		}
	}
}

// Expire forgets what has been quiet for its time.
func (l *Ledger) Expire(now time.Duration) {
	for d, e := range l.entries {
		for name, s := range e.sightings {
			if !s.ended() && s.counts(e.cleared) && now-s.at >= cutLife {
				delete(e.sightings, name)
			}
		}
		if now-e.touched >= e.life() {
			l.forget(d)
		}
	}
	for name, at := range l.brokeAt {
		if now-at >= cutLife {
			delete(l.brokeAt, name)
		}
	}
	l.learned = true
}

func (l *Ledger) forget(d Digest) {
	if e := l.entries[d]; e.told > 0 {
		l.changes = append(l.changes, Change{Digest: d, Kind: Forgotten, Was: e.told})
	}
	delete(l.entries, d)
}
