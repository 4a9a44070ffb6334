package sched

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/chivefield/chivefield/rendezvous"
	"github.com/chivefield/chivefield/request"
)

// Endpoint is the configuration of an engine or service.
type Endpoint struct {
	Name string
	// Models or Kinds that it serves; one of the two is empty.
	Models []string
	Kinds  []string
	// Prices per million tokens.
	PrefillPrice, OutputPrice float64
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Speeds in tokens per second. Prefill is sequential across requests;
	// OutputSpeed is per request.
	PrefillSpeed, OutputSpeed float64
	Leaving                   bool
}

const (
	// maxIndexBlocks bounds the prompt blocks indexed per endpoint.
	maxIndexBlocks = 8192
	// blockTokens is the length of a prompt block in tokens.
	blockTokens = 64
	// ewmaWeight is the weight of a new speed observation in the moving average.
	ewmaWeight = 0.2
	// observationTTL is the time over which a speed observation fades out unless
	// it is repeated; a straggler is then tried again.
	observationTTL = 20 * time.Second
	// digestTTL is the time for which a peer's digest is valid.
	digestTTL = 3 * time.Second
	// failureBackoff is the time for which an endpoint that refused a connection
	// gets no new requests.
	failureBackoff = 2 * time.Second
)

// endpoint is an Endpoint with this VM's state for it.
type endpoint struct {
	Endpoint
	// running holds this VM's requests there; prefill is the number of uncached
	// prompt tokens of those without a first token.
	running map[uint64]*run
	prefill int
	// Observed time relative to the configured speed: 1 is as configured, 2 is
	// half as fast.
	prefillRatio, outputRatio float64
	observedAt                time.Duration
	backoffUntil              time.Duration
	leaving                   bool
	peers                     map[uint32]peerUsage
	// window is the number of requests that all VMs together should run there.
	// It shrinks when first tokens are late although few prompts were ahead:
	// requests then queue in the engine, which ignores tiers.
	window   float64
	shrunkAt time.Duration
	index    *lru.Cache[uint64, struct{}]
	// yieldedTo is the tier for which capacity was last freed here.
	yieldedTo    request.Tier
	yieldedUntil time.Duration
	// rendezvousID identifies the endpoint in rendezvous hashing.
	rendezvousID uint32
}

// peerUsage is another VM's usage of an endpoint, from its digest.
type peerUsage struct {
	running     int
	waiting     int
	waitingTier request.Tier
	anyWaiting  bool
	prefill     int
	at          time.Duration
}

func newEndpoint(e Endpoint) *endpoint {
	index, _ := lru.New[uint64, struct{}](maxIndexBlocks)
	return &endpoint{
		Endpoint: e, running: make(map[uint64]*run), prefillRatio: 1, outputRatio: 1,
		peers: make(map[uint32]peerUsage), index: index, leaving: e.Leaving,
		window:       float64(e.Slots),
		rendezvousID: uint32(rendezvous.Hash(e.Name, "")),
	}
}

// share returns the number of requests this VM may run there: the window, split
// in proportion to the running and waiting requests of each VM. A VM is counted
// with its last digest until that digest expires.
func (e *endpoint) share(now time.Duration, waiting int) int {
	mine := len(e.running) + waiting
	others, running := 0, 0
	for _, p := range e.peers {
		if now-p.at < digestTTL {
			others += p.running + p.waiting
			running += p.running
		}
	}
	window := min(int(e.window), e.Slots)
	fair := window
	if mine+others > window {
		fair = (window*mine + mine + others - 1) / (mine + others)
	}
	// Capacity in use by others is not available, even beyond their fair share.
	free := window - running
	return max(min(fair, free), 0)
}

// yieldHold is the time for which capacity freed for a peer's request is held
// for it.
const yieldHold = 500 * time.Millisecond

// higherTierWaits reports whether another VM has a request of a higher tier
// waiting, according to its digest or because capacity was just freed for it.
func (e *endpoint) higherTierWaits(now time.Duration, t request.Tier) bool {
	if now < e.yieldedUntil && e.yieldedTo < t {
		return true
	}
	for _, p := range e.peers {
		if p.anyWaiting && p.waitingTier < t && now-p.at < digestTTL {
			return true
		}
	}
	return false
}

// prefillAhead returns the number of prompt tokens that the engine processes
// before those of a new request.
func (e *endpoint) prefillAhead(now time.Duration) int {
	ahead := e.prefill
	for _, p := range e.peers {
		if now-p.at < digestTTL {
			ahead += p.prefill
		}
	}
	return ahead
}

// slowdown returns the observed ratios. They fade to 1 unless observed again.
func (e *endpoint) slowdown(now time.Duration) (prefill, output float64) {
	remaining := 1 - float64(now-e.observedAt)/float64(observationTTL)
	if remaining <= 0 {
		return 1, 1
	}
	return 1 + (e.prefillRatio-1)*remaining, 1 + (e.outputRatio-1)*remaining
}

func (e *endpoint) observePrefill(now time.Duration, expected, took time.Duration) {
	if expected <= 0 {
		return
	}
	p, o := e.slowdown(now)
	e.prefillRatio = p + ewmaWeight*(clampRatio(float64(took)/float64(expected))-p)
	e.outputRatio = o
	e.observedAt = now
}

func (e *endpoint) observeOutput(now time.Duration, tokens int, took time.Duration) {
	if tokens <= 0 || e.OutputSpeed <= 0 {
		return
	}
	expected := float64(tokens) / e.OutputSpeed
	p, o := e.slowdown(now)
	e.prefillRatio = p
	e.outputRatio = o + ewmaWeight*(clampRatio(took.Seconds()/expected)-o)
	e.observedAt = now
}

const (
	// A first token later than lateFactor times the expected time plus lateSlack
	// indicates a queue in the engine.
	lateFactor = 2
	lateSlack  = 300 * time.Millisecond
	// windowShrinkFactor and windowStep are the steps of the window; it shrinks
	// at most once per windowShrinkInterval.
	windowShrinkFactor   = 0.8
	windowStep           = 0.25
	windowShrinkInterval = time.Second
)

// adaptWindow adapts the window by additive increase and multiplicative
// decrease.
func (e *endpoint) adaptWindow(now time.Duration, expected, took time.Duration) {
	if took <= lateFactor*expected+lateSlack {
		e.window = min(e.window+windowStep, float64(e.Slots))
		return
	}
	if now >= e.shrunkAt+windowShrinkInterval {
		e.shrunkAt = now
		e.window = max(1, e.window*windowShrinkFactor)
	}
}

// maxRatio bounds one observation, so that a single pause has no lasting
// effect.
const maxRatio = 20

func clampRatio(r float64) float64 { return min(max(r, 0.2), maxRatio) }

// cachedTokens returns the number of leading prompt tokens that the endpoint
// probably has in its cache.
func (e *endpoint) cachedTokens(s *request.Spec) int {
	n := 0
	for _, h := range s.PrefixHashes {
		if !e.index.Contains(h) {
			break
		}
		n++
	}
	return min(n*blockTokens, s.PromptTokens)
}

func (e *endpoint) indexBlocks(prefix []uint64) {
	for _, h := range prefix {
		e.index.Add(h, struct{}{})
	}
}
