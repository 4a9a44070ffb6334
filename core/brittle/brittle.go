// Package brittle bounds how many requests an endpoint has to reject that says it falls over if it
// rejects more than some in a second.
//
// It is designed for bursts of requests beyond what the endpoint has room for, from several VMs that
// do not know each other's requests of the last moments. Whether the endpoint has room is only known
// once it has not rejected a request, so each request that it has not begun counts as one that it may
// reject: in no second can more be rejected than were counted at the same time.
//
// A VM that sends all requests to an endpoint knows whether it has room. It is believed until the
// endpoint rejects one, which shows requests that the VM does not know.
package brittle

import "time"

const (
	// window is the time for which a rejection counts: the second in which endpoints count, and as
	// much more as requests may take to arrive.
	window = 1250 * time.Millisecond
	// confirmTime is how long after a request was placed its rejection is heard at the latest. It
	// covers the way to another VM that sends it, and back.
	confirmTime = 250 * time.Millisecond
	// distrustTime is how long a VM does not rely on what it knows of an endpoint's load, after a start
	// and after a rejection. Most requests that it does not know have ended by then.
	distrustTime = 3 * time.Second
)

// Guard bounds what one VM sends to one endpoint. It is not safe for concurrent use.
type Guard struct {
	// pending holds the requests, by handle, that the endpoint may still reject, and when they were
	// placed.
	pending map[uint64]time.Duration
	// rejections holds the times of recent rejections, in order.
	rejections []time.Duration
	// trustedFrom is from when this VM's knowledge of the endpoint's load is relied on.
	trustedFrom time.Duration
}

// New returns a guard for an endpoint of whose load little is known.
func New(now time.Duration) *Guard {
	return &Guard{pending: make(map[uint64]time.Duration), trustedFrom: now + distrustTime}
}

// Admits reports whether another request may be sent, where up to budget may be rejected in a second.
// hasRoom is whether the endpoint has room for it, as far as a VM knows that sends all requests there.
func (g *Guard) Admits(now time.Duration, budget int, hasRoom bool) bool {
	g.expire(now)
	if hasRoom && now >= g.trustedFrom {
		return budget > 0
	}
	return len(g.pending)+len(g.rejections) < budget
}

// RecordSent records that a request was placed at the endpoint.
func (g *Guard) RecordSent(now time.Duration, handle uint64) { g.pending[handle] = now }

// RecordAccepted records that the endpoint has begun a request, or that it was not sent.
func (g *Guard) RecordAccepted(handle uint64) { delete(g.pending, handle) }

// RecordRejected records that the endpoint had no room for a request.
func (g *Guard) RecordRejected(now time.Duration, handle uint64) {
	delete(g.pending, handle)
	g.rejections = append(g.rejections, now)
	g.trustedFrom = now + distrustTime
}

func (g *Guard) expire(now time.Duration) {
	for handle, at := range g.pending {
		if now-at > confirmTime {
			delete(g.pending, handle)
		}
	}
	for len(g.rejections) > 0 && now-g.rejections[0] > window {
		g.rejections = g.rejections[1:]
	}
}

// Budget returns how many requests this VM may have rejected in a second by an endpoint that bears
// perSecond from all VMs together. share is the part of it that the VMs may use that this VM hears
// of, rank how many of their placers come before this one, placers how many there are. Each gets the
// same, what is left goes to those that come first, and the very first gets at least one: an endpoint
// that nobody asks cannot say that it is no longer brittle.
func Budget(perSecond int, share float64, rank, placers int) int {
	if share <= 0 {
		return 0
	}
	total := max(1, int(float64(perSecond)*share))
	n := total / placers
	if rank < total%placers {
		n++
	}
	return n
}
