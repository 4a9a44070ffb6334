package poison

import (
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
)

const (
	// unseenFor is the uptime after which an incarnation that the registry still lists has been alive
	// since the start of the process: the registry drops a silent one after three heartbeats of up to 2 s.
	unseenFor = 10 * time.Second
	// MaxDoubted limits the incarnations in one note.
	MaxDoubted = 32
)

// RecordListedAtStart records the incarnations that the registry lists at the start of the process.
func (g *Guard) RecordListedAtStart(listed []members.Change) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unseen = make(map[uint64]bool, len(listed))
	for _, c := range listed {
		if c.Endpoint != nil {
			g.unseen[dispatch.EndpointHash(c.Endpoint.Key())] = true
		}
	}
}

// RecordHeartbeats records that endpoints have written their registry entries just now.
func (g *Guard) RecordHeartbeats(changes []members.Change) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	for _, c := range changes {
		if c.Endpoint != nil {
			g.recordAlive(now, dispatch.EndpointHash(c.Endpoint.Key()))
		}
	}
	g.handleChanges(learnedSeen)
}

// recordAlive records a sign of life of an incarnation. The caller holds the lock.
func (g *Guard) recordAlive(now time.Duration, hash uint64) {
	g.aliveAt[hash] = now
	if !g.unseen[hash] {
		return
	}
	delete(g.unseen, hash)
	g.tracker.RecordAlive(now, hash)
}

// Doubted returns the incarnations under which requests were cut off, and of which this process has
// seen no sign of life.
func (g *Guard) Doubted() []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unseen == nil {
		return nil
	}
	return g.tracker.Unverified(MaxDoubted)
}

// AliveSince returns those of the given incarnations that showed a sign of life to this VM after a
// time.
func (g *Guard) AliveSince(from time.Duration, hashes []uint64) []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var alive []uint64
	for _, hash := range hashes[:min(MaxDoubted, len(hashes))] {
		if at, ok := g.aliveAt[hash]; ok && at > from {
			alive = append(alive, hash)
		}
	}
	return alive
}

// ConfirmAlive records that another VM has seen incarnations alive since this process started.
func (g *Guard) ConfirmAlive(hashes []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, hash := range hashes {
		g.recordAlive(g.Now(), hash)
	}
	g.handleChanges(learnedSeen)
}

// expireLifeSigns drops signs of life that are older than any process that may doubt. The caller holds
// the lock.
func (g *Guard) expireLifeSigns(now time.Duration) {
	if now >= unseenFor {
		g.unseen = nil
	}
	for hash, at := range g.aliveAt {
		if now-at > unseenFor {
			delete(g.aliveAt, hash)
		}
	}
}
