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

// Times and parameters of the faults in a scenario.
const (
	faultFrom      = 20 * time.Second
	faultTo        = 40 * time.Second
	slowdownFactor = 8
	// reportLag is the age of load reports and cache events, staleDigestLag that of
	// digests in scenarios with stale digests.
	reportLag      = time.Second
	staleDigestLag = 3 * time.Second
	// serviceTime is the time that a plain service takes for a request.
	serviceTime = 20 * time.Millisecond
	// retryDelay is the time after which a caller whose connection broke retries at another VM.
	retryDelay = 50 * time.Millisecond
	// cacheEventLoss is the fraction of cache events that are lost.
	cacheEventLoss = 0.1
)

// Policy decides to which endpoint each request is sent.
type Policy interface {
	// Arrive handles a caller's request at a VM. Attempts are counted from 1.
	Arrive(now time.Duration, vm int, a *arrival, attempt int)
	// FirstToken, Progress and Done handle events of a run that the policy dispatched.
	FirstToken(now time.Duration, r *run)
	Progress(now time.Duration, r *run, tokens int)
	Done(now time.Duration, r *run)
	// Tick is called every tickInterval. CacheEvent handles a cache event; gap
	// means that it was lost.
	Tick(now time.Duration)
	CacheEvent(now time.Duration, endpoint string, ev engine.CacheEvent, gap bool)
	// KillVM stops a VM. SetPartition starts or ends a partition between the VMs of
	// the first domain and all others.
	KillVM(now time.Duration, vm int)
	SetPartition(now time.Duration, on bool)
}

// run is one dispatch of a request. endpoint is the index of its engine, or -1 for
// a plain service.
type run struct {
	a        *arrival
	vm       int
	handle   uint64
	endpoint int
	stream   string
	ended    bool
	done     bool
}

// event is an action scheduled for a time; seq orders those with the same time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sim is a discrete-event simulation of a scenario under a policy.
type sim struct {
	scenario        *Scenario
	rng             *rand.Rand
	now             time.Duration
	events          eventHeap
	lastSeq         int
	engines         []*engine.Model
	nextWake        []time.Duration
	engineNames     []string
	engineByName    map[string]int
	engineKinds     []engineKind
	runs            map[string]*run
	activeStreams   []string
	policy          Policy
	report          *Report
	results         map[string]*result
	prefilledBlocks map[uint64]bool
	killedVMs       map[int]bool
}

// result is the state and outcome of one request.
type result struct {
	a               *arrival
	attempt         int
	outcome         request.Outcome
	ended           bool
	inTime          bool
	firstTokenAfter time.Duration
	prefilledTokens int
	vm              int
}

func newSim(sc *Scenario, seed uint64) *sim {
	s := &sim{
		scenario: sc, rng: rand.New(rand.NewPCG(seed, 1)), runs: map[string]*run{}, engineByName: map[string]int{},
		results: map[string]*result{}, prefilledBlocks: map[uint64]bool{}, killedVMs: map[int]bool{},
	}
	for g, k := range sc.engines {
		for i := range k.count {
			s.engineByName[fmt.Sprintf("e%d-%d", g, i)] = len(s.engines)
			s.engineNames = append(s.engineNames, fmt.Sprintf("e%d-%d", g, i))
			s.engines = append(s.engines, engine.New(k.cfg, 0))
			s.engineKinds = append(s.engineKinds, k)
			s.nextWake = append(s.nextWake, -1)
		}
	}
	return s
}

func (s *sim) schedule(d time.Duration, do func()) {
	s.lastSeq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.lastSeq, run: do})
}

const tickInterval = 10 * time.Millisecond

// run runs the scenario and three more minutes for requests that are still in progress.
func (s *sim) run(list []*arrival) {
	for _, a := range list {
		s.results[a.id] = &result{a: a, vm: a.vm}
		s.schedule(a.at, func() { s.arrive(a, a.vm) })
	}
	s.schedule(0, s.tick)
	s.schedule(0, s.reportProgress)
	s.scheduleFaults()
	end := s.scenario.duration + 3*time.Minute
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > end {
			break
		}
		s.now = e.at
		e.run()
	}
}

// reportProgress passes the token counts of the active streams to the policy.
func (s *sim) reportProgress() {
	for _, stream := range s.activeStreams {
		r := s.runs[stream]
		if n := s.engines[r.endpoint].GeneratedTokens(stream); n > 1 && !r.ended {
			s.policy.Progress(s.now, r, n)
		}
	}
	s.activeStreams = slices.DeleteFunc(s.activeStreams, func(stream string) bool { return s.runs[stream].ended })
	s.schedule(progressInterval, s.reportProgress)
}

// progressInterval is the interval between the progress events of a stream.
const progressInterval = 250 * time.Millisecond

func (s *sim) tick() {
	s.policy.Tick(s.now)
	s.schedule(tickInterval, s.tick)
}

func (s *sim) scheduleFaults() {
	switch {
	case s.scenario.straggler:
		// One of the cheapest engines, which get the most requests, and one of the fastest.
		for _, name := range []string{"e0-0", "e3-0"} {
			i := s.engineByName[name]
			s.schedule(faultFrom, func() { s.setSlowdown(i, slowdownFactor) })
			s.schedule(faultTo, func() { s.setSlowdown(i, 1) })
		}
	case s.scenario.killVM:
		s.schedule(faultFrom, func() { s.killVM(0) })
	case s.scenario.partition:
		s.schedule(faultFrom, func() { s.policy.SetPartition(s.now, true) })
		s.schedule(faultTo, func() { s.policy.SetPartition(s.now, false) })
	}
}

func (s *sim) setSlowdown(i int, f float64) {
	s.engines[i].SetSlowdown(s.now, f)
	s.processEngine(i)
}

// killVM stops a VM. Its callers retry at the next one.
func (s *sim) killVM(vm int) {
	s.killedVMs[vm] = true
	s.policy.KillVM(s.now, vm)
	for _, id := range s.requestIDs() {
		if r := s.results[id]; r.attempt > 0 && !r.ended && r.vm == vm {
			s.schedule(retryDelay, func() { s.arrive(r.a, (vm+1)%len(s.scenario.domains)) })
		}
	}
}

// requestIDs returns the IDs of all requests of the workload, sorted.
func (s *sim) requestIDs() []string {
	var ids []string
	for id := range s.results {
		ids = append(ids, id)
	}
	sortStrings(ids)
	return ids
}

func (s *sim) arrive(a *arrival, vm int) {
	for s.killedVMs[vm] {
		vm = (vm + 1) % len(s.scenario.domains)
	}
	r := s.results[a.id]
	r.attempt++
	r.vm = vm
	s.policy.Arrive(s.now, vm, a, r.attempt)
}

// dispatch sends a run to its endpoint after the network delay.
func (s *sim) dispatch(r *run) {
	s.report.Dispatches[r.a.id]++
	s.runs[r.stream] = r
	s.schedule(s.scenario.netDelay, func() {
		if r.endpoint < 0 {
			s.schedule(serviceTime, func() { s.finishRun(r) })
			return
		}
		s.activeStreams = append(s.activeStreams, r.stream)
		s.engines[r.endpoint].Submit(s.now, r.stream, r.a.blockHashes, r.a.prompt, r.a.output)
		s.processEngine(r.endpoint)
	})
}

// cancel ends a run and removes it from its engine.
func (s *sim) cancel(r *run) {
	r.ended = true
	if r.endpoint >= 0 {
		s.engines[r.endpoint].Cancel(s.now, r.stream)
		s.processEngine(r.endpoint)
	}
}

// processEngine handles the due events of an engine and schedules itself for the next one.
func (s *sim) processEngine(i int) {
	for _, ev := range s.engines[i].Advance(s.now) {
		r := s.runs[ev.ID]
		if ev.Kind == engine.FirstToken {
			s.recordPrefill(r, ev.UncachedTokens)
			s.schedule(s.scenario.netDelay, func() { s.policy.FirstToken(s.now, r) })
			s.recordFirstToken(r)
			continue
		}
		s.schedule(s.scenario.netDelay, func() { s.finishRun(r) })
	}
	s.deliverCacheEvents(i)
	if next, ok := s.engines[i].NextEventTime(); ok && next != s.nextWake[i] {
		s.nextWake[i] = next
		s.schedule(max(0, next-s.now), func() {
			if s.nextWake[i] == next {
				s.nextWake[i] = -1
				s.processEngine(i)
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

func (s *sim) deliverCacheEvents(i int) {
	for _, ev := range s.engines[i].TakeCacheEvents() {
		gap := s.rng.Float64() < cacheEventLoss
		s.schedule(reportLag, func() { s.policy.CacheEvent(s.now, s.engineNames[i], ev, gap) })
	}
}

// recordPrefill counts and prices the prompt tokens that an engine prefilled, and counts
// those in blocks that some engine had prefilled before.
func (s *sim) recordPrefill(r *run, uncachedTokens int) {
	s.results[r.a.id].prefilledTokens += uncachedTokens
	s.report.PrefillPaid += uncachedTokens
	s.report.Price += float64(uncachedTokens) * s.engineKinds[r.endpoint].prefillPrice / 1e6
	skip := len(r.a.blockHashes) - uncachedTokens/64
	for i, h := range r.a.blockHashes {
		if i >= skip && s.prefilledBlocks[h] {
			s.report.WastedRepeated += 64
		}
		s.prefilledBlocks[h] = true
	}
}

func (s *sim) recordFirstToken(r *run) {
	res := s.results[r.a.id]
	if res.firstTokenAfter == 0 {
		res.firstTokenAfter = s.now - r.a.at
		s.report.recordFirstToken(r.a.kind.tier, res.firstTokenAfter)
	}
}

// recordOutcome records the final outcome for the caller; later ones are ignored.
func (s *sim) recordOutcome(a *arrival, o request.Outcome) {
	r := s.results[a.id]
	if r.ended {
		return
	}
	r.ended = true
	r.outcome = o
	r.inTime = o == request.Answered && s.now <= a.at+a.kind.deadline
}
