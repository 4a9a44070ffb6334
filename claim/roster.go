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
	// beatsPerLease is how many heartbeats go out in one lease at least.
	beatsPerLease = 4
	// maxBeatInterval keeps a long lease from delaying what heartbeats carry.
	maxBeatInterval = 250 * time.Millisecond
)

// clockMargin is the part of a lease by which two clocks may drift in it.
const clockMargin = 10

// peer is another VM of the own cell, as this VM knows it.
type peer struct {
	id uint32
	// inc is the newest incarnation heard of; 0 before the first.
	inc uint64
	// member: inc has joined and is not proven dead.
	member bool
	// dead: inc is proven dead.
	dead bool
	// absent: nothing listened at its address when this VM joined.
	absent bool
	// left: inc said goodbye; it grants nothing and still has requests to end.
	left bool
	// joinAcked: it handed over what this VM needs to join.
	joinAcked bool
	// joinAt is when the next Join or Goodbye may be sent.
	joinAt time.Duration
	// heard is when the last message of inc came.
	heard time.Duration

	// This VM as holder, the peer as backup.

	beatSeq uint64        // last heartbeat sent
	beatAck uint64        // highest heartbeat it acked
	ackedAt time.Duration // when that ack came
	beats   []sentAck     // heartbeats sent and not acked yet
	// heardUntil is how long the peer heard this VM for certain: until then it
	// granted nothing in this VM's place.
	heardUntil time.Duration
	solo       bool   // its silence outlasted the lease: grant without it
	epoch      uint64 // grows with each solo period
	dupSeq     uint64
	dirty      []request.Key
	inFlight   []*flightOfCopies
	syncSent   bool
	// flushAt is when the queued copies go out.
	flushAt time.Duration

	// The peer as holder, this VM as backup.

	acks       []sentAck
	cleanUntil time.Duration // it granted nothing alone before this
	syncRoster uint64        // roster of its last complete sync
	syncEpoch  uint64
	beatEpoch  uint64 // epoch of its last heartbeat

	// estranged: this VM grants first attempts of its keys and acks nothing of
	// it, until it has taken over the orphans.
	estranged bool
	orphans   []request.Key
	orphanSeq uint64

	// goodbyeAcked: it knows that this VM leaves.
	goodbyeAcked bool
}

// sentAck is the number of a heartbeat or its ack, and when it was sent.
type sentAck struct {
	seq uint64
	at  time.Duration
}

// lostIncarnation died at some time before diedBy with grants that nobody
// alive may know of. No request of its time comes back after until.
type lostIncarnation struct {
	vm     uint32
	inc    uint64
	diedBy time.Duration
	until  time.Duration
}

// admit notes that an incarnation of a peer lives. It reports whether the
// message may be used: an incarnation proven dead gets no more say.
func (n *Node) admit(p *peer, inc uint64) bool {
	if inc < p.inc || (inc == p.inc && p.dead) {
		return false
	}
	if inc > p.inc {
		n.bury(p, true)
		// Sequence numbers go on, so that a late ack of the old incarnation
		// matches nothing sent to the new one.
		*p = peer{id: p.id, inc: inc, ackedAt: n.now - n.cfg.Lease, beatSeq: p.beatSeq, beatAck: p.beatSeq, dupSeq: p.dupSeq}
	}
	p.absent = false
	p.heard = n.now
	return true
}

// PeerClosed reports that the kernel of the peer's VM closed the connection of
// an incarnation that never closes it while alive: its process has ended.
func (n *Node) PeerClosed(now time.Duration, vm uint32, inc uint64) {
	n.now = now
	if p := n.peer(vm); p != nil && p.inc <= inc {
		if p.inc < inc {
			n.admit(p, inc)
		}
		n.bury(p, true)
		n.progressJoin()
	}
	n.runLocal()
}

// PeerAbsent reports that nothing listens at the peer's address. inc is the
// incarnation known, by Incarnation, before the address was tried; 0 for none.
// A process listens as long as it lives, so that incarnation has ended; a newer
// one may have been heard since, and is not meant.
func (n *Node) PeerAbsent(now time.Duration, vm uint32, inc uint64) {
	n.now = now
	p := n.peer(vm)
	if p == nil || p.inc != inc {
		return
	}
	p.absent = inc == 0
	n.bury(p, true)
	n.progressJoin()
	n.runLocal()
}

// Incarnation returns the newest incarnation heard of a peer, 0 for none.
func (n *Node) Incarnation(vm uint32) uint64 {
	if p := n.peer(vm); p != nil {
		return p.inc
	}
	return 0
}

// PeerGone reports that the platform's list has dropped the VM. The list lags
// and may be wrong, so such a death is never clean.
func (n *Node) PeerGone(now time.Duration, vm uint32) {
	n.now = now
	n.gone[vm] = true
	if p := n.peer(vm); p != nil {
		p.absent = p.inc == 0
		n.bury(p, false)
		n.progressJoin()
	}
	n.runLocal()
}

// bury notes the death of a peer's incarnation and judges whether every claim
// it granted is known here: as holder with this VM's copy, and as stand-in for
// this VM, which it is only after it has not heard this VM for a lease.
//
// ended says that the process has certainly ended by now.
func (n *Node) bury(p *peer, ended bool) {
	if p.dead || p.inc == 0 {
		return
	}
	if p.member {
		clean := ended && n.wouldBeClean(p)
		if !clean {
			n.addLost(p.id, p.inc, n.now, n.now+n.cfg.TTL)
		}
		n.out.Takeovers = append(n.out.Takeovers, Takeover{VM: p.id, Clean: clean})
	}
	p.dead = true
	p.member = false
	p.estranged = false
	n.rosterChanged()
}

// wouldBeClean reports whether a proof of the peer's death now would find every
// claim it granted known here.
func (n *Node) wouldBeClean(p *peer) bool {
	return n.hasAllOf(p) && n.now < p.cleanUntil && n.now < p.heardUntil
}

// hasAllOf reports whether this VM, as backup, has a copy of everything the
// peer granted with it: the last complete copy was made under the members that
// both know, and the peer granted nothing alone since.
func (n *Node) hasAllOf(p *peer) bool {
	return p.syncRoster == n.rosterHash() && p.syncEpoch == p.beatEpoch
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

// doubtful reports whether a key without a record may have been granted by an
// incarnation whose records are lost. A declared first attempt that arrived
// after its death cannot: nothing with that key had been sent. One that
// arrived before may have been overtaken by its own repeat.
func (n *Node) doubtful(repeat bool, arrived time.Duration) bool {
	for _, l := range n.lost {
		if n.now < l.until && (repeat || arrived <= l.diedBy) {
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

// rosterHash is a fingerprint of the members of the cell, with incarnations.
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

// holder returns the member that may grant a key of the own cell.
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

// rosterChanged makes the copies that the new members need.
func (n *Node) rosterChanged() {
	if n.phase != active {
		return
	}
	for _, p := range n.peers {
		n.startSync(p)
	}
	n.settleWaiting()
}

// beat sends heartbeats that are due.
func (n *Node) beat() {
	if n.now < n.beatAt {
		return
	}
	n.beatAt = n.now + min(n.cfg.Lease/beatsPerLease, maxBeatInterval)
	for _, p := range n.peers {
		if n.gone[p.id] {
			continue
		}
		p.beatSeq++
		p.beats = append(p.beats, sentAck{seq: p.beatSeq, at: n.now})
		if len(p.beats) > maxSentAcks {
			p.beats = p.beats[1:]
		}
		n.send(p.id, &schema.Message{Body: &schema.Message_Heartbeat{Heartbeat: &schema.Heartbeat{
			Seq: p.beatSeq, Acked: p.beatAck, Epoch: p.epoch,
		}}})
	}
}

// leaseOfOthers is a lease on another VM's clock, at the least.
func (n *Node) leaseOfOthers() time.Duration { return n.cfg.Lease - n.cfg.Lease/clockMargin }

// maxSentAcks bounds the acks remembered for a peer that confirms none.
const maxSentAcks = 64

// onHeartbeat acks, unless estranged: the peer must not count this VM's copies
// while this VM grants the peer's keys.
func (n *Node) onHeartbeat(p *peer, m *schema.Heartbeat) {
	if p == nil {
		return
	}
	p.beatEpoch = m.Epoch
	if p.estranged {
		n.sendOrphans(p)
		return
	}
	// What the peer confirms as acked bounds from below when its lease ends:
	// it heard that ack after it was sent.
	for len(p.acks) > 0 && p.acks[0].seq <= m.Acked {
		p.cleanUntil = max(p.cleanUntil, p.acks[0].at+n.cfg.Lease)
		p.acks = p.acks[1:]
	}
	p.acks = append(p.acks, sentAck{seq: m.Seq, at: n.now})
	if len(p.acks) > maxSentAcks {
		p.acks = p.acks[1:]
	}
	n.send(p.id, &schema.Message{Body: &schema.Message_HeartbeatAck{HeartbeatAck: &schema.HeartbeatAck{Seq: m.Seq}}})
}

func (n *Node) onHeartbeatAck(p *peer, m *schema.HeartbeatAck) {
	if p == nil || m.Seq <= p.beatAck || m.Seq > p.beatSeq {
		return
	}
	p.beatAck = m.Seq
	for len(p.beats) > 0 && p.beats[0].seq <= m.Seq {
		p.heardUntil = p.beats[0].at + n.leaseOfOthers()
		p.beats = p.beats[1:]
	}
	n.backupHeard(p)
	n.progressJoin()
}

// backupHeard renews the lease that the peer, as backup, gives this holder.
func (n *Node) backupHeard(p *peer) {
	p.ackedAt = n.now
	if p.solo {
		p.solo = false
		n.startSync(p)
	}
}

// watchBackups ends the wait for backups that were silent for a lease, and
// stands in for holders that were.
func (n *Node) watchBackups() {
	if n.phase < active {
		return
	}
	for _, p := range n.peers {
		if !p.member {
			continue
		}
		if !p.solo && n.now >= p.ackedAt+n.cfg.Lease {
			p.solo = true
			p.epoch++
			p.inFlight = nil
			p.dirty = nil
			n.settleWaiting()
		}
		if !p.estranged && n.now >= p.heard+n.cfg.Lease {
			p.estranged = true
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

// IsMember reports whether an incarnation of a VM of the cell is a member now.
func (n *Node) IsMember(vm uint32, inc uint64) bool {
	if vm == n.cfg.Self.ID {
		return inc == n.cfg.Incarnation && n.phase == active
	}
	p := n.peer(vm)
	return p != nil && p.member && p.inc == inc
}

// Away reports whether a peer is known not to run.
func (n *Node) Away(vm uint32) bool {
	p := n.peer(vm)
	return p == nil || p.absent || p.dead || p.left
}
