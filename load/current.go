package load

import (
	"fmt"
	"time"

	"github.com/chivefield/chivefield/claim"
	"github.com/chivefield/chivefield/core"
	"github.com/chivefield/chivefield/engine"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/sched"
	"github.com/chivefield/chivefield/schema"
)

// corePolicy is the policy of the scheduler itself: one core.Node per VM, connected
// by a simulated network.
type corePolicy struct {
	s           *sim
	nodes       []*core.Node
	down        []bool
	partitioned bool
	// arrivals and runs map handles to requests and runs, by VM.
	arrivals []map[uint64]*arrival
	runs     []map[uint64]*run
	// attachments holds the attachments to runs that have not ended, by stream.
	attachments map[string][]attachment
	lastHandle  uint64
	logRecords  []*schema.LogRecord
}

type attachment struct {
	vm     int
	handle uint64
}

func newCorePolicy(s *sim) *corePolicy {
	c := &corePolicy{s: s, attachments: map[string][]attachment{}}
	var vms []claim.VM
	for i, d := range s.scenario.domains {
		vms = append(vms, claim.VM{ID: uint32(i + 1), Domain: d})
	}
	for i := range vms {
		c.nodes = append(c.nodes, core.New(core.Config{
			Claim: claim.Config{
				Self: vms[i], Incarnation: uint64(i+1) << 32, VMs: vms, CellSize: 8, Lease: time.Second,
				Retry: 50 * time.Millisecond, Timeout: 2 * time.Second, TTL: 15 * time.Minute, MaxRecords: 200000,
			},
			Sched:          sched.Config{MaxQueued: 10000},
			DigestInterval: 100 * time.Millisecond, ConfigPollInterval: 500 * time.Millisecond, RepublishInterval: time.Hour,
		}, 0))
		c.arrivals = append(c.arrivals, map[uint64]*arrival{})
		c.runs = append(c.runs, map[uint64]*run{})
		c.down = append(c.down, false)
	}
	doc := scenarioDocument(s.scenario)
	rec := &schema.LogRecord{AppendId: "load", Body: &schema.LogRecord_Document{Document: doc}}
	c.append(rec)
	return c
}

// append adds a record to the log. All VMs read it after the network delay.
func (c *corePolicy) append(rec *schema.LogRecord) {
	offset := uint64(len(c.logRecords))
	c.logRecords = append(c.logRecords, rec)
	c.s.schedule(c.s.scenario.netDelay, func() {
		for i := range c.nodes {
			c.step(i, core.LogRead{Next: offset + 1, Records: []core.LogEntry{{Offset: offset, Record: rec}}})
		}
	})
}

// scenarioDocument returns a configuration with the scenario's request kinds and endpoints.
func scenarioDocument(sc *Scenario) *schema.Document {
	d := &schema.Document{SchemaVersion: 1, Author: "load", RecordTtl: "15m"}
	for i := range 4 {
		d.Tiers = append(d.Tiers, &schema.Tier{Number: uint32(i), Name: fmt.Sprint(i)})
	}
	d.Organisations = []*schema.Organisation{{Name: "o", KeySha256: fmt.Sprintf("%064d", 0)}}
	for _, k := range sc.kinds {
		sk := &schema.Kind{Name: k.name, Deadline: k.deadline.String(), Model: "m", ExpectedOutput: uint32(max(1, k.output))}
		if k.plain {
			sk.Model, sk.Path = "", "/"+k.name
		}
		d.Kinds = append(d.Kinds, sk)
	}
	d.Assignments = []*schema.Assignment{{Organisation: "*", Kind: "*"}}
	for _, e := range sc.endpoints() {
		d.Endpoints = append(d.Endpoints, &schema.Endpoint{
			Name: e.Name, Address: "x", FailureDomain: "x", Models: e.Models, Kinds: e.Kinds, Slots: uint32(e.Slots),
			PrefillPrice: e.PrefillPrice, OutputPrice: e.OutputPrice, PrefillTokensPerS: e.PrefillSpeed, OutputTokensPerS: e.OutputSpeed,
		})
	}
	return d
}

func (c *corePolicy) step(vm int, ev core.Event) {
	if c.down[vm] {
		return
	}
	for _, ef := range c.nodes[vm].Step(c.s.now, ev) {
		c.applyEffect(vm, ef)
	}
}

func (c *corePolicy) applyEffect(vm int, ef core.Effect) {
	switch ef := ef.(type) {
	case core.Send:
		c.send(vm, int(ef.To)-1, ef.Message)
	case core.Dispatch:
		r := &run{a: c.arrivals[vm][ef.Handle], vm: vm, handle: ef.Handle, endpoint: -1, stream: ef.Stream}
		if i, ok := c.s.engineByName[ef.Endpoint]; ok {
			r.endpoint = i
		}
		c.runs[vm][ef.Handle] = r
		c.s.dispatch(r)
	case core.Attach:
		c.attach(vm, ef)
	case core.Stop:
		r := c.runs[vm][ef.Handle]
		c.s.schedule(2*c.s.scenario.netDelay, func() {
			if !r.ended {
				c.s.cancel(r)
				c.step(vm, core.Ended{Handle: ef.Handle, End: core.Stopped})
			}
		})
	case core.Append:
		c.append(ef.Record)
	case core.Finish:
		a := c.arrivals[vm][ef.Handle]
		delete(c.arrivals[vm], ef.Handle)
		delete(c.runs[vm], ef.Handle)
		c.s.recordOutcome(a, ef.Outcome)
	}
}

func (c *corePolicy) send(from, to int, m *schema.Message) {
	delay := c.s.scenario.netDelay
	if c.s.scenario.staleDigests && m.GetDigest() != nil {
		delay = staleDigestLag
	}
	c.s.report.Messages++
	c.s.schedule(delay, func() {
		if !c.down[from] && !c.isPartitioned(from, to) {
			c.step(to, core.PeerMessage{From: uint32(from + 1), Incarnation: uint64(from+1) << 32, Message: m})
		}
	})
}

func (c *corePolicy) isPartitioned(a, b int) bool {
	first := c.s.scenario.domains[0]
	return c.partitioned && (c.s.scenario.domains[a] == first) != (c.s.scenario.domains[b] == first)
}

func (c *corePolicy) attach(vm int, ef core.Attach) {
	r := c.s.runs[ef.Record.Stream]
	switch {
	case r == nil || r.endpoint < 0 && c.down[r.vm]:
		c.s.schedule(c.s.scenario.netDelay, func() { c.step(vm, core.Ended{Handle: ef.Handle, End: core.NotFound}) })
	case r.done:
		c.s.schedule(c.s.scenario.netDelay, func() { c.step(vm, core.Ended{Handle: ef.Handle, End: core.Complete}) })
	default:
		c.attachments[r.stream] = append(c.attachments[r.stream], attachment{vm: vm, handle: ef.Handle})
	}
}

// Arrive implements Policy.
func (c *corePolicy) Arrive(now time.Duration, vm int, a *arrival, attempt int) {
	c.lastHandle++
	c.arrivals[vm][c.lastHandle] = a
	c.step(vm, core.Arrive{Handle: c.lastHandle, Spec: a.spec(now, request.Attempt(attempt))})
}

// FirstToken implements Policy.
func (c *corePolicy) FirstToken(_ time.Duration, r *run) {
	c.step(r.vm, core.FirstToken{Handle: r.handle})
}

// Progress implements Policy.
func (c *corePolicy) Progress(_ time.Duration, r *run, tokens int) {
	c.step(r.vm, core.Progress{Handle: r.handle, Tokens: tokens})
}

// Done implements Policy.
func (c *corePolicy) Done(_ time.Duration, r *run) {
	c.step(r.vm, core.Ended{Handle: r.handle, End: core.Complete, Tokens: r.a.output})
	for _, att := range c.attachments[r.stream] {
		c.step(att.vm, core.Ended{Handle: att.handle, End: core.Complete})
	}
	delete(c.attachments, r.stream)
}

// Tick implements Policy.
func (c *corePolicy) Tick(time.Duration) {
	for i := range c.nodes {
		c.step(i, core.Tick{})
	}
}

// CacheEvent implements Policy.
func (c *corePolicy) CacheEvent(_ time.Duration, endpoint string, ev engine.CacheEvent, gap bool) {
	for i := range c.nodes {
		if !gap {
			c.step(i, core.CacheEvents{Endpoint: endpoint, Stored: ev.Stored, Dropped: ev.Dropped})
		}
	}
}

// KillVM implements Policy.
func (c *corePolicy) KillVM(_ time.Duration, vm int) {
	c.down[vm] = true
	for i, d := range c.s.scenario.domains {
		if i != vm && d == c.s.scenario.domains[vm] {
			c.s.schedule(c.s.scenario.netDelay, func() {
				c.step(i, core.PeerClosed{VM: uint32(vm + 1), Incarnation: uint64(vm+1) << 32})
			})
		}
	}
}

// SetPartition implements Policy.
func (c *corePolicy) SetPartition(_ time.Duration, on bool) { c.partitioned = on }
