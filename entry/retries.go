package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivefield/chivefield/core/budget"
)

// retryBudgets are this process's budgets of repeats, by service.
type retryBudgets struct {
	d *Daemon
	// fleetKnown says that the list of VMs was read after this VM's record was written, noRecentPredecessor that
	// the process before this one, if there was any, started long ago.
	fleetKnown, noRecentPredecessor atomic.Bool

	mu      sync.Mutex
	budgets map[string]*budget.Budget
	// lastLogged is what the last line on a service's budget said.
	lastLogged map[string]budget.Counts
}

func newRetryBudgets(d *Daemon) *retryBudgets {
	return &retryBudgets{d: d, budgets: make(map[string]*budget.Budget), lastLogged: make(map[string]budget.Counts)}
}

// setFleetKnown says that the list of VMs is known as of this VM's own record.
func (r *retryBudgets) setFleetKnown(noRecentPredecessor bool) {
	r.noRecentPredecessor.Store(noRecentPredecessor)
	r.fleetKnown.Store(true)
}

// recordRequest earns for one recordRequest of a caller to a service.
func (r *retryBudgets) recordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgetFor(service).Request(r.d.now())
}

// acquire takes one repeat off the service's budget.
func (r *retryBudgets) acquire(service string) (budget.Repeat, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgetFor(service)
	b.SetFixed(r.fixedRetries())
	p, ok := b.Pay(r.d.now())
	if !ok {
		r.d.count("repeats_refused." + service)
		return p, false
	}
	r.d.count("repeats_paid." + service)
	return p, true
}

// renew says whether a repeat that was paid may leave now.
func (r *retryBudgets) renew(service string, p budget.Repeat) (budget.Repeat, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgetFor(service).Renew(r.d.now(), p)
}

// recordSent notes that a repeat left for an endpoint.
func (r *retryBudgets) recordSent(service string, p budget.Repeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgetFor(service).Sent(r.d.now(), p)
	r.d.count("repeats_sent." + service)
}

// release gives back a repeat that did not leave.
func (r *retryBudgets) release(service string, p budget.Repeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgetFor(service).GiveBack(r.d.now(), p)
}

// fixedRetries is how many repeats of the fixedRetries number this process may send in a window. One that follows
// another soon has none until it has lived for a window: processes in series would send some each.
func (r *retryBudgets) fixedRetries() int {
	if !r.fleetKnown.Load() || !r.noRecentPredecessor.Load() && r.d.now() < r.d.settings.RetryWindow {
		return 0
	}
	return budget.Fixed(r.d.settings.Bounds.RetrySlack, r.d.peers.fleetSize())
}

func (r *retryBudgets) budgetFor(service string) *budget.Budget {
	b := r.budgets[service]
	if b == nil {
		b = budget.New(r.d.settings.Bounds.RetryRatio, r.d.settings.RetryWindow)
		r.budgets[service] = b
	}
	return b
}

// retryPermit are what one request paid for: at most the next time that it is sent.
type retryPermit struct {
	budgets *retryBudgets
	service string
	held    bool
	permit  budget.Repeat
}

// acquire pays for the next time, unless that is done.
func (r *retryPermit) acquire() bool {
	if !r.held {
		r.permit, r.held = r.budgets.acquire(r.service)
	}
	return r.held
}

// adopt takes over what was paid elsewhere.
func (r *retryPermit) adopt(p budget.Repeat) {
	if r.held {
		r.budgets.release(r.service, p)
		return
	}
	r.permit, r.held = p, true
}

// renew says whether the next time is paid, as of now.
func (r *retryPermit) renew() bool {
	if r.held {
		r.permit, r.held = r.budgets.renew(r.service, r.permit)
	}
	return r.held
}

// recordSent says that the request was recordSent once more.
func (r *retryPermit) recordSent() {
	r.held = false
	r.budgets.recordSent(r.service, r.permit)
}

// release gives back what was paid and not used.
func (r *retryPermit) release() {
	if r.held {
		r.held = false
		r.budgets.release(r.service, r.permit)
	}
}

// budgetLogInterval is how often the budgets are logged, those of which repeats were asked.
const budgetLogInterval = 5 * time.Second

// logPeriodically logs the budgets now and then, so that the sum over all VMs can be had afterwards.
func (r *retryBudgets) logPeriodically(ctx context.Context) error {
	t := time.NewTicker(budgetLogInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			r.logChanges()
			return nil
		case <-t.C:
			r.logChanges()
		}
	}
}

// logChanges logs the budgets that changed by more than what they earned.
func (r *retryBudgets) logChanges() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, b := range r.budgets {
		c, last := b.Counts(), r.lastLogged[service]
		earned := last
		earned.Requests = c.Requests
		if c == earned {
			continue
		}
		r.lastLogged[service] = c
		r.d.log.Info().Str("service", service).Float64("held", b.Held(r.d.now())).Int("requests", c.Requests).Int("paid", c.Paid).
			Int("refused", c.Refused).Int("sent", c.Sent).Int("given_back", c.GivenBack).Int("expired", c.Expired).Msg("retry_budget")
	}
}
