package sched

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/chivefield/chivefield/rendezvous"
	"github.com/chivefield/chivefield/request"
)

// Endpoint is one engine or service as configured.
type Endpoint struct {
	Name string
	// Models or Kinds it serves; one of the two is empty.
	Models []string
	Kinds  []string
	// Prices per million tokens.
	PrefillPrice, OutputPrice float64
	// Slots is how many requests it runs at the same time.
	Slots int
	// Speeds in tokens a second: prompts one after another, output per request.
	PrefillSpeed, OutputSpeed float64
	Leaving                   bool
}

const (
	// maxIndexBlocks bounds the prompt blocks remembered for one endpoint.
	maxIndexBlocks = 8192
	// blockTokens is the length of a block of a prompt.
	blockTokens = 64
	// ewmaWeight is the weight of a new observation of speed.
	ewmaWeight = 0.2
	// observationTTL is how long an unfavourable observation counts without a
	// new one; a straggler is then tried again.
	observationTTL = 20 * time.Second
	// digestTTL is how long a peer's digest counts.
	digestTTL = 3 * time.Second
	// failureBackoff is how long an endpoint that refused a connection rests.
	failureBackoff = 2 * time.Second
)

// endpoint is an Endpoint with what this VM knows of it.
type endpoint struct {
	Endpoint
	// running are this VM's requests there, prefill their prompt tokens
	// without a first token yet.
	running map[uint64]*run
	prefill int
	// Observed against nominal time; 1 is as configured, 2 is half as fast.
	prefillRatio, outputRatio float64
	observedAt                time.Duration
	backoffUntil              time.Duration
	leaving                   bool
	peers                     map[uint32]peerUsage
	// window is how many requests all VMs together should run there. It falls
	// when first tokens come late though few prompts were ahead: then requests
	// queue in the engine, where tiers do not count.
	window   float64
	shrunkAt time.Duration
	index    *lru.Cache[uint64, struct{}]
	// yieldedTo is the tier for which room was made here lately.
	yieldedTo    request.Tier
	yieldedUntil time.Duration
	// rendezvousID identifies the endpoint in rendezvous hashing.
	rendezvousID uint32
}

// peerUsage is another VM's share of an endpoint, from its digest.
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

// share is how many requests this VM may run there: the window split by what
// each VM runs and wants. A VM without a fresh digest counts with what it last
// ran until its digest is too old to mean anything.
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
	// Room that others use now is not free, whatever would be fair.
	free := window - running
	return max(min(fair, free), 0)
}

// yieldHold is how long room that was made for a peer's request is kept for it.
const yieldHold = 500 * time.Millisecond

// higherTierWaits reports whether another VM has work of a higher tier that waits,
// by its digest or because room was just made for it.
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

// prefillAhead is the prompt tokens that the engine reads before a new one.
func (e *endpoint) prefillAhead(now time.Duration) int {
	ahead := e.prefill
	for _, p := range e.peers {
		if now-p.at < digestTTL {
			ahead += p.prefill
		}
	}
	return ahead
}

// slowdown returns the observed slowness, which fades unless it is seen again.
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
	// lateFactor and lateSlack say when a first token shows a queue in the engine.
	lateFactor = 2
	lateSlack  = 300 * time.Millisecond
	// windowShrinkFactor and grow are the steps of the window; it shrinks once in shrinkEvery.
	windowShrinkFactor   = 0.8
	windowStep           = 0.25
	windowShrinkInterval = time.Second
)

// adaptWindow moves the window by additive increase and multiplicative decrease.
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

// maxRatio bounds one observation, so that a single pause does not last.
const maxRatio = 20

func clampRatio(r float64) float64 { return min(max(r, 0.2), maxRatio) }

// cachedTokens returns how many leading tokens of a prompt the endpoint probably has.
func (e *endpoint) cachedTokens(s *request.Spec) int {
	n := 0
	for _, h := range s.Prefix {
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
