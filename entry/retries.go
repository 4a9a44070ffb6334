package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivefield/chivefield/core/budget"
)

// retries are this process's budgets of repeats, by service.
type retries struct {
	d *Daemon
	// listed says that the list of VMs was read after this VM's record was written, apart that
	// the process before this one, if there was any, started long ago.
	listed, apart atomic.Bool

	mu      sync.Mutex
	budgets map[string]*budget.Budget
	// told is what the last line on a service's budget said.
	told map[string]budget.Counts
}

func newRetries(d *Daemon) *retries {
	return &retries{d: d, budgets: make(map[string]*budget.Budget), told: make(map[string]budget.Counts)}
}

// noteListed says that the list of VMs is known as of this VM's own record.
func (r *retries) noteListed(apart bool) {
	r.apart.Store(apart)
	r.listed.Store(true)
}

// request earns for one request of a caller to a service.
func (r *retries) request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).RecordRequest(r.d.now())
}

// pay takes one repeat off the service's budget.
func (r *retries) pay(service string) (budget.Permit, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(service)
	b.SetFixedRetries(r.fixed())
	p, ok := b.Acquire(r.d.now())
	if !ok {
		r.d.count("repeats_refused." + service)
		return p, false
	}
	r.d.count("repeats_paid." + service)
	return p, true
}

// renew says whether a repeat that was paid may leave now.
func (r *retries) renew(service string, p budget.Permit) (budget.Permit, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Renew(r.d.now(), p)
}

// sent notes that a repeat left for an endpoint.
func (r *retries) sent(service string, p budget.Permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).RecordSent(r.d.now(), p)
	r.d.count("repeats_sent." + service)
}

// giveBack gives back a repeat that did not leave.
func (r *retries) giveBack(service string, p budget.Permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Refund(r.d.now(), p)
}

// fixed is how many repeats of the fixed number this process may send in a window. One that follows
// another soon has none until it has lived for a window: processes in series would send some each.
func (r *retries) fixed() int {
	if !r.listed.Load() || !r.apart.Load() && r.d.now() < r.d.set.RetryWindow {
		return 0
	}
	return budget.FixedRetries(r.d.set.Bounds.RetrySlack, r.d.peers.fleetSize())
}

func (r *retries) budget(service string) *budget.Budget {
	b := r.budgets[service]
	if b == nil {
		b = budget.New(r.d.set.Bounds.RetryRatio, r.d.set.RetryWindow)
		r.budgets[service] = b
	}
	return b
}

// repeats are what one request paid for: at most the next time that it is sent.
type repeats struct {
	retries *retries
	service string
	paid    bool
	repeat  budget.Permit
}

// pay pays for the next time, unless that is done.
func (r *repeats) pay() bool {
	if !r.paid {
		r.repeat, r.paid = r.retries.pay(r.service)
	}
	return r.paid
}

// take takes over what was paid elsewhere.
func (r *repeats) take(p budget.Permit) {
	if r.paid {
		r.retries.giveBack(r.service, p)
		return
	}
	r.repeat, r.paid = p, true
}

// mayLeave says whether the next time is paid, as of now.
func (r *repeats) mayLeave() bool {
	if r.paid {
		r.repeat, r.paid = r.retries.renew(r.service, r.repeat)
	}
	return r.paid
}

// sent says that the request was sent once more.
func (r *repeats) sent() {
	r.paid = false
	r.retries.sent(r.service, r.repeat)
}

// over gives back what was paid and not used.
func (r *repeats) over() {
	if r.paid {
		r.paid = false
		r.retries.giveBack(r.service, r.repeat)
	}
}

// retriesToldEvery is how often the budgets are logged, those of which repeats were asked.
const retriesToldEvery = 5 * time.Second

// keep logs the budgets now and then, so that the sum over all VMs can be had afterwards.
func (r *retries) keep(ctx context.Context) error {
	t := time.NewTicker(retriesToldEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			r.tell()
			return nil
		case <-t.C:
			r.tell()
		}
	}
}

// tell logs the budgets that changed by more than what they earned.
func (r *retries) tell() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, b := range r.budgets {
		c, last := b.Counts(), r.told[service]
		earned := last
		earned.Requests = c.Requests
		if c == earned {
			continue
		}
		r.told[service] = c
		r.d.log.Info().Str("service", service).Float64("held", b.Balance(r.d.now())).Int("requests", c.Requests).Int("paid", c.Acquired).
			Int("refused", c.Refused).Int("sent", c.Sent).Int("given_back", c.Refunded).Int("expired", c.Expired).Msg("retry_budget")
	}
}
