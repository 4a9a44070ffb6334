// Package budget bounds how often requests are sent once more. All VMs together
// may repeat a share of the requests plus a fixed number in any window. Each VM
// earns the share for its own requests and starts with its part of the fixed
// number, never holding more than that part; so whatever VMs hear of each other,
// their sum over any window stays within the bound.
package budget

// Counts are what a budget counted since it was made.
type Counts struct {
	// Requests earned; repeats were Paid, or Refused as too little was held; of those paid,
	// Sent left for an endpoint.
	Requests, Paid, Refused, Sent int
}

// Budget is one VM's part for one service.
type Budget struct {
	ratio, cap float64
	tokens     float64
	counts     Counts
}

// New returns a budget that earns ratio for each request and holds at most cap.
// It starts empty unless full: a restarted process does not know what its
// predecessor spent a moment ago.
func New(ratio, cap float64, full bool) *Budget {
	b := &Budget{ratio: ratio, cap: cap}
	if full {
		b.tokens = cap
	}
	return b
}

// SetCap changes how much the budget holds at most.
func (b *Budget) SetCap(cap float64) {
	b.cap = cap
	b.tokens = min(b.tokens, cap)
}

// Request earns for one request of a caller.
func (b *Budget) Request() {
	b.counts.Requests++
	b.tokens = min(b.cap, b.tokens+b.ratio)
}

// Spend takes one repeat, and reports whether there was one left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		b.counts.Refused++
		return false
	}
	b.counts.Paid++
	b.tokens--
	return true
}

// Sent notes that a repeat leaves for an endpoint.
func (b *Budget) Sent() { b.counts.Sent++ }

// Counts returns what was counted.
func (b *Budget) Counts() Counts { return b.counts }

// Held is how many repeats may be paid now.
func (b *Budget) Held() float64 { return b.tokens }
