package rollout

import "time"

// Order is an operator's order to shift a service's requests to endpoints of another version.
type Order struct {
	Service string
	// Version is the version to shift to.
	Version string
	// Duration is the time in which the operator wants a verdict.
	Duration time.Duration
}

// SameTarget reports whether two orders have the same service and version. An order that is
// written again, for instance after the store lost it, does not restart the rollout.
func (o Order) SameTarget(other Order) bool {
	return o.Service == other.Service && o.Version == other.Version
}

// Phase is the phase of a rollout.
type Phase int

// Phases, in increasing order of precedence.
const (
	// Canary: a bounded share of the requests goes to the new version.
	Canary Phase = iota
	// Shifting: a growing share of the requests, in the end all, goes to the new version.
	// Requests that run at the old version are completed there.
	Shifting
	// RolledBack: the new version gets no more requests.
	RolledBack
	// Completed: the old version is gone.
	Completed
)

var phaseNames = [...]string{"trying", "moving", "rolled_back", "completed"}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// Final reports whether the phase is a verdict.
func (p Phase) Final() bool { return p >= RolledBack }

// Merge returns the phase that results from those of two VMs.
func (p Phase) Merge(other Phase) Phase { return max(p, other) }
