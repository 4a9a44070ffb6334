package rollout

import "time"

const (
	// canaryShareOfBound is the part of the share that a bad version may get of the operator's bound
	// that trials use. The rest is for requests that reach the new version before a VM has
	// heard of the order, and for the time that a verdict takes while requests move.
	canaryShareOfBound = 0.75
	// grantShare is the part of the fixed amount that a bad version may get which trials use: a
	// service with few requests would learn nothing of it otherwise.
	grantShare = 0.5
	// maxSaved bounds what a gate saves while no endpoint of the new version has room:
	// saved trials of all VMs would fall on a few endpoints at once.
	maxSaved = 1
	// rampShare is the part of the order's time over which requests move, and mostRamp bounds it.
	rampShare = 0.1
	maxRamp   = 2 * time.Second
)

// CanaryShare is the share of requests that go to a new version while it is tried, for the
// share that a bad version may get at most.
func CanaryShare(bound float64) float64 { return canaryShareOfBound * bound }

// RampDuration is the time over which requests move to the new version.
func (o Order) RampDuration() time.Duration {
	return min(maxRamp, time.Duration(rampShare*float64(o.Duration)))
}

// InitialGrant is one VM's part of the fixed number of requests that a bad version may get.
func InitialGrant(slack float64, vms int) float64 {
	if vms == 0 {
		return 0
	}
	return grantShare * slack / float64(vms)
}

// Gate bounds the requests that one process sends to the new version: each that it sends for
// the service earns a share of one. A process that starts has earned nothing, so restarts
// add nothing to the sum.
type Gate struct {
	balance float64
	// granted is what it began with.
	granted float64
}

// NewGate returns a gate that begins with a grant. Only a process that hears of an order as it
// comes may have one, once: the next process of its VM cannot know whether it was spent.
func NewGate(grant float64) Gate { return Gate{balance: grant, granted: grant} }

// maxBalance is the maxBalance that is saved.
func (g *Gate) maxBalance() float64 { return maxSaved + g.granted }

// RecordSent notes that a request left for the service for the first time. share is what it earns.
func (g *Gate) RecordSent(share float64) { g.balance = min(g.maxBalance(), g.balance+share) }

// TryTake takes one request off the balance, and says whether there was enough.
func (g *Gate) TryTake() bool {
	if g.balance < 1 {
		return false
	}
	g.balance--
	return true
}

// Refund gives back a request that did not go to the new version.
func (g *Gate) Refund() { g.balance = min(g.maxBalance(), g.balance+1) }
