package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/claim"
	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/history"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/sched"
	"github.com/chivefield/chivefield/schema"
)

// TestSessions replays whole sessions of several VMs. Each file in testdata
// holds one scenario; the expected output lists every decision of the VMs. The
// network delivers in order; the script partitions it and kills, freezes and
// restarts VMs.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{t: t, partitioned: map[[2]uint32]bool{}, dispatched: map[string]*dispatchRef{}, ran: map[string]int{}, askedAgain: map[uint64]bool{}}
		datadriven.RunTest(t, path, s.command)
	})
}

const step = 10 * time.Millisecond

type node struct {
	id     uint32
	domain string
	core   *Node
	inc    uint64
	up     bool
	frozen bool
	inbox  []packet
	// logUnavailable is set while the log cannot be read from this VM.
	logUnavailable bool
	// read is the offset of the next log record to read; keys maps handles to
	// request keys.
	read uint64
	keys map[uint64]string
}

type packet struct {
	from, to uint32
	ev       Event
}

type dispatchRef struct {
	node   *node
	inc    uint64
	handle uint64
	end    string // set once the endpoint has ended it
}

type session struct {
	t           *testing.T
	nodes       []*node
	now         time.Duration
	inTransit   []packet
	partitioned map[[2]uint32]bool
	log         []*schema.LogRecord
	logDown     bool
	handle      uint64
	out         strings.Builder
	// dispatched holds the last dispatch of each key; ran counts the runs of
	// each key.
	dispatched map[string]*dispatchRef
	ran        map[string]int
	seen       []history.Observation
	attempts   map[uint64]int
	// unstarted are attachments whose dispatch the endpoint does not know.
	unstarted []unstarted
	// askedAgain holds the attachments that were made more than once.
	askedAgain map[uint64]bool
}

// unstarted is an attachment that ends as NotStarted at a time.
type unstarted struct {
	at     time.Duration
	node   *node
	handle uint64
}

// attachTime is how long an endpoint is asked again for a stream that it does
// not know.
const attachTime = 300 * time.Millisecond

func (s *session) command(t *testing.T, d *datadriven.TestData) string {
	s.out.Reset()
	switch d.Cmd {
	case "deploy":
		s.attempts = map[uint64]int{}
		for i, domain := range strings.Fields(d.Input) {
			s.nodes = append(s.nodes, &node{id: uint32(i + 1), domain: domain})
		}
		for _, n := range s.nodes {
			s.start(n)
		}
	case "config":
		s.appendConfig(d)
	case "send":
		s.send(d)
	case "run":
		var d2 string
		d.ScanArgs(t, "for", &d2)
		dur, _ := time.ParseDuration(d2)
		s.run(dur)
	case "token":
		r := s.dispatched["o/"+arg(t, d, "id")]
		s.apply(r.node, r.node.core.Step(s.now, FirstToken{Handle: r.handle}))
	case "end":
		s.end("o/"+arg(t, d, "id"), arg(t, d, "how"))
	case "lose":
		// The dispatch never reached its endpoint.
		key := "o/" + arg(t, d, "id")
		s.ran[key]--
		s.dispatched[key].end = "lost"
	case "arrive":
		// A dispatch that was late reaches its endpoint.
		key := "o/" + arg(t, d, "id")
		s.ran[key]++
		s.dispatched[key].end = ""
	case "kill":
		s.kill(s.node(t, d))
	case "restart":
		s.start(s.node(t, d))
	case "freeze":
		s.node(t, d).frozen = true
	case "thaw":
		n := s.node(t, d)
		n.frozen = false
		s.inTransit, n.inbox = append(s.inTransit, n.inbox...), nil
	case "drain":
		n := s.node(t, d)
		s.apply(n, n.core.Step(s.now, Drain{}))
	case "leaving":
		n := s.node(t, d)
		s.apply(n, n.core.Step(s.now, EndpointLeaving{Endpoint: arg(t, d, "endpoint"), Leaving: true}))
	case "cut":
		s.setPartition(strings.Fields(d.Input), true)
	case "heal":
		s.partitioned = map[[2]uint32]bool{}
	case "log":
		for _, id := range strings.Fields(d.Input) {
			s.nodes[id[0]-'1'].logUnavailable = d.HasArg("down")
		}
		if d.Input == "" {
			s.logDown = d.HasArg("down")
		}
	case "status":
		for _, n := range s.nodes {
			if n.up && !n.frozen {
				st := n.core.Status()
				fmt.Fprintf(&s.out, "vm%d: ready %t %s version %d lost %d\n", n.id, st.Ready, st.Why, st.Version, st.Claims.Lost)
			}
		}
	case "check":
		for _, b := range (&history.History{Observations: s.seen, RunCounts: s.ran}).Check() {
			fmt.Fprintln(&s.out, b)
		}
		fmt.Fprintf(&s.out, "ran %v\n", s.ran)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return s.out.String()
}

func arg(t *testing.T, d *datadriven.TestData, key string) string {
	var v string
	d.ScanArgs(t, key, &v)
	return v
}

func (s *session) node(t *testing.T, d *datadriven.TestData) *node {
	var id int
	d.ScanArgs(t, "vm", &id)
	return s.nodes[id-1]
}

func (s *session) start(n *node) {
	n.inc += uint64(s.now) + 1<<20
	n.up, n.frozen, n.inbox, n.read, n.keys = true, false, nil, 0, map[uint64]string{}
	var vms []claim.VM
	for _, x := range s.nodes {
		vms = append(vms, claim.VM{ID: x.id, Domain: x.domain})
	}
	n.core = New(Config{
		Claim: claim.Config{
			Self: vms[n.id-1], Incarnation: n.inc, VMs: vms, CellSize: 8, Lease: time.Second,
			Retry: 50 * time.Millisecond, Timeout: 2 * time.Second, TTL: time.Hour, MaxRecords: 1000,
		},
		Sched:          sched.Config{MaxQueued: 100},
		DigestInterval: 100 * time.Millisecond, ConfigPollInterval: 200 * time.Millisecond, RepublishInterval: time.Hour,
	}, s.now)
}

// run advances time: on each step every VM reads the log and ticks, and
// messages are delivered.
func (s *session) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += step {
		for _, n := range s.live() {
			s.readLog(n)
			s.apply(n, n.core.Step(s.now, Tick{}))
		}
		s.endUnstarted()
		s.deliver()
	}
}

func (s *session) endUnstarted() {
	due := s.unstarted
	s.unstarted = nil
	for _, u := range due {
		switch {
		case s.now < u.at:
			s.unstarted = append(s.unstarted, u)
		case u.node.up:
			s.apply(u.node, u.node.core.Step(s.now, Ended{Handle: u.handle, End: NotStarted}))
		}
	}
}

func (s *session) live() []*node {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return !n.up || n.frozen })
}

// deliver delivers messages in order until none is left. Messages for a frozen
// VM are kept until it is thawed.
func (s *session) deliver() {
	for len(s.inTransit) > 0 {
		p := s.inTransit[0]
		s.inTransit = s.inTransit[1:]
		n := s.nodes[p.to-1]
		switch {
		case !n.up || s.partitioned[[2]uint32{p.from, p.to}]:
		case n.frozen:
			n.inbox = append(n.inbox, p)
		default:
			s.apply(n, n.core.Step(s.now, p.ev))
		}
	}
}

func (s *session) readLog(n *node) {
	if s.logDown || n.logUnavailable {
		s.apply(n, n.core.Step(s.now, LogFailed{}))
		return
	}
	ev := LogRead{Next: uint64(len(s.log))}
	for i := n.read; i < uint64(len(s.log)); i++ {
		ev.Records = append(ev.Records, LogEntry{Offset: i, Record: s.log[i]})
	}
	n.read = uint64(len(s.log))
	s.apply(n, n.core.Step(s.now, ev))
}

func (s *session) kill(n *node) {
	n.up = false
	s.inTransit = slices.DeleteFunc(s.inTransit, func(p packet) bool { return p.to == n.id })
	for _, id := range n.core.CellPeers() {
		if !s.partitioned[[2]uint32{n.id, id}] {
			s.inTransit = append(s.inTransit, packet{from: n.id, to: id, ev: PeerClosed{VM: n.id, Incarnation: n.inc}})
		}
	}
}

func (s *session) setPartition(ids []string, cut bool) {
	in := func(id uint32) bool { return slices.Contains(ids, fmt.Sprint(id)) }
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			if in(a.id) != in(b.id) {
				s.partitioned[[2]uint32{a.id, b.id}] = cut
			}
		}
	}
}

// appendConfig appends a document to the log: kinds check (tier 0), draft (tier
// 1) and invoice (not idempotent), engines with the given slots, a plain
// service.
func (s *session) appendConfig(d *datadriven.TestData) {
	var base uint64
	slots, engines := 2, 2
	d.MaybeScanArgs(s.t, "base", &base)
	d.MaybeScanArgs(s.t, "slots", &slots)
	d.MaybeScanArgs(s.t, "engines", &engines)
	doc := &schema.Document{
		SchemaVersion: 1, BaseVersion: base, Author: "ann", RecordTtl: "15m",
		Tiers:         []*schema.Tier{{Number: 0, Name: "high"}, {Number: 1, Name: "low"}},
		Organisations: []*schema.Organisation{{Name: "o", KeySha256: strings.Repeat("ab", 32)}},
		Kinds: []*schema.Kind{
			{Name: "check", Deadline: "10s", Model: "m", ExpectedOutput: 100},
			{Name: "draft", Deadline: "10s", Model: "m", ExpectedOutput: 100},
			{Name: "invoice", Deadline: "10s", Path: "/invoice", NonIdempotent: true},
		},
		Assignments: []*schema.Assignment{{Organisation: "*", Kind: "draft", Tier: 1}, {Organisation: "*", Kind: "*"}},
		Endpoints:   []*schema.Endpoint{{Name: "service", Address: "s", FailureDomain: "a", Kinds: []string{"invoice"}, Slots: 8}},
	}
	for i := range engines {
		doc.Endpoints = append(doc.Endpoints, &schema.Endpoint{
			Name: fmt.Sprint("e", i+1), Address: "e", FailureDomain: "a", Models: []string{"m"}, Slots: uint32(slots),
			PrefillTokensPerS: 1000, OutputTokensPerS: 50, PrefillPrice: 1, OutputPrice: float64(i + 1),
		})
	}
	if faults := config.Check(doc); len(faults) > 0 {
		s.t.Fatal(faults)
	}
	s.log = append(s.log, &schema.LogRecord{AppendId: fmt.Sprint(len(s.log)), Author: "ann", Body: &schema.LogRecord_Document{Document: doc}})
}

func (s *session) send(d *datadriven.TestData) {
	n := s.node(s.t, d)
	rules := n.core.Rules()
	if rules == nil {
		fmt.Fprintf(&s.out, "vm%d: serves nothing: %s\n", n.id, n.core.Status().Why)
		return
	}
	kindName := "check"
	deadline, attempt, prompt, digest := "10s", 1, 100, uint64(1)
	d.MaybeScanArgs(s.t, "kind", &kindName)
	d.MaybeScanArgs(s.t, "deadline", &deadline)
	d.MaybeScanArgs(s.t, "attempt", &attempt)
	d.MaybeScanArgs(s.t, "prompt", &prompt)
	d.MaybeScanArgs(s.t, "body", &digest)
	kind, _ := rules.Kind(kindName)
	for _, id := range strings.Split(arg(s.t, d, "id"), ",") {
		spec := rules.Spec(rules.Document.Organisations[0], kind, id)
		left, _ := time.ParseDuration(deadline)
		spec.Deadline = s.now + left
		spec.Attempt = request.Attempt(attempt)
		spec.PromptTokens, spec.Digest = prompt, digest
		s.handle++
		n.keys[s.handle] = spec.Key.String()
		s.attempts[s.handle] = attempt
		s.apply(n, n.core.Step(s.now, Arrive{Handle: s.handle, Spec: spec}))
	}
}

// end reports to the dispatcher how its run ended at the endpoint.
func (s *session) end(key, how string) {
	r := s.dispatched[key]
	r.end = how
	if how == "not-taken" {
		s.ran[key]--
	}
	if !r.node.up || r.node.inc != r.inc {
		return
	}
	ends := map[string]End{"whole": Complete, "broken": Broken, "stopped": Stopped, "not-taken": NotAccepted}
	s.apply(r.node, r.node.core.Step(s.now, Ended{Handle: r.handle, End: ends[how], Tokens: 100}))
}

// apply executes effects as the daemon does and writes each decision to the
// output.
func (s *session) apply(n *node, effects []Effect) {
	for _, ef := range effects {
		switch ef := ef.(type) {
		case Send:
			if !s.partitioned[[2]uint32{n.id, ef.To}] {
				m := proto.Clone(ef.Message).(*schema.Message)
				s.inTransit = append(s.inTransit, packet{from: n.id, to: ef.To, ev: PeerMessage{From: n.id, Incarnation: n.inc, Message: m}})
			}
		case Append:
			if !s.logDown && !n.logUnavailable {
				s.log = append(s.log, ef.Record)
			}
		case Dispatch:
			key := n.keys[ef.Handle]
			s.ran[key]++
			s.dispatched[key] = &dispatchRef{node: n, inc: n.inc, handle: ef.Handle}
			s.logf(n, "dispatch %s to %s: %s", key, ef.Endpoint, explain(ef.Candidates))
		case Attach:
			s.attach(n, ef)
		case Fence:
			s.fence(n, ef)
		case Stop:
			s.logf(n, "stop %s: %s", n.keys[ef.Handle], ef.Reason)
			s.apply(n, n.core.Step(s.now, Ended{Handle: ef.Handle, End: Stopped}))
		case Finish:
			s.finish(n, ef)
		case Conflict:
			s.logf(n, "conflict %s", n.keys[ef.Handle])
		case ConfigApplied:
			s.logf(n, "in force %d", ef.Rules.Version)
		case Takeover:
			s.logf(n, "takes over from vm%d, clean %t", ef.VM, ef.Clean)
		case DeclaredDead:
			s.logf(n, "expelled")
		case Drained:
			s.logf(n, "drained")
		}
	}
}

// attach responds for the engine, which keeps streams regardless of their
// readers.
func (s *session) attach(n *node, ef Attach) {
	key := n.keys[ef.Handle]
	s.logf(n, "attach %s to the run of vm%d at %s", key, ef.Record.Dispatcher, ef.Record.Endpoint)
	end := NotFound
	if r := s.dispatched[key]; r != nil && (r.end == "whole" || r.end == "") && ef.Record.Endpoint != "service" {
		end = Complete
	}
	if r := s.dispatched[key]; r != nil && r.end == "lost" {
		end = NotStarted
		if s.askedAgain[ef.Handle] {
			s.unstarted = append(s.unstarted, unstarted{at: s.now + attachTime, node: n, handle: ef.Handle})
			return
		}
		s.askedAgain[ef.Handle] = true
	}
	s.apply(n, n.core.Step(s.now, Ended{Handle: ef.Handle, End: end}))
}

// fence promises for the engine that it never runs a dispatch that was lost on
// the way.
func (s *session) fence(n *node, ef Fence) {
	s.logf(n, "fence the run of vm%d", ef.Record.Dispatcher)
	s.apply(n, n.core.Step(s.now, Ended{Handle: ef.Handle, End: Fenced}))
}

func (s *session) finish(n *node, ef Finish) {
	key := n.keys[ef.Handle]
	s.logf(n, "finish %s: %s, %s, again in %v", key, ef.Outcome, ef.Reason, ef.RetryAfter)
	s.seen = append(s.seen, history.Observation{Key: key, Attempt: s.attempts[ef.Handle], Outcome: ef.Outcome})
}

func (s *session) logf(n *node, format string, args ...any) {
	fmt.Fprintf(&s.out, "%v vm%d: %s\n", s.now, n.id, fmt.Sprintf(format, args...))
}

func explain(list []sched.Candidate) string {
	var parts []string
	for _, c := range list {
		parts = append(parts, fmt.Sprintf("%s %s", c.Endpoint, c.Reason))
	}
	return strings.Join(parts, ", ")
}
