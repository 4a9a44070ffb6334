package sched

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

// yieldState is the state of a request's Yield to the peers.
type yieldState struct {
	call uint64
}

// yieldRequest is a peer's Yield for which a request is being stopped here.
type yieldRequest struct {
	peer uint32
	call uint64
}

// freeCapacity frees capacity for an urgent request by stopping a lower-tier one:
// here if possible, otherwise at the VMs that share the endpoints.
func (s *Scheduler) freeCapacity(w *waiting) {
	if w.reserved != "" {
		return
	}
	if r := s.victim(w.spec.Tier, func(e *endpoint) bool { return s.couldUse(e, w) }); r != nil {
		s.reserve(w, r.endpoint)
		s.stop(r, nil)
		return
	}
	s.requestYield(w)
}

// couldUse reports whether the request would finish in time at the endpoint if
// it had capacity there.
func (s *Scheduler) couldUse(e *endpoint, w *waiting) bool {
	if _, ok := e.usable(s.now); !ok || !serves(e, &w.spec) {
		return false
	}
	c := e.predictIdle(s.now, &w.spec)
	return inTime(s.now, &c, &w.spec)
}

// victim returns the running request to stop: the one of the lowest tier whose
// stop wastes least. Only idempotent requests are stopped.
func (s *Scheduler) victim(above request.Tier, ok func(*endpoint) bool) *run {
	var best *run
	for _, e := range s.endpoints {
		if !ok(e) {
			continue
		}
		for _, r := range e.running {
			if r.spec.Tier <= above || !r.spec.Idempotent || r.stopping {
				continue
			}
			if best == nil || betterVictim(r, best) {
				best = r
			}
		}
	}
	return best
}

func betterVictim(a, b *run) bool {
	if a.spec.Tier != b.spec.Tier {
		return a.spec.Tier > b.spec.Tier
	}
	if wa, wb := a.tokensSpent(), b.tokensSpent(); wa != wb {
		return wa < wb
	}
	return a.handle > b.handle
}

// tokensSpent returns the number of tokens already processed for a run.
func (r *run) tokensSpent() int { return r.uncached + r.tokens }

func (s *Scheduler) stop(r *run, onBehalfOf *yieldRequest) {
	r.stopping = true
	r.stoppedFor = onBehalfOf
	s.out.Stops = append(s.out.Stops, r.handle)
}

// reserve holds the capacity that a stop will free for one request.
func (s *Scheduler) reserve(w *waiting, e *endpoint) {
	w.reserved = e.Name
}

func (s *Scheduler) dropReservation(w *waiting) {
	w.reserved = ""
}

// requestYield sends one Yield for a request to all VMs that share the
// endpoints.
func (s *Scheduler) requestYield(w *waiting) {
	if w.yield.call != 0 || len(s.peers) == 0 {
		return
	}
	y := &schema.Yield{Tier: uint32(w.spec.Tier)}
	for _, e := range s.endpoints {
		if s.couldUse(e, w) && e.othersMayRun(s.now) {
			y.Endpoints = append(y.Endpoints, e.Name)
		}
	}
	if len(y.Endpoints) == 0 {
		return
	}
	s.lastYield++
	y.Call = s.lastYield
	w.yield = yieldState{call: y.Call}
	s.yieldRequests[y.Call] = w
	s.out.Yields = append(s.out.Yields, y)
}

// othersMayRun reports whether other VMs may be running requests on an
// endpoint. It also returns true if a digest has expired or none has arrived.
func (e *endpoint) othersMayRun(now time.Duration) bool {
	for _, p := range e.peers {
		if p.running > 0 || now-p.at >= digestTTL {
			return true
		}
	}
	return len(e.peers) == 0
}

// HandleYield handles a peer's request for capacity.
func (s *Scheduler) HandleYield(now time.Duration, from uint32, y *schema.Yield) {
	s.now = now
	r := s.victim(request.Tier(y.Tier), func(e *endpoint) bool { return slices.Contains(y.Endpoints, e.Name) })
	if r == nil {
		s.replyYield(&yieldRequest{peer: from, call: y.Call}, "")
		return
	}
	r.endpoint.yieldedTo = request.Tier(y.Tier)
	s.stop(r, &yieldRequest{peer: from, call: y.Call})
}

// completeYield replies to a peer once the request stopped for it has ended.
func (s *Scheduler) completeYield(r *run) {
	if r.stoppedFor != nil {
		r.endpoint.yieldedUntil = s.now + yieldHold
		s.replyYield(r.stoppedFor, r.endpoint.Name)
	}
}

func (s *Scheduler) replyYield(d *yieldRequest, endpoint string) {
	s.out.YieldResults = append(s.out.YieldResults, YieldReply{
		To: d.peer, Result: &schema.YieldResult{Call: d.call, Endpoint: endpoint},
	})
}

// HandleYieldResult handles a peer's reply to a Yield.
func (s *Scheduler) HandleYieldResult(now time.Duration, _ uint32, m *schema.YieldResult) {
	s.now = now
	w := s.yieldRequests[m.Call]
	if w == nil {
		return
	}
	if e := s.byName[m.Endpoint]; e != nil && w.reserved == "" {
		s.reserve(w, e)
	}
	s.dirty = true
}

// ApplyDigest stores a peer's usage of the endpoints.
func (s *Scheduler) ApplyDigest(now time.Duration, from uint32, d *schema.Digest) {
	s.now = now
	seen := make(map[string]bool, len(d.Usage))
	for _, u := range d.Usage {
		seen[u.Endpoint] = true
		if e := s.byName[u.Endpoint]; e != nil {
			e.peers[from] = peerUsage{
				running: int(u.Running), waiting: int(u.Waiting), prefill: int(u.PrefillTokens),
				anyWaiting: u.WaitingTier > 0, waitingTier: request.Tier(u.WaitingTier) - 1, at: now,
			}
		}
	}
	for _, e := range s.endpoints {
		if !seen[e.Name] {
			delete(e.peers, from)
		}
	}
	for _, name := range d.Leaving {
		s.SetLeaving(now, name, true)
	}
	s.dirty = true
}

// MakeDigest returns this VM's usage of and demand for the endpoints, to be
// sent to peers.
func (s *Scheduler) MakeDigest(now time.Duration) *schema.Digest {
	s.now = now
	s.countDemand()
	d := &schema.Digest{Leaving: s.LeavingEndpoints()}
	for _, e := range s.endpoints {
		if len(e.running) == 0 && s.demand[e] == 0 {
			continue
		}
		d.Usage = append(d.Usage, &schema.Usage{
			Endpoint: e.Name, Running: uint32(len(e.running)), Waiting: uint32(s.demand[e]),
			WaitingTier: s.highestWaitingTier(e), PrefillTokens: uint64(max(0, e.prefill)),
		})
	}
	return d
}

// highestWaitingTier returns the highest tier waiting for an endpoint plus one,
// or 0 if none waits.
func (s *Scheduler) highestWaitingTier(e *endpoint) uint32 {
	for _, tq := range s.queue.tiers {
		for _, o := range tq.orgs {
			for _, w := range o.items {
				if !w.deferred && serves(e, &w.spec) {
					return uint32(tq.tier) + 1
				}
			}
		}
	}
	return 0
}
