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
	flight    *acquisition
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
func (n *Node) Acquire(now time.Duration, id uint64, w Request) {
	n.now = now
	f := &acquisition{id: id, req: w, hash: keyHash(w.Key), deadline: now + n.cfg.Timeout}
	if old := n.acquisitions[w.Replaces]; old != nil {
		f.replaces = old.homeCall
		delete(n.acquisitions, w.Replaces)
	}
	n.acquisitions[id] = f
	n.start(f)
	n.handleLoopback()
}

func (n *Node) start(f *acquisition) {
	switch {
	case f.req.Intent == Find && f.req.HomeOnly:
		n.sendClaim(f, n.homeDomain(f.hash), schema.Intent_FIND)
	case f.req.Intent == Find:
		for _, d := range n.domains {
			n.sendClaim(f, d, schema.Intent_FIND)
		}
	case f.req.MayBeRetry || f.req.HomeOnly:
		f.domain = n.homeDomain(f.hash)
		n.claimHome(f)
	default:
		f.domain = n.cfg.Self.Domain
		n.claimHome(f)
	}
}

func (n *Node) claimHome(f *acquisition) {
	f.mustRelease = f.req.Intent == Run
	f.homeCall = n.sendClaim(f, f.domain, wireIntent(f.req.Intent))
}

func wireIntent(i Intent) schema.Intent {
	if i == Refuse {
		return schema.Intent_REFUSE
	}
	return schema.Intent_RUN
}

func (n *Node) sendClaim(f *acquisition, domain string, intent schema.Intent) uint64 {
	n.lastCall++
	a := &domainClaim{call: n.lastCall, flight: f, domain: domain, cell: n.cellOf(domain, f.hash), intent: intent}
	n.domainClaims[a.call] = a
	n.domainClaimOrder = append(n.domainClaimOrder, a.call)
	f.calls = append(f.calls, a.call)
	f.unanswered++
	n.transmitClaim(a)
	return a.call
}

// target picks whom to ask: in the own cell the holder, or its stand-in when it
// is silent; elsewhere the VMs in rank order, which redirect.
func (n *Node) target(cell []uint32, hash uint64, tries int) (uint32, bool) {
	if slices.Contains(cell, n.cfg.Self.ID) {
		return n.ownTarget(hash)
	}
	ranked := rendezvous.Rank(hash, cell)
	ranked = slices.DeleteFunc(ranked, func(id uint32) bool { return n.removed[id] })
	if len(ranked) == 0 {
		return 0, false
	}
	return ranked[tries%len(ranked)], true
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

func (n *Node) transmitClaim(a *domainClaim) {
	to, ok := n.target(a.cell, a.flight.hash, a.sends)
	a.sentAt = n.now
	a.sends++
	if ok {
		n.sendClaimTo(a, to)
	}
}

func (n *Node) sendClaimTo(a *domainClaim, to uint32) {
	a.target = to
	w := &a.flight.req
	n.send(to, &schema.Message{Body: &schema.Message_Claim{Claim: &schema.Claim{
		Call: a.call, Organisation: w.Key.Organisation, Id: w.Key.ID, BodyDigest: w.Digest,
		Attempt: uint32(w.Attempt), Repeat: w.MayBeRetry, Intent: a.intent,
		AgeMs: millis(n.now - w.Arrived), Endpoint: w.Endpoint, Stream: w.Stream, Replaces: a.flight.replaces,
	}}})
}

// resendClaims asks again with the same call, which the holder recognises, and
// ends the flights whose time is over.
func (n *Node) resendClaims() {
	for _, f := range n.expiredAcquisitions() {
		n.timeOut(f)
	}
	calls := n.domainClaimOrder
	n.domainClaimOrder = nil
	for _, call := range calls {
		a := n.domainClaims[call]
		if a == nil {
			continue
		}
		n.domainClaimOrder = append(n.domainClaimOrder, call)
		if n.now >= a.sentAt+n.cfg.Retry {
			a.redirects = 0
			n.transmitClaim(a)
		}
	}
}

func (n *Node) expiredAcquisitions() []*acquisition {
	var expired []*acquisition
	for _, call := range n.domainClaimOrder {
		a := n.domainClaims[call]
		if a == nil || n.now < a.flight.deadline || a.flight.expired {
			continue
		}
		a.flight.expired = true
		expired = append(expired, a.flight)
	}
	return expired
}

// timeOut ends a flight that cannot be settled. A declared first attempt that
// was not dispatched ran nowhere; a repeat may have.
func (n *Node) timeOut(f *acquisition) {
	switch {
	case f.req.MayBeRetry:
		n.finish(f, Unknown, request.ReasonDomainsAway, nil)
	default:
		n.finish(f, NotRun, request.ReasonClaimTimeout, nil)
	}
}

// onClaimResult takes one answer into its flight.
func (n *Node) onClaimResult(m *schema.ClaimResult) {
	a := n.domainClaims[m.Call]
	if a == nil {
		return
	}
	if m.Verdict == schema.Verdict_REDIRECT {
		n.redirect(a, m.Redirect)
		return
	}
	delete(n.domainClaims, m.Call)
	f := a.flight
	f.unanswered--
	if a.call == f.homeCall && m.Verdict != schema.Verdict_GRANTED {
		f.mustRelease = false
	}
	if f.req.Intent == Find {
		n.onFindResult(f, a.domain, m)
		return
	}
	switch m.Verdict {
	case schema.Verdict_GRANTED:
		n.advance(f, a)
	case schema.Verdict_HELD:
		n.onHeld(f, a.domain, m.Record)
	case schema.Verdict_CONFLICT:
		n.finish(f, Conflict, request.ReasonConflict, nil)
	case schema.Verdict_ALREADY_REFUSED:
		n.finish(f, NotRun, request.ReasonRefused, nil)
	case schema.Verdict_DOUBTFUL:
		n.finish(f, Unknown, request.ReasonRecordsLost, nil)
	default:
		n.finishFull(f)
	}
}

// redirect asks the named VM at once.
func (n *Node) redirect(a *domainClaim, to uint32) {
	if a.target == to || !slices.Contains(a.cell, to) || a.redirects >= maxRedirects {
		return
	}
	a.redirects++
	n.sendClaimTo(a, to)
}

// advance goes from the home claim to the seals, and ends with all of them.
func (n *Node) advance(f *acquisition, a *domainClaim) {
	if a.call == f.homeCall && f.req.MayBeRetry && !f.req.HomeOnly {
		n.sealElsewhere(f)
	}
	if f.unanswered > 0 {
		return
	}
	if f.req.Intent == Refuse {
		n.finish(f, NotRun, request.ReasonRefused, nil)
		return
	}
	n.out.Results = append(n.out.Results, Result{ID: f.id, Verdict: Granted})
}

func (n *Node) sealElsewhere(f *acquisition) {
	for _, d := range n.domains {
		if d != f.domain {
			n.sendClaim(f, d, schema.Intent_SEAL)
		}
	}
}

// onHeld ends a flight that found another dispatch. A seal only says that the
// home domain knows: the wish goes on as a repeat there.
func (n *Node) onHeld(f *acquisition, domain string, r *schema.Record) {
	if r.State == schema.RecordState_SEALED {
		f.req.MayBeRetry = true
		n.start(f)
		return
	}
	f.domain = domain
	n.finish(f, Held, "", r)
}

// onFindResult takes one domain's answer to a search.
func (n *Node) onFindResult(f *acquisition, domain string, m *schema.ClaimResult) {
	switch {
	case m.Verdict == schema.Verdict_CONFLICT:
		n.finish(f, Conflict, request.ReasonConflict, nil)
	case m.Verdict == schema.Verdict_HELD && m.Record.State != schema.RecordState_SEALED:
		f.domain = domain
		n.finish(f, Held, "", m.Record)
	case m.Verdict == schema.Verdict_DOUBTFUL:
		n.finish(f, Unknown, request.ReasonRecordsLost, nil)
	case f.unanswered == 0:
		n.finish(f, Absent, "", nil)
	}
}

// finishFull ends a flight refused for want of memory: nothing was dispatched.
func (n *Node) finishFull(f *acquisition) {
	if f.req.MayBeRetry {
		n.finish(f, Unknown, request.ReasonRecordsFull, nil)
		return
	}
	n.finish(f, NotRun, request.ReasonRecordsFull, nil)
}

// finish ends a flight without a grant, and gives back what it had claimed.
func (n *Node) finish(f *acquisition, v Verdict, reason request.Reason, r *schema.Record) {
	n.out.Results = append(n.out.Results, Result{ID: f.id, Verdict: v, Reason: reason, Record: r, Domain: f.domain})
	n.discard(f)
}

func (n *Node) discard(f *acquisition) {
	delete(n.acquisitions, f.id)
	for _, call := range f.calls {
		delete(n.domainClaims, call)
	}
	if f.mustRelease {
		n.sendUpdate(f, &schema.Update{Released: true})
	}
	if f.replaces != 0 {
		old := &acquisition{req: f.req, hash: f.hash, homeCall: f.replaces, domain: f.domain}
		n.sendUpdate(old, &schema.Update{Released: true})
	}
}
