package claim

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/rendezvous"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

// Intent is the purpose of an acquisition.
type Intent int

// Intents of acquisitions.
const (
	// Run: dispatch the request.
	Run Intent = iota
	// Refuse: answer "not run", which must stay true for this attempt.
	Refuse
	// Find: look up whether another dispatch has the key.
	Find
)

// Request holds the parameters of an acquisition.
type Request struct {
	Intent  Intent
	Key     request.Key
	Digest  uint64
	Attempt request.Attempt
	// MayBeRetry reports whether the key may have been sent before. If so, every
	// domain is asked.
	MayBeRetry bool
	// Arrived is the time at which the request reached this VM.
	Arrived time.Duration
	// HomeOnly makes every attempt of the key claim in its home domain, so that
	// no other domain has to be asked. It must be the same for all attempts of a
	// key.
	HomeOnly bool
	// Endpoint and Stream let another VM resume the response.
	Endpoint string
	Stream   string
	// Replaces is an acquisition of this VM whose grant was not used.
	Replaces uint64
}

// acquisition is a pending or granted Request. It consists of one or more
// domain claims.
type acquisition struct {
	id       uint64
	req      Request
	hash     uint64
	deadline time.Duration
	expired  bool
	calls    []uint64
	// unanswered counts the domain claims without a result.
	unanswered int
	// homeCall is the call of the domain claim whose grant is the claim, in
	// domain; 0 before it is sent.
	homeCall uint64
	domain   string
	// mustRelease is set while the holder may have the claim on record.
	mustRelease bool
	// replaces is the call of the claim that this one replaces.
	replaces uint64
}

// domainClaim is a claim message to one domain. It is sent again until
// answered.
type domainClaim struct {
	call   uint64
	acq    *acquisition
	domain string
	cell   []uint32
	intent schema.Intent
	sends  int
	// firstSend is the number of sends under earlier members of this VM's cell;
	// the backoff counts from there.
	firstSend int
	redirects int
	target    uint32
	sentAt    time.Duration
}

// maxRedirects bounds the redirects followed for one send: two VMs with
// different views of the membership redirect to each other until they have
// exchanged messages.
const maxRedirects = 2

// Acquire starts an acquisition. It ends with a Result. The id must be new.
func (n *Node) Acquire(now time.Duration, id uint64, req Request) {
	n.now = now
	acq := &acquisition{id: id, req: req, hash: keyHash(req.Key), deadline: now + n.cfg.Timeout}
	if old := n.acquisitions[req.Replaces]; old != nil {
		acq.replaces = old.homeCall
		delete(n.acquisitions, req.Replaces)
	}
	n.acquisitions[id] = acq
	n.start(acq)
	n.handleLoopback()
}

func (n *Node) start(acq *acquisition) {
	switch {
	case acq.req.Intent == Find && acq.req.HomeOnly:
		n.sendClaim(acq, n.homeDomain(acq.hash), schema.Intent_FIND)
	case acq.req.Intent == Find:
		for _, d := range n.domains {
			n.sendClaim(acq, d, schema.Intent_FIND)
		}
	case acq.req.MayBeRetry || acq.req.HomeOnly:
		acq.domain = n.homeDomain(acq.hash)
		n.claimHome(acq)
	default:
		acq.domain = n.cfg.Self.Domain
		n.claimHome(acq)
	}
}

func (n *Node) claimHome(acq *acquisition) {
	acq.mustRelease = acq.req.Intent == Run
	acq.homeCall = n.sendClaim(acq, acq.domain, wireIntent(acq.req.Intent))
}

func wireIntent(i Intent) schema.Intent {
	if i == Refuse {
		return schema.Intent_REFUSE
	}
	return schema.Intent_RUN
}

func (n *Node) sendClaim(acq *acquisition, domain string, intent schema.Intent) uint64 {
	n.lastCall++
	c := &domainClaim{call: n.lastCall, acq: acq, domain: domain, cell: n.cellOf(domain, acq.hash), intent: intent}
	n.domainClaims[c.call] = c
	n.domainClaimOrder = append(n.domainClaimOrder, c.call)
	acq.calls = append(acq.calls, c.call)
	acq.unanswered++
	n.transmitClaim(c)
	return c.call
}

// target returns the VM to send a claim to. In this VM's cell that is the
// holder, or its stand-in if the holder is silent. In other cells the VMs are
// tried in rank order; they redirect to the holder.
func (n *Node) target(cell []uint32, hash uint64, sends int) (uint32, bool) {
	if slices.Contains(cell, n.cfg.Self.ID) {
		return n.ownTarget(hash)
	}
	ranked := rendezvous.Rank(hash, cell)
	ranked = slices.DeleteFunc(ranked, func(id uint32) bool { return n.removed[id] })
	if len(ranked) == 0 {
		return 0, false
	}
	return ranked[sends%len(ranked)], true
}

func (n *Node) ownTarget(hash uint64) (uint32, bool) {
	holder, ok := n.holder(hash)
	if !ok || holder == n.cfg.Self.ID {
		return holder, ok
	}
	if n.now < n.peer(holder).lastReceived+n.cfg.Lease {
		return holder, true
	}
	next, found := rendezvous.Top(hash, n.cell, func(id uint32) bool { return id != holder && n.isMember(id) })
	if !found {
		return holder, true
	}
	return next, true
}

func (n *Node) transmitClaim(c *domainClaim) {
	to, ok := n.target(c.cell, c.acq.hash, c.sends)
	c.sentAt = n.now
	c.sends++
	if ok {
		n.sendClaimTo(c, to)
	}
}

func (n *Node) sendClaimTo(c *domainClaim, to uint32) {
	c.target = to
	req := &c.acq.req
	n.send(to, &schema.Message{Body: &schema.Message_Claim{Claim: &schema.Claim{
		Call: c.call, Organisation: req.Key.Organisation, Id: req.Key.ID, BodyDigest: req.Digest,
		Attempt: uint32(req.Attempt), Repeat: req.MayBeRetry, Intent: c.intent,
		AgeMs: millis(n.now - req.Arrived), Endpoint: req.Endpoint, Stream: req.Stream, Replaces: c.acq.replaces,
	}}})
}

// resendClaims sends unanswered claims again under the same call, which the
// holder recognises, and ends the acquisitions that have timed out.
func (n *Node) resendClaims() {
	for _, acq := range n.expiredAcquisitions() {
		n.timeOut(acq)
	}
	calls := n.domainClaimOrder
	n.domainClaimOrder = nil
	for _, call := range calls {
		c := n.domainClaims[call]
		if c == nil {
			continue
		}
		n.domainClaimOrder = append(n.domainClaimOrder, call)
		if n.now >= c.sentAt+n.resendInterval(c.sends-c.firstSend) {
			c.redirects = 0
			n.transmitClaim(c)
		}
	}
}

// resendOwnClaims sends the unanswered claims of this VM's cell to the holders
// under its new members.
func (n *Node) resendOwnClaims() {
	for _, call := range n.domainClaimOrder {
		c := n.domainClaims[call]
		if c != nil && slices.Contains(c.cell, n.cfg.Self.ID) {
			c.firstSend = c.sends
			n.transmitClaim(c)
		}
	}
}

func (n *Node) expiredAcquisitions() []*acquisition {
	var expired []*acquisition
	for _, call := range n.domainClaimOrder {
		c := n.domainClaims[call]
		if c == nil || n.now < c.acq.deadline || c.acq.expired {
			continue
		}
		c.acq.expired = true
		expired = append(expired, c.acq)
	}
	return expired
}

// timeOut ends an acquisition that was not answered in time. A declared first
// attempt that was not dispatched ran nowhere; a retry may have run.
func (n *Node) timeOut(acq *acquisition) {
	switch {
	case acq.req.MayBeRetry:
		n.finish(acq, Unknown, request.ReasonDomainUnreachable, nil)
	default:
		n.finish(acq, NotRun, request.ReasonClaimTimeout, nil)
	}
}

// onClaimResult applies the result of one domain claim to its acquisition.
func (n *Node) onClaimResult(m *schema.ClaimResult) {
	c := n.domainClaims[m.Call]
	if c == nil {
		return
	}
	if m.Verdict == schema.Verdict_REDIRECT {
		n.redirect(c, m.Redirect)
		return
	}
	delete(n.domainClaims, m.Call)
	acq := c.acq
	acq.unanswered--
	if c.call == acq.homeCall && m.Verdict != schema.Verdict_GRANTED {
		acq.mustRelease = false
	}
	if acq.req.Intent == Find {
		n.onFindResult(acq, c.domain, m)
		return
	}
	switch m.Verdict {
	case schema.Verdict_GRANTED:
		n.advance(acq, c)
	case schema.Verdict_HELD:
		n.onHeld(acq, c.domain, m.Record)
	case schema.Verdict_CONFLICT:
		n.finish(acq, Conflict, request.ReasonBodyConflict, nil)
	case schema.Verdict_ALREADY_REFUSED:
		n.finish(acq, NotRun, request.ReasonRefusedBefore, nil)
	case schema.Verdict_DOUBTFUL:
		n.finish(acq, Unknown, request.ReasonRecordsLost, nil)
	default:
		n.finishFull(acq)
	}
}

// redirect sends the claim to the named VM immediately.
func (n *Node) redirect(c *domainClaim, to uint32) {
	if c.target == to || !slices.Contains(c.cell, to) || c.redirects >= maxRedirects {
		return
	}
	c.redirects++
	n.sendClaimTo(c, to)
}

// advance sends the seals once the home claim is granted, and completes the
// acquisition once all of them are answered.
func (n *Node) advance(acq *acquisition, c *domainClaim) {
	if c.call == acq.homeCall && acq.req.MayBeRetry && !acq.req.HomeOnly {
		n.sealElsewhere(acq)
	}
	if acq.unanswered > 0 {
		return
	}
	if acq.req.Intent == Refuse {
		n.finish(acq, NotRun, request.ReasonRefusedBefore, nil)
		return
	}
	n.out.Results = append(n.out.Results, Result{ID: acq.id, Verdict: Granted})
}

func (n *Node) sealElsewhere(acq *acquisition) {
	for _, d := range n.domains {
		if d != acq.domain {
			n.sendClaim(acq, d, schema.Intent_SEAL)
		}
	}
}

// onHeld ends an acquisition whose key is held by another dispatch. If the
// record is only a seal, the home domain has the claim: the acquisition starts
// again there as a retry.
func (n *Node) onHeld(acq *acquisition, domain string, r *schema.Record) {
	if r.State == schema.RecordState_SEALED {
		acq.req.MayBeRetry = true
		n.start(acq)
		return
	}
	acq.domain = domain
	n.finish(acq, Held, "", r)
}

// onFindResult applies the result of one domain to an acquisition with intent
// Find.
func (n *Node) onFindResult(acq *acquisition, domain string, m *schema.ClaimResult) {
	switch {
	case m.Verdict == schema.Verdict_CONFLICT:
		n.finish(acq, Conflict, request.ReasonBodyConflict, nil)
	case m.Verdict == schema.Verdict_HELD && m.Record.State != schema.RecordState_SEALED:
		acq.domain = domain
		n.finish(acq, Held, "", m.Record)
	case m.Verdict == schema.Verdict_DOUBTFUL:
		n.finish(acq, Unknown, request.ReasonRecordsLost, nil)
	case acq.unanswered == 0:
		n.finish(acq, Absent, "", nil)
	}
}

// finishFull ends an acquisition refused because the holder is out of memory
// for records. Nothing was dispatched.
func (n *Node) finishFull(acq *acquisition) {
	if acq.req.MayBeRetry {
		n.finish(acq, Unknown, request.ReasonRecordsFull, nil)
		return
	}
	n.finish(acq, NotRun, request.ReasonRecordsFull, nil)
}

// finish ends an acquisition without a grant and releases what it had claimed.
func (n *Node) finish(acq *acquisition, v Verdict, reason request.Reason, r *schema.Record) {
	n.out.Results = append(n.out.Results, Result{ID: acq.id, Verdict: v, Reason: reason, Record: r, Domain: acq.domain})
	n.discard(acq)
}

func (n *Node) discard(acq *acquisition) {
	delete(n.acquisitions, acq.id)
	for _, call := range acq.calls {
		delete(n.domainClaims, call)
	}
	if acq.mustRelease {
		n.sendUpdate(acq, &schema.Update{Released: true})
	}
	if acq.replaces != 0 {
		old := &acquisition{req: acq.req, hash: acq.hash, homeCall: acq.replaces, domain: acq.domain}
		n.sendUpdate(old, &schema.Update{Released: true})
	}
}
