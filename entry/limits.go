package entry

import (
	"context"
	"sync/atomic"
	"time"
)

// memoryBudget limits the total size of responses held in memory, in bytes.
type memoryBudget struct {
	available atomic.Int64
}

func newMemoryBudget(n int64) *memoryBudget {
	b := &memoryBudget{}
	b.available.Store(n)
	return b
}

func (b *memoryBudget) reserve(n int64) bool {
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return false
	}
	return true
}

// reserveUpTo reserves n bytes or what is left, and at least forwardBufferSize, and returns how many.
func (b *memoryBudget) reserveUpTo(n int64) int64 {
	for {
		left := b.available.Load()
		got := max(min(n, left), min(n, forwardBufferSize))
		if b.available.CompareAndSwap(left, left-got) {
			return got
		}
	}
}

func (b *memoryBudget) release(n int64) { b.available.Add(n) }

const (
	// memoryWait is how long a response may wait for memory that others hold, while nothing more is read of it.
	memoryWait = time.Second
	// memoryPollInterval is the interval at which it looks for some.
	memoryPollInterval = 20 * time.Millisecond
	// memoryStep is the least amount by which a share grows.
	memoryStep = 8 << 10
)

// memoryShare is the part of a budget that one response holds for what it buffers, beyond forwardBufferSize. It is
// not safe for concurrent use.
type memoryShare struct {
	budget *memoryBudget
	held   int64
}

func (b *memoryBudget) share() *memoryShare { return &memoryShare{budget: b} }

// tryResize makes the share large enough for n buffered bytes; it gives memory back only once they fit into
// forwardBufferSize. It returns false if memory is short.
func (m *memoryShare) tryResize(n int64) bool {
	need := max(0, n-forwardBufferSize)
	if need == 0 {
		m.release()
		return true
	}
	if need <= m.held {
		return true
	}
	more := max(need-m.held, memoryStep)
	if !m.budget.reserve(more) {
		return false
	}
	m.held += more
	return true
}

// resize is as tryResize, but waits for memory, for memoryWait at most. Meanwhile nothing is read of the response, so
// watch does not take its endpoint for silent.
func (m *memoryShare) resize(ctx context.Context, n int64, watch *attemptWatch) error {
	if m.tryResize(n) {
		return nil
	}
	if !watch.Suspend() {
		return &AttemptGivenUpError{}
	}
	defer watch.Continue()
	for waited := time.Duration(0); !m.tryResize(n); waited += memoryPollInterval {
		if waited >= memoryWait {
			return &ResponseMemoryError{Bytes: int(n)}
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(memoryPollInterval):
		}
	}
	return nil
}

// release gives the share back.
func (m *memoryShare) release() {
	m.budget.release(m.held)
	m.held = 0
}
