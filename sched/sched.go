package sched

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

// Config holds the settings of a Scheduler. They are fixed for the lifetime of
// a process.
type Config struct {
	// MaxQueued bounds the number of waiting requests.
	MaxQueued int
}

// Assignment assigns a request to an endpoint.
type Assignment struct {
	Handle   uint64
	Endpoint string
	// Candidates explains why this endpoint was picked and the others were not.
	Candidates []Candidate
}

// Refusal ends a request that was not dispatched.
type Refusal struct {
	Handle     uint64
	Reason     request.Reason
	RetryAfter time.Duration
}

// Output holds the decisions of one or more events, in order.
type Output struct {
	Assignments []Assignment
	Refusals    []Refusal
	// Stops lists running requests to cancel for a higher tier.
	Stops []uint64
	// Yields are requests for capacity, sent to every peer; YieldResults are
	// replies to single peers.
	Yields       []*schema.Yield
	YieldResults []YieldReply
}

// YieldReply is the reply to a peer's Yield.
type YieldReply struct {
	To     uint32
	Result *schema.YieldResult
}

// run is an assigned request.
type run struct {
	handle   uint64
	spec     request.Spec
	endpoint *endpoint
	// dispatchedAt is when the request left for the endpoint, or was assigned;
	// dispatched is not set while it waits for its claim.
	dispatchedAt time.Duration
	dispatched   bool
	// expectedFirstToken is the expected time to the first token at the
	// configured speed.
	expectedFirstToken time.Duration
	uncached           int
	firstToken         time.Duration // 0 until it arrives
	tokens             int
	// progressAt and progressTokens are the time and token count at the last
	// observation of its speed.
	progressAt     time.Duration
	progressTokens int
	stopping       bool
	// stoppedFor is the peer's Yield to answer once the request has stopped.
	stoppedFor *yieldRequest
}

// Scheduler holds one VM's queue and its state of the endpoints. It is not safe
// for concurrent use.
type Scheduler struct {
	cfg           Config
	now           time.Duration
	endpoints     []*endpoint
	byName        map[string]*endpoint
	queue         queue
	waiting       map[uint64]*waiting
	runs          map[uint64]*run
	peers         []uint32
	lastYield     uint64
	yieldRequests map[uint64]*waiting
	out           Output
	// dirty is set if a request may have become assignable.
	dirty bool
	// demand counts, per endpoint, the waiting requests that could use it.
	demand map[*endpoint]int
	// blockedBy maps the endpoints that a request without capacity could use to
	// the highest tier of such a request. It is reset on each pass.
	blockedBy map[*endpoint]request.Tier
}

// New returns a scheduler without endpoints.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg: cfg, byName: make(map[string]*endpoint), waiting: make(map[uint64]*waiting),
		runs: make(map[uint64]*run), yieldRequests: make(map[uint64]*waiting), demand: make(map[*endpoint]int),
		blockedBy: make(map[*endpoint]request.Tier),
	}
}

// SetEndpoints applies a configuration. The state of an endpoint that remains
// configured is kept. Requests running at a removed endpoint continue.
func (s *Scheduler) SetEndpoints(now time.Duration, list []Endpoint) {
	s.now = now
	old := s.byName
	s.byName = make(map[string]*endpoint, len(list))
	s.endpoints = s.endpoints[:0]
	for _, cfg := range list {
		e := old[cfg.Name]
		if e == nil {
			e = newEndpoint(cfg)
		}
		e.window = min(e.window, float64(cfg.Slots))
		if cfg.Slots > e.Slots {
			e.window = float64(cfg.Slots)
		}
		e.Endpoint = cfg
		e.leaving = e.leaving || cfg.Leaving
		s.byName[cfg.Name] = e
		s.endpoints = append(s.endpoints, e)
	}
	slices.SortFunc(s.endpoints, func(a, b *endpoint) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	s.dirty = true
}

// SetPeers sets the VMs that share the endpoints.
func (s *Scheduler) SetPeers(ids []uint32) { s.peers = ids }

// Submit queues a request or refuses it immediately.
func (s *Scheduler) Submit(now time.Duration, handle uint64, spec request.Spec) {
	s.now = now
	w := &waiting{handle: handle, spec: spec, arrived: now}
	if reason, ok := s.admit(w); !ok {
		s.refuse(w, reason)
		return
	}
	s.waiting[handle] = w
	s.queue.add(w)
	s.dirty = true
}

// admit refuses a request that no endpoint could complete in time even if it
// were idle. If the queue is full, it refuses only a request for which no
// lower-tier request can be displaced.
func (s *Scheduler) admit(w *waiting) (request.Reason, bool) {
	if reason, ok := s.checkFeasible(w); !ok {
		return reason, false
	}
	if s.queue.count < s.cfg.MaxQueued || s.dropLower(w.spec.Tier) {
		return "", true
	}
	if s.victim(w.spec.Tier, func(e *endpoint) bool { return s.couldUse(e, w) }) != nil {
		return "", true
	}
	return request.ReasonQueueFull, false
}

// dropLower refuses the last waiting request of the lowest tier in favour of
// one of a higher tier.
func (s *Scheduler) dropLower(t request.Tier) bool {
	for _, tq := range slices.Backward(s.queue.tiers) {
		if tq.tier <= t {
			return false
		}
		for _, o := range tq.orgs {
			if n := len(o.items); n > 0 {
				s.drop(o.items[n-1], request.ReasonHigherTier)
				return true
			}
		}
	}
	return false
}

// checkFeasible reports whether a request could be completed in time given
// capacity, and sets the times at which it becomes urgent and infeasible.
func (s *Scheduler) checkFeasible(w *waiting) (request.Reason, bool) {
	best, found := s.bestIdle(&w.spec)
	if !found {
		return request.ReasonNoEndpoint, false
	}
	w.latestStart = w.spec.Deadline - best.TimeToFinish
	w.urgentAt = w.latestStart - time.Duration(urgentShare*float64(best.TimeToFinish)) - urgentMargin
	if w.spec.FirstTokenTarget > 0 {
		w.urgentAt = min(w.urgentAt, w.arrived+w.spec.FirstTokenTarget-best.TimeToFirstToken-urgentMargin)
	}
	if s.now > w.latestStart {
		return request.ReasonTooLate, false
	}
	return "", true
}

// bestIdle returns the candidate that would finish first if all endpoints were
// idle.
func (s *Scheduler) bestIdle(spec *request.Spec) (best Candidate, found bool) {
	for _, e := range s.endpoints {
		if _, ok := e.usable(s.now); !ok || !serves(e, spec) {
			continue
		}
		c := e.predictIdle(s.now, spec)
		if !found || c.TimeToFinish < best.TimeToFinish {
			best, found = c, true
		}
	}
	return best, found
}

func (s *Scheduler) refuse(w *waiting, reason request.Reason) {
	s.out.Refusals = append(s.out.Refusals, Refusal{Handle: w.handle, Reason: reason, RetryAfter: s.retryAfter(w)})
}

func (s *Scheduler) drop(w *waiting, reason request.Reason) {
	s.removeWaiting(w)
	s.refuse(w, reason)
}

func (s *Scheduler) removeWaiting(w *waiting) {
	s.queue.remove(w)
	delete(s.waiting, w.handle)
	delete(s.yieldRequests, w.yield.call)
	s.dropReservation(w)
}

const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 60 * time.Second
)

// retryAfter estimates the time until the requests ahead are completed.
func (s *Scheduler) retryAfter(w *waiting) time.Duration {
	var tokens, speed float64
	for _, tq := range s.queue.tiers {
		if tq.tier > w.spec.Tier {
			break
		}
		for _, o := range tq.orgs {
			for _, x := range o.items {
				tokens += float64(x.spec.OutputTokens)
			}
		}
	}
	for _, e := range s.endpoints {
		if serves(e, &w.spec) {
			speed += e.OutputSpeed * float64(e.Slots)
		}
	}
	if speed == 0 {
		return maxRetryAfter / 2
	}
	return min(max(seconds(tokens/speed), minRetryAfter), maxRetryAfter)
}

// Withdraw removes a waiting request without a refusal, because its caller has
// disconnected.
func (s *Scheduler) Withdraw(now time.Duration, handle uint64) {
	s.now = now
	if w := s.waiting[handle]; w != nil {
		s.removeWaiting(w)
	}
}

// Retry returns an assigned request that provably ran nowhere to the queue. Its
// endpoint gets no new requests for failureBackoff.
func (s *Scheduler) Retry(now time.Duration, handle uint64) {
	s.now = now
	r := s.runs[handle]
	if r == nil {
		return
	}
	r.endpoint.backoffUntil = now + failureBackoff
	s.release(r)
	s.Submit(now, handle, r.spec)
}

// RecordDispatch records that an assigned request leaves for its endpoint. The
// endpoint's speed is judged from here on: the time that the claim took is not
// the endpoint's.
func (s *Scheduler) RecordDispatch(now time.Duration, handle uint64) {
	s.now = now
	if r := s.runs[handle]; r != nil {
		r.dispatchedAt, r.dispatched = now, true
	}
}

// RecordFirstToken records that the prefill of a request is complete.
func (s *Scheduler) RecordFirstToken(now time.Duration, handle uint64) {
	s.now = now
	r := s.runs[handle]
	if r == nil || r.firstToken != 0 {
		return
	}
	r.firstToken = now
	r.progressAt, r.progressTokens = now, 1
	r.endpoint.prefill -= r.uncached
	r.endpoint.adaptWindow(now, r.expectedFirstToken, now-r.dispatchedAt)
	r.endpoint.observePrefill(now, r.expectedFirstToken, now-r.dispatchedAt)
	s.dirty = true
}

// RecordTokens records the total number of tokens received.
func (s *Scheduler) RecordTokens(now time.Duration, handle uint64, total int) {
	s.now = now
	r := s.runs[handle]
	if r == nil || total <= r.tokens {
		return
	}
	if r.firstToken != 0 && now >= r.progressAt+progressSpan && total-r.progressTokens >= minProgress {
		r.endpoint.observeOutput(now, total-r.progressTokens, now-r.progressAt)
		r.progressAt, r.progressTokens = now, total
	}
	r.tokens = total
}

const (
	// progressSpan and minProgress are the minimum time and number of tokens for
	// a speed observation.
	progressSpan = 400 * time.Millisecond
	minProgress  = 1
)

// Done records the end of a request, in whichever way it ended.
func (s *Scheduler) Done(now time.Duration, handle uint64) {
	s.now = now
	r := s.runs[handle]
	if r == nil {
		return
	}
	s.release(r)
}

func (s *Scheduler) release(r *run) {
	if r.firstToken == 0 {
		r.endpoint.prefill -= r.uncached
	}
	delete(r.endpoint.running, r.handle)
	delete(s.runs, r.handle)
	s.completeYield(r)
	s.dirty = true
}

// ApplyCacheEvents updates the cache index with blocks that an endpoint reports
// as stored or dropped. The events arrive late and with gaps, so the index is
// only a hint.
func (s *Scheduler) ApplyCacheEvents(name string, stored, dropped []uint64) {
	e := s.byName[name]
	if e == nil {
		return
	}
	e.indexBlocks(stored)
	for _, h := range dropped {
		e.index.Remove(h)
	}
}

// ClearCacheIndex empties an endpoint's cache index because cache events were
// missed.
func (s *Scheduler) ClearCacheIndex(name string) {
	if e := s.byName[name]; e != nil {
		e.index.Purge()
	}
}

// SetLeaving records whether an endpoint is shutting down, as reported by
// itself or by a peer.
func (s *Scheduler) SetLeaving(now time.Duration, name string, leaving bool) {
	s.now = now
	if e := s.byName[name]; e != nil {
		e.leaving = leaving || e.Endpoint.Leaving
	}
}

// Backoff keeps new requests from an endpoint for failureBackoff after a
// failure.
func (s *Scheduler) Backoff(now time.Duration, name string) {
	s.now = now
	if e := s.byName[name]; e != nil {
		e.backoffUntil = now + failureBackoff
	}
}

// LeavingEndpoints returns the endpoints known to be shutting down.
func (s *Scheduler) LeavingEndpoints() []string {
	var names []string
	for _, e := range s.endpoints {
		if e.leaving {
			names = append(names, e.Name)
		}
	}
	return names
}

// Tick advances time: requests that are too late are refused and assignable
// ones are assigned.
func (s *Scheduler) Tick(now time.Duration) {
	s.now = now
	s.observeOverdue()
	s.dirty = true
}

// observeOverdue updates the prefill ratios from first tokens that are overdue.
func (s *Scheduler) observeOverdue() {
	for _, e := range s.endpoints {
		for _, r := range e.running {
			if waited := s.now - r.dispatchedAt; r.dispatched && r.firstToken == 0 && waited > overdueFactor*r.expectedFirstToken+overdueSlack {
				e.raisePrefillRatio(s.now, float64(waited)/float64(r.expectedFirstToken+overdueSlack))
			}
		}
	}
}

const (
	// A first token is overdue after overdueFactor times the expected time plus
	// overdueSlack.
	overdueFactor = 3
	overdueSlack  = 200 * time.Millisecond
)

// raisePrefillRatio raises the observed prefill ratio to a lower bound.
func (e *endpoint) raisePrefillRatio(now time.Duration, ratio float64) {
	p, o := e.slowdown(now)
	if ratio = clampRatio(ratio); ratio > p {
		e.prefillRatio, e.outputRatio, e.observedAt = ratio, o, now
	}
}

// Take returns the decisions made since the last call.
func (s *Scheduler) Take() Output {
	if s.dirty {
		s.dirty = false
		s.assign()
	}
	out := s.out
	s.out = Output{}
	return out
}

// Queued returns the number of waiting requests.
func (s *Scheduler) Queued() int { return s.queue.count }

// Running returns the number of assigned requests.
func (s *Scheduler) Running() int { return len(s.runs) }
