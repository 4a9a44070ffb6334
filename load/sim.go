package load

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chivefield/chivefield/engine"
	"github.com/chivefield/chivefield/request"
)

// Times of the failures in a scenario.
const (
	faultFrom  = 20 * time.Second
	faultTo    = 40 * time.Second
	slowFactor = 8
	// reportLag is the age of load reports, cache events and, if stale, digests.
	reportLag = time.Second
	staleLag  = 3 * time.Second
	// serviceTime is what a plain service takes.
	serviceTime = 20 * time.Millisecond
	// repeatAfter is when a caller whose connection broke asks another VM.
	repeatAfter = 50 * time.Millisecond
	// gapShare is the part of cache events that are lost.
	gapShare = 0.1
)

// Policy decides where requests go.
type Policy interface {
	// Arrive is a request of a caller at a VM, its attempt counted from 1.
	Arrive(now time.Duration, vm int, a *arrival, attempt int)
	// FirstToken and Done are events of a run that the policy dispatched.
	FirstToken(now time.Duration, r *run)
	Progress(now time.Duration, r *run, tokens int)
	Done(now time.Duration, r *run)
	// Every is called at a fixed interval, Cache with cache events.
	Every(now time.Duration)
	Cache(now time.Duration, endpoint string, ev engine.CacheEvent, gap bool)
	// Kill ends a VM; Cut parts the VMs of the first domain from the rest.
	Kill(now time.Duration, vm int)
	Cut(now time.Duration, on bool)
}

// run is one dispatch.
type run struct {
	a        *arrival
	vm       int
	handle   uint64
	endpoint int
	stream   string
	uncached int
	ended    bool
	done     bool
}

// event is something due at a time; seq keeps the order of equals.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sim is one run of a scenario under a policy.
type sim struct {
	sc       *Scenario
	rng      *rand.Rand
	now      time.Duration
	queue    events
	seq      int
	engines  []*engine.Model
	wake     []time.Duration
	names    []string
	byName   map[string]int
	kinds    []engineKind
	runs     map[string]*run
	active   []string
	policy   Policy
	report   *Report
	results  map[string]*result
	paidOnce map[uint64]bool
	killed   map[int]bool
}

// result is what became of one request.
type result struct {
	a       *arrival
	attempt int
	outcome request.Outcome
	ended   bool
	inTime  bool
	first   time.Duration
	paid    int
	vm      int
}

func newSim(sc *Scenario, seed uint64) *sim {
	s := &sim{
		sc: sc, rng: rand.New(rand.NewPCG(seed, 1)), runs: map[string]*run{}, byName: map[string]int{},
		results: map[string]*result{}, paidOnce: map[uint64]bool{}, killed: map[int]bool{},
	}
	for g, k := range sc.engines {
		for i := range k.count {
			s.byName[fmt.Sprintf("e%d-%d", g, i)] = len(s.engines)
			s.names = append(s.names, fmt.Sprintf("e%d-%d", g, i))
			s.engines = append(s.engines, engine.New(k.cfg, 0))
			s.kinds = append(s.kinds, k)
			s.wake = append(s.wake, -1)
		}
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, do: do})
}

const everyInterval = 10 * time.Millisecond

// play runs the scenario to its end and some time beyond.
func (s *sim) play(list []*arrival) {
	for _, a := range list {
		s.results[a.id] = &result{a: a, vm: a.vm}
		s.after(a.at, func() { s.arrive(a, a.vm) })
	}
	s.after(0, s.every)
	s.after(0, s.progress)
	s.faults()
	end := s.sc.length + 3*time.Minute
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > end {
			break
		}
		s.now = e.at
		e.do()
	}
}

// progress tells how far the streams have come.
func (s *sim) progress() {
	for _, stream := range s.active {
		r := s.runs[stream]
		if n := s.engines[r.endpoint].Written(stream); n > 1 && !r.ended {
			s.policy.Progress(s.now, r, n)
		}
	}
	s.active = slices.DeleteFunc(s.active, func(stream string) bool { return s.runs[stream].ended })
	s.after(progressEvery, s.progress)
}

// progressEvery is the interval of a stream's progress events.
const progressEvery = 250 * time.Millisecond

func (s *sim) every() {
	s.policy.Every(s.now)
	s.after(everyInterval, s.every)
}

func (s *sim) faults() {
	switch {
	case s.sc.slow:
		// One of the cheapest engines, which get most work, and one of the quickest.
		for _, name := range []string{"e0-0", "e3-0"} {
			slow := s.byName[name]
			s.after(faultFrom, func() { s.setSlow(slow, slowFactor) })
			s.after(faultTo, func() { s.setSlow(slow, 1) })
		}
	case s.sc.kill:
		s.after(faultFrom, func() { s.kill(0) })
	case s.sc.cut:
		s.after(faultFrom, func() { s.policy.Cut(s.now, true) })
		s.after(faultTo, func() { s.policy.Cut(s.now, false) })
	}
}

func (s *sim) setSlow(i int, f float64) {
	s.engines[i].SetSlow(s.now, f)
	s.pump(i)
}

// kill ends a VM; the callers it had ask the next one again.
func (s *sim) kill(vm int) {
	s.killed[vm] = true
	s.policy.Kill(s.now, vm)
	for _, id := range s.order() {
		if r := s.results[id]; r.attempt > 0 && !r.ended && r.vm == vm {
			s.after(repeatAfter, func() { s.arrive(r.a, (vm+1)%len(s.sc.domains)) })
		}
	}
}

// order lists the requests that have arrived, by id.
func (s *sim) order() []string {
	var ids []string
	for id := range s.results {
		ids = append(ids, id)
	}
	sortStrings(ids)
	return ids
}

func (s *sim) arrive(a *arrival, vm int) {
	for s.killed[vm] {
		vm = (vm + 1) % len(s.sc.domains)
	}
	r := s.results[a.id]
	r.attempt++
	r.vm = vm
	s.policy.Arrive(s.now, vm, a, r.attempt)
}

// dispatch sends a run to its endpoint.
func (s *sim) dispatch(r *run) {
	s.report.Dispatches[r.a.id]++
	s.runs[r.stream] = r
	s.after(s.sc.netDelay, func() {
		if r.endpoint < 0 {
			s.after(serviceTime, func() { s.finishRun(r) })
			return
		}
		s.active = append(s.active, r.stream)
		s.engines[r.endpoint].Submit(s.now, r.stream, r.a.prefix, r.a.prompt, r.a.output)
		s.pump(r.endpoint)
	})
}

// cancel stops a run at its engine.
func (s *sim) cancel(r *run) {
	r.ended = true
	if r.endpoint >= 0 {
		s.engines[r.endpoint].Cancel(s.now, r.stream)
		s.pump(r.endpoint)
	}
}

// pump passes on an engine's events and asks to be woken for its next one.
func (s *sim) pump(i int) {
	for _, ev := range s.engines[i].Advance(s.now) {
		r := s.runs[ev.ID]
		if ev.Kind == engine.First {
			s.paid(r, ev.Uncached)
			s.after(s.sc.netDelay, func() { s.policy.FirstToken(s.now, r) })
			s.noteFirst(r)
			continue
		}
		s.after(s.sc.netDelay, func() { s.finishRun(r) })
	}
	s.cacheEvents(i)
	if next, ok := s.engines[i].Next(); ok && next != s.wake[i] {
		s.wake[i] = next
		s.after(max(0, next-s.now), func() {
			if s.wake[i] == next {
				s.wake[i] = -1
				s.pump(i)
			}
		})
	}
}

func (s *sim) finishRun(r *run) {
	if r.ended {
		return
	}
	r.ended, r.done = true, true
	s.policy.Done(s.now, r)
}

func (s *sim) cacheEvents(i int) {
	for _, ev := range s.engines[i].TakeCacheEvents() {
		gap := s.rng.Float64() < gapShare
		s.after(reportLag, func() { s.policy.Cache(s.now, s.names[i], ev, gap) })
	}
}

// paid counts prompt tokens that an engine read, and those of them that some
// engine had read before.
func (s *sim) paid(r *run, uncached int) {
	r.uncached = uncached
	s.results[r.a.id].paid += uncached
	s.report.PrefillPaid += uncached
	s.report.Price += float64(uncached) * s.kinds[r.endpoint].prefillPrice / 1e6
	skip := len(r.a.prefix) - uncached/64
	for i, h := range r.a.prefix {
		if i >= skip && s.paidOnce[h] {
			s.report.WastedRepeated += 64
		}
		s.paidOnce[h] = true
	}
}

func (s *sim) noteFirst(r *run) {
	res := s.results[r.a.id]
	if res.first == 0 {
		res.first = s.now - r.a.at
		s.report.firstToken(r.a.kind.tier, res.first)
	}
}

// finish is the final outcome that a caller sees.
func (s *sim) finish(a *arrival, o request.Outcome) {
	r := s.results[a.id]
	if r.ended {
		return
	}
	r.ended = true
	r.outcome = o
	r.inTime = o == request.Answered && s.now <= a.at+a.kind.deadline
}
