package suspect

import "slices"

// Change is a change of a request's conviction level, for logging.
type Change struct {
	Digest Digest
	Kind   Kind
	// Level is the number of generations that have terminated endpoints now, PreviousLevel the
	// number before the change.
	Level, PreviousLevel int
	// Endpoints are the hashes of the incarnations that terminated.
	Endpoints []uint64
}

// WasConvicted reports whether the change ends a conviction.
func (c Change) WasConvicted() bool {
	return c.PreviousLevel >= ConvictionLevel && c.Level < ConvictionLevel
}

// Kind is the kind of a Change.
type Kind int

// Kinds of changes.
const (
	// Suspected: one more generation has terminated endpoints.
	Suspected Kind = iota
	// Convicted: the request is no longer sent to endpoints.
	Convicted
	// Cleared: a response cleared the request, or its endpoints turned out to be alive.
	Cleared
	// Forgotten: the entry expired or was evicted.
	Forgotten
)

// recordChange appends a Change if the request's level differs from the last one reported.
func (t *Tracker) recordChange(d Digest, e *entry) {
	v := e.status()
	v.Level = min(v.Level, ConvictionLevel)
	if v.Level == e.reportedLevel {
		return
	}
	c := Change{Digest: d, Kind: Suspected, Level: v.Level, PreviousLevel: e.reportedLevel}
	switch {
	case v.Level < e.reportedLevel:
		c.Kind = Cleared
	case v.Level >= ConvictionLevel:
		c.Kind = Convicted
	}
	for endpoint, s := range e.sightings {
		if s.ended() && s.relevant(e.cleared) {
			c.Endpoints = append(c.Endpoints, endpoint)
		}
	}
	slices.Sort(c.Endpoints)
	e.reportedLevel = v.Level
	t.changes = append(t.changes, c)
}

// TakeChanges returns the changes since the last call.
func (t *Tracker) TakeChanges() []Change {
	list := t.changes
	t.changes = nil
	return list
}
