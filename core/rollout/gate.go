package rollout

import "time"

const (
	// trialPart is the part of the share that a bad version may get of the operator's bound
	// that trials use. The rest is for requests that reach the new version before a VM has
	// heard of the order, and for the time that a verdict takes while requests move.
	trialPart = 0.75
	// mostSaved bounds what a gate saves while no endpoint of the new version has room:
	// saved trials of all VMs would fall on a few endpoints at once.
	mostSaved = 1
	// rampPart is the part of the order's time over which requests move, and mostRamp bounds it.
	rampPart = 0.1
	mostRamp = 2 * time.Second
)

// TrialShare is the share of requests that go to a new version while it is tried, for the
// share that a bad version may get at most.
func TrialShare(bound float64) float64 { return trialPart * bound }

// Ramp is the time over which requests move to the new version.
func (o Order) Ramp() time.Duration {
	return min(mostRamp, time.Duration(rampPart*float64(o.Duration)))
}

// Gate bounds the requests that one process sends to the new version: each that it sends for
// the service earns a share of one. A process that starts has earned nothing, so restarts
// add nothing to the sum.
type Gate struct {
	balance float64
}

// Sent notes that a request left for the service for the first time. share is what it earns.
func (g *Gate) Sent(share float64) { g.balance = min(mostSaved, g.balance+share) }

// Take takes one request off the balance, and says whether there was enough.
func (g *Gate) Take() bool {
	if g.balance < 1 {
		return false
	}
	g.balance--
	return true
}

// GiveBack gives back a request that did not go to the new version.
func (g *Gate) GiveBack() { g.balance = min(mostSaved, g.balance+1) }
