package load

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chivefield/chivefield/request"
)

// Policies by name.
const (
	Current       = "current"
	RoundRobin    = "round-robin"
	LeastReported = "least-reported"
)

// TierReport counts the outcomes of one tier's requests. Bound is an upper bound
// on the requests that any policy could answer in time, Goodput the share of it
// that was reached.
type TierReport struct {
	Tier        int
	Offered     int
	InTime      int
	Late        int
	NotRun      int
	Cancelled   int
	Unknown     int
	Unfinished  int
	Bound       int
	Goodput     float64
	FirstP50    time.Duration
	FirstP95    time.Duration
	histogram   *hdrhistogram.Histogram
	slotDemands []float64
}

// Report is the result of one run of a scenario under a policy.
type Report struct {
	Scenario string
	Policy   string
	Seed     uint64
	Tiers    []*TierReport
	// PrefillPaid counts the prompt tokens that were prefilled, WastedDiscarded
	// those of requests that were not answered in time, and WastedRepeated those in
	// blocks that an engine had prefilled before.
	PrefillPaid     int
	WastedDiscarded int
	WastedRepeated  int
	Price           float64
	// Messages counts the messages between VMs.
	Messages int
	// Twice counts the requests that were dispatched more than once.
	Twice      int
	Dispatches map[string]int `json:"-"`
}

// UnknownPolicyError is returned for a policy that does not exist.
type UnknownPolicyError struct{ Name string }

// Error implements error.
func (e *UnknownPolicyError) Error() string { return "unknown policy " + e.Name }

// Run simulates a scenario under a policy.
func Run(name, policy string, seed uint64) (*Report, error) {
	sc, err := Find(name)
	if err != nil {
		return nil, err
	}
	s := newSim(sc, seed)
	s.report = &Report{Scenario: name, Policy: policy, Seed: seed, Dispatches: map[string]int{}}
	for i := range tierCount {
		s.report.Tiers = append(s.report.Tiers, &TierReport{Tier: i, histogram: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)})
	}
	switch policy {
	case Current:
		s.policy = newCorePolicy(s)
	case RoundRobin, LeastReported:
		s.policy = newBaseline(s, policy == LeastReported)
	default:
		return nil, &UnknownPolicyError{Name: policy}
	}
	s.run(sc.drawArrivals(rand.New(rand.NewPCG(seed, 2))))
	s.summarise()
	return s.report, nil
}

const tierCount = 3

func (r *Report) recordFirstToken(t request.Tier, d time.Duration) {
	_ = r.Tiers[t].histogram.RecordValue(int64(d / time.Microsecond))
}

func (s *sim) summarise() {
	for _, id := range s.requestIDs() {
		r := s.results[id]
		t := s.report.Tiers[r.a.kind.tier]
		t.add(r)
		if !r.inTime {
			s.report.WastedDiscarded += r.prefilledTokens
		}
		if s.report.Dispatches[id] > 1 {
			s.report.Twice++
		}
	}
	s.computeBounds()
	for _, t := range s.report.Tiers {
		t.FirstP50 = time.Duration(t.histogram.ValueAtQuantile(50)) * time.Microsecond
		t.FirstP95 = time.Duration(t.histogram.ValueAtQuantile(95)) * time.Microsecond
		if t.Bound > 0 {
			t.Goodput = float64(t.InTime) / float64(t.Bound)
		}
	}
}

func (t *TierReport) add(r *result) {
	t.Offered++
	switch {
	case r.inTime:
		t.InTime++
	case !r.ended:
		t.Unfinished++
	case r.outcome == request.Answered:
		t.Late++
	case r.outcome == request.NotRun:
		t.NotRun++
	case r.outcome == request.Cancelled:
		t.Cancelled++
	default:
		t.Unknown++
	}
}

// computeBounds computes an upper bound for every policy: the number of requests
// that the fastest engine could finish in time if it ran nothing else, until the
// output capacity of the slots of all engines is used up. Higher tiers are counted
// before lower ones and, within a tier, small requests first.
func (s *sim) computeBounds() {
	fastest := s.engineKinds[len(s.engineKinds)-1].cfg
	var capacity float64
	for _, k := range s.engineKinds {
		capacity += float64(k.cfg.Slots) * k.cfg.OutputSpeed * s.scenario.duration.Seconds()
	}
	for _, id := range s.requestIDs() {
		a := s.results[id].a
		t := s.report.Tiers[a.kind.tier]
		minDuration := time.Duration(float64(a.output) / fastest.OutputSpeed * float64(time.Second))
		if a.kind.plain || minDuration <= a.kind.deadline {
			t.slotDemands = append(t.slotDemands, float64(a.output))
		}
	}
	for _, t := range s.report.Tiers {
		slices.Sort(t.slotDemands)
		for _, d := range t.slotDemands {
			if capacity < d {
				break
			}
			capacity -= d
			t.Bound++
		}
	}
}

func sortStrings(list []string) { slices.SortFunc(list, strings.Compare) }
