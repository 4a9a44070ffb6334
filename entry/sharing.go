package entry

import (
	"context"
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
	terms := make([]allowance.Terms, 0, len(t.Document.Organisations))
	for _, o := range t.Document.Organisations {
		terms = append(terms, allowance.Terms{Organisation: o.Name, Rate: o.Rate, Burst: o.Burst})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.SetTerms(s.now(), terms)
}

func (s *sharing) setVMs(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = n
	s.ledger.SetVMs(s.now(), n)
}

// grantWait is how long a request waits for amounts of other VMs. They answer
// within a round trip of a few ms.
const grantWait = 40 * time.Millisecond

// spend takes an amount off the organisation's allowance. If this VM has too
// little, it asks others and waits for their answers a moment.
func (s *sharing) spend(ctx context.Context, organisation string, amount float64, ask func(allowance.Amount)) allowance.Verdict {
	s.mu.Lock()
	v := s.ledger.Spend(s.now(), organisation, amount)
	if v.OK {
		s.mu.Unlock()
		return v
	}
	s.waiting[organisation] += amount
	s.mu.Unlock()
	ask(allowance.Amount{Organisation: organisation, Units: v.Lacking})
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
		v = s.ledger.Spend(s.now(), organisation, amount)
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[organisation] -= amount; s.waiting[organisation] <= 0 {
		delete(s.waiting, organisation)
	}
	return v
}

func (s *sharing) give(want allowance.Amount) float64 {
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

func (s *sharing) budget(service string) *budget.Budget {
	b := s.budgets[service]
	if b == nil {
		part := s.set.Bounds.RetrySlack / float64(max(1, s.vms))
		b = budget.New(s.set.Bounds.RetryRatio*(1-retryReserve), part*(1-retryReserve), s.set.Vm.FirstStart)
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
