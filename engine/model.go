// Package engine is a model of a model engine: continuous batching in arrival
// order, a limited cache of prompt prefixes, and speeds that fall as the batch
// grows. It is pure, so that the load tool runs it in virtual time and the
// stand-in server runs it on the clock.
package engine

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/chivefield/chivefield/prompt"
)

// Config describes one engine.
type Config struct {
	// Slots is the largest batch.
	Slots int
	// PrefillSpeed is in prompt tokens a second; prompts are read one by one.
	PrefillSpeed float64
	// OutputSpeed is in tokens a second for a batch of one.
	OutputSpeed float64
	// BatchCost is the share by which each further request of a batch slows
	// every other one.
	BatchCost float64
	// ChunkTokens are the prompt tokens read between two steps of the running
	// requests, which wait meanwhile; 0 reads prompts beside them.
	ChunkTokens int
	// CacheBlocks is how many prompt blocks the cache keeps.
	CacheBlocks int
}

// EventKind is what happened to a request in the engine.
type EventKind int

// Events of requests.
const (
	// FirstToken: the prompt was read and the first token is there.
	FirstToken EventKind = iota
	// Done: the last token is there.
	Done
)

// Event is one event of a request.
type Event struct {
	ID   string
	Kind EventKind
	At   time.Duration
	// UncachedTokens are the prompt tokens that were paid for, with First.
	UncachedTokens int
}

// CacheEvent tells of blocks that came into the cache or left it.
type CacheEvent struct {
	Stored, Dropped []uint64
}

type sequence struct {
	id             string
	blocks         []uint64
	promptTokens   int
	outputTokens   int
	uncachedTokens int
	// prefilled is the prompt tokens prefilled, written the output tokens.
	prefilled  float64
	generated  float64
	prefilling bool
}

// Model is one engine. It is not safe for concurrent use.
type Model struct {
	cfg           Config
	now           time.Duration
	slowdown      float64
	queue         []*sequence
	batch         []*sequence
	cache         *lru.Cache[uint64, struct{}]
	droppedBlocks []uint64
	cacheEvents   []CacheEvent
	// pendingEvents are the events not returned yet.
	pendingEvents []Event
	// PrefilledTokens counts the prompt tokens read and not found in the cache.
	PrefilledTokens int
}

// New returns an idle engine.
func New(cfg Config, now time.Duration) *Model {
	m := &Model{cfg: cfg, now: now, slowdown: 1}
	m.cache, _ = lru.NewWithEvict(max(1, cfg.CacheBlocks), func(h uint64, _ struct{}) { m.droppedBlocks = append(m.droppedBlocks, h) })
	return m
}

// SetSlowdown makes everything take the given factor of time from now on.
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

// Cancel takes a request out, wherever it is. What was read stays in the cache.
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

// admit fills the batch in arrival order and starts the next prompt.
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

// startPrefill finds what the cache has of a prompt.
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

// finishPrefill puts the prompt into the cache and writes the first token.
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

// stepSeconds is the seconds of one step of the running requests by itself.
func (m *Model) stepSeconds() float64 {
	return (1 + m.cfg.BatchCost*float64(len(m.batch)-1)) * m.slowdown / m.cfg.OutputSpeed
}

// chunkSeconds is the seconds that a chunk of a prompt takes.
func (m *Model) chunkSeconds() float64 {
	return float64(m.cfg.ChunkTokens) * m.slowdown / m.cfg.PrefillSpeed
}

// outputRate is the tokens a second of each writing request.
func (m *Model) outputRate() float64 {
	step := m.stepSeconds()
	if m.cfg.ChunkTokens > 0 && m.any(func(s *sequence) bool { return s.prefilling }) {
		step += m.chunkSeconds()
	}
	return 1 / step
}

// prefillRate is the prompt tokens a second of the request that is read.
func (m *Model) prefillRate() float64 {
	rate := m.cfg.PrefillSpeed / m.slowdown
	if m.cfg.ChunkTokens > 0 && m.any(func(s *sequence) bool { return s.generated > 0 }) {
		return float64(m.cfg.ChunkTokens) / (m.chunkSeconds() + m.stepSeconds())
	}
	return rate
}

func (m *Model) any(match func(*sequence) bool) bool { return slices.ContainsFunc(m.batch, match) }

// secondsToEvent returns how long a sequence takes to its next event.
func (m *Model) secondsToEvent(s *sequence) (float64, bool) {
	switch {
	case s.prefilling:
		return (float64(s.uncachedTokens) - s.prefilled) / m.prefillRate(), true
	case s.generated > 0:
		return (float64(s.outputTokens) - s.generated) / m.outputRate(), true
	}
	return 0, false
}

// nextEvent returns the sequence with the earliest event and the seconds to it.
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

// NextEventTime returns when the next event is due, if any is.
func (m *Model) NextEventTime() (time.Duration, bool) {
	s, wait := m.nextEvent()
	if s == nil {
		return 0, false
	}
	return m.now + time.Duration(wait*float64(time.Second)) + 1, true
}

// Advance lets time pass and returns what happened since the last call, in order.
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

// GeneratedTokens returns how many tokens of a request are there.
func (m *Model) GeneratedTokens(id string) int {
	for _, s := range m.batch {
		if s.id == id {
			return int(s.generated)
		}
	}
	return 0
}

// Load returns how many requests run and wait.
func (m *Model) Load() (running, waiting int) { return len(m.batch), len(m.queue) }
