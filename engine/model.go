// Package engine simulates an LLM inference engine: continuous batching in
// arrival order, a bounded cache of prompt prefixes, and generation speed that
// falls as the batch grows. It does no I/O and reads no clock, so that the load
// tool runs it in virtual time and the stand-in server in real time.
package engine

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/chivefield/chivefield/prompt"
)

// Config holds the parameters of one engine.
type Config struct {
	// Slots is the maximum batch size.
	Slots int
	// PrefillSpeed is in prompt tokens per second. Prompts are prefilled one at a time.
	PrefillSpeed float64
	// OutputSpeed is in tokens per second for a batch of one.
	OutputSpeed float64
	// BatchCost is the fraction of the step of a single request by which each
	// additional request of a batch lengthens the step of all of them.
	BatchCost float64
	// ChunkTokens is the number of prompt tokens prefilled between two generation
	// steps; generation pauses meanwhile. With 0, prefill runs in parallel with
	// generation and does not slow it down.
	ChunkTokens int
	// CacheBlocks is the capacity of the prefix cache in prompt blocks.
	CacheBlocks int
}

// EventKind is the type of an Event.
type EventKind int

// Kinds of events.
const (
	// FirstToken means that the prefill finished and the first token was generated.
	FirstToken EventKind = iota
	// Done means that the last token was generated.
	Done
)

// Event reports progress of a request.
type Event struct {
	ID   string
	Kind EventKind
	At   time.Duration
	// UncachedTokens is the number of prompt tokens that were not in the cache
	// and had to be prefilled. Set for FirstToken.
	UncachedTokens int
}

// CacheEvent lists the block hashes that were added to the cache and evicted from it.
type CacheEvent struct {
	Stored, Dropped []uint64
}

// sequence is a request in the queue or in the batch.
type sequence struct {
	id             string
	blocks         []uint64
	promptTokens   int
	outputTokens   int
	uncachedTokens int
	// prefilled is the number of uncached prompt tokens prefilled so far, generated
	// the number of output tokens.
	prefilled  float64
	generated  float64
	prefilling bool
}

// Model simulates one engine. It is not safe for concurrent use.
type Model struct {
	cfg           Config
	now           time.Duration
	slowdown      float64
	queue         []*sequence
	batch         []*sequence
	cache         *lru.Cache[uint64, struct{}]
	droppedBlocks []uint64
	cacheEvents   []CacheEvent
	// pendingEvents holds the events that Advance has not returned yet.
	pendingEvents []Event
	// PrefilledTokens counts the prompt tokens that were not found in the cache
	// and had to be prefilled.
	PrefilledTokens int
}

// New returns an idle engine.
func New(cfg Config, now time.Duration) *Model {
	m := &Model{cfg: cfg, now: now, slowdown: 1}
	m.cache, _ = lru.NewWithEvict(max(1, cfg.CacheBlocks), func(h uint64, _ struct{}) { m.droppedBlocks = append(m.droppedBlocks, h) })
	return m
}

// SetSlowdown multiplies the duration of prefill and generation by factor from now on.
func (m *Model) SetSlowdown(now time.Duration, factor float64) {
	m.advanceTo(now)
	m.slowdown = factor
}

// Submit queues a request.
func (m *Model) Submit(now time.Duration, id string, blocks []uint64, promptTokens, outputTokens int) {
	m.advanceTo(now)
	m.queue = append(m.queue, &sequence{id: id, blocks: blocks, promptTokens: promptTokens, outputTokens: max(1, outputTokens)})
	m.admit()
}

// Cancel removes a request from the queue or the batch. The blocks of a finished
// prefill stay in the cache.
func (m *Model) Cancel(now time.Duration, id string) {
	m.advanceTo(now)
	m.queue = remove(m.queue, id)
	m.batch = remove(m.batch, id)
	m.admit()
}

func remove(list []*sequence, id string) []*sequence {
	for i, s := range list {
		if s.id == id {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// admit fills the batch from the queue in arrival order and starts the next
// prefill if none is running.
func (m *Model) admit() {
	for len(m.batch) < m.cfg.Slots && len(m.queue) > 0 {
		m.batch = append(m.batch, m.queue[0])
		m.queue = m.queue[1:]
	}
	for _, s := range m.batch {
		if s.prefilling {
			return
		}
	}
	for _, s := range m.batch {
		if s.generated == 0 {
			m.startPrefill(s)
			return
		}
	}
}

// startPrefill looks up the longest cached prefix of the prompt and adds the
// remaining tokens to PrefilledTokens.
func (m *Model) startPrefill(s *sequence) {
	s.prefilling = true
	cached := 0
	for _, h := range s.blocks {
		if _, ok := m.cache.Get(h); !ok {
			break
		}
		cached++
	}
	s.uncachedTokens = max(0, s.promptTokens-cached*prompt.BlockTokens)
	m.PrefilledTokens += s.uncachedTokens
}

// finishPrefill adds the prompt to the cache and generates the first token.
func (m *Model) finishPrefill(s *sequence) {
	s.prefilling = false
	s.generated = 1
	m.droppedBlocks = nil
	var stored []uint64
	for _, h := range s.blocks {
		if !m.cache.Contains(h) {
			stored = append(stored, h)
		}
		m.cache.Add(h, struct{}{})
	}
	if len(stored)+len(m.droppedBlocks) > 0 {
		m.cacheEvents = append(m.cacheEvents, CacheEvent{Stored: stored, Dropped: m.droppedBlocks})
	}
}

// TakeCacheEvents returns the cache events since the last call.
func (m *Model) TakeCacheEvents() []CacheEvent {
	events := m.cacheEvents
	m.cacheEvents = nil
	return events
}

// stepSeconds returns the duration in seconds of one generation step without prefill.
func (m *Model) stepSeconds() float64 {
	return (1 + m.cfg.BatchCost*float64(len(m.batch)-1)) * m.slowdown / m.cfg.OutputSpeed
}

// chunkSeconds returns the duration in seconds of the prefill of one chunk.
func (m *Model) chunkSeconds() float64 {
	return float64(m.cfg.ChunkTokens) * m.slowdown / m.cfg.PrefillSpeed
}

// outputRate returns the tokens per second of each generating request.
func (m *Model) outputRate() float64 {
	step := m.stepSeconds()
	if m.cfg.ChunkTokens > 0 && m.any(func(s *sequence) bool { return s.prefilling }) {
		step += m.chunkSeconds()
	}
	return 1 / step
}

// prefillRate returns the prompt tokens per second of the running prefill.
func (m *Model) prefillRate() float64 {
	rate := m.cfg.PrefillSpeed / m.slowdown
	if m.cfg.ChunkTokens > 0 && m.any(func(s *sequence) bool { return s.generated > 0 }) {
		return float64(m.cfg.ChunkTokens) / (m.chunkSeconds() + m.stepSeconds())
	}
	return rate
}

func (m *Model) any(match func(*sequence) bool) bool { return slices.ContainsFunc(m.batch, match) }

// secondsToEvent returns the seconds until the next event of a sequence. It
// returns false if the sequence is neither prefilling nor generating.
func (m *Model) secondsToEvent(s *sequence) (float64, bool) {
	switch {
	case s.prefilling:
		return (float64(s.uncachedTokens) - s.prefilled) / m.prefillRate(), true
	case s.generated > 0:
		return (float64(s.outputTokens) - s.generated) / m.outputRate(), true
	}
	return 0, false
}

// nextEvent returns the sequence with the earliest event and the seconds until it.
func (m *Model) nextEvent() (*sequence, float64) {
	var first *sequence
	var wait float64
	for _, s := range m.batch {
		if t, ok := m.secondsToEvent(s); ok && (first == nil || t < wait) {
			first, wait = s, t
		}
	}
	return first, max(0, wait)
}

// NextEventTime returns the time of the next event, or false if none is due.
func (m *Model) NextEventTime() (time.Duration, bool) {
	s, wait := m.nextEvent()
	if s == nil {
		return 0, false
	}
	return m.now + time.Duration(wait*float64(time.Second)) + 1, true
}

// Advance moves the simulation to now and returns the events since the last call, in order.
func (m *Model) Advance(now time.Duration) []Event {
	m.advanceTo(now)
	out := m.pendingEvents
	m.pendingEvents = nil
	return out
}

func (m *Model) advanceTo(now time.Duration) {
	for {
		s, wait := m.nextEvent()
		at := m.now + time.Duration(wait*float64(time.Second)) + 1
		if s == nil || at > now {
			m.advanceBatch((now - m.now).Seconds())
			m.now = max(m.now, now)
			return
		}
		m.advanceBatch((at - m.now).Seconds())
		m.now = at
		m.pendingEvents = append(m.pendingEvents, m.completeNext(s))
	}
}

func (m *Model) advanceBatch(dt float64) {
	if dt <= 0 {
		return
	}
	rate := m.outputRate()
	for _, s := range m.batch {
		switch {
		case s.prefilling:
			s.prefilled = min(s.prefilled+dt*m.prefillRate(), float64(s.uncachedTokens))
		case s.generated > 0:
			s.generated = min(s.generated+dt*rate, float64(s.outputTokens))
		}
	}
}

func (m *Model) completeNext(s *sequence) Event {
	if s.prefilling {
		m.finishPrefill(s)
		m.admit()
		return Event{ID: s.id, Kind: FirstToken, At: m.now, UncachedTokens: s.uncachedTokens}
	}
	m.batch = remove(m.batch, s.id)
	m.admit()
	return Event{ID: s.id, Kind: Done, At: m.now}
}

// GeneratedTokens returns the number of tokens generated for a request, or 0 if it
// is not in the batch.
func (m *Model) GeneratedTokens(id string) int {
	for _, s := range m.batch {
		if s.id == id {
			return int(s.generated)
		}
	}
	return 0
}

// Load returns the number of requests in the batch and in the queue.
func (m *Model) Load() (running, waiting int) { return len(m.batch), len(m.queue) }
