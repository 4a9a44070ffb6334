package entry

import (
	"net"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/schema"
)

const (
	// guestSettle is how old a decision must be before a note that does not name it
	// counts: notes may have left before the decision came.
	guestSettle = 300 * time.Millisecond
	// guestSilence is after how long without a note another VM's requests are
	// dropped: it is dead or cut off, and places for itself.
	guestSilence = 1500 * time.Millisecond
)

// guests are the requests of other VMs that this one places. A lost datagram is made
// up for by the notes, which name all requests: what the other VM does not name is
// over, what it waits for is told again.
type guests struct {
	d *Daemon

	mu   sync.Mutex
	jobs map[uint64]*guest
	// heard is when each VM that asks spoke last, by its address.
	heard map[string]time.Duration
}

type guest struct {
	from    *net.UDPAddr
	service string
	since   time.Duration
	// decision is nil while the request waits.
	decision *schema.PlaceDecision
}

func newGuests(d *Daemon) *guests {
	return &guests{d: d, jobs: make(map[uint64]*guest), heard: make(map[string]time.Duration)}
}

// willing says whether this VM places requests for others.
func (g *guests) willing() bool { return g.d.ready() && g.d.now() > willingAfter }

// take takes in what another VM asks, and how its requests go.
func (g *guests) take(n *schema.PeerNote, from *net.UDPAddr) {
	for _, m := range n.PlaceAsks {
		g.ask(m, from)
	}
	for _, m := range n.Progress {
		g.progress(m)
	}
	if n.Loads && n.Placer == g.d.set.Listen.Peers {
		g.reconcile(n, from)
	}
}

// ask queues one request and answers.
func (g *guests) ask(m *schema.PlaceAsk, from *net.UDPAddr) {
	if !g.willing() {
		g.reply(from, &schema.PlaceDecision{Handle: m.Handle})
		return
	}
	g.mu.Lock()
	known := g.jobs[m.Handle]
	if known == nil {
		g.jobs[m.Handle] = &guest{from: from, service: m.Service, since: g.d.now()}
		g.heard[from.String()] = g.d.now()
	}
	g.mu.Unlock()
	if known != nil {
		g.answer(m.Handle, from)
		return
	}
	g.d.sched.submit(g.job(m))
	if g.waits(m.Handle) {
		g.reply(from, &schema.PlaceDecision{Handle: m.Handle, Verdict: schema.PlaceDecision_QUEUED})
	}
}

// waits says whether a request has no decision yet.
func (g *guests) waits(handle uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	job := g.jobs[handle]
	return job != nil && job.decision == nil
}

// answer says again what is known of a request.
func (g *guests) answer(handle uint64, to *net.UDPAddr) {
	g.mu.Lock()
	job := g.jobs[handle]
	reply := &schema.PlaceDecision{Handle: handle, Verdict: schema.PlaceDecision_QUEUED}
	switch {
	case job == nil:
		reply.Verdict = schema.PlaceDecision_UNKNOWN
	case job.decision != nil:
		reply = job.decision
	}
	g.mu.Unlock()
	g.reply(to, reply)
}

func (g *guests) reply(to *net.UDPAddr, m *schema.PlaceDecision) {
	g.d.peers.send(&schema.PeerNote{PlaceDecisions: []*schema.PlaceDecision{m}}, to)
}

// decided passes a decision on to the VM that asked. It reports false if the request
// is nobody's.
func (g *guests) decided(dec dispatch.Decision) bool {
	g.mu.Lock()
	job := g.jobs[dec.Handle]
	if job == nil {
		g.mu.Unlock()
		return false
	}
	m := &schema.PlaceDecision{
		Handle: dec.Handle, Verdict: schema.PlaceDecision_REFUSED, Reason: dec.Reason, RetryAfterUs: uint64(dec.RetryAfter.Microseconds()),
		PredictedUs: uint64(dec.Predicted.Microseconds()), Candidates: uint32(dec.Candidates), Waiting: uint32(dec.Waiting),
		Running: uint32(dec.Load.Running), PromptTokens: uint32(dec.Load.PromptTokens), EventGapUs: uint64(dec.Load.Gap.Microseconds()),
	}
	if dec.Endpoint != nil {
		m.Verdict, m.Endpoint = schema.PlaceDecision_PLACED, dispatch.NameOf(dec.Endpoint.ID)
	}
	// A refusal is kept until the other VM no longer names the request, to be told again.
	job.decision, job.since = m, g.d.now()
	g.mu.Unlock()
	g.reply(job.from, m)
	return true
}

// progress takes in how a request goes.
func (g *guests) progress(m *schema.RunProgress) {
	if m.Started {
		g.d.sched.events(m.Handle, 1)
	}
	if m.Ended {
		g.drop(m.Handle, dispatch.Outcome(m.Outcome))
	}
}

// drop ends a request, whether it waits or runs.
func (g *guests) drop(handle uint64, o dispatch.Outcome) {
	g.mu.Lock()
	job := g.jobs[handle]
	delete(g.jobs, handle)
	g.mu.Unlock()
	if job != nil {
		g.d.sched.withdraw(job.service, handle, o)
	}
}

// reconcile compares what another VM names with what is known of its requests.
func (g *guests) reconcile(n *schema.PeerNote, from *net.UDPAddr) {
	named := make(map[uint64]bool, len(n.Placed)+len(n.Waiting))
	for _, h := range n.Placed {
		named[h] = true
	}
	now := g.d.now()
	var again, over []uint64
	g.mu.Lock()
	g.heard[from.String()] = now
	for _, h := range n.Waiting {
		named[h] = true
		if job := g.jobs[h]; job == nil || job.decision != nil {
			again = append(again, h)
		}
	}
	for h, job := range g.jobs {
		if !named[h] && now-job.since > guestSettle && job.from.String() == from.String() {
			over = append(over, h)
		}
	}
	g.mu.Unlock()
	for _, h := range again {
		g.answer(h, from)
	}
	for _, h := range over {
		g.drop(h, dispatch.Left)
	}
}

// sweep drops the requests of VMs that have fallen silent.
func (g *guests) sweep() {
	now := g.d.now()
	var over []uint64
	g.mu.Lock()
	for address, at := range g.heard {
		if now-at < guestSilence {
			continue
		}
		delete(g.heard, address)
		for h, job := range g.jobs {
			if job.from.String() == address {
				over = append(over, h)
			}
		}
	}
	g.mu.Unlock()
	for _, h := range over {
		g.drop(h, dispatch.Left)
	}
}

// members are the VMs that ask this one.
func (g *guests) members() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]string, 0, len(g.heard))
	for a := range g.heard {
		list = append(list, a)
	}
	return list
}

// job is the request as this VM's scheduler sees it.
func (g *guests) job(m *schema.PlaceAsk) dispatch.Job {
	now := g.d.now()
	j := dispatch.Job{
		Handle: m.Handle, Service: m.Service, Tier: int(m.Tier), Prompt: int(m.Prompt), Events: int(m.Events),
		Objective: now + time.Duration(m.ObjectiveUs)*time.Microsecond, Abandon: now + time.Duration(m.AbandonUs)*time.Microsecond,
		MaxPause: micros(m.MaxPauseUs), Tried: m.Tried, Avoided: m.Avoided, Remote: true, Domain: m.FailureDomain,
	}
	if m.LimitUs != 0 {
		j.Limit = now + time.Duration(m.LimitUs)*time.Microsecond
	}
	return j
}
