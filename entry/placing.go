package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/schema"
)

const (
	// placerTimeout is after how long without a note a placer counts as lost: notes
	// come ten times a second, and one in a hundred datagrams is lost.
	placerTimeout = 350 * time.Millisecond
	// placeRetryInterval is when an unanswered ask is sent again, twenty round trips within a
	// region; after maxAsks the VM places for itself.
	placeRetryInterval = 40 * time.Millisecond
	maxPlaceRequests   = 3
	// placerAvoidTime is how long a placer that did not answer is left alone.
	placerAvoidTime = time.Second
	// placerWarmup is how long a process hears others before it places for them:
	// until then it knows neither their loads nor the endpoints' paces. Where nobody else
	// places, that is no better than what all others know: then it is willingAlone, three
	// notes of those who place.
	placerWarmup     = 2 * time.Second
	soloPlacerWarmup = 300 * time.Millisecond
	// maxAvoided bounds the endpoints that a VM asks to be left out: the registry as
	// this VM knows it may be a moment older than the placer's, or newer.
	maxAvoided = 8
	// decisionBuffer holds the answers to one ask.
	decisionBuffer = 4
)

// placement finds out where requests go: it asks the VM that places for this one, its
// placer, and falls back on its own scheduler if that one cannot be heard.
type placement struct {
	d *Daemon

	mu sync.Mutex
	// placer is the VM that is asked, nil if this VM places for itself; since is when
	// it was chosen.
	placer      *peer
	placerSince time.Duration
	pending     map[uint64]*pendingPlacement
	// remoteRuns are this VM's requests that others placed.
	remoteRuns map[uint64]*remoteRun
}

// pendingPlacement is a request that waits for the placer's answer.
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

// place finds an endpoint for a job of a caller's request; ok is false if ctx ended first.
func (p *placement) place(ctx context.Context, request string, j dispatch.Job) (dec dispatch.Decision, ok bool) {
	if dec, ok, ended := p.awaitBackoff(ctx, j); ended {
		return dec, ok
	}
	j.Avoided = append(j.Avoided, p.d.sched.unavailable(j.Service)...)
	for placer := p.livePlacer(); placer != nil; placer = p.livePlacer() {
		start := p.d.now()
		dec, ok, localReason := p.requestPlacement(ctx, placer, j)
		if localReason == "" {
			return dec, ok
		}
		p.d.log.Info().Str("request", request).Str("placer", placer.addr.String()).Str("reason", localReason).
			Uint64("endpoint_hash", dec.Name).Dur("asked_for", p.d.now()-start).Msg("placer_passed_over")
		if dec.Name != 0 && len(j.Avoided) < maxAvoided && localReason != string(dispatch.HeldBack) {
			// Asked anew, as another request: what is left of this one may be on its way.
			j.Avoided = append(j.Avoided, dec.Name)
			j.Handle = p.d.lastHandle.Add(1)
			continue
		}
		p.d.count("placed_alone." + localReason)
		break
	}
	return p.d.sched.place(ctx, j)
}

// awaitBackoff waits while all endpoints for a job want nothing from this VM; over says that the job ended, as
// they do for longer than its caller waits, or as ctx did.
func (p *placement) awaitBackoff(ctx context.Context, j dispatch.Job) (dec dispatch.Decision, ok, ended bool) {
	for {
		wait := p.d.sched.backoffWait(j.Service, j.Tried)
		if wait == 0 {
			return dec, false, false
		}
		if p.d.now()+wait >= j.Abandon {
			return dispatch.Decision{Handle: j.Handle, Reason: dispatch.ReasonRest, RetryAfter: wait}, true, true
		}
		if !pause(ctx, wait) {
			return dec, false, true
		}
	}
}

// Reasons for placing a request here though another VM places, beside those why its
// endpoint may not be used.
const (
	localReasonUnknown       = "not_known_there"
	localReasonNoAnswer      = "no_answer"
	localReasonPlacerChanged = "placer_changed"
)

// livePlacer is the placer, if it is heard.
func (p *placement) livePlacer() *peer {
	p.mu.Lock()
	to := p.placer
	p.mu.Unlock()
	if to == nil || !p.d.peers.seenWithin(to, placerTimeout) {
		return nil
	}
	return to
}

// assignedPlacer is the placer, heard or not.
func (p *placement) assignedPlacer() *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placer
}

// requestPlacement asks the placer; alone says why this VM has to place for itself, if it has.
func (p *placement) requestPlacement(ctx context.Context, placer *peer, j dispatch.Job) (dec dispatch.Decision, ok bool, localReason string) {
	a := &pendingPlacement{placer: placer, decisions: make(chan *schema.PlaceDecision, decisionBuffer)}
	p.mu.Lock()
	p.pending[j.Handle] = a
	p.mu.Unlock()
	defer p.removePending(j.Handle)
	timer := time.NewTimer(placeRetryInterval)
	defer timer.Stop()
	p.d.peers.send(p.placeRequestNote(j), placer.addr)
	for sent := 1; ; {
		select {
		case m := <-a.decisions:
			switch m.Verdict {
			case schema.PlaceDecision_QUEUED:
				p.markQueued(a)
				timer.Reset(placerTimeout)
			case schema.PlaceDecision_REFUSED:
				return refusedDecision(m), true, ""
			case schema.PlaceDecision_PLACED:
				dec, why := p.adoptDecision(placer, j, m)
				return dec, dec.Endpoint != nil, string(why)
			default:
				return dec, false, localReasonUnknown
			}
		case <-timer.C:
			if a.queued && p.livePlacer() == placer && p.d.now() < j.Abandon {
				timer.Reset(min(placerTimeout, max(time.Millisecond, j.Abandon-p.d.now())))
				continue
			}
			if p.d.now() >= j.Abandon {
				// The placer should have refused it by now; its caller is about to leave.
				p.cancelRemote(placer, j.Handle)
				return dispatch.Decision{Handle: j.Handle, Reason: dispatch.ReasonTooLate, RetryAfter: shortRetryAfter}, true, ""
			}
			if a.queued {
				// It has fallen silent, or another VM places now.
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

func (p *placement) markQueued(a *pendingPlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.queued = true
}

func (p *placement) removePending(handle uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, handle)
}

// adoptDecision takes over what the placer decided, unless this VM knows that the endpoint
// may not be used.
func (p *placement) adoptDecision(placer *peer, j dispatch.Job, m *schema.PlaceDecision) (dispatch.Decision, dispatch.Unusable) {
	// While requests move, which go to the new version is the placer's to say: it may be some ms
	// ahead of this VM, whose own list still holds the new endpoints back.
	j.Trial = j.Trial || p.d.rollouts.moving(j.Service)
	j.Counted = m.Counted
	dec, why := p.d.sched.adopt(j, m.Endpoint, micros(m.PredictedUs), int(m.PromptTokens))
	if dec == nil {
		p.cancelRemote(placer, j.Handle)
		return dispatch.Decision{Name: m.Endpoint}, why
	}
	dec.By, dec.Candidates, dec.Waiting = placer.addr.String(), int(m.Candidates), int(m.Waiting)
	dec.Load = dispatch.Use{Running: int(m.Running), PromptTokens: int(m.PromptTokens), Gap: micros(m.EventGapUs)}
	p.mu.Lock()
	p.remoteRuns[j.Handle] = &remoteRun{placer: placer}
	p.mu.Unlock()
	return *dec, ""
}

func refusedDecision(m *schema.PlaceDecision) dispatch.Decision {
	return dispatch.Decision{
		Handle: m.Handle, Reason: m.Reason, RetryAfter: micros(m.RetryAfterUs), Candidates: int(m.Candidates), Waiting: int(m.Waiting),
	}
}

// cancelRemote tells the placer that the request needs no place any more.
func (p *placement) cancelRemote(placer *peer, handle uint64) {
	p.sendProgress(placer, &schema.RunProgress{Handle: handle, Ended: true, Outcome: schema.RunOutcome_RUN_LEFT})
}

func (p *placement) sendProgress(to *peer, m *schema.RunProgress) {
	p.d.peers.send(&schema.PeerNote{Progress: []*schema.RunProgress{m}}, to.addr)
}

// avoidPlacer leaves a placer alone that did not answer.
func (p *placement) avoidPlacer(placer *peer) {
	p.d.peers.setAvoidUntil(placer, p.d.now()+placerAvoidTime)
	p.d.log.Warn().Str("placer", placer.addr.String()).Int("asks", maxPlaceRequests).Dur("for", placerAvoidTime).Msg("placer_lost")
	p.updatePlacer()
}

// recordEvents says that n recordEvents of a stream came.
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

// endRun says that a request is over at its endpoint.
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

// addRunState adds what the placer needs to see that it knows all requests of this VM.
func (p *placement) addRunState(n *schema.PeerNote) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h := range p.remoteRuns {
		n.Placed = append(n.Placed, h)
	}
	for h, a := range p.pending {
		if a.queued {
			n.Waiting = append(n.Waiting, h)
		}
	}
}

// handleDecisions takes in answers of placers.
func (p *placement) handleDecisions(n *schema.PeerNote, from *net.UDPAddr) {
	for _, m := range n.PlaceDecisions {
		p.mu.Lock()
		a := p.pending[m.Handle]
		known := p.remoteRuns[m.Handle] != nil
		p.mu.Unlock()
		if a != nil && a.placer.addr.String() == from.String() {
			select {
			case a.decisions <- m:
			default:
				// It has an answer already; the placer repeats this one.
			}
			continue
		}
		if m.Verdict == schema.PlaceDecision_PLACED && !known {
			// Too late: the request was placed here meanwhile, or its caller left.
			p.d.peers.send(&schema.PeerNote{Progress: []*schema.RunProgress{{Handle: m.Handle, Ended: true, Outcome: schema.RunOutcome_RUN_LEFT}}}, from)
		}
	}
}

// placeRequestNote is the message that asks for a place.
func (p *placement) placeRequestNote(j dispatch.Job) *schema.PeerNote {
	now := p.d.now()
	m := &schema.PlaceAsk{
		Handle: j.Handle, Service: j.Service, Tier: int32(j.Tier), Prompt: uint32(j.Prompt), Events: uint32(j.Events),
		ObjectiveUs: (j.Objective - now).Microseconds(), AbandonUs: (j.Abandon - now).Microseconds(),
		MaxPauseUs: uint64(j.MaxPause.Microseconds()), Tried: j.Tried, Avoided: j.Avoided,
		FailureDomain: p.d.settings.Vm.FailureDomain, Digest: j.Request[:], Suspicion: uint32(j.Suspicion), Trial: j.Trial,
	}
	if j.Limit > 0 {
		m.LimitUs = (j.Limit - now).Microseconds()
	}
	return &schema.PeerNote{PlaceAsks: []*schema.PlaceAsk{m}}
}

func micros(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }

// setAvoidUntil leaves a VM out of the choice of placers for a time.
func (p *peers) setAvoidUntil(pe *peer, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pe.avoidUntil = until
}
