package claim

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

const (
	// copiesPerMessage bounds the number of records in one Duplicate message.
	copiesPerMessage = 256
	// maxInFlight bounds the number of unacknowledged Duplicate messages to one
	// backup.
	maxInFlight = 64
	// maxTransmissions bounds the transmissions of a batch whose acks still
	// count.
	maxTransmissions = 32
)

// noFlush is the flush time while nothing has to be copied.
const noFlush = 1<<63 - 1

// copyBatch is a set of records whose copies wait for an ack.
type copyBatch struct {
	keys          []request.Key
	syncDone      bool
	sentAt        time.Duration
	sends         int
	transmissions []transmission
}

// transmission is one Duplicate message of a batch, with the version of each of
// its keys that it carried; 0 if there was no record.
type transmission struct {
	seq      uint64
	versions []uint32
}

// transmissionOf returns the transmission of a batch with a sequence number.
func (b *copyBatch) transmissionOf(seq uint64) (transmission, bool) {
	i := slices.IndexFunc(b.transmissions, func(t transmission) bool { return t.seq == seq })
	if i < 0 {
		return transmission{}, false
	}
	return b.transmissions[i], true
}

// markDirty queues a copy of a record for its backup.
func (n *Node) markDirty(r *record) {
	if h, ok := n.holder(r.hash); !ok || h != n.cfg.Self.ID {
		return
	}
	if b := n.backup(r.hash); b != nil && !b.bypassed {
		b.dirty = append(b.dirty, r.key)
		// The end of a claim is not urgent: it is copied with the next claim, at
		// the latest after one retry interval.
		if r.state == schema.RecordState_CLAIMED || r.state == schema.RecordState_SEALED || r.refusedAt != 0 {
			b.flushAt = n.now
		} else {
			b.flushAt = min(b.flushAt, n.now+n.cfg.Retry)
		}
	}
}

// startSync queues every record that the peer, as backup, must have and lacks.
func (n *Node) startSync(p *peer) {
	p.dirty = nil
	p.inFlight = nil
	p.syncSent = false
	p.flushAt = n.now
	if !p.member || p.bypassed || n.phase != active {
		return
	}
	for _, b := range n.byAge {
		r := n.records[b.key]
		if r == nil || r.createdAt != b.at || !n.needsCopy(r, p) {
			continue
		}
		p.dirty = append(p.dirty, r.key)
	}
}

// needsCopy reports whether the peer is the backup of a record held here and
// lacks its current version.
func (n *Node) needsCopy(r *record, p *peer) bool {
	if h, ok := n.holder(r.hash); !ok || h != n.cfg.Self.ID || n.backup(r.hash) != p {
		return false
	}
	return r.copiedTo != p.id || r.copiedInc != p.inc || r.copiedVersion != r.version
}

// flushDuplicates sends the queued copies, and a sync-done message once a peer
// has acknowledged all of them.
func (n *Node) flushDuplicates() {
	if n.phase != active {
		return
	}
	for _, p := range n.peers {
		if !p.member || p.bypassed || n.now < p.flushAt && !n.leaveRequested {
			continue
		}
		p.flushAt = noFlush
		for len(p.dirty) > 0 && len(p.inFlight) < maxInFlight {
			count := min(copiesPerMessage, len(p.dirty))
			n.sendCopies(p, p.dirty[:count])
			p.dirty = p.dirty[count:]
		}
		if len(p.dirty) == 0 && len(p.inFlight) == 0 && !p.syncSent {
			p.syncSent = true
			batch := &copyBatch{syncDone: true}
			p.inFlight = append(p.inFlight, batch)
			n.transmitBatch(p, batch)
		}
	}
}

func (n *Node) sendCopies(p *peer, keys []request.Key) {
	batch := &copyBatch{keys: keys}
	p.inFlight = append(p.inFlight, batch)
	n.transmitBatch(p, batch)
}

// transmitBatch sends the newest versions under a new sequence number. The ack
// of each transmission confirms the versions which that one carried: a peer that
// answers later than the batch is sent again confirms it all the same.
func (n *Node) transmitBatch(p *peer, batch *copyBatch) {
	p.dupSeq++
	batch.sentAt = n.now
	batch.sends++
	d := &schema.Duplicate{Seq: p.dupSeq, Epoch: p.epoch, SyncDone: batch.syncDone}
	t := transmission{seq: p.dupSeq, versions: make([]uint32, len(batch.keys))}
	for i, key := range batch.keys {
		if r := n.records[key]; r != nil {
			t.versions[i] = r.version
			d.Records = append(d.Records, n.recordToWire(r))
		}
	}
	batch.transmissions = append(batch.transmissions, t)
	if len(batch.transmissions) > maxTransmissions {
		batch.transmissions = batch.transmissions[1:]
	}
	if batch.syncDone {
		d.Roster = n.rosterHash()
		d.Lost = n.lostList()
	}
	n.send(p.id, &schema.Message{Body: &schema.Message_Duplicate{Duplicate: d}})
}

func (n *Node) resendDuplicates() {
	if n.phase != active {
		return
	}
	for _, p := range n.peers {
		for _, batch := range p.inFlight {
			if n.now >= batch.sentAt+n.resendInterval(batch.sends) {
				n.transmitBatch(p, batch)
			}
		}
	}
}

// onDuplicate stores copies for a holder. A holder for which this VM stands in
// gets no ack.
func (n *Node) onDuplicate(p *peer, m *schema.Duplicate) {
	if p == nil {
		return
	}
	if m.Orphans {
		n.onOrphans(p, m)
		return
	}
	if p.standingIn {
		n.sendOrphans(p)
		return
	}
	for _, r := range m.Records {
		n.mergeRecord(r)
	}
	if m.SyncDone {
		p.syncRoster = m.Roster
		p.syncEpoch = m.Epoch
		n.mergeLost(withoutPredecessors(m.Lost))
	}
	n.ackDuplicate(p, m.Seq)
}

func (n *Node) ackDuplicate(p *peer, seq uint64) {
	n.send(p.id, &schema.Message{Body: &schema.Message_DuplicateAck{DuplicateAck: &schema.DuplicateAck{Seq: seq}}})
}

// withoutPredecessors removes the entry for unknown predecessors. The sender
// lists it only because it has not read the log; each member determines that
// for itself.
func withoutPredecessors(list []*schema.Lost) []*schema.Lost {
	var known []*schema.Lost
	for _, l := range list {
		if l.Incarnation != unknownPredecessor {
			known = append(known, l)
		}
	}
	return known
}

func (n *Node) onDuplicateAck(p *peer, m *schema.DuplicateAck) {
	if p == nil {
		return
	}
	if p.standingIn && slices.Contains(p.orphanSeqs, m.Seq) {
		p.standingIn = false
		p.orphans = nil
		p.orphanSeqs = nil
		return
	}
	for i, batch := range p.inFlight {
		t, ok := batch.transmissionOf(m.Seq)
		if !ok {
			continue
		}
		p.inFlight = append(p.inFlight[:i:i], p.inFlight[i+1:]...)
		if len(p.dirty) > 0 || !p.syncSent {
			p.flushAt = min(p.flushAt, n.now)
		}
		n.markCopied(p, batch.keys, t.versions)
		return
	}
}

// markCopied records that the peer has these versions. A version written since
// is queued or in flight by itself; acks arrive in any order and never lower
// what the peer is known to have.
func (n *Node) markCopied(p *peer, keys []request.Key, versions []uint32) {
	for i, key := range keys {
		r, version := n.records[key], versions[i]
		if r == nil || version == 0 || r.copiedTo == p.id && r.copiedInc == p.inc && r.copiedVersion >= version {
			continue
		}
		r.copiedTo, r.copiedInc, r.copiedVersion = p.id, p.inc, version
		if len(r.waiters) > 0 {
			n.answerWaiters(r)
		}
	}
	n.trimWaiting()
}

// trimWaiting removes the leading keys that have no waiters.
func (n *Node) trimWaiting() {
	for len(n.waiting) > 0 {
		r := n.records[n.waiting[0]]
		if r != nil && len(r.waiters) > 0 {
			return
		}
		if r != nil {
			r.queued = false
		}
		n.waiting = n.waiting[1:]
	}
}

// sendOrphans sends a holder that is reachable again the claims that were
// granted in its place.
func (n *Node) sendOrphans(p *peer) {
	if len(p.orphans) == 0 {
		p.standingIn = false
		return
	}
	if n.now < p.orphansSentAt+n.resendInterval(len(p.orphanSeqs)) {
		return
	}
	p.dupSeq++
	p.orphansSentAt = n.now
	p.orphanSeqs = append(p.orphanSeqs, p.dupSeq)
	d := &schema.Duplicate{Seq: p.dupSeq, Orphans: true}
	for _, key := range p.orphans {
		if r := n.records[key]; r != nil {
			d.Records = append(d.Records, n.recordToWire(r))
		}
	}
	n.send(p.id, &schema.Message{Body: &schema.Message_Duplicate{Duplicate: d}})
}

// onOrphans merges the claims that the backup granted in this holder's place. A
// claim that still waits here yields to them. If a key was granted here too, it
// was sent as a first attempt twice: both ran as the caller declared, and the
// record here stays.
func (n *Node) onOrphans(p *peer, m *schema.Duplicate) {
	for _, pb := range m.Records {
		n.mergeOrphan(pb)
	}
	n.ackDuplicate(p, m.Seq)
}

func (n *Node) mergeOrphan(pb *schema.Record) {
	key := request.Key{Organisation: pb.Organisation, ID: pb.Id}
	r := n.records[key]
	if r != nil && r.granted && r.state != schema.RecordState_REFUSED {
		return
	}
	var ws []waiter
	if r != nil {
		// The two VMs incremented their versions independently.
		pb.Version = max(pb.Version, r.version+1)
		ws, r.waiters = r.waiters, nil
	}
	n.mergeRecord(pb)
	r = n.records[key]
	n.markDirty(r)
	for _, w := range ws {
		n.answerClaim(r, w, schema.Verdict_HELD)
	}
}

// allCopied reports whether the backups have every record held here.
func (n *Node) allCopied() bool {
	for _, p := range n.peers {
		if p.member && !p.bypassed && (!p.syncSent || len(p.dirty) > 0 || len(p.inFlight) > 0) {
			return false
		}
	}
	return true
}
