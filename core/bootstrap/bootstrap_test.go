package bootstrap

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func addresses(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("10.%d.%d.%d:7600", i/62500, i/250%250, i%250)
	}
	return list
}

// Each VM has ancestors that end at a reader, and no VM serves more than its fan-out.
func TestTree(t *testing.T) {
	for _, n := range []int{1, 2, readers, readers + 1, 8, 24, 164, 328} {
		is := is.New(t)
		domain := addresses(n)
		children := make(map[string]int)
		readsStore := 0
		for _, self := range domain {
			p := New(self, domain)
			if p.ReadsStore {
				readsStore++
				is.Equal(len(p.Sources), 0)
				continue
			}
			children[p.Sources[0]]++
			is.True(!slices.Contains(p.Sources, self))
			is.True(New(p.Sources[len(p.Sources)-1], domain).ReadsStore)
			is.True(len(p.Sources) <= readers+5)
		}
		is.Equal(readsStore, min(n, readers))
		for _, c := range children {
			is.True(c <= fanOut)
		}
	}
}

// A VM that is not listed yet finds the same sources as if it were.
func TestUnlistedVMFindsSources(t *testing.T) {
	is := is.New(t)
	domain := addresses(40)
	is.Equal(New(domain[7], slices.Delete(slices.Clone(domain), 7, 8)), New(domain[7], domain))
}

// The model's figures: a state of 3,000 endpoints compressed, a narrow link, the time to decode it on
// a fifth of a core, and the store's rate of reading with the state as it sends it. Both grow with
// the deployment.
const (
	linkBytesPerSecond  = 20e6 / 8
	storeBytesPerSecond = 80e6
	packedBytesPerVM    = 150
	storedBytesPerVM    = 1200
	decodeTimePerVM     = 200 * time.Microsecond
	connectTimeout      = 300 * time.Millisecond
)

// startAll plays a start of all VMs at once. A share of the listed VMs is gone for good. It returns
// when the last VM has its state, and how many VMs read the store.
func startAll(n, domains int, gone float64, rng *rand.Rand) (last time.Duration, reads int) {
	packed, stored := float64(n*packedBytesPerVM), float64(n*storedBytesPerVM)
	decode := time.Duration(n) * decodeTimePerVM
	perTransfer := time.Duration(packed / linkBytesPerSecond * float64(time.Second))
	storeFree := time.Duration(0)
	domain := addresses(n / domains)
	plans := make(map[string]Plan)
	for _, a := range domain {
		plans[a] = New(a, domain)
	}
	for range domains {
		isGone := make(map[string]bool)
		for _, a := range domain {
			isGone[a] = rng.Float64() < gone
		}
		// has is when a VM can pass the state on, linkFree when its link has sent the copies so far.
		has, linkFree := make(map[string]time.Duration), make(map[string]time.Duration)
		var queue events
		for _, a := range domain {
			if !isGone[a] {
				heap.Push(&queue, event{at: time.Duration(rng.IntN(500)) * time.Millisecond, vm: a})
			}
		}
		for queue.Len() > 0 {
			e := heap.Pop(&queue).(event)
			p := plans[e.vm]
			if p.ReadsStore || e.tried >= len(p.Sources) {
				reads++
				storeFree = max(storeFree, e.at) + time.Duration(stored/storeBytesPerSecond*float64(time.Second))
				has[e.vm] = storeFree
				last = max(last, has[e.vm]+decode)
				continue
			}
			source := p.Sources[e.tried]
			at, ok := has[source]
			switch {
			case isGone[source]:
				heap.Push(&queue, event{at: e.at + connectTimeout, vm: e.vm, tried: e.tried + 1})
			case !ok:
				// The source holds the call until it has the state.
				heap.Push(&queue, event{at: e.at + 10*time.Millisecond, vm: e.vm, tried: e.tried})
			default:
				linkFree[source] = max(linkFree[source], at, e.at) + perTransfer
				// What was received is passed on as it is, before it is decoded.
				has[e.vm] = linkFree[source]
				last = max(last, has[e.vm]+decode)
			}
		}
	}
	return last, reads
}

type event struct {
	at    time.Duration
	vm    string
	tried int
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at < q[j].at }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// Guards against starts whose time and whose load on the store grow with the number of VMs: 986 VMs
// that read the store themselves take 15 s, and 1,972 a minute. A tenth of the listed VMs is gone.
func TestStartOfAllVMs(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, gone := range []float64{0, 0.1} {
		last, reads := startAll(986, 6, gone, rng)
		lastTwice, readsTwice := startAll(1972, 6, gone, rng)
		t.Logf("gone %.1f: 986 VMs after %v, %d reads of the store; 1,972 VMs after %v, %d reads", gone, last, reads, lastTwice, readsTwice)
		if last > 3*time.Second || lastTwice > 3*time.Second {
			t.Errorf("state after %v and %v, want 3 s", last, lastTwice)
		}
		if reads > 6*(readers+fanOut) || readsTwice > 6*(readers+fanOut) {
			t.Errorf("%d and %d reads of the store", reads, readsTwice)
		}
	}
}
