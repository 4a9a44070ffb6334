package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/budget"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/settings"
)

// sharing is this VM's part of what all VMs share: allowances and the budgets of
// repeats.
type sharing struct {
	now func() time.Duration
	set *settings.Entry

	mu      sync.Mutex
	ledger  *allowance.Ledger
	budgets map[string]*budget.Budget
	vms     int
	// reserves are what requests of a tier must leave over.
	reserves map[int]float64
	// waiting are requests that wait for amounts of other VMs, by organisation.
	waiting map[string]float64
	arrived chan struct{}
}

func newSharing(set *settings.Entry, now func() time.Duration) *sharing {
	tol := allowance.Tolerance{Window: set.AllowanceWindow, Over: set.Bounds.AllowanceOver, Slack: set.Bounds.AllowanceSlack}
	return &sharing{
		now: now, set: set, ledger: allowance.New(tol, set.Vm.FirstStart), budgets: make(map[string]*budget.Budget),
		waiting: make(map[string]float64), arrived: make(chan struct{}),
	}
}

func (s *sharing) setTable(t *routing.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	terms := make([]allowance.Terms, 0, len(t.Document.Organisations))
	s.reserves = reserves(t.Document.Routes)
	for _, o := range t.Document.Organisations {
		terms = append(terms, allowance.Terms{Organisation: o.Name, Rate: o.Rate, Burst: o.Burst})
	}
	s.ledger.SetTerms(s.now(), terms)
}

func (s *sharing) setVMs(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n == s.vms {
		return
	}
	s.vms = n
	s.ledger.SetVMs(s.now(), n)
	for _, b := range s.budgets {
		b.SetCap(s.retryPart())
	}
}

// grantWait is how long a request waits for amounts of other VMs. They answer
// within a round trip of a few ms.
const grantWait = 40 * time.Millisecond

// spend takes an amount off the organisation's allowance. If this VM has too
// little, it asks others and waits for their answers a moment.
func (s *sharing) spend(ctx context.Context, r allowance.Request, ask func(allowance.Request)) allowance.Verdict {
	s.mu.Lock()
	v := s.ledger.Spend(s.now(), r)
	if v.OK {
		s.mu.Unlock()
		return v
	}
	s.waiting[r.Organisation] += r.Units + v.Lacking
	held := r.Units + v.Lacking
	s.mu.Unlock()
	ask(allowance.Request{Amount: allowance.Amount{Organisation: r.Organisation, Units: v.Lacking}, Reserve: r.Reserve})
	timeout := time.NewTimer(grantWait)
	defer timeout.Stop()
	for done := false; !done && !v.OK; {
		s.mu.Lock()
		arrived := s.arrived
		s.mu.Unlock()
		select {
		case <-arrived:
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
	return s.ledger.Give(s.now(), want)
}

func (s *sharing) receive(got allowance.Amount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Receive(s.now(), got, s.waiting[got.Organisation])
	close(s.arrived)
	s.arrived = make(chan struct{})
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
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserves[tier]
}

// mayRepeat takes one repeat off the service's budget.
func (s *sharing) mayRepeat(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(service).Spend()
}

// request earns for one request of a caller to a service.
func (s *sharing) request(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).Request()
}

// retryReserve is the part of the retry budget that is left unused.
const retryReserve = 0.1

// retryPart is this VM's part of the fixed number of repeats; nothing while the
// number of VMs is not known.
func (s *sharing) retryPart() float64 {
	if s.vms == 0 {
		return 0
	}
	return s.set.Bounds.RetrySlack * (1 - retryReserve) / float64(s.vms)
}

func (s *sharing) budget(service string) *budget.Budget {
	b := s.budgets[service]
	if b == nil {
		b = budget.New(s.set.Bounds.RetryRatio*(1-retryReserve), s.retryPart(), s.set.Vm.FirstStart)
		s.budgets[service] = b
	}
	return b
}

// refund gives back what a request that was not run had spent.
func (s *sharing) refund(a allowance.Amount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Receive(s.now(), a, 0)
}
