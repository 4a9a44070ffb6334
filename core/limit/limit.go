// Package limit enforces, over all VMs together, the rate limit in requests a second that an endpoint names.
//
// For each endpoint one VM sends at a time: the first among the placers, in an order by endpoint that all VMs
// agree on. A placer serves the VMs that request placements from it. No quota is therefore divided by the number of
// VMs, and none is handed out that could be lost or held twice. VMs disagree on who is first for as long as
// they do not receive each other's notes: while notes are in transit, and during a partition. Therefore a VM
// uses majorityShare of the limit only if it reaches the placers of more than half of all known VMs, which is
// possible on at most one side of a partition; all others together use minorityShare. Lists of VMs differ while VMs
// are added. Even if two VMs then both take themselves for the first on the larger side, they stay within one and a
// half times the limit together.
//
// Tokens are not carried over: a VM that begins to send starts with an empty bucket, so that the bound holds
// across any change of sender.
package limit

import "time"

const (
	// majorityShare is the share of a limit that may be used by a VM that reaches more than half of the VMs.
	majorityShare = 0.7
	// minorityShare is the share that all VMs that reach fewer may use together.
	minorityShare = 0.2
	// minRate is the least rate in requests a second of a VM that uses majorityShare. An endpoint that never gets a
	// request cannot announce that its limit no longer applies.
	minRate = 0.1
	// burstWindow is for how long tokens accumulate, in addition to one request.
	burstWindow = 100 * time.Millisecond
	// maxRefillInterval is the longest interval that one refill credits. A VM that was not refilled for longer may not
	// have been the one to send.
	maxRefillInterval = 250 * time.Millisecond
)

// Share returns the share of each limit that a VM may use which is first in the order for the endpoint, if
// the placers it reaches serve the given number of the known VMs. It returns 0 if either number is not known.
func Share(served, known int) float64 {
	switch {
	case known <= 0 || served <= 0:
		return 0
	case 2*served > known:
		return majorityShare
	}
	return minorityShare * float64(served) / float64(known)
}

// Bucket is the token bucket of one VM for one endpoint. Times are of one monotonic clock. It is not safe for
// concurrent use.
type Bucket struct {
	limit      float64
	tokens     float64
	refilledAt time.Duration
}

// New returns an empty bucket for a limit in requests a second.
func New(now time.Duration, limit float64) *Bucket { return &Bucket{limit: limit, refilledAt: now} }

// Limit returns the limit in requests a second.
func (b *Bucket) Limit() float64 { return b.limit }

// SetLimit changes the limit.
func (b *Bucket) SetLimit(limit float64) {
	b.limit = limit
	b.tokens = min(b.tokens, b.capacity(limit))
}

func (b *Bucket) capacity(rate float64) float64 { return 1 + rate*burstWindow.Seconds() }

// Refill adds the tokens for the time since the last call, at the share of the limit that the VM may use now. A
// share of 0 empties the bucket.
func (b *Bucket) Refill(now time.Duration, share float64) {
	step := min(now-b.refilledAt, maxRefillInterval)
	b.refilledAt = now
	if share == 0 {
		b.tokens = 0
		return
	}
	rate := share * b.limit
	if share == majorityShare {
		rate = max(rate, minRate)
	}
	b.tokens = min(b.tokens+rate*step.Seconds(), b.capacity(rate))
}

// roundingTolerance is the accepted floating-point error of sums.
const roundingTolerance = 1e-9

// Ready reports whether a request may be sent.
func (b *Bucket) Ready() bool { return b.tokens >= 1-roundingTolerance }

// Take removes the token of a request that is sent.
func (b *Bucket) Take() { b.tokens = max(0, b.tokens-1) }
