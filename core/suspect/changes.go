package suspect

import "slices"

// Change is a step of what is known against a request, for logs.
type Change struct {
	Digest Digest
	Kind   Kind
	// Level is how many generations have ended endpoints now, Was how many had before.
	Level, Was int
	// Endpoints are the short names of the incarnations that ended.
	Endpoints []uint64
}

// WasConvicted says that the request was convicted before and is not any more.
func (c Change) WasConvicted() bool { return c.Was >= ConvictedAt && c.Level < ConvictedAt }

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

// tell notes a change of level for logs.
func (l *Ledger) tell(d Digest, e *entry) {
	v := e.view()
	v.Level = min(v.Level, ConvictedAt)
	if v.Level == e.told {
		return
	}
	c := Change{Digest: d, Kind: Suspected, Level: v.Level, Was: e.told}
	switch {
	case v.Level < e.told:
		c.Kind = Cleared
	case v.Level >= ConvictedAt:
		c.Kind = Convicted
	}
	for name, s := range e.sightings {
		if s.ended() && s.counts(e.cleared) {
			c.Endpoints = append(c.Endpoints, name)
		}
	}
	slices.Sort(c.Endpoints)
	e.told = v.Level
	l.changes = append(l.changes, c)
}

// Changes returns what changed since the last call.
func (l *Ledger) Changes() []Change {
	list := l.changes
	l.changes = nil
	return list
}
