package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivefield/chivefield/core/budget"
	"github.com/chivefield/chivefield/core/mechanism"
)

// retryBudgets holds this process's retry budgets, one per service.
type retryBudgets struct {
	d *Daemon
	// fleetKnown is set once the list of VMs was read after this VM's record was written,
	// noRecentPredecessor if the previous process of this VM started long ago or there was none.
	fleetKnown, noRecentPredecessor atomic.Bool
	// fleetRead is closed when fleetKnown is set.
	fleetRead     chan struct{}
	fleetReadOnce sync.Once

	mu      sync.Mutex
	budgets map[string]*budget.Budget
	// lastLogged holds the counts in the last log line for each service.
	lastLogged map[string]budget.Counts
}

func newRetryBudgets(d *Daemon) *retryBudgets {
	return &retryBudgets{d: d, fleetRead: make(chan struct{}), budgets: make(map[string]*budget.Budget), lastLogged: make(map[string]budget.Counts)}
}

// setFleetKnown records that a list of VMs was read that includes this VM's own record.
func (r *retryBudgets) setFleetKnown(noRecentPredecessor bool) {
	r.noRecentPredecessor.Store(noRecentPredecessor)
	r.fleetKnown.Store(true)
	r.fleetReadOnce.Do(func() { close(r.fleetRead) })
}

const (
	// fleetWait is how long a retry waits for the list of VMs, fleetWaitUptime the uptime until which retries wait:
	// the write before that list may take seconds when many VMs start, and refusals must not be late for as long
	// as the store is away.
	fleetWait       = 500 * time.Millisecond
	fleetWaitUptime = 3 * time.Second
)

// awaitFleet waits shortly after the start until the list of VMs was read, on which the fixed retries
// depend, or until ctx ends. It does not wait for a retry that the budget already covers.
func (r *retryBudgets) awaitFleet(ctx context.Context, service string) {
	if r.fleetKnown.Load() || r.d.now() > fleetWaitUptime || r.d.settings.Disabled.Has(mechanism.StartWait) || r.mayAcquireFor(service, 0) {
		return
	}
	t := time.NewTimer(fleetWait)
	defer t.Stop()
	select {
	case <-r.fleetRead:
	case <-t.C:
	case <-ctx.Done():
	}
}

// recordRequest adds what one request of a caller earns to the service's budget.
func (r *retryBudgets) recordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgetFor(service).RecordRequest(r.d.now())
}

// acquire takes one retry from the service's budget, to be sent at once.
func (r *retryBudgets) acquire(service string) (budget.Permit, bool) {
	return r.acquireFor(service, 0)
}

// acquireFor takes one retry that may be sent within the given time.
func (r *retryBudgets) acquireFor(service string, hold time.Duration) (budget.Permit, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgetFor(service)
	b.SetFixedRetries(r.fixedRetries())
	p, ok := b.AcquireFor(r.d.now(), hold)
	if !ok {
		r.d.count("repeats_refused." + service)
		return p, false
	}
	r.d.count("repeats_paid." + service)
	return p, true
}

// mayAcquireFor reports whether acquireFor would succeed now.
func (r *retryBudgets) mayAcquireFor(service string, hold time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgetFor(service)
	b.SetFixedRetries(r.fixedRetries())
	return b.MayAcquireFor(r.d.now(), hold)
}

// renew reports whether an acquired retry may be sent now, and re-acquires it if it has expired.
func (r *retryBudgets) renew(service string, permit budget.Permit) (budget.Permit, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgetFor(service).Renew(r.d.now(), permit)
}

// recordSent records that a retry was sent to an endpoint.
func (r *retryBudgets) recordSent(service string, permit budget.Permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgetFor(service).RecordSent(r.d.now(), permit)
	r.d.count("repeats_sent." + service)
}

// release returns a retry that was not sent to the budget.
func (r *retryBudgets) release(service string, permit budget.Permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgetFor(service).Refund(r.d.now(), permit)
}

// fixedRetries returns how many retries of the budget's fixed part this process may send in a
// window. A process that started soon after its predecessor gets none until it has been up for a
// window: otherwise a series of restarting processes would each send some.
func (r *retryBudgets) fixedRetries() int {
	if !r.fleetKnown.Load() || !r.noRecentPredecessor.Load() && r.d.now() < r.d.settings.RetryWindow {
		return 0
	}
	return budget.FixedRetries(r.d.settings.Bounds.RetrySlack, r.d.peers.fleetSize())
}

func (r *retryBudgets) budgetFor(service string) *budget.Budget {
	b := r.budgets[service]
	if b == nil {
		b = budget.New(r.d.settings.Bounds.RetryRatio, r.d.settings.RetryWindow)
		r.budgets[service] = b
	}
	return b
}

// retryPermit holds the retry acquired for one request: at most the next time that it is sent.
type retryPermit struct {
	budgets *retryBudgets
	service string
	held    bool
	permit  budget.Permit
}

// acquire acquires a retry unless one is held, and reports whether one is held. A process that has just
// started may first have to read the list of VMs.
func (r *retryPermit) acquire(ctx context.Context) bool {
	if !r.held {
		r.budgets.awaitFleet(ctx, r.service)
		r.permit, r.held = r.budgets.acquire(r.service)
	}
	return r.held
}

// acquireFor acquires a retry that may be sent within the given time, and reports whether there was one.
func (r *retryPermit) acquireFor(hold time.Duration) bool {
	r.permit, r.held = r.budgets.acquireFor(r.service, hold)
	return r.held
}

// adopt takes over the retry that another permit holds.
func (r *retryPermit) adopt(other *retryPermit) {
	if r.held {
		other.release()
		return
	}
	r.permit, r.held = other.permit, other.held
	other.held = false
}

// renew reports whether the held retry, if any, may still be sent.
func (r *retryPermit) renew() bool {
	if r.held {
		r.permit, r.held = r.budgets.renew(r.service, r.permit)
	}
	return r.held
}

// recordSent records that the held retry was sent.
func (r *retryPermit) recordSent() {
	r.held = false
	r.budgets.recordSent(r.service, r.permit)
}

// release returns an unused retry to the budget.
func (r *retryPermit) release() {
	if r.held {
		r.held = false
		r.budgets.release(r.service, r.permit)
	}
}

// budgetLogInterval is how often the budgets are logged from which retries were requested.
const budgetLogInterval = 5 * time.Second

// logPeriodically logs the budgets at an interval and at shutdown, so that the total over all VMs
// can be computed from the logs.
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

// logChanges logs the budgets in which more has changed than the number of requests.
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
		r.d.log.Info().Str("service", service).Float64("held", b.Balance(r.d.now())).Int("requests", c.Requests).Int("paid", c.Acquired).
			Int("refused", c.Refused).Int("sent", c.Sent).Int("given_back", c.Refunded).Int("expired", c.Expired).Msg("retry_budget")
	}
}
