package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/settings"

	"github.com/chivefield/chivefield/core/mechanism"
)

// sharedAllowances holds this VM's share of the allowances that all VMs spend from.
type sharedAllowances struct {
	now      func() time.Duration
	settings *settings.Entry

	mu      sync.Mutex
	limiter *allowance.Limiter
	// receipts are the transfers received from other VMs.
	receipts *allowance.Receipts
	// vms are all VMs, empty until they are known; holders are the VMs that hold a share of an
	// organisation's allowance.
	vms     []allowance.VM
	fleet   allowance.Fleet
	holders map[string][]allowance.VM
	// reserves is the balance, by tier, that requests of the tier must leave.
	reserves map[int]float64
	// pending is the amount, by organisation, that waiting requests need from other VMs.
	pending      map[string]float64
	grantArrived chan struct{}
}

// newSharedAllowances returns the allowances of the process with the given incarnation.
func newSharedAllowances(set *settings.Entry, incarnation uint64, now func() time.Duration) *sharedAllowances {
	tol := allowance.Tolerance{Window: set.AllowanceWindow, Over: set.Bounds.AllowanceOver, Slack: set.Bounds.AllowanceSlack}
	return &sharedAllowances{
		now: now, settings: set, limiter: allowance.New(tol), receipts: allowance.NewReceipts(incarnation),
		pending: make(map[string]float64), grantArrived: make(chan struct{}), holders: make(map[string][]allowance.VM),
	}
}

func (s *sharedAllowances) setTable(t *routing.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := make([]allowance.Limit, 0, len(t.Document.Organisations))
	s.reserves = reservesByTier(t.Document.Routes)
	for _, o := range t.Document.Organisations {
		limits = append(limits, allowance.Limit{Organisation: o.Name, Rate: o.Rate, Burst: o.Burst})
	}
	s.limiter.SetLimits(s.now(), limits)
}

// creditRestartAllowance adds the allowance reserved for restarted processes.
func (s *sharedAllowances) creditRestartAllowance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.AddRestartGrant(s.now())
}

// setVMs sets the list of all VMs of the deployment, this one included.
func (s *sharedAllowances) setVMs(vms []allowance.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(vms) == len(s.vms) {
		return
	}
	s.vms, s.fleet = vms, allowance.NewFleet(vms)
	s.holders = make(map[string][]allowance.VM)
	s.limiter.SetShares(s.now(), s.shareOf)
}

// holdersOf returns the VMs that hold a share of an organisation's allowance.
func (s *sharedAllowances) holdersOf(organisation string) []allowance.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdersLocked(organisation)
}

func (s *sharedAllowances) holdersLocked(organisation string) []allowance.VM {
	holders, ok := s.holders[organisation]
	if !ok {
		holders = s.fleet.Holders(organisation)
		s.holders[organisation] = holders
	}
	return holders
}

// shareOf returns this VM's share of an organisation's allowance, from 0 to 1.
func (s *sharedAllowances) shareOf(organisation string) float64 {
	holders := s.holdersLocked(organisation)
	if !slices.ContainsFunc(holders, func(v allowance.VM) bool { return v.Address == s.settings.Listen.Peers }) {
		return 0
	}
	return 1 / float64(len(holders))
}

const (
	// grantTimeout is how long a request waits for grants of other VMs. They respond within a round
	// trip of a few ms.
	grantTimeout = 40 * time.Millisecond
	// askMoreAfter is the delay after which the remaining holders are asked.
	askMoreAfter = 12 * time.Millisecond
)

// spend deducts an amount from the organisation's allowance. If this VM's balance is too low, it
// asks other VMs for grants and waits up to grantTimeout.
func (s *sharedAllowances) spend(ctx context.Context, r allowance.Request, ask func(want allowance.Request, more bool)) allowance.SpendResult {
	s.mu.Lock()
	v := s.limiter.Spend(s.now(), r)
	if v.OK {
		s.mu.Unlock()
		return v
	}
	s.pending[r.Organisation] += r.Units + v.Shortfall
	held := r.Units + v.Shortfall
	s.mu.Unlock()
	want := allowance.Request{Amount: allowance.Amount{Organisation: r.Organisation, Units: v.Shortfall}, Reserve: r.Reserve}
	ask(want, false)
	timeout, more := time.NewTimer(grantTimeout), time.NewTimer(askMoreAfter)
	defer timeout.Stop()
	defer more.Stop()
	for done := false; !done && !v.OK; {
		s.mu.Lock()
		arrived := s.grantArrived
		s.mu.Unlock()
		select {
		case <-arrived:
		case <-more.C:
			want.Units = v.Shortfall
			ask(want, true)
		case <-timeout.C:
			done = true
		case <-ctx.Done():
			done = true
		}
		s.mu.Lock()
		v = s.limiter.Spend(s.now(), r)
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[r.Organisation] -= held; s.pending[r.Organisation] <= 0 {
		delete(s.pending, r.Organisation)
	}
	return v
}

func (s *sharedAllowances) grant(want allowance.Request) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Grant(s.now(), want)
}

// accept reports whether a transfer may be credited; it is then not accepted again.
func (s *sharedAllowances) accept(t allowance.Transfer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.receipts.Accept(s.now(), t)
}

// receiveGrant credits an amount granted by another VM and returns the excess to send back.
func (s *sharedAllowances) receiveGrant(got allowance.Amount) (back float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	back = s.limiter.Credit(s.now(), got, s.pending[got.Organisation])
	close(s.grantArrived)
	s.grantArrived = make(chan struct{})
	return back
}

// maxReserve is the reserve for the lowest tier; the highest has none.
const maxReserve = 0.5

// reservesByTier spaces the reserves evenly over the tiers of the routes.
func reservesByTier(routes []*routing.Route) map[int]float64 {
	var tiers []int
	for _, r := range routes {
		if !slices.Contains(tiers, r.Tier) {
			tiers = append(tiers, r.Tier)
		}
	}
	slices.Sort(tiers)
	m := make(map[int]float64, len(tiers))
	for i, t := range tiers {
		m[t] = maxReserve * float64(i) / float64(max(1, len(tiers)-1))
	}
	return m
}

func (s *sharedAllowances) reserveFor(tier int) float64 {
	if s.settings.Disabled.Has(mechanism.TierReserve) {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserves[tier]
}

// refund credits what a request that did not run had spent, and returns the excess that this VM may
// not keep.
func (s *sharedAllowances) refund(a allowance.Amount) (back float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Credit(s.now(), a, 0)
}
