package entry

import "sync/atomic"

// memoryBudget limits the total size of request bodies, or of responses, held in memory, in bytes.
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
