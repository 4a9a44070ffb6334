package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

// lateCell plays VMs of one failure domain whose messages arrive after a fixed
// delay.
type lateCell struct {
	nodes   []*Node
	delay   time.Duration
	now     time.Duration
	transit []lateMessage
	results map[uint64]Result
	// paused VMs neither tick nor receive; their messages wait.
	paused map[uint32]bool
	inbox  []lateMessage
	// copies counts the Duplicate messages sent.
	copies int
}

type lateMessage struct {
	at       time.Duration
	from, to uint32
	m        *schema.Message
}

const lateStep = 10 * time.Millisecond

func newLateCell(vms int, delay time.Duration) *lateCell {
	c := &lateCell{delay: delay, results: map[uint64]Result{}, paused: map[uint32]bool{}}
	var list []VM
	for i := range vms {
		list = append(list, VM{ID: uint32(i + 1), Domain: "a"})
	}
	for _, vm := range list {
		n := New(Config{
			Self: vm, Incarnation: uint64(vm.ID) << 30, VMs: list, CellSize: 8, Lease: 30 * time.Second,
			Retry: 50 * time.Millisecond, Timeout: 30 * time.Second, TTL: time.Hour, MaxRecords: 10000,
		}, 0)
		n.SetFirstRun(0)
		c.nodes = append(c.nodes, n)
	}
	return c
}

// run advances time by d, and delivers each message once it is due.
func (c *lateCell) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += lateStep {
		for len(c.transit) > 0 && c.transit[0].at <= c.now {
			p := c.transit[0]
			c.transit = c.transit[1:]
			if c.paused[p.to] {
				c.inbox = append(c.inbox, p)
				continue
			}
			c.nodes[p.to-1].Receive(c.now, p.from, uint64(p.from)<<30, p.m)
			c.collect(p.to)
		}
		for _, n := range c.nodes {
			if !c.paused[n.cfg.Self.ID] {
				n.Tick(c.now)
				c.collect(n.cfg.Self.ID)
			}
		}
	}
}

func (c *lateCell) pause(vm uint32) { c.paused[vm] = true }

// resume delivers what a paused VM has missed and lets it run again.
func (c *lateCell) resume(vm uint32) {
	delete(c.paused, vm)
	c.transit = append(c.inbox, c.transit...)
	c.inbox = nil
}

func (c *lateCell) collect(id uint32) {
	out := c.nodes[id-1].Take()
	for _, m := range out.Messages {
		if m.Message.GetDuplicate() != nil {
			c.copies++
		}
		c.transit = append(c.transit, lateMessage{at: c.now + c.delay, from: id, to: m.To, m: m.Message})
	}
	for _, r := range out.Results {
		c.results[r.ID] = r
	}
}

func (c *lateCell) claim(vm uint32, id uint64, key string) {
	c.nodes[vm-1].Acquire(c.now, id, Request{
		Intent: Run, Key: request.Key{Organisation: "o", ID: key}, Digest: 1, Attempt: 1, Arrived: c.now,
	})
	c.collect(vm)
}

// TestClaimIsGrantedWhenAcksAreLate guards against claims that are never
// granted because each copy is sent again, under a new number, before the ack of
// the one before it arrives.
func TestClaimIsGrantedWhenAcksAreLate(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, 40 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			is := is.New(t)
			c := newLateCell(2, delay)
			c.run(10*delay + time.Second)
			is.True(c.nodes[0].Stats().Active)
			for i := range uint64(20) {
				c.claim(uint32(1+i%2), i, string(rune('a'+i)))
			}
			// The claim and the copy, each with its answer.
			c.run(4*delay + 200*time.Millisecond)
			is.Equal(len(c.results), 20)
			for _, r := range c.results {
				is.Equal(r.Verdict, Granted)
			}
		})
	}
}

// TestLateAcksDoNotMultiplyCopies guards against copies that are sent again so
// often that they fill the queue of a late backup: the number of messages for
// the same claims grows by a few, not with the delay.
func TestLateAcksDoNotMultiplyCopies(t *testing.T) {
	is := is.New(t)
	count := func(delay time.Duration) int {
		c := newLateCell(2, delay)
		c.run(10*delay + time.Second)
		before := c.copies
		for i := range uint64(20) {
			c.claim(uint32(1+i%2), i, string(rune('a'+i)))
			c.run(lateStep)
		}
		c.run(4*delay + time.Second)
		return c.copies - before
	}
	near, far := count(20*time.Millisecond), count(2*time.Second)
	is.True(near > 0)
	is.True(far <= 8*near) // a hundred times the delay
}

// TestOrphansAreHandedOverWhenAcksAreLate guards against a backup that stands in
// for its holder without end because it sends the orphans again, under a new
// number, before their ack arrives.
func TestOrphansAreHandedOverWhenAcksAreLate(t *testing.T) {
	is := is.New(t)
	c := newLateCell(2, 200*time.Millisecond)
	c.run(5 * time.Second)
	c.pause(1)
	c.run(31 * time.Second)
	for i := range uint64(20) {
		c.claim(2, i, string(rune('a'+i)))
	}
	c.run(5 * time.Second)
	is.Equal(len(c.results), 20) // the backup stands in
	c.resume(1)
	c.run(3 * time.Second)
	is.Equal(c.nodes[1].peer(1).standingIn, false)
	is.Equal(c.nodes[0].peer(2).bypassed, false)
}
