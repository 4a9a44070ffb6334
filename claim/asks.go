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

// Wish is what a flight asks for.
type Wish struct {
	Intent  Intent
	Key     request.Key
	Digest  uint64
	Attempt request.Attempt
	// Repeat: the key may have been sent before; every domain is asked.
	Repeat bool
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

// flight is one wish under way, over one or more asks.
type flight struct {
	id       uint64
	wish     Wish
	hash     uint64
	deadline time.Duration
	late     bool
	calls    []uint64
	// open counts the asks without an answer.
	open int
	// home is the ask whose grant is the claim, in domain; 0 before it is sent.
	home   uint64
	domain string
	// owing: the holder may have the claim on record.
	owing bool
	// replaces is the claim that this one takes the place of.
	replaces uint64
}

// ask is one claim message to one domain, sent again until answered.
type ask struct {
	call   uint64
	flight *flight
	domain string
	cell   []uint32
	intent schema.Intent
	tries  int
	hops   int
	target uint32
	sentAt time.Duration
}

// maxHops bounds the redirects followed between two sendings: two VMs that
// know different members name each other until they have spoken.
const maxHops = 2

// Acquire starts a flight. Its end comes as a Result. The id must be new.
func (n *Node) Acquire(now time.Duration, id uint64, w Wish) {
	n.now = now
	f := &flight{id: id, wish: w, hash: keyHash(w.Key), deadline: now + n.cfg.Timeout}
	if old := n.flights[w.Replaces]; old != nil {
		f.replaces = old.home
		delete(n.flights, w.Replaces)
	}
	n.flights[id] = f
	n.start(f)
	n.runLocal()
}

func (n *Node) start(f *flight) {
	switch {
	case f.wish.Intent == Find && f.wish.HomeOnly:
		n.ask(f, n.homeDomain(f.hash), schema.Intent_FIND)
	case f.wish.Intent == Find:
		for _, d := range n.domains {
			n.ask(f, d, schema.Intent_FIND)
		}
	case f.wish.Repeat || f.wish.HomeOnly:
		f.domain = n.homeDomain(f.hash)
		n.askHome(f)
	default:
		f.domain = n.cfg.Self.Domain
		n.askHome(f)
	}
}

func (n *Node) askHome(f *flight) {
	f.owing = f.wish.Intent == Run
	f.home = n.ask(f, f.domain, wireIntent(f.wish.Intent))
}

func wireIntent(i Intent) schema.Intent {
	if i == Refuse {
		return schema.Intent_REFUSE
	}
	return schema.Intent_RUN
}

func (n *Node) ask(f *flight, domain string, intent schema.Intent) uint64 {
	n.lastCall++
	a := &ask{call: n.lastCall, flight: f, domain: domain, cell: n.cellOf(domain, f.hash), intent: intent}
	n.asks[a.call] = a
	n.askOrder = append(n.askOrder, a.call)
	f.calls = append(f.calls, a.call)
	f.open++
	n.tryAsk(a)
	return a.call
}

// target picks whom to ask: in the own cell the holder, or its stand-in when it
// is silent; elsewhere the VMs in rank order, which redirect.
func (n *Node) target(cell []uint32, hash uint64, tries int) (uint32, bool) {
	if slices.Contains(cell, n.cfg.Self.ID) {
		return n.ownTarget(hash)
	}
	ranked := rendezvous.Rank(hash, cell)
	ranked = slices.DeleteFunc(ranked, func(id uint32) bool { return n.gone[id] })
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
	if n.now < n.peer(holder).heard+n.cfg.Lease {
		return holder, true
	}
	next, found := rendezvous.Top(hash, n.cell, func(id uint32) bool { return id != holder && n.isMember(id) })
	if !found {
		return holder, true
	}
	return next, true
}

func (n *Node) tryAsk(a *ask) {
	to, ok := n.target(a.cell, a.flight.hash, a.tries)
	a.sentAt = n.now
	a.tries++
	if ok {
		n.sendAsk(a, to)
	}
}

func (n *Node) sendAsk(a *ask, to uint32) {
	a.target = to
	w := &a.flight.wish
	n.send(to, &schema.Message{Body: &schema.Message_Claim{Claim: &schema.Claim{
		Call: a.call, Organisation: w.Key.Organisation, Id: w.Key.ID, BodyDigest: w.Digest,
		Attempt: uint32(w.Attempt), Repeat: w.Repeat, Intent: a.intent,
		AgeMs: millis(n.now - w.Arrived), Endpoint: w.Endpoint, Stream: w.Stream, Replaces: a.flight.replaces,
	}}})
}

// resendAsks asks again with the same call, which the holder recognises, and
// ends the flights whose time is over.
func (n *Node) resendAsks() {
	for _, f := range n.expiredFlights() {
		n.timeOut(f)
	}
	calls := n.askOrder
	n.askOrder = nil
	for _, call := range calls {
		a := n.asks[call]
		if a == nil {
			continue
		}
		n.askOrder = append(n.askOrder, call)
		if n.now >= a.sentAt+n.cfg.Retry {
			a.hops = 0
			n.tryAsk(a)
		}
	}
}

func (n *Node) expiredFlights() []*flight {
	var late []*flight
	for _, call := range n.askOrder {
		a := n.asks[call]
		if a == nil || n.now < a.flight.deadline || a.flight.late {
			continue
		}
		a.flight.late = true
		late = append(late, a.flight)
	}
	return late
}

// timeOut ends a flight that cannot be settled. A declared first attempt that
// was not dispatched ran nowhere; a repeat may have.
func (n *Node) timeOut(f *flight) {
	switch {
	case f.wish.Repeat:
		n.finish(f, Unknown, request.ReasonDomainUnreachable, nil)
	default:
		n.finish(f, NotRun, request.ReasonClaimTimeout, nil)
	}
}

// onClaimResult takes one answer into its flight.
func (n *Node) onClaimResult(m *schema.ClaimResult) {
	a := n.asks[m.Call]
	if a == nil {
		return
	}
	if m.Verdict == schema.Verdict_REDIRECT {
		n.redirect(a, m.Redirect)
		return
	}
	delete(n.asks, m.Call)
	f := a.flight
	f.open--
	if a.call == f.home && m.Verdict != schema.Verdict_GRANTED {
		f.owing = false
	}
	if f.wish.Intent == Find {
		n.found(f, a.domain, m)
		return
	}
	switch m.Verdict {
	case schema.Verdict_GRANTED:
		n.advance(f, a)
	case schema.Verdict_HELD:
		n.held(f, a.domain, m.Record)
	case schema.Verdict_CONFLICT:
		n.finish(f, Conflict, request.ReasonBodyConflict, nil)
	case schema.Verdict_ALREADY_REFUSED:
		n.finish(f, NotRun, request.ReasonRefusedBefore, nil)
	case schema.Verdict_DOUBTFUL:
		n.finish(f, Unknown, request.ReasonRecordsLost, nil)
	default:
		n.full(f)
	}
}

// redirect asks the named VM at once.
func (n *Node) redirect(a *ask, to uint32) {
	if a.target == to || !slices.Contains(a.cell, to) || a.hops >= maxHops {
		return
	}
	a.hops++
	n.sendAsk(a, to)
}

// advance goes from the home claim to the seals, and ends with all of them.
func (n *Node) advance(f *flight, a *ask) {
	if a.call == f.home && f.wish.Repeat && !f.wish.HomeOnly {
		n.sealElsewhere(f)
	}
	if f.open > 0 {
		return
	}
	if f.wish.Intent == Refuse {
		n.finish(f, NotRun, request.ReasonRefusedBefore, nil)
		return
	}
	n.out.Results = append(n.out.Results, Result{Flight: f.id, Verdict: Granted})
}

func (n *Node) sealElsewhere(f *flight) {
	for _, d := range n.domains {
		if d != f.domain {
			n.ask(f, d, schema.Intent_SEAL)
		}
	}
}

// held ends a flight that found another dispatch. A seal only says that the
// home domain knows: the wish goes on as a repeat there.
func (n *Node) held(f *flight, domain string, r *schema.Record) {
	if r.State == schema.RecordState_SEALED {
		f.wish.Repeat = true
		n.start(f)
		return
	}
	f.domain = domain
	n.finish(f, Held, "", r)
}

// found takes one domain's answer to a search.
func (n *Node) found(f *flight, domain string, m *schema.ClaimResult) {
	switch {
	case m.Verdict == schema.Verdict_CONFLICT:
		n.finish(f, Conflict, request.ReasonBodyConflict, nil)
	case m.Verdict == schema.Verdict_HELD && m.Record.State != schema.RecordState_SEALED:
		f.domain = domain
		n.finish(f, Held, "", m.Record)
	case m.Verdict == schema.Verdict_DOUBTFUL:
		n.finish(f, Unknown, request.ReasonRecordsLost, nil)
	case f.open == 0:
		n.finish(f, Absent, "", nil)
	}
}

// full ends a flight refused for want of memory: nothing was dispatched.
func (n *Node) full(f *flight) {
	if f.wish.Repeat {
		n.finish(f, Unknown, request.ReasonRecordsFull, nil)
		return
	}
	n.finish(f, NotRun, request.ReasonRecordsFull, nil)
}

// finish ends a flight without a grant, and gives back what it had claimed.
func (n *Node) finish(f *flight, v Verdict, why request.Reason, r *schema.Record) {
	n.out.Results = append(n.out.Results, Result{Flight: f.id, Verdict: v, Reason: why, Record: r, Domain: f.domain})
	n.drop(f)
}

func (n *Node) drop(f *flight) {
	delete(n.flights, f.id)
	for _, call := range f.calls {
		delete(n.asks, call)
	}
	if f.owing {
		n.sendUpdate(f, &schema.Update{Released: true})
	}
	if f.replaces != 0 {
		old := &flight{wish: f.wish, hash: f.hash, home: f.replaces, domain: f.domain}
		n.sendUpdate(old, &schema.Update{Released: true})
	}
}
