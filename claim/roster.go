package claim

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivefield/chivefield/rendezvous"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

const (
	// heartbeatsPerLease is the minimum number of heartbeats sent per lease.
	heartbeatsPerLease = 4
	// maxHeartbeatInterval bounds the heartbeat interval, so that a long lease
	// does not delay the data that heartbeats carry.
	maxHeartbeatInterval = 250 * time.Millisecond
)

// clockDriftDivisor bounds the drift between two clocks during a lease: it is
// at most the lease divided by this value.
const clockDriftDivisor = 10

// peer is this VM's view of another VM of its cell.
type peer struct {
	id uint32
	// inc is the newest known incarnation; 0 before the first message.
	inc uint64
	// member is set if inc has joined and is not proven dead.
	member bool
	// dead is set if inc is proven dead.
	dead bool
	// notListening is set if nothing listened at the peer's address when this VM
	// joined.
	notListening bool
	// left is set if inc has sent Goodbye; it grants nothing but still completes
	// its requests.
	left bool
	// joinAcked is set once the peer has handed over what this VM needs to join.
	joinAcked bool
	// joinAt is the earliest time at which the next Join or Goodbye may be sent.
	joinAt time.Duration
	// lastReceived is when the last message of inc arrived.
	lastReceived time.Duration

	// This VM as holder, the peer as backup.

	heartbeatSeq      uint64        // sequence number of the last heartbeat sent
	heartbeatAcked    uint64        // highest heartbeat the peer acknowledged
	ackedAt           time.Duration // when that ack arrived
	unackedHeartbeats []sentSeq     // heartbeats sent but not acknowledged
	// noStandInBefore is the time up to which the peer is certain to have
	// received messages of this VM recently enough: before it, the peer granted
	// nothing in this VM's place.
	noStandInBefore time.Duration
	bypassed        bool   // the peer was silent for a lease: claims are granted without its copy
	epoch           uint64 // incremented each time the peer is bypassed
	dupSeq          uint64
	dirty           []request.Key
	inFlight        []*copyBatch
	syncSent        bool
	// flushAt is when the queued copies are sent.
	flushAt time.Duration

	// The peer as holder, this VM as backup.

	acks           []sentSeq
	notAloneBefore time.Duration // the peer granted nothing alone before this time
	syncRoster     uint64        // roster hash of the peer's last complete sync
	syncEpoch      uint64
	heartbeatEpoch uint64 // epoch of the peer's last heartbeat

	// standingIn is set while this VM grants first attempts of the peer's keys.
	// It then acknowledges none of the peer's messages, until the peer has taken
	// over the orphans.
	standingIn bool
	orphans    []request.Key
	// orphanSeqs are the sequence numbers of the messages that carried all present
	// orphans.
	orphanSeqs    []uint64
	orphansSentAt time.Duration

	// goodbyeAcked is set once the peer has acknowledged that this VM leaves.
	goodbyeAcked bool
}

// sentSeq is the sequence number of a heartbeat or heartbeat ack, with the time
// at which it was sent.
type sentSeq struct {
	seq uint64
	at  time.Duration
}

// lostIncarnation represents an incarnation that died before diedBy and whose
// grants may be unknown to all live VMs. No request from its time can be
// retried after until.
type lostIncarnation struct {
	vm     uint32
	inc    uint64
	diedBy time.Duration
	until  time.Duration
}

// admit records that an incarnation of a peer is alive. It reports whether its
// message may be processed: messages of an incarnation proven dead are
// rejected.
func (n *Node) admit(p *peer, inc uint64) bool {
	if inc < p.inc || (inc == p.inc && p.dead) {
		return false
	}
	if inc > p.inc {
		n.markDead(p, true)
		// Sequence numbers continue, so that a late ack of the old incarnation
		// matches nothing sent to the new one.
		*p = peer{id: p.id, inc: inc, ackedAt: n.now - n.cfg.Lease, heartbeatSeq: p.heartbeatSeq, heartbeatAcked: p.heartbeatSeq, dupSeq: p.dupSeq}
	}
	p.notListening = false
	p.lastReceived = n.now
	return true
}

// PeerClosed reports that the kernel of the peer's VM closed the connection of
// an incarnation. A live process never closes it, so the process has ended.
func (n *Node) PeerClosed(now time.Duration, vm uint32, inc uint64) {
	n.now = now
	if p := n.peer(vm); p != nil && p.inc <= inc {
		if p.inc < inc {
			n.admit(p, inc)
		}
		n.markDead(p, true)
		n.progressJoin()
	}
	n.handleLoopback()
}

// PeerNotListening reports that nothing listens at the peer's address. inc is
// the value that Incarnation returned before the connection attempt; 0 for
// none. A process listens as long as it runs, so that incarnation has ended. A
// newer incarnation that has sent messages since is not affected.
func (n *Node) PeerNotListening(now time.Duration, vm uint32, inc uint64) {
	n.now = now
	p := n.peer(vm)
	if p == nil || p.inc != inc {
		return
	}
	p.notListening = inc == 0
	n.markDead(p, true)
	n.progressJoin()
	n.handleLoopback()
}

// Incarnation returns the newest known incarnation of a peer, or 0 if there is
// none.
func (n *Node) Incarnation(vm uint32) uint64 {
	if p := n.peer(vm); p != nil {
		return p.inc
	}
	return 0
}

// PeerRemoved reports that the platform's list no longer contains the VM. The
// list lags and may be wrong, so such a death is never clean.
func (n *Node) PeerRemoved(now time.Duration, vm uint32) {
	n.now = now
	n.removed[vm] = true
	if p := n.peer(vm); p != nil {
		p.notListening = p.inc == 0
		n.markDead(p, false)
		n.progressJoin()
	}
	n.handleLoopback()
}

// markDead records the death of a peer's incarnation and determines whether
// every claim it granted is known here. These are the claims it granted as
// holder with this VM's copy, and those it granted as stand-in for this VM,
// which it becomes only after receiving nothing from this VM for a lease.
//
// hasEnded reports whether the process is certain to have ended by now.
func (n *Node) markDead(p *peer, hasEnded bool) {
	if p.dead || p.inc == 0 {
		return
	}
	if p.member {
		clean := hasEnded && n.deathWouldBeClean(p)
		if !clean {
			n.addLost(p.id, p.inc, n.now, n.now+n.cfg.TTL)
		}
		n.out.Takeovers = append(n.out.Takeovers, Takeover{VM: p.id, Clean: clean})
	}
	p.dead = true
	p.member = false
	p.standingIn = false
	n.rosterChanged()
}

// deathWouldBeClean reports whether every claim that the peer granted would be
// known here if its death were proven now.
func (n *Node) deathWouldBeClean(p *peer) bool {
	return n.hasAllGrantsOf(p) && n.now < p.notAloneBefore && n.now < p.noStandInBefore
}

// hasAllGrantsOf reports whether this VM, as backup, has a copy of everything
// the peer granted with it: the last complete sync was made under the member
// list that both VMs have, and the peer has granted nothing alone since.
func (n *Node) hasAllGrantsOf(p *peer) bool {
	return p.syncRoster == n.rosterHash() && p.syncEpoch == p.heartbeatEpoch
}

func (n *Node) addLost(vm uint32, inc uint64, diedBy, until time.Duration) {
	for i := range n.lost {
		l := &n.lost[i]
		if l.vm == vm && l.inc == inc {
			l.until = max(l.until, until)
			l.diedBy = max(l.diedBy, diedBy)
			return
		}
	}
	n.lost = append(n.lost, lostIncarnation{vm: vm, inc: inc, diedBy: diedBy, until: until})
}

// mayHaveBeenGranted reports whether a key without a record may have been
// granted by an incarnation whose records are lost. A declared first attempt
// that arrived after its death cannot: nothing with that key had been sent
// before. One that arrived earlier may have been overtaken by its own retry.
func (n *Node) mayHaveBeenGranted(mayBeRetry bool, arrived time.Duration) bool {
	for _, l := range n.lost {
		if n.now < l.until && (mayBeRetry || arrived <= l.diedBy) {
			return true
		}
	}
	return false
}

func (n *Node) lostList() []*schema.Lost {
	var list []*schema.Lost
	for _, l := range n.lost {
		if n.now < l.until {
			list = append(list, &schema.Lost{Vm: l.vm, Incarnation: l.inc, RemainingMs: millis(l.until - n.now), AgeMs: millis(n.now - l.diedBy)})
		}
	}
	return list
}

func (n *Node) mergeLost(list []*schema.Lost) {
	for _, l := range list {
		n.addLost(l.Vm, l.Incarnation, n.now-fromMillis(l.AgeMs), n.now+fromMillis(l.RemainingMs))
	}
}

// rosterHash returns a hash of the members of the cell and their incarnations.
func (n *Node) rosterHash() uint64 {
	var d xxhash.Digest
	d.Reset()
	add := func(id uint32, inc uint64) {
		var b [12]byte
		binary.LittleEndian.PutUint32(b[:4], id)
		binary.LittleEndian.PutUint64(b[4:], inc)
		_, _ = d.Write(b[:])
	}
	for _, id := range n.cell {
		if id == n.cfg.Self.ID {
			if n.phase == active {
				add(id, n.cfg.Incarnation)
			}
			continue
		}
		if p := n.peer(id); p.member {
			add(id, p.inc)
		}
	}
	return d.Sum64()
}

func (n *Node) isMember(id uint32) bool {
	if id == n.cfg.Self.ID {
		return n.phase == active
	}
	return n.peer(id).member
}

// holder returns the member that may grant a key of this VM's cell.
func (n *Node) holder(hash uint64) (uint32, bool) {
	return rendezvous.Top(hash, n.cell, n.isMember)
}

// backup returns the peer that must have a copy before this holder grants.
func (n *Node) backup(hash uint64) *peer {
	if n.cfg.NoBackup {
		return nil
	}
	id, ok := rendezvous.Top(hash, n.cell, func(id uint32) bool {
		return id != n.cfg.Self.ID && n.isMember(id)
	})
	if !ok {
		return nil
	}
	return n.peer(id)
}

// rosterChanged starts the syncs that the new membership requires.
func (n *Node) rosterChanged() {
	if n.phase != active {
		return
	}
	for _, p := range n.peers {
		n.startSync(p)
	}
	n.answerWaiting()
	n.resendOwnClaims()
}

// sendHeartbeats sends heartbeats if they are due.
func (n *Node) sendHeartbeats() {
	if n.now < n.nextHeartbeatAt {
		return
	}
	n.nextHeartbeatAt = n.now + min(n.cfg.Lease/heartbeatsPerLease, maxHeartbeatInterval)
	for _, p := range n.peers {
		if n.removed[p.id] {
			continue
		}
		p.heartbeatSeq++
		p.unackedHeartbeats = append(p.unackedHeartbeats, sentSeq{seq: p.heartbeatSeq, at: n.now})
		if len(p.unackedHeartbeats) > maxSentAcks {
			p.unackedHeartbeats = p.unackedHeartbeats[1:]
		}
		n.send(p.id, &schema.Message{Body: &schema.Message_Heartbeat{Heartbeat: &schema.Heartbeat{
			Seq: p.heartbeatSeq, Acked: p.heartbeatAcked, Epoch: p.epoch,
		}}})
	}
}

// peerLease returns the minimum length of a lease as measured by another VM's
// clock.
func (n *Node) peerLease() time.Duration { return n.cfg.Lease - n.cfg.Lease/clockDriftDivisor }

// maxSentAcks bounds the acks stored for a peer that confirms none.
const maxSentAcks = 64

// onHeartbeat acknowledges a heartbeat, unless this VM stands in for the peer:
// the peer must not rely on this VM's copies while this VM grants the peer's
// keys.
func (n *Node) onHeartbeat(p *peer, m *schema.Heartbeat) {
	if p == nil {
		return
	}
	p.heartbeatEpoch = m.Epoch
	if p.standingIn {
		n.sendOrphans(p)
		return
	}
	// An ack that the peer confirms gives a lower bound for the end of its
	// lease: the peer received that ack after it was sent.
	for len(p.acks) > 0 && p.acks[0].seq <= m.Acked {
		p.notAloneBefore = max(p.notAloneBefore, p.acks[0].at+n.cfg.Lease)
		p.acks = p.acks[1:]
	}
	p.acks = append(p.acks, sentSeq{seq: m.Seq, at: n.now})
	if len(p.acks) > maxSentAcks {
		p.acks = p.acks[1:]
	}
	n.send(p.id, &schema.Message{Body: &schema.Message_HeartbeatAck{HeartbeatAck: &schema.HeartbeatAck{Seq: m.Seq}}})
}

func (n *Node) onHeartbeatAck(p *peer, m *schema.HeartbeatAck) {
	if p == nil || m.Seq <= p.heartbeatAcked || m.Seq > p.heartbeatSeq {
		return
	}
	p.heartbeatAcked = m.Seq
	for len(p.unackedHeartbeats) > 0 && p.unackedHeartbeats[0].seq <= m.Seq {
		p.noStandInBefore = p.unackedHeartbeats[0].at + n.peerLease()
		p.unackedHeartbeats = p.unackedHeartbeats[1:]
	}
	n.renewBackupLease(p)
	n.progressJoin()
}

// renewBackupLease renews the lease that the peer, as backup, gives this
// holder.
func (n *Node) renewBackupLease(p *peer) {
	p.ackedAt = n.now
	if p.bypassed {
		p.bypassed = false
		n.startSync(p)
	}
}

// checkLeases bypasses backups that have been silent for a lease, and stands in
// for holders that have been.
func (n *Node) checkLeases() {
	if n.phase < active {
		return
	}
	for _, p := range n.peers {
		if !p.member {
			continue
		}
		silence := Silence{VM: p.id}
		if !p.bypassed && n.now >= p.ackedAt+n.cfg.Lease {
			silence.Bypassed = true
			p.bypassed = true
			p.epoch++
			p.inFlight = nil
			p.dirty = nil
			n.answerWaiting()
		}
		if !p.standingIn && n.now >= p.lastReceived+n.cfg.Lease {
			silence.StandingIn = true
			p.standingIn = true
			n.resendOwnClaims()
		}
		if silence.Bypassed || silence.StandingIn {
			n.out.Silences = append(n.out.Silences, silence)
		}
	}
}

func (n *Node) onFenced(m *schema.Fenced) {
	if m.Incarnation != n.cfg.Incarnation || n.fenced {
		return
	}
	n.fenced = true
	n.phase = leaving
	n.out.Fenced = true
}

func millis(d time.Duration) uint64 { return uint64(max(0, d) / time.Millisecond) }

func fromMillis(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }

// IsMember reports whether an incarnation of a VM of the cell is currently a
// member.
func (n *Node) IsMember(vm uint32, inc uint64) bool {
	if vm == n.cfg.Self.ID {
		return inc == n.cfg.Incarnation && n.phase == active
	}
	p := n.peer(vm)
	return p != nil && p.member && p.inc == inc
}

// IsDown reports whether a peer is known not to be running.
func (n *Node) IsDown(vm uint32) bool {
	p := n.peer(vm)
	return p == nil || p.notListening || p.dead || p.left
}
