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

// version describes the responses of a version in the model.
type version struct {
	// failures is the fraction of its responses that fail, slow the fraction that takes factor
	// times as long.
	failures, slow, factor float64
	// from is the fraction of the order's time after which this applies; before it the version
	// behaves like the old one.
	from float64
	// route is the only route to which this applies; empty for all.
	route string
}

// model simulates a service with random requests. The times of responses vary as those of engines
// do, by a factor of two either way for one in ten.
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
	// maxResponseTime is the time that the longest responses take.
	maxResponseTime = time.Second
	// exposureShare and exposureSlack bound the requests that a bad version may receive. After
	// badResponseLimit bad responses it must soon be stopped.
	exposureShare, exposureSlack = 0.1, 50
	badResponseLimit             = 50
)

var modelRoutes = []string{"long", "short", "plain"}

// result is the result of a simulated rollout.
type result struct {
	phase Phase
	at    time.Duration
	// responses and bad count responses of the new version until then. overLimitFor is the time
	// since bad reached badResponseLimit.
	responses, bad int
	overLimitFor   time.Duration
	// exposed of all requests in the order's time reached the new version.
	exposed, all int
	finding      Finding
}

func (m *model) respond(e Evidence, v version, endpoint uint64, at float64) (bad bool) {
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

// run simulates an order up to its verdict, and on to the end of its time.
func (m *model) run() result {
	e := make(Evidence)
	monitor := NewMonitor(m.order)
	r := result{}
	var shiftStart time.Duration
	for age := time.Duration(0); age < m.order.Duration+stepDuration; age += stepDuration {
		share := m.shareAt(r.phase, age-shiftStart)
		for range int(m.perSecond * stepDuration.Seconds()) {
			r.all++
			if m.rng.Float64() >= share {
				m.respond(e, m.old, 0, 0)
				continue
			}
			r.exposed++
			if m.respond(e, m.newVersion, 1+uint64(m.rng.IntN(m.endpoints)), float64(age)/float64(m.order.Duration)) && !r.phase.Final() {
				r.bad++
			}
		}
		if r.phase.Final() {
			continue
		}
		if r.bad >= badResponseLimit {
			r.overLimitFor += stepDuration
		}
		r.at, r.finding, r.responses = age+stepDuration, monitor.Evaluate(r.phase, age, e, m.endpoints), r.exposed
		state := State{
			Age: age, Finding: r.finding, LongestResponse: e.LongestResponse(), NewListed: m.endpoints, OldListed: m.endpoints,
			Drained: r.phase == Shifting && age-shiftStart >= m.order.RampDuration()+maxResponseTime,
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

// shareAt returns the fraction of the requests that goes to the new version.
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

// A version that is bad in any of the usual ways is rolled back. After 50 bad responses it must
// be stopped within 5 s, of which one is left for informing all VMs.
func TestBadVersionsAreRolledBack(t *testing.T) {
	const seeds, stopWithin = 40, 4 * time.Second
	for _, c := range []struct {
		name string
		v    version
		// within is the fraction of the seeds that must be rolled back in time.
		within float64
	}{
		{"10% failures", version{failures: 0.1}, 0.9},
		{"20% failures", version{failures: 0.2}, 1},
		{"40% failures", version{failures: 0.4}, 1},
		{"40% failures in the second half", version{failures: 0.4, from: 0.5}, 0.9},
		{"40% failures on one route", version{failures: 0.4, route: "short"}, 1},
		{"4 times slower", version{slow: 1, factor: 4}, 1},
		{"8 times slower", version{slow: 1, factor: 8}, 1},
		{"30% 8 times slower", version{slow: 0.3, factor: 8}, 0.9},
		{"8 times slower on one route", version{slow: 1, factor: 8, route: "short"}, 1},
		{"8 times slower in the second half", version{slow: 1, factor: 8, from: 0.5}, 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			var took []time.Duration
			var responses, bad []int
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
					t.Errorf("seed %d: stopped %v after %d bad responses, want at most %v", seed, r.overLimitFor, badResponseLimit, stopWithin)
				}
				took, responses, bad = append(took, r.at), append(responses, r.responses), append(bad, r.bad)
			}
			slices.Sort(took)
			slices.Sort(responses)
			slices.Sort(bad)
			t.Logf("%d of %d rolled back; median and maximum: after %v, %v; %d, %d responses; %d, %d bad",
				rolledBack, seeds, took[seeds/2], took[seeds-1], responses[seeds/2], responses[seeds-1], bad[seeds/2], bad[seeds-1])
			if float64(rolledBack) < c.within*seeds {
				t.Errorf("only %d of %d rolled back", rolledBack, seeds)
			}
		})
	}
}

// modelSeeds is the number of simulated rollouts of good versions; use 1,000 and more in manual
// runs.
var modelSeeds = flag.Int("model-seeds", 100, "number of simulated rollouts of good versions")

// A good version is rolled back in less than one of a thousand rollouts, also where some
// responses are slower because its caches are empty, and it is completed in time.
func TestGoodVersionsAreCompleted(t *testing.T) {
	for _, c := range []struct {
		name string
		v    version
	}{
		{"identical", version{failures: 0.01}},
		{"a tenth 1.5 times slower", version{failures: 0.01, slow: 0.1, factor: 1.5}},
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
			t.Logf("of %d: %d rolled back, %d late", *modelSeeds, rolledBack, late)
			if most := *modelSeeds / 1000; rolledBack > most || late > most {
				t.Errorf("of %d good versions %d were rolled back and %d late, want at most %d", *modelSeeds, rolledBack, late, most)
			}
		})
	}
}

// A single faulty endpoint is no evidence against its version, though it gives most of the bad
// responses. If a second endpoint fails too, it is.
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

// Guards against completing a version of which 11 of 20 responses failed. In the same seconds the
// link to one endpoint of the old version was broken, a quarter of the old version's requests
// were cut off, and both were counted as failures.
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

// Guards against completing a version of which all 21 responses on one route were slow. The
// machine was busy, and 43 of 235 responses of the old version counted as slow too. The test
// looked only at which version gave the bad responses, not at how many of the new version's own
// were bad.
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
	// As many bad responses as the old version gives are no evidence.
	e[Group{Route: "r", Endpoint: 1}], e[Group{Route: "r", Endpoint: 2}] = counts(11, 3), counts(10, 2)
	is.True(!Evaluate(e, 2).Suspect())
}

// The bound on the exposure to a bad version holds at any moment, whatever state the VMs have,
// with processes that are killed and restarted. It is relative to the requests that each process
// sent.
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
				t.Fatalf("%d requests exposed of %d sent", exposed, sent)
			}
		}
	})
}

// Reports of VMs merge to the same sum in any order, also if duplicated or late, and never count
// a response twice.
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
		a := NewAggregator()
		for _, m := range order {
			a.Merge(m.source, m.e)
		}
		got := a.Sum()
		for g, c := range want {
			if got[g] != c {
				t.Fatalf("%v: %+v, want %+v", g, got[g], c)
			}
		}
	})
}

// A phase never regresses, and Decide never changes a verdict. Only the store can, with Completed.
func TestPhasesOnlyAdvance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Order{Service: "s", Version: "v2", Duration: 10 * time.Second}
		phase := Canary
		for range 30 {
			next := o.Decide(phase, State{
				Age:     time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "age")),
				Finding: Finding{Strength: rapid.Float64Range(-5, 20).Draw(t, "strength"), TotalStrength: rapid.Float64Range(0, 20).Draw(t, "total strength")},
				Answers: rapid.IntRange(0, 100).Draw(t, "answers"), OldAnswers: rapid.IntRange(0, 100).Draw(t, "old answers"), NewListed: rapid.IntRange(0, 2).Draw(t, "new"),
				OldListed: rapid.IntRange(0, 2).Draw(t, "old"), Drained: rapid.Bool().Draw(t, "drained"), Held: rapid.Bool().Draw(t, "held"),
			})
			if next < phase || phase.Final() && next != phase {
				t.Fatalf("%v after %v", next, phase)
			}
			if next == Completed && phase == Canary {
				t.Fatal("completed without the shifting phase")
			}
			phase = next
		}
	})
}

func TestDecisions(t *testing.T) {
	o := Order{Service: "s", Version: "v2", Duration: 10 * time.Second}
	base := State{Age: 8 * time.Second, Answers: 100, OldAnswers: 1000, LongestResponse: time.Second, NewListed: 5, OldListed: 5}
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
		{"canary until the shift starts", Canary, with(func(s *State) { s.Age = 5 * time.Second }), Canary},
		{"shift starts on time", Canary, base, Shifting},
		{"no shift while an operator holds it", Canary, with(func(s *State) { s.Held = true }), Canary},
		{"few responses: canary continues", Canary, with(func(s *State) { s.Answers = 3; s.Age = 9 * time.Second }), Canary},
		{"few responses, past the order's time: canary continues", Canary, with(func(s *State) { s.Answers = 3; s.Age = 12 * time.Second }), Canary},
		{"few responses, at twice the order's time: rolled back", Canary, with(func(s *State) { s.Answers = 3; s.Age = 20 * time.Second }), RolledBack},
		{"few responses of the old version known after processes ended: canary continues", Canary, with(func(s *State) { s.OldAnswers = 3 }), Canary},
		{"negligible requests: shift starts late", Canary, with(func(s *State) { s.Answers = 1; s.OldAnswers = 20; s.Age = 10 * time.Second }), Shifting},
		{"few responses known after processes ended: canary continues", Canary, with(func(s *State) { s.Answers = 0; s.OldAnswers = 2 }), Canary},
		{"suspect: canary continues", Canary, with(func(s *State) { s.Finding.TotalStrength = 3; s.Age = 7 * time.Second }), Canary},
		{"suspect, little time left: shift starts", Canary, with(func(s *State) { s.Finding.TotalStrength = 3; s.Age = 8500 * time.Millisecond }), Shifting},
		{"untrusted: no shift", Canary, with(func(s *State) { s.Finding.TotalStrength = 7; s.Age = 9 * time.Second }), Canary},
		{"untrusted at the order's end: rolled back", Canary, with(func(s *State) { s.Finding.TotalStrength = 7; s.Age = 10 * time.Second }), RolledBack},
		{"no endpoint of the new version: canary continues", Canary, with(func(s *State) { s.NewListed = 0 }), Canary},
		{"no endpoint of the new version at the order's end: rolled back", Canary, with(func(s *State) { s.NewListed = 0; s.Age = 11 * time.Second }), RolledBack},
		{"only the new version is listed: shift starts", Canary, with(func(s *State) { s.OldListed = 0; s.Age = 2 * time.Second }), Shifting},
		{"bad while shifting: rolled back", Shifting, with(func(s *State) { s.Finding.Strength = 13; s.Drained = true }), RolledBack},
		{"not drained: shift continues", Shifting, base, Shifting},
		{"drained, time left: shift continues", Shifting, with(func(s *State) { s.Drained = true }), Shifting},
		{"drained, time over: completed", Shifting, with(func(s *State) { s.Drained = true; s.Age = 9 * time.Second }), Completed},
		{"suspect while shifting: not completed yet", Shifting, with(func(s *State) { s.Drained = true; s.Age = 9 * time.Second; s.Finding.TotalStrength = 3 }), Shifting},
		{"suspect while shifting, little time left: completed", Shifting, with(func(s *State) { s.Drained = true; s.Age = 9600 * time.Millisecond; s.Finding.TotalStrength = 3 }), Completed},
		{"untrusted while shifting: rolled back", Shifting, with(func(s *State) { s.Finding.TotalStrength = 7 }), RolledBack},
		{"no responses of the old version known, some failures: not completed", Shifting, with(func(s *State) { s.Drained = true; s.Age = 11 * time.Second; s.OldAnswers = 0; s.Failures = 26 }), Shifting},
		{"no responses of the old version known, some failures, at twice the order's time: rolled back", Shifting, with(func(s *State) { s.Drained = true; s.Age = 20 * time.Second; s.OldAnswers = 0; s.Failures = 26 }), RolledBack},
		{"no responses of the old version known, no failures: completed", Shifting, with(func(s *State) { s.Drained = true; s.Age = 9500 * time.Millisecond; s.OldAnswers = 0 }), Completed},
		{"no endpoint of the old version listed: completed", Shifting, with(func(s *State) { s.Drained = true; s.OldListed = 0 }), Completed},
		{"a verdict is final", RolledBack, with(func(s *State) { s.Drained = true }), RolledBack},
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
	is.Equal(len(picked), 8) // each gets about as many requests as an endpoint of the old version
	slices.Reverse(keys)
	is.Equal(o.CanaryEndpoints(keys, 112, CanaryShare(0.1)), picked) // independent of the order of keys
	is.Equal(len(o.CanaryEndpoints(keys[:5], 9, CanaryShare(0.1))), 2)
	is.Equal(len(o.CanaryEndpoints(keys[:1], 9, CanaryShare(0.1))), 1)
}

// Guards against grants that add up to more than the fixed number, because VMs added during a
// partition are not known to earlier ones.
func TestGrantsStayWithinSlackWithDifferentFleetSizes(t *testing.T) {
	const slack = 50.0
	for before := 1; before <= 2000; before = before*3/2 + 1 {
		for added := 0; added <= 2*before; added += 1 + before/5 {
			sum := float64(before)*InitialGrant(slack, before) + float64(added)*InitialGrant(slack, before+added)
			if sum > slack {
				t.Fatalf("%d VMs and %d unknown to them are granted %.1f, want at most %.0f", before, added, sum, slack)
			}
		}
	}
}
