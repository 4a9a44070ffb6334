package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Sighting is what is known of a request at one incarnation of an endpoint. All three numbers
// only grow, so merging two takes the greater of each.
type Sighting struct {
	// Endpoint is the short name of the incarnation.
	Endpoint uint64
	// Generation is that of the last copy that was cut off there: its connection broke, or
	// nothing came for too long. Generations count from 1.
	Generation int
	// EndedAt is the generation after whose cut the incarnation was found to have ended:
	// nothing listens at its address, another incarnation does, or the registry has
	// dropped it without a word of its leaving. 0 for never.
	EndedAt int
	// AliveAt is the generation after whose cut it was heard, or said that it leaves. It
	// outweighs EndedAt, which a VM can take for true whose own link refuses connections.
	AliveAt int
}

// relevant says whether the sighting may still speak against the request.
func (s Sighting) relevant(cleared int) bool { return s.Generation > max(cleared, s.AliveAt) }

// ended says whether the incarnation has ended.
func (s Sighting) ended() bool { return s.EndedAt > s.AliveAt }

// merge is what two sightings at the same incarnation say together.
func (s Sighting) merge(o Sighting) Sighting {
	return Sighting{
		Endpoint: s.Endpoint, Generation: max(s.Generation, o.Generation),
		EndedAt: max(s.EndedAt, o.EndedAt), AliveAt: max(s.AliveAt, o.AliveAt),
	}
}

// Record is what VMs tell each other of one request.
type Record struct {
	Digest    Digest
	Sightings []Sighting
	// Cleared is the generation up to which an answer has cleared the request.
	Cleared int
	// Age is how long ago the last sighting was.
	Age time.Duration
}

// Status is what is known against a request.
type Status struct {
	// Level is how many generations have ended endpoints, PossibleLevel how many may have:
	// with cuts at incarnations of which nothing is known yet.
	Level, PossibleLevel int
	// Generation is the last one known: a copy that is sent now and is cut belongs to the
	// next.
	Generation int
	// Released says that an operator lets the request run whatever it did.
	Released bool
}

// Convicted says that the request is not sent to an endpoint any more.
func (s Status) Convicted() bool { return s.Level >= ConvictionLevel && !s.Released }

// OnTrial says that the request may run one copy at a time only, where few others do.
func (s Status) OnTrial() bool { return s.Level > 0 && s.PossibleLevel >= trialLevel && !s.Released }

// entry is a request that was cut off somewhere.
type entry struct {
	sightings map[uint64]*sighting
	cleared   int
	// lastSighting is when the last sighting was; it may lie before the start of the process.
	// changedAt is when this VM last learned something, for telling others.
	lastSighting, changedAt time.Duration
	// reportedLevel is the level of the last Change.
	reportedLevel int
}

// sighting is a Sighting with the time at which its last cut was learned here.
type sighting struct {
	Sighting
	cutAt time.Duration
}

// status works out what is known against the request.
func (e *entry) status() Status {
	var ended, cut, top, topEnded int
	for _, s := range e.sightings {
		if !s.relevant(e.cleared) {
			continue
		}
		cut++
		top = max(top, s.Generation)
		if s.ended() {
			ended++
			topEnded = max(topEnded, s.Generation)
		}
	}
	return Status{
		Level: min(max(0, topEnded-e.cleared), ended), PossibleLevel: min(max(0, top-e.cleared), cut),
		Generation: max(top, e.cleared),
	}
}

// mergeSighting takes in a sighting, and reports whether it says anything new.
func (e *entry) mergeSighting(now time.Duration, s Sighting) bool {
	old := e.sightings[s.Endpoint]
	if old == nil {
		e.sightings[s.Endpoint] = &sighting{Sighting: s, cutAt: now}
	} else {
		merged := old.merge(s)
		if merged == old.Sighting {
			return false
		}
		if merged.Generation > old.Generation {
			old.cutAt = now
		}
		old.Sighting = merged
	}
	for len(e.sightings) > maxSightings {
		delete(e.sightings, e.weakestSighting())
	}
	return e.sightings[s.Endpoint] != nil
}

// weakestSighting is the incarnation whose sighting says weakestSighting.
func (e *entry) weakestSighting() uint64 {
	return slices.MinFunc(e.list(), func(a, b Sighting) int {
		switch ca, cb := a.relevant(e.cleared), b.relevant(e.cleared); {
		case ca && !cb:
			return 1
		case cb && !ca:
			return -1
		}
		return cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.EndedAt, b.EndedAt), cmp.Compare(a.Endpoint, b.Endpoint))
	}).Endpoint
}

// list is the sightings, in no order.
func (e *entry) list() []Sighting {
	list := make([]Sighting, 0, len(e.sightings))
	for _, s := range e.sightings {
		list = append(list, s.Sighting)
	}
	return list
}

// record is the entry as others are told.
func (e *entry) record(now time.Duration, d Digest) Record {
	list := e.list()
	slices.SortFunc(list, func(a, b Sighting) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return Record{Digest: d, Sightings: list, Cleared: e.cleared, Age: now - e.lastSighting}
}
