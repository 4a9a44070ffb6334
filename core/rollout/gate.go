package rollout

import "time"

const (
	// trialPart is the part of the share that a bad version may get of the operator's bound
	// that trials use. The rest is for requests that reach the new version before a VM has
	// heard of the order, and for the time that a verdict takes while requests move.
	trialPart = 0.75
	// grantPart is the part of the fixed amount that a bad version may get which trials use: a
	// service with few requests would learn nothing of it otherwise.
	grantPart = 0.5
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

// Grant is one VM's part of the fixed number of requests that a bad version may get.
func Grant(slack float64, vms int) float64 {
	if vms == 0 {
		return 0
	}
	return grantPart * slack / float64(vms)
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

// most is the most that is saved.
func (g *Gate) most() float64 { return mostSaved + g.granted }

// Sent notes that a request left for the service for the first time. share is what it earns.
func (g *Gate) Sent(share float64) { g.balance = min(g.most(), g.balance+share) }

// Take takes one request off the balance, and says whether there was enough.
func (g *Gate) Take() bool {
	if g.balance < 1 {
		return false
	}
	g.balance--
	return true
}

// GiveBack gives back a request that did not go to the new version.
func (g *Gate) GiveBack() { g.balance = min(g.most(), g.balance+1) }
