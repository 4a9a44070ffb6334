package entry

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/schema"
)

const (
	// placerTimeout is the time without a note after which a placer is considered lost: notes are
	// sent ten times a second, and one in a hundred is lost.
	placerTimeout = 350 * time.Millisecond
	// placeRetryInterval is the interval at which an unanswered placement request is sent again,
	// twenty round trips within a region; after maxPlaceRequests the VM places the request
	// itself.
	placeRetryInterval = 40 * time.Millisecond
	maxPlaceRequests   = 3
	// placerAvoidTime is how long a placer that did not respond is not used.
	placerAvoidTime = time.Second
	// placerWarmup is how long a process receives notes before it places requests for others:
	// until then it knows neither their loads nor the speeds of the endpoints. If no other VM
	// places, this gains nothing, as the others know no more; then the time is soloPlacerWarmup,
	// three note intervals of a VM that places.
	placerWarmup     = 2 * time.Second
	soloPlacerWarmup = 300 * time.Millisecond
	// maxAvoided limits the endpoints that a VM asks the placer to exclude: its copy of the
	// registry may be slightly older or newer than the placer's.
	maxAvoided = 8
	// decisionBuffer is the number of decisions buffered for one placement request.
	decisionBuffer = 4
)

// placement decides which endpoint each request goes to. It asks this VM's placer, and falls back
// to the local scheduler if no notes are received from the placer.
type placement struct {
	d *Daemon

	mu sync.Mutex
	// placer is the VM that places this VM's requests, nil if this VM does so itself; placerSince
	// is when it was selected.
	placer      *peer
	placerSince time.Duration
	// pending holds the placement requests without a final decision, by handle.
	pending map[uint64]*pendingPlacement
	// remoteRuns holds this VM's requests that other VMs placed, by handle.
	remoteRuns map[uint64]*remoteRun
}

// pendingPlacement is a placement request that waits for the placer's decision.
type pendingPlacement struct {
	placer    *peer
	decisions chan *schema.PlaceDecision
	queued    bool
}

// remoteRun is a request that another VM placed.
type remoteRun struct {
	placer  *peer
	started bool
}

func newPlacement(d *Daemon) *placement {
	return &placement{d: d, pending: make(map[uint64]*pendingPlacement), remoteRuns: make(map[uint64]*remoteRun)}
}

// place finds an endpoint for a caller's request. ok is false if ctx ended first.
func (p *placement) place(ctx context.Context, request string, j dispatch.Job) (dec dispatch.Decision, ok bool) {
	if dec, ok, ended := p.awaitBackoff(ctx, j); ended {
		return dec, ok
	}
	for placer := p.livePlacer(); placer != nil; placer = p.livePlacer() {
		start := p.d.now()
		dec, ok, localReason := p.requestPlacement(ctx, placer, p.withUnavailable(j))
		if localReason == "" {
			return dec, ok
		}
		p.d.log.Info().Str("request", request).Str("placer", placer.addr.String()).Str("reason", localReason).
			Uint64("endpoint_hash", dec.EndpointHash).Dur("asked_for", p.d.now()-start).Msg("placer_passed_over")
		if dec.EndpointHash != 0 && len(j.Avoided) < maxAvoided && localReason != string(dispatch.CanaryOnly) {
			// Ask again under a new handle: notes about the old one may still be in transit.
			j.Avoided = append(j.Avoided, dec.EndpointHash)
			j.Handle = p.d.lastHandle.Add(1)
			continue
		}
		p.d.count("placed_alone." + localReason)
		break
	}
	return p.d.sched.place(ctx, j)
}

// withUnavailable adds to a job the endpoints that this VM cannot use now, which its placer does not
// know. The local scheduler does, also when that changes while the job waits.
func (p *placement) withUnavailable(j dispatch.Job) dispatch.Job {
	j.Avoided = slices.Concat(j.Avoided, p.d.sched.unavailable(j.Service))
	return j
}

// awaitBackoff waits while all endpoints for a job have asked this VM to back off. ended is set
// if the job is over, because the backoff lasts longer than the caller waits or because ctx
// ended.
func (p *placement) awaitBackoff(ctx context.Context, j dispatch.Job) (dec dispatch.Decision, ok, ended bool) {
	for {
		wait := p.d.sched.backoffWait(&j)
		if wait == 0 {
			return dec, false, false
		}
		if p.d.now()+wait >= j.AbandonAt {
			return dispatch.Decision{Handle: j.Handle, Reason: dispatch.ReasonBackoff, RetryAfter: wait}, true, true
		}
		if !sleepJittered(ctx, wait) {
			return dec, false, true
		}
	}
}

// Reasons for placing a request locally although another VM is the placer, in addition to the
// reasons for which the chosen endpoint may not be used.
const (
	localReasonUnknown       = "not_known_there"
	localReasonNoAnswer      = "no_answer"
	localReasonPlacerChanged = "placer_changed"
)

// livePlacer returns the placer, or nil if no recent note was received from it.
func (p *placement) livePlacer() *peer {
	p.mu.Lock()
	placer := p.placer
	p.mu.Unlock()
	if placer == nil || !p.d.peers.seenWithin(placer, placerTimeout) {
		return nil
	}
	return placer
}

// assignedPlacer returns the placer, whether or not it is alive.
func (p *placement) assignedPlacer() *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placer
}

// requestPlacement asks the placer for a decision. localReason is set if this VM has to place the
// request itself.
func (p *placement) requestPlacement(ctx context.Context, placer *peer, j dispatch.Job) (dec dispatch.Decision, ok bool, localReason string) {
	pending := &pendingPlacement{placer: placer, decisions: make(chan *schema.PlaceDecision, decisionBuffer)}
	p.mu.Lock()
	p.pending[j.Handle] = pending
	p.mu.Unlock()
	defer p.removePending(j.Handle)
	timer := time.NewTimer(placeRetryInterval)
	defer timer.Stop()
	p.d.peers.send(p.placeRequestNote(j), placer.addr)
	for sent := 1; ; {
		select {
		case m := <-pending.decisions:
			switch m.Verdict {
			case schema.PlaceDecision_QUEUED:
				p.markQueued(pending)
				timer.Reset(placerTimeout)
			case schema.PlaceDecision_REFUSED:
				return refusedDecision(placer, m), true, ""
			case schema.PlaceDecision_PLACED:
				dec, reason := p.adoptDecision(placer, j, m)
				return dec, dec.Endpoint != nil, string(reason)
			default:
				return dec, false, localReasonUnknown
			}
		case <-timer.C:
			if pending.queued && p.livePlacer() == placer && p.d.now() < j.AbandonAt {
				timer.Reset(min(placerTimeout, max(time.Millisecond, j.AbandonAt-p.d.now())))
				continue
			}
			if p.d.now() >= j.AbandonAt {
				// The placer should have refused the request by now; the caller is about to
				// disconnect.
				p.cancelRemote(placer, j.Handle)
				return dispatch.Decision{Handle: j.Handle, Reason: dispatch.ReasonTooLate, RetryAfter: shortRetryAfter}, true, ""
			}
			if pending.queued {
				// The placer has stopped sending notes, or another VM is the placer now.
				p.cancelRemote(placer, j.Handle)
				return dec, false, localReasonPlacerChanged
			}
			if sent == maxPlaceRequests {
				p.cancelRemote(placer, j.Handle)
				p.avoidPlacer(placer)
				return dec, false, localReasonNoAnswer
			}
			sent++
			timer.Reset(placeRetryInterval)
			p.d.peers.send(p.placeRequestNote(j), placer.addr)
		case <-ctx.Done():
			p.cancelRemote(placer, j.Handle)
			return dec, false, ""
		}
	}
}

func (p *placement) markQueued(pending *pendingPlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending.queued = true
}

func (p *placement) removePending(handle uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, handle)
}

// adoptDecision applies the placer's decision, unless this VM knows a reason not to use the
// endpoint.
func (p *placement) adoptDecision(placer *peer, j dispatch.Job, m *schema.PlaceDecision) (dispatch.Decision, dispatch.UnusableReason) {
	// During a rollout the placer decides which requests go to the new version: it may be some ms
	// ahead of this VM, whose own list still excludes the new endpoints.
	j.Canary = j.Canary || p.d.rollouts.isShifting(j.Service)
	j.LimitCharged = m.Counted
	dec, reason := p.d.sched.adopt(j, m.Endpoint, micros(m.PredictedUs), int(m.PromptTokens))
	if dec == nil {
		p.cancelRemote(placer, j.Handle)
		return dispatch.Decision{EndpointHash: m.Endpoint}, reason
	}
	dec.DecidedBy, dec.Candidates, dec.Waiting = placer.addr.String(), int(m.Candidates), int(m.Waiting)
	dec.Load = dispatch.Load{Running: int(m.Running), PromptTokens: int(m.PromptTokens), EventGap: micros(m.EventGapUs)}
	p.mu.Lock()
	p.remoteRuns[j.Handle] = &remoteRun{placer: placer}
	p.mu.Unlock()
	return *dec, ""
}

func refusedDecision(placer *peer, m *schema.PlaceDecision) dispatch.Decision {
	return dispatch.Decision{
		Handle: m.Handle, Reason: m.Reason, RetryAfter: micros(m.RetryAfterUs), Candidates: int(m.Candidates), Reachable: int(m.Reachable), Waiting: int(m.Waiting), DecidedBy: placer.addr.String(), Promised: m.Promised,
	}
}

// cancelRemote tells the placer that the request no longer needs an endpoint.
func (p *placement) cancelRemote(placer *peer, handle uint64) {
	p.sendProgress(placer, &schema.RunProgress{Handle: handle, Ended: true, Outcome: schema.RunOutcome_RUN_LEFT})
}

func (p *placement) sendProgress(to *peer, m *schema.RunProgress) {
	p.d.peers.send(&schema.PeerNote{Progress: []*schema.RunProgress{m}}, to.addr)
}

// avoidPlacer stops using a placer that did not respond, for placerAvoidTime.
func (p *placement) avoidPlacer(placer *peer) {
	p.d.peers.setAvoidUntil(placer, p.d.now()+placerAvoidTime)
	p.d.log.Warn().Str("placer", placer.addr.String()).Int("asks", maxPlaceRequests).Dur("for", placerAvoidTime).Msg("placer_lost")
	p.updatePlacer()
}

// recordEvents records n events of a response.
func (p *placement) recordEvents(handle uint64, n int) {
	p.d.sched.recordEvents(handle, n)
	p.mu.Lock()
	r := p.remoteRuns[handle]
	first := r != nil && !r.started
	if first {
		r.started = true
	}
	p.mu.Unlock()
	if first {
		p.sendProgress(r.placer, &schema.RunProgress{Handle: handle, Started: true})
	}
}

// endRun records that a request has ended at its endpoint.
func (p *placement) endRun(handle uint64, o dispatch.Outcome) {
	p.d.sched.endRun(handle, o)
	p.mu.Lock()
	r := p.remoteRuns[handle]
	delete(p.remoteRuns, handle)
	p.mu.Unlock()
	if r != nil {
		p.sendProgress(r.placer, &schema.RunProgress{Handle: handle, Ended: true, Outcome: schema.RunOutcome(o)})
	}
}

// addRunState adds the handles of this VM's requests, which the placer compares with those that
// it has.
func (p *placement) addRunState(n *schema.PeerNote) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h := range p.remoteRuns {
		n.Placed = append(n.Placed, h)
	}
	for h, pending := range p.pending {
		if pending.queued {
			n.Waiting = append(n.Waiting, h)
		}
	}
}

// handleDecisions processes the placement decisions in a note.
func (p *placement) handleDecisions(n *schema.PeerNote, from *net.UDPAddr) {
	for _, m := range n.PlaceDecisions {
		p.mu.Lock()
		pending := p.pending[m.Handle]
		known := p.remoteRuns[m.Handle] != nil
		p.mu.Unlock()
		if pending != nil && pending.placer.addr.String() == from.String() {
			select {
			case pending.decisions <- m:
			default:
				// The buffer is full; the placer sends its decision again.
			}
			continue
		}
		if m.Verdict == schema.PlaceDecision_PLACED && !known {
			// Too late: the request has been placed locally, or its caller has disconnected.
			p.d.peers.send(&schema.PeerNote{Progress: []*schema.RunProgress{{Handle: m.Handle, Ended: true, Outcome: schema.RunOutcome_RUN_LEFT}}}, from)
		}
	}
}

// placeRequestNote returns the note that requests a placement.
func (p *placement) placeRequestNote(j dispatch.Job) *schema.PeerNote {
	now := p.d.now()
	m := &schema.PlaceAsk{
		Handle: j.Handle, Service: j.Service, Tier: int32(j.Tier), Prompt: uint32(j.PromptTokens), Events: uint32(j.ExpectedEvents),
		ObjectiveUs: (j.Objective - now).Microseconds(), AbandonUs: (j.AbandonAt - now).Microseconds(),
		MaxPauseUs: uint64(j.MaxPause.Microseconds()), Tried: j.Tried, Avoided: j.Avoided,
		FailureDomain: p.d.settings.Vm.FailureDomain, Digest: j.Suspect[:], Suspicion: uint32(j.Suspicion), Trial: j.Canary,
		Continues: j.Continues, Version: j.Version, Organisation: j.Organisation, Weight: j.Weight, Request: j.Request,
	}
	if j.Deadline > 0 {
		m.LimitUs = (j.Deadline - now).Microseconds()
	}
	return &schema.PeerNote{PlaceAsks: []*schema.PlaceAsk{m}}
}

func micros(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }

func millis(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }

// setAvoidUntil excludes a VM from selection as placer until a time.
func (p *peers) setAvoidUntil(pe *peer, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pe.avoidUntil = until
}
