package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The bound that the operator sets, over all VMs. The fixed number is left for late arrivals.
const (
	window = 10 * time.Second
	ratio  = 0.2
	slack  = 56
	maxVMs = 6
	// callerTimeout is how long a repeat waits for a place before its caller leaves.
	callerTimeout = 5 * time.Second
)

// vm is a VM of the model, with a process if budget is not nil.
type vm struct {
	budget *Budget
	queue  []queuedRetry
}

// queuedRetry is a repeat that was paid at a time and waits for a place.
type queuedRetry struct {
	permit     Permit
	acquiredAt time.Duration
}

// fleet plays VMs that know nothing of each other, and counts what endpoints see.
type fleet struct {
	now time.Duration
	vms [maxVMs]vm
	// requests and retries are when callers sent the former and endpoints got the latter.
	requests, retries []time.Duration
	// unread are repeats that endpoints have not read yet.
	unread int
}

// start starts a process.
func (f *fleet) start(i int) { f.vms[i] = vm{budget: New(ratio, window)} }

func (f *fleet) request(i, n int) {
	for range n {
		f.vms[i].budget.RecordRequest(f.now)
		f.requests = append(f.requests, f.now)
	}
}

// acquire has a VM decide on repeats.
func (f *fleet) acquire(i, n int) {
	for range n {
		if r, ok := f.vms[i].budget.Acquire(f.now); ok {
			f.vms[i].queue = append(f.vms[i].queue, queuedRetry{r, f.now})
		}
	}
}

// dispatch finds places for repeats that wait.
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

// count counts moments after one and up to another.
func count(times []time.Duration, after, to time.Duration) int {
	n := 0
	for _, t := range times {
		if t > after && t <= to {
			n++
		}
	}
	return n
}

// excess is by how much the window that ends now passes the share of requests. Those count in it, in the
// window before or in that which began half a window sooner.
func (f *fleet) excess() float64 {
	most := 0
	for _, sooner := range []time.Duration{0, window / 2, window} {
		most = max(most, count(f.requests, f.now-window-sooner, f.now-sooner))
	}
	return float64(count(f.retries, f.now-window, f.now)) - ratio*float64(most)
}

// Guards against parts that add up to more than the whole, whatever VMs know of each other, however
// often and when they start, and however long repeats wait.
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
				t.Fatalf("%.1f repeats too many", over)
			}
		}
	})
}

// Guards against repeats that are paid while there is no place for them and sent all at once.
func TestQueuedRetriesStayWithinTheBound(t *testing.T) {
	f := &fleet{}
	f.start(0)
	const step = 10 * time.Millisecond
	for ; f.now < 6*window; f.now += step {
		f.request(0, 1)
		f.acquire(0, 1)
		// Places come free for a moment, then for none, and for half of the time there are enough.
		if phase := f.now % (2 * window); phase < window || phase%callerTimeout == callerTimeout-step {
			f.dispatch(0, 1000)
		}
		if over := f.excess(); over > 1e-9 {
			t.Fatalf("%.1f repeats too many after %v", over, f.now)
		}
	}
}

// Guards against endpoints that read nothing for a while, and then at once all that was sent to them.
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
			t.Fatalf("%.1f repeats over the share after %v", over, f.now)
		}
	}
}
