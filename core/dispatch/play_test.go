package dispatch

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/engine"
)

// play runs several VMs before shared engines in virtual time, with callers that
// leave when they have waited for too long.
type play struct {
	rand    *rand.Rand
	vms     []*Scheduler
	engines map[string]*engine.Model
	// ids are the engines in order, so that a seed plays the same each time.
	ids   []string
	kinds []kind
	// factor multiplies the rate of arrivals from one time to another.
	burstFrom, burstTo time.Duration
	burst              float64
	// burstEvery makes bursts come again; 0 for one.
	burstEvery time.Duration

	// domains is the number of failure domains, to which VMs and engines belong in
	// turns; near and far bound the notes that a VM sends at once.
	domains, near, far int
	told               int

	// tokens is how many tokens an event of a stream holds, maxPause the longest pause
	// between two that is on time.
	tokens   int
	maxPause time.Duration
	// ratios are the times to first events that were seen, over those predicted.
	ratios []float64
	// impossible counts decisions with a prediction or a load that cannot be.
	impossible int

	// failing engines reset requests as they come; broken counts those.
	failing map[string]failure
	broken  int

	now  time.Duration
	jobs map[uint64]*played
	next uint64
	// results by kind.
	results []result
}

// kind is a kind of request.
type kind struct {
	name      string
	tier      int
	perSecond float64
	// prompt and output are means of log-normal distributions in tokens.
	prompt, output float64
	spread         float64
	objective      time.Duration
	// limit is how long callers wait for the whole answer.
	limit time.Duration
	// worth on time and late.
	worth, late float64
}

// result is what callers of a kind got.
type result struct {
	asked, onTime, late, refused, left int
	// largeAsked and largeServed count the largest tenth by prompt.
	largeAsked, largeServed int
	earned, owed            float64
	// paused counts late answers that began on time.
	paused int
	// surprised counts late answers that were expected on time when they were placed.
	surprised int
	// held is how long refused requests had waited in all.
	held time.Duration
}

// failure is when an engine resets a share of its requests at once.
type failure struct {
	from, to time.Duration
	share    float64
}

func (p *play) breaks(id string) bool {
	f := p.failing[id]
	return p.now >= f.from && p.now < f.to && p.rand.Float64() < f.share
}

type played struct {
	kind      int
	vm        int
	job       Job
	engine    string
	started   bool
	first     time.Duration
	last      time.Duration
	pause     time.Duration
	told      int
	credit    float64
	largest   bool
	submitted time.Duration
	output    int
	// reset requests are broken off by their engine at once.
	reset    bool
	placed   time.Duration
	expected time.Duration
}

const (
	playStep    = 5 * time.Millisecond
	playNotes   = 100 * time.Millisecond
	playTokens  = 6
	playService = "engines"
	playPause   = 250 * time.Millisecond
	playPatient = 2 * time.Second
	// No request of the play waits longer for its first event, and no engine has more
	// unread prompt tokens.
	playLongest    = time.Minute
	playMostUnread = 1 << 20
)

// newPlay makes engines of the given slownesses, with slots each, in one failure
// domain.
func newPlay(seed uint64, vms, slots int, slow []float64, kinds []kind) *play {
	return newLargePlay(seed, vms, slots, 1, slow, kinds)
}

// newLargePlay does so for several failure domains.
func newLargePlay(seed uint64, vms, slots, domains int, slow []float64, kinds []kind) *play {
	p := &play{
		rand: rand.New(rand.NewPCG(seed, seed)), engines: make(map[string]*engine.Model),
		kinds: kinds, jobs: make(map[uint64]*played), results: make([]result, len(kinds)), burst: 1,
		domains: domains, near: playNear, far: playFar, tokens: playTokens, maxPause: playPause, failing: make(map[string]failure),
	}
	var list []*members.Endpoint
	for i, x := range slow {
		id := fmt.Sprintf("e%02d", i)
		m := engine.New(engine.Config{Slots: slots, PrefillSpeed: 61200, OutputSpeed: 297, BatchCost: 0.003, ChunkTokens: 1024}, 0)
		m.SetSlow(0, x)
		p.engines[id] = m
		p.ids = append(p.ids, id)
		list = append(list, &members.Endpoint{ID: id, Service: playService, Slots: slots, FailureDomain: strconv.Itoa(i % domains)})
	}
	for i := range vms {
		s := New(strconv.Itoa(i), strconv.Itoa(i%domains))
		s.SetEndpoints(0, playService, list, true)
		p.vms = append(p.vms, s)
	}
	return p
}

// playNear and playFar are how many VMs of the own and of other failure domains a
// VM tells its load at once.
const (
	playNear = 16
	playFar  = 6
)

func (p *play) run(length time.Duration) {
	for _, s := range p.vms {
		s.SetTokensPerEvent(playService, p.tokens)
	}
	for ; p.now < length; p.now += playStep {
		p.arrive()
		p.advance()
		p.leave()
		for i, s := range p.vms {
			p.carryOut(i, s.Tick(p.now))
		}
		if p.now%playNotes == 0 {
			p.tell()
		}
	}
	// What still runs at the end is neither served nor not.
	for _, h := range p.handles() {
		pl := p.jobs[h]
		r := &p.results[pl.kind]
		r.asked--
		r.owed -= p.kinds[pl.kind].worth * pl.credit
		if pl.largest {
			r.largeAsked--
		}
	}
}

// tell lets each VM tell some others its load, in turns.
func (p *play) tell() {
	for i, from := range p.vms {
		var near, far []int
		for j := range p.vms {
			switch {
			case i == j:
			case i%p.domains == j%p.domains:
				near = append(near, j)
			default:
				far = append(far, j)
			}
		}
		uses := from.Loads(p.now, p.told%10 == 0)
		for _, j := range append(inTurns(near, p.near, p.told+i), inTurns(far, p.far, p.told+i)...) {
			p.vms[j].ApplyPeerLoads(p.now, strconv.Itoa(i), strconv.Itoa(i%p.domains), uses, true)
		}
	}
	p.told++
}

func inTurns(list []int, n, turn int) []int {
	if len(list) <= n {
		return list
	}
	var picked []int
	for k := range n {
		picked = append(picked, list[(turn*n+k)%len(list)])
	}
	return picked
}

func (p *play) arrive() {
	for i, k := range p.kinds {
		rate := k.perSecond
		at := p.now
		if p.burstEvery > 0 {
			at %= p.burstEvery
		}
		if at >= p.burstFrom && at < p.burstTo {
			rate *= p.burst
		}
		for n := p.poisson(rate * playStep.Seconds()); n > 0; n-- {
			p.submit(i, k)
		}
	}
}

func (p *play) poisson(mean float64) int {
	n, q := 0, p.rand.Float64()
	for prob, sum := math.Exp(-mean), math.Exp(-mean); q > sum && n < 100; n++ {
		prob *= mean / float64(n+1)
		sum += prob
	}
	return n
}

// size draws from a log-normal distribution.
func (p *play) size(mean, spread float64) int {
	sigma := spread * 0.7
	return max(1, int(mean*math.Exp(sigma*p.rand.NormFloat64()-sigma*sigma/2)))
}

func (p *play) submit(i int, k kind) {
	p.next++
	vm := p.rand.IntN(len(p.vms))
	prompt, output := min(p.size(k.prompt, k.spread), 8*int(k.prompt)), min(p.size(k.output, k.spread), 10*int(k.output))
	relative := (float64(prompt) + 10*float64(output)) / (k.prompt + 10*k.output)
	pl := &played{kind: i, vm: vm, credit: min(4, 0.3+0.7*relative), largest: float64(prompt) > 2.2*k.prompt, submitted: p.now, output: output}
	pl.job = Job{
		Handle: p.next, Service: playService, Tier: k.tier, PromptTokens: prompt, ExpectedEvents: p.size(float64(output)/float64(p.tokens), 0.7), MaxPause: p.maxPause, Deadline: p.now + k.limit,
		Objective: p.now + k.objective, AbandonAt: p.now + max(playPatient, 4*k.objective),
	}
	p.jobs[p.next] = pl
	r := &p.results[i]
	r.asked++
	r.owed += k.worth * pl.credit
	if pl.largest {
		r.largeAsked++
	}
	p.carryOut(vm, p.vms[vm].Submit(p.now, pl.job))
}

func (p *play) carryOut(vm int, decisions []Decision) {
	for _, d := range decisions {
		pl := p.jobs[d.Handle]
		if d.Endpoint == nil {
			p.results[pl.kind].refused++
			p.results[pl.kind].held += p.now - pl.submitted
			delete(p.jobs, d.Handle)
			continue
		}
		pl.engine = d.Endpoint.ID
		pl.placed, pl.expected = p.now, d.Predicted
		if d.Predicted <= 0 || d.Predicted > playLongest || d.Load.PromptTokens < 0 || d.Load.PromptTokens > playMostUnread {
			p.impossible++
		}
		if len(p.failing) > 0 && p.breaks(pl.engine) {
			pl.reset = true
			continue
		}
		p.engines[pl.engine].Submit(p.now, strconv.FormatUint(d.Handle, 10), nil, pl.job.PromptTokens, pl.output)
	}
}

func (p *play) advance() {
	for _, id := range p.ids {
		for _, ev := range p.engines[id].Advance(p.now) {
			h, err := strconv.ParseUint(ev.ID, 10, 64)
			pl := p.jobs[h]
			if err != nil || pl == nil || pl.engine != id {
				continue
			}
			if ev.Kind == engine.First {
				pl.started, pl.first, pl.last = true, ev.At, ev.At
				p.ratios = append(p.ratios, float64(ev.At-pl.placed)/float64(max(1, pl.expected)))
				p.vms[pl.vm].RecordEvents(p.now, h, 1)
				continue
			}
			p.finish(h, pl)
		}
	}
	for _, h := range p.handles() {
		if pl := p.jobs[h]; pl != nil && pl.reset {
			p.broken++
			delete(p.jobs, h)
			p.carryOut(pl.vm, p.vms[pl.vm].EndRun(p.now, h, Broken))
		}
	}
	for _, h := range p.handles() {
		pl := p.jobs[h]
		if !pl.started {
			continue
		}
		if n := p.engines[pl.engine].Written(strconv.FormatUint(h, 10))/p.tokens - pl.told; n > 0 {
			pl.told += n
			pl.pause = max(pl.pause, p.now-pl.last)
			pl.last = p.now
			p.vms[pl.vm].RecordEvents(p.now, h, n)
		}
	}
}

func (p *play) finish(h uint64, pl *played) {
	k, r := p.kinds[pl.kind], &p.results[pl.kind]
	if pl.first <= pl.job.Objective && pl.pause <= p.maxPause {
		r.onTime++
		r.earned += k.worth * pl.credit
	} else {
		r.late++
		if pl.first <= pl.job.Objective {
			r.paused++
		} else if pl.placed+pl.expected <= pl.job.Objective {
			r.surprised++
		}
		r.earned += k.late * pl.credit
	}
	if pl.largest {
		r.largeServed++
	}
	delete(p.jobs, h)
	p.carryOut(pl.vm, p.vms[pl.vm].EndRun(p.now, h, Answered))
}

func (p *play) handles() []uint64 { return slices.Sorted(maps.Keys(p.jobs)) }

// leave lets callers go who have waited for too long.
func (p *play) leave() {
	for _, h := range p.handles() {
		pl := p.jobs[h]
		if pl == nil || p.now < pl.job.Deadline && (pl.started || p.now < pl.job.AbandonAt) {
			continue
		}
		p.results[pl.kind].left++
		delete(p.jobs, h)
		if pl.engine == "" {
			p.vms[pl.vm].Withdraw(p.now, playService, h)
			continue
		}
		p.engines[pl.engine].Cancel(p.now, strconv.FormatUint(h, 10))
		p.carryOut(pl.vm, p.vms[pl.vm].EndRun(p.now, h, CallerLeft))
	}
}

// share is what was earned of what was owed, over all kinds.
func (p *play) share() float64 {
	earned, owed := 0.0, 0.0
	for _, r := range p.results {
		earned, owed = earned+r.earned, owed+r.owed
	}
	return earned / owed
}

func (p *play) String() string {
	s := fmt.Sprintf("earned %.3f:", p.share())
	for i, r := range p.results {
		s += fmt.Sprintf(" %s asked %d on time %.2f late %.2f (paused %.2f surprised %.2f) refused %.2f held %.2fs left %.2f large %.2f;", p.kinds[i].name, r.asked,
			part(r.onTime, r.asked), part(r.late, r.asked), part(r.paused, r.asked), part(r.surprised, r.asked), part(r.refused, r.asked), r.held.Seconds()/float64(max(1, r.refused)), part(r.left, r.asked), part(r.largeServed, r.largeAsked))
	}
	return s
}

func part(n, of int) float64 { return float64(n) / float64(max(1, of)) }
