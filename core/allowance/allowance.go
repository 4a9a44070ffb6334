// Package allowance enforces the rate limit of each organisation over all VMs together.
//
// Invariant: over any window, all VMs together admit at most what the operator's rate and burst
// allow plus the tolerance the operator grants. Each organisation's allowance is divided among a
// few VMs, its holders, chosen by hash from all VMs ever seen, reachable or not. Each holder
// refills at its share of the rate and holds at most its share of burst and tolerance; other VMs
// request units from the holders. The sender of units deducts them from its balance before it
// sends them, so a lost note loses units, and the receiver credits each Transfer once, so that a
// repeated note does not multiply them. The receiver returns what it cannot use.
//
// A process has no record of what its predecessor, or VMs that it has not seen, spent a moment
// ago. It therefore starts with an empty balance, also when the whole deployment starts for the
// first time. A part of the tolerance is set aside as a restart allowance. A process gets its
// share of that only if its VM took none within the window (AddRestartGrant).
package allowance

import "time"

// Limit is the rate limit of an organisation over all VMs.
type Limit struct {
	Organisation string
	// Rate is in units per second; 0 means unlimited. Burst is in units.
	Rate, Burst float64
}

// Tolerance is the amount by which the operator allows the limit over a window to be exceeded.
type Tolerance struct {
	Window time.Duration
	// Over is a fraction of what the limit allows in a window, Slack a fixed number of units.
	Over, Slack float64
}

// headroomShare is the fraction of the tolerance that is left unused. It covers the time in which
// a newly added VM is not yet known to all others.
const headroomShare = 0.15

// restartShare is the fraction of the tolerance that is set aside for restarted processes. When
// all VMs have been killed, all balances start empty: without it, requests of organisations far
// below their limit are refused while all engines are idle. The rest of the tolerance serves
// organisations that exceed their limit anyway.
const restartShare = 0.6

// overCapacityPeriod is how long a balance may exceed the capacity: the time within which a
// waiting request spends it or gives up.
const overCapacityPeriod = 100 * time.Millisecond

// maxGrantShare is the largest fraction of its balance that a VM grants to another.
const maxGrantShare = 0.7

// maxReserveMultiple bounds the amount that Request.Reserve is a fraction of, in multiples of the
// request's own size: a small request takes little of what is reserved for others.
const maxReserveMultiple = 10

// Limiter holds the balances of one VM. It is not safe for concurrent use.
type Limiter struct {
	tol Tolerance
	// shareOf returns this VM's share of an organisation's allowance, from 0 to 1.
	shareOf func(organisation string) float64
	// sharesChangedAt are the times of the calls of SetShares.
	sharesChangedAt []time.Duration
	buckets         map[string]*bucket
}

type bucket struct {
	limit Limit
	share float64
	// shareVersion is the number of calls of SetShares that share takes into account; shareKnown is
	// set once the bucket was used.
	shareVersion int
	shareKnown   bool
	balance      float64
	refilledAt   time.Duration
	// accrued is the number of units refilled since the bucket was created, up to its capacity.
	accrued float64
	// overCapacityUntil is the time until which the balance may exceed the capacity, for a
	// request that waits for units from other VMs.
	overCapacityUntil time.Duration
}

// New returns a limiter with empty balances.
func New(tol Tolerance) *Limiter {
	return &Limiter{tol: tol, buckets: make(map[string]*bucket), shareOf: func(string) float64 { return 0 }}
}

// SetShares sets the function that returns this VM's share of each organisation's allowance: 0
// where it holds none or its share is not known yet. It is called when an organisation's allowance
// is used next: most of them seldom are at one VM.
func (l *Limiter) SetShares(now time.Duration, shareOf func(organisation string) float64) {
	l.shareOf = shareOf
	l.sharesChangedAt = append(l.sharesChangedAt, now)
}

// updateShare applies the calls of SetShares since the bucket was last used. Between the first and
// the last of them nothing accrues, since the shares of that time are not known.
func (l *Limiter) updateShare(b *bucket) {
	changes := l.sharesChangedAt[b.shareVersion:]
	if b.shareKnown && len(changes) == 0 {
		return
	}
	if len(changes) > 0 {
		if b.shareKnown {
			l.accrue(changes[0], b)
		}
		b.refilledAt = max(b.refilledAt, changes[len(changes)-1])
	}
	b.share, b.shareKnown, b.shareVersion = l.shareOf(b.limit.Organisation), true, len(l.sharesChangedAt)
	b.balance = min(b.balance, l.capacity(b))
}

// SetLimits replaces the limits of all organisations.
func (l *Limiter) SetLimits(now time.Duration, limits []Limit) {
	present := make(map[string]bool, len(limits))
	for _, limit := range limits {
		present[limit.Organisation] = true
		b := l.buckets[limit.Organisation]
		if b == nil {
			l.buckets[limit.Organisation] = &bucket{limit: limit, shareVersion: len(l.sharesChangedAt), refilledAt: now}
			continue
		}
		if b.limit == limit {
			continue
		}
		l.refill(now, b)
		b.limit = limit
		b.balance = min(b.balance, l.capacity(b))
	}
	for name := range l.buckets {
		if !present[name] {
			delete(l.buckets, name)
		}
	}
}

// capacity returns the maximum balance that this VM may hold.
func (l *Limiter) capacity(b *bucket) float64 {
	return b.share * (b.limit.Burst + (1-headroomShare-restartShare)*l.toleratedUnits(b))
}

// toleratedUnits returns by how many units all VMs together may exceed rate and burst in a
// window.
func (l *Limiter) toleratedUnits(b *bucket) float64 {
	return l.tol.Over*(b.limit.Rate*l.tol.Window.Seconds()+b.limit.Burst) + l.tol.Slack
}

// AddRestartGrant adds this VM's share of the restart allowance, up to its capacity. It must not be
// called twice within the window for one VM, over all its processes.
func (l *Limiter) AddRestartGrant(now time.Duration) {
	for _, b := range l.buckets {
		l.refill(now, b)
		grant := b.share * restartShare * l.toleratedUnits(b)
		b.balance = min(b.balance+grant, max(b.balance, l.capacity(b)))
		b.accrued = min(b.accrued+grant, l.capacity(b))
	}
}

// refill brings a bucket up to date.
func (l *Limiter) refill(now time.Duration, b *bucket) {
	l.updateShare(b)
	l.accrue(now, b)
}

// accrue adds what the bucket's share has accrued until now.
func (l *Limiter) accrue(now time.Duration, b *bucket) {
	if b.share == 0 {
		b.refilledAt = now
		if now > b.overCapacityUntil {
			b.balance = 0
		}
		return
	}
	capacity := l.capacity(b)
	accrued := b.limit.Rate * b.share * max(0, (now-b.refilledAt).Seconds())
	b.refilledAt = now
	b.accrued = min(capacity, b.accrued+accrued)
	if b.balance > capacity && now <= b.overCapacityUntil {
		return
	}
	b.balance = min(capacity, b.balance+accrued)
}

// SpendResult is the result of Spend.
type SpendResult struct {
	OK bool
	// Shortfall is how many units the balance lacks.
	Shortfall float64
	// RetryAfter is the time in which one holder refills the shortfall.
	RetryAfter time.Duration
	// Balance is the balance before the request.
	Balance float64
}

// maxRetryAfter bounds SpendResult.RetryAfter.
const maxRetryAfter = time.Minute

// Request is a request to spend units of an allowance.
type Request struct {
	Amount
	// Reserve is the fraction that must remain in the balance after the request. It is a fraction
	// of what has accrued so far, which is at most this VM's capacity: a process that has just
	// started would otherwise refuse all but the most urgent requests for seconds. Without a
	// reserve, an organisation that exceeds its limit would spend its units on whatever arrives
	// first and is small. With a reserve that grows by tier, its most urgent requests still find
	// a balance. Below the limit, balances are close to capacity and the reserve refuses nothing.
	Reserve float64
}

// Spend deducts the request's units from the organisation's balance if it suffices. Organisations
// that are unlimited, or unknown to this VM, are always admitted.
func (l *Limiter) Spend(now time.Duration, r Request) SpendResult {
	b := l.buckets[r.Organisation]
	if b == nil || b.limit.Rate <= 0 {
		return SpendResult{OK: true}
	}
	l.refill(now, b)
	need := r.Units + r.Reserve*min(b.accrued, maxReserveMultiple*r.Units)
	v := SpendResult{OK: b.balance >= need, Balance: b.balance}
	if v.OK {
		b.balance -= r.Units
		return v
	}
	v.Shortfall = need - b.balance
	share := b.share
	if share == 0 {
		share = 1.0 / targetHolderCount
	}
	seconds := v.Shortfall / share / b.limit.Rate
	v.RetryAfter = time.Duration(min(maxRetryAfter.Seconds(), seconds) * float64(time.Second))
	return v
}

// Amount is a number of units of one organisation.
type Amount struct {
	Organisation string
	Units        float64
}

// Grant deducts and returns the units that this VM can spare for another VM's shortfall. It
// honours the same reserve as Spend.
func (l *Limiter) Grant(now time.Duration, want Request) float64 {
	b := l.buckets[want.Organisation]
	if b == nil || b.limit.Rate <= 0 {
		return 0
	}
	l.refill(now, b)
	granted := min(want.Units, b.balance*maxGrantShare, b.balance-want.Reserve*b.accrued)
	if granted <= 0 {
		return 0
	}
	b.balance -= granted
	return granted
}

// Credit adds units that another VM granted or returned, and returns the excess that this VM
// cannot use, which goes back to the sender. waiting is the balance that waiting requests need.
// Only up to that may the balance exceed this VM's capacity: hoarded units would add up to more
// than the operator's burst.
func (l *Limiter) Credit(now time.Duration, received Amount, waiting float64) (excess float64) {
	b := l.buckets[received.Organisation]
	if b == nil || b.limit.Rate <= 0 {
		return 0
	}
	l.refill(now, b)
	if waiting > l.capacity(b) {
		b.overCapacityUntil = now + overCapacityPeriod
	}
	before := b.balance
	b.balance = min(max(l.capacity(b), b.balance, waiting), b.balance+received.Units)
	return received.Units - (b.balance - before)
}
