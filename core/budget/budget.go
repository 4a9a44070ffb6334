// Package budget bounds how often requests are sent once more, over all VMs together.
//
// The operator allows in any window a share of the requests of that window, or of the one before
// it, whichever has more, and a fixed number on top. Each process earns half of the share for each
// of its own requests, and what it earned may be sent within one window. So what all processes send
// in a window was earned in it or in the window before, and half of the share of both together is
// at most the share of the larger. A process begins with nothing and needs to know nothing of
// others for that: neither how many they are, nor whether it was started before.
//
// Of the fixed number each VM of a small deployment has a few (Fixed), or a service with few requests
// would get none repeated. The rest is left for requests that endpoints read later than they were
// sent.
package budget

import "time"

// windowSlices is into how many parts a window is divided; what was earned in one expires as a whole.
const windowSlices = 20

// earnedShare is the part of the share that a request earns: it may be sent in this window or the next.
const earnedShare = 0.5

const (
	// fixedShare is the part of the fixed number that VMs have, and mostFixed the most that one has.
	fixedShare = 0.25
	maxFixed   = 2
)

// FixedRetries is how many repeats of the fixed number one VM may send in a window, if it knows a number of
// VMs. A VM knows at least those that came before it, so only the first of all VMs have any, in
// whatever order they start and whatever they know of those that came after: together at most half of it.
func FixedRetries(slack float64, vms int) int {
	if vms == 0 {
		return 0
	}
	return min(maxFixed, int(fixedShare*slack/float64(vms)))
}

// roundingError is the error of sums that is let pass.
const roundingError = 1e-9

// Counts are what a budget counted since it was made.
type Counts struct {
	// Requests earned. Repeats were Acquired, or Refused as too little was held; of those paid, Sent
	// left for an endpoint and Refunded did not. Expired could not be paid anew when they were
	// to leave.
	Requests, Acquired, Refused, Sent, Refunded, Expired int
}

// Budget is what one process may repeat of one service's requests. Times are by one clock that only
// advances. It is not safe for concurrent use.
type Budget struct {
	creditPerRequest float64
	sliceDuration    time.Duration
	// credit is what was earned in each slice and not paid, by number modulo slices.
	credit [windowSlices]float64
	// newestSlice is the number of the slice that was last looked at.
	newestSlice int64
	window      time.Duration
	// fixed is how many of the places for repeats of the fixed number may be taken.
	fixed      int
	fixedSlots [maxFixed]fixedSlot
	counts     Counts
}

// fixedSlot is one repeat of the fixed number, free again a window after it was sent.
type fixedSlot struct {
	taken  bool
	freeAt time.Duration
}

// New returns an empty budget for the share of requests that all VMs together may repeat in a window.
func New(share float64, window time.Duration) *Budget {
	return &Budget{creditPerRequest: earnedShare * share, sliceDuration: max(1, window/windowSlices), window: window}
}

// SetFixedRetries sets how many repeats of the fixed number may be sent in a window.
func (b *Budget) SetFixedRetries(n int) { b.fixed = min(n, maxFixed) }

// Permit is one repeat that was paid.
type Permit struct {
	// oldestSlice is the number of the oldest slice that it was paid from.
	oldestSlice int64
	// fixed says that it is one of the fixed number, at a place.
	fixed bool
	slot  int
}

// advance forgets what has expired.
func (b *Budget) advance(now time.Duration) {
	n := int64(now / b.sliceDuration)
	if n-b.newestSlice >= windowSlices {
		clear(b.credit[:])
		b.newestSlice = n
	}
	for b.newestSlice < n {
		b.newestSlice++
		b.credit[b.newestSlice%windowSlices] = 0
	}
}

// oldestSlice is the number of the oldestSlice slice that has not expired.
func (b *Budget) oldestSlice() int64 { return max(0, b.newestSlice-windowSlices+1) }

// RecordRequest earns for one request of a caller.
func (b *Budget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.counts.Requests++
	b.credit[b.newestSlice%windowSlices] += b.creditPerRequest
}

// Balance is how many repeats may be paid.
func (b *Budget) Balance(now time.Duration) float64 {
	b.advance(now)
	sum := 0.0
	for _, c := range b.credit {
		sum += c
	}
	return sum
}

// Acquire takes one repeat off what was earned, the oldest first, or off the fixed number, and reports
// whether there was enough.
func (b *Budget) Acquire(now time.Duration) (Permit, bool) {
	r, ok := b.acquireEarned(now)
	if !ok {
		r, ok = b.acquireFixed(now)
	}
	if ok {
		b.counts.Acquired++
	} else {
		b.counts.Refused++
	}
	return r, ok
}

func (b *Budget) acquireEarned(now time.Duration) (Permit, bool) {
	if b.Balance(now) < 1-roundingError {
		return Permit{}, false
	}
	r := Permit{oldestSlice: -1}
	missing := 1.0
	for n := b.oldestSlice(); n <= b.newestSlice && missing > roundingError; n++ {
		used := min(missing, b.credit[n%windowSlices])
		if used > 0 && r.oldestSlice < 0 {
			r.oldestSlice = n
		}
		missing -= used
		b.credit[n%windowSlices] -= used
	}
	return r, true
}

func (b *Budget) acquireFixed(now time.Duration) (Permit, bool) {
	for i := range b.fixed {
		if p := &b.fixedSlots[i]; !p.taken && now >= p.freeAt {
			p.taken = true
			return Permit{fixed: true, slot: i}, true
		}
	}
	return Permit{}, false
}

// Renew says whether a repeat that was paid may leave now. One that waited until what paid it
// expired is paid anew.
func (b *Budget) Renew(now time.Duration, r Permit) (Permit, bool) {
	b.advance(now)
	if r.fixed || r.oldestSlice >= b.oldestSlice() {
		return r, true
	}
	r, ok := b.acquireEarned(now)
	if !ok {
		b.counts.Expired++
	}
	return r, ok
}

// RecordSent notes that a repeat left.
func (b *Budget) RecordSent(now time.Duration, r Permit) {
	b.counts.Sent++
	if r.fixed {
		b.fixedSlots[r.slot] = fixedSlot{freeAt: now + b.window}
	}
}

// Refund takes back a repeat that did not leave.
func (b *Budget) Refund(now time.Duration, r Permit) {
	b.advance(now)
	b.counts.Refunded++
	if r.fixed {
		b.fixedSlots[r.slot].taken = false
		return
	}
	if r.oldestSlice >= b.oldestSlice() {
		b.credit[r.oldestSlice%windowSlices]++
	}
}

// Counts returns what was counted.
func (b *Budget) Counts() Counts { return b.counts }
