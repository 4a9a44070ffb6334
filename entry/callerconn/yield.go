package callerconn

import "time"

// makeRoom closes a connection for a new one, and reports whether there was one to close.
func (p *Pool) makeRoom() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := p.idle.Front()
	if longest == nil {
		return false
	}
	p.count("callers_idle_closed")
	p.logFullLocked("idle_closed")
	p.closeWaiting(longest.Value.(*Conn))
	return true
}

// closeWaiting closes a connection that waits. The caller holds the lock.
func (p *Pool) closeWaiting(c *Conn) {
	p.stopWaiting(c)
	_ = c.Close()
}

// awaitHeadMemory reserves memory for a head, and reports whether it got it.
func (p *Pool) awaitHeadMemory(n int64) bool {
	for waited := time.Duration(0); !p.heads.held.Reserve(n); waited += memoryPollInterval {
		if waited >= memoryWait {
			return false
		}
		time.Sleep(memoryPollInterval)
	}
	return true
}
