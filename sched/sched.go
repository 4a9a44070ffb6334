package sched

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

// Config is fixed for the life of a process.
type Config struct {
	// MaxQueued bounds the waiting requests.
	MaxQueued int
}

// Assignment binds a request to an endpoint.
type Assignment struct {
	Handle   uint64
	Endpoint string
	// Candidates tell why this endpoint was picked and the others were not.
	Candidates []Candidate
}

// Refusal ends a request that was not dispatched.
type Refusal struct {
	Handle     uint64
	Reason     request.Reason
	RetryAfter time.Duration
}

// Output is what one or more events decided, in order.
type Output struct {
	Assignments []Assignment
	Refusals    []Refusal
	// Stops are running requests to cancel for a higher tier.
	Stops []uint64
	// Yields ask every peer for room; YieldResults answer single peers.
	Yields       []*schema.Yield
	YieldResults []YieldReply
}

// YieldReply goes to one peer.
type YieldReply struct {
	To     uint32
	Result *schema.YieldResult
}

// run is an assigned request.
type run struct {
	handle   uint64
	spec     request.Spec
	endpoint *endpoint
	assigned time.Duration
	// expectedFirstToken time to the first token, at nominal speed.
	expectedFirstToken time.Duration
	uncached           int
	firstToken         time.Duration // 0 before it
	tokens             int
	// progressAt and progressTokens are the last point at which its speed was seen.
	progressAt     time.Duration
	progressTokens int
	stopping       bool
	// stoppedFor is the peer's yield that waits for the stop.
	stoppedFor *yieldRequest
}

// Scheduler holds one VM's queue and its part of the endpoints. It is not safe
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
	// dirty: something happened that could let a request be assigned.
	dirty bool
	// demand counts, for an endpoint, the waiting requests that could use it.
	demand map[*endpoint]int
	// blockedBy are the endpoints that a request without room could use, with the
	// highest such tier; of the present pass.
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

// SetEndpoints puts a configuration in force. What is known of an endpoint that
// stays is kept. Requests that run at one that is gone run on.
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

// SetPeers names the VMs that share the endpoints.
func (s *Scheduler) SetPeers(ids []uint32) { s.peers = ids }

// Submit queues a request or refuses it at once.
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

// admit refuses what no endpoint could do in time even if it were idle. A full
// queue refuses only what has no lower-tier work to take the place of.
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

// dropLower gives up the last waiting request of the lowest tier for one of a
// higher tier.
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

// checkFeasible reports whether a request could be done in time with room, and notes
// from when on it is urgent and until when it is checkFeasible.
func (s *Scheduler) checkFeasible(w *waiting) (request.Reason, bool) {
	best, found := s.bestIdle(&w.spec)
	if !found {
		return request.ReasonNoEndpoint, false
	}
	w.latestStart = w.spec.Deadline - best.TimeToFinish
	w.urgentAt = w.latestStart - time.Duration(urgentShare*float64(best.TimeToFinish)) - urgentMargin
	if w.spec.FirstToken > 0 {
		w.urgentAt = min(w.urgentAt, w.arrived+w.spec.FirstToken-best.TimeToFirstToken-urgentMargin)
	}
	if s.now > w.latestStart {
		return request.ReasonTooLate, false
	}
	return "", true
}

// bestIdle is the quickest that a request could be done if all were idle.
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

// retryAfter is when the work ahead of a request should be done.
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

// Withdraw ends a request that waits, without a refusal: its caller has gone.
func (s *Scheduler) Withdraw(now time.Duration, handle uint64) {
	s.now = now
	if w := s.waiting[handle]; w != nil {
		s.removeWaiting(w)
	}
}

// Retry gives back an assignment that provably ran nowhere. The endpoint rests.
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

// RecordFirstToken notes that the prompt was read.
func (s *Scheduler) RecordFirstToken(now time.Duration, handle uint64) {
	s.now = now
	r := s.runs[handle]
	if r == nil || r.firstToken != 0 {
		return
	}
	r.firstToken = now
	r.progressAt, r.progressTokens = now, 1
	r.endpoint.prefill -= r.uncached
	r.endpoint.adaptWindow(now, r.expectedFirstToken, now-r.assigned)
	r.endpoint.observePrefill(now, r.expectedFirstToken, now-r.assigned)
	s.dirty = true
}

// RecordTokens notes how many tokens have come in all.
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
	// progressSpan and minProgress say how much of a stream shows its speed.
	progressSpan = 400 * time.Millisecond
	minProgress  = 1
)

// Done notes the end of a request, however it ended.
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

// ApplyCacheEvents notes blocks that an endpoint says it has or has dropped. Such
// events come late and with gaps: the index is a hint.
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

// ClearCacheIndex notes that events of an endpoint were missed.
func (s *Scheduler) ClearCacheIndex(name string) {
	if e := s.byName[name]; e != nil {
		e.index.Purge()
	}
}

// SetLeaving notes that an endpoint said it leaves, here or to a peer.
func (s *Scheduler) SetLeaving(now time.Duration, name string, leaving bool) {
	s.now = now
	if e := s.byName[name]; e != nil {
		e.leaving = leaving || e.Endpoint.Leaving
	}
}

// Backoff keeps an endpoint from new work for a short while after a failure.
func (s *Scheduler) Backoff(now time.Duration, name string) {
	s.now = now
	if e := s.byName[name]; e != nil {
		e.backoffUntil = now + failureBackoff
	}
}

// LeavingEndpoints lists the endpoints known to leave.
func (s *Scheduler) LeavingEndpoints() []string {
	var names []string
	for _, e := range s.endpoints {
		if e.leaving {
			names = append(names, e.Name)
		}
	}
	return names
}

// Tick lets time pass: late requests are given up on, and what can be assigned is.
func (s *Scheduler) Tick(now time.Duration) {
	s.now = now
	s.observeOverdue()
	s.dirty = true
}

// observeOverdue learns from first tokens that have not come.
func (s *Scheduler) observeOverdue() {
	for _, e := range s.endpoints {
		for _, r := range e.running {
			if waited := s.now - r.assigned; r.firstToken == 0 && waited > overdueFactor*r.expectedFirstToken+overdueSlack {
				e.raisePrefillRatio(s.now, float64(waited)/float64(r.expectedFirstToken+overdueSlack))
			}
		}
	}
}

const (
	// overdueFactor and overdueSlack say when a first token is overdue.
	overdueFactor = 3
	overdueSlack  = 200 * time.Millisecond
)

// raisePrefillRatio raises the observed slowness of prompts to a lower bound.
func (e *endpoint) raisePrefillRatio(now time.Duration, ratio float64) {
	p, o := e.slowdown(now)
	if ratio = clampRatio(ratio); ratio > p {
		e.prefillRatio, e.outputRatio, e.observedAt = ratio, o, now
	}
}

// Take returns what was decided since the last call.
func (s *Scheduler) Take() Output {
	if s.dirty {
		s.dirty = false
		s.assign()
	}
	out := s.out
	s.out = Output{}
	return out
}

// Queued returns how many requests wait.
func (s *Scheduler) Queued() int { return s.queue.count }

// Running returns how many requests are assigned.
func (s *Scheduler) Running() int { return len(s.runs) }
