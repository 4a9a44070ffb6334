package entry

import (
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/schema"
)

// A process that has just started knows of no endpoint that it is alive: the registry lists those that
// have ended for seconds, and relays accept connections for them. A request that is cut off at one
// of them must not be blamed for its end. Signs of life are responses, and heartbeats that an
// endpoint has written to the registry since the process started. Only the VM that reads the
// registry for its failure domain sees all of those, so a process asks the others about the
// incarnations that it doubts.

// maxDoubted limits the incarnations in one note.
const maxDoubted = 32

// recordAlive records a sign of life of an incarnation. The caller holds the lock.
func (s *suspects) recordAlive(now time.Duration, hash uint64) {
	s.aliveAt[hash] = now
	if !s.unseen[hash] {
		return
	}
	delete(s.unseen, hash)
	s.tracker.RecordAlive(now, hash)
}

// recordHeartbeats records that endpoints have written their registry entries just now.
func (s *suspects) recordHeartbeats(changes []members.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.now()
	for _, c := range changes {
		if c.Endpoint != nil {
			s.recordAlive(now, dispatch.EndpointHash(c.Endpoint.Key()))
		}
	}
	s.handleChanges(learnedSeen)
}

// doubted returns the incarnations under which requests were cut off, and of which this process has
// seen no sign of life.
func (s *suspects) doubted() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unseen == nil {
		return nil
	}
	return s.tracker.Unverified(maxDoubted)
}

// aliveSince returns those of the given incarnations that showed a sign of life to this VM after a
// time.
func (s *suspects) aliveSince(from time.Duration, hashes []uint64) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var alive []uint64
	for _, hash := range hashes {
		if at, ok := s.aliveAt[hash]; ok && at > from {
			alive = append(alive, hash)
		}
	}
	return alive
}

// confirmAlive records that another VM has seen incarnations alive since this process started.
func (s *suspects) confirmAlive(hashes []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, hash := range hashes {
		s.recordAlive(s.d.now(), hash)
	}
	s.handleChanges(learnedSeen)
}

// expireLifeSigns drops signs of life that are older than any process that may doubt. The caller holds
// the lock.
func (s *suspects) expireLifeSigns(now time.Duration) {
	if now >= unseenFor {
		s.unseen = nil
	}
	for hash, at := range s.aliveAt {
		if now-at > unseenFor {
			delete(s.aliveAt, hash)
		}
	}
}

// handleLifeSigns answers a note that doubts incarnations, and takes the answer to one of this VM's.
func (p *peers) handleLifeSigns(n *schema.PeerNote, pe *peer) {
	if len(n.Alive) > 0 && n.AliveFor == p.incarnation {
		p.d.suspects.confirmAlive(n.Alive)
	}
	if len(n.Doubted) == 0 || pe == nil {
		return
	}
	started := p.d.now() - millis(n.UptimeMs)
	if alive := p.d.suspects.aliveSince(started, n.Doubted[:min(maxDoubted, len(n.Doubted))]); len(alive) > 0 {
		reply := p.newNote()
		reply.Alive, reply.AliveFor = alive, n.Incarnation
		p.send(reply, pe.addr)
	}
}

// sendDoubts asks the VM that reads the registry for this failure domain about doubted incarnations.
func (p *peers) sendDoubts() {
	n := p.newNote()
	if n.Doubted = p.d.suspects.doubted(); len(n.Doubted) == 0 {
		return
	}
	if reader := p.storeReader(); reader != "" {
		p.writeAll(p.encode(n), []string{reader})
	}
}
