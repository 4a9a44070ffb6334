package entry

import (
	"net"
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
	// heard is when each VM that asks spoke last, by its address.
	heard map[string]time.Duration
}

type remoteJob struct {
	from    *net.UDPAddr
	service string
	since   time.Duration
	// decision is nil while the request waits.
	decision *schema.PlaceDecision
}

func newRemoteJobs(d *Daemon) *remoteJobs {
	return &remoteJobs{d: d, jobs: make(map[uint64]*remoteJob), heard: make(map[string]time.Duration)}
}

// willing says whether this VM places requests for others.
func (r *remoteJobs) willing() bool { return r.d.ready() && r.d.now() > willingAfter }

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
	r.mu.Lock()
	known := r.jobs[m.Handle]
	if known == nil {
		r.jobs[m.Handle] = &remoteJob{from: from, service: m.Service, since: r.d.now()}
		r.heard[from.String()] = r.d.now()
	}
	r.mu.Unlock()
	if known != nil {
		r.answer(m.Handle, from)
		return
	}
	r.d.sched.submit(r.job(m))
	if r.waits(m.Handle) {
		r.reply(from, &schema.PlaceDecision{Handle: m.Handle, Verdict: schema.PlaceDecision_QUEUED})
	}
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
		Running: uint32(dec.Load.Running), PromptTokens: uint32(dec.Load.PromptTokens), EventGapUs: uint64(dec.Load.Gap.Microseconds()),
	}
	if dec.Endpoint != nil {
		m.Verdict, m.Endpoint = schema.PlaceDecision_PLACED, dispatch.NameOf(dec.Endpoint.Key())
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
	delete(r.jobs, handle)
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
	r.heard[from.String()] = now
	for _, h := range n.Waiting {
		named[h] = true
		if job := r.jobs[h]; job == nil || job.decision != nil {
			again = append(again, h)
		}
	}
	for h, job := range r.jobs {
		if !named[h] && now-job.since > decisionSettle && job.from.String() == from.String() {
			over = append(over, h)
		}
	}
	r.mu.Unlock()
	for _, h := range again {
		r.answer(h, from)
	}
	for _, h := range over {
		r.drop(h, dispatch.Left)
	}
}

// sweep drops the requests of VMs that have fallen silent.
func (r *remoteJobs) sweep() {
	now := r.d.now()
	var over []uint64
	r.mu.Lock()
	for address, at := range r.heard {
		if now-at < askerSilence {
			continue
		}
		delete(r.heard, address)
		for h, job := range r.jobs {
			if job.from.String() == address {
				over = append(over, h)
			}
		}
	}
	r.mu.Unlock()
	for _, h := range over {
		r.drop(h, dispatch.Left)
	}
}

// members are the VMs that ask this one.
func (r *remoteJobs) members() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]string, 0, len(r.heard))
	for a := range r.heard {
		list = append(list, a)
	}
	return list
}

// job is the request as this VM's scheduler sees it.
func (r *remoteJobs) job(m *schema.PlaceAsk) dispatch.Job {
	now := r.d.now()
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
