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
	// logInterval is the minimum time between log lines of a kind.
	logInterval = time.Second
)

// MaxConns returns how many callers' connections a VM with limits on its memory and its descriptors may have open.
func MaxConns(memoryBytes int64, descriptors int) int {
	byMemory := int(float64(memoryBytes) * memoryShare / bytesPerConn)
	return max(minConns, min(byMemory, (descriptors-reservedDescriptors)/2))
}

// defaultMaxHeadBytes limits the size of a head while there is no configuration.
const defaultMaxHeadBytes = 64 << 10

// requestLineBytes is what the size of a head includes beside header lines and target: the method, the version and the
// line ends around them.
const requestLineBytes = 64

// DefaultHeadTimeout limits the time in which a head comes while there is no configuration.
const DefaultHeadTimeout = 10 * time.Second

// Pool holds the open connections of callers. If there are too many, a new one takes the place of one that has not
// given a whole request for some time, else of the one that has been idle for longest; if there is none, the new one is
// closed with its request unread, so that its caller tries another VM.
type Pool struct {
	max   int
	heads *HeadMemory
	log   zerolog.Logger
	count func(name string)
	// idleTimeout and headTimeout are how long a connection may be idle, and how long the head of a request may take.
	// They can change while connections are open, which http.Server's own fields do not support.
	idleTimeout, headTimeout atomic.Int64
	maxHeadBytes             atomic.Int64
	open                     atomic.Int64

	mu sync.Mutex
	// idle lists the connections that had a request before and have none now, incomplete those of which a request is
	// to come or has come in part. The one that has been for longest is first.
	idle, incomplete *list.List
	// loggedFull and loggedHead are when a full pool and a refused head were last logged.
	loggedFull, loggedHead time.Time
	// searched is when connections were last looked through for memory that they hold, reclaimed when one was closed
	// for it.
	searched, reclaimed time.Time
}

// waitingConn is a connection without a whole request.
type waitingConn struct {
	timer *time.Timer
	// list is the one of the pool's lists that the connection is in, at place.
	list  *list.List
	place *list.Element
	// since is when it began to wait.
	since time.Time
	// body is set if a body is to come. begun is set once a part of a head has come, extended once the connection got
	// expiryGrace.
	body, begun, extended bool
	// suspended is set while the connection waits for this VM.
	suspended bool
}

// NewPool returns a pool for so many connections. heads limits the memory for their requests' heads, count increments
// a counter.
func NewPool(maxConns int, heads *HeadMemory, log zerolog.Logger, count func(name string)) *Pool {
	p := &Pool{max: maxConns, heads: heads, log: log, count: count, idle: list.New(), incomplete: list.New()}
	p.SetHeadLimits(0, 0)
	return p
}

// SetIdleTimeout sets how long a connection may be idle; 0 is unlimited.
func (p *Pool) SetIdleTimeout(d time.Duration) { p.idleTimeout.Store(int64(d)) }

// SetHeadLimits sets the size in bytes of the largest head that is read, as it comes, and the time that it may take from
// its first byte; 0 is the default.
func (p *Pool) SetHeadLimits(maxBytes int, timeout time.Duration) {
	if maxBytes <= 0 {
		maxBytes = defaultMaxHeadBytes
	}
	if timeout <= 0 {
		timeout = DefaultHeadTimeout
	}
	p.maxHeadBytes.Store(int64(maxBytes))
	p.headTimeout.Store(int64(timeout))
}

// maxHead returns the size of the largest head that is read, in bytes.
func (p *Pool) maxHead() int { return int(p.maxHeadBytes.Load()) + requestLineBytes }

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
	return p.makeRoom()
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

func (p *Pool) logFull(did string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logFullLocked(did)
}

// logFullLocked logs, now and then, that there are too many connections and what was done. The caller holds the lock.
func (p *Pool) logFullLocked(did string) {
	if !isDue(&p.loggedFull) {
		return
	}
	p.log.Warn().Int("max", p.max).Int("idle", p.idle.Len()).Int("incomplete", p.incomplete.Len()).Str("did", did).Msg("callers_full")
}

// logHeadRefused logs, now and then, that a head was refused.
func (p *Pool) logHeadRefused(reason string, s headScanner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !isDue(&p.loggedHead) {
		return
	}
	p.log.Warn().Str("reason", reason).Int("bytes", s.bytes).Int("lines", s.lines).Msg("head_refused")
}

// isDue reports whether an event may be logged again, and records that it is.
func isDue(last *time.Time) bool {
	now := time.Now()
	if now.Sub(*last) < logInterval {
		return false
	}
	*last = now
	return true
}

// ConnState follows the state of a connection. It is for the ConnState of an http.Server.
func (p *Pool) ConnState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopWaiting(c)
	switch s {
	case http.StateNew:
		p.startWaiting(c, p.incomplete, DefaultHeadTimeout)
	case http.StateIdle:
		c.releaseRequest()
		if !c.reader.endRequest() {
			_ = c.Close()
			return
		}
		p.startWaiting(c, p.idle, time.Duration(p.idleTimeout.Load()))
	case http.StateClosed, http.StateHijacked:
		c.release()
	}
}

// beginHead records that a part of a head has come.
func (p *Pool) beginHead(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := c.waiting
	switch {
	case w == nil:
		// The connection is being closed.
	case w.list == p.idle:
		p.stopWaiting(c)
		p.startWaiting(c, p.incomplete, time.Duration(p.headTimeout.Load()))
	case !w.begun:
		w.timer.Reset(time.Duration(p.headTimeout.Load()))
	}
	if c.waiting != nil {
		c.waiting.begun = true
	}
}

// beginBody records that a body is to come. It has the time of its request, which the handler bounds.
func (p *Pool) beginBody(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopWaiting(c)
	p.startWaiting(c, p.incomplete, 0)
	c.waiting.body = true
}

// endWaiting records that a head or a body has come.
func (p *Pool) endWaiting(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopWaiting(c)
}

// startWaiting records that a connection waits, for the time given at most; 0 is unlimited. The caller holds the lock.
func (p *Pool) startWaiting(c *Conn, l *list.List, timeout time.Duration) {
	w := &waitingConn{list: l, place: l.PushBack(c), since: time.Now()}
	if timeout > 0 {
		w.timer = time.AfterFunc(timeout, func() { p.expire(c, w) })
	}
	c.waiting = w
}

// stopWaiting forgets that a connection waits. The caller holds the lock.
func (p *Pool) stopWaiting(c *Conn) {
	w := c.waiting
	if w == nil {
		return
	}
	c.waiting = nil
	w.list.Remove(w.place)
	if w.timer != nil {
		w.timer.Stop()
	}
}

// expiryGrace is how long a head has after its time: a machine that stood still has not read what has come meanwhile.
const expiryGrace = 500 * time.Millisecond

// expire closes a connection whose time is over unless a request has come while its timer fired. On a machine that is
// busy the two are far apart.
func (p *Pool) expire(c *Conn, w *waitingConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.waiting != w:
	case w.list == p.incomplete && !w.extended:
		w.extended = true
		w.timer.Reset(expiryGrace)
	default:
		p.closeWaiting(c)
	}
}
