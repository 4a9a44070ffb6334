package entry

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/entry/poison"
	"github.com/chivefield/chivefield/schema"
)

const (
	// decisionGracePeriod is how long a decision is kept although notes do not list its request: such
	// notes may have been sent before the decision arrived.
	decisionGracePeriod = 300 * time.Millisecond
	// requesterTimeout is the time without a note after which another VM's requests are dropped:
	// it is down or partitioned, and places its requests itself.
	requesterTimeout = 1500 * time.Millisecond
)

// remoteJobs holds the requests of other VMs that this VM places. A lost note is made up
// for by later ones, which list all requests: a request that a note does not list has ended, and
// the decision on one that it lists as waiting is sent again.
type remoteJobs struct {
	d *Daemon

	mu   sync.Mutex
	jobs map[uint64]*remoteJob
	// requesters holds the VMs that send placement requests, by address.
	requesters map[string]*requester
}

// requester is a VM that sends placement requests to this one. Requests are kept per VM, so that
// each note is compared with the requests of its sender only.
type requester struct {
	// lastSeen is when the last note was received.
	lastSeen time.Duration
	jobs     map[uint64]*remoteJob
}

type remoteJob struct {
	addr      *net.UDPAddr
	requester *requester
	service   string
	// changedAt is when the request was received or decided.
	changedAt time.Duration
	// decision is nil while the request waits.
	decision *schema.PlaceDecision
}

func newRemoteJobs(d *Daemon) *remoteJobs {
	return &remoteJobs{d: d, jobs: make(map[uint64]*remoteJob), requesters: make(map[string]*requester)}
}

// acceptsJobs reports whether this VM places requests for others. One that reaches no endpoint takes
// all of them to be down, and would refuse requests of VMs that reach them.
func (r *remoteJobs) acceptsJobs() bool {
	return r.d.ready() && r.d.peers.eligible.Load() && !r.d.link.lost()
}

// handBack returns the requests that wait here to the VMs that sent them, which then place them
// themselves.
func (r *remoteJobs) handBack() {
	if r.acceptsJobs() {
		return
	}
	waiting := make(map[uint64]*net.UDPAddr)
	r.mu.Lock()
	for h, job := range r.jobs {
		if job.decision == nil {
			waiting[h] = job.addr
		}
	}
	r.mu.Unlock()
	for h, addr := range waiting {
		r.drop(h, dispatch.CallerDisconnected)
		r.sendDecision(addr, &schema.PlaceDecision{Handle: h})
	}
}

// handleNote processes the placement requests of another VM, and the progress of its requests.
func (r *remoteJobs) handleNote(n *schema.PeerNote, from *net.UDPAddr) {
	for _, m := range n.PlaceAsks {
		r.handleRequest(m, from)
	}
	for _, m := range n.Progress {
		r.handleProgress(m)
	}
	if n.Loads && n.Placer == r.d.settings.Listen.Peers {
		r.reconcile(n, from)
	}
}

// handleRequest queues one placement request and replies.
func (r *remoteJobs) handleRequest(m *schema.PlaceAsk, from *net.UDPAddr) {
	if !r.acceptsJobs() {
		r.sendDecision(from, &schema.PlaceDecision{Handle: m.Handle})
		return
	}
	j := r.dispatchJob(m)
	status := r.d.poison.Status(j.Suspect)
	if status.Convicted() {
		r.sendDecision(from, &schema.PlaceDecision{Handle: m.Handle, Verdict: schema.PlaceDecision_REFUSED, Reason: reasonEndsEndpoints})
		return
	}
	j.Suspicion = max(j.Suspicion, suspicionFor(status))
	r.mu.Lock()
	known := r.jobs[m.Handle]
	if known == nil {
		req := r.recordContact(from)
		job := &remoteJob{addr: from, requester: req, service: m.Service, changedAt: r.d.now()}
		r.jobs[m.Handle], req.jobs[m.Handle] = job, job
	}
	r.mu.Unlock()
	if known != nil {
		r.resendDecision(m.Handle, from)
		return
	}
	r.d.sched.submitRemote(j)
	if r.isWaiting(m.Handle) {
		r.sendDecision(from, &schema.PlaceDecision{Handle: m.Handle, Verdict: schema.PlaceDecision_QUEUED})
	}
}

// recordContact records that a note was received from a requester.
func (r *remoteJobs) recordContact(from *net.UDPAddr) *requester {
	address := from.String()
	req := r.requesters[address]
	if req == nil {
		req = &requester{jobs: make(map[uint64]*remoteJob)}
		r.requesters[address] = req
	}
	req.lastSeen = r.d.now()
	return req
}

// isWaiting reports whether a request has no decision yet.
func (r *remoteJobs) isWaiting(handle uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.jobs[handle]
	return job != nil && job.decision == nil
}

// resendDecision sends the state of a request again.
func (r *remoteJobs) resendDecision(handle uint64, to *net.UDPAddr) {
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
	r.sendDecision(to, reply)
}

func (r *remoteJobs) sendDecision(to *net.UDPAddr, m *schema.PlaceDecision) {
	r.d.peers.send(&schema.PeerNote{PlaceDecisions: []*schema.PlaceDecision{m}}, to)
}

// deliver sends a decision to the VM that requested it. It returns false if the request is not
// known.
func (r *remoteJobs) deliver(dec dispatch.Decision) bool {
	r.mu.Lock()
	job := r.jobs[dec.Handle]
	if job == nil {
		r.mu.Unlock()
		return false
	}
	m := &schema.PlaceDecision{
		Handle: dec.Handle, Verdict: schema.PlaceDecision_REFUSED, Reason: dec.Reason, RetryAfterUs: uint64(dec.RetryAfter.Microseconds()),
		PredictedUs: uint64(dec.Predicted.Microseconds()), Candidates: uint32(dec.Candidates), Reachable: uint32(dec.Reachable), Waiting: uint32(dec.Waiting), Promised: dec.Promised,
		Running: uint32(dec.Load.Running), PromptTokens: uint32(dec.Load.PromptTokens), EventGapUs: uint64(dec.Load.EventGap.Microseconds()),
	}
	if dec.Endpoint != nil {
		m.Verdict, m.Endpoint, m.Counted = schema.PlaceDecision_PLACED, dispatch.EndpointHash(dec.Endpoint.Key()), dec.LimitCharged
	}
	// A refusal is kept until the other VM no longer lists the request, so that it can be sent
	// again.
	job.decision, job.changedAt = m, r.d.now()
	r.mu.Unlock()
	r.sendDecision(job.addr, m)
	return true
}

// handleProgress processes the progress of a request.
func (r *remoteJobs) handleProgress(m *schema.RunProgress) {
	if m.Started {
		r.d.sched.recordEvents(m.Handle, 1)
	}
	if m.Ended {
		r.drop(m.Handle, dispatch.Outcome(m.Outcome))
	}
}

// drop ends a request, whether it is waiting or running.
func (r *remoteJobs) drop(handle uint64, o dispatch.Outcome) {
	r.mu.Lock()
	job := r.jobs[handle]
	if job != nil {
		delete(r.jobs, handle)
		delete(job.requester.jobs, handle)
	}
	r.mu.Unlock()
	if job != nil {
		r.d.sched.withdrawRemote(job.service, handle, o)
	}
}

// reconcile compares the requests that another VM lists with those known of it.
func (r *remoteJobs) reconcile(n *schema.PeerNote, from *net.UDPAddr) {
	named := make(map[uint64]bool, len(n.Placed)+len(n.Waiting))
	for _, h := range n.Placed {
		named[h] = true
	}
	now := r.d.now()
	var resend, ended []uint64
	r.mu.Lock()
	req := r.recordContact(from)
	for _, h := range n.Waiting {
		named[h] = true
		if job := r.jobs[h]; job == nil || job.decision != nil {
			resend = append(resend, h)
		}
	}
	for h, job := range req.jobs {
		if !named[h] && now-job.changedAt > decisionGracePeriod {
			ended = append(ended, h)
		}
	}
	r.mu.Unlock()
	for _, h := range resend {
		r.resendDecision(h, from)
	}
	for _, h := range ended {
		r.drop(h, dispatch.CallerDisconnected)
	}
}

// expireRequesters drops the requests of VMs that have stopped sending notes.
func (r *remoteJobs) expireRequesters() {
	now := r.d.now()
	var ended []uint64
	r.mu.Lock()
	for address, req := range r.requesters {
		if now-req.lastSeen < requesterTimeout {
			continue
		}
		delete(r.requesters, address)
		ended = slices.AppendSeq(ended, maps.Keys(req.jobs))
	}
	r.mu.Unlock()
	for _, h := range ended {
		r.drop(h, dispatch.CallerDisconnected)
	}
}

// requesterAddresses returns the addresses of the VMs that send placement requests to this one.
func (r *remoteJobs) requesterAddresses() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := make(map[string]bool, len(r.requesters))
	for address := range r.requesters {
		set[address] = true
	}
	return set
}

// dispatchJob converts a placement request to a job for this VM's scheduler.
func (r *remoteJobs) dispatchJob(m *schema.PlaceAsk) dispatch.Job {
	now := r.d.now()
	j := dispatch.Job{
		Handle: m.Handle, Service: m.Service, Tier: int(m.Tier), PromptTokens: int(m.Prompt), ExpectedEvents: int(m.Events),
		Objective: now + time.Duration(m.ObjectiveUs)*time.Microsecond, AbandonAt: now + time.Duration(m.AbandonUs)*time.Microsecond,
		MaxPause: micros(m.MaxPauseUs), Tried: m.Tried, Avoided: m.Avoided, Remote: true, SenderDomain: m.FailureDomain,
		Suspect: poison.DigestFromWire(m.Digest), Suspicion: dispatch.Suspicion(min(m.Suspicion, uint32(dispatch.Quarantined))), Canary: m.Trial,
		Continues: m.Continues, Version: m.Version, Organisation: m.Organisation, Weight: m.Weight, Request: m.Request,
	}
	if m.LimitUs != 0 {
		j.Deadline = now + time.Duration(m.LimitUs)*time.Microsecond
	}
	return j
}
