package entry

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/schema"
)

const (
	// decisionSettle is how old a decision must be before a note that does not name it
	// counts: notes may have left before the decision came.
	decisionSettle = 300 * time.Millisecond
	// askerSilence is after how long without a note another VM's requests are
	// dropped: it is dead or cut off, and places for itself.
	askerSilence = 1500 * time.Millisecond
)

// remoteJobs are the requests of other VMs that this one places. A lost datagram is made
// up for by the notes, which name all requests: what the other VM does not name is
// over, what it waits for is told again.
type remoteJobs struct {
	d *Daemon

	mu   sync.Mutex
	jobs map[uint64]*remoteJob
	// askers are the VMs that ask, by their address.
	askers map[string]*asker
}

// asker is a VM that asks this one. Its requests are kept by VM: each note is compared
// with what is known of the one's requests, not of all.
type asker struct {
	// heard is when it spoke last.
	heard time.Duration
	jobs  map[uint64]*remoteJob
}

type remoteJob struct {
	from    *net.UDPAddr
	asker   *asker
	service string
	since   time.Duration
	// decision is nil while the request waits.
	decision *schema.PlaceDecision
}

func newRemoteJobs(d *Daemon) *remoteJobs {
	return &remoteJobs{d: d, jobs: make(map[uint64]*remoteJob), askers: make(map[string]*asker)}
}

// willing says whether this VM places requests for others.
func (r *remoteJobs) willing() bool { return r.d.ready() && r.d.peers.eligible.Load() }

// take takes in what another VM asks, and how its requests go.
func (r *remoteJobs) take(n *schema.PeerNote, from *net.UDPAddr) {
	for _, m := range n.PlaceAsks {
		r.ask(m, from)
	}
	for _, m := range n.Progress {
		r.progress(m)
	}
	if n.Loads && n.Placer == r.d.set.Listen.Peers {
		r.reconcile(n, from)
	}
}

// ask queues one request and answers.
func (r *remoteJobs) ask(m *schema.PlaceAsk, from *net.UDPAddr) {
	if !r.willing() {
		r.reply(from, &schema.PlaceDecision{Handle: m.Handle})
		return
	}
	j := r.job(m)
	view := r.d.suspects.status(j.Request)
	if view.Convicted() {
		r.reply(from, &schema.PlaceDecision{Handle: m.Handle, Verdict: schema.PlaceDecision_REFUSED, Reason: reasonEndsEndpoints})
		return
	}
	j.Suspicion = max(j.Suspicion, suspicionFor(view))
	r.mu.Lock()
	known := r.jobs[m.Handle]
	if known == nil {
		a := r.hear(from)
		job := &remoteJob{from: from, asker: a, service: m.Service, since: r.d.now()}
		r.jobs[m.Handle], a.jobs[m.Handle] = job, job
	}
	r.mu.Unlock()
	if known != nil {
		r.answer(m.Handle, from)
		return
	}
	r.d.sched.submit(j)
	if r.waits(m.Handle) {
		r.reply(from, &schema.PlaceDecision{Handle: m.Handle, Verdict: schema.PlaceDecision_QUEUED})
	}
}

// hear notes that a VM that asks spoke.
func (r *remoteJobs) hear(from *net.UDPAddr) *asker {
	address := from.String()
	a := r.askers[address]
	if a == nil {
		a = &asker{jobs: make(map[uint64]*remoteJob)}
		r.askers[address] = a
	}
	a.heard = r.d.now()
	return a
}

// waits says whether a request has no decision yet.
func (r *remoteJobs) waits(handle uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.jobs[handle]
	return job != nil && job.decision == nil
}

// answer says again what is known of a request.
func (r *remoteJobs) answer(handle uint64, to *net.UDPAddr) {
	r.mu.Lock()
	job := r.jobs[handle]
	reply := &schema.PlaceDecision{Handle: handle, Verdict: schema.PlaceDecision_QUEUED}
	switch {
	case job == nil:
		reply.Verdict = schema.PlaceDecision_UNKNOWN
	case job.decision != nil:
		reply = job.decision
	}
	r.mu.Unlock()
	r.reply(to, reply)
}

func (r *remoteJobs) reply(to *net.UDPAddr, m *schema.PlaceDecision) {
	r.d.peers.send(&schema.PeerNote{PlaceDecisions: []*schema.PlaceDecision{m}}, to)
}

// decided passes a decision on to the VM that asked. It reports false if the request
// is nobody's.
func (r *remoteJobs) decided(dec dispatch.Decision) bool {
	r.mu.Lock()
	job := r.jobs[dec.Handle]
	if job == nil {
		r.mu.Unlock()
		return false
	}
	m := &schema.PlaceDecision{
		Handle: dec.Handle, Verdict: schema.PlaceDecision_REFUSED, Reason: dec.Reason, RetryAfterUs: uint64(dec.RetryAfter.Microseconds()),
		PredictedUs: uint64(dec.Predicted.Microseconds()), Candidates: uint32(dec.Candidates), Waiting: uint32(dec.Waiting),
		Running: uint32(dec.Load.Running), PromptTokens: uint32(dec.Load.PromptTokens), EventGapUs: uint64(dec.Load.EventGap.Microseconds()),
	}
	if dec.Endpoint != nil {
		m.Verdict, m.Endpoint, m.Counted = schema.PlaceDecision_PLACED, dispatch.EndpointHash(dec.Endpoint.Key()), dec.LimitCharged
	}
	// A refusal is kept until the other VM no longer names the request, to be told again.
	job.decision, job.since = m, r.d.now()
	r.mu.Unlock()
	r.reply(job.from, m)
	return true
}

// progress takes in how a request goes.
func (r *remoteJobs) progress(m *schema.RunProgress) {
	if m.Started {
		r.d.sched.events(m.Handle, 1)
	}
	if m.Ended {
		r.drop(m.Handle, dispatch.Outcome(m.Outcome))
	}
}

// drop ends a request, whether it waits or runs.
func (r *remoteJobs) drop(handle uint64, o dispatch.Outcome) {
	r.mu.Lock()
	job := r.jobs[handle]
	if job != nil {
		delete(r.jobs, handle)
		delete(job.asker.jobs, handle)
	}
	r.mu.Unlock()
	if job != nil {
		r.d.sched.withdraw(job.service, handle, o)
	}
}

// reconcile compares what another VM names with what is known of its requests.
func (r *remoteJobs) reconcile(n *schema.PeerNote, from *net.UDPAddr) {
	named := make(map[uint64]bool, len(n.Placed)+len(n.Waiting))
	for _, h := range n.Placed {
		named[h] = true
	}
	now := r.d.now()
	var again, over []uint64
	r.mu.Lock()
	a := r.hear(from)
	for _, h := range n.Waiting {
		named[h] = true
		if job := r.jobs[h]; job == nil || job.decision != nil {
			again = append(again, h)
		}
	}
	for h, job := range a.jobs {
		if !named[h] && now-job.since > decisionSettle {
			over = append(over, h)
		}
	}
	r.mu.Unlock()
	for _, h := range again {
		r.answer(h, from)
	}
	for _, h := range over {
		r.drop(h, dispatch.CallerLeft)
	}
}

// sweep drops the requests of VMs that have fallen silent.
func (r *remoteJobs) sweep() {
	now := r.d.now()
	var over []uint64
	r.mu.Lock()
	for address, a := range r.askers {
		if now-a.heard < askerSilence {
			continue
		}
		delete(r.askers, address)
		over = slices.AppendSeq(over, maps.Keys(a.jobs))
	}
	r.mu.Unlock()
	for _, h := range over {
		r.drop(h, dispatch.CallerLeft)
	}
}

// members are the VMs that ask this one.
func (r *remoteJobs) members() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := make(map[string]bool, len(r.askers))
	for a := range r.askers {
		set[a] = true
	}
	return set
}

// job is the request as this VM's scheduler sees it.
func (r *remoteJobs) job(m *schema.PlaceAsk) dispatch.Job {
	now := r.d.now()
	j := dispatch.Job{
		Handle: m.Handle, Service: m.Service, Tier: int(m.Tier), PromptTokens: int(m.Prompt), ExpectedEvents: int(m.Events),
		Objective: now + time.Duration(m.ObjectiveUs)*time.Microsecond, AbandonAt: now + time.Duration(m.AbandonUs)*time.Microsecond,
		MaxPause: micros(m.MaxPauseUs), Tried: m.Tried, Avoided: m.Avoided, Remote: true, SenderDomain: m.FailureDomain,
		Request: digestFromWire(m.Digest), Suspicion: dispatch.Suspicion(min(m.Suspicion, uint32(dispatch.Quarantined))), Canary: m.Trial,
	}
	if m.LimitUs != 0 {
		j.Deadline = now + time.Duration(m.LimitUs)*time.Microsecond
	}
	return j
}
