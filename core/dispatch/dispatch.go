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
	// off are mechanisms that are switched off.
	off      mechanism.Off
	services map[string]*service
	running  map[uint64]*run
	out      []Decision
	// restarted are runs whose endpoint has started anew.
	restarted []uint64
	// byName finds endpoints by the hash of their ids, as peers name them.
	byName map[uint64]*endpoint
	// self is this VM's own short name, others are those heard.
	self   uint64
	domain string
	// chooser is the short name of the VM by which endpoints are chosen.
	chooser uint64
	// asks says that another VM places the requests of this one.
	asks   bool
	others []otherVM
	// vms numbers the VMs that were heard, lastNote is when each spoke last.
	vms      map[string]int
	lastNote []time.Duration
	// near says which of them are of the own failure domain.
	near []bool
	// placers counts the changes of who places requests.
	placers int
	// impossible counts quantities that cannot be.
	impossible int
	// onTrial counts the runs of each request that is on trial.
	onTrial map[suspect.Digest]int
	// company is what is known of the VMs of the own failure domain, and of others.
	company [2]company
	// limits are of the endpoints that name one, by their short names; reach is the part of each that this
	// VM may use where it is the one to send.
	limits map[uint64]*limit.Bucket
	reach  float64
	// rests are when endpoints want requests again, by their short names.
	rests map[uint64]rest
}

type service struct {
	name string
	off  mechanism.Off
	// endpoints are by the keys of their incarnations.
	endpoints map[string]*endpoint
	list      []*endpoint
	queue     []*Job
	pace      pace
	// scarce says that few endpoints have room.
	scarce bool
	// placed is how fast jobs were placed lately, served how fast those of each class
	// were.
	placed rate
	served map[class]*rate
	// effort is the usual work of a placed job, as work tells it.
	effort float64
}

// endpoint is the view of one endpoint.
type endpoint struct {
	members.Endpoint
	engine bool
	// name is what VMs call it among themselves.
	name uint64
	own  map[uint64]*run
	// others are the loads of other VMs, by their index.
	others []peerUse
	// gap is the time between two events when nothing disturbs, plain the usual
	// time of an answer without a prompt, in seconds.
	gap   floor
	plain float64
	// recent are the last two times between events seen here, in seconds; fresh says
	// that one came since others were told. observed is when the pace was last learned
	// from events, not from other VMs' opinion.
	recent   [2]float64
	fresh    bool
	observed time.Duration
	turn     turn
	// lastFirst is when a run of this VM here last got its first event.
	lastFirst time.Duration
	health    health
	// suspects and trials count the runs here of requests that may end it.
	suspects, trials int
}

type peerUse struct {
	Load
	vm int
	at time.Duration
}

// run is a job at an endpoint.
type run struct {
	job     *Job
	ep      *endpoint
	sent    time.Duration
	started bool
	last    time.Duration
	// several says that more than one event came last, or the first, so that the
	// time to the next one tells nothing of the pace.
	several bool
	// gap is the time between the last two events, if it tells.
	gap   time.Duration
	ahead int
	// expected is the time to the first event that was expected.
	expected time.Duration
	// adopted runs were placed by another VM, which counts them for all.
	adopted bool
	// trial says that the endpoint was ejected when the run began.
	trial bool
}

// New returns a scheduler without endpoints, for the VM of that name in that
// failure domain.
func New(vm, domain string) *Scheduler {
	return &Scheduler{
		self: xxhash.Sum64String(vm), chooser: xxhash.Sum64String(vm), domain: domain,
		services: make(map[string]*service), running: make(map[uint64]*run),
		byName: make(map[uint64]*endpoint), vms: make(map[string]int), onTrial: make(map[suspect.Digest]int), limits: make(map[uint64]*limit.Bucket), rests: make(map[uint64]rest),
	}
}

// Disable runs without some mechanisms. It must be called before any other method.
func (s *Scheduler) Disable(off mechanism.Off) { s.off = off }

func (s *Scheduler) service(name string) *service {
	sv := s.services[name]
	if sv == nil {
		sv = &service{name: name, off: s.off, pace: pace{eventTokens: usualEventTokens}, endpoints: make(map[string]*endpoint), served: make(map[class]*rate)}
		s.services[name] = sv
	}
	return sv
}

// SetTokensPerEvent tells how many tokens an event of a service's streams holds.
func (s *Scheduler) SetTokensPerEvent(name string, tokens int) {
	s.service(name).pace.eventTokens = tokens
}

// SetEndpoints replaces the usable endpoints of a service. engine says that
// they are model engines.
func (s *Scheduler) SetEndpoints(now time.Duration, name string, list []*members.Endpoint, engine bool) []Decision {
	sv := s.service(name)
	old := sv.endpoints
	for _, ep := range old {
		delete(s.byName, ep.name)
	}
	sv.endpoints = make(map[string]*endpoint, len(list))
	sv.list = sv.list[:0]
	for _, m := range s.choose(list) {
		key := m.Key()
		ep := old[key]
		if ep == nil {
			ep = &endpoint{own: make(map[uint64]*run), name: EndpointHash(key)}
			s.restarted = append(s.restarted, runsOfEarlier(old, m)...)
		}
		ep.Endpoint, ep.engine = *m, engine
		s.byName[ep.name] = ep
		sv.endpoints[key] = ep
		sv.list = append(sv.list, ep)
	}
	s.place(now, sv)
	return s.take()
}

// runsOfEarlier are the handles of runs at earlier incarnations of an endpoint.
func runsOfEarlier(known map[string]*endpoint, m *members.Endpoint) []uint64 {
	if m.Born == 0 {
		return nil
	}
	var handles []uint64
	for _, ep := range known {
		if ep.ID == m.ID && ep.Born < m.Born {
			handles = slices.AppendSeq(handles, maps.Keys(ep.own))
		}
	}
	return handles
}

// TakeLostRuns returns the runs whose endpoint has started anew since the last call. They
// are lost, though a connection to an endpoint that lost power shows nothing.
func (s *Scheduler) TakeLostRuns() []uint64 {
	handles := s.restarted
	s.restarted = nil
	return handles
}

// Submit queues a job and places what can be placed.
func (s *Scheduler) Submit(now time.Duration, j Job) []Decision {
	sv := s.service(j.Service)
	s.checkJob(&j)
	j.arrived, j.Suspicion = now, s.suspicion(&j)
	sv.queue = append(sv.queue, &j)
	s.place(now, sv)
	return s.take()
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
	r.ep.health.heard(now)
	switch {
	case !r.started:
		sv.pace.observeFirst(r, now-r.sent)
		r.ep.lastFirst = now
		if r.job.Remote {
			r.started = true
			return
		}
	default:
		// The last event of a stream may hold fewer tokens and come sooner, so a
		// time between events counts only once another event has followed.
		if r.gap > 0 {
			sv.pace.observeEvents(now, r.ep, r.gap)
		}
		r.gap = 0
		if n == 1 && !r.several {
			r.gap = now - r.last
		}
	}
	r.several = n > 1 || !r.started
	r.started, r.last = true, now
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
	delete(r.ep.own, handle)
	s.watch(r, -1)
	if !r.adopted && (o == Answered || o == CallerLeft) {
		// A slot that a failure gives back is no sign of room.
		r.ep.turn.ended(now)
	}
	sv := s.service(r.job.Service)
	r.ep.note(now, r, o, sv)
	s.place(now, sv)
	return s.take()
}

// Tick refuses jobs that wait in vain and places others as loads fade.
func (s *Scheduler) Tick(now time.Duration) []Decision {
	for _, sv := range s.services {
		if len(sv.queue) > 0 {
			s.place(now, sv)
		}
	}
	return s.take()
}

// QueuedJobs is the number of jobs that wait.
func (s *Scheduler) QueuedJobs() int {
	n := 0
	for _, sv := range s.services {
		n += len(sv.queue)
	}
	return n
}

func (s *Scheduler) take() []Decision {
	out := s.out
	s.out = nil
	return out
}

func (s *Scheduler) assign(now time.Duration, sv *service, j *Job, c candidate) {
	s.begin(now, j, c)
	c.ep.turn.take()
	sv.placed.count(now)
	sv.classRate(class{j.Tier, j.late}).count(now)
	sv.effort += (sv.work(j) - sv.effort) * effortWeight
	ep := c.ep.Endpoint
	s.out = append(s.out, Decision{
		Handle: j.Handle, Endpoint: &ep, Predicted: c.first, Candidates: len(sv.list), Waiting: len(sv.queue), Load: c.load, LimitCharged: s.spend(c.ep),
	})
}

// begin notes that a job is at an endpoint.
func (s *Scheduler) begin(now time.Duration, j *Job, c candidate) *run {
	r := &run{job: j, ep: c.ep, sent: now, last: now, ahead: c.ahead, expected: c.first, trial: c.ep.health.ejection.on}
	if r.trial {
		c.ep.health.ejection.running++
	}
	c.ep.own[j.Handle] = r
	s.watch(r, 1)
	s.running[j.Handle] = r
	return r
}

func (s *Scheduler) refuse(now time.Duration, sv *service, j *Job, reason string) {
	s.out = append(s.out, Decision{
		Handle: j.Handle, Reason: reason, RetryAfter: max(comeBack(j), s.limitedWait(sv), s.restWait(now, sv, j)), Candidates: len(sv.list), Waiting: len(sv.queue),
	})
}
