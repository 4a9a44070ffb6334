package callerconn

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// reservedDescriptors are left for files and the connections to other VMs and the store. Of the others
	// callers get a half: each of their requests may need a connection to an endpoint.
	reservedDescriptors = 200
	// memoryShare is the share of the memory limit that callers' connections may use, bytesPerConn what one
	// takes with its goroutine and buffers.
	memoryShare  = 0.25
	bytesPerConn = 28 << 10
	// minConns is the bound on a VM with next to no descriptors or memory.
	minConns = 32
	// fullLogInterval is the minimum time between log lines about too many connections.
	fullLogInterval = time.Second
)

// MaxConns returns how many callers' connections a VM with limits on its memory and its descriptors may have open.
func MaxConns(memoryBytes int64, descriptors int) int {
	byMemory := int(float64(memoryBytes) * memoryShare / bytesPerConn)
	return max(minConns, min(byMemory, (descriptors-reservedDescriptors)/2))
}

// Pool holds the open connections of callers. If there are too many, a new one takes the place of the one that has
// been idle for longest; if none is idle, the new one is closed with its request unread, so that its caller tries
// another VM.
type Pool struct {
	max   int
	log   zerolog.Logger
	count func(name string)
	// timeout is how long a connection may be idle. It can change while connections are open, which
	// http.Server's own fields do not support.
	timeout atomic.Int64
	open    atomic.Int64

	mu sync.Mutex
	// waiting holds the connections without a request: idle or new. idle lists the idle ones among them, the one
	// that has been for longest first.
	waiting map[net.Conn]*waitingConn
	idle    *list.List
	// loggedFull is when a full pool was last logged.
	loggedFull time.Time
}

// waitingConn is a connection without a request.
type waitingConn struct {
	timer *time.Timer
	// idle is the place in the list of idle ones, nil for a new connection.
	idle *list.Element
}

// NewPool returns a pool for so many connections. count increments a counter.
func NewPool(maxConns int, log zerolog.Logger, count func(name string)) *Pool {
	return &Pool{max: maxConns, log: log, count: count, waiting: make(map[net.Conn]*waitingConn), idle: list.New()}
}

// SetIdleTimeout sets how long a connection may be idle; 0 is unlimited.
func (p *Pool) SetIdleTimeout(d time.Duration) { p.timeout.Store(int64(d)) }

// Listen returns a listener whose connections are those that another accepts, as far as there is room.
func (p *Pool) Listen(l net.Listener) net.Listener { return &listener{l, p} }

type listener struct {
	net.Listener
	pool *Pool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: c, pool: l.pool}
		if l.pool.admit() {
			return conn, nil
		}
		l.pool.turnAway(conn)
	}
}

// admit counts a new connection, and reports whether there is room for it.
func (p *Pool) admit() bool {
	if p.open.Add(1) <= int64(p.max) {
		return true
	}
	return p.closeLongestIdle()
}

// turnAway closes a connection without reading from it.
func (p *Pool) turnAway(c *Conn) {
	p.count("callers_turned_away")
	p.logFull("turned_away")
	if err := c.SetLinger(ResetOnClose); err != nil {
		p.log.Warn().Err(err).Msg("linger_not_set")
	}
	_ = c.Close()
}

// closeLongestIdle closes the connection that has been idle for longest, and reports whether there was one.
func (p *Pool) closeLongestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := p.idle.Front()
	if longest == nil {
		return false
	}
	p.count("callers_idle_closed")
	p.logFullLocked("idle_closed")
	c := longest.Value.(net.Conn)
	p.stopWaiting(c)
	_ = c.Close()
	return true
}

func (p *Pool) logFull(did string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logFullLocked(did)
}

// logFullLocked logs, now and then, that there are too many connections and what was done. The caller holds the lock.
func (p *Pool) logFullLocked(did string) {
	now := time.Now()
	if now.Sub(p.loggedFull) < fullLogInterval {
		return
	}
	p.loggedFull = now
	p.log.Warn().Int("max", p.max).Int("idle", p.idle.Len()).Str("did", did).Msg("callers_full")
}

// ConnState follows the state of a connection. It is for the ConnState of an http.Server.
func (p *Pool) ConnState(c net.Conn, s http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setState(c, s)
}

// setState is ConnState for a caller that holds the lock.
func (p *Pool) setState(c net.Conn, s http.ConnState) {
	p.stopWaiting(c)
	if s != http.StateIdle && s != http.StateNew {
		return
	}
	w := &waitingConn{}
	if s == http.StateIdle {
		w.idle = p.idle.PushBack(c)
	}
	if timeout := time.Duration(p.timeout.Load()); timeout > 0 {
		w.timer = time.AfterFunc(timeout, func() { p.closeIdle(c, func() bool { return p.waiting[c] == w }) })
	}
	p.waiting[c] = w
}

// stopWaiting forgets that a connection waits. The caller holds the lock.
func (p *Pool) stopWaiting(c net.Conn) {
	w := p.waiting[c]
	if w == nil {
		return
	}
	delete(p.waiting, c)
	if w.idle != nil {
		p.idle.Remove(w.idle)
	}
	if w.timer != nil {
		w.timer.Stop()
	}
}

// closeIdle closes a connection unless a request has come while its timer fired. On a machine that is busy the
// two are far apart.
func (p *Pool) closeIdle(c net.Conn, due func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if due() {
		p.stopWaiting(c)
		_ = c.Close()
	}
}
