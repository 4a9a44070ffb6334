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

// sharing is this VM's part of the allowances that all VMs share.
type sharing struct {
	now func() time.Duration
	set *settings.Entry

	mu     sync.Mutex
	ledger *allowance.Limiter
	// vms are all VMs, empty while they are not known; keepers are those that keep
	// an organisation's allowance.
	vms     []allowance.VM
	keepers map[string][]allowance.VM
	// reserves are what requests of a tier must leave over.
	reserves map[int]float64
	// waiting are requests that wait for amounts of other VMs, by organisation.
	waiting map[string]float64
	arrived chan struct{}
}

func newSharing(set *settings.Entry, now func() time.Duration) *sharing {
	tol := allowance.Tolerance{Window: set.AllowanceWindow, Over: set.Bounds.AllowanceOver, Slack: set.Bounds.AllowanceSlack}
	return &sharing{
		now: now, set: set, ledger: allowance.New(tol),
		waiting: make(map[string]float64), arrived: make(chan struct{}), keepers: make(map[string][]allowance.VM),
	}
}

func (s *sharing) setTable(t *routing.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	terms := make([]allowance.Limit, 0, len(t.Document.Organisations))
	s.reserves = reserves(t.Document.Routes)
	for _, o := range t.Document.Organisations {
		terms = append(terms, allowance.Limit{Organisation: o.Name, Rate: o.Rate, Burst: o.Burst})
	}
	s.ledger.SetLimits(s.now(), terms)
}

// restarted takes what is kept for processes that start again.
func (s *sharing) restarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.AddRestartGrant(s.now())
}

// setVMs takes in all VMs of the deployment, this one included.
func (s *sharing) setVMs(vms []allowance.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(vms) == len(s.vms) {
		return
	}
	s.vms = vms
	s.keepers = make(map[string][]allowance.VM)
	s.ledger.SetShares(s.now(), s.part)
}

// keepersOf are the VMs that keep an organisation's allowance.
func (s *sharing) keepersOf(organisation string) []allowance.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keepersLocked(organisation)
}

func (s *sharing) keepersLocked(organisation string) []allowance.VM {
	k, ok := s.keepers[organisation]
	if !ok {
		k = allowance.Holders(organisation, s.vms)
		s.keepers[organisation] = k
	}
	return k
}

// part is this VM's part of an organisation's allowance.
func (s *sharing) part(organisation string) float64 {
	k := s.keepersLocked(organisation)
	if !slices.ContainsFunc(k, func(v allowance.VM) bool { return v.Address == s.set.Listen.Peers }) {
		return 0
	}
	return 1 / float64(len(k))
}

const (
	// grantWait is how long a request waits for amounts of other VMs. They answer
	// within a round trip of a few ms.
	grantWait = 40 * time.Millisecond
	// askMore is after how long more keepers are asked.
	askMore = 12 * time.Millisecond
)

// spend takes an amount off the organisation's allowance. If this VM has too
// little, it asks others and waits for their answers a moment.
func (s *sharing) spend(ctx context.Context, r allowance.Request, ask func(want allowance.Request, more bool)) allowance.SpendResult {
	s.mu.Lock()
	v := s.ledger.Spend(s.now(), r)
	if v.OK {
		s.mu.Unlock()
		return v
	}
	s.waiting[r.Organisation] += r.Units + v.Shortfall
	held := r.Units + v.Shortfall
	s.mu.Unlock()
	want := allowance.Request{Amount: allowance.Amount{Organisation: r.Organisation, Units: v.Shortfall}, Reserve: r.Reserve}
	ask(want, false)
	timeout, more := time.NewTimer(grantWait), time.NewTimer(askMore)
	defer timeout.Stop()
	defer more.Stop()
	for done := false; !done && !v.OK; {
		s.mu.Lock()
		arrived := s.arrived
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
		v = s.ledger.Spend(s.now(), r)
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[r.Organisation] -= held; s.waiting[r.Organisation] <= 0 {
		delete(s.waiting, r.Organisation)
	}
	return v
}

func (s *sharing) give(want allowance.Request) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Grant(s.now(), want)
}

// receive takes in what another VM gave, and returns what goes back to it.
func (s *sharing) receive(got allowance.Amount) (back float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	back = s.ledger.Credit(s.now(), got, s.waiting[got.Organisation])
	close(s.arrived)
	s.arrived = make(chan struct{})
	return back
}

// mostReserve is the reserve of the lowest tier; the highest leaves none.
const mostReserve = 0.5

// reserves spreads the tiers of routes over the reserves.
func reserves(routes []*routing.Route) map[int]float64 {
	var tiers []int
	for _, r := range routes {
		if !slices.Contains(tiers, r.Tier) {
			tiers = append(tiers, r.Tier)
		}
	}
	slices.Sort(tiers)
	m := make(map[int]float64, len(tiers))
	for i, t := range tiers {
		m[t] = mostReserve * float64(i) / float64(max(1, len(tiers)-1))
	}
	return m
}

func (s *sharing) reserve(tier int) float64 {
	if s.set.Off.Has(mechanism.TierReserve) {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserves[tier]
}

// refund gives back what a request that was not run had spent, and returns what
// this VM may not keep.
func (s *sharing) refund(a allowance.Amount) (back float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Credit(s.now(), a, 0)
}
