package callerconn

import (
	"container/list"
	"time"
)

const (
	// arrivalGrace is how long a request may take to come before its connection yields its place, beside the time that
	// the bytes which have come take at minRate. Callers abandon requests that are not read within a second.
	arrivalGrace = time.Second
	// minRate is the rate at which a body comes at least, in bytes per second: that of a link of 10 Mbit/s which
	// eighty callers share.
	minRate = 16 << 10
	// maxExamined is how many connections are examined for one that yields its place.
	maxExamined = 32
	// reclaimInterval is the minimum time between two looks through all connections for memory that they hold.
	reclaimInterval = 5 * time.Millisecond
)

// makeRoom closes a connection for a new one, and reports whether there was one to close.
func (p *Pool) makeRoom() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.overdue(); c != nil {
		p.count("callers_incomplete_closed")
		p.logFullLocked("incomplete_closed")
		p.closeWaiting(c)
		return true
	}
	longest := p.idle.Front()
	if longest == nil {
		return false
	}
	p.count("callers_idle_closed")
	p.logFullLocked("idle_closed")
	p.closeWaiting(longest.Value.(*Conn))
	return true
}

// overdue returns a connection whose request should have come by now; nil if there is none among those that have waited
// for longest. The caller holds the lock.
func (p *Pool) overdue() *Conn {
	now := time.Now()
	place := p.incomplete.Front()
	for range min(maxExamined, p.incomplete.Len()) {
		c := place.Value.(*Conn)
		if c.isOverdue(now) {
			return c
		}
		next := place.Next()
		if now.Sub(c.waiting.since) >= arrivalGrace {
			// Its body comes; others that have waited for less may have no time left.
			p.incomplete.MoveToBack(place)
		}
		place = next
	}
	return nil
}

// isOverdue reports whether the request should have come by now. The caller holds the pool's lock.
func (c *Conn) isOverdue(now time.Time) bool {
	if c.waiting.suspended {
		return false
	}
	received := time.Duration(c.bodyReceived.Load()) * time.Second / minRate
	return now.Sub(c.waiting.since) >= arrivalGrace+received
}

// closeWaiting closes a connection that waits. The caller holds the lock.
func (p *Pool) closeWaiting(c *Conn) {
	p.stopWaiting(c)
	_ = c.Close()
}

// awaitHeadMemory reserves memory for a head, and reports whether it got it. Connections that hold some without having
// given a whole request for some time yield it.
func (p *Pool) awaitHeadMemory(c *Conn, n int64) bool {
	if p.heads.held.Reserve(n) {
		return true
	}
	defer p.suspend(c)()
	for waited := time.Duration(0); !p.heads.held.Reserve(n); waited += memoryPollInterval {
		if waited >= memoryWait {
			return false
		}
		p.reclaimMemory()
		time.Sleep(memoryPollInterval)
	}
	return true
}

// AwaitBodyMemory calls reserve until it reports that it has reserved memory for a body, and reports whether it has.
// Connections that hold some without having given a whole request for some time yield it; if none does, AwaitBodyMemory
// does not wait.
func (p *Pool) AwaitBodyMemory(reserve func() bool) bool {
	for waited := time.Duration(0); !reserve(); waited += memoryPollInterval {
		if waited >= memoryWait || !p.reclaimMemory() {
			return false
		}
		time.Sleep(memoryPollInterval)
	}
	return true
}

// suspend records that a connection waits for this VM, not for its caller, until resume is called.
func (p *Pool) suspend(c *Conn) (resume func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := c.waiting
	if w == nil {
		return func() {}
	}
	w.suspended = true
	began := time.Now()
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		w.suspended = false
		w.since = w.since.Add(time.Since(began))
	}
}

// reclaimMemory closes the connections that hold memory for requests which should have come by now, and reports whether
// some have been closed lately, whose memory is free in a moment.
func (p *Pool) reclaimMemory() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.searched) >= reclaimInterval {
		p.searched = now
		p.reclaimMemoryLocked(now)
	}
	return now.Sub(p.reclaimed) < 2*memoryPollInterval
}

func (p *Pool) reclaimMemoryLocked(now time.Time) {
	var next *list.Element
	for place := p.incomplete.Front(); place != nil; place = next {
		next = place.Next()
		c := place.Value.(*Conn)
		if c.holdsMemory() && c.isOverdue(now) {
			p.reclaimed = now
			p.count("callers_incomplete_closed")
			p.closeWaiting(c)
		}
	}
}
