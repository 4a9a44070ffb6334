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

// current is the product's policy: a core for each VM, with a network between.
type current struct {
	s      *sim
	nodes  []*core.Node
	down   []bool
	cutOff bool
	// handles maps a VM's handles to requests.
	handles []map[uint64]*arrival
	runs    []map[uint64]*run
	// waiting are attachments to a run that has not ended.
	waiting map[string][]attachment
	last    uint64
	log     []*schema.LogRecord
}

type attachment struct {
	vm     int
	handle uint64
}

func newCurrent(s *sim) *current {
	c := &current{s: s, waiting: map[string][]attachment{}}
	var vms []claim.VM
	for i, d := range s.sc.domains {
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
		c.handles = append(c.handles, map[uint64]*arrival{})
		c.runs = append(c.runs, map[uint64]*run{})
		c.down = append(c.down, false)
	}
	doc := document(s.sc)
	rec := &schema.LogRecord{AppendId: "load", Body: &schema.LogRecord_Document{Document: doc}}
	c.append(rec)
	return c
}

// append puts a record on the log, which every VM reads soon after.
func (c *current) append(rec *schema.LogRecord) {
	offset := uint64(len(c.log))
	c.log = append(c.log, rec)
	c.s.after(c.s.sc.netDelay, func() {
		for i := range c.nodes {
			c.step(i, core.LogRead{Next: offset + 1, Records: []core.LogEntry{{Offset: offset, Record: rec}}})
		}
	})
}

// document is the scenario's endpoints as a configuration.
func document(sc *Scenario) *schema.Document {
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

func (c *current) step(vm int, ev core.Event) {
	if c.down[vm] {
		return
	}
	for _, ef := range c.nodes[vm].Step(c.s.now, ev) {
		c.apply(vm, ef)
	}
}

func (c *current) apply(vm int, ef core.Effect) {
	switch ef := ef.(type) {
	case core.Send:
		c.send(vm, int(ef.To)-1, ef.Message)
	case core.Dispatch:
		r := &run{a: c.handles[vm][ef.Handle], vm: vm, handle: ef.Handle, endpoint: -1, stream: ef.Stream}
		if i, ok := c.s.byName[ef.Endpoint]; ok {
			r.endpoint = i
		}
		c.runs[vm][ef.Handle] = r
		c.s.dispatch(r)
	case core.Attach:
		c.attach(vm, ef)
	case core.Stop:
		r := c.runs[vm][ef.Handle]
		c.s.after(2*c.s.sc.netDelay, func() {
			if !r.ended {
				c.s.cancel(r)
				c.step(vm, core.Ended{Handle: ef.Handle, End: core.Stopped})
			}
		})
	case core.Append:
		c.append(ef.Record)
	case core.Finish:
		a := c.handles[vm][ef.Handle]
		delete(c.handles[vm], ef.Handle)
		delete(c.runs[vm], ef.Handle)
		c.s.finish(a, ef.Outcome)
	}
}

func (c *current) send(from, to int, m *schema.Message) {
	delay := c.s.sc.netDelay
	if c.s.sc.stale && m.GetDigest() != nil {
		delay = staleLag
	}
	c.s.report.Messages++
	c.s.after(delay, func() {
		if !c.down[from] && !c.parted(from, to) {
			c.step(to, core.PeerMessage{From: uint32(from + 1), Incarnation: uint64(from+1) << 32, Message: m})
		}
	})
}

func (c *current) parted(a, b int) bool {
	first := c.s.sc.domains[0]
	return c.cutOff && (c.s.sc.domains[a] == first) != (c.s.sc.domains[b] == first)
}

func (c *current) attach(vm int, ef core.Attach) {
	r := c.s.runs[ef.Record.Stream]
	switch {
	case r == nil || r.endpoint < 0 && c.down[r.vm]:
		c.s.after(c.s.sc.netDelay, func() { c.step(vm, core.Ended{Handle: ef.Handle, End: core.NotFound}) })
	case r.done:
		c.s.after(c.s.sc.netDelay, func() { c.step(vm, core.Ended{Handle: ef.Handle, End: core.Complete}) })
	default:
		c.waiting[r.stream] = append(c.waiting[r.stream], attachment{vm: vm, handle: ef.Handle})
	}
}

// Arrive implements Policy.
func (c *current) Arrive(now time.Duration, vm int, a *arrival, attempt int) {
	c.last++
	c.handles[vm][c.last] = a
	c.step(vm, core.Arrive{Handle: c.last, Spec: a.spec(now, request.Attempt(attempt))})
}

// FirstToken implements Policy.
func (c *current) FirstToken(_ time.Duration, r *run) {
	c.step(r.vm, core.FirstToken{Handle: r.handle})
}

// Progress implements Policy.
func (c *current) Progress(_ time.Duration, r *run, tokens int) {
	c.step(r.vm, core.Progress{Handle: r.handle, Tokens: tokens})
}

// Done implements Policy.
func (c *current) Done(_ time.Duration, r *run) {
	c.step(r.vm, core.Ended{Handle: r.handle, End: core.Complete, Tokens: r.a.output})
	for _, w := range c.waiting[r.stream] {
		c.step(w.vm, core.Ended{Handle: w.handle, End: core.Complete})
	}
	delete(c.waiting, r.stream)
}

// Every implements Policy.
func (c *current) Every(time.Duration) {
	for i := range c.nodes {
		c.step(i, core.Tick{})
	}
}

// Cache implements Policy.
func (c *current) Cache(_ time.Duration, endpoint string, ev engine.CacheEvent, gap bool) {
	for i := range c.nodes {
		if !gap {
			c.step(i, core.CacheEvents{Endpoint: endpoint, Stored: ev.Stored, Dropped: ev.Dropped})
		}
	}
}

// Kill implements Policy.
func (c *current) Kill(_ time.Duration, vm int) {
	c.down[vm] = true
	for i, d := range c.s.sc.domains {
		if i != vm && d == c.s.sc.domains[vm] {
			c.s.after(c.s.sc.netDelay, func() {
				c.step(i, core.PeerClosed{VM: uint32(vm + 1), Incarnation: uint64(vm+1) << 32})
			})
		}
	}
}

// Cut implements Policy.
func (c *current) Cut(_ time.Duration, on bool) { c.cutOff = on }
