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

// Terms are what an organisation may spend, over all VMs.
type Terms struct {
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

// reserve is the part of the tolerance that is left unused, for the moments in
// which a VM that was just added is not known to all others.
const reserve = 0.15

// restartShare is the part of the tolerance that is kept for processes that start again.
// After all VMs are killed their organisations' balances are at nothing: without it requests of
// organisations far within their allowance are refused while all engines stand idle.
// The rest of it is for organisations that ask for more than their allowance anyway.
const restartShare = 0.6

// holdOver is how long a balance may pass the bound: the time in which a waiting
// request spends it or gives up.
const holdOver = 100 * time.Millisecond

// giveShare is the part of its balance that a VM gives to one that lacks.
const giveShare = 0.7

// reserveSize bounds what a request must leave over, in multiples of its own
// size: a small request takes little from what is kept for others.
const reserveSize = 10

// Ledger is one VM's balances. It is not safe for concurrent use.
type Ledger struct {
	tol Tolerance
	// part is this VM's part of an organisation's allowance, 0 to 1.
	part     func(organisation string) float64
	accounts map[string]*account
}

type account struct {
	terms   Terms
	part    float64
	balance float64
	at      time.Duration
	// earned is what was earned since the account began here, up to the bound.
	earned float64
	// overUntil is until when the balance may pass the bound, for a request that
	// waits for what others gave.
	overUntil time.Duration
}

// New returns a ledger without any balance.
func New(tol Tolerance) *Ledger {
	return &Ledger{tol: tol, accounts: make(map[string]*account), part: func(string) float64 { return 0 }}
}

// SetParts says which part of each organisation's allowance this VM keeps; 0 where
// it keeps none or does not know yet.
func (l *Ledger) SetParts(now time.Duration, part func(organisation string) float64) {
	l.part = part
	for name, a := range l.accounts {
		l.accrue(now, a)
		a.part = part(name)
		a.balance = min(a.balance, l.bound(a))
	}
}

// SetTerms puts the organisations' terms in force.
func (l *Ledger) SetTerms(now time.Duration, terms []Terms) {
	present := make(map[string]bool, len(terms))
	for _, t := range terms {
		present[t.Organisation] = true
		a := l.accounts[t.Organisation]
		if a == nil {
			l.accounts[t.Organisation] = &account{terms: t, part: l.part(t.Organisation), at: now}
			continue
		}
		l.accrue(now, a)
		a.terms = t
		a.balance = min(a.balance, l.bound(a))
	}
	for name := range l.accounts {
		if !present[name] {
			delete(l.accounts, name)
		}
	}
}

// bound is the most that this VM may hold.
func (l *Ledger) bound(a *account) float64 {
	return a.part * (a.terms.Burst + (1-reserve-restartShare)*l.tolerated(a))
}

// tolerated is by how much all VMs together may pass what rate and burst allow.
func (l *Ledger) tolerated(a *account) float64 {
	return l.tol.Over*(a.terms.Rate*l.tol.Window.Seconds()+a.terms.Burst) + l.tol.Slack
}

// Restarted gives this VM its part of what is kept for restarts. It must not be called
// twice within the window for one VM, over all its processes.
func (l *Ledger) Restarted(now time.Duration) {
	for _, a := range l.accounts {
		l.accrue(now, a)
		grant := a.part * restartShare * l.tolerated(a)
		a.balance += grant
		a.earned += grant
	}
}

func (l *Ledger) accrue(now time.Duration, a *account) {
	if a.part == 0 {
		a.at = now
		if now > a.overUntil {
			a.balance = 0
		}
		return
	}
	bound := l.bound(a)
	earned := a.terms.Rate * a.part * max(0, (now-a.at).Seconds())
	a.at = now
	a.earned = min(bound, a.earned+earned)
	if a.balance > bound && now <= a.overUntil {
		return
	}
	a.balance = min(bound, a.balance+earned)
}

// Verdict is the outcome of Spend.
type Verdict struct {
	OK bool
	// Lacking is what the balance is short of, in units.
	Lacking float64
	// Wait is the time in which one keeper earns what is lacking.
	Wait time.Duration
	// Balance is what was there before.
	Balance float64
}

// maxWait bounds Verdict.Wait.
const maxWait = time.Minute

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
func (l *Ledger) Spend(now time.Duration, r Request) Verdict {
	a := l.accounts[r.Organisation]
	if a == nil || a.terms.Rate <= 0 {
		return Verdict{OK: true}
	}
	l.accrue(now, a)
	need := r.Units + r.Reserve*min(a.earned, reserveSize*r.Units)
	v := Verdict{OK: a.balance >= need, Balance: a.balance}
	if v.OK {
		a.balance -= r.Units
		return v
	}
	v.Lacking = need - a.balance
	part := a.part
	if part == 0 {
		part = 1.0 / keeperCount
	}
	seconds := v.Lacking / part / a.terms.Rate
	v.Wait = min(maxWait, time.Duration(seconds*float64(time.Second)))
	return v
}

// Amount is units of one organisation.
type Amount struct {
	Organisation string
	Units        float64
}

// Give takes off what this VM can spare for a VM that lacks an amount. It keeps
// the same reserve.
func (l *Ledger) Give(now time.Duration, want Request) float64 {
	a := l.accounts[want.Organisation]
	if a == nil || a.terms.Rate <= 0 {
		return 0
	}
	l.accrue(now, a)
	give := min(want.Units, a.balance*giveShare, a.balance-want.Reserve*a.earned)
	if give <= 0 {
		return 0
	}
	a.balance -= give
	return give
}

// Receive takes in what another VM gave, and returns what it cannot use, which goes
// back. A balance passes this VM's bound only by what a waiting request lacks, given
// in waiting: hoarded amounts would add up to more than the operator's burst.
func (l *Ledger) Receive(now time.Duration, got Amount, waiting float64) (back float64) {
	a := l.accounts[got.Organisation]
	if a == nil || a.terms.Rate <= 0 {
		return 0
	}
	l.accrue(now, a)
	if waiting > l.bound(a) {
		a.overUntil = now + holdOver
	}
	before := a.balance
	a.balance = min(max(l.bound(a), a.balance, waiting), a.balance+got.Units)
	return got.Units - (a.balance - before)
}
