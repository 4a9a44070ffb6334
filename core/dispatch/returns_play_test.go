package dispatch

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/core/members"
)

// returnMode is what refused callers do.
type returnMode int

const (
	// keepsTime: the caller returns once, after Retry-After, at most after a third of its remaining time.
	keepsTime returnMode = iota
	// atOnce: the caller returns once, without waiting.
	atOnce
)

func (m returnMode) String() string { return [...]string{"keeps_time", "at_once"}[m] }

// returnKind is a kind of request in a play of plain services.
type returnKind struct {
	tier               int
	load               func(now time.Duration) float64
	objective, timeout time.Duration
}

// returnPlay runs placers with endpoints of a plain service in virtual time. Its load is stated as a
// share of the capacity of all endpoints.
type returnPlay struct {
	rand    *rand.Rand
	now     time.Duration
	placers []*Scheduler
	kinds   []returnKind
	mode    returnMode

	servers map[string]*returnServer
	pending map[uint64]*returnCaller
	waiting []*returnCaller
	last    uint64
	result  returnResult
}

// returnServer is a plain endpoint that runs as many requests at a time as it has slots.
type returnServer struct {
	running []serverRun
	queued  []uint64
}

type serverRun struct {
	handle uint64
	ends   time.Duration
}

// returnCaller is a caller with its attempts.
type returnCaller struct {
	kind            int
	request         uint64
	first, attempt  time.Duration
	returnAt        time.Duration
	placer, refused int
	promised        bool
	job             Job
}

type returnResult struct {
	requests, refusals, refusedTwice int
	// onTime counts responses within the objective of the first attempt, onTimeAgain those only
	// within the objective of the second, late all others.
	onTime, onTimeAgain, late, unserved int
	promised, promisedRefused           int
	counts                              ReturnCounts
}

const (
	returnStep  = time.Millisecond
	returnNotes = 100 * time.Millisecond
	returnWork  = 60 * time.Millisecond
	returnSlots = 6
)

func newReturnPlay(seed uint64, placers, endpoints int, off mechanism.Off, mode returnMode, kinds []returnKind) *returnPlay {
	p := &returnPlay{rand: rand.New(rand.NewPCG(seed, seed)), kinds: kinds, mode: mode, servers: make(map[string]*returnServer), pending: make(map[uint64]*returnCaller)}
	var list []*members.Endpoint
	for i := range endpoints {
		id := fmt.Sprintf("e%02d", i)
		p.servers[id] = &returnServer{}
		list = append(list, &members.Endpoint{ID: id, Service: simService, Slots: returnSlots, FailureDomain: "a"})
	}
	for i := range placers {
		s := New(fmt.Sprint(i), "a")
		s.Disable(off)
		s.SetEndpoints(0, simService, list, false)
		p.placers = append(p.placers, s)
	}
	return p
}

// capacity returns the requests per second that all endpoints serve.
func (p *returnPlay) capacity() float64 {
	return float64(len(p.servers)*returnSlots) / returnWork.Seconds()
}

func (p *returnPlay) run(length time.Duration) returnResult {
	const drain = 6 * time.Second
	for ; p.now < length+drain; p.now += returnStep {
		if p.now < length {
			p.arrive()
		}
		p.serve()
		p.comeBack()
		for i, s := range p.placers {
			if p.now%(20*time.Millisecond) == 0 {
				p.apply(i, s.Tick(p.now))
			}
		}
		if p.now%returnNotes == 0 {
			p.notes()
		}
	}
	for _, s := range p.placers {
		c := s.TakeReturnCounts(p.now)
		p.result.counts.Made += c.Made
		p.result.counts.Kept += c.Kept
		p.result.counts.Lapsed += c.Lapsed
		p.result.counts.Early += c.Early
	}
	return p.result
}

func (p *returnPlay) notes() {
	for i, from := range p.placers {
		loads := from.Loads(p.now, true)
		for j, to := range p.placers {
			if i != j {
				to.ApplyPeerLoads(p.now, fmt.Sprint(i), "a", loads, true)
			}
		}
	}
}

func (p *returnPlay) arrive() {
	for i, k := range p.kinds {
		mean := k.load(p.now) * p.capacity() * returnStep.Seconds()
		for n := p.poisson(mean); n > 0; n-- {
			p.result.requests++
			p.submit(&returnCaller{kind: i, request: p.rand.Uint64() | 1, first: p.now})
		}
	}
}

func (p *returnPlay) poisson(mean float64) int {
	n, q, prob := 0, p.rand.Float64(), math.Exp(-mean)
	for sum := prob; q > sum && n < 100; n++ {
		prob *= mean / float64(n+1)
		sum += prob
	}
	return n
}

func (p *returnPlay) submit(c *returnCaller) {
	k := p.kinds[c.kind]
	p.last++
	c.attempt, c.placer = p.now, p.rand.IntN(len(p.placers))
	c.job = Job{Handle: p.last, Service: simService, Tier: k.tier, Objective: p.now + k.objective, AbandonAt: c.first + k.timeout, Request: c.request}
	p.pending[p.last] = c
	p.apply(c.placer, p.placers[c.placer].Submit(p.now, c.job))
}

func (p *returnPlay) apply(placer int, decisions []Decision) {
	for _, d := range decisions {
		c := p.pending[d.Handle]
		if d.Endpoint == nil {
			delete(p.pending, d.Handle)
			p.refuse(c, d)
			continue
		}
		e := p.servers[d.Endpoint.ID]
		e.queued = append(e.queued, d.Handle)
	}
}

func (p *returnPlay) refuse(c *returnCaller, d Decision) {
	p.result.refusals++
	c.refused++
	if c.refused == 2 {
		p.result.refusedTwice++
		if c.promised {
			p.result.promisedRefused++
		}
		p.result.unserved++
		return
	}
	c.promised = d.Promised
	if d.Promised {
		p.result.promised++
	}
	c.returnAt = p.now + returnStep
	if p.mode == keepsTime {
		c.returnAt = p.now + min(d.RetryAfter, (c.job.AbandonAt-p.now)/3)
	}
	p.waiting = append(p.waiting, c)
}

func (p *returnPlay) comeBack() {
	due := p.waiting
	p.waiting = nil
	for _, c := range due {
		if c.returnAt > p.now {
			p.waiting = append(p.waiting, c)
			continue
		}
		p.submit(c)
	}
}

func (p *returnPlay) serve() {
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		e := p.servers[id]
		for i := 0; i < len(e.running); {
			if r := e.running[i]; r.ends <= p.now {
				e.running = slices.Delete(e.running, i, i+1)
				p.end(r.handle)
				continue
			}
			i++
		}
		for len(e.running) < returnSlots && len(e.queued) > 0 {
			e.running = append(e.running, serverRun{e.queued[0], p.now + returnWork})
			e.queued = e.queued[1:]
		}
	}
}

func (p *returnPlay) end(h uint64) {
	c := p.pending[h]
	delete(p.pending, h)
	k := p.kinds[c.kind]
	switch {
	case p.now-c.first <= k.objective:
		p.result.onTime++
	case p.now-c.attempt <= k.objective:
		p.result.onTimeAgain++
	case p.now-c.first <= k.timeout:
		p.result.late++
	default:
		p.result.unserved++
	}
	s := p.placers[c.placer]
	s.RecordEvents(p.now, h, 1)
	p.apply(c.placer, s.EndRun(p.now, h, Answered))
}

func (r returnResult) add(o returnResult) returnResult {
	r.requests, r.refusals, r.refusedTwice = r.requests+o.requests, r.refusals+o.refusals, r.refusedTwice+o.refusedTwice
	r.onTime, r.onTimeAgain, r.late, r.unserved = r.onTime+o.onTime, r.onTimeAgain+o.onTimeAgain, r.late+o.late, r.unserved+o.unserved
	r.promised, r.promisedRefused = r.promised+o.promised, r.promisedRefused+o.promisedRefused
	r.counts.Made, r.counts.Kept, r.counts.Lapsed, r.counts.Early = r.counts.Made+o.counts.Made, r.counts.Kept+o.counts.Kept, r.counts.Lapsed+o.counts.Lapsed, r.counts.Early+o.counts.Early
	return r
}

// worth returns the share of the attainable worth, given that of a late response. A response within
// the objective of the second attempt only counts as late, or as on time if again is set.
func (r returnResult) worth(late float64, again bool) float64 {
	second := late
	if again {
		second = 1
	}
	return (float64(r.onTime) + second*float64(r.onTimeAgain) + late*float64(r.late)) / float64(max(1, r.requests))
}

// returnLoads are loads of a service as shares of its capacity.
var returnLoads = []struct {
	name string
	load func(now time.Duration) float64
}{
	{"below", func(time.Duration) float64 { return 0.8 }},
	{"steady", func(time.Duration) float64 { return 1.5 }},
	{"burst", func(now time.Duration) float64 {
		if now > 3*time.Second && now < 6*time.Second {
			return 1.5
		}
		return 0.7
	}},
	// The waves of the first deployment last 13 s.
	{"wave", func(now time.Duration) float64 { return 1 + 0.6*math.Sin(2*math.Pi*now.Seconds()/13) }},
	{"short_wave", func(now time.Duration) float64 { return 0.9 + 0.7*math.Sin(2*math.Pi*now.Seconds()/4) }},
}

// returnKinds splits a load into kinds of requests.
func returnKinds(load func(time.Duration) float64, tiers int) []returnKind {
	share := func(x float64) func(time.Duration) float64 {
		return func(now time.Duration) float64 { return x * load(now) }
	}
	if tiers == 1 {
		return []returnKind{{tier: 2, load: load, objective: 300 * time.Millisecond, timeout: 3 * time.Second}}
	}
	return []returnKind{
		{tier: 0, load: share(0.3), objective: 500 * time.Millisecond, timeout: 10 * time.Second},
		{tier: 1, load: share(0.3), objective: 600 * time.Millisecond, timeout: 10 * time.Second},
		{tier: 2, load: share(0.4), objective: 300 * time.Millisecond, timeout: 3 * time.Second},
	}
}

// BenchmarkPolicyReturns reports what callers of an overloaded plain service get, with return times
// and without.
func BenchmarkPolicyReturns(b *testing.B) {
	for _, mode := range []returnMode{keepsTime, atOnce} {
		for _, tiers := range []int{1, 3} {
			for _, placers := range []int{1, 3} {
				for _, l := range returnLoads {
					for _, off := range []mechanism.Off{0, 1 << mechanism.ReturnTimes} {
						b.Run(fmt.Sprintf("%v/tiers=%d/placers=%d/%s/off=%v", mode, tiers, placers, l.name, off), func(b *testing.B) {
							var sum returnResult
							for seed := range uint64(3) {
								sum = sum.add(newReturnPlay(seed, placers, 4, off, mode, returnKinds(l.load, tiers)).run(26 * time.Second))
							}
							for b.Loop() {
							}
							n := float64(sum.requests)
							b.ReportMetric(sum.worth(0.3, false), "earned")
							b.ReportMetric(sum.worth(0.3, true), "earned_again")
							b.ReportMetric(float64(sum.refusals)/n, "refusals")
							b.ReportMetric(float64(sum.refusedTwice)/n, "twice")
							b.ReportMetric(float64(sum.late)/n, "late")
							b.ReportMetric(float64(sum.promised)/n, "promised")
							b.ReportMetric(float64(sum.promisedRefused)/n, "broken")
						})
					}
				}
			}
		}
	}
}

// playBoth plays a load with return times and without.
func playBoth(mode returnMode, load func(time.Duration) float64, tiers, placers int) (on, off returnResult) {
	for seed := range uint64(3) {
		on = on.add(newReturnPlay(seed, placers, 4, 0, mode, returnKinds(load, tiers)).run(13 * time.Second))
		off = off.add(newReturnPlay(seed, placers, 4, 1<<mechanism.ReturnTimes, mode, returnKinds(load, tiers)).run(13 * time.Second))
	}
	return on, off
}

// Guards against return times that send callers back while there is no capacity for them, and against a
// schedule that serves callers worse than the former 0.3 s. Load: waves up to 1.6 times the capacity.
func TestCallersThatKeepToTheirTimeAreServed(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 3} {
		for _, l := range returnLoads[2:] {
			// n is the number of both, tiers and placers.
			on, off := playBoth(keepsTime, l.load, n, n)
			t.Logf("%d tiers and placers, %s: worth %.3f with return times, %.3f without; refused twice %d and %d of %d", n, l.name, on.worth(0.3, true), off.worth(0.3, true), on.refusedTwice, off.refusedTwice, on.requests)
			if on.refusedTwice >= off.refusedTwice {
				t.Error("no fewer requests are refused twice")
			}
			for _, late := range []float64{0.1, 0.3, 0.5} {
				if on.worth(late, true) < off.worth(late, true) {
					t.Errorf("less worth if late responses have %v", late)
				}
			}
		}
	}
}

// Guards against callers that gain by returning before their time, and against promises to them that
// cost other callers their responses.
func TestCallersThatReturnEarlyGainNothing(t *testing.T) {
	t.Parallel()
	const noise = 0.02
	for _, l := range returnLoads[1:] {
		on, off := playBoth(atOnce, l.load, 1, 1)
		t.Logf("%s: worth %.3f with return times, %.3f without; %+v", l.name, on.worth(0.3, true), off.worth(0.3, true), on.counts)
		if n, m := fraction(on.onTimeAgain, on.requests), fraction(off.onTimeAgain, off.requests); n > m+noise {
			t.Errorf("%.3f on time after an early return, %.3f without return times", n, m)
		}
		if on.worth(0.3, true) < off.worth(0.3, true)-noise {
			t.Error("callers are served worse than without return times")
		}
		if on.counts.Early == 0 {
			t.Error("no early return was counted")
		}
	}
}

// Guards against return times that change anything while there is no overload.
func TestReturnTimesChangeNothingBelowCapacity(t *testing.T) {
	on, off := playBoth(keepsTime, returnLoads[0].load, 3, 1)
	if on != off || on.refusals > 0 {
		t.Errorf("%+v with return times, %+v without", on, off)
	}
}
