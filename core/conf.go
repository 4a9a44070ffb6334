package core

import (
	"fmt"
	"time"

	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/sched"
	"github.com/chivefield/chivefield/schema"
)

// configState follows the configuration from the log and from peers.
type configState struct {
	ledger *config.StateMachine
	rules  *config.Rules
	// sawEnd: the log was read to its end since this process started.
	sawEnd bool
	// offers are the VMs that said what they have; ready those that serve by it.
	offers map[uint32]bool
	ready  bool
	askAt  time.Duration
	next   int
	// carryAt is when the document is repeated on the log.
	carryAt time.Duration
	// starts are the records of processes of this domain.
	starts      []*schema.DomainStarted
	startAsked  time.Duration
	startLogged bool
	logStart    uint64
	startedAt   time.Duration
	// fresh: the domain never ran before the present members.
	fresh bool
}

func newConfigState(cfg Config, now time.Duration) *configState {
	return &configState{
		ledger: config.NewStateMachine(), offers: make(map[uint32]bool),
		askAt: now, carryAt: now + cfg.CarryEvery, startAsked: now - startRetry, startedAt: now,
	}
}

func (s *configState) ledgerKnown() bool {
	_, known := s.ledger.State()
	return known
}

func (s *configState) version() uint64 {
	st, _ := s.ledger.State()
	return st.Version
}

// current reports whether the document is proven not older than what the log
// or the peers had when this process started.
func (s *configState) current() bool {
	return s.ledgerKnown() && (s.sawEnd || s.ready)
}

// logRead judges a batch of the log.
func (n *Node) logRead(ev LogRead) {
	s := n.conf
	s.ledger.SetLogStart(ev.First)
	s.logStart = ev.First
	end := ev.Next
	if k := len(ev.Records); k > 0 {
		end = ev.Records[k-1].Offset + 1
	}
	for _, e := range ev.Records {
		if e.Record == nil {
			continue
		}
		for _, v := range s.ledger.Apply(e.Offset, e.Record) {
			n.emit(Judged{Verdict: v})
		}
		n.noteStart(e.Record.GetDomainStarted())
	}
	if end >= ev.Next {
		s.sawEnd = true
		n.recordStart()
	}
	n.putInForce()
}

// putInForce compiles the document once its version has changed.
func (n *Node) putInForce() {
	st, known := n.conf.ledger.State()
	if !known || st.Document == nil || n.conf.rules != nil && n.conf.rules.Version >= st.Version {
		return
	}
	n.conf.rules = config.Compile(st.Version, st.Document)
	n.sched.SetEndpoints(n.now, endpointsOf(st.Document))
	n.emit(InForce{Rules: n.conf.rules})
}

func endpointsOf(d *schema.Document) []sched.Endpoint {
	list := make([]sched.Endpoint, 0, len(d.Endpoints))
	for _, e := range d.Endpoints {
		list = append(list, sched.Endpoint{
			Name: e.Name, Models: e.Models, Kinds: e.Kinds,
			PrefillPrice: e.PrefillPrice, OutputPrice: e.OutputPrice, Slots: int(e.Slots),
			PrefillSpeed: e.PrefillTokensPerS, OutputSpeed: e.OutputTokensPerS, Leaving: e.Leaving,
		})
	}
	return list
}

// startRetry is how long the record of this process's start is waited for.
const startRetry = 2 * time.Second

// noteStart collects the starts of processes in this failure domain.
func (n *Node) noteStart(d *schema.DomainStarted) {
	self := n.cfg.Claim.Self
	if d == nil || d.FailureDomain != self.Domain {
		return
	}
	n.conf.starts = append(n.conf.starts, d)
	if d.Vm == self.ID && d.Incarnation == n.cfg.Claim.Incarnation {
		n.conf.startLogged = true
	}
}

// recordStart writes on the log that this process has run, before it may
// believe that no other did. One record a domain would do; one a process keeps
// the rule simple.
func (n *Node) recordStart() {
	s := n.conf
	if s.startLogged || n.now < s.startAsked+startRetry {
		return
	}
	s.startAsked = n.now
	self := n.cfg.Claim.Self
	n.emit(Append{Record: &schema.LogRecord{
		AppendId: fmt.Sprintf("start-%d-%x", self.ID, n.cfg.Claim.Incarnation),
		Body: &schema.LogRecord_DomainStarted{DomainStarted: &schema.DomainStarted{
			FailureDomain: self.Domain, Vm: self.ID, Incarnation: n.cfg.Claim.Incarnation,
		}},
	}})
}

// firstOffset is the lowest offset of a log that retention has not touched.
const firstOffset = 0

// judgePast tells the claims that the domain never ran before, if the whole log
// is there and names only members. A process that was heard but has not been a
// member here may have granted claims, and its death would not be judged; so
// the question is asked again until the answer is yes.
func (n *Node) judgePast() {
	s := n.conf
	if s.fresh || !s.startLogged || s.logStart != firstOffset || !n.claims.Stats().Active {
		return
	}
	for _, d := range s.starts {
		if !n.claims.IsMember(d.Vm, d.Incarnation) {
			return
		}
	}
	s.fresh = true
	n.claims.SetFresh(n.now)
}

// pastWait bounds how long a VM holds back until it knows its domain's past.
const pastWait = 3 * time.Second

// pastPending reports whether the log will soon tell the domain's past. A VM
// that served before would answer repeats with "unknown" for want of it.
func (n *Node) pastPending() bool {
	s := n.conf
	return s.sawEnd && !s.startLogged && n.now < s.startedAt+pastWait
}

// configTick asks one peer after the other for newer configuration, and keeps
// the document on the log.
func (n *Node) configTick() {
	s := n.conf
	n.judgePast()
	st, known := s.ledger.State()
	if n.now >= s.askAt {
		s.askAt = n.now + n.cfg.ConfigEvery
		n.askForConfig(st, known)
	}
	if n.now >= s.carryAt {
		s.carryAt = n.now + n.cfg.CarryEvery
		if known && st.Document != nil {
			n.emit(Append{Record: &schema.LogRecord{
				AppendId: fmt.Sprintf("carry-%d-%d", n.cfg.Claim.Self.ID, st.Through),
				Body:     &schema.LogRecord_Carried{Carried: &schema.Carried{Version: st.Version, Document: st.Document, Through: st.Through}},
			}})
		}
	}
}

// askForConfig asks the next peer; before this VM is current, all of them.
func (n *Node) askForConfig(st config.State, known bool) {
	peers := n.sharers()
	if len(peers) == 0 {
		return
	}
	want := &schema.Message{Body: &schema.Message_ConfigWant{ConfigWant: &schema.ConfigWant{Through: st.Through, Nothing: !known}}}
	if !n.conf.current() {
		n.broadcast(want)
		return
	}
	n.conf.next = (n.conf.next + 1) % len(peers)
	n.emit(Send{To: peers[n.conf.next], Message: want})
}

// configWant answers a peer with what is in force here, with the document only
// if it is news to the peer.
func (n *Node) configWant(from uint32, m *schema.ConfigWant) {
	st, known := n.conf.ledger.State()
	offer := &schema.ConfigOffer{Version: st.Version, Through: st.Through, Ready: n.conf.current()}
	if known && st.Document != nil && (m.Nothing || st.Version > m.Through) {
		offer.Document = st.Document
	}
	n.emit(Send{To: from, Message: &schema.Message{Body: &schema.Message_ConfigOffer{ConfigOffer: offer}}})
}

// configOffer takes over a later state of a peer, and notes who has spoken.
func (n *Node) configOffer(from uint32, m *schema.ConfigOffer) {
	s := n.conf
	if m.Document != nil {
		for _, v := range s.ledger.Adopt(config.State{Version: m.Version, Document: m.Document, Through: m.Through}) {
			n.emit(Judged{Verdict: v})
		}
		n.putInForce()
	}
	s.offers[from] = m.Ready
	s.ready = s.ready || n.peersVouch()
}

// peersVouch reports whether every VM of the cell that may live has said what
// it has, and one of them serves by it.
func (n *Node) peersVouch() bool {
	ready := false
	for _, id := range n.claims.CellPeers() {
		said, ok := n.conf.offers[id]
		if !ok && !n.claims.Away(id) {
			return false
		}
		ready = ready || said
	}
	return ready && n.conf.ledgerKnown()
}
