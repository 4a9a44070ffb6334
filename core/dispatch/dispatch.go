package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivefield/chivefield/core/limit"
	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/suspect"
)

// Job is one request that needs an endpoint.
type Job struct {
	Handle  uint64
	Service string
	// Tier orders jobs: 0 first.
	Tier int
	// PromptTokens is in tokens, ExpectedEvents is how many events the answer is expected to have;
	// both 0 for plain services.
	PromptTokens, ExpectedEvents int
	// Objective is the time by which the first event should be there, AbandonAt the
	// time after which nobody waits for it.
	Objective, AbandonAt time.Duration
	// Deadline is when the whole answer must be there; 0 for any time.
	Deadline time.Duration
	// MaxPause is the longest pause between events that is on time; 0 for any.
	MaxPause time.Duration
	// Tried endpoints, by their short names, are not picked again.
	Tried []uint64
	// Avoided endpoints cannot be reached from where the request is.
	Avoided []uint64
	// Remote says that another VM sends the request and asks where to, Domain is that
	// VM's failure domain.
	Remote       bool
	SenderDomain string
	// Request names what the caller repeats, Suspicion says how carefully it is placed.
	Request   suspect.Digest
	Suspicion Suspicion
	// Canary says that the request is to try a new version of the service.
	Canary bool
	// LimitCharged says that the VM that placed it counted it against the endpoint's limit.
	LimitCharged bool

	arrived time.Duration
	// late says that the objective cannot be met any more; rank orders the queue.
	late bool
	rank int
}

// Decision is what to do with a waiting job.
type Decision struct {
	Handle uint64
	// Endpoint is nil if the job is refused. Name is the short name of one that another
	// VM chose and that may not be used here.
	Endpoint     *members.Endpoint
	EndpointHash uint64
	// RetryAfter says when room is expected, for refused jobs.
	RetryAfter time.Duration
	// Reason says why it was refused; empty if it was placed.
	Reason string
	// Predicted is the time to the first event that was expected.
	Predicted time.Duration
	// Candidates is how many endpoints were usable, Waiting how many jobs wait.
	Candidates, Waiting int
	// DecidedBy is the VM that decided, if it was another.
	DecidedBy string
	// Load is what all VMs together had at the endpoint, as far as known, and its
	// slowness as assumed.
	Load Load
	// LimitCharged says that it was counted against the endpoint's limit.
	LimitCharged bool
}

// Reasons of refusals.
const (
	ReasonNoEndpoint = "no_endpoint"
	ReasonTooLate    = "too_late"
	ReasonQueueFull  = "queue_full"
	ReasonBackoff    = "endpoints_rest"
)

// Load is the load that one VM puts on an endpoint.
type Load struct {
	Running, Waiting int
	PromptTokens     int
	// EventGap is the time between two events of a stream when nothing disturbs; 0 if
	// not known.
	EventGap time.Duration
	// RecentGap is the lesser of the last two times between events, if one was seen since
	// the VM told last; 0 otherwise.
	RecentGap time.Duration
	// SuspectedDown says that the endpoint could not be reached, Replaced that another
	// incarnation has its address, Ejected that it fails more than others.
	SuspectedDown, Replaced, Ejected bool
}

// Scheduler is one VM's queues and its view of the endpoints. It is not safe
// for concurrent use.
type Scheduler struct {
	// disabled are mechanisms that are switched disabled.
	disabled  mechanism.Off
	services  map[string]*service
	running   map[uint64]*run
	decisions []Decision
	// lostRuns are runs whose endpoint has started anew.
	lostRuns []uint64
	// byHash finds endpoints by the hash of their ids, as peers name them.
	byHash map[uint64]*endpoint
	// self is this VM's own short name, others are those heard.
	self   uint64
	domain string
	// placer is the short name of the VM by which endpoints are chosen.
	placer uint64
	// delegates says that another VM places the requests of this one.
	delegates bool
	peers     []peerVM
	// peerIndex numbers the VMs that were heard, lastNote is when each spoke last.
	peerIndex map[string]int
	lastNote  []time.Duration
	// sameDomain says which of them are of the own failure domain.
	sameDomain []bool
	// placerChanges counts the changes of who places requests.
	placerChanges int
	// invalidValues counts quantities that cannot be.
	invalidValues int
	// quarantinedRuns counts the runs of each request that is on trial.
	quarantinedRuns map[suspect.Digest]int
	// contention is what is known of the VMs of the own failure domain, and of others.
	contention [2]contention
	// limits are of the endpoints that name one, by their short names; reach is the part of each that this
	// VM may use where it is the one to send.
	limits     map[uint64]*limit.Bucket
	limitShare float64
	// backoffs are when endpoints want requests again, by their short names.
	backoffs map[uint64]backoff
}

type service struct {
	name     string
	disabled mechanism.Off
	// endpoints are by the keys of their incarnations.
	endpoints map[string]*endpoint
	list      []*endpoint
	queue     []*Job
	latency   latencyModel
	// scarce says that few endpoints have room.
	scarce bool
	// placements is how fast jobs were placements lately, served how fast those of each class
	// were.
	placements      decayingRate
	classPlacements map[class]*decayingRate
	// usualWork is the usual work of a placed job, as work tells it.
	usualWork float64
}

// endpoint is the view of one endpoint.
type endpoint struct {
	members.Endpoint
	engine bool
	// hash is what VMs call it among themselves.
	hash uint64
	runs map[uint64]*run
	// peerLoads are the loads of other VMs, by their index.
	peerLoads []peerLoad
	// eventGap is the time between two events when nothing disturbs, plain the usual
	// time of an answer without a prompt, in seconds.
	eventGap   lowEstimate
	answerTime float64
	// recentGaps are the last two times between events seen here, in seconds; fresh says
	// that one came since others were told. observed is when the pace was last learned
	// from events, not from other VMs' opinion.
	recentGaps    [2]float64
	gapUnreported bool
	gapObserved   time.Duration
	turn          slotTurns
	// lastFirstEvent is when a run of this VM here last got its first event.
	lastFirstEvent time.Duration
	health         health
	// suspectRuns and quarantinedRuns count the runs here of requests that may end it.
	suspectRuns, quarantinedRuns int
}

type peerLoad struct {
	Load
	vm       int
	received time.Duration
}

// run is a job at an endpoint.
type run struct {
	job       *Job
	ep        *endpoint
	sent      time.Duration
	started   bool
	lastEvent time.Duration
	// batched says that more than one event came last, or the first, so that the
	// time to the next one tells nothing of the pace.
	batched bool
	// pendingGap is the time between the last two events, if it tells.
	pendingGap  time.Duration
	tokensAhead int
	// predicted is the time to the first event that was predicted.
	predicted time.Duration
	// adopted runs were placed by another VM, which counts them for all.
	adopted bool
	// trial says that the endpoint was ejected when the run began.
	trial bool
}

// New returns a scheduler without endpoints, for the VM of that name in that
// failure domain.
func New(vm, domain string) *Scheduler {
	return &Scheduler{
		self: xxhash.Sum64String(vm), placer: xxhash.Sum64String(vm), domain: domain,
		services: make(map[string]*service), running: make(map[uint64]*run),
		byHash: make(map[uint64]*endpoint), peerIndex: make(map[string]int), quarantinedRuns: make(map[suspect.Digest]int), limits: make(map[uint64]*limit.Bucket), backoffs: make(map[uint64]backoff),
	}
}

// Disable runs without some mechanisms. It must be called before any other method.
func (s *Scheduler) Disable(off mechanism.Off) { s.disabled = off }

func (s *Scheduler) service(name string) *service {
	sv := s.services[name]
	if sv == nil {
		sv = &service{name: name, disabled: s.disabled, latency: latencyModel{tokensPerEvent: defaultTokensPerEvent}, endpoints: make(map[string]*endpoint), classPlacements: make(map[class]*decayingRate)}
		s.services[name] = sv
	}
	return sv
}

// SetTokensPerEvent tells how many tokens an event of a service's streams holds.
func (s *Scheduler) SetTokensPerEvent(name string, tokens int) {
	s.service(name).latency.tokensPerEvent = tokens
}

// SetEndpoints replaces the usable endpoints of a service. engine says that
// they are model engines.
func (s *Scheduler) SetEndpoints(now time.Duration, name string, list []*members.Endpoint, engine bool) []Decision {
	sv := s.service(name)
	old := sv.endpoints
	for _, ep := range old {
		delete(s.byHash, ep.hash)
	}
	sv.endpoints = make(map[string]*endpoint, len(list))
	sv.list = sv.list[:0]
	for _, m := range s.chooseSubset(list) {
		key := m.Key()
		ep := old[key]
		if ep == nil {
			ep = &endpoint{runs: make(map[uint64]*run), hash: EndpointHash(key)}
			s.lostRuns = append(s.lostRuns, runsAtEarlierIncarnations(old, m)...)
		}
		ep.Endpoint, ep.engine = *m, engine
		s.byHash[ep.hash] = ep
		sv.endpoints[key] = ep
		sv.list = append(sv.list, ep)
	}
	s.placeQueued(now, sv)
	return s.takeDecisions()
}

// runsAtEarlierIncarnations are the handles of runs at earlier incarnations of an endpoint.
func runsAtEarlierIncarnations(known map[string]*endpoint, m *members.Endpoint) []uint64 {
	if m.Born == 0 {
		return nil
	}
	var handles []uint64
	for _, ep := range known {
		if ep.ID == m.ID && ep.Born < m.Born {
			handles = slices.AppendSeq(handles, maps.Keys(ep.runs))
		}
	}
	return handles
}

// TakeLostRuns returns the runs whose endpoint has started anew since the last call. They
// are lost, though a connection to an endpoint that lost power shows nothing.
func (s *Scheduler) TakeLostRuns() []uint64 {
	handles := s.lostRuns
	s.lostRuns = nil
	return handles
}

// Submit queues a job and places what can be placed.
func (s *Scheduler) Submit(now time.Duration, j Job) []Decision {
	sv := s.service(j.Service)
	s.clampJob(&j)
	j.arrived, j.Suspicion = now, s.effectiveSuspicion(&j)
	sv.queue = append(sv.queue, &j)
	s.placeQueued(now, sv)
	return s.takeDecisions()
}

// Withdraw takes back a waiting job.
func (s *Scheduler) Withdraw(now time.Duration, name string, handle uint64) {
	sv := s.service(name)
	sv.queue = slices.DeleteFunc(sv.queue, func(j *Job) bool { return j.Handle == handle })
}

// RecordEvents says that n events of a stream came, or the answer of a plain service.
// The first one of a run says that its prompt was read.
func (s *Scheduler) RecordEvents(now time.Duration, handle uint64, n int) {
	r := s.running[handle]
	if r == nil {
		return
	}
	sv := s.service(r.job.Service)
	r.ep.health.recordContact(now)
	switch {
	case !r.started:
		sv.latency.observeFirstEvent(r, now-r.sent)
		r.ep.lastFirstEvent = now
		if r.job.Remote {
			r.started = true
			return
		}
	default:
		// The last event of a stream may hold fewer tokens and come sooner, so a
		// time between events counts only once another event has followed.
		if r.pendingGap > 0 {
			sv.latency.observeGap(now, r.ep, r.pendingGap)
		}
		r.pendingGap = 0
		if n == 1 && !r.batched {
			r.pendingGap = now - r.lastEvent
		}
	}
	r.batched = n > 1 || !r.started
	r.started, r.lastEvent = true, now
}

// Outcome is how a run at an endpoint ended.
type Outcome int

// Outcomes of runs.
const (
	// Answered: the endpoint answered.
	Answered Outcome = iota
	// Failed: it answered that it had failed.
	Failed
	// Unreachable: nothing could be sent to it.
	Unreachable
	// Rejected: it said that it did not run the request.
	Rejected
	// Replaced: another incarnation answers at its address; it did not run the
	// request.
	Replaced
	// Broken: it broke off or sent garbage.
	Broken
	// Silent: nothing came from it for too long.
	Silent
	// CallerLeft: the caller left, or its time ran out.
	CallerLeft
)

// outcomeNames are the outcomes as logs name them, in order.
var outcomeNames = [...]string{"answered", "failed", "unreachable", "rejected", "replaced", "broken", "silent", "left"}

// String names the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// EndRun says that a run is over, and places what fits into its room.
func (s *Scheduler) EndRun(now time.Duration, handle uint64, o Outcome) []Decision {
	r := s.running[handle]
	if r == nil {
		return nil
	}
	delete(s.running, handle)
	delete(r.ep.runs, handle)
	s.countSuspects(r, -1)
	if !r.adopted && (o == Answered || o == CallerLeft) {
		// A slot that a failure gives back is no sign of room.
		r.ep.turn.recordEnd(now)
	}
	sv := s.service(r.job.Service)
	r.ep.recordOutcome(now, r, o, sv)
	s.placeQueued(now, sv)
	return s.takeDecisions()
}

// Tick refuses jobs that wait in vain and places others as loads fade.
func (s *Scheduler) Tick(now time.Duration) []Decision {
	for _, sv := range s.services {
		if len(sv.queue) > 0 {
			s.placeQueued(now, sv)
		}
	}
	return s.takeDecisions()
}

// QueuedJobs is the number of jobs that wait.
func (s *Scheduler) QueuedJobs() int {
	n := 0
	for _, sv := range s.services {
		n += len(sv.queue)
	}
	return n
}

func (s *Scheduler) takeDecisions() []Decision {
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

func (s *Scheduler) assign(now time.Duration, sv *service, j *Job, c candidate) {
	s.startRun(now, j, c)
	c.ep.turn.recordTake()
	sv.placements.add(now)
	sv.classRate(class{j.Tier, j.late}).add(now)
	sv.usualWork += (sv.work(j) - sv.usualWork) * workWeight
	ep := c.ep.Endpoint
	s.decisions = append(s.decisions, Decision{
		Handle: j.Handle, Endpoint: &ep, Predicted: c.firstEvent, Candidates: len(sv.list), Waiting: len(sv.queue), Load: c.load, LimitCharged: s.chargeLimit(c.ep),
	})
}

// startRun notes that a job is at an endpoint.
func (s *Scheduler) startRun(now time.Duration, j *Job, c candidate) *run {
	r := &run{job: j, ep: c.ep, sent: now, lastEvent: now, tokensAhead: c.tokensAhead, predicted: c.firstEvent, trial: c.ep.health.ejection.active}
	if r.trial {
		c.ep.health.ejection.trialsRunning++
	}
	c.ep.runs[j.Handle] = r
	s.countSuspects(r, 1)
	s.running[j.Handle] = r
	return r
}

func (s *Scheduler) refuse(now time.Duration, sv *service, j *Job, reason string) {
	s.decisions = append(s.decisions, Decision{
		Handle: j.Handle, Reason: reason, RetryAfter: max(retryAfter(j), s.rateLimitWait(sv), s.backoffWait(now, sv, j)), Candidates: len(sv.list), Waiting: len(sv.queue),
	})
}
