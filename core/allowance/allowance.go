// Package allowance bounds what each organisation spends over all VMs together.
//
// Invariant: over any window the VMs together let through at most what the
// operator's rate and burst allow plus the tolerance the operator grants. A few VMs
// keep an organisation's allowance, chosen by hash among every VM ever heard of,
// reachable or not. Each keeper earns its part of the rate and holds at most its
// part of burst and tolerance; the others ask keepers. Amounts move between VMs only
// by being taken off the giver's balance before they are sent, so a lost message
// loses an amount and can never double it; what the receiver cannot use goes back.
// A process cannot know what its predecessor, or VMs that it has not heard of, spent a moment ago: it
// begins with nothing, also where the whole deployment starts for the first time. A part of the
// tolerance is kept for restarts; a process gets that only where none was taken there within the
// window (Restarted).
package allowance

import "time"

// Limit are what an organisation may spend, over all VMs.
type Limit struct {
	Organisation string
	// Rate in units a second; 0 is unlimited.
	Rate, Burst float64
}

// Tolerance is by how much the operator lets the bound over a window be passed.
type Tolerance struct {
	Window time.Duration
	// Over is a share of what the window allows, Slack a fixed amount in units.
	Over, Slack float64
}

// headroomShare is the part of the tolerance that is left unused, for the moments in
// which a VM that was just added is not known to all others.
const headroomShare = 0.15

// restartShare is the part of the tolerance that is kept for processes that start again.
// After all VMs are killed their organisations' balances are at nothing: without it requests of
// organisations far within their allowance are refused while all engines stand idle.
// The rest of it is for organisations that ask for more than their allowance anyway.
const restartShare = 0.6

// overCapacityPeriod is how long a balance may pass the bound: the time in which a waiting
// request spends it or gives up.
const overCapacityPeriod = 100 * time.Millisecond

// maxGrantShare is the part of its balance that a VM gives to one that lacks.
const maxGrantShare = 0.7

// maxReserveMultiple bounds what a request must leave over, in multiples of its own
// size: a small request takes little from what is kept for others.
const maxReserveMultiple = 10

// Limiter is one VM's balances. It is not safe for concurrent use.
type Limiter struct {
	tol Tolerance
	// shareOf is this VM's shareOf of an organisation's allowance, 0 to 1.
	shareOf func(organisation string) float64
	buckets map[string]*bucket
}

type bucket struct {
	limit      Limit
	share      float64
	balance    float64
	refilledAt time.Duration
	// accrued is what was accrued since the account began here, up to the bound.
	accrued float64
	// overCapacityUntil is until when the balance may pass the bound, for a request that
	// waits for what others gave.
	overCapacityUntil time.Duration
}

// New returns a ledger without any balance.
func New(tol Tolerance) *Limiter {
	return &Limiter{tol: tol, buckets: make(map[string]*bucket), shareOf: func(string) float64 { return 0 }}
}

// SetShares says which part of each organisation's allowance this VM keeps; 0 where
// it keeps none or does not know yet.
func (l *Limiter) SetShares(now time.Duration, shareOf func(organisation string) float64) {
	l.shareOf = shareOf
	for name, b := range l.buckets {
		l.refill(now, b)
		b.share = shareOf(name)
		b.balance = min(b.balance, l.capacity(b))
	}
}

// SetLimits puts the organisations' terms in force.
func (l *Limiter) SetLimits(now time.Duration, limits []Limit) {
	present := make(map[string]bool, len(limits))
	for _, limit := range limits {
		present[limit.Organisation] = true
		b := l.buckets[limit.Organisation]
		if b == nil {
			l.buckets[limit.Organisation] = &bucket{limit: limit, share: l.shareOf(limit.Organisation), refilledAt: now}
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

// capacity is the most that this VM may hold.
func (l *Limiter) capacity(b *bucket) float64 {
	return b.share * (b.limit.Burst + (1-headroomShare-restartShare)*l.toleratedUnits(b))
}

// toleratedUnits is by how much all VMs together may pass what rate and burst allow.
func (l *Limiter) toleratedUnits(b *bucket) float64 {
	return l.tol.Over*(b.limit.Rate*l.tol.Window.Seconds()+b.limit.Burst) + l.tol.Slack
}

// AddRestartGrant gives this VM its part of what is kept for restarts. It must not be called
// twice within the window for one VM, over all its processes.
func (l *Limiter) AddRestartGrant(now time.Duration) {
	for _, b := range l.buckets {
		l.refill(now, b)
		grant := b.share * restartShare * l.toleratedUnits(b)
		b.balance += grant
		b.accrued += grant
	}
}

func (l *Limiter) refill(now time.Duration, b *bucket) {
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

// SpendResult is the outcome of Spend.
type SpendResult struct {
	OK bool
	// Shortfall is what the balance is short of, in units.
	Shortfall float64
	// RetryAfter is the time in which one keeper earns what is lacking.
	RetryAfter time.Duration
	// Balance is what was there before.
	Balance float64
}

// maxRetryAfter bounds Verdict.Wait.
const maxRetryAfter = time.Minute

// Request is what a request takes of an allowance.
type Request struct {
	Amount
	// Reserve is the share that must be left over after it, of the VM's bound or of
	// what it has earned so far, if that is less: a process that has just started
	// would otherwise refuse all but the most urgent for seconds. An
	// organisation that asks for more than its allowance would otherwise spend it on
	// whatever comes first and is small; with a reserve that grows by tier, its most
	// urgent requests find something left. Within the allowance balances are near
	// their bound, and the reserve refuses nothing.
	Reserve float64
}

// Spend takes an amount off the organisation's balance if it is there.
// Organisations without a limit, or unknown here, spend freely.
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
	v.RetryAfter = min(maxRetryAfter, time.Duration(seconds*float64(time.Second)))
	return v
}

// Amount is units of one organisation.
type Amount struct {
	Organisation string
	Units        float64
}

// Grant takes off what this VM can spare for a VM that lacks an amount. It keeps
// the same reserve.
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

// Credit takes in what another VM gave, and returns what it cannot use, which goes
// back. A balance passes this VM's bound only by what a waiting request lacks, given
// in waiting: hoarded amounts would add up to more than the operator's burst.
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
