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
	// First: the prompt was read and the first token is there.
	First EventKind = iota
	// Done: the last token is there.
	Done
)

// Event is one event of a request.
type Event struct {
	ID   string
	Kind EventKind
	At   time.Duration
	// Uncached are the prompt tokens that were paid for, with First.
	Uncached int
}

// CacheEvent tells of blocks that came into the cache or left it.
type CacheEvent struct {
	Stored, Dropped []uint64
}

type sequence struct {
	id       string
	blocks   []uint64
	prompt   int
	output   int
	uncached int
	// read is the prompt tokens read, written the output tokens.
	read    float64
	written float64
	reading bool
}

// Model is one engine. It is not safe for concurrent use.
type Model struct {
	cfg     Config
	now     time.Duration
	slow    float64
	queue   []*sequence
	batch   []*sequence
	cache   *lru.Cache[uint64, struct{}]
	dropped []uint64
	events  []CacheEvent
	// happened are the events not returned yet.
	happened []Event
	// PrefillPaid counts the prompt tokens read and not found in the cache.
	PrefillPaid int
}

// New returns an idle engine.
func New(cfg Config, now time.Duration) *Model {
	m := &Model{cfg: cfg, now: now, slow: 1}
	m.cache, _ = lru.NewWithEvict(max(1, cfg.CacheBlocks), func(h uint64, _ struct{}) { m.dropped = append(m.dropped, h) })
	return m
}

// SetSlow makes everything take the given factor of time from now on.
func (m *Model) SetSlow(now time.Duration, factor float64) {
	m.pass(now)
	m.slow = factor
}

// Submit queues a request.
func (m *Model) Submit(now time.Duration, id string, blocks []uint64, promptTokens, outputTokens int) {
	m.pass(now)
	m.queue = append(m.queue, &sequence{id: id, blocks: blocks, prompt: promptTokens, output: max(1, outputTokens)})
	m.admit()
}

// Cancel takes a request out, wherever it is. What was read stays in the cache.
func (m *Model) Cancel(now time.Duration, id string) {
	m.pass(now)
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
		if s.reading {
			return
		}
	}
	for _, s := range m.batch {
		if s.written == 0 {
			m.startReading(s)
			return
		}
	}
}

// startReading finds what the cache has of a prompt.
func (m *Model) startReading(s *sequence) {
	s.reading = true
	cached := 0
	for _, h := range s.blocks {
		if _, ok := m.cache.Get(h); !ok {
			break
		}
		cached++
	}
	s.uncached = max(0, s.prompt-cached*prompt.BlockTokens)
	m.PrefillPaid += s.uncached
}

// doneReading puts the prompt into the cache and writes the first token.
func (m *Model) doneReading(s *sequence) {
	s.reading = false
	s.written = 1
	m.dropped = nil
	var stored []uint64
	for _, h := range s.blocks {
		if !m.cache.Contains(h) {
			stored = append(stored, h)
		}
		m.cache.Add(h, struct{}{})
	}
	if len(stored)+len(m.dropped) > 0 {
		m.events = append(m.events, CacheEvent{Stored: stored, Dropped: m.dropped})
	}
}

// TakeCacheEvents returns the cache events since the last call.
func (m *Model) TakeCacheEvents() []CacheEvent {
	ev := m.events
	m.events = nil
	return ev
}

// stepTime is the seconds of one step of the running requests by itself.
func (m *Model) stepTime() float64 {
	return (1 + m.cfg.BatchCost*float64(len(m.batch)-1)) * m.slow / m.cfg.OutputSpeed
}

// chunkTime is the seconds that a chunk of a prompt takes.
func (m *Model) chunkTime() float64 {
	return float64(m.cfg.ChunkTokens) * m.slow / m.cfg.PrefillSpeed
}

// outputRate is the tokens a second of each writing request.
func (m *Model) outputRate() float64 {
	step := m.stepTime()
	if m.cfg.ChunkTokens > 0 && m.any(func(s *sequence) bool { return s.reading }) {
		step += m.chunkTime()
	}
	return 1 / step
}

// readRate is the prompt tokens a second of the request that is read.
func (m *Model) readRate() float64 {
	rate := m.cfg.PrefillSpeed / m.slow
	if m.cfg.ChunkTokens > 0 && m.any(func(s *sequence) bool { return s.written > 0 }) {
		return float64(m.cfg.ChunkTokens) / (m.chunkTime() + m.stepTime())
	}
	return rate
}

func (m *Model) any(is func(*sequence) bool) bool { return slices.ContainsFunc(m.batch, is) }

// timeTo returns how long a sequence takes to its next event.
func (m *Model) timeTo(s *sequence) (float64, bool) {
	switch {
	case s.reading:
		return (float64(s.uncached) - s.read) / m.readRate(), true
	case s.written > 0:
		return (float64(s.output) - s.written) / m.outputRate(), true
	}
	return 0, false
}

// next returns the sequence with the earliest event and the seconds to it.
func (m *Model) next() (*sequence, float64) {
	var first *sequence
	var in float64
	for _, s := range m.batch {
		if t, ok := m.timeTo(s); ok && (first == nil || t < in) {
			first, in = s, t
		}
	}
	return first, max(0, in)
}

// Next returns when the next event is due, if any is.
func (m *Model) Next() (time.Duration, bool) {
	s, in := m.next()
	if s == nil {
		return 0, false
	}
	return m.now + time.Duration(in*float64(time.Second)) + 1, true
}

// Advance lets time pass and returns what happened since the last call, in order.
func (m *Model) Advance(now time.Duration) []Event {
	m.pass(now)
	out := m.happened
	m.happened = nil
	return out
}

func (m *Model) pass(now time.Duration) {
	for {
		s, in := m.next()
		at := m.now + time.Duration(in*float64(time.Second)) + 1
		if s == nil || at > now {
			m.progress((now - m.now).Seconds())
			m.now = max(m.now, now)
			return
		}
		m.progress((at - m.now).Seconds())
		m.now = at
		m.happened = append(m.happened, m.complete(s))
	}
}

func (m *Model) progress(dt float64) {
	if dt <= 0 {
		return
	}
	rate := m.outputRate()
	for _, s := range m.batch {
		switch {
		case s.reading:
			s.read = min(s.read+dt*m.readRate(), float64(s.uncached))
		case s.written > 0:
			s.written = min(s.written+dt*rate, float64(s.output))
		}
	}
}

func (m *Model) complete(s *sequence) Event {
	if s.reading {
		m.doneReading(s)
		m.admit()
		return Event{ID: s.id, Kind: First, At: m.now, Uncached: s.uncached}
	}
	m.batch = remove(m.batch, s.id)
	m.admit()
	return Event{ID: s.id, Kind: Done, At: m.now}
}

// Written returns how many tokens of a request are there.
func (m *Model) Written(id string) int {
	for _, s := range m.batch {
		if s.id == id {
			return int(s.written)
		}
	}
	return 0
}

// Load returns how many requests run and wait.
func (m *Model) Load() (running, waiting int) { return len(m.batch), len(m.queue) }
