package entry

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// memoryBudget bounds the bytes of bodies that are held at once.
type memoryBudget struct {
	left atomic.Int64
}

func newMemoryBudget(n int64) *memoryBudget {
	b := &memoryBudget{}
	b.left.Store(n)
	return b
}

func (b *memoryBudget) take(n int64) bool {
	if b.left.Add(-n) < 0 {
		b.left.Add(n)
		return false
	}
	return true
}

func (b *memoryBudget) giveBack(n int64) { b.left.Add(n) }

// idleLimit closes callers' connections that are idle for longer than the
// operator allows. The limit changes while connections are open, which the
// server's own fields cannot.
type idleLimit struct {
	limit  atomic.Int64
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleLimit() *idleLimit { return &idleLimit{timers: make(map[net.Conn]*time.Timer)} }

func (l *idleLimit) set(d time.Duration) { l.limit.Store(int64(d)) }

func (l *idleLimit) connState(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.timers[c]; t != nil {
		t.Stop()
		delete(l.timers, c)
	}
	limit := time.Duration(l.limit.Load())
	if limit <= 0 || s != http.StateIdle && s != http.StateNew {
		return
	}
	l.timers[c] = time.AfterFunc(limit, func() { _ = c.Close() })
}
