package core

import (
	"fmt"
	"time"

	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/sched"
	"github.com/chivefield/chivefield/schema"
)

// configState tracks the configuration read from the log and received from
// peers.
type configState struct {
	stateMachine *config.StateMachine
	rules        *config.Rules
	// reachedLogEnd is set once the log has been read to its end since this
	// process started.
	reachedLogEnd bool
	// peerReady records, for each VM that sent a ConfigOffer, whether its
	// configuration was current. peersCurrent is set once the peers have
	// confirmed that the configuration held here is current.
	peerReady    map[uint32]bool
	peersCurrent bool
	nextPollAt   time.Duration
	nextPeer     int
	// republishAt is the next time at which the document is appended to the log
	// again.
	republishAt time.Duration
	// starts holds the start records of the processes of this failure domain.
	starts          []*schema.DomainStarted
	startAppendedAt time.Duration
	startLogged     bool
	logStart        uint64
	startedAt       time.Duration
	// firstRun is set once the log shows that no process of the failure domain
	// ran before the present members.
	firstRun bool
}

func newConfigState(cfg Config, now time.Duration) *configState {
	return &configState{
		stateMachine: config.NewStateMachine(), peerReady: make(map[uint32]bool),
		nextPollAt: now, republishAt: now + cfg.RepublishInterval, startAppendedAt: now - startRetry, startedAt: now,
	}
}

func (s *configState) hasConfig() bool {
	_, known := s.stateMachine.State()
	return known
}

func (s *configState) version() uint64 {
	st, _ := s.stateMachine.State()
	return st.Version
}

// current reports whether the configuration is proven to be at least as new as
// that of the log or of the peers when this process started.
func (s *configState) current() bool {
	return s.hasConfig() && (s.reachedLogEnd || s.peersCurrent)
}

// applyLog applies a batch of log records to the configuration.
func (n *Node) applyLog(ev LogRead) {
	s := n.conf
	s.stateMachine.SetLogStart(ev.First)
	s.logStart = ev.First
	end := ev.Next
	if k := len(ev.Records); k > 0 {
		end = ev.Records[k-1].Offset + 1
	}
	for _, e := range ev.Records {
		if e.Record == nil {
			continue
		}
		for _, v := range s.stateMachine.Apply(e.Offset, e.Record) {
			n.emit(ConfigJudged{Verdict: v})
		}
		n.collectStart(e.Record.GetDomainStarted())
	}
	if end >= ev.Next {
		s.reachedLogEnd = true
		n.appendStart()
	}
	n.applyConfig()
}

// applyConfig compiles the document and applies it if its version is newer than
// the one applied last.
func (n *Node) applyConfig() {
	st, known := n.conf.stateMachine.State()
	if !known || st.Document == nil || n.conf.rules != nil && n.conf.rules.Version >= st.Version {
		return
	}
	n.conf.rules = config.Compile(st.Version, st.Document)
	n.sched.SetEndpoints(n.now, endpointsOf(st.Document))
	n.emit(ConfigApplied{Rules: n.conf.rules})
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

// startRetry is the interval after which the start record is appended again if
// it has not been read back from the log.
const startRetry = 2 * time.Second

// collectStart stores the start record of a process of this failure domain.
func (n *Node) collectStart(d *schema.DomainStarted) {
	self := n.cfg.Claim.Self
	if d == nil || d.FailureDomain != self.Domain {
		return
	}
	n.conf.starts = append(n.conf.starts, d)
	if d.Vm == self.ID && d.Incarnation == n.cfg.Claim.Incarnation {
		n.conf.startLogged = true
	}
}

// appendStart appends a record of this process's start to the log. The process
// must be on record before it may conclude that no other process ran. One
// record for each failure domain would be enough; one for each process keeps
// the rule simple.
func (n *Node) appendStart() {
	s := n.conf
	if s.startLogged || n.now < s.startAppendedAt+startRetry {
		return
	}
	s.startAppendedAt = n.now
	self := n.cfg.Claim.Self
	n.emit(Append{Record: &schema.LogRecord{
		AppendId: fmt.Sprintf("start-%d-%x", self.ID, n.cfg.Claim.Incarnation),
		Body: &schema.LogRecord_DomainStarted{DomainStarted: &schema.DomainStarted{
			FailureDomain: self.Domain, Vm: self.ID, Incarnation: n.cfg.Claim.Incarnation,
		}},
	}})
}

// firstOffset is the lowest offset of a log from which retention has removed
// nothing.
const firstOffset = 0

// checkFirstRun marks the failure domain as never having run before, if the log
// is complete and names only current members. A process from which messages
// were received but which has not been a member here may have granted claims,
// and its death would not be classified. The check is therefore repeated until
// it succeeds.
func (n *Node) checkFirstRun() {
	s := n.conf
	if s.firstRun || !s.startLogged || s.logStart != firstOffset || !n.claims.Stats().Active {
		return
	}
	for _, d := range s.starts {
		if !n.claims.IsMember(d.Vm, d.Incarnation) {
			return
		}
	}
	s.firstRun = true
	n.claims.SetFirstRun(n.now)
}

// historyTimeout bounds how long a VM delays readiness until the log shows
// whether its failure domain ran before.
const historyTimeout = 3 * time.Second

// historyPending reports whether the log is expected to show soon whether the
// failure domain ran before. A VM that served earlier than that would have to
// answer retries with "unknown".
func (n *Node) historyPending() bool {
	s := n.conf
	return s.reachedLogEnd && !s.startLogged && n.now < s.startedAt+historyTimeout
}

// tickConfig polls the peers in rotation for newer configuration and
// republishes the document on the log.
func (n *Node) tickConfig() {
	s := n.conf
	n.checkFirstRun()
	st, known := s.stateMachine.State()
	if n.now >= s.nextPollAt {
		s.nextPollAt = n.now + n.cfg.ConfigPollInterval
		n.pollConfig(st, known)
	}
	if n.now >= s.republishAt {
		s.republishAt = n.now + n.cfg.RepublishInterval
		if known && st.Document != nil {
			n.emit(Append{Record: &schema.LogRecord{
				AppendId: fmt.Sprintf("carry-%d-%d", n.cfg.Claim.Self.ID, st.Through),
				Body:     &schema.LogRecord_Carried{Carried: &schema.Carried{Version: st.Version, Document: st.Document, Through: st.Through}},
			}})
		}
	}
}

// pollConfig asks the next peer for newer configuration, or all peers while the
// configuration of this VM is not proven current.
func (n *Node) pollConfig(st config.State, known bool) {
	peers := n.otherVMs()
	if len(peers) == 0 {
		return
	}
	want := &schema.Message{Body: &schema.Message_ConfigWant{ConfigWant: &schema.ConfigWant{Through: st.Through, Nothing: !known}}}
	if !n.conf.current() {
		n.broadcast(want)
		return
	}
	n.conf.nextPeer = (n.conf.nextPeer + 1) % len(peers)
	n.emit(Send{To: peers[n.conf.nextPeer], Message: want})
}

// onConfigWant replies with the current configuration of this VM. The document
// is included only if the peer does not have it.
func (n *Node) onConfigWant(from uint32, m *schema.ConfigWant) {
	st, known := n.conf.stateMachine.State()
	offer := &schema.ConfigOffer{Version: st.Version, Through: st.Through, Ready: n.conf.current()}
	if known && st.Document != nil && (m.Nothing || st.Version > m.Through) {
		offer.Document = st.Document
	}
	n.emit(Send{To: from, Message: &schema.Message{Body: &schema.Message_ConfigOffer{ConfigOffer: offer}}})
}

// onConfigOffer adopts the configuration of a peer if it is newer, and records
// whether the peer's configuration is current.
func (n *Node) onConfigOffer(from uint32, m *schema.ConfigOffer) {
	s := n.conf
	if m.Document != nil {
		for _, v := range s.stateMachine.Adopt(config.State{Version: m.Version, Document: m.Document, Through: m.Through}) {
			n.emit(ConfigJudged{Verdict: v})
		}
		n.applyConfig()
	}
	s.peerReady[from] = m.Ready
	s.peersCurrent = s.peersCurrent || n.peersConfirmCurrent()
}

// peersConfirmCurrent reports whether every VM of the cell that may be running
// has sent a ConfigOffer and the configuration of at least one of them is
// current.
func (n *Node) peersConfirmCurrent() bool {
	ready := false
	for _, id := range n.claims.CellPeers() {
		isReady, ok := n.conf.peerReady[id]
		if !ok && !n.claims.IsDown(id) {
			return false
		}
		ready = ready || isReady
	}
	return ready && n.conf.hasConfig()
}
