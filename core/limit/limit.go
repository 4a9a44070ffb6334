// Package limit bounds what all VMs together send to an endpoint that names how many requests a second
// it takes.
//
// One VM sends at a time, the first of those that place requests, in an order by endpoint that all
// agree on; a placer serves the VMs that ask it. So nothing is divided by a number of VMs, and
// nothing is handed out that could be lost or held twice. VMs disagree on who is first for as long as
// they do not hear each other: while words are under way, and for the length of a cut. Therefore one
// uses fullPart of the limit only if it hears the placers of more than half of all VMs known, which
// at most one side of a cut does; all others together use lesserPart. Lists of VMs differ while VMs are
// added: even if two take themselves for the first on the larger side, they stay within one and a half
// times the limit together.
//
// What is earned is not kept: a VM that begins to send starts with nothing, so that the bound holds
// over any change of who sends.
package limit

import "time"

const (
	// majorityShare is the part of a limit that is used where more than half of the VMs are heard.
	majorityShare = 0.7
	// minorityShare is what all VMs that hear fewer may use together.
	minorityShare = 0.2
	// minRate is how many requests a second are sent at least, by who uses fullPart: an endpoint that
	// is never asked cannot say that its need is over.
	minRate = 0.1
	// burstWindow is how long what is earned is kept, beside one request.
	burstWindow = 100 * time.Millisecond
	// maxRefillInterval is the longest time that is earned for at once: who was not asked for longer may not
	// have been the one to send.
	maxRefillInterval = 250 * time.Millisecond
)

// Share is the part of each limit that a VM may use which is first in the order for it, if the
// placers that it hears serve a number of the VMs that it knows; 0 if it does not know how many there are.
func Share(reachable, known int) float64 {
	switch {
	case known <= 0 || reachable <= 0:
		return 0
	case 2*reachable > known:
		return majorityShare
	}
	return minorityShare * float64(reachable) / float64(known)
}

// Bucket is what one VM may send to an endpoint. Times are by one clock that only advances. It is not safe for
// concurrent use.
type Bucket struct {
	limit      float64
	tokens     float64
	refilledAt time.Duration
}

// New returns an empty bucket for a limit in requests a second.
func New(now time.Duration, limit float64) *Bucket { return &Bucket{limit: limit, refilledAt: now} }

// Limit is the limit in requests a second.
func (b *Bucket) Limit() float64 { return b.limit }

// SetLimit changes the limit.
func (b *Bucket) SetLimit(limit float64) {
	b.limit = limit
	b.tokens = min(b.tokens, b.capacity(limit))
}

func (b *Bucket) capacity(rate float64) float64 { return 1 + rate*burstWindow.Seconds() }

// Refill earns for the time since the last call, if the VM may use a part of the limit now.
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

// roundingTolerance is the error of sums that is let pass.
const roundingTolerance = 1e-9

// Ready says whether a request may be sent.
func (b *Bucket) Ready() bool { return b.tokens >= 1-roundingTolerance }

// Take notes that a request is sent.
func (b *Bucket) Take() { b.tokens = max(0, b.tokens-1) }
