package rollout

import "time"

// Order asks that a service's requests move to endpoints of another version.
type Order struct {
	Service string
	// Version is that of the endpoints to move to.
	Version string
	// Duration is the time in which the operator wants a verdict.
	Duration time.Duration
}

// SameTarget says whether two orders ask for the same. An operator who writes an order again, as
// after the store lost it, does not begin it anew.
func (o Order) SameTarget(other Order) bool {
	return o.Service == other.Service && o.Version == other.Version
}

// Phase is how far a roll-out is.
type Phase int

// Phases, in the order in which they replace one another.
const (
	// Canary: a bounded share of the requests goes to the new version.
	Canary Phase = iota
	// Shifting: a growing share goes there, in the end all, and what runs at the old version
	// goes on to its end.
	Shifting
	// RolledBack: the new version gets nothing any more.
	RolledBack
	// Completed: the old version is gone.
	Completed
)

var phaseNames = [...]string{"trying", "moving", "rolled_back", "completed"}

// String names the phase.
func (p Phase) String() string { return phaseNames[p] }

// Final says whether the phase is a verdict.
func (p Phase) Final() bool { return p >= RolledBack }

// Merge is the phase that two VMs agree on.
func (p Phase) Merge(other Phase) Phase { return max(p, other) }
