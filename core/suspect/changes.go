package suspect

import "slices"

// Change is a step of what is known against a request, for logs.
type Change struct {
	Digest Digest
	Kind   Kind
	// Level is how many generations have ended endpoints now, PreviousLevel how many had before.
	Level, PreviousLevel int
	// Endpoints are the short names of the incarnations that ended.
	Endpoints []uint64
}

// WasConvicted says that the request was convicted before and is not any more.
func (c Change) WasConvicted() bool {
	return c.PreviousLevel >= ConvictionLevel && c.Level < ConvictionLevel
}

// Kind says what kind of step a Change is.
type Kind int

// Kinds of changes.
const (
	// Suspected: one more generation has ended endpoints.
	Suspected Kind = iota
	// Convicted: it is not sent to endpoints any more.
	Convicted
	// Cleared: an answer speaks for it, or its endpoints live.
	Cleared
	// Forgotten: its time is over, or others took its place.
	Forgotten
)

// recordChange notes a change of level for logs.
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
	for name, s := range e.sightings {
		if s.ended() && s.relevant(e.cleared) {
			c.Endpoints = append(c.Endpoints, name)
		}
	}
	slices.Sort(c.Endpoints)
	e.reportedLevel = v.Level
	t.changes = append(t.changes, c)
}

// TakeChanges returns what changed since the last call.
func (t *Tracker) TakeChanges() []Change {
	list := t.changes
	t.changes = nil
	return list
}
