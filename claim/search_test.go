package claim

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

// TestMain fixes the seed and the number of sequences, so that the result is
// the same on every run. CHIVEFIELD_SEARCH=random leaves both to the flags.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("CHIVEFIELD_SEARCH") != "random" {
		_ = flag.Set("rapid.seed", "20261202")
		_ = flag.Set("rapid.checks", "1500")
		_ = flag.Set("rapid.steps", "100")
		_ = flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}

const (
	testLease = 1000 * time.Millisecond
	testKeys  = 4
)

// packet is a message or a proof of death in transit.
type packet struct {
	from, to uint32
	inc      uint64
	m        *schema.Message
	closed   bool
}

// vmState is the state of one VM of the search and its process.
type vmState struct {
	node   *Node
	inc    uint64
	up     bool
	frozen bool
}

type keyState struct {
	attempts uint32
	ran      []string
	refused  []uint32 // attempts answered not_run
	ranAt    []uint32 // attempts that ran
}

type acquisitionRef struct {
	key     int
	attempt uint32
	vm      uint32
	inc     uint64
	fenced  bool
}

// pendingDispatch is a dispatch in transit to the endpoint, which may have been
// told never to run it.
type pendingDispatch struct {
	acquisition uint64
	stream      string
}

// world is a simulated deployment. Every action in it is drawn by rapid.
type world struct {
	vms               []VM
	state             map[uint32]*vmState
	now               time.Duration
	nextInc           uint64
	nextID            uint64
	inTransit         []packet
	partitioned       map[[2]uint32]bool
	keys              []*keyState
	acquisitions      map[uint64]acquisitionRef
	granted           []uint64
	pendingDispatches []pendingDispatch
	// settledStreams holds the streams that the endpoint has run or has promised
	// never to run.
	settledStreams map[string]bool
	weaken         func(*Node)
	// ignoresFencing makes the endpoint run streams that it promised never to
	// run.
	ignoresFencing bool
	stats          map[Verdict]int
}

func newWorld(layout []string) *world {
	w := &world{state: map[uint32]*vmState{}, partitioned: map[[2]uint32]bool{}, acquisitions: map[uint64]acquisitionRef{}, settledStreams: map[string]bool{}, stats: map[Verdict]int{}}
	for i, d := range layout {
		w.vms = append(w.vms, VM{ID: uint32(i + 1), Domain: d})
	}
	for range testKeys {
		w.keys = append(w.keys, &keyState{})
	}
	for _, vm := range w.vms {
		w.state[vm.ID] = &vmState{}
	}
	for _, vm := range w.vms {
		w.start(vm)
	}
	return w
}

func (w *world) start(vm VM) {
	w.nextInc += 1 << 20
	s := w.state[vm.ID]
	s.inc, s.up, s.frozen = w.nextInc, true, false
	s.node = New(Config{
		Self: vm, Incarnation: s.inc, VMs: w.vms, CellSize: 8,
		Lease: testLease, Retry: 100 * time.Millisecond, Timeout: 2 * time.Second,
		TTL: time.Hour, MaxRecords: 1000,
	}, w.now)
	if w.now == 0 {
		s.node.SetFirstRun(w.now)
	}
	for _, id := range s.node.CellPeers() {
		if !w.state[id].up && !w.isPartitioned(id, vm.ID) {
			s.node.PeerNotListening(w.now, id, 0)
		}
	}
}

func (w *world) isPartitioned(a, b uint32) bool { return w.partitioned[[2]uint32{a, b}] }

// collect processes a node's output: messages go in transit, grants are
// dispatched.
func (w *world) collect(t *rapid.T, id uint32) {
	s := w.state[id]
	if w.weaken != nil {
		w.weaken(s.node)
	}
	out := s.node.Take()
	for _, m := range out.Messages {
		if !w.isPartitioned(id, m.To) {
			w.inTransit = append(w.inTransit, packet{from: id, to: m.To, inc: s.inc, m: proto.Clone(m.Message).(*schema.Message)})
		}
	}
	for _, r := range out.Results {
		w.result(t, r)
	}
	if out.Fenced {
		w.kill(id)
	}
}

func (w *world) result(t *rapid.T, r Result) {
	w.stats[r.Verdict]++
	ref := w.acquisitions[r.ID]
	k := w.keys[ref.key]
	switch r.Verdict {
	case Granted:
		if rapid.IntRange(0, 7).Draw(t, "give back") == 0 {
			w.state[ref.vm].node.NotDispatched(w.now, r.ID)
			return
		}
		w.pendingDispatches = append(w.pendingDispatches, pendingDispatch{acquisition: r.ID, stream: fmt.Sprint("s", r.ID)})
		if rapid.Bool().Draw(t, "slow way") {
			w.arrive(len(w.pendingDispatches) - 1)
		}
	case Held:
		w.fence(t, r)
	case Absent:
		// As in core, the request proceeds after its predecessor is fenced.
		if s := w.state[ref.vm]; s.up && !s.frozen && ref.fenced {
			w.send(t, ref.vm, ref.key, false, Run)
		}
	case NotRun:
		k.refused = append(k.refused, ref.attempt)
	}
	w.check(t)
}

func (w *world) check(t *rapid.T) {
	for i, k := range w.keys {
		if len(k.ran) > 1 {
			t.Fatalf("at-most-once: key %d ran %v", i, k.ran)
		}
		for _, a := range k.refused {
			if slices.Contains(k.ranAt, a) {
				t.Fatalf("not-run: key %d attempt %d was refused and ran", i, a)
			}
		}
	}
}

// arrive delivers a dispatch to the endpoint, which runs it unless it is
// fenced.
func (w *world) arrive(i int) {
	d := w.pendingDispatches[i]
	w.pendingDispatches = slices.Delete(w.pendingDispatches, i, i+1)
	if w.settledStreams[d.stream] {
		return
	}
	w.settledStreams[d.stream] = true
	ref := w.acquisitions[d.acquisition]
	k := w.keys[ref.key]
	k.ran = append(k.ran, fmt.Sprintf("vm%d attempt %d at %v", ref.vm, ref.attempt, w.now))
	k.ranAt = append(k.ranAt, ref.attempt)
	w.granted = append(w.granted, d.acquisition)
}

// fence makes the endpoint promise never to run a stream that it has not
// received, and releases the stream's claim. A VM may do so at any time after
// finding the claim.
func (w *world) fence(t *rapid.T, r Result) {
	ref := w.acquisitions[r.ID]
	if r.Record.State != schema.RecordState_CLAIMED || w.settledStreams[r.Record.Stream] || !rapid.Bool().Draw(t, "fence") {
		return
	}
	w.settledStreams[r.Record.Stream] = !w.ignoresFencing
	w.nextID++
	ref.fenced = true
	w.acquisitions[w.nextID] = ref
	w.state[ref.vm].node.ReleaseFenced(w.now, w.nextID, r.Record, r.Domain)
}

func (w *world) kill(id uint32) {
	s := w.state[id]
	if !s.up {
		return
	}
	s.up = false
	w.inTransit = slices.DeleteFunc(w.inTransit, func(p packet) bool { return p.to == id && !p.closed })
	for _, peer := range s.node.CellPeers() {
		if !w.isPartitioned(id, peer) {
			w.inTransit = append(w.inTransit, packet{from: id, to: peer, inc: s.inc, closed: true})
		}
	}
}

func (w *world) deliver(t *rapid.T, i int, keep bool) {
	p := w.inTransit[i]
	s := w.state[p.to]
	if s.frozen {
		return
	}
	if !keep || p.closed {
		w.inTransit = append(w.inTransit[:i:i], w.inTransit[i+1:]...)
	}
	if !s.up || w.isPartitioned(p.from, p.to) {
		return
	}
	if p.closed {
		s.node.PeerClosed(w.now, p.from, p.inc)
	} else {
		s.node.Receive(w.now, p.from, p.inc, p.m)
	}
	w.collect(t, p.to)
}

// tick advances time at every VM that is running.
func (w *world) tick(t *rapid.T, d time.Duration) {
	w.now += d
	for _, vm := range w.vms {
		if s := w.state[vm.ID]; s.up && !s.frozen {
			s.node.Tick(w.now)
			w.collect(t, vm.ID)
		}
	}
}

// settle runs the network for a while without introducing faults.
func (w *world) settle(t *rapid.T, rounds int) {
	for range rounds {
		for n := len(w.inTransit); n > 0 && len(w.inTransit) > 0; n-- {
			w.deliver(t, 0, false)
		}
		w.tick(t, 50*time.Millisecond)
	}
}

func (w *world) send(t *rapid.T, id uint32, key int, undeclared bool, intent Intent) {
	k := w.keys[key]
	k.attempts++
	attempt, mayBeRetry := k.attempts, k.attempts > 1
	if undeclared && k.attempts > 1 {
		attempt = 0
	}
	if !mayBeRetry {
		intent = Run
	}
	w.nextID++
	// For the checker, an undeclared attempt gets a number of its own.
	w.acquisitions[w.nextID] = acquisitionRef{key: key, attempt: k.attempts, vm: id, inc: w.state[id].inc}
	w.state[id].node.Acquire(w.now, w.nextID, Request{
		Intent: intent, Key: request.Key{Organisation: "org", ID: fmt.Sprint("k", key)}, Digest: 1,
		Attempt: request.Attempt(attempt), MayBeRetry: mayBeRetry, Arrived: w.now, Endpoint: "e", Stream: fmt.Sprint("s", w.nextID),
	})
	w.collect(t, id)
}

// search runs random sequences of failures against a deployment.
func search(t *rapid.T, layout []string, setUp func(*world)) *world {
	w := newWorld(layout)
	setUp(w)
	w.settle(t, 30)
	pickVM := func(t *rapid.T) uint32 { return rapid.SampledFrom(w.vms).Draw(t, "vm").ID }
	request := func(t *rapid.T) {
		id := pickVM(t)
		if s := w.state[id]; !s.up || s.frozen {
			return
		}
		w.send(t, id, rapid.IntRange(0, testKeys-1).Draw(t, "key"), rapid.Bool().Draw(t, "undeclared"),
			rapid.SampledFrom([]Intent{Run, Run, Run, Refuse, Find}).Draw(t, "intent"))
	}
	t.Repeat(map[string]func(*rapid.T){
		"request": request, "request too": request, "request also": request,
		"deliver": func(t *rapid.T) {
			if len(w.inTransit) > 0 {
				w.deliver(t, rapid.IntRange(0, len(w.inTransit)-1).Draw(t, "packet"), rapid.IntRange(0, 5).Draw(t, "twice") == 0)
			}
		},
		"network":    func(t *rapid.T) { w.settle(t, rapid.IntRange(1, 8).Draw(t, "rounds")) },
		"long quiet": func(t *rapid.T) { w.settle(t, 30) },
		"lose": func(t *rapid.T) {
			if len(w.inTransit) > 0 {
				i := rapid.IntRange(0, len(w.inTransit)-1).Draw(t, "packet")
				w.inTransit = append(w.inTransit[:i:i], w.inTransit[i+1:]...)
			}
		},
		"pause": func(t *rapid.T) { w.tick(t, time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond) },
		"kill":  func(t *rapid.T) { w.kill(pickVM(t)) },
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")
			if !w.state[w.vms[i].ID].up {
				w.start(w.vms[i])
				w.collect(t, w.vms[i].ID)
			}
		},
		"freeze": func(t *rapid.T) { w.state[pickVM(t)].frozen = true },
		"thaw": func(t *rapid.T) {
			for _, s := range w.state {
				s.frozen = false
			}
		},
		"leave": func(t *rapid.T) {
			if s := w.state[pickVM(t)]; s.up && !s.frozen {
				s.node.Leave(w.now)
			}
		},
		"gone": func(t *rapid.T) {
			peer, at := pickVM(t), pickVM(t)
			if s := w.state[at]; peer != at && s.up && !s.frozen && !w.state[peer].up {
				s.node.PeerRemoved(w.now, peer)
				w.collect(t, at)
			}
		},
		"refused": func(t *rapid.T) {
			peer, at := pickVM(t), pickVM(t)
			if s := w.state[at]; s.up && !s.frozen && !w.state[peer].up && !w.isPartitioned(peer, at) {
				s.node.PeerNotListening(w.now, peer, s.node.Incarnation(peer))
				w.collect(t, at)
			}
		},
		"cut": func(t *rapid.T) {
			a, b := pickVM(t), pickVM(t)
			w.partitioned[[2]uint32{a, b}] = true
			if rapid.Bool().Draw(t, "both ways") {
				w.partitioned[[2]uint32{b, a}] = true
			}
		},
		"arrive": func(t *rapid.T) {
			if len(w.pendingDispatches) > 0 {
				w.arrive(rapid.IntRange(0, len(w.pendingDispatches)-1).Draw(t, "dispatch"))
				w.check(t)
			}
		},
		"heal": func(t *rapid.T) { clear(w.partitioned) },
		"end": func(t *rapid.T) {
			if len(w.granted) == 0 {
				return
			}
			id := w.granted[0]
			w.granted = w.granted[1:]
			ref := w.acquisitions[id]
			if s := w.state[ref.vm]; s.up && !s.frozen && s.inc == ref.inc {
				s.node.RecordEnd(w.now, id, schema.RecordState_ANSWERED)
				w.collect(t, ref.vm)
			}
		},
	})
	return w
}

// layouts lists the deployments searched: a pair, a cell of three, two domains.
var layouts = map[string][]string{
	"pair":        {"a", "a"},
	"three":       {"a", "a", "a"},
	"two domains": {"a", "a", "b", "b"},
}

// TestSearch checks that no key runs twice, or runs after its attempt was
// refused, while VMs are killed, restarted, frozen and partitioned and messages
// are lost, duplicated, delayed and reordered. A failure is a fault of the
// claim protocol.
func TestSearch(t *testing.T) {
	for name, layout := range layouts {
		t.Run(name, func(t *testing.T) {
			total := map[Verdict]int{}
			rapid.Check(t, func(t *rapid.T) {
				for v, c := range search(t, layout, func(*world) {}).stats {
					total[v] += c
				}
			})
			t.Logf("granted %d, held %d, not run %d, unknown %d", total[Granted], total[Held], total[NotRun], total[Unknown])
		})
	}
}

// TestControls checks that the search detects faults; otherwise its passing
// would prove nothing. Each control removes one safeguard of the protocol, and
// the search must find a failure.
func TestControls(t *testing.T) {
	controls := map[string]struct {
		layout string
		naive  func(*Node)
	}{
		"claims without a copy": {"pair", func(n *Node) { n.cfg.NoBackup = true }},
		"every death is clean":  {"pair", func(n *Node) { n.lost = nil }},
		"silence is death": {"pair", func(n *Node) {
			for _, p := range n.peers {
				if p.member && n.now >= p.lastReceived+n.cfg.Lease {
					p.member = false
				}
			}
		}},
		"a silent backup is no backup": {"pair", func(n *Node) {
			for _, p := range n.peers {
				p.member = p.member && !p.bypassed
			}
		}},
		"joins at once": {"three", func(n *Node) {
			if n.phase != leaving {
				n.phase = active
			}
		}},
		"asks its own domain only": {"two domains", func(n *Node) { n.domains = []string{n.cfg.Self.Domain} }},
	}
	for name, c := range controls {
		t.Run(name, func(t *testing.T) {
			if !findsFault(t, func(t *rapid.T) { search(t, layouts[c.layout], func(w *world) { w.weaken = c.naive }) }) {
				t.Fatal("search did not detect the removed safeguard")
			}
		})
	}
}

// TestControlFencing checks that the search finds a failure if claims are
// released on the promise of an endpoint that breaks it, as engines that ignore
// fencing do. This is why only endpoints configured to check fencing are asked.
func TestControlFencing(t *testing.T) {
	if !findsFault(t, func(t *rapid.T) { search(t, layouts["pair"], func(w *world) { w.ignoresFencing = true }) }) {
		t.Fatal("search did not detect an endpoint that runs fenced streams")
	}
}

// quietTB records the failure of a property instead of reporting it.
type quietTB struct {
	*testing.T
	failed bool
}

func (q *quietTB) Errorf(f string, a ...any) { q.failed = true; q.T.Logf(f, a...) }
func (q *quietTB) Fatalf(string, ...any)     { q.failed = true; panic(q) }
func (q *quietTB) FailNow()                  { q.failed = true; panic(q) }
func (q *quietTB) Fail()                     { q.failed = true }
func (q *quietTB) Failed() bool              { return q.failed }
func (q *quietTB) Logf(string, ...any)       {}
func (q *quietTB) Log(...any)                {}

// findsFault reports whether a property fails, without failing the test.
func findsFault(t *testing.T, prop func(*rapid.T)) (found bool) {
	_ = flag.Set("rapid.shrinktime", "0s")
	q := &quietTB{T: t}
	defer func() {
		if r := recover(); r != nil && r != any(q) {
			panic(r)
		}
		found = q.failed
	}()
	rapid.Check(q, prop)
	return
}
