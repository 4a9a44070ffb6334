package claim

import (
	"time"

	"github.com/chivefield/chivefield/rendezvous"
	"github.com/chivefield/chivefield/schema"
)

// phase is the membership phase of this VM in its cell.
type phase int

const (
	// probing: some peers have neither been reached nor proven to be down.
	// Joining now could take keys from a holder and then wait for a frozen peer
	// before serving them.
	probing phase = iota
	// joining: collecting the records of the members.
	joining
	// active: a member.
	active
	// leaving: grants no more claims.
	leaving
)

// progressJoin advances to the next phase once its conditions are met.
func (n *Node) progressJoin() {
	switch n.phase {
	case probing:
		if n.everyPeer(n.reached) {
			n.phase = joining
			n.sendJoins()
			n.progressJoin()
		}
	case joining:
		n.sendJoins()
		if n.everyPeer(func(p *peer) bool { return p.joinAcked }) {
			n.activate()
		}
	}
}

// everyPeer reports whether each peer is proven to be down or satisfies ok.
func (n *Node) everyPeer(ok func(*peer) bool) bool {
	for _, p := range n.peers {
		if !p.notListening && !p.dead && !p.left && !ok(p) {
			return false
		}
	}
	return true
}

func (n *Node) reached(p *peer) bool {
	return p.inc != 0 && p.heartbeatAcked > n.cfg.Incarnation && n.now < p.lastReceived+n.cfg.Lease
}

func (n *Node) sendJoins() {
	for _, p := range n.peers {
		if p.joinAcked || p.notListening || p.dead || p.left || n.now < p.joinAt {
			continue
		}
		p.joinAt = n.now + n.cfg.Retry
		n.send(p.id, &schema.Message{Body: &schema.Message_Join{Join: &schema.Join{}}})
	}
}

// activate makes this VM a member. If no active member sent its records, no VM
// knows which claims earlier incarnations of the cell granted.
func (n *Node) activate() {
	n.phase = active
	n.addUnreachedLost()
	if !n.hasHistory && !n.firstRun {
		n.addLost(n.cfg.Self.ID, unknownPredecessor, n.now, n.now+n.cfg.TTL)
	}
	n.rosterChanged()
}

// addUnreachedLost marks as lost the members that others reported and that this
// VM has not reached: no VM can confirm that their grants were handed over.
func (n *Node) addUnreachedLost() {
	for _, m := range n.reportedMembers {
		p := n.peer(m.Vm)
		if p == nil || p.member && p.inc == m.Incarnation {
			continue
		}
		n.addLost(m.Vm, m.Incarnation, n.now, n.now+n.cfg.TTL)
	}
	n.reportedMembers = nil
}

// unknownPredecessor represents any incarnation of the cell before the present
// ones.
const unknownPredecessor = 0

// SetFirstRun records that, according to the platform's log, the failure domain
// never ran before, so that a key without a record was never granted.
func (n *Node) SetFirstRun(now time.Duration) {
	n.now = now
	n.firstRun = true
	kept := n.lost[:0]
	for _, l := range n.lost {
		if l.inc != unknownPredecessor {
			kept = append(kept, l)
		}
	}
	n.lost = kept
}

// onJoin adds a new incarnation to the members. From here on this VM no longer
// grants the new member's keys, so the records sent to it are complete.
func (n *Node) onJoin(p *peer) {
	if p == nil {
		return
	}
	ack := &schema.JoinAck{Active: n.phase == active, Epoch: p.epoch}
	isNew := !p.member
	p.member = true
	if isNew {
		p.ackedAt = n.now
		p.bypassed = false
	}
	if n.phase == active {
		ack.Records = n.recordsFor(p.id)
		ack.Lost = n.lostList()
		ack.Members = n.membersFor(p)
	}
	n.send(p.id, &schema.Message{Body: &schema.Message_JoinAck{JoinAck: ack}})
	if isNew {
		n.rosterChanged()
	}
}

func (n *Node) membersFor(joiner *peer) []*schema.Member {
	var list []*schema.Member
	for _, p := range n.peers {
		if p.member && p != joiner {
			list = append(list, &schema.Member{Vm: p.id, Incarnation: p.inc})
		}
	}
	return list
}

// recordsFor returns the records whose keys rank the given member above this
// VM. The member may have learned of deaths that this VM has not, and may
// therefore hold any of these keys.
func (n *Node) recordsFor(id uint32) []*schema.Record {
	var list []*schema.Record
	for _, b := range n.byAge {
		r := n.records[b.key]
		if r == nil || r.createdAt != b.at {
			continue
		}
		if rendezvous.Weight(r.hash, id) > rendezvous.Weight(r.hash, n.cfg.Self.ID) {
			list = append(list, n.recordToWire(r))
		}
	}
	return list
}

func (n *Node) onJoinAck(p *peer, m *schema.JoinAck) {
	if p == nil || n.phase != joining || p.joinAcked {
		return
	}
	p.joinAcked = true
	for _, r := range m.Records {
		n.mergeRecord(r)
	}
	n.mergeLost(m.Lost)
	n.reportedMembers = append(n.reportedMembers, m.Members...)
	if m.Active {
		p.member = true
		p.ackedAt = n.now
		n.hasHistory = true
	}
	n.progressJoin()
}

// Leave starts to hand over this VM's keys. Left reports when that is complete.
func (n *Node) Leave(now time.Duration) {
	n.now = now
	if n.phase == active {
		n.leaveRequested = true
		n.progressLeave()
		return
	}
	n.phase = leaving
}

// Left reports whether every member has acknowledged that this VM grants no
// more claims.
func (n *Node) Left() bool {
	if n.phase != leaving {
		return false
	}
	for _, p := range n.peers {
		if p.member && !p.goodbyeAcked && !p.bypassed {
			return false
		}
	}
	return true
}

// progressLeave stops granting once the backups have everything, and sends
// Goodbye to the members until they acknowledge it.
func (n *Node) progressLeave() {
	if n.leaveRequested && n.phase == active && n.allCopied() {
		n.phase = leaving
	}
	if n.phase != leaving || !n.leaveRequested {
		return
	}
	for _, p := range n.peers {
		if !p.member || p.goodbyeAcked || len(p.orphans) > 0 || n.now < p.joinAt {
			continue
		}
		p.joinAt = n.now + n.cfg.Retry
		n.send(p.id, &schema.Message{Body: &schema.Message_Goodbye{Goodbye: &schema.Goodbye{Epoch: p.epoch}}})
	}
}

// onGoodbye takes over the keys of a peer that leaves gracefully. It compares
// the epoch carried by the goodbye itself: otherwise a peer that granted alone
// and left before its next heartbeat would be treated as having everything
// copied.
func (n *Node) onGoodbye(p *peer, m *schema.Goodbye) {
	if p == nil {
		return
	}
	n.send(p.id, &schema.Message{Body: &schema.Message_GoodbyeAck{GoodbyeAck: &schema.GoodbyeAck{}}})
	if !p.member {
		return
	}
	p.heartbeatEpoch = m.Epoch
	clean := n.hasAllGrantsOf(p)
	if !clean {
		n.addLost(p.id, p.inc, n.now, n.now+n.cfg.TTL)
	}
	n.out.Takeovers = append(n.out.Takeovers, Takeover{VM: p.id, Clean: clean})
	p.member = false
	p.left = true
	n.rosterChanged()
}

func (n *Node) onGoodbyeAck(p *peer) {
	if p != nil {
		p.goodbyeAcked = true
	}
}
