package sched

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

// yieldState is a request's asking peers for room.
type yieldState struct {
	call uint64
}

// yieldDebt is a peer's request for which work is being stopped here.
type yieldDebt struct {
	peer uint32
	call uint64
}

// makeRoom stops lower-tier work for an urgent request: here first, then at the
// VMs that share the endpoints.
func (s *Scheduler) makeRoom(w *waiting) {
	if w.reserved != "" {
		return
	}
	if r := s.victim(w.spec.Tier, func(e *endpoint) bool { return s.couldUse(e, w) }); r != nil {
		s.reserve(w, r.endpoint)
		s.stop(r, nil)
		return
	}
	s.askPeers(w)
}

// couldUse reports whether room at an endpoint would let the request finish.
func (s *Scheduler) couldUse(e *endpoint, w *waiting) bool {
	if _, ok := e.usable(s.now); !ok || !serves(e, &w.spec) {
		return false
	}
	c := e.predictIdle(s.now, &w.spec)
	return inTime(s.now, &c, &w.spec)
}

// victim picks the running request to stop: of the lowest tier, and there the
// one whose stop wastes least. Only idempotent work is stopped.
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
	if wa, wb := a.sunk(), b.sunk(); wa != wb {
		return wa < wb
	}
	return a.handle > b.handle
}

// sunk is what has been paid for a run, in tokens.
func (r *run) sunk() int { return r.uncached + r.tokens }

func (s *Scheduler) stop(r *run, debt *yieldDebt) {
	r.stopping = true
	r.stoppedFor = debt
	s.out.Stops = append(s.out.Stops, r.handle)
}

// reserve keeps the room that a stop will make for one request.
func (s *Scheduler) reserve(w *waiting, e *endpoint) {
	w.reserved = e.Name
}

func (s *Scheduler) dropReservation(w *waiting) {
	w.reserved = ""
}

// askPeers asks every VM that shares the endpoints, once.
func (s *Scheduler) askPeers(w *waiting) {
	if w.yield.call != 0 || len(s.peers) == 0 {
		return
	}
	y := &schema.Yield{Tier: uint32(w.spec.Tier)}
	for _, e := range s.endpoints {
		if s.couldUse(e, w) && e.othersRun(s.now) {
			y.Endpoints = append(y.Endpoints, e.Name)
		}
	}
	if len(y.Endpoints) == 0 {
		return
	}
	s.lastYield++
	y.Call = s.lastYield
	w.yield = yieldState{call: y.Call}
	s.asked[y.Call] = w
	s.out.Yields = append(s.out.Yields, y)
}

// othersRun reports whether other VMs may run work on an endpoint; without
// fresh digests they may.
func (e *endpoint) othersRun(now time.Duration) bool {
	for _, p := range e.peers {
		if p.running > 0 || now-p.at >= digestTTL {
			return true
		}
	}
	return len(e.peers) == 0
}

// Yield handles a peer's request for room.
func (s *Scheduler) Yield(now time.Duration, from uint32, y *schema.Yield) {
	s.now = now
	r := s.victim(request.Tier(y.Tier), func(e *endpoint) bool { return slices.Contains(y.Endpoints, e.Name) })
	if r == nil {
		s.answerYield(&yieldDebt{peer: from, call: y.Call}, "")
		return
	}
	r.endpoint.yieldedTo = request.Tier(y.Tier)
	s.stop(r, &yieldDebt{peer: from, call: y.Call})
}

// payYield answers a peer once the work stopped for it has ended.
func (s *Scheduler) payYield(r *run) {
	if r.stoppedFor != nil {
		r.endpoint.yieldedUntil = s.now + yieldHold
		s.answerYield(r.stoppedFor, r.endpoint.Name)
	}
}

func (s *Scheduler) answerYield(d *yieldDebt, endpoint string) {
	s.out.YieldResults = append(s.out.YieldResults, YieldAnswer{
		To: d.peer, Result: &schema.YieldResult{Call: d.call, Endpoint: endpoint},
	})
}

// YieldResult takes a peer's answer.
func (s *Scheduler) YieldResult(now time.Duration, _ uint32, m *schema.YieldResult) {
	s.now = now
	w := s.asked[m.Call]
	if w == nil {
		return
	}
	if e := s.byName[m.Endpoint]; e != nil && w.reserved == "" {
		s.reserve(w, e)
	}
	s.dirty = true
}

// Digest notes what a peer uses.
func (s *Scheduler) Digest(now time.Duration, from uint32, d *schema.Digest) {
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
		s.Leaving(now, name, true)
	}
	s.dirty = true
}

// MakeDigest tells peers what this VM uses and wants.
func (s *Scheduler) MakeDigest(now time.Duration) *schema.Digest {
	s.now = now
	s.countWants()
	d := &schema.Digest{Leaving: s.LeavingEndpoints()}
	for _, e := range s.endpoints {
		if len(e.running) == 0 && s.want[e] == 0 {
			continue
		}
		d.Usage = append(d.Usage, &schema.Usage{
			Endpoint: e.Name, Running: uint32(len(e.running)), Waiting: uint32(s.want[e]),
			WaitingTier: s.highestWaiting(e), PrefillTokens: uint64(max(0, e.prefill)),
		})
	}
	return d
}

// highestWaiting is the highest tier that waits for an endpoint, plus one.
func (s *Scheduler) highestWaiting(e *endpoint) uint32 {
	for _, tq := range s.queue.tiers {
		for _, o := range tq.orgs {
			for _, w := range o.items {
				if !w.byChoice && serves(e, &w.spec) {
					return uint32(tq.tier) + 1
				}
			}
		}
	}
	return 0
}
