package limit_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/notice"
)

// In each window at most factor times the limit plus slack requests may reach an endpoint from all VMs together.
const (
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
	// settleTime is how long after an endpoint first named a limit the bound applies. Requests of a VM count from
	// responseGrace after it got a response that names the limit.
	settleTime    = 3 * time.Second
	responseGrace = 500 * time.Millisecond

	step           = 50 * time.Millisecond
	gossipInterval = 100 * time.Millisecond
	listInterval   = 5 * time.Second
	reachableFor   = time.Second
	service        = "s"
	domains        = 3
	maxVMs         = 8
	newcomers      = 2
	endpointID     = "e"
	steps          = 500
)

// vm is a simulated VM; its process runs if sched is not nil. Every VM places its own requests.
type vm struct {
	name, domain string
	listed       bool
	partition    int

	sched   *dispatch.Scheduler
	tracker *notice.Tracker
	// known are the VMs that it knows, lastSeen is when each last sent a note.
	known    map[int]bool
	lastSeen map[int]time.Duration
	started  time.Duration
	// limitSeenAt is when it first got a response that names a limit.
	limitSeenAt  time.Duration
	hasSeenLimit bool
	process      int
}

// event is an action scheduled for later.
type event struct {
	at time.Duration
	do func()
}

// fleet simulates VMs that send to one endpoint, and counts the requests that reach it.
type fleet struct {
	t       *rapid.T
	rand    *rand.Rand
	now     time.Duration
	vms     [maxVMs]vm
	pending []event
	handle  uint64
	// limit is the limit that the endpoint names if hasLimit is set, limitSince the time of the last change.
	limit      float64
	hasLimit   bool
	limitSince time.Duration
	arrivals   []time.Duration
	counted    int
	server     *members.Endpoint
	storeUp    bool
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), server: &members.Endpoint{ID: endpointID, Service: service, FailureDomain: "0", Slots: 1 << 10}, storeUp: true}
	for i := range f.vms {
		f.vms[i].name, f.vms[i].domain = "vm"+strconv.Itoa(i), strconv.Itoa(i%domains)
	}
	return f
}

// start starts a process, which reads the list of VMs.
func (f *fleet) start(i int) {
	v := &f.vms[i]
	v.listed = true
	v.sched, v.tracker, v.started = dispatch.New(v.name, v.domain), notice.New(), f.now
	v.known, v.lastSeen, v.hasSeenLimit, v.process = make(map[int]bool), make(map[int]time.Duration), false, v.process+1
	v.sched.SetEndpoints(f.now, service, []*members.Endpoint{f.server}, false)
	f.readList(v)
}

func (f *fleet) readList(v *vm) {
	for k := range f.vms {
		if f.vms[k].listed {
			v.known[k] = true
		}
	}
}

// randomDelay returns a random delay below limit.
func (f *fleet) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(limit)))
}

// schedule runs a function after a delay, if the process of the VM still runs then.
func (f *fleet) schedule(delay time.Duration, i int, do func(v *vm)) {
	process := f.vms[i].process
	f.pending = append(f.pending, event{f.now + delay, func() {
		if v := &f.vms[i]; v.sched != nil && v.process == process {
			do(v)
		}
	}})
}

// gossip sends a VM's note to the VMs in its partition that it knows.
func (f *fleet) gossip(i int) {
	from := &f.vms[i]
	records := from.tracker.NextInRotation(f.now, 1)
	for k := range f.vms {
		if k == i || f.vms[k].sched == nil || f.vms[k].partition != from.partition || !from.known[k] {
			continue
		}
		f.schedule(f.randomDelay(300*time.Millisecond), k, func(v *vm) {
			v.known[i] = true
			v.lastSeen[i] = f.now
			v.sched.ApplyPeerLoads(f.now, from.name, from.domain, nil, true)
			for _, r := range records {
				if v.tracker.Merge(f.now, r, true) {
					f.apply(v)
				}
			}
		})
	}
}

func (f *fleet) apply(v *vm) {
	name := dispatch.EndpointHash(endpointID)
	if n := v.tracker.Current(name); n.HasLimit {
		v.sched.SetLimit(f.now, name, n.Limit)
		return
	}
	v.sched.RemoveLimit(name)
}

// reachable returns the number of VMs seen recently, including itself.
func (f *fleet) reachable(v *vm) int {
	n := 1
	for _, at := range v.lastSeen {
		if f.now-at < reachableFor {
			n++
		}
	}
	return n
}

// request submits a caller's request and sends it, if it is placed at once.
func (f *fleet) request(i int) {
	v := &f.vms[i]
	f.handle++
	handle := f.handle
	for _, d := range v.sched.Submit(f.now, dispatch.Job{Handle: handle, Service: service, Objective: f.now + time.Second, AbandonAt: f.now + time.Second}) {
		if d.Endpoint == nil {
			continue
		}
		decided := f.now
		f.schedule(f.randomDelay(200*time.Millisecond), i, func(v *vm) { f.arrive(i, v, handle, decided) })
	}
	v.sched.Withdraw(f.now, service, handle)
}

// arrive counts a request at the endpoint, which responds later.
func (f *fleet) arrive(i int, v *vm, handle uint64, sent time.Duration) {
	if f.hasLimit && v.hasSeenLimit && f.now >= v.limitSeenAt+responseGrace {
		f.arrivals = append(f.arrivals, f.now)
		f.counted++
		f.check()
	}
	response := notice.Notice{HasLimit: f.hasLimit}
	if f.hasLimit {
		response.Limit = f.limit
	}
	f.schedule(f.randomDelay(600*time.Millisecond), i, func(v *vm) {
		v.sched.RecordEvents(f.now, handle, 1)
		v.sched.EndRun(f.now, handle, dispatch.Answered)
		if response.HasLimit && !v.hasSeenLimit {
			v.hasSeenLimit, v.limitSeenAt = true, f.now
		}
		if v.tracker.RecordResponse(f.now, sent, dispatch.EndpointHash(endpointID), response) {
			f.apply(v)
		}
	})
}

func (f *fleet) check() {
	if f.now < f.limitSince+settleTime {
		return
	}
	n := 0
	for _, at := range f.arrivals {
		if at > f.now-window {
			n++
		}
	}
	if allowed := factor*f.limit*window.Seconds() + slack; float64(n) > allowed {
		f.t.Fatalf("%d requests in %v at %v, %.1f allowed", n, window, f.now, allowed)
	}
}

// setLimit makes the endpoint name a limit, or none. It resets the counts, which belong to the previous limit.
func (f *fleet) setLimit(limit float64, hasLimit bool) {
	f.limit, f.hasLimit, f.limitSince, f.arrivals = limit, hasLimit, f.now, nil
	for i := range f.vms {
		f.vms[i].hasSeenLimit = false
	}
}

func (f *fleet) advance() {
	f.now += step
	var due []event
	kept := f.pending[:0]
	for _, e := range f.pending {
		if e.at <= f.now {
			due = append(due, e)
		} else {
			kept = append(kept, e)
		}
	}
	f.pending = kept
	for _, e := range due {
		e.do()
	}
	for i := range f.vms {
		v := &f.vms[i]
		if v.sched == nil {
			continue
		}
		if f.now%gossipInterval == 0 {
			f.gossip(i)
			v.sched.SetCoverage(f.now, f.reachable(v), len(v.known))
		}
		if f.storeUp && (f.now-v.started)%listInterval == 0 {
			f.readList(v)
		}
	}
}

// Guards against VMs that together exceed the limit that an endpoint names, while they start, are partitioned, crash,
// and receive and send notes late.
func TestAllVMsTogetherStayWithinLimit(t *testing.T) {
	counted := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		first := 1 + f.rand.IntN(maxVMs-newcomers)
		for i := range first {
			f.start(i)
		}
		load := 1 + f.rand.IntN(4)
		next := first
		for range steps {
			f.advance()
			for i := range f.vms {
				for range load {
					if f.vms[i].sched != nil {
						f.request(i)
					}
				}
			}
			next = f.injectFault(first, next)
		}
		counted += f.counted
	})
	t.Logf("%d requests counted", counted)
	if counted == 0 {
		t.Error("no requests were counted")
	}
}

// limits are the values that the endpoint may name.
var limits = []float64{0, 0.1, 0.5, 1, 2.5, 4, 10, 60}

// injectFault injects at most one random fault, and returns the index of the VM to add next.
func (f *fleet) injectFault(first, next int) int {
	i := f.rand.IntN(first)
	switch f.rand.IntN(100) {
	case 0:
		f.setLimit(limits[f.rand.IntN(len(limits))], !f.hasLimit)
	case 1, 2:
		f.vms[i].partition = f.rand.IntN(domains)
	case 3:
		for k := range f.vms {
			f.vms[k].partition = 0
		}
	case 4:
		f.vms[i].sched = nil
	case 5, 6, 7:
		if f.vms[i].sched == nil {
			f.start(i)
		}
	case 8:
		f.storeUp = !f.storeUp
	case 9:
		if next < min(maxVMs, first+newcomers) {
			f.start(next)
			next++
		}
	}
	return next
}
