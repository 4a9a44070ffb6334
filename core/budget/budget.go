// Package budget limits how often requests are retried, over all VMs together.
//
// In any window the operator allows retries up to a fraction of the requests of that window or of
// the one before it, whichever has more, plus a fixed number. Each process earns half of that
// fraction as credit for each of its own requests, and credit expires after one window. So what
// all processes send in a window was earned in it or in the window before, and half of the
// fraction of both together is at most the fraction of the larger. A process starts without
// credit and needs no knowledge of the others for this: neither how many there are, nor whether
// it was started before.
//
// In a small deployment each VM gets a few of the fixed number (FixedRetries); otherwise none of
// the requests of a service with little traffic would be retried. The rest of the fixed number
// covers requests that endpoints read later than they were sent.
package budget

import "time"

// windowSlices is the number of slices that a window is divided into. All credit earned in one
// slice expires together.
const windowSlices = 20

// earnedShare is the fraction of the operator's ratio that a request earns, since the credit may
// be spent in this window or the next.
const earnedShare = 0.5

const (
	// fixedShare is the fraction of the fixed number that is divided among VMs, and maxFixed the
	// most that one VM gets.
	fixedShare = 0.25
	maxFixed   = 2
)

// FixedRetries returns how many retries of the fixed number a VM may send in a window. vms is the
// number of VMs in its list, which has at least those that started before it. So only the first of
// all VMs get any, whatever the order in which they start and however many later ones they list.
// Together they get at most half of the fixed number.
func FixedRetries(slack float64, vms int) int {
	if vms == 0 {
		return 0
	}
	return min(maxFixed, int(fixedShare*slack/float64(vms)))
}

// roundingError is the floating-point error that is tolerated in sums.
const roundingError = 1e-9

// Counts are the counters of a budget since it was created.
type Counts struct {
	// Requests earned credit. Retries were Acquired, or Refused for lack of credit; of those
	// acquired, Sent were sent to an endpoint and Refunded were not. Expired could not be
	// acquired again when they were about to be sent.
	Requests, Acquired, Refused, Sent, Refunded, Expired int
}

// Budget is the retry budget of one process for one service. Its times are of one monotonic
// clock. It is not safe for concurrent use.
type Budget struct {
	creditPerRequest float64
	sliceDuration    time.Duration
	// credit is the unspent credit earned in each slice, indexed by the slice's number modulo
	// windowSlices.
	credit [windowSlices]float64
	// newestSlice is the number of the slice of the latest call.
	newestSlice int64
	window      time.Duration
	// fixed is how many of fixedSlots may be used.
	fixed      int
	fixedSlots [maxFixed]fixedSlot
	counts     Counts
}

// fixedSlot holds one retry of the fixed number. It is free again one window after the retry was
// sent.
type fixedSlot struct {
	taken  bool
	freeAt time.Duration
}

// New returns an empty budget. share is the fraction of requests that all VMs together may retry
// in a window.
func New(share float64, window time.Duration) *Budget {
	return &Budget{creditPerRequest: earnedShare * share, sliceDuration: max(1, window/windowSlices), window: window}
}

// SetFixedRetries sets how many retries of the fixed number this process may send in a window.
func (b *Budget) SetFixedRetries(n int) { b.fixed = min(n, maxFixed) }

// Permit is the right to send one retry.
type Permit struct {
	// oldestSlice is the number of the oldest slice whose credit it used.
	oldestSlice int64
	// fixed reports whether it is one of the fixed number, which occupies a slot.
	fixed bool
	slot  int
}

// advance discards expired credit.
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

// oldestSlice returns the number of the oldest slice that has not expired.
func (b *Budget) oldestSlice() int64 { return max(0, b.newestSlice-windowSlices+1) }

// oldestSliceAt returns the number of the oldest slice that has not expired at a later time.
func (b *Budget) oldestSliceAt(later time.Duration) int64 {
	return max(b.oldestSlice(), int64(later/b.sliceDuration)-windowSlices+1)
}

// RecordRequest adds the credit earned by one new request of a caller.
func (b *Budget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.counts.Requests++
	b.credit[b.newestSlice%windowSlices] += b.creditPerRequest
}

// Balance returns the unspent credit, in retries.
func (b *Budget) Balance(now time.Duration) float64 {
	b.advance(now)
	return b.creditSince(b.oldestSlice())
}

// creditSince returns the unspent credit of the slices from the given one on.
func (b *Budget) creditSince(first int64) float64 {
	sum := 0.0
	for n := first; n <= b.newestSlice; n++ {
		sum += b.credit[n%windowSlices]
	}
	return sum
}

// Acquire spends the credit for one retry, the oldest first, or takes one of the fixed number. It
// reports whether either sufficed.
func (b *Budget) Acquire(now time.Duration) (Permit, bool) { return b.AcquireFor(now, 0) }

// AcquireFor is Acquire for a retry that is sent within the given time: it leaves credit that
// expires before, so that Renew cannot fail then.
func (b *Budget) AcquireFor(now, hold time.Duration) (Permit, bool) {
	p, ok := b.acquireEarned(now, hold)
	if !ok {
		p, ok = b.acquireFixed(now)
	}
	if ok {
		b.counts.Acquired++
	} else {
		b.counts.Refused++
	}
	return p, ok
}

func (b *Budget) acquireEarned(now, hold time.Duration) (Permit, bool) {
	b.advance(now)
	first := b.oldestSliceAt(now + hold)
	if b.creditSince(first) < 1-roundingError {
		return Permit{}, false
	}
	p := Permit{oldestSlice: -1}
	missing := 1.0
	for n := first; n <= b.newestSlice && missing > roundingError; n++ {
		used := min(missing, b.credit[n%windowSlices])
		if used > 0 && p.oldestSlice < 0 {
			p.oldestSlice = n
		}
		missing -= used
		b.credit[n%windowSlices] -= used
	}
	return p, true
}

func (b *Budget) acquireFixed(now time.Duration) (Permit, bool) {
	i := b.freeFixed(now)
	if i < 0 {
		return Permit{}, false
	}
	b.fixedSlots[i].taken = true
	return Permit{fixed: true, slot: i}, true
}

// freeFixed returns the index of a free slot of the fixed number, -1 if there is none.
func (b *Budget) freeFixed(now time.Duration) int {
	for i, p := range b.fixedSlots[:b.fixed] {
		if !p.taken && now >= p.freeAt {
			return i
		}
	}
	return -1
}

// MayAcquireFor reports whether AcquireFor would succeed now.
func (b *Budget) MayAcquireFor(now, hold time.Duration) bool {
	b.advance(now)
	return b.creditSince(b.oldestSliceAt(now+hold)) >= 1-roundingError || b.freeFixed(now) >= 0
}

// Renew reports whether a retry that holds a permit may be sent now. If the credit behind the
// permit has expired while the retry waited, Renew spends new credit.
func (b *Budget) Renew(now time.Duration, p Permit) (Permit, bool) {
	b.advance(now)
	if p.fixed || p.oldestSlice >= b.oldestSlice() {
		return p, true
	}
	p, ok := b.acquireEarned(now, 0)
	if !ok {
		b.counts.Expired++
	}
	return p, ok
}

// RecordSent records that a retry was sent.
func (b *Budget) RecordSent(now time.Duration, p Permit) {
	b.counts.Sent++
	if p.fixed {
		b.fixedSlots[p.slot] = fixedSlot{freeAt: now + b.window}
	}
}

// Refund returns the credit of a retry that was not sent.
func (b *Budget) Refund(now time.Duration, p Permit) {
	b.advance(now)
	b.counts.Refunded++
	if p.fixed {
		b.fixedSlots[p.slot].taken = false
		return
	}
	if p.oldestSlice >= b.oldestSlice() {
		b.credit[p.oldestSlice%windowSlices]++
	}
}

// Counts returns the counters.
func (b *Budget) Counts() Counts { return b.counts }
