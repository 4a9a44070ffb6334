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

// slices is into how many parts a window is divided; what was earned in one expires as a whole.
const slices = 20

// earnedPart is the part of the share that a request earns: it may be sent in this window or the next.
const earnedPart = 0.5

const (
	// fixedPart is the part of the fixed number that VMs have, and mostFixed the most that one has.
	fixedPart = 0.25
	mostFixed = 2
)

// Fixed is how many repeats of the fixed number one VM may send in a window, if it knows a number of
// VMs. A VM knows at least those that came before it, so only the first of all VMs have any, in
// whatever order they start and whatever they know of those that came after: together at most half of it.
func Fixed(slack float64, vms int) int {
	if vms == 0 {
		return 0
	}
	return min(mostFixed, int(fixedPart*slack/float64(vms)))
}

// rounding is the error of sums that is let pass.
const rounding = 1e-9

// Counts are what a budget counted since it was made.
type Counts struct {
	// Requests earned. Repeats were Paid, or Refused as too little was held; of those paid, Sent
	// left for an endpoint and GivenBack did not. Expired could not be paid anew when they were
	// to leave.
	Requests, Paid, Refused, Sent, GivenBack, Expired int
}

// Budget is what one process may repeat of one service's requests. Times are by one clock that only
// advances. It is not safe for concurrent use.
type Budget struct {
	earns float64
	slice time.Duration
	// credit is what was earned in each slice and not paid, by number modulo slices.
	credit [slices]float64
	// newest is the number of the slice that was last looked at.
	newest int64
	window time.Duration
	// fixed is how many of the places for repeats of the fixed number may be taken.
	fixed  int
	places [mostFixed]place
	counts Counts
}

// place is one repeat of the fixed number, free again a window after it was sent.
type place struct {
	taken bool
	until time.Duration
}

// New returns an empty budget for the share of requests that all VMs together may repeat in a window.
func New(share float64, window time.Duration) *Budget {
	return &Budget{earns: earnedPart * share, slice: max(1, window/slices), window: window}
}

// SetFixed sets how many repeats of the fixed number may be sent in a window.
func (b *Budget) SetFixed(n int) { b.fixed = min(n, mostFixed) }

// Repeat is one repeat that was paid.
type Repeat struct {
	// earned is the number of the oldest slice that it was paid from.
	earned int64
	// fixed says that it is one of the fixed number, at a place.
	fixed bool
	place int
}

// advance forgets what has expired.
func (b *Budget) advance(now time.Duration) {
	n := int64(now / b.slice)
	if n-b.newest >= slices {
		clear(b.credit[:])
		b.newest = n
	}
	for b.newest < n {
		b.newest++
		b.credit[b.newest%slices] = 0
	}
}

// oldest is the number of the oldest slice that has not expired.
func (b *Budget) oldest() int64 { return max(0, b.newest-slices+1) }

// Request earns for one request of a caller.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.counts.Requests++
	b.credit[b.newest%slices] += b.earns
}

// Held is how many repeats may be paid.
func (b *Budget) Held(now time.Duration) float64 {
	b.advance(now)
	sum := 0.0
	for _, c := range b.credit {
		sum += c
	}
	return sum
}

// Pay takes one repeat off what was earned, the oldest first, or off the fixed number, and reports
// whether there was enough.
func (b *Budget) Pay(now time.Duration) (Repeat, bool) {
	r, ok := b.take(now)
	if !ok {
		r, ok = b.takePlace(now)
	}
	if ok {
		b.counts.Paid++
	} else {
		b.counts.Refused++
	}
	return r, ok
}

func (b *Budget) take(now time.Duration) (Repeat, bool) {
	if b.Held(now) < 1-rounding {
		return Repeat{}, false
	}
	r := Repeat{earned: -1}
	lacking := 1.0
	for n := b.oldest(); n <= b.newest && lacking > rounding; n++ {
		part := min(lacking, b.credit[n%slices])
		if part > 0 && r.earned < 0 {
			r.earned = n
		}
		lacking -= part
		b.credit[n%slices] -= part
	}
	return r, true
}

func (b *Budget) takePlace(now time.Duration) (Repeat, bool) {
	for i := range b.fixed {
		if p := &b.places[i]; !p.taken && now >= p.until {
			p.taken = true
			return Repeat{fixed: true, place: i}, true
		}
	}
	return Repeat{}, false
}

// Renew says whether a repeat that was paid may leave now. One that waited until what paid it
// expired is paid anew.
func (b *Budget) Renew(now time.Duration, r Repeat) (Repeat, bool) {
	b.advance(now)
	if r.fixed || r.earned >= b.oldest() {
		return r, true
	}
	r, ok := b.take(now)
	if !ok {
		b.counts.Expired++
	}
	return r, ok
}

// Sent notes that a repeat left.
func (b *Budget) Sent(now time.Duration, r Repeat) {
	b.counts.Sent++
	if r.fixed {
		b.places[r.place] = place{until: now + b.window}
	}
}

// GiveBack takes back a repeat that did not leave.
func (b *Budget) GiveBack(now time.Duration, r Repeat) {
	b.advance(now)
	b.counts.GivenBack++
	if r.fixed {
		b.places[r.place].taken = false
		return
	}
	if r.earned >= b.oldest() {
		b.credit[r.earned%slices]++
	}
}

// Counts returns what was counted.
func (b *Budget) Counts() Counts { return b.counts }
