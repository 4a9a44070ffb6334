package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The bound that the operator sets, over all VMs.
const (
	window  = 10 * time.Second
	ratio   = 0.2
	slack   = 12.0
	mostVMs = 6
	// patience is how long a repeat waits for a place before its caller leaves.
	patience = 5 * time.Second
	// starting is how long settings say that the deployment starts for the first time.
	starting = 4 * time.Second
)

// vm is a VM of the model, with a process if budget is not nil.
type vm struct {
	budget *Budget
	// waiting are repeats that were paid and wait for a place, by when they were paid.
	waiting []time.Duration
}

// fleet plays VMs that know of each other what the search chooses, and counts what endpoints see.
type fleet struct {
	now time.Duration
	vms [mostVMs]vm
	// requests and repeats are when callers sent the former and endpoints got the latter.
	requests, repeats []time.Duration
}

// start starts a process that knows a number of VMs.
func (f *fleet) start(i, known int) {
	f.vms[i] = vm{budget: New(ratio*0.9, slack*0.9/float64(known), f.now < starting)}
}

func (f *fleet) request(i, n int) {
	for range n {
		f.vms[i].budget.Request()
		f.requests = append(f.requests, f.now)
	}
}

// fail has a VM decide on repeats.
func (f *fleet) fail(i, n int) {
	for range n {
		if f.vms[i].budget.Spend() {
			f.vms[i].waiting = append(f.vms[i].waiting, f.now)
		}
	}
}

// place finds places for repeats that wait.
func (f *fleet) place(i, n int) {
	v := &f.vms[i]
	for ; n > 0 && len(v.waiting) > 0; n-- {
		paid := v.waiting[0]
		v.waiting = v.waiting[1:]
		if f.now-paid > patience {
			continue
		}
		f.repeats = append(f.repeats, f.now)
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

// over is by how much the window that ends now passes the bound. Requests count in it, in the
// window before or in that which began half a window sooner.
func (f *fleet) over() float64 {
	most := 0
	for _, sooner := range []time.Duration{0, window / 2, window} {
		most = max(most, count(f.requests, f.now-window-sooner, f.now-sooner))
	}
	return float64(count(f.repeats, f.now-window, f.now)) - ratio*float64(most) - slack
}

// Guards against parts that add up to more than the whole, whatever VMs know of each other, however
// often and when they start, and however long repeats wait.
func TestRepeatsOfAllVMsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			f.now += time.Duration(rapid.SampledFrom([]int{0, 0, 50, 300, 1000}).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, mostVMs-1).Draw(t, "vm")
			if f.vms[i].budget == nil {
				f.start(i, rapid.IntRange(1, mostVMs).Draw(t, "known"))
			}
			n := rapid.IntRange(1, 60).Draw(t, "n")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				f.vms[i].budget = nil
			case 1, 2, 3:
				f.request(i, n)
			case 4, 5:
				f.fail(i, n)
			case 6, 7:
				f.fail(i, n)
				f.place(i, n)
			default:
				f.place(i, n)
			}
			if over := f.over(); over > 1e-9 {
				t.Fatalf("%.1f repeats too many", over)
			}
		}
	})
}

// Guards against repeats that are paid while there is no place for them and sent all at once.
func TestRepeatsThatWaitedAreSentWithinTheBound(t *testing.T) {
	f := &fleet{}
	f.start(0, 1)
	const step = 10 * time.Millisecond
	for ; f.now < 6*window; f.now += step {
		f.request(0, 1)
		f.fail(0, 1)
		// Places come free for a moment, then for none, and for half of the time there are enough.
		if phase := f.now % (2 * window); phase < window || phase%patience == patience-step {
			f.place(0, 1000)
		}
		if over := f.over(); over > 1e-9 {
			t.Fatalf("%.1f repeats too many after %v", over, f.now)
		}
	}
}
