package rollout

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// version is how a version answers in the model.
type version struct {
	// failures is the part of its answers that fail, slow that which takes factor times as long.
	failures, slow, factor float64
	// from is after what part of the order's time it is so; before it is like the old one.
	from float64
	// route is the only one on which it is so; empty for all.
	route string
}

// model plays a service whose requests come at random and answers that take times spread as
// engines' are, by a factor of two either way for one in ten.
type model struct {
	rng        *rand.Rand
	order      Order
	perSecond  float64
	share      float64
	endpoints  int
	old        version
	newVersion version
}

const (
	stepDuration   = 100 * time.Millisecond
	logNormalSigma = 0.55
	// maxAnswerTime is how long the longest answers take.
	maxAnswerTime = time.Second
	// What a bad version may get, and how many bad answers it may give before it must
	// soon be stopped.
	exposureShare, exposureSlack = 0.1, 50
	badAnswerLimit               = 50
)

var modelRoutes = []string{"long", "short", "plain"}

// result is what became of a roll-out.
type result struct {
	phase Phase
	at    time.Duration
	// answers and bad are those of the new version until then, sinceMany is the time since
	// it had given as many bad ones as a bad version may before it must soon be stopped.
	answers, bad int
	overLimitFor time.Duration
	// exposed of all requests of the order's time reached the new version.
	exposed, all int
	finding      Finding
}

func (m *model) answer(e Evidence, v version, endpoint uint64, at float64) (bad bool) {
	route := modelRoutes[m.rng.IntN(len(modelRoutes))]
	took := 300 * time.Millisecond * time.Duration(1000*math.Exp(logNormalSigma*m.rng.NormFloat64())) / 1000
	affected := at >= v.from && (v.route == "" || v.route == route)
	failed := affected && m.rng.Float64() < v.failures
	slow := affected && m.rng.Float64() < v.slow
	if slow {
		took = time.Duration(float64(took) * v.factor)
	}
	e.Update(Group{Route: route, Endpoint: endpoint}, func(c *Counts) {
		c.Answers++
		if failed {
			c.Failures++
			return
		}
		c.FirstEvent.Observe(took / 3)
		c.WholeAnswer.Observe(took)
	})
	return failed || slow
}

// run plays an order to its verdict, and beyond to the end of its time.
func (m *model) run() result {
	e := make(Evidence)
	watch := NewMonitor(m.order)
	r := result{}
	var shiftStart time.Duration
	for age := time.Duration(0); age < m.order.Duration+stepDuration; age += stepDuration {
		share := m.shareAt(r.phase, age-shiftStart)
		for range int(m.perSecond * stepDuration.Seconds()) {
			r.all++
			if m.rng.Float64() >= share {
				m.answer(e, m.old, 0, 0)
				continue
			}
			r.exposed++
			if m.answer(e, m.newVersion, 1+uint64(m.rng.IntN(m.endpoints)), float64(age)/float64(m.order.Duration)) && !r.phase.Final() {
				r.bad++
			}
		}
		if r.phase.Final() {
			continue
		}
		if r.bad >= badAnswerLimit {
			r.overLimitFor += stepDuration
		}
		r.at, r.finding, r.answers = age+stepDuration, watch.Evaluate(r.phase, age, e, m.endpoints), r.exposed
		state := State{
			Age: age, Finding: r.finding, LongestAnswer: e.LongestAnswer(), NewListed: m.endpoints, OldListed: m.endpoints,
			Drained: r.phase == Shifting && age-shiftStart >= m.order.RampDuration()+maxAnswerTime,
		}
		state.Answers, state.Failures, state.OldAnswers = e.Totals()
		next := m.order.Decide(r.phase, state)
		if next == Shifting && r.phase == Canary {
			shiftStart = age
		}
		r.phase = next
	}
	return r
}

// shareAt is the share of the requests that the new version gets.
func (m *model) shareAt(p Phase, shifting time.Duration) float64 {
	switch p {
	case Canary:
		return m.share
	case Shifting:
		return min(1, m.share+(1-m.share)*float64(shifting)/float64(m.order.RampDuration()))
	case Completed:
		return 1
	}
	return 0
}

func newModel(seed uint64, perSecond float64, newVersion version) *model {
	return &model{
		rng: rand.New(rand.NewPCG(seed, seed)), order: Order{Service: "s", Version: "v2", Duration: 12 * time.Second},
		perSecond: perSecond, share: CanaryShare(0.1), endpoints: 4, old: version{failures: 0.01}, newVersion: newVersion,
	}
}

// A version that is bad in any of the ways in which versions are bad is convicted. Once it has
// given 50 bad answers it must be stopped within 5 s, of which one is left for telling all VMs.
func TestBadVersionsAreRolledBack(t *testing.T) {
	const seeds, stopWithin = 40, 4 * time.Second
	for _, c := range []struct {
		name string
		v    version
		// within is the part of the seeds that must be rolled back in time.
		within float64
	}{
		{"10% failures", version{failures: 0.1}, 0.9},
		{"20% failures", version{failures: 0.2}, 1},
		{"40% failures", version{failures: 0.4}, 1},
		{"40% failures from half of the time on", version{failures: 0.4, from: 0.5}, 0.9},
		{"40% failures on one route", version{failures: 0.4, route: "short"}, 1},
		{"4 times slower", version{slow: 1, factor: 4}, 1},
		{"8 times slower", version{slow: 1, factor: 8}, 1},
		{"30% 8 times slower", version{slow: 0.3, factor: 8}, 0.9},
		{"8 times slower on one route", version{slow: 1, factor: 8, route: "short"}, 1},
		{"8 times slower from half of the time on", version{slow: 1, factor: 8, from: 0.5}, 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			var took []time.Duration
			var answers, bad []int
			rolledBack := 0
			for seed := range uint64(seeds) {
				r := newModel(seed, 600, c.v).run()
				if r.phase == RolledBack {
					rolledBack++
				}
				if float64(r.exposed) > exposureShare*float64(r.all)+exposureSlack {
					t.Errorf("seed %d: %v after %v: %d of %d requests reached the new version", seed, r.phase, r.at, r.exposed, r.all)
				}
				if r.overLimitFor > stopWithin {
					t.Errorf("seed %d: convicted %v after %d bad answers, at most %v", seed, r.overLimitFor, badAnswerLimit, stopWithin)
				}
				took, answers, bad = append(took, r.at), append(answers, r.answers), append(bad, r.bad)
			}
			slices.Sort(took)
			slices.Sort(answers)
			slices.Sort(bad)
			t.Logf("%d of %d rolled back; median and most: after %v, %v; %d, %d answers; %d, %d bad",
				rolledBack, seeds, took[seeds/2], took[seeds-1], answers[seeds/2], answers[seeds-1], bad[seeds/2], bad[seeds-1])
			if float64(rolledBack) < c.within*seeds {
				t.Errorf("%d of %d rolled back", rolledBack, seeds)
			}
		})
	}
}

// modelSeeds is how many roll-outs of good versions are played; 1,000 and more by hand.
var modelSeeds = flag.Int("model-seeds", 100, "roll-outs of good versions to play")

// A good version is taken for bad in less than one of a thousand roll-outs, also where a little
// is slower since its caches are empty, and is completed in time.
func TestGoodVersionsAreCompleted(t *testing.T) {
	for _, c := range []struct {
		name string
		v    version
	}{
		{"alike", version{failures: 0.01}},
		{"a tenth takes half as long again", version{failures: 0.01, slow: 0.1, factor: 1.5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			rolledBack, late := 0, 0
			for seed := range uint64(*modelSeeds) {
				r := newModel(seed, 60, c.v).run()
				if r.phase == RolledBack {
					rolledBack++
				}
				if r.phase == Shifting || r.phase == Canary {
					late++
				}
			}
			t.Logf("of %d: %d convicted, %d late", *modelSeeds, rolledBack, late)
			if most := *modelSeeds / 1000; rolledBack > most || late > most {
				t.Errorf("of %d good versions %d were convicted and %d late, at most %d", *modelSeeds, rolledBack, late, most)
			}
		})
	}
}

// One endpoint that is sick says nothing of its version, though it gives most of the bad
// answers; one that every other shares does.
func TestFaultyEndpointDoesNotMakeVersionBad(t *testing.T) {
	is := is.New(t)
	e := Evidence{
		{Route: "r"}:              {Answers: 1000, Failures: 10},
		{Route: "r", Endpoint: 1}: {Answers: 40, Failures: 40},
		{Route: "r", Endpoint: 2}: {Answers: 40},
		{Route: "r", Endpoint: 3}: {Answers: 40, Failures: 1},
	}
	is.True(!Evaluate(e, 3).Bad())
	e[Group{Route: "r", Endpoint: 2}] = Counts{Answers: 40, Failures: 20}
	is.True(Evaluate(e, 3).Bad())
}

// Symptom: a version of which 11 of 20 answers failed was completed. Sequence: in the same seconds
// the link to one endpoint of the old version was broken, and a quarter of the old version's
// requests were cut off. Cause: both were counted as failures.
func TestBrokenLinkDoesNotHideBadVersion(t *testing.T) {
	is := is.New(t)
	e := Evidence{
		{Route: "r"}:              {Answers: 266, Cuts: 70},
		{Route: "r", Endpoint: 1}: {Answers: 10, Failures: 6},
		{Route: "r", Endpoint: 2}: {Answers: 10, Failures: 5},
	}
	is.True(Evaluate(e, 2).Untrusted())
	is.Equal(Evaluate(e, 2).Kind, Failures)
}

// Symptom: a version was completed of which all 21 answers on one route were slow. Sequence: the
// machine is busy, and 43 of 235 answers of the old version count as slow too. Cause: only which
// version gave the bad answers was tested, not how many of its own were bad.
func TestSlowOldVersionDoesNotHideBadVersion(t *testing.T) {
	is := is.New(t)
	fast, slow := 10*time.Millisecond, 200*time.Millisecond
	counts := func(n, bad int) (c Counts) {
		c.Answers = uint32(n)
		for i := range n {
			took := fast
			if i < bad {
				took = slow
			}
			c.FirstEvent.Observe(took)
			c.WholeAnswer.Observe(took)
		}
		return c
	}
	e := Evidence{
		{Route: "r"}:              counts(235, 43),
		{Route: "r", Endpoint: 1}: counts(11, 11),
		{Route: "r", Endpoint: 2}: counts(10, 10),
	}
	is.True(Evaluate(e, 2).Untrusted())
	// As many as the old one gives are no sign.
	e[Group{Route: "r", Endpoint: 1}], e[Group{Route: "r", Endpoint: 2}] = counts(11, 3), counts(10, 2)
	is.True(!Evaluate(e, 2).Suspect())
}

// The bound on what a bad version gets holds at any moment, whatever the VMs believe, over
// processes that are killed and start again, by the requests that each sent.
func TestExposureIsBounded(t *testing.T) {
	const share = 0.075
	rapid.Check(t, func(t *rapid.T) {
		gates := make([]Gate, rapid.IntRange(1, 12).Draw(t, "vms"))
		sent, exposed := 0, 0
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			i := rapid.IntRange(0, len(gates)-1).Draw(t, "vm")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				gates[i] = Gate{}
			case 1, 2:
				if gates[i].TryTake() {
					gates[i].Refund()
				}
			case 3, 4, 5:
				if gates[i].TryTake() {
					exposed++
				}
			default:
				sent++
				gates[i].RecordSent(share)
			}
			if float64(exposed) > share*float64(sent) {
				t.Fatalf("%d exposed of %d", exposed, sent)
			}
		}
	})
}

// What VMs tell merges to the same sum in any order, told twice or late, and never counts an
// answer twice.
func TestEvidenceMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type report struct {
			source string
			e      Evidence
		}
		var all []report
		want := make(Evidence)
		for v := range rapid.IntRange(1, 4).Draw(t, "vms") {
			seen := make(Evidence)
			for range rapid.IntRange(1, 5).Draw(t, "notes") {
				g := Group{Route: "r", Endpoint: rapid.Uint64Range(0, 2).Draw(t, "endpoint")}
				n := rapid.Uint32Range(0, 9).Draw(t, "answers")
				seen.Update(g, func(c *Counts) { c.Answers += n; c.FirstEvent[int(n)%buckets] += n })
				all = append(all, report{fmt.Sprint(v), Evidence{}})
				all[len(all)-1].e.Add(seen)
			}
			want.Add(seen)
		}
		order := rapid.Permutation(append(all, all...)).Draw(t, "order")
		l := NewAggregator()
		for _, m := range order {
			l.Merge(m.source, m.e)
		}
		got := l.Sum()
		for g, c := range want {
			if got[g] != c {
				t.Fatalf("%v: %+v, want %+v", g, got[g], c)
			}
		}
	})
}

// A phase never goes back, and a verdict stays unless the store says that the move is done.
func TestPhasesOnlyAdvance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Order{Service: "s", Version: "v2", Duration: 10 * time.Second}
		phase := Canary
		for range 30 {
			next := o.Decide(phase, State{
				Age:     time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "age")),
				Finding: Finding{Strength: rapid.Float64Range(-5, 20).Draw(t, "strength"), TotalStrength: rapid.Float64Range(0, 20).Draw(t, "doubt")},
				Answers: rapid.IntRange(0, 100).Draw(t, "answers"), OldAnswers: rapid.IntRange(0, 100).Draw(t, "old answers"), NewListed: rapid.IntRange(0, 2).Draw(t, "new"),
				OldListed: rapid.IntRange(0, 2).Draw(t, "old"), Drained: rapid.Bool().Draw(t, "drained"), Held: rapid.Bool().Draw(t, "held"),
			})
			if next < phase || phase.Final() && next != phase {
				t.Fatalf("%v after %v", next, phase)
			}
			if next == Completed && phase == Canary {
				t.Fatal("completed without a move")
			}
			phase = next
		}
	})
}

func TestDecisions(t *testing.T) {
	o := Order{Service: "s", Version: "v2", Duration: 10 * time.Second}
	base := State{Age: 8 * time.Second, Answers: 100, OldAnswers: 1000, LongestAnswer: time.Second, NewListed: 5, OldListed: 5}
	with := func(change func(*State)) State {
		s := base
		change(&s)
		return s
	}
	for _, c := range []struct {
		name  string
		phase Phase
		state State
		want  Phase
	}{
		{"tried until it is time to move", Canary, with(func(s *State) { s.Age = 5 * time.Second }), Canary},
		{"moved in time", Canary, base, Shifting},
		{"not moved while an operator holds it", Canary, with(func(s *State) { s.Held = true }), Canary},
		{"few answers: tried longer", Canary, with(func(s *State) { s.Answers = 3; s.Age = 9 * time.Second }), Canary},
		{"few answers, beyond its time: tried longer", Canary, with(func(s *State) { s.Answers = 3; s.Age = 12 * time.Second }), Canary},
		{"few answers, long beyond its time: rolled back", Canary, with(func(s *State) { s.Answers = 3; s.Age = 20 * time.Second }), RolledBack},
		{"few answers of the old one, since processes ended: tried longer", Canary, with(func(s *State) { s.OldAnswers = 3 }), Canary},
		{"so few requests that none can harm: moved late", Canary, with(func(s *State) { s.Answers = 1; s.OldAnswers = 20; s.Age = 10 * time.Second }), Shifting},
		{"few are known since processes ended: tried longer", Canary, with(func(s *State) { s.Answers = 0; s.OldAnswers = 2 }), Canary},
		{"suspect: tried longer", Canary, with(func(s *State) { s.Finding.TotalStrength = 3; s.Age = 7 * time.Second }), Canary},
		{"suspect, time short: moved", Canary, with(func(s *State) { s.Finding.TotalStrength = 3; s.Age = 8500 * time.Millisecond }), Shifting},
		{"not trusted: not moved", Canary, with(func(s *State) { s.Finding.TotalStrength = 7; s.Age = 9 * time.Second }), Canary},
		{"not trusted to the end: rolled back", Canary, with(func(s *State) { s.Finding.TotalStrength = 7; s.Age = 10 * time.Second }), RolledBack},
		{"no endpoint of the version: waits", Canary, with(func(s *State) { s.NewListed = 0 }), Canary},
		{"no endpoint of the version to the end: rolled back", Canary, with(func(s *State) { s.NewListed = 0; s.Age = 11 * time.Second }), RolledBack},
		{"only the new version is there: moved", Canary, with(func(s *State) { s.OldListed = 0; s.Age = 2 * time.Second }), Shifting},
		{"bad while moving: rolled back", Shifting, with(func(s *State) { s.Finding.Strength = 13; s.Drained = true }), RolledBack},
		{"requests still run at the old version", Shifting, base, Shifting},
		{"nothing runs there any more, but there is time", Shifting, with(func(s *State) { s.Drained = true }), Shifting},
		{"nothing runs there any more, and time is over", Shifting, with(func(s *State) { s.Drained = true; s.Age = 9 * time.Second }), Completed},
		{"suspect while moving: not completed yet", Shifting, with(func(s *State) { s.Drained = true; s.Age = 9 * time.Second; s.Finding.TotalStrength = 3 }), Shifting},
		{"suspect while moving, time short: completed", Shifting, with(func(s *State) { s.Drained = true; s.Age = 9600 * time.Millisecond; s.Finding.TotalStrength = 3 }), Completed},
		{"not trusted while moving: rolled back", Shifting, with(func(s *State) { s.Finding.TotalStrength = 7 }), RolledBack},
		{"nothing is known of the old one any more, and some fail: not completed", Shifting, with(func(s *State) { s.Drained = true; s.Age = 11 * time.Second; s.OldAnswers = 0; s.Failures = 26 }), Shifting},
		{"the same, for long: rolled back", Shifting, with(func(s *State) { s.Drained = true; s.Age = 20 * time.Second; s.OldAnswers = 0; s.Failures = 26 }), RolledBack},
		{"nothing is known of the old one any more, but none fail: completed", Shifting, with(func(s *State) { s.Drained = true; s.Age = 9500 * time.Millisecond; s.OldAnswers = 0 }), Completed},
		{"no old endpoint is left to wait for", Shifting, with(func(s *State) { s.Drained = true; s.OldListed = 0 }), Completed},
		{"a verdict stays", RolledBack, with(func(s *State) { s.Drained = true }), RolledBack},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(o.Decide(c.phase, c.state), c.want)
		})
	}
}

func TestSlotsAreBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(AssignSlots([]string{"b", "a"}), map[string]uint64{"a": 1, "b": 2})
	many := make([]string, 900)
	for i := range many {
		many[i] = fmt.Sprint("e", i)
	}
	seen := make(map[uint64]bool)
	for _, slot := range AssignSlots(many) {
		seen[slot] = true
	}
	is.Equal(len(seen), maxSlots)
	is.True(!seen[0])
}

func TestCanaryEndpoints(t *testing.T) {
	is := is.New(t)
	o := Order{Service: "s", Version: "v2"}
	keys := make([]string, 112)
	for i := range keys {
		keys[i] = fmt.Sprint("e", i)
	}
	picked := o.CanaryEndpoints(keys, 112, CanaryShare(0.1))
	is.Equal(len(picked), 8) // each gets about as many requests as one of the old version
	slices.Reverse(keys)
	is.Equal(o.CanaryEndpoints(keys, 112, CanaryShare(0.1)), picked) // in whatever order they are listed
	is.Equal(len(o.CanaryEndpoints(keys[:5], 9, CanaryShare(0.1))), 2)
	is.Equal(len(o.CanaryEndpoints(keys[:1], 9, CanaryShare(0.1))), 1)
}

// Guards against grants that add up to more than the fixed number, as VMs that were added during a cut are
// not known to those that came before.
func TestGrantsStayWithinSlackWithDifferentFleetSizes(t *testing.T) {
	const slack = 50.0
	for before := 1; before <= 2000; before = before*3/2 + 1 {
		for added := 0; added <= 2*before; added += 1 + before/5 {
			sum := float64(before)*InitialGrant(slack, before) + float64(added)*InitialGrant(slack, before+added)
			if sum > slack {
				t.Fatalf("%d VMs and %d that they do not know are granted %.1f of %.0f", before, added, sum, slack)
			}
		}
	}
}
