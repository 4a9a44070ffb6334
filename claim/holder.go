package claim

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/rendezvous"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

// record is the state of a key at its holder or backup.
type record struct {
	key            request.Key
	hash           uint64
	digest         uint64
	state          schema.RecordState
	dispatcher     uint32
	dispatcherInc  uint64
	call           uint64
	endpoint       string
	stream         string
	refusedAttempt uint32
	refusedAt      time.Duration
	createdAt      time.Duration
	version        uint32

	// The backup that has a copy, and the version of that copy.
	copiedTo      uint32
	copiedInc     uint64
	copiedVersion uint32

	// granted is set if the claim may have been granted, here or by an earlier
	// holder.
	granted bool
	waiters []waiter
	// queued is set while the key is in Node.waiting.
	queued bool
}

// waiter is a claim whose answer waits for the copy.
type waiter struct {
	from       uint32
	call       uint64
	intent     schema.Intent
	mayBeRetry bool
	// arrived is the latest time at which the request may have reached its
	// dispatcher.
	arrived time.Duration
}

func (n *Node) newWaiter(from uint32, m *schema.Claim) waiter {
	arrived := n.now - fromMillis(m.AgeMs) - time.Millisecond
	return waiter{from: from, call: m.Call, intent: m.Intent, mayBeRetry: m.Repeat, arrived: arrived}
}

// ageEntry is an entry of the list of records ordered by age. The list makes
// expiry possible without a scan.
type ageEntry struct {
	key request.Key
	at  time.Duration
}

func (r *record) bumpVersion() { r.version++ }

func (r *record) sameClaim(from uint32, inc, call uint64) bool {
	return r.dispatcher == from && r.dispatcherInc == inc && r.call == call
}

// onClaim handles a claim for a key of this VM's cell.
func (n *Node) onClaim(from uint32, inc uint64, m *schema.Claim) {
	key := request.Key{Organisation: m.Organisation, ID: m.Id}
	hash := keyHash(key)
	holder, ok := n.holder(hash)
	if !ok {
		return
	}
	if holder == n.cfg.Self.ID {
		n.claimAsHolder(from, inc, key, hash, m)
		return
	}
	if n.isStandInFor(holder, hash) {
		n.claimAsStandIn(n.peer(holder), from, inc, key, hash, m)
		return
	}
	n.reply(from, &schema.ClaimResult{Call: m.Call, Verdict: schema.Verdict_REDIRECT, Redirect: holder})
}

// isStandInFor reports whether the holder was silent for a lease and this VM is
// its backup for the key, with a copy of everything granted up to then. The
// holder then grants nothing with a copy, because this VM sends it no acks, and
// alone it grants only declared first attempts. The stand-in does the same, and
// a first attempt is sent to only one of the two.
func (n *Node) isStandInFor(holder uint32, hash uint64) bool {
	p := n.peer(holder)
	if n.phase != active || !p.standingIn || !n.hasAllGrantsOf(p) {
		return false
	}
	next, _ := rendezvous.Top(hash, n.cell, func(id uint32) bool {
		return id != holder && n.isMember(id)
	})
	return next == n.cfg.Self.ID
}

func (n *Node) claimAsStandIn(p *peer, from uint32, inc uint64, key request.Key, hash uint64, m *schema.Claim) {
	r := n.records[key]
	w := n.newWaiter(from, m)
	first := !m.Repeat && m.Intent == schema.Intent_RUN
	switch {
	case !first && (r == nil || r.state == schema.RecordState_REFUSED):
		// Only the holder could decide a retry; it is not waited for.
		n.answerClaim(nil, w, schema.Verdict_DOUBTFUL)
	case !first:
		n.answerExisting(r, from, m)
	case r == nil && n.mayHaveBeenGranted(false, w.arrived):
		n.answerClaim(nil, w, schema.Verdict_DOUBTFUL)
	case r == nil || r.state == schema.RecordState_REFUSED && r.refusedAttempt == 0:
		if len(n.records) >= n.cfg.MaxRecords {
			n.reply(from, &schema.ClaimResult{Call: m.Call, Verdict: schema.Verdict_FULL})
			return
		}
		r = n.claimRecord(r, key, hash, from, inc, m)
		r.granted = true
		p.orphans = append(p.orphans, key)
		p.orphanSeqs = nil
		n.answerClaim(r, w, schema.Verdict_GRANTED)
	case r.sameClaim(from, inc, m.Call) && r.state == schema.RecordState_CLAIMED:
		n.answerClaim(r, w, schema.Verdict_GRANTED)
	default:
		n.answerExisting(r, from, m)
	}
}

func (n *Node) claimAsHolder(from uint32, inc uint64, key request.Key, hash uint64, m *schema.Claim) {
	b := n.backup(hash)
	alone := b != nil && b.bypassed
	r := n.records[key]
	if r == nil {
		n.claimAbsent(from, inc, key, hash, m, alone)
		return
	}
	if m.Intent == schema.Intent_FIND {
		n.answerExisting(r, from, m)
		return
	}
	w := n.newWaiter(from, m)
	switch {
	case r.digest != 0 && m.BodyDigest != 0 && r.digest != m.BodyDigest:
		n.answerClaim(r, w, schema.Verdict_CONFLICT)
	case r.sameClaim(from, inc, m.Call) && (m.Intent != schema.Intent_RUN || r.state == schema.RecordState_CLAIMED):
		n.answerWhenCopied(r, w)
	case r.state == schema.RecordState_CLAIMED && m.Replaces != 0 && r.sameClaim(from, inc, m.Replaces):
		n.answerWhenCopied(n.claimRecord(r, key, hash, from, inc, m), w)
	case r.state == schema.RecordState_SEALED && m.Intent == schema.Intent_SEAL:
		n.answerWhenCopied(r, w)
	case r.state == schema.RecordState_REFUSED && supersedes(m, r, n.now):
		if alone && m.Repeat {
			n.answerClaim(r, w, schema.Verdict_DOUBTFUL)
			return
		}
		n.answerWhenCopied(n.claimRecord(r, key, hash, from, inc, m), w)
	default:
		n.answerExisting(r, from, m)
	}
}

// claimAbsent handles a claim for a key without a record.
func (n *Node) claimAbsent(from uint32, inc uint64, key request.Key, hash uint64, m *schema.Claim, alone bool) {
	w := n.newWaiter(from, m)
	switch {
	case m.Repeat && alone, n.mayHaveBeenGranted(m.Repeat, w.arrived):
		n.answerClaim(nil, w, schema.Verdict_DOUBTFUL)
	case m.Intent == schema.Intent_FIND:
		n.answerClaim(nil, w, schema.Verdict_ABSENT)
	case len(n.records) >= n.cfg.MaxRecords:
		n.answerClaim(nil, w, schema.Verdict_FULL)
	default:
		n.answerWhenCopied(n.claimRecord(nil, key, hash, from, inc, m), w)
	}
}

// supersedes reports whether a claim belongs to a later attempt than the
// refusal. An undeclared attempt is later if it arrived after the refusal was
// given.
func supersedes(m *schema.Claim, r *record, now time.Duration) bool {
	if r.refusedAttempt == 0 && r.refusedAt == 0 {
		return true
	}
	if m.Attempt == 0 || r.refusedAttempt == 0 {
		return now-fromMillis(m.AgeMs) > r.refusedAt
	}
	return m.Attempt > r.refusedAttempt
}

// claimRecord writes a claim into a new or released record.
func (n *Node) claimRecord(r *record, key request.Key, hash uint64, from uint32, inc uint64, m *schema.Claim) *record {
	if r == nil {
		r = &record{key: key, hash: hash, createdAt: n.now}
		n.insert(r)
	}
	r.digest = m.BodyDigest
	r.dispatcher, r.dispatcherInc, r.call = from, inc, m.Call
	r.endpoint, r.stream = m.Endpoint, m.Stream
	switch m.Intent {
	case schema.Intent_REFUSE:
		r.state = schema.RecordState_REFUSED
		r.refusedAttempt, r.refusedAt = m.Attempt, n.now
	case schema.Intent_SEAL:
		r.state = schema.RecordState_SEALED
	default:
		r.state = schema.RecordState_CLAIMED
	}
	r.granted = false
	r.bumpVersion()
	n.markDirty(r)
	return r
}

func (n *Node) insert(r *record) {
	n.records[r.key] = r
	n.byAge = append(n.byAge, ageEntry{key: r.key, at: r.createdAt})
}

// answerWhenCopied answers a claim immediately if its record is committed, and
// otherwise once it is.
func (n *Node) answerWhenCopied(r *record, w waiter) {
	if n.isCommitted(r) {
		n.answerCommitted(r, w)
		return
	}
	if slices.ContainsFunc(r.waiters, func(o waiter) bool { return o.from == w.from && o.call == w.call }) {
		return
	}
	r.waiters = append(r.waiters, w)
	if !r.queued {
		r.queued = true
		n.waiting = append(n.waiting, r.key)
	}
}

// isCommitted reports whether the backup has the current version of a record,
// or no backup is required.
func (n *Node) isCommitted(r *record) bool {
	b := n.backup(r.hash)
	if b == nil || b.bypassed {
		return true
	}
	return r.copiedTo == b.id && r.copiedInc == b.inc && r.copiedVersion == r.version
}

// answerCommitted answers a claim whose record is committed. A holder that has
// lost its backup, or contact with it, since the claim arrived grants no retry:
// the backup may have granted the key in its place.
func (n *Node) answerCommitted(r *record, w waiter) {
	b := n.backup(r.hash)
	alone := b != nil && b.bypassed
	if !r.granted && (w.mayBeRetry && alone || n.mayHaveBeenGranted(w.mayBeRetry, w.arrived)) {
		if r.call == w.call && r.dispatcher == w.from {
			n.undoClaim(r)
		}
		n.answerClaim(r, w, schema.Verdict_DOUBTFUL)
		return
	}
	r.granted = true
	n.answerClaim(r, w, schema.Verdict_GRANTED)
}

// undoClaim releases a claim that was not granted.
func (n *Node) undoClaim(r *record) {
	r.state = schema.RecordState_REFUSED
	r.refusedAttempt, r.refusedAt = 0, 0
	r.bumpVersion()
	n.markDirty(r)
}

// answerWaiting answers every waiting claim whose record is now committed.
func (n *Node) answerWaiting() {
	keys := n.waiting
	n.waiting = nil
	for _, key := range keys {
		r := n.records[key]
		if r == nil {
			continue
		}
		n.answerWaiters(r)
		r.queued = len(r.waiters) > 0
		if r.queued {
			n.waiting = append(n.waiting, key)
		}
	}
}

func (n *Node) answerWaiters(r *record) {
	if h, ok := n.holder(r.hash); !ok || h != n.cfg.Self.ID {
		// The new holder answers when the claim is sent again.
		r.waiters = nil
		return
	}
	if !n.isCommitted(r) {
		return
	}
	ws := r.waiters
	r.waiters = nil
	for _, w := range ws {
		n.answerCommitted(r, w)
	}
}

// answerExisting answers a claim for a key that already has a record.
func (n *Node) answerExisting(r *record, from uint32, m *schema.Claim) {
	w := waiter{from: from, call: m.Call}
	switch {
	case r.digest != 0 && m.BodyDigest != 0 && r.digest != m.BodyDigest:
		n.answerClaim(r, w, schema.Verdict_CONFLICT)
	case r.state != schema.RecordState_REFUSED:
		n.answerClaim(r, w, schema.Verdict_HELD)
	case m.Intent == schema.Intent_FIND:
		n.answerClaim(r, w, schema.Verdict_ABSENT)
	default:
		n.answerClaim(r, w, schema.Verdict_ALREADY_REFUSED)
	}
}

func (n *Node) answerClaim(r *record, w waiter, v schema.Verdict) {
	res := &schema.ClaimResult{Call: w.call, Verdict: v}
	if r != nil {
		res.Record = n.recordToWire(r)
	}
	n.reply(w.from, res)
}

func (n *Node) reply(to uint32, res *schema.ClaimResult) {
	n.send(to, &schema.Message{Body: &schema.Message_ClaimResult{ClaimResult: res}})
}

// onUpdate records how a claim ended. Only its dispatcher may end it, unless
// the endpoint has fenced it.
func (n *Node) onUpdate(from uint32, inc uint64, m *schema.Update) {
	key := request.Key{Organisation: m.Organisation, ID: m.Id}
	hash := keyHash(key)
	holder, ok := n.holder(hash)
	if !ok || (holder != n.cfg.Self.ID && !n.isStandInFor(holder, hash)) {
		return
	}
	dispatcher, dispatcherInc := from, inc
	if m.Fenced {
		dispatcher, dispatcherInc = m.Dispatcher, m.DispatcherIncarnation
	}
	if r := n.records[key]; r != nil && r.sameClaim(dispatcher, dispatcherInc, m.ClaimCall) {
		n.applyUpdate(r, m)
	}
	n.send(from, &schema.Message{Body: &schema.Message_UpdateAck{UpdateAck: &schema.UpdateAck{Call: m.Call}}})
}

func (n *Node) applyUpdate(r *record, m *schema.Update) {
	switch {
	case m.Released:
		if r.state != schema.RecordState_CLAIMED {
			return
		}
		r.state = schema.RecordState_REFUSED
		r.refusedAttempt, r.refusedAt = m.RefusedAttempt, 0
	default:
		r.state = m.State
	}
	r.bumpVersion()
	n.markDirty(r)
}

// expireRecords deletes records that no request can refer to any more. Records
// are never evicted earlier: when memory is full, new claims are refused
// instead.
func (n *Node) expireRecords() {
	for len(n.byAge) > 0 && n.now-n.byAge[0].at >= n.cfg.TTL {
		b := n.byAge[0]
		n.byAge = n.byAge[1:]
		if r := n.records[b.key]; r != nil && r.createdAt == b.at {
			delete(n.records, b.key)
		}
	}
}

func (n *Node) recordToWire(r *record) *schema.Record {
	pb := &schema.Record{
		Organisation: r.key.Organisation, Id: r.key.ID, BodyDigest: r.digest,
		State: r.state, Dispatcher: r.dispatcher, DispatcherIncarnation: r.dispatcherInc,
		Call: r.call, Endpoint: r.endpoint, Stream: r.stream,
		RefusedAttempt: r.refusedAttempt, AgeMs: millis(n.now - r.createdAt), Version: r.version,
	}
	if r.refusedAt != 0 {
		pb.RefusedAgeMs = millis(n.now-r.refusedAt) + 1
	}
	return pb
}

// mergeRecord stores a copy of a record unless the local version is as new.
func (n *Node) mergeRecord(pb *schema.Record) {
	key := request.Key{Organisation: pb.Organisation, ID: pb.Id}
	r := n.records[key]
	if r != nil && r.version >= pb.Version {
		return
	}
	if r == nil {
		r = &record{key: key, hash: keyHash(key), createdAt: n.now - fromMillis(pb.AgeMs)}
		n.insert(r)
	}
	r.digest, r.state, r.version = pb.BodyDigest, pb.State, pb.Version
	r.dispatcher, r.dispatcherInc, r.call = pb.Dispatcher, pb.DispatcherIncarnation, pb.Call
	r.endpoint, r.stream, r.refusedAttempt = pb.Endpoint, pb.Stream, pb.RefusedAttempt
	r.granted = true
	r.refusedAt = 0
	if pb.RefusedAgeMs > 0 {
		r.refusedAt = n.now - fromMillis(pb.RefusedAgeMs-1)
	}
}
