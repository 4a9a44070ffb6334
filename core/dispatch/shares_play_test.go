package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/core/members"
)

// sharePlay plays placers of a plain service in virtual time. Its endpoints serve their slots at a time, in order of
// arrival.
type sharePlay struct {
	rand    *rand.Rand
	placers []*Scheduler
	// queues holds the handles at each endpoint; the first ones, up to its slots, are running.
	queues   map[string][]*shareRun
	requests map[uint64]*shareRun
	now      time.Duration
	handle   uint64
	results  map[uint64]*shareResult
	// cut is the time from which no notes arrive; 0 for never.
	cut time.Duration
}

type shareRun struct {
	handle, organisation uint64
	placer               int
	sent, ends           time.Duration
	endpoint             string
}

type shareResult struct{ sent, onTime, served, refused int }

const (
	playEndpoints = 6
	playSlots     = 4
	playWork      = 100 * time.Millisecond
	playObjective = 300 * time.Millisecond
	playStep      = 2 * time.Millisecond
	playNotes     = 100 * time.Millisecond
	// playCapacity is the number of requests that are served in a second.
	playCapacity = 240
)

func newSharePlay(seed uint64, placers int, off mechanism.Off) *sharePlay {
	p := &sharePlay{rand: rand.New(rand.NewPCG(seed, 1)), queues: make(map[string][]*shareRun), requests: make(map[uint64]*shareRun), results: make(map[uint64]*shareResult)}
	var list []*members.Endpoint
	for i := range playEndpoints {
		list = append(list, &members.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Slots: playSlots, FailureDomain: "a"})
	}
	for i := range placers {
		s := New(fmt.Sprint("vm", i), "a")
		s.Disable(withoutLimits(off))
		s.SetEndpoints(0, "s", list, false)
		p.placers = append(p.placers, s)
	}
	return p
}

// demand is the requests of one organisation in a second, sent to one placer or, below 0, to any.
type demand struct {
	organisation uint64
	perSecond    float64
	placer       int
	from, to     time.Duration
}

func (p *sharePlay) run(length time.Duration, demands ...demand) {
	for ; p.now < length; p.now += playStep {
		for _, d := range demands {
			if p.now >= d.from && p.now < d.to && p.rand.Float64() < d.perSecond*playStep.Seconds() {
				p.submit(d)
			}
		}
		p.advance()
		for i, s := range p.placers {
			p.apply(i, s.Tick(p.now))
		}
		if p.now%playNotes == 0 && (p.cut == 0 || p.now < p.cut) {
			p.exchange()
		}
	}
}

func (p *sharePlay) result(organisation uint64) *shareResult {
	r := p.results[organisation]
	if r == nil {
		r = &shareResult{}
		p.results[organisation] = r
	}
	return r
}

func (p *sharePlay) submit(d demand) {
	p.handle++
	placer := d.placer
	if placer < 0 {
		placer = p.rand.IntN(len(p.placers))
	}
	p.requests[p.handle] = &shareRun{handle: p.handle, organisation: d.organisation, placer: placer, sent: p.now}
	p.result(d.organisation).sent++
	p.apply(placer, p.placers[placer].Submit(p.now, Job{Handle: p.handle, Service: "s", Organisation: d.organisation, Objective: p.now + playObjective, AbandonAt: p.now + 4*time.Second, Deadline: p.now + 4*time.Second}))
}

func (p *sharePlay) apply(placer int, decisions []Decision) {
	for _, d := range decisions {
		r := p.requests[d.Handle]
		if d.Endpoint == nil {
			p.result(r.organisation).refused++
			delete(p.requests, d.Handle)
			continue
		}
		r.endpoint = d.Endpoint.ID
		p.queues[r.endpoint] = append(p.queues[r.endpoint], r)
	}
}

// advance ends the requests whose work is done and begins those that wait at endpoints.
func (p *sharePlay) advance() {
	for _, id := range slices.Sorted(maps.Keys(p.queues)) {
		var ended []*shareRun
		for i, r := range p.queues[id] {
			switch {
			case i >= playSlots:
			case r.ends == 0:
				r.ends = p.now + playWork
			case p.now >= r.ends:
				ended = append(ended, r)
			}
		}
		for _, r := range ended {
			p.queues[id] = slices.DeleteFunc(p.queues[id], func(o *shareRun) bool { return o == r })
			p.finish(r)
		}
	}
}

func (p *sharePlay) finish(r *shareRun) {
	res := p.result(r.organisation)
	res.served++
	if p.now-r.sent <= playObjective {
		res.onTime++
	}
	delete(p.requests, r.handle)
	s := p.placers[r.placer]
	s.RecordEvents(p.now, r.handle, 1)
	p.apply(r.placer, s.EndRun(p.now, r.handle, Answered))
}

// exchange sends the notes of all placers; one in a hundred is lost.
func (p *sharePlay) exchange() {
	for i, from := range p.placers {
		loads, uses := from.Loads(p.now, false), from.OrganisationUses(p.now)
		from.RecordNoteSent(p.now, p.others(i))
		for j, to := range p.placers {
			if i != j && p.rand.IntN(100) > 0 {
				to.ApplyPeerLoads(p.now, fmt.Sprint("vm", i), "a", loads, true)
				to.ApplyOrganisationUses(p.now, fmt.Sprint("vm", i), uses)
			}
		}
	}
}

// others returns the names of all placers but one.
func (p *sharePlay) others(self int) (names []string) {
	for i := range p.placers {
		if i != self {
			names = append(names, fmt.Sprint("vm", i))
		}
	}
	return names
}

// sums returns the results of the large organisation 1 and of all others, without requests that may still be on time.
func (p *sharePlay) sums() (large, small shareResult) {
	for _, r := range p.requests {
		if p.now-r.sent < playObjective {
			p.results[r.organisation].sent--
		}
	}
	for org, r := range p.results {
		sum := &small
		if org == 1 {
			sum = &large
		}
		sum.sent, sum.onTime, sum.served, sum.refused = sum.sent+r.sent, sum.onTime+r.onTime, sum.served+r.served, sum.refused+r.refused
	}
	return large, small
}

const (
	playLength = 8 * time.Second
	forever    = time.Hour
	anyPlacer  = -1
)

// smallDemands are three organisations with a tenth of the capacity each.
func smallDemands(placer int) []demand {
	return []demand{{2, playCapacity / 10, placer, 0, forever}, {3, playCapacity / 10, placer, 0, forever}, {4, playCapacity / 10, placer, 0, forever}}
}

// TestSmallOrganisationsAreServedOnTime plays a large organisation with 2.5 times the capacity and three small ones
// with a tenth of it each. It guards against small ones that are refused or late, and against throughput that is
// lost for them.
func TestSmallOrganisationsAreServedOnTime(t *testing.T) {
	t.Parallel()
	large := demand{1, 2.5 * playCapacity, anyPlacer, 0, forever}
	atOne := large
	atOne.placer = 0
	for name, c := range map[string]struct {
		placers int
		demands []demand
		// minOnTime is the least part of the small ones' requests that are on time: between placers, those are
		// late that wait for the first notes.
		minOnTime float64
	}{
		"one placer":                    {1, append(smallDemands(anyPlacer), large), 0.97},
		"three placers":                 {3, append(smallDemands(anyPlacer), large), 0.95},
		"large organisation at another": {2, append(smallDemands(1), atOne), 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			served := make(map[mechanism.Off]int)
			for _, off := range []mechanism.Off{0, 1 << mechanism.OrganisationShares} {
				for seed := range uint64(4) {
					p := newSharePlay(seed, c.placers, off)
					p.run(playLength, c.demands...)
					large, small := p.sums()
					served[off] += large.served + small.served
					t.Logf("off=%v seed %d: large %+v, small %+v", off, seed, large, small)
					if onTime := fraction(small.onTime, small.sent); off == 0 && onTime < c.minOnTime {
						t.Errorf("seed %d: %.3f of the small organisations' requests on time", seed, onTime)
					} else if off != 0 && onTime >= c.minOnTime {
						t.Errorf("seed %d: the load does not need shares", seed)
					}
				}
			}
			if on, off := served[0], served[1<<mechanism.OrganisationShares]; float64(on) < 0.99*float64(off) {
				t.Errorf("%d requests served, %d without shares", on, off)
			}
		})
	}
}

// TestLentCapacityReturnsWithinASecond guards against an organisation that has to wait for long until what it left to
// others is its own again.
func TestLentCapacityReturnsWithinASecond(t *testing.T) {
	t.Parallel()
	for _, placer := range []int{0, 1} {
		for seed := range uint64(4) {
			p := newSharePlay(seed, 2, 0)
			p.run(playLength, demand{1, 2.5 * playCapacity, 0, 0, forever}, demand{2, 0.4 * playCapacity, placer, 3 * time.Second, 4 * time.Second})
			after := newSharePlay(seed, 2, 0)
			after.run(playLength, demand{1, 2.5 * playCapacity, 0, 0, forever}, demand{2, 0.4 * playCapacity, placer, 3 * time.Second, 6 * time.Second})
			first, both := p.results[2], after.results[2]
			t.Logf("at placer %d: %+v in the first second, %+v in three", placer, *first, *both)
			if late := (both.sent - both.onTime) - (first.sent - first.onTime); late > both.sent/20 {
				t.Errorf("at placer %d: %d requests after the first second not on time", placer, late)
			}
		}
	}
}
