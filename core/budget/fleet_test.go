package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The operator's limits over all VMs. The fixed number is left for retries that arrive late.
const (
	window = 10 * time.Second
	ratio  = 0.2
	slack  = 56
	maxVMs = 6
	// callerTimeout is how long a retry waits for capacity before its caller disconnects.
	callerTimeout = 5 * time.Second
)

// vm is a simulated VM. It runs a process if budget is not nil.
type vm struct {
	budget *Budget
	queue  []queuedRetry
}

// queuedRetry is a retry that holds a permit and waits for capacity.
type queuedRetry struct {
	permit     Permit
	acquiredAt time.Duration
}

// fleet simulates VMs that do not communicate, and counts the retries that endpoints receive.
type fleet struct {
	now time.Duration
	vms [maxVMs]vm
	// requests are the times at which callers sent requests, retries those at which endpoints
	// received retries.
	requests, retries []time.Duration
	// unread is the number of retries that endpoints have not read yet.
	unread int
}

func (f *fleet) start(i int) { f.vms[i] = vm{budget: New(ratio, window)} }

func (f *fleet) request(i, n int) {
	for range n {
		f.vms[i].budget.RecordRequest(f.now)
		f.requests = append(f.requests, f.now)
	}
}

// acquire tries to acquire permits for n retries and queues those that got one.
func (f *fleet) acquire(i, n int) {
	for range n {
		if r, ok := f.vms[i].budget.Acquire(f.now); ok {
			f.vms[i].queue = append(f.vms[i].queue, queuedRetry{r, f.now})
		}
	}
}

// dispatch sends up to n queued retries.
func (f *fleet) dispatch(i, n int) {
	v := &f.vms[i]
	for ; n > 0 && len(v.queue) > 0; n-- {
		w := v.queue[0]
		v.queue = v.queue[1:]
		if f.now-w.acquiredAt > callerTimeout {
			v.budget.Refund(f.now, w.permit)
			continue
		}
		if r, ok := v.budget.Renew(f.now, w.permit); ok {
			v.budget.RecordSent(f.now, r)
			f.retries = append(f.retries, f.now)
		}
	}
}

// count returns the number of times later than after and not later than to.
func count(times []time.Duration, after, to time.Duration) int {
	n := 0
	for _, t := range times {
		if t > after && t <= to {
			n++
		}
	}
	return n
}

// excess returns by how many retries the window that ends now exceeds the allowed fraction of
// requests. The requests are those of this window, of the window before, or of the window that
// began half a window earlier, whichever has most.
func (f *fleet) excess() float64 {
	most := 0
	for _, sooner := range []time.Duration{0, window / 2, window} {
		most = max(most, count(f.requests, f.now-window-sooner, f.now-sooner))
	}
	return float64(count(f.retries, f.now-window, f.now)) - ratio*float64(most)
}

// Guards against per-process budgets that together exceed the operator's limit, whatever VMs know
// of each other, however often and whenever they start, and however long retries wait.
func TestRetriesOfAllVMsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			f.now += time.Duration(rapid.SampledFrom([]int{0, 0, 50, 300, 1000}).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, maxVMs-1).Draw(t, "vm")
			if f.vms[i].budget == nil {
				f.start(i)
			}
			n := rapid.IntRange(1, 60).Draw(t, "n")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				f.vms[i].budget = nil
			case 1, 2, 3:
				f.request(i, n)
			case 4, 5:
				f.acquire(i, n)
			case 6, 7:
				f.acquire(i, n)
				f.dispatch(i, n)
			default:
				f.dispatch(i, n)
			}
			if over := f.excess(); over > 1e-9 {
				t.Fatalf("%.1f retries over the bound", over)
			}
		}
	})
}

// Guards against retries that acquire permits while no endpoint has capacity and are then sent
// all at once.
func TestQueuedRetriesStayWithinTheBound(t *testing.T) {
	f := &fleet{}
	f.start(0)
	const step = 10 * time.Millisecond
	for ; f.now < 6*window; f.now += step {
		f.request(0, 1)
		f.acquire(0, 1)
		// In every other window there is always capacity, in the rest only for one step per
		// callerTimeout.
		if phase := f.now % (2 * window); phase < window || phase%callerTimeout == callerTimeout-step {
			f.dispatch(0, 1000)
		}
		if over := f.excess(); over > 1e-9 {
			t.Fatalf("%.1f retries over the bound after %v", over, f.now)
		}
	}
}

// Guards against endpoints that read nothing for a while, and then all at once.
func TestLateRetriesStayWithinTheFixedNumber(t *testing.T) {
	const (
		step   = 10 * time.Millisecond
		rate   = 117
		halted = 4 * time.Second
	)
	f := &fleet{}
	for i := range maxVMs {
		f.start(i)
	}
	for n := 0; f.now < 6*window; f.now += step {
		for due := int(f.now.Seconds() * rate); n < due; n++ {
			i := n % maxVMs
			f.request(i, 1)
			f.acquire(i, 1)
			f.dispatch(i, 1)
		}
		if f.now%(2*window) < halted {
			f.unread += len(f.retries) - count(f.retries, -1, f.now-step)
			f.retries = f.retries[:count(f.retries, -1, f.now-step)]
			continue
		}
		for ; f.unread > 0; f.unread-- {
			f.retries = append(f.retries, f.now)
		}
		if over := f.excess(); over > slack {
			t.Fatalf("%.1f retries over the allowed fraction after %v", over, f.now)
		}
	}
}
