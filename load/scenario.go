// Package load compares scheduling policies: it runs the core or a baseline
// against the engine model in virtual time and reports goodput by tier and wasted
// prefill. Runs with the same seed produce identical output.
package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/chivefield/chivefield/engine"
	"github.com/chivefield/chivefield/prompt"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/sched"
)

// kind is a request kind of a workload.
type kind struct {
	name  string
	tier  request.Tier
	share float64
	// Lengths in tokens. Prompt lengths are drawn between minPrompt and maxPrompt,
	// most of them short.
	minPrompt, maxPrompt, output int
	deadline, firstTokenTarget   time.Duration
	plain, nonIdempotent         bool
	// sharedPrefix is the fraction of the prompt that is a prefix shared with other requests.
	sharedPrefix float64
	// prefixCount is the number of different prefixes.
	prefixCount int
}

// engineKind is a generation of engines.
type engineKind struct {
	count int
	cfg   engine.Config
	// Prices are per million tokens.
	prefillPrice, outputPrice float64
}

// Scenario is a workload with injected faults.
type Scenario struct {
	Name      string
	domains   []string // failure domains of the VMs
	engines   []engineKind
	kinds     []kind
	orgShares []float64 // shares of the organisations in the requests
	// rate is in requests per second.
	rate         float64
	duration     time.Duration
	netDelay     time.Duration
	burst        bool
	overload     bool
	straggler    bool
	staleDigests bool
	killVM       bool
	partition    bool
}

// Variants are the variants of each workload. The empty one runs the workload without
// faults or additional load.
var Variants = []string{"", "burst", "overload", "straggler", "stale", "vm-killed", "partition"}

// Workloads are the names of the workloads, modelled on those of users.
var Workloads = []string{"karrawong", "atelier"}

// UnknownScenarioError is returned for a scenario that does not exist.
type UnknownScenarioError struct{ Name string }

// Error implements error.
func (e *UnknownScenarioError) Error() string { return "unknown scenario " + e.Name }

// Find returns a scenario by name, such as "atelier" or "karrawong-burst".
func Find(name string) (*Scenario, error) {
	base, variant, _ := strings.Cut(name, "-")
	if !slices.Contains(Variants, variant) {
		return nil, &UnknownScenarioError{Name: name}
	}
	var s *Scenario
	switch base {
	case "karrawong":
		s = karrawong()
	case "atelier":
		s = atelier()
	default:
		return nil, &UnknownScenarioError{Name: name}
	}
	s.Name = name
	s.burst = variant == "burst"
	s.overload = variant == "overload"
	s.straggler = variant == "straggler"
	s.staleDigests = variant == "stale"
	s.killVM = variant == "vm-killed"
	s.partition = variant == "partition"
	return s, nil
}

// generation returns count engines of generation n, 0 to 3. Newer generations are
// faster; older ones are cheaper per token.
func generation(n, count int) engineKind {
	speed := []float64{1, 1.6, 2.5, 4}[n]
	price := []float64{0.5, 0.7, 1, 1.5}[n]
	return engineKind{
		count: count,
		cfg: engine.Config{
			Slots: 16, PrefillSpeed: 4000 * speed, OutputSpeed: 25 * speed, BatchCost: 0.03, CacheBlocks: 4000,
		},
		prefillPrice: price, outputPrice: 4 * price,
	}
}

func karrawong() *Scenario {
	return &Scenario{
		domains: []string{"p1", "p1", "p2", "p2", "p3", "p3", "p4", "p4"},
		engines: []engineKind{generation(0, 6), generation(1, 6), generation(2, 5), generation(3, 3)},
		kinds: []kind{
			{name: "clearance", tier: 0, share: 0.25, minPrompt: 1000, maxPrompt: 24000, output: 250, deadline: 45 * time.Second, sharedPrefix: 0.6, prefixCount: 60},
			{name: "question", tier: 1, share: 0.45, minPrompt: 300, maxPrompt: 4000, output: 120, deadline: 15 * time.Second, firstTokenTarget: 1800 * time.Millisecond, sharedPrefix: 0.7, prefixCount: 60},
			{name: "flag", tier: 2, share: 0.2, minPrompt: 500, maxPrompt: 8000, output: 60, deadline: 60 * time.Second, sharedPrefix: 0.5, prefixCount: 60},
			{name: "notice", tier: 0, share: 0.1, deadline: 10 * time.Second, plain: true, nonIdempotent: true},
		},
		orgShares: []float64{0.5, 0.3, 0.1, 0.06, 0.04}, rate: 25, duration: time.Minute, netDelay: 500 * time.Microsecond,
	}
}

func atelier() *Scenario {
	return &Scenario{
		domains: []string{"z1", "z1", "z1", "z2", "z2", "z2", "z3", "z3"},
		engines: []engineKind{generation(0, 3), generation(1, 3), generation(2, 2), generation(3, 2)},
		kinds: []kind{
			{name: "tags", tier: 0, share: 0.4, minPrompt: 100, maxPrompt: 500, output: 20, deadline: 5 * time.Second, firstTokenTarget: time.Second, sharedPrefix: 0.5, prefixCount: 20},
			{name: "draft", tier: 1, share: 0.25, minPrompt: 300, maxPrompt: 2000, output: 200, deadline: 30 * time.Second, firstTokenTarget: 1800 * time.Millisecond, sharedPrefix: 0.4, prefixCount: 40},
			{name: "review", tier: 2, share: 0.1, minPrompt: 8000, maxPrompt: 40000, output: 400, deadline: 180 * time.Second, sharedPrefix: 0.8, prefixCount: 25},
			{name: "profile", tier: 0, share: 0.15, deadline: 5 * time.Second, plain: true},
			{name: "invoice", tier: 0, share: 0.1, deadline: 10 * time.Second, plain: true, nonIdempotent: true},
		},
		orgShares: []float64{0.45, 0.3, 0.15, 0.06, 0.04}, rate: 18, duration: time.Minute, netDelay: time.Millisecond,
	}
}

// arrival is one request of the workload.
type arrival struct {
	at   time.Duration
	id   string
	kind *kind
	org  string
	vm   int
	// prompt and output are lengths in tokens.
	prompt, output int
	blockHashes    []uint64
	prefixID       int
}

const (
	burstFrom, burstTo = 20 * time.Second, 28 * time.Second
	burstFactor        = 3
	// The overload lasts longer than all but the longest deadlines.
	overloadFrom, overloadTo = 10 * time.Second, 50 * time.Second
	overloadFactor           = 4
)

// drawArrivals generates the requests of the workload.
func (s *Scenario) drawArrivals(rng *rand.Rand) []*arrival {
	var list []*arrival
	for at := time.Duration(0); at < s.duration; {
		rate := s.rate
		if s.burst && at >= burstFrom && at < burstTo {
			rate *= burstFactor
		}
		if s.overload && at >= overloadFrom && at < overloadTo {
			rate *= overloadFactor
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		list = append(list, s.drawArrival(rng, at, len(list)))
	}
	return list
}

func (s *Scenario) drawArrival(rng *rand.Rand, at time.Duration, n int) *arrival {
	a := &arrival{at: at, id: fmt.Sprintf("r%06d", n), vm: rng.IntN(len(s.domains))}
	kindDraw := rng.Float64()
	for i := range s.kinds {
		a.kind = &s.kinds[i]
		if kindDraw -= a.kind.share; kindDraw < 0 {
			break
		}
	}
	orgDraw := rng.Float64()
	for i, share := range s.orgShares {
		a.org = fmt.Sprintf("org%d", i)
		if orgDraw -= share; orgDraw < 0 {
			break
		}
	}
	k := a.kind
	if k.plain {
		return a
	}
	lengthDraw := rng.Float64()
	a.prompt = k.minPrompt + int(lengthDraw*lengthDraw*lengthDraw*float64(k.maxPrompt-k.minPrompt))
	a.output = max(1, int(float64(k.output)*(0.5+rng.Float64())))
	a.prefixID = int(rng.Float64() * rng.Float64() * float64(k.prefixCount))
	a.blockHashes = promptBlockHashes(k, a, n)
	return a
}

// promptBlockHashes returns the block hashes of a prompt whose first blocks are those
// of the shared prefix a.prefixID. The other blocks are unique to request n.
func promptBlockHashes(k *kind, a *arrival, n int) []uint64 {
	count := a.prompt / prompt.BlockTokens
	shared := int(k.sharedPrefix * float64(count))
	list := make([]uint64, 0, count)
	var sum uint64
	for i := range count {
		block := uint64(a.prefixID)<<32 | uint64(i)
		if i >= shared {
			block = uint64(n+1)<<40 | uint64(i)
		}
		sum = prompt.ExtendHash(sum, block)
		list = append(list, sum)
	}
	return list
}

// spec returns the request as a VM admits it.
func (a *arrival) spec(now time.Duration, attempt request.Attempt) request.Spec {
	k := a.kind
	s := request.Spec{
		Key: request.Key{Organisation: a.org, ID: a.id}, Kind: k.name, Tier: k.tier, Weight: 1,
		Idempotent: !k.nonIdempotent, TrustFirstAttempt: !k.nonIdempotent, Attempt: attempt, Digest: 1,
		PromptTokens: a.prompt, OutputTokens: k.output, PrefixHashes: a.blockHashes,
		Deadline: now + k.deadline - (now - a.at), FirstTokenTarget: k.firstTokenTarget,
	}
	if !k.plain {
		s.Model = "m"
	}
	return s
}

const serviceCount = 4

// endpoints returns the engines and services in the form used by the scheduler.
func (s *Scenario) endpoints() []sched.Endpoint {
	var list []sched.Endpoint
	for g, e := range s.engines {
		for i := range e.count {
			list = append(list, sched.Endpoint{
				Name: fmt.Sprintf("e%d-%d", g, i), Models: []string{"m"}, Slots: e.cfg.Slots,
				PrefillSpeed: e.cfg.PrefillSpeed, OutputSpeed: e.cfg.OutputSpeed,
				PrefillPrice: e.prefillPrice, OutputPrice: e.outputPrice,
			})
		}
	}
	var kinds []string
	for _, k := range s.kinds {
		if k.plain {
			kinds = append(kinds, k.name)
		}
	}
	for i := range serviceCount {
		list = append(list, sched.Endpoint{Name: fmt.Sprintf("s%d", i), Kinds: kinds, Slots: 32})
	}
	return list
}
