package rollout

import "time"

const (
	// canaryShareOfBound is the fraction of the operator's bound on exposure that canary requests
	// use. The rest is for requests that reach the new version before a VM has received the
	// order, and for the time that a verdict takes while requests shift.
	canaryShareOfBound = 0.75
	// grantShare is the fraction of the fixed number of requests that a bad version may receive
	// which canary requests use. Without it a service with few requests would collect no
	// evidence.
	grantShare = 0.5
	// maxSaved bounds the credit that a gate saves while no endpoint of the new version has
	// capacity. The saved canary requests of all VMs would otherwise reach a few endpoints at
	// once.
	maxSaved = 1
	// rampShare is the fraction of the order's time over which requests shift, and maxRamp its
	// maximum.
	rampShare = 0.1
	maxRamp   = 2 * time.Second
)

// CanaryShare returns the fraction of requests that go to a new version in the canary phase.
// bound is the largest fraction that a bad version may receive.
func CanaryShare(bound float64) float64 { return canaryShareOfBound * bound }

// RampDuration returns the time over which requests shift to the new version.
func (o Order) RampDuration() time.Duration {
	return min(maxRamp, time.Duration(rampShare*float64(o.Duration)))
}

// InitialGrant returns one VM's share of the fixed number of requests that a bad version may
// receive.
func InitialGrant(slack float64, vms int) float64 {
	if vms == 0 {
		return 0
	}
	return grantShare * slack / float64(vms)
}

// Gate limits the requests that one process sends to the new version: each request that it sends
// to the service earns credit for a fraction of one. A process starts without credit, so restarts
// add nothing to the sum.
type Gate struct {
	balance float64
	// granted is the initial balance.
	granted float64
}

// NewGate returns a gate with an initial grant. Only a process that receives an order when it is
// issued may use a grant, and only once: the VM's next process has no record of whether it was
// spent.
func NewGate(grant float64) Gate { return Gate{balance: grant, granted: grant} }

// maxBalance returns the maximum balance.
func (g *Gate) maxBalance() float64 { return maxSaved + g.granted }

// RecordSent records that a request was sent to the service for the first time. share is the
// credit that it earns.
func (g *Gate) RecordSent(share float64) { g.balance = min(g.maxBalance(), g.balance+share) }

// TryTake takes one request off the balance and reports whether the balance sufficed.
func (g *Gate) TryTake() bool {
	if g.balance < 1 {
		return false
	}
	g.balance--
	return true
}

// Refund returns the credit of a request that was not sent to the new version.
func (g *Gate) Refund() { g.balance = min(g.maxBalance(), g.balance+1) }
