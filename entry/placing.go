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
	// placerSilence is after how long without a note a placer counts as lost: notes
	// come ten times a second, and one in a hundred datagrams is lost.
	placerSilence = 350 * time.Millisecond
	// askAgain is when an unanswered ask is sent again, twenty round trips within a
	// region; after maxAsks the VM places for itself.
	askAgain = 40 * time.Millisecond
	maxAsks  = 3
	// avoidFor is how long a placer that did not answer is left alone.
	avoidFor = time.Second
	// willingAfter is how long a process hears others before it places for them:
	// until then it knows neither their loads nor the endpoints' paces. Where nobody else
	// places, that is no better than what all others know: then it is willingAlone, three
	// notes of those who place.
	willingAfter = 2 * time.Second
	willingAlone = 300 * time.Millisecond
	// maxAvoided bounds the endpoints that a VM asks to be left out: the registry as
	// this VM knows it may be a moment older than the placer's, or newer.
	maxAvoided = 8
	// answerBuffer holds the answers to one ask.
	answerBuffer = 4
)

// placing finds out where requests go: it asks the VM that places for this one, its
// placer, and falls back on its own scheduler if that one cannot be heard.
type placing struct {
	d *Daemon

	mu sync.Mutex
	// placer is the VM that is asked, nil if this VM places for itself; since is when
	// it was chosen.
	placer *peer
	since  time.Duration
	asks   map[uint64]*ask
	// runs are this VM's requests that others placed.
	runs map[uint64]*remoteRun
}

// ask is a request that waits for the placer's answer.
type ask struct {
	to      *peer
	answers chan *schema.PlaceDecision
	queued  bool
}

// remoteRun is a request that another VM placed.
type remoteRun struct {
	placer  *peer
	started bool
}

func newPlacing(d *Daemon) *placing {
	return &placing{d: d, asks: make(map[uint64]*ask), runs: make(map[uint64]*remoteRun)}
}

// place finds an endpoint for a job of a caller's request; ok is false if ctx ended first.
func (p *placing) place(ctx context.Context, request string, j dispatch.Job) (dec dispatch.Decision, ok bool) {
	if dec, ok, over := p.awaitRest(ctx, j); over {
		return dec, ok
	}
	j.Avoided = append(j.Avoided, p.d.sched.barred(j.Service)...)
	for to := p.current(); to != nil; to = p.current() {
		start := p.d.now()
		dec, ok, alone := p.ask(ctx, to, j)
		if alone == "" {
			return dec, ok
		}
		p.d.log.Info().Str("request", request).Str("placer", to.addr.String()).Str("reason", alone).
			Uint64("endpoint_hash", dec.EndpointHash).Dur("asked_for", p.d.now()-start).Msg("placer_passed_over")
		if dec.EndpointHash != 0 && len(j.Avoided) < maxAvoided && alone != string(dispatch.CanaryOnly) {
			// Asked anew, as another request: what is left of this one may be on its way.
			j.Avoided = append(j.Avoided, dec.EndpointHash)
			j.Handle = p.d.lastHandle.Add(1)
			continue
		}
		p.d.count("placed_alone." + alone)
		break
	}
	return p.d.sched.place(ctx, j)
}

// awaitRest waits while all endpoints for a job want nothing from this VM; over says that the job ended, as
// they do for longer than its caller waits, or as ctx did.
func (p *placing) awaitRest(ctx context.Context, j dispatch.Job) (dec dispatch.Decision, ok, over bool) {
	for {
		wait := p.d.sched.restWait(j.Service, j.Tried)
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

// Reasons for placing a request here though another VM places, beside those why its
// endpoint may not be used.
const (
	aloneUnknown = "not_known_there"
	aloneSilent  = "no_answer"
	aloneMoved   = "placer_changed"
)

// current is the placer, if it is heard.
func (p *placing) current() *peer {
	p.mu.Lock()
	to := p.placer
	p.mu.Unlock()
	if to == nil || !p.d.peers.heardWithin(to, placerSilence) {
		return nil
	}
	return to
}

// followed is the placer, heard or not.
func (p *placing) followed() *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placer
}

// ask asks the placer; alone says why this VM has to place for itself, if it has.
func (p *placing) ask(ctx context.Context, to *peer, j dispatch.Job) (dec dispatch.Decision, ok bool, alone string) {
	a := &ask{to: to, answers: make(chan *schema.PlaceDecision, answerBuffer)}
	p.mu.Lock()
	p.asks[j.Handle] = a
	p.mu.Unlock()
	defer p.forget(j.Handle)
	timer := time.NewTimer(askAgain)
	defer timer.Stop()
	p.d.peers.send(p.askNote(j), to.addr)
	for sends := 1; ; {
		select {
		case m := <-a.answers:
			switch m.Verdict {
			case schema.PlaceDecision_QUEUED:
				p.setQueued(a)
				timer.Reset(placerSilence)
			case schema.PlaceDecision_REFUSED:
				return refused(m), true, ""
			case schema.PlaceDecision_PLACED:
				dec, why := p.adopt(to, j, m)
				return dec, dec.Endpoint != nil, string(why)
			default:
				return dec, false, aloneUnknown
			}
		case <-timer.C:
			if a.queued && p.current() == to && p.d.now() < j.AbandonAt {
				timer.Reset(min(placerSilence, max(time.Millisecond, j.AbandonAt-p.d.now())))
				continue
			}
			if p.d.now() >= j.AbandonAt {
				// The placer should have refused it by now; its caller is about to leave.
				p.leave(to, j.Handle)
				return dispatch.Decision{Handle: j.Handle, Reason: dispatch.ReasonTooLate, RetryAfter: shortWait}, true, ""
			}
			if a.queued {
				// It has fallen silent, or another VM places now.
				p.leave(to, j.Handle)
				return dec, false, aloneMoved
			}
			if sends == maxAsks {
				p.leave(to, j.Handle)
				p.avoid(to)
				return dec, false, aloneSilent
			}
			sends++
			timer.Reset(askAgain)
			p.d.peers.send(p.askNote(j), to.addr)
		case <-ctx.Done():
			p.leave(to, j.Handle)
			return dec, false, ""
		}
	}
}

func (p *placing) setQueued(a *ask) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.queued = true
}

func (p *placing) forget(handle uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.asks, handle)
}

// adopt takes over what the placer decided, unless this VM knows that the endpoint
// may not be used.
func (p *placing) adopt(to *peer, j dispatch.Job, m *schema.PlaceDecision) (dispatch.Decision, dispatch.UnusableReason) {
	// While requests move, which go to the new version is the placer's to say: it may be some ms
	// ahead of this VM, whose own list still holds the new endpoints back.
	j.Canary = j.Canary || p.d.rollouts.isShifting(j.Service)
	j.LimitCharged = m.Counted
	dec, why := p.d.sched.adopt(j, m.Endpoint, micros(m.PredictedUs), int(m.PromptTokens))
	if dec == nil {
		p.leave(to, j.Handle)
		return dispatch.Decision{EndpointHash: m.Endpoint}, why
	}
	dec.DecidedBy, dec.Candidates, dec.Waiting = to.addr.String(), int(m.Candidates), int(m.Waiting)
	dec.Load = dispatch.Load{Running: int(m.Running), PromptTokens: int(m.PromptTokens), EventGap: micros(m.EventGapUs)}
	p.mu.Lock()
	p.runs[j.Handle] = &remoteRun{placer: to}
	p.mu.Unlock()
	return *dec, ""
}

func refused(m *schema.PlaceDecision) dispatch.Decision {
	return dispatch.Decision{
		Handle: m.Handle, Reason: m.Reason, RetryAfter: micros(m.RetryAfterUs), Candidates: int(m.Candidates), Waiting: int(m.Waiting),
	}
}

// leave tells the placer that the request needs no place any more.
func (p *placing) leave(to *peer, handle uint64) {
	p.tell(to, &schema.RunProgress{Handle: handle, Ended: true, Outcome: schema.RunOutcome_RUN_LEFT})
}

func (p *placing) tell(to *peer, m *schema.RunProgress) {
	p.d.peers.send(&schema.PeerNote{Progress: []*schema.RunProgress{m}}, to.addr)
}

// avoid leaves a placer alone that did not answer.
func (p *placing) avoid(to *peer) {
	p.d.peers.avoid(to, p.d.now()+avoidFor)
	p.d.log.Warn().Str("placer", to.addr.String()).Int("asks", maxAsks).Dur("for", avoidFor).Msg("placer_lost")
	p.choose()
}

// events says that n events of a stream came.
func (p *placing) events(handle uint64, n int) {
	p.d.sched.events(handle, n)
	p.mu.Lock()
	r := p.runs[handle]
	first := r != nil && !r.started
	if first {
		r.started = true
	}
	p.mu.Unlock()
	if first {
		p.tell(r.placer, &schema.RunProgress{Handle: handle, Started: true})
	}
}

// end says that a request is over at its endpoint.
func (p *placing) end(handle uint64, o dispatch.Outcome) {
	p.d.sched.end(handle, o)
	p.mu.Lock()
	r := p.runs[handle]
	delete(p.runs, handle)
	p.mu.Unlock()
	if r != nil {
		p.tell(r.placer, &schema.RunProgress{Handle: handle, Ended: true, Outcome: schema.RunOutcome(o)})
	}
}

// describe adds what the placer needs to see that it knows all requests of this VM.
func (p *placing) describe(n *schema.PeerNote) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h := range p.runs {
		n.Placed = append(n.Placed, h)
	}
	for h, a := range p.asks {
		if a.queued {
			n.Waiting = append(n.Waiting, h)
		}
	}
}

// take takes in answers of placers.
func (p *placing) take(n *schema.PeerNote, from *net.UDPAddr) {
	for _, m := range n.PlaceDecisions {
		p.mu.Lock()
		a := p.asks[m.Handle]
		known := p.runs[m.Handle] != nil
		p.mu.Unlock()
		if a != nil && a.to.addr.String() == from.String() {
			select {
			case a.answers <- m:
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

// askNote is the message that asks for a place.
func (p *placing) askNote(j dispatch.Job) *schema.PeerNote {
	now := p.d.now()
	m := &schema.PlaceAsk{
		Handle: j.Handle, Service: j.Service, Tier: int32(j.Tier), Prompt: uint32(j.PromptTokens), Events: uint32(j.ExpectedEvents),
		ObjectiveUs: (j.Objective - now).Microseconds(), AbandonUs: (j.AbandonAt - now).Microseconds(),
		MaxPauseUs: uint64(j.MaxPause.Microseconds()), Tried: j.Tried, Avoided: j.Avoided,
		FailureDomain: p.d.set.Vm.FailureDomain, Digest: j.Request[:], Suspicion: uint32(j.Suspicion), Trial: j.Canary,
	}
	if j.Deadline > 0 {
		m.LimitUs = (j.Deadline - now).Microseconds()
	}
	return &schema.PeerNote{PlaceAsks: []*schema.PlaceAsk{m}}
}

func micros(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }

// avoid leaves a VM out of the choice of placers for a time.
func (p *peers) avoid(pe *peer, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pe.avoidUntil = until
}
