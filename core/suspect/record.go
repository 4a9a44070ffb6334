package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Sighting is what is known of a request or part at one incarnation of an endpoint. The three numbers
// only grow, and merging two sightings takes the maximum of each.
type Sighting struct {
	// Endpoint is the hash of the incarnation's key.
	Endpoint uint64
	// Generation is that of the last copy that was cut off there: its connection broke, or no
	// data arrived for too long. Generations count from 1.
	Generation int
	// EndedAt is the generation after whose cut the incarnation was found to have terminated:
	// nothing listens at its address, another incarnation does, or the registry has dropped it
	// without an announcement that it leaves. 0 means never.
	EndedAt int
	// AliveAt is the generation after whose cut the incarnation responded, or announced that it
	// leaves. It outweighs EndedAt, which a VM may set wrongly when its own link refuses
	// connections.
	AliveAt int
}

// relevant reports whether the sighting still counts against the request.
func (s Sighting) relevant(cleared int) bool { return s.Generation > max(cleared, s.AliveAt) }

// ended reports whether the incarnation has terminated.
func (s Sighting) ended() bool { return s.EndedAt > s.AliveAt }

// merge returns the combination of two sightings at the same incarnation.
func (s Sighting) merge(o Sighting) Sighting {
	return Sighting{
		Endpoint: s.Endpoint, Generation: max(s.Generation, o.Generation),
		EndedAt: max(s.EndedAt, o.EndedAt), AliveAt: max(s.AliveAt, o.AliveAt),
	}
}

// Record is what VMs gossip about one request or part.
type Record struct {
	Digest    Digest
	Sightings []Sighting
	// Cleared is the generation up to which a response has cleared the request.
	Cleared int
	// Age is the time since the last sighting.
	Age time.Duration
}

// Status is what is known against a request or part.
type Status struct {
	// Digest is that of the request or part.
	Digest Digest
	// Level is the number of generations that have terminated endpoints, for a part at most the
	// number of Ends less partExtraEnds. PossibleLevel also includes cuts at incarnations whose
	// fate is not known yet.
	Level, PossibleLevel int
	// Ends is the number of incarnations that have terminated, Cuts that of all where it was cut off.
	Ends, Cuts int
	// evidence orders records by how much they tell other VMs: the terminations, for a part also the cuts,
	// cleared or not, since they tell which terminations had it and that it got a response.
	evidence int
	// Generation is the last one known: a copy that is sent now and is cut off belongs to the
	// next.
	Generation int
	// Released is set if an operator lets the request run whatever is known against it.
	Released bool
}

// Convicted reports whether a request may no longer be sent to an endpoint.
func (s Status) Convicted() bool { return s.Level >= ConvictionLevel && !s.Released }

// Quarantined reports whether the request may only run one copy at a time, where few other requests
// run.
func (s Status) Quarantined() bool {
	return s.Level > 0 && s.PossibleLevel >= quarantineLevel && !s.Released
}

// entry is the state of a request that was cut off at least once, or of a part of one.
type entry struct {
	digest    Digest
	sightings map[uint64]*sighting
	cleared   int
	// lastSighting is the time of the last sighting, which may lie before the start of the
	// process. changedAt is when this VM last learned something new, which selects records for
	// gossip.
	lastSighting, changedAt time.Duration
	// reportedLevel is the level of the last Change.
	reportedLevel int
}

// sighting is a Sighting with the time at which this VM learned of its last cut.
type sighting struct {
	Sighting
	cutAt time.Duration
	// unverified is set while nothing shows that the incarnation was alive at the time of the cut.
	unverified bool
}

// status computes the status of the request or part.
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
	extra, evidence := 0, ended
	if e.digest.IsPart() {
		extra, evidence = partExtraEnds, len(e.sightings)+ended
	}
	return Status{
		Digest: e.digest, Level: max(0, min(topEnded-e.cleared, ended-extra)), PossibleLevel: max(0, min(top-e.cleared, cut-extra)),
		Ends: ended, Cuts: cut, Generation: max(top, e.cleared), evidence: evidence,
	}
}

// clear marks all generations as cleared by a response, and reports whether any was not.
func (e *entry) clear() bool {
	top := e.status().Generation
	if top <= e.cleared {
		return false
	}
	e.cleared = top
	return true
}

// mergeSighting merges a sighting, and reports whether it was new.
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

// maxPartCuts is the number of sightings of a part that do not count against it yet, beyond which they are
// dropped before those that convict it.
const maxPartCuts = maxSightings - ConvictionLevel - partExtraEnds

// weakestSighting returns the incarnation whose sighting is the weakest evidence.
func (e *entry) weakestSighting() uint64 {
	list := e.list()
	if cuts := slices.DeleteFunc(e.list(), Sighting.ended); e.digest.IsPart() && len(cuts) > maxPartCuts {
		list = cuts
	}
	return slices.MinFunc(list, func(a, b Sighting) int {
		switch ca, cb := a.relevant(e.cleared), b.relevant(e.cleared); {
		case ca && !cb:
			return 1
		case cb && !ca:
			return -1
		}
		return cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.EndedAt, b.EndedAt), cmp.Compare(a.Endpoint, b.Endpoint))
	}).Endpoint
}

// list returns the sightings in no particular order.
func (e *entry) list() []Sighting {
	list := make([]Sighting, 0, len(e.sightings))
	for _, s := range e.sightings {
		list = append(list, s.Sighting)
	}
	return list
}

// unverified reports whether the entry holds nothing for other VMs.
func (e *entry) unverified() bool {
	for _, s := range e.sightings {
		if !s.unverified {
			return false
		}
	}
	return e.cleared == 0
}

// record returns the entry as a Record for other VMs.
func (e *entry) record(now time.Duration) Record {
	list := make([]Sighting, 0, len(e.sightings))
	for _, s := range e.sightings {
		if !s.unverified {
			list = append(list, s.Sighting)
		}
	}
	slices.SortFunc(list, func(a, b Sighting) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return Record{Digest: e.digest, Sightings: list, Cleared: e.cleared, Age: now - e.lastSighting}
}
