package core

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/claim"
	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/sched"
	"github.com/chivefield/chivefield/schema"
)

// Config holds the settings of a Node. They are fixed for the lifetime of a
// process.
type Config struct {
	Claim claim.Config
	Sched sched.Config
	// DigestInterval is the interval at which digests are sent to peers.
	DigestInterval time.Duration
	// ConfigPollInterval is the interval at which one peer is asked for newer
	// configuration.
	ConfigPollInterval time.Duration
	// RepublishInterval is the interval at which the current document is
	// appended to the log again. It must be well below the retention of the log.
	RepublishInterval time.Duration
}

// Node is the decision core of one VM. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	now    time.Duration
	claims *claim.Node
	sched  *sched.Scheduler
	conf   *configState
	calls  map[uint64]*call
	// callsByClaim maps the ids of claim acquisitions to calls.
	callsByClaim    map[uint64]*call
	lastClaimID     uint64
	liveness        *liveness
	outputEstimates estimator
	nextDigestAt    time.Duration
	digestSentAt    time.Duration
	lastDigest      *schema.Digest
	draining        bool
	drained         bool
	effects         []Effect
}

// New returns a node that has not joined its cell and has no configuration.
func New(cfg Config, now time.Duration) *Node {
	n := &Node{
		cfg:             cfg,
		now:             now,
		claims:          claim.New(cfg.Claim, now),
		sched:           sched.New(cfg.Sched),
		calls:           make(map[uint64]*call),
		callsByClaim:    make(map[uint64]*call),
		liveness:        newLiveness(cfg.DigestInterval),
		outputEstimates: make(estimator),
	}
	n.conf = newConfigState(cfg, now)
	n.sched.SetPeers(n.otherVMs())
	return n
}

// otherVMs returns all other VMs of the deployment. They share the endpoints
// with this VM.
func (n *Node) otherVMs() []uint32 {
	var ids []uint32
	for _, vm := range n.cfg.Claim.VMs {
		if vm.ID != n.cfg.Claim.Self.ID {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// Step handles one event and returns the effects to execute.
func (n *Node) Step(now time.Duration, ev Event) []Effect {
	n.now = now
	n.handle(ev)
	n.propagate()
	out := n.effects
	n.effects = nil
	return out
}

func (n *Node) handle(ev Event) {
	switch ev := ev.(type) {
	case Tick:
		n.tick()
	case Arrive:
		n.onArrive(ev)
	case CallerDisconnected:
		n.onCallerDisconnected(ev.Handle)
	case Cancel:
		n.cancel(ev.Handle)
	case FirstToken:
		n.sched.RecordFirstToken(n.now, ev.Handle)
	case Progress:
		n.sched.RecordTokens(n.now, ev.Handle, ev.Tokens)
	case Ended:
		n.onEnded(ev)
	case PeerMessage:
		n.onPeerMessage(ev)
	case PeerClosed:
		n.liveness.recordEnd(ev.VM, ev.Incarnation)
		n.claims.PeerClosed(n.now, ev.VM, ev.Incarnation)
	case PeerNotListening:
		n.liveness.recordEnd(ev.VM, ev.Incarnation)
		n.claims.PeerNotListening(n.now, ev.VM, ev.Incarnation)
	case PeerRemoved:
		n.claims.PeerRemoved(n.now, ev.VM)
	case LogRead:
		n.applyLog(ev)
	case LogFailed:
		n.conf.reachedLogEnd = n.conf.reachedLogEnd && n.conf.hasConfig()
	case EndpointLeaving:
		n.sched.SetLeaving(n.now, ev.Endpoint, ev.Leaving)
	case CacheEvents:
		n.applyCacheEvents(ev)
	case Drain:
		n.drain()
	}
}

func (n *Node) applyCacheEvents(ev CacheEvents) {
	if ev.Gap {
		n.sched.ClearCacheIndex(ev.Endpoint)
	}
	n.sched.ApplyCacheEvents(ev.Endpoint, ev.Stored, ev.Dropped)
}

func (n *Node) onPeerMessage(ev PeerMessage) {
	n.liveness.recordMessage(ev.From, ev.Incarnation)
	switch b := ev.Message.Body.(type) {
	case *schema.Message_Digest:
		n.sched.ApplyDigest(n.now, ev.From, b.Digest)
	case *schema.Message_Yield:
		n.sched.HandleYield(n.now, ev.From, b.Yield)
	case *schema.Message_YieldResult:
		n.sched.HandleYieldResult(n.now, ev.From, b.YieldResult)
	case *schema.Message_ConfigOffer:
		n.onConfigOffer(ev.From, b.ConfigOffer)
	case *schema.Message_ConfigWant:
		n.onConfigWant(ev.From, b.ConfigWant)
	default:
		n.claims.Receive(n.now, ev.From, ev.Incarnation, ev.Message)
	}
}

func (n *Node) tick() {
	n.liveness.tick(n.now)
	n.claims.Tick(n.now)
	n.sched.Tick(n.now)
	n.stopExpired()
	if n.now >= n.nextDigestAt {
		n.nextDigestAt = n.now + n.cfg.DigestInterval
		n.sendDigest()
	}
	n.tickConfig()
	n.progressDrain()
}

// unchangedDigestIntervals is the number of intervals for which an unchanged
// digest is not sent again. The resulting time is well below the time for which
// peers consider a digest valid.
const unchangedDigestIntervals = 10

// sendDigest sends this VM's endpoint usage to its peers if it has changed, and
// periodically if it has not.
func (n *Node) sendDigest() {
	d := n.sched.MakeDigest(n.now)
	if proto.Equal(d, n.lastDigest) && n.now < n.digestSentAt+unchangedDigestIntervals*n.cfg.DigestInterval {
		return
	}
	n.lastDigest, n.digestSentAt = d, n.now
	n.broadcast(&schema.Message{Body: &schema.Message_Digest{Digest: d}})
}

func (n *Node) broadcast(m *schema.Message) {
	for _, id := range n.otherVMs() {
		n.emit(Send{To: id, Message: m})
	}
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

// propagate passes decisions between claims and scheduler until neither
// produces a new one.
func (n *Node) propagate() {
	for {
		c := n.claims.Take()
		s := n.sched.Take()
		n.applyClaimOutput(c)
		n.applySchedOutput(s)
		if len(c.Results) == 0 && len(s.Assignments)+len(s.Refusals)+len(s.Stops) == 0 {
			return
		}
	}
}

func (n *Node) applyClaimOutput(o claim.Output) {
	for _, m := range o.Messages {
		n.emit(Send{To: m.To, Message: m.Message})
	}
	for _, t := range o.Takeovers {
		n.emit(Takeover{VM: t.VM, Clean: t.Clean})
	}
	for _, s := range o.Silences {
		n.emit(LeaseExpired{Silence: s})
	}
	for _, r := range o.Results {
		n.onClaimResult(r)
	}
	if o.Fenced {
		n.emit(DeclaredDead{})
	}
}

func (n *Node) applySchedOutput(o sched.Output) {
	for _, a := range o.Assignments {
		n.onAssigned(a)
	}
	for _, r := range o.Refusals {
		n.onRefused(r)
	}
	for _, h := range o.Stops {
		n.stopForHigherTier(h)
	}
	for _, y := range o.Yields {
		n.broadcast(&schema.Message{Body: &schema.Message_Yield{Yield: y}})
	}
	for _, y := range o.YieldResults {
		n.emit(Send{To: y.To, Message: &schema.Message{Body: &schema.Message_YieldResult{YieldResult: y.Result}}})
	}
}

// drain refuses new requests, lets the present ones finish and hands over this
// VM's keys.
func (n *Node) drain() {
	if n.draining {
		return
	}
	n.draining = true
	n.claims.Leave(n.now)
}

func (n *Node) progressDrain() {
	if n.draining && !n.drained && len(n.calls) == 0 && n.claims.Left() {
		n.drained = true
		n.emit(Drained{})
	}
}

// PeerIncarnation returns the newest known incarnation of a cell peer, or 0 if
// there is none.
func (n *Node) PeerIncarnation(vm uint32) uint64 { return n.claims.Incarnation(vm) }

// CellPeers returns the VMs to which the caller must keep a connection and
// report when it is closed.
func (n *Node) CellPeers() []uint32 { return n.claims.CellPeers() }

// Status is the state of a VM as reported to operators.
type Status struct {
	// Ready reports whether the load balancer may send requests to this VM.
	Ready bool
	// Why states why the VM is not ready; it is empty if the VM is ready.
	Why      string
	Version  uint64
	Draining bool
	Calls    int
	Queued   int
	Running  int
	Claims   claim.Stats
}

// Status returns the current status.
func (n *Node) Status() Status {
	s := Status{
		Draining: n.draining, Calls: len(n.calls), Queued: n.sched.Queued(), Running: n.sched.Running(),
		Claims: n.claims.Stats(), Version: n.conf.version(),
	}
	s.Why = n.notReady(s.Claims)
	s.Ready = s.Why == ""
	return s
}

func (n *Node) notReady(c claim.Stats) string {
	switch {
	case n.draining:
		return "draining"
	case n.conf.stateMachine.Blocked():
		return "the log has a configuration of a newer schema"
	case !n.conf.current():
		return "the configuration is not proven current"
	case n.conf.rules == nil:
		return "no configuration was accepted yet"
	case !c.Active:
		return "not every VM of the failure domain has been reached"
	case n.historyPending():
		return "the log has not shown yet whether the failure domain ran before"
	}
	return ""
}

// Rules returns the current configuration, or nil while it is not proven
// current.
func (n *Node) Rules() *config.Rules {
	if !n.conf.current() {
		return nil
	}
	return n.conf.rules
}
