package suspect

import (
	"cmp"
	"slices"
	"time"
)

// State is what is known of an incarnation at which a request was cut off. Later ones
// replace earlier ones.
type State uint8

// States of an incarnation.
const (
	// Cut: the connection broke, or nothing came for too long.
	Cut State = iota
	// Ended: nothing listens at its address, another incarnation does, or the registry
	// has dropped it without a word of its leaving.
	Ended
	// Alive: it answered a request that was sent after the cut. It outweighs Ended, which a
	// VM can take for true whose own link refuses connections.
	Alive
)

// Sighting is what is known of a request at one incarnation of an endpoint.
type Sighting struct {
	// Endpoint is the short name of the incarnation.
	Endpoint uint64
	// Generation counts from 1.
	Generation int
	State      State
}

// counts says whether the sighting may still speak against the request.
func (s Sighting) counts(cleared int) bool { return s.State != Alive && s.Generation > cleared }

// after says whether a sighting at the same incarnation is later than another.
func (s Sighting) after(o Sighting) bool {
	return cmp.Or(cmp.Compare(s.Generation, o.Generation), cmp.Compare(s.State, o.State)) > 0
}

// Record is what VMs tell each other of one request.
type Record struct {
	Digest    Digest
	Sightings []Sighting
	// Cleared is the generation up to which an answer has cleared the request.
	Cleared int
	// Quiet is how long ago the last sighting was.
	Quiet time.Duration
}

// View is what is known against a request.
type View struct {
	// Level is how many generations have ended endpoints, Possible how many may have:
	// with cuts at incarnations of which nothing is known yet.
	Level, Possible int
	// Generation is the last one known: a copy that is sent now and is cut belongs to the
	// next.
	Generation int
	// Released says that an operator lets the request run whatever it did.
	Released bool
}

// Convicted says that the request is not sent to an endpoint any more.
func (v View) Convicted() bool { return v.Level >= convictedAt && !v.Released }

// OnTrial says that the request may run one copy at a time only, where few others do.
func (v View) OnTrial() bool { return v.Level > 0 && v.Possible >= trialAt && !v.Released }

// entry is a request that was cut off somewhere.
type entry struct {
	sightings map[uint64]*sighting
	cleared   int
	// touched is when the last sighting was; it may lie before the start of the process.
	// changed is when this VM last learned something, for telling others.
	touched, changed time.Duration
	// told is the level of the last Change.
	told int
}

// sighting is a Sighting with the time at which it was learned here.
type sighting struct {
	Sighting
	at time.Duration
}

// view works out what is known against the request.
func (e *entry) view() View {
	var ended, cut, top, topEnded int
	for _, s := range e.sightings {
		if !s.counts(e.cleared) {
			continue
		}
		cut++
		top = max(top, s.Generation)
		if s.State == Ended {
			ended++
			topEnded = max(topEnded, s.Generation)
		}
	}
	return View{
		Level: min(max(0, topEnded-e.cleared), ended), Possible: min(max(0, top-e.cleared), cut),
		Generation: max(top, e.cleared),
	}
}

// see takes in a sighting, and reports whether it says anything new.
func (e *entry) see(now time.Duration, s Sighting) bool {
	old := e.sightings[s.Endpoint]
	if old != nil && !s.after(old.Sighting) {
		return false
	}
	e.sightings[s.Endpoint] = &sighting{Sighting: s, at: now}
	for len(e.sightings) > maxSightings {
		delete(e.sightings, e.least())
	}
	return e.sightings[s.Endpoint] != nil
}

// least is the incarnation whose sighting says least.
func (e *entry) least() uint64 {
	list := e.list()
	return slices.MinFunc(list, func(a, b Sighting) int {
		switch {
		case a.counts(e.cleared) && !b.counts(e.cleared):
			return 1
		case b.counts(e.cleared) && !a.counts(e.cleared):
			return -1
		}
		return cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.State, b.State), cmp.Compare(a.Endpoint, b.Endpoint))
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
	return Record{Digest: d, Sightings: list, Cleared: e.cleared, Quiet: now - e.touched}
}
