package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/claim"
	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/core"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/sched"
	"github.com/chivefield/chivefield/schema"
)

// Slope is a quantity measured at several sizes.
type Slope struct {
	Name, Size, Unit string
	Sizes            []float64
	Values           []float64
}

// Fit returns the slope and the intercept of the least-squares line.
func (s *Slope) Fit() (slope, intercept float64) {
	n := float64(len(s.Sizes))
	var sx, sy, sxx, sxy float64
	for i, x := range s.Sizes {
		y := s.Values[i]
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// String returns a row of a Markdown table.
func (s *Slope) String() string {
	var cells []string
	for i, x := range s.Sizes {
		cells = append(cells, fmt.Sprintf("%g: %.4g", x, s.Values[i]))
	}
	slope, intercept := s.Fit()
	return fmt.Sprintf("| %s | %s | %s | %.4g %s | %.4g |", s.Name, s.Size, strings.Join(cells, ", "), slope, s.Unit, intercept)
}

// network connects cores without delay and counts the messages and bytes they send.
type network struct {
	now        time.Duration
	nodes      []*core.Node
	messages   int
	bytes      int
	batches    int
	lastHandle uint64
}

// newNetwork starts VMs of one failure domain with a configuration, runs them for two
// seconds so that they have joined, and resets the counts.
func newNetwork(vms, endpoints, cell int, noBackup bool) *network {
	nw := &network{}
	var list []claim.VM
	for i := range vms {
		list = append(list, claim.VM{ID: uint32(i + 1), Domain: "d"})
	}
	for i := range vms {
		nw.nodes = append(nw.nodes, core.New(core.Config{
			Claim: claim.Config{
				Self: list[i], Incarnation: uint64(i+1) << 32, VMs: list, CellSize: cell, Lease: time.Second,
				Retry: 50 * time.Millisecond, Timeout: 2 * time.Second, TTL: 15 * time.Minute, MaxRecords: 1 << 20, NoBackup: noBackup,
			},
			Sched:          sched.Config{MaxQueued: 10000},
			DigestInterval: 100 * time.Millisecond, ConfigPollInterval: 500 * time.Millisecond, RepublishInterval: time.Hour,
		}, 0))
	}
	rec := &schema.LogRecord{Body: &schema.LogRecord_Document{Document: sizedDocument(5, endpoints)}}
	for i := range nw.nodes {
		nw.step(i, core.LogRead{Next: 1, Records: []core.LogEntry{{Record: rec}}})
	}
	nw.runFor(2 * time.Second)
	nw.messages, nw.bytes, nw.batches = 0, 0, 0
	return nw
}

func (nw *network) step(i int, ev core.Event) {
	type delivery struct {
		from, to int
		m        *schema.Message
	}
	var queue []delivery
	collect := func(from int, effects []core.Effect) {
		for _, ef := range effects {
			switch ef := ef.(type) {
			case core.Send:
				queue = append(queue, delivery{from: from, to: int(ef.To) - 1, m: ef.Message})
			case core.Dispatch:
				queue = append(queue, delivery{from: from, to: -1})
				nw.lastHandle = ef.Handle
			}
		}
	}
	collect(i, nw.nodes[i].Step(nw.now, ev))
	for len(queue) > 0 {
		h := queue[0]
		queue = queue[1:]
		if h.to < 0 {
			collect(h.from, nw.nodes[h.from].Step(nw.now, core.Ended{Handle: nw.lastHandle, End: core.Complete, Tokens: 100}))
			continue
		}
		nw.messages++
		nw.bytes += proto.Size(h.m) + envelopeOverhead
		collect(h.to, nw.nodes[h.to].Step(nw.now, core.PeerMessage{From: uint32(h.from + 1), Incarnation: uint64(h.from+1) << 32, Message: h.m}))
	}
}

// envelopeOverhead is the size in bytes of a message's length prefix in its envelope.
const envelopeOverhead = 3

func (nw *network) runFor(d time.Duration) {
	for end := nw.now + d; nw.now < end; nw.now += tickInterval {
		for i := range nw.nodes {
			nw.step(i, core.Tick{})
		}
	}
}

// sendRequests sends perSecond requests per second to each VM for d.
func (nw *network) sendRequests(perSecond int, d time.Duration) {
	next := uint64(1)
	rules := nw.nodes[0].Rules()
	kind, _ := rules.Kind("k")
	every := time.Second / time.Duration(perSecond)
	due := nw.now
	for end := nw.now + d; nw.now < end; nw.now += tickInterval {
		for ; due <= nw.now; due += every {
			for i := range nw.nodes {
				next++
				spec := rules.Spec(rules.Document.Organisations[0], kind, fmt.Sprintf("%016x-%d", next, i))
				spec.Attempt, spec.Digest, spec.PromptTokens, spec.Deadline = request.FirstAttempt, 1, 500, nw.now+time.Minute
				nw.step(i, core.Arrive{Handle: next<<8 | uint64(i), Spec: spec})
			}
		}
		for i := range nw.nodes {
			nw.step(i, core.Tick{})
		}
	}
}

// sizedDocument returns a configuration with the given numbers of organisations and endpoints.
func sizedDocument(orgs, endpoints int) *schema.Document {
	d := &schema.Document{
		SchemaVersion: 1, Author: "slopes", RecordTtl: "15m", Tiers: []*schema.Tier{{Name: "t", FirstTokenTarget: "1.8s"}},
		Kinds:       []*schema.Kind{{Name: "k", Deadline: "1m", Model: "m", ExpectedOutput: 100}},
		Assignments: []*schema.Assignment{{Organisation: "*", Kind: "*"}},
	}
	for i := range orgs {
		d.Organisations = append(d.Organisations, &schema.Organisation{Name: fmt.Sprintf("organisation-%05d", i), KeySha256: fmt.Sprintf("%064x", i), Weight: 1})
	}
	for i := range endpoints {
		d.Endpoints = append(d.Endpoints, &schema.Endpoint{
			Name: fmt.Sprintf("engine-%05d", i), Address: "10.123.45.67:8000", FailureDomain: "d", Models: []string{"m"}, Slots: 64,
			PrefillPrice: 1, OutputPrice: 2, PrefillTokensPerS: 8000, OutputTokensPerS: 60, Generation: uint32(i % 4),
		})
	}
	return d
}

// cpuTime returns the CPU time used by this process, or 0 if it cannot be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureTime is the simulated time of one measurement.
const measureTime = 20 * time.Second

// Slopes measures all slopes of docs/CAPACITY.md.
func Slopes() []*Slope {
	var out []*Slope
	out = append(out, cellSlopes()...)
	out = append(out, requestSlopes(false)...)
	out = append(out, requestSlopes(true)...)
	out = append(out, endpointSlopes()...)
	out = append(out, recordSlope(), documentSlope(0), documentSlope(1), joinSlope())
	out = append(out, callSlopes()...)
	return out
}

// cellSlopes measures heartbeats and digests of an idle VM by the size of its cell.
func cellSlopes() []*Slope {
	msgs := &Slope{Name: "idle VM, messages a second", Size: "VMs in the cell", Unit: "messages/s a VM"}
	bytes := &Slope{Name: "idle VM, message bytes a second", Size: "VMs in the cell", Unit: "B/s a VM"}
	times := &Slope{Name: "idle VM, core time", Size: "VMs in the cell", Unit: "µs/s a VM"}
	for _, n := range []int{2, 4, 8, 16} {
		nw := newNetwork(n, 8, n, false)
		before := cpuTime()
		nw.runFor(measureTime)
		used := cpuTime() - before
		perVM := float64(n) * measureTime.Seconds()
		msgs.add(n, float64(nw.messages)/perVM)
		bytes.add(n, float64(nw.bytes)/perVM)
		times.add(n, float64(used.Microseconds())/perVM)
	}
	return []*Slope{msgs, bytes, times}
}

func (s *Slope) add(size int, v float64) {
	s.Sizes = append(s.Sizes, float64(size))
	s.Values = append(s.Values, v)
}

// requestSlopes measures claims, backups and updates by the request rate of a VM.
func requestSlopes(noBackup bool) []*Slope {
	backup := "with backup"
	if noBackup {
		backup = "without backup"
	}
	msgs := &Slope{Name: "claims " + backup + ", messages a second", Size: "requests/s a VM", Unit: "messages a request"}
	bytes := &Slope{Name: "claims " + backup + ", message bytes a second", Size: "requests/s a VM", Unit: "B a request"}
	times := &Slope{Name: "claims and decision " + backup + ", core time", Size: "requests/s a VM", Unit: "µs a request"}
	const vms = 4
	for _, r := range []int{5, 10, 20, 40} {
		nw := newNetwork(vms, 8, vms, noBackup)
		before := cpuTime()
		nw.sendRequests(r, measureTime)
		used := cpuTime() - before
		perVM := vms * measureTime.Seconds()
		msgs.add(r, float64(nw.messages)/perVM)
		bytes.add(r, float64(nw.bytes)/perVM)
		times.add(r, float64(used.Microseconds())/perVM)
	}
	return []*Slope{msgs, bytes, times}
}

// endpointSlopes measures decisions, memory and digests by the number of endpoints
// that a VM uses.
func endpointSlopes() []*Slope {
	decision := &Slope{Name: "one decision", Size: "endpoints a VM uses", Unit: "µs an endpoint"}
	memory := &Slope{Name: "memory of endpoints", Size: "endpoints a VM uses", Unit: "B an endpoint"}
	digest := &Slope{Name: "one digest, all endpoints in use", Size: "endpoints a VM uses", Unit: "B an endpoint"}
	for _, n := range []int{50, 100, 200, 400} {
		before := heapBytes()
		s := sched.New(sched.Config{MaxQueued: 10000})
		s.SetEndpoints(0, endpointList(n))
		memory.add(n, heapBytes()-before)
		const rounds = 2000
		start := time.Now()
		for i := range uint64(rounds) {
			s.Submit(0, i, request.Spec{Model: "m", PromptTokens: 500, OutputTokens: 100, Deadline: time.Minute, Weight: 1})
			s.Take()
			s.Done(0, i)
		}
		decision.add(n, float64(time.Since(start).Microseconds())/rounds)
		for i := range uint64(2 * n) {
			s.Submit(0, rounds+i, request.Spec{Model: "m", PromptTokens: 500, OutputTokens: 100, Deadline: time.Minute, Weight: 1})
			s.Take()
		}
		digest.add(n, float64(proto.Size(s.MakeDigest(0))))
		runtime.KeepAlive(s)
	}
	return []*Slope{decision, memory, digest}
}

func endpointList(n int) []sched.Endpoint {
	var list []sched.Endpoint
	for i := range n {
		list = append(list, sched.Endpoint{
			Name: fmt.Sprintf("engine-%05d", i), Models: []string{"m"}, Slots: 2,
			PrefillSpeed: 8000, OutputSpeed: 60, PrefillPrice: 1, OutputPrice: float64(1 + i%7),
		})
	}
	return list
}

// recordSlope measures the memory of a claim holder by the number of its records.
func recordSlope() *Slope {
	memory := &Slope{Name: "memory of claim records", Size: "records", Unit: "B a record"}
	for _, n := range []int{10000, 20000, 40000, 80000} {
		before := heapBytes()
		c := claim.New(claim.Config{
			Self: claim.VM{ID: 1, Domain: "d"}, Incarnation: 1, VMs: []claim.VM{{ID: 1, Domain: "d"}}, CellSize: 8,
			Lease: time.Second, Retry: time.Second, Timeout: time.Second, TTL: time.Hour, MaxRecords: 1 << 20,
		}, 0)
		c.SetFirstRun(0)
		for i := range uint64(n) {
			c.Acquire(0, i+1, claim.Request{
				Key: request.Key{Organisation: "organisation-00001", ID: fmt.Sprintf("%032x", i)}, Digest: 1,
				Attempt: request.FirstAttempt, Endpoint: "engine-00001", Stream: fmt.Sprintf("1-18ed83f4f08f65ad-%d-0", i),
			})
			c.RecordEnd(0, i+1, schema.RecordState_ANSWERED)
			c.Take()
		}
		memory.add(n, heapBytes()-before)
		runtime.KeepAlive(c)
	}
	return memory
}

// documentSlope measures the size of a configuration by the number of its
// organisations (dimension 0) or endpoints (dimension 1).
func documentSlope(dimension int) *Slope {
	s := &Slope{Name: "configuration document", Size: []string{"organisations", "endpoints"}[dimension], Unit: "B each"}
	for _, n := range []int{500, 1000, 2000, 4000} {
		d := sizedDocument(n, 10)
		if dimension == 1 {
			d = sizedDocument(10, n)
		}
		s.add(n, float64(proto.Size(d)))
	}
	return s
}

// joinSlope measures the bytes exchanged when a new incarnation joins a pair of VMs, by
// the number of records that the pair holds.
func joinSlope() *Slope {
	s := &Slope{Name: "handover to a new incarnation of a pair", Size: "records held by the pair", Unit: "B a record"}
	for _, n := range []int{500, 1000, 2000, 4000} {
		nw := newNetwork(2, 8, 2, false)
		nw.sendRequests(n/20, 10*time.Second)
		nw.messages, nw.bytes = 0, 0
		nw.nodes[0] = core.New(core.Config{
			Claim: claim.Config{
				Self: claim.VM{ID: 1, Domain: "d"}, Incarnation: 9 << 40, VMs: []claim.VM{{ID: 1, Domain: "d"}, {ID: 2, Domain: "d"}}, CellSize: 2,
				Lease: time.Second, Retry: 50 * time.Millisecond, Timeout: 2 * time.Second, TTL: 15 * time.Minute, MaxRecords: 1 << 20,
			},
			DigestInterval: time.Hour, ConfigPollInterval: time.Hour, RepublishInterval: time.Hour,
		}, nw.now)
		nw.runWithIncarnation(0, 9<<40, time.Second)
		s.add(n, float64(nw.bytes))
	}
	return s
}

// runWithIncarnation runs the network like runFor, with another incarnation of one VM,
// and counts bytes only.
func (nw *network) runWithIncarnation(vm int, inc uint64, d time.Duration) {
	var queue []core.Send
	senders := map[*schema.Message]int{}
	collect := func(i int, effects []core.Effect) {
		for _, ef := range effects {
			if s, ok := ef.(core.Send); ok {
				senders[s.Message] = i
				queue = append(queue, s)
			}
		}
	}
	for end := nw.now + d; nw.now < end; nw.now += tickInterval {
		for i := range nw.nodes {
			collect(i, nw.nodes[i].Step(nw.now, core.Tick{}))
		}
		for len(queue) > 0 {
			s := queue[0]
			queue = queue[1:]
			i := senders[s.Message]
			incarnation := uint64(i+1) << 32
			if i == vm {
				incarnation = inc
			}
			nw.bytes += proto.Size(s.Message) + envelopeOverhead
			collect(int(s.To)-1, nw.nodes[s.To-1].Step(nw.now, core.PeerMessage{From: uint32(i + 1), Incarnation: incarnation, Message: s.Message}))
		}
	}
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// echoService returns each envelope unchanged.
type echoService struct{}

// Exchange implements schema.PeerService.
func (echoService) Exchange(_ context.Context, e *schema.Envelope) (*schema.Envelope, error) {
	return e, nil
}

// callSlopes measures bytes and CPU time of one call between VMs, for both sides
// together, by the number of messages it carries each way.
func callSlopes() []*Slope {
	bytes := &Slope{Name: "one call over loopback, bytes both ways", Size: "messages each way", Unit: "B a message"}
	times := &Slope{Name: "one call over loopback, processor time of both sides", Size: "messages each way", Unit: "µs a message"}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil
	}
	server := &http.Server{Handler: schema.NewPeerServiceServer(echoService{}), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	var count atomic.Int64
	client := schema.NewPeerServiceProtobufClient("http://"+l.Addr().String(), &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return countingConn{Conn: c, bytes: &count}, err
		},
	}})
	claimMsg := &schema.Message{Body: &schema.Message_Claim{Claim: &schema.Claim{
		Call: 1 << 60, Organisation: "organisation-00001", Id: fmt.Sprintf("%032x", 1), BodyDigest: 1, Attempt: 1,
		Endpoint: "engine-00001", Stream: "1-18ed83f4f08f65ad-1234-0",
	}}}
	for _, n := range []int{1, 4, 16, 64} {
		env := &schema.Envelope{From: 1, Incarnation: 1 << 60}
		for range n {
			env.Messages = append(env.Messages, claimMsg)
		}
		const calls = 2000
		count.Store(0)
		before := cpuTime()
		for range calls {
			if _, err := client.Exchange(context.Background(), env); err != nil {
				return nil
			}
		}
		times.add(n, float64((cpuTime()-before).Microseconds())/calls)
		bytes.add(n, float64(count.Load())/calls)
	}
	return []*Slope{bytes, times}
}

// MeasureCheck measures how long it takes to check and compile a document of the
// given size. It also returns the encoded size in bytes.
func MeasureCheck(orgs, endpoints int) (time.Duration, int) {
	d := sizedDocument(orgs, endpoints)
	start := time.Now()
	config.Check(d)
	config.Compile(1, d)
	return time.Since(start), proto.Size(d)
}
