package entry

import (
	"context"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/budget"
	"github.com/chivefield/chivefield/settings"
)

// retries are this VM's budgets of repeats, by service.
type retries struct {
	d   *Daemon
	set *settings.Entry

	mu      sync.Mutex
	budgets map[string]*budget.Budget
	// vms is the number of VMs that the fixed number is divided by, 0 while it is not known.
	vms int
	// told is what the last line on a service's budget said.
	told map[string]budget.Counts
}

func newRetries(d *Daemon) *retries {
	return &retries{d: d, set: d.set, budgets: make(map[string]*budget.Budget), told: make(map[string]budget.Counts)}
}

// setVMs says how many VMs there are.
func (r *retries) setVMs(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms = n
	for _, b := range r.budgets {
		b.SetCap(r.part())
	}
}

// pay takes one repeat off the service's budget.
func (r *retries) pay(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Spend()
}

// sent notes that a request leaves for a further endpoint.
func (r *retries) sent(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Sent()
}

// request earns for one request of a caller to a service.
func (r *retries) request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Request()
}

// retryReserve is the part of the retry budget that is left unused.
const retryReserve = 0.1

// part is this VM's part of the fixed number of repeats; nothing while the number of VMs is
// not known.
func (r *retries) part() float64 {
	if r.vms == 0 {
		return 0
	}
	return r.set.Bounds.RetrySlack * (1 - retryReserve) / float64(r.vms)
}

func (r *retries) budget(service string) *budget.Budget {
	if r.vms == 0 {
		// A budget made now would start empty and stay so: its part is not known yet.
		return budget.New(0, 0, false)
	}
	b := r.budgets[service]
	if b == nil {
		b = budget.New(r.set.Bounds.RetryRatio*(1-retryReserve), r.part(), r.set.Vm.FirstStart)
		r.budgets[service] = b
	}
	return b
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
		if c.Paid == last.Paid && c.Refused == last.Refused && c.Sent == last.Sent {
			continue
		}
		r.told[service] = c
		r.d.log.Info().Str("service", service).Int("vms", r.vms).Float64("held", b.Held()).Int("requests", c.Requests).
			Int("paid", c.Paid).Int("refused", c.Refused).Int("sent", c.Sent).Msg("retry_budget")
		r.d.countMany("repeats_paid."+service, c.Paid-last.Paid)
		r.d.countMany("repeats_refused."+service, c.Refused-last.Refused)
		r.d.countMany("repeats_sent."+service, c.Sent-last.Sent)
	}
}
