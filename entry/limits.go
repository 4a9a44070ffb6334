package entry

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

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

// idleConnCloser closes callers' connections that are idle for longer than the configured
// timeout. The timeout can change while connections are open, which http.Server's own fields do
// not support.
type idleConnCloser struct {
	timeout atomic.Int64
	mu      sync.Mutex
	timers  map[net.Conn]*time.Timer
}

func newIdleConnCloser() *idleConnCloser {
	return &idleConnCloser{timers: make(map[net.Conn]*time.Timer)}
}

func (l *idleConnCloser) setTimeout(d time.Duration) { l.timeout.Store(int64(d)) }

func (l *idleConnCloser) connState(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setState(c, s)
}

// setState starts or stops the timer of a connection. l.mu must be held.
func (l *idleConnCloser) setState(c net.Conn, s http.ConnState) {
	if t := l.timers[c]; t != nil {
		t.Stop()
		delete(l.timers, c)
	}
	timeout := time.Duration(l.timeout.Load())
	if timeout <= 0 || s != http.StateIdle && s != http.StateNew {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(timeout, func() { l.closeIdle(c, func() bool { return l.timers[c] == t }) })
	l.timers[c] = t
}

// closeIdle closes a connection unless a request has come while its timer fired. On a machine that is busy the
// two are far apart.
func (l *idleConnCloser) closeIdle(c net.Conn, due func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if due() {
		delete(l.timers, c)
		_ = c.Close()
	}
}
