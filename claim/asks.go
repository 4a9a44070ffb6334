package claim

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/rendezvous"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

// Intent is what a flight wants of a key.
type Intent int

// Intents of flights.
const (
	// Run: dispatch the request.
	Run Intent = iota
	// Refuse: answer "not run", which must stay true for this attempt.
	Refuse
	// Find: learn whether another dispatch has the key.
	Find
)

// Request is what a flight asks for.
type Request struct {
	Intent  Intent
	Key     request.Key
	Digest  uint64
	Attempt request.Attempt
	// MayBeRetry: the key may have been sent before; every domain is asked.
	MayBeRetry bool
	// Arrived is when the request reached this VM.
	Arrived time.Duration
	// HomeOnly: every attempt of the key claims in its home domain, so no other
	// domain has to be asked. It must be the same for all attempts of a key.
	HomeOnly bool
	// Endpoint and Stream let another VM resume the answer.
	Endpoint string
	Stream   string
	// Replaces is a flight of this VM whose grant was not used.
	Replaces uint64
}

// acquisition is one wish under way, over one or more asks.
type acquisition struct {
	id       uint64
	req      Request
	hash     uint64
	deadline time.Duration
	expired  bool
	calls    []uint64
	// unanswered counts the asks without an answer.
	unanswered int
	// homeCall is the ask whose grant is the claim, in domain; 0 before it is sent.
	homeCall uint64
	domain   string
	// mustRelease: the holder may have the claim on record.
	mustRelease bool
	// replaces is the claim that this one takes the place of.
	replaces uint64
}

// domainClaim is one claim message to one domain, sent again until answered.
type domainClaim struct {
	call      uint64
	acq       *acquisition
	domain    string
	cell      []uint32
	intent    schema.Intent
	sends     int
	redirects int
	target    uint32
	sentAt    time.Duration
}

// maxRedirects bounds the redirects followed between two sendings: two VMs that
// know different members name each other until they have spoken.
const maxRedirects = 2

// Acquire starts a flight. Its end comes as a Result. The id must be new.
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

// target picks whom to ask: in the own cell the holder, or its stand-in when it
// is silent; elsewhere the VMs in rank order, which redirect.
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

// resendClaims asks again with the same call, which the holder recognises, and
// ends the flights whose time is over.
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
		if n.now >= c.sentAt+n.cfg.Retry {
			c.redirects = 0
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

// timeOut ends a flight that cannot be settled. A declared first attempt that
// was not dispatched ran nowhere; a repeat may have.
func (n *Node) timeOut(acq *acquisition) {
	switch {
	case acq.req.MayBeRetry:
		n.finish(acq, Unknown, request.ReasonDomainsAway, nil)
	default:
		n.finish(acq, NotRun, request.ReasonClaimTimeout, nil)
	}
}

// onClaimResult takes one answer into its flight.
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
		n.finish(acq, Conflict, request.ReasonConflict, nil)
	case schema.Verdict_ALREADY_REFUSED:
		n.finish(acq, NotRun, request.ReasonRefused, nil)
	case schema.Verdict_DOUBTFUL:
		n.finish(acq, Unknown, request.ReasonRecordsLost, nil)
	default:
		n.finishFull(acq)
	}
}

// redirect asks the named VM at once.
func (n *Node) redirect(c *domainClaim, to uint32) {
	if c.target == to || !slices.Contains(c.cell, to) || c.redirects >= maxRedirects {
		return
	}
	c.redirects++
	n.sendClaimTo(c, to)
}

// advance goes from the home claim to the seals, and ends with all of them.
func (n *Node) advance(acq *acquisition, c *domainClaim) {
	if c.call == acq.homeCall && acq.req.MayBeRetry && !acq.req.HomeOnly {
		n.sealElsewhere(acq)
	}
	if acq.unanswered > 0 {
		return
	}
	if acq.req.Intent == Refuse {
		n.finish(acq, NotRun, request.ReasonRefused, nil)
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

// onHeld ends a flight that found another dispatch. A seal only says that the
// home domain knows: the wish goes on as a repeat there.
func (n *Node) onHeld(acq *acquisition, domain string, r *schema.Record) {
	if r.State == schema.RecordState_SEALED {
		acq.req.MayBeRetry = true
		n.start(acq)
		return
	}
	acq.domain = domain
	n.finish(acq, Held, "", r)
}

// onFindResult takes one domain's answer to a search.
func (n *Node) onFindResult(acq *acquisition, domain string, m *schema.ClaimResult) {
	switch {
	case m.Verdict == schema.Verdict_CONFLICT:
		n.finish(acq, Conflict, request.ReasonConflict, nil)
	case m.Verdict == schema.Verdict_HELD && m.Record.State != schema.RecordState_SEALED:
		acq.domain = domain
		n.finish(acq, Held, "", m.Record)
	case m.Verdict == schema.Verdict_DOUBTFUL:
		n.finish(acq, Unknown, request.ReasonRecordsLost, nil)
	case acq.unanswered == 0:
		n.finish(acq, Absent, "", nil)
	}
}

// finishFull ends a flight refused for want of memory: nothing was dispatched.
func (n *Node) finishFull(acq *acquisition) {
	if acq.req.MayBeRetry {
		n.finish(acq, Unknown, request.ReasonRecordsFull, nil)
		return
	}
	n.finish(acq, NotRun, request.ReasonRecordsFull, nil)
}

// finish ends a flight without a grant, and gives back what it had claimed.
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
