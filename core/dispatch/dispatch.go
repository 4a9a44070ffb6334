package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivefield/chivefield/core/limit"
	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/returns"
	"github.com/chivefield/chivefield/core/suspect"
)

// Job is a request that needs an endpoint.
type Job struct {
	Handle  uint64
	Service string
	// Tier is the priority; 0 is the highest.
	Tier int
	// PromptTokens is the length of the prompt. ExpectedEvents is the expected number of events
	// in the response. Both are 0 for plain services.
	PromptTokens, ExpectedEvents int
	// Objective is the time by which the first event is due. AbandonAt is the time after which
	// the caller no longer waits for it.
	Objective, AbandonAt time.Duration
	// Deadline is the time by which the whole response must be complete; 0 for none.
	Deadline time.Duration
	// MaxPause is the longest pause between events that still counts as on time; 0 for no
	// limit.
	MaxPause time.Duration
	// Tried lists the hashes of endpoints that were already tried. They are not picked again.
	Tried []uint64
	// Avoided lists the hashes of endpoints that the VM sending the request cannot use.
	Avoided []uint64
	// Remote marks a job that another VM sends and asks this one to place. SenderDomain is that
	// VM's failure domain.
	Remote       bool
	SenderDomain string
	// Suspect identifies what is suspected of terminating endpoints: the request across retries, or a
	// part of its prompt that others share. Suspicion is the level of isolation with which it is placed.
	Suspect   suspect.Digest
	Suspicion Suspicion
	// Canary marks a request that was chosen to test a new version of the service.
	Canary bool
	// Continues marks the rest of a stream whose first events have reached the caller. Only endpoints of
	// Version, which sent them, may run it.
	Continues bool
	Version   string
	// LimitCharged reports whether the VM that placed the job charged it to what the endpoint states
	// of itself: its rate limit, or what it bears to reject.
	LimitCharged bool
	// Organisation is the hash of the name of the organisation that sends the request, 0 for none.
	// Weight is the weight of its share within a tier; 0 means 1.
	Organisation uint64
	Weight       float64
	// Request is a hash of what stays the same in all attempts of the caller; 0 if unknown.
	Request uint64

	arrived time.Duration
	// late is set once the objective can no longer be met. rank orders the queue. excluded is set while
	// the VM sending it can use none of the endpoints.
	late, excluded bool
	rank           int
	// checkedList is the listNumber for which excluded was found out.
	checkedList int
	// share is the job's part in its organisation's share.
	share jobShare
	// returning is set if the caller returned at the time that it was promised.
	returning bool
}

// Decision is the result for a queued job: an endpoint or a refusal.
type Decision struct {
	Handle uint64
	// Endpoint is nil if the job was refused. EndpointHash is set if another VM chose an
	// endpoint that this VM may not use.
	Endpoint     *members.Endpoint
	EndpointHash uint64
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	// Reason is the reason for a refusal; empty if the job was placed.
	Reason string
	// Predicted is the predicted time to the first event.
	Predicted time.Duration
	// Candidates is the number of endpoints in use. Reachable is how many of them the VM that decided
	// takes to be reachable; it is counted for refusals. Waiting is the number of queued jobs.
	Candidates, Reachable, Waiting int
	// DecidedBy is the VM that made the decision; empty for this VM.
	DecidedBy string
	// Load is the known load of all VMs together at the endpoint, with the event gap assumed
	// for it.
	Load Load
	// LimitCharged reports whether the job was charged to what the endpoint states of itself.
	LimitCharged bool
	// Promised reports whether a refused caller was promised capacity at RetryAfter.
	Promised bool
}

// Reasons for refusals.
const (
	ReasonNoEndpoint = "no_endpoint"
	ReasonTooLate    = "too_late"
	ReasonQueueFull  = "queue_full"
	ReasonBackoff    = "endpoints_rest"
)

// Load is the load of one VM at an endpoint.
type Load struct {
	Running, Waiting int
	PromptTokens     int
	// EventGap is the undisturbed time between two events of a stream; 0 if unknown.
	EventGap time.Duration
	// RecentGap is the lesser of the last two times between events, if one was observed since
	// the VM's last report; 0 otherwise.
	RecentGap time.Duration
	// SuspectedDown reports that the endpoint could not be reached, Replaced that another
	// incarnation has its address, Ejected that it was ejected for failing repeatedly.
	SuspectedDown, Replaced, Ejected bool
	// LearnedLimit is the concurrency limit that the VM learned, 0 for none. LearnedAge is the age of the
	// newest response on which that rests, at least a millisecond; 0 if there is none.
	LearnedLimit int
	LearnedAge   time.Duration
}

// Scheduler holds one VM's queues and its view of the endpoints. It is not safe for concurrent
// use.
type Scheduler struct {
	// disabled is the set of disabled mechanisms.
	disabled  mechanism.Off
	services  map[string]*service
	running   map[uint64]*run
	decisions []Decision
	// lostRuns are the handles of runs whose endpoint has restarted.
	lostRuns []uint64
	// byHash maps endpoint hashes, by which peers refer to endpoints, to endpoints.
	byHash map[uint64]*endpoint
	// self is the hash of this VM's name. peers are the VMs from which a note was received.
	self   uint64
	domain string
	// placer is the hash of the VM whose subset of endpoints this VM uses.
	placer uint64
	// delegates reports whether another VM places this VM's requests.
	delegates bool
	peers     []peerVM
	// peerIndex maps VM names to indexes into peers, lastNote and sameDomain. lastNote is the
	// time of the last note from each.
	peerIndex map[string]int
	lastNote  []time.Duration
	// sameDomain reports whether each peer is in this VM's failure domain.
	sameDomain []bool
	// placerChanges counts the changes to the set of placers.
	placerChanges int
	// invalidValues counts received quantities that were out of bounds.
	invalidValues int
	// quarantinedRuns counts the runs of each quarantined request, or with each quarantined part.
	quarantinedRuns map[suspect.Digest]int
	// contention is the expected contention with placers of this VM's failure domain (index 0)
	// and of other domains (index 1).
	contention [2]contention
	// limits maps endpoint hashes to rate limits. limitShare is the share of each limit that
	// this VM may use where it ranks first.
	limits     map[uint64]*limit.Bucket
	limitShare float64
	// backoffs maps endpoint hashes to the backoffs that the endpoints asked for.
	backoffs map[uint64]backoff
	// brittle maps endpoint hashes to those that are brittle.
	brittle map[uint64]*brittleEndpoint
	// sent is when notes with loads are sent, by VM.
	sent map[string]*sentNotes
}

type service struct {
	name string
	// hash identifies the service among VMs.
	hash     uint64
	disabled mechanism.Off
	// endpoints maps incarnation keys to endpoints.
	endpoints map[string]*endpoint
	list      []*endpoint
	// listNumber counts the lists of endpoints, from 1.
	listNumber int
	queue      []*Job
	latency    latencyModel
	silence    commonSilence
	// scarce is set while few endpoints have capacity.
	scarce bool
	// placements is the recent rate of placements, classPlacements holds those of each class.
	placements      decayingRate
	classPlacements map[class]*classPlacements
	// limited is set while all endpoints have rate limits.
	limited bool
	// usualWork is the moving average of the work of placed jobs.
	usualWork float64
	// shares is the use by organisation, by tier.
	shares map[int]*tierShares
	// beyondBuffer is reused when the queue is ordered by shares.
	beyondBuffer []*Job
	// returns holds the times that were promised to refused callers.
	returns *returns.Schedule
	// ahead is set during refuseUnservable only: the jobs of each class that it has kept so far.
	ahead map[class]int
}

// endpoint is this VM's view of an endpoint.
type endpoint struct {
	members.Endpoint
	engine bool
	// hash identifies the endpoint among VMs.
	hash uint64
	runs map[uint64]*run
	// peerLoads are the loads of other VMs.
	peerLoads []peerLoad
	// eventGap is the undisturbed time between two events, responseTime the mean response time
	// for jobs without a prompt, both in seconds.
	eventGap     lowEstimate
	responseTime float64
	// responseObserved is when responseTime was last learned.
	responseObserved time.Duration
	// recentGaps are the last two times between events observed here, in seconds. gapUnreported
	// is set if one was observed since the last report to peers. gapObserved is the time at
	// which the gap was last learned from events rather than from other VMs' estimates.
	recentGaps    [2]float64
	gapUnreported bool
	gapObserved   time.Duration
	turn          slotTurns
	// lastFirstEvent is the time of the last first event of any run of this VM at the endpoint.
	lastFirstEvent time.Duration
	health         health
	// suspectRuns and quarantinedRuns count the runs here of suspected and of quarantined
	// requests.
	suspectRuns, quarantinedRuns int
	// learned is what this VM learned of the endpoint's concurrency limit.
	learned learnedLimit
}

type peerLoad struct {
	Load
	vm       int
	received time.Duration
}

// New returns a scheduler without endpoints for the named VM in the given failure domain.
func New(vm, domain string) *Scheduler {
	return &Scheduler{
		self: xxhash.Sum64String(vm), placer: xxhash.Sum64String(vm), domain: domain,
		services: make(map[string]*service), running: make(map[uint64]*run),
		byHash: make(map[uint64]*endpoint), peerIndex: make(map[string]int), quarantinedRuns: make(map[suspect.Digest]int), limits: make(map[uint64]*limit.Bucket), backoffs: make(map[uint64]backoff), brittle: make(map[uint64]*brittleEndpoint),
	}
}

// Disable turns mechanisms off. It must be called before any other method.
func (s *Scheduler) Disable(off mechanism.Off) { s.disabled = off }

func (s *Scheduler) service(name string) *service {
	sv := s.services[name]
	if sv == nil {
		sv = &service{name: name, hash: xxhash.Sum64String(name), disabled: s.disabled, latency: latencyModel{tokensPerEvent: defaultTokensPerEvent}, endpoints: make(map[string]*endpoint), classPlacements: make(map[class]*classPlacements), shares: make(map[int]*tierShares), returns: returns.New()}
		s.services[name] = sv
	}
	return sv
}

// SetTokensPerEvent sets the number of tokens in each event of a service's streams.
func (s *Scheduler) SetTokensPerEvent(name string, tokens int) {
	s.service(name).latency.tokensPerEvent = tokens
}

// SetEndpoints replaces the usable endpoints of a service. engine reports whether they are
// model engines.
func (s *Scheduler) SetEndpoints(now time.Duration, name string, list []*members.Endpoint, engine bool) []Decision {
	sv := s.service(name)
	old := sv.endpoints
	for _, ep := range old {
		delete(s.byHash, ep.hash)
	}
	sv.endpoints = make(map[string]*endpoint, len(list))
	sv.list = sv.list[:0]
	sv.listNumber++
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

// RemoveIdle removes the state of a service without endpoints and reports whether it did. It does not while
// jobs of the service wait or run.
func (s *Scheduler) RemoveIdle(name string) bool {
	sv := s.services[name]
	if sv == nil {
		return true
	}
	if len(sv.list) > 0 || len(sv.queue) > 0 {
		return false
	}
	for _, r := range s.running {
		if r.job.Service == name {
			return false
		}
	}
	delete(s.services, name)
	return true
}

// runsAtEarlierIncarnations returns the handles of runs at earlier incarnations of an endpoint.
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

// TakeLostRuns returns the runs whose endpoint has restarted since the last call. They are
// lost, although the connection to an endpoint that lost power shows no error.
func (s *Scheduler) TakeLostRuns() []uint64 {
	handles := s.lostRuns
	s.lostRuns = nil
	return handles
}

// Submit queues a job and places as many queued jobs as possible.
func (s *Scheduler) Submit(now time.Duration, j Job) []Decision {
	sv := s.service(j.Service)
	s.clampJob(&j)
	j.arrived, j.Suspicion = now, s.effectiveSuspicion(&j)
	sv.recogniseReturn(now, &j)
	sv.queue = append(sv.queue, &j)
	s.placeQueued(now, sv)
	return s.takeDecisions()
}

// Withdraw removes a queued job.
func (s *Scheduler) Withdraw(now time.Duration, name string, handle uint64) {
	sv := s.service(name)
	sv.queue = slices.DeleteFunc(sv.queue, func(j *Job) bool { return j.Handle == handle })
}

// RecordEvents records n events of a stream, or the response of a plain service. The first
// event of a run shows that its prompt was processed.
func (s *Scheduler) RecordEvents(now time.Duration, handle uint64, n int) {
	r := s.running[handle]
	if r == nil {
		return
	}
	sv := s.service(r.job.Service)
	sv.recordEventArrival(now, r)
	r.ep.health.recordContact(now)
	switch {
	case !r.started:
		if b := s.brittle[r.ep.hash]; b != nil {
			b.RecordAccepted(handle)
		}
		sv.latency.observeFirstEvent(now, r)
		r.ep.lastFirstEvent = now
		if r.job.Remote {
			r.started = true
			return
		}
	default:
		// The last event of a stream may hold fewer tokens and arrive sooner, so a gap is used
		// only once another event has followed.
		if r.pendingGap > 0 {
			sv.latency.observeGap(now, r.ep, r.pendingGap)
			s.learnFromGap(now, r.ep, toDuration(min(r.ep.recentGaps[0], r.ep.recentGaps[1])))
		}
		r.pendingGap = 0
		if n == 1 && !r.batched {
			r.pendingGap = now - r.lastEvent
		}
	}
	r.batched = n > 1 || !r.started
	r.started, r.lastEvent = true, now
}

// EndRun removes a run, records its outcome and places queued jobs in the freed slot.
func (s *Scheduler) EndRun(now time.Duration, handle uint64, o Outcome) []Decision {
	r := s.running[handle]
	if r == nil {
		return nil
	}
	delete(s.running, handle)
	delete(r.ep.runs, handle)
	s.countSuspects(r, -1)
	s.recordBrittleOutcome(now, r, o)
	if !r.adopted && (o == Answered || o == CallerDisconnected) {
		// A slot freed by a failure does not indicate spare capacity.
		r.ep.turn.recordEnd(now)
	}
	sv := s.service(r.job.Service)
	r.ep.recordOutcome(now, r, o, sv)
	s.learnFromEnd(now, r, o)
	s.placeQueued(now, sv)
	return s.takeDecisions()
}

// Tick refuses queued jobs that can no longer be served and places others as old peer loads
// expire.
func (s *Scheduler) Tick(now time.Duration) []Decision {
	for _, sv := range s.services {
		if len(sv.queue) > 0 {
			s.placeQueued(now, sv)
		}
	}
	return s.takeDecisions()
}

// QueuedJobs returns the number of queued jobs.
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
	sv.placementsOf(class{j.Tier, j.late}).add(now)
	sv.recordShareUse(now, j)
	sv.usualWork += (sv.work(j) - sv.usualWork) * workWeight
	ep := c.ep.Endpoint
	s.decisions = append(s.decisions, Decision{
		Handle: j.Handle, Endpoint: &ep, Predicted: c.firstEvent, Candidates: len(sv.list), Waiting: len(sv.queue), Load: c.load, LimitCharged: s.charge(now, c.ep, j.Handle),
	})
}

// startRun records that a job was sent to an endpoint.
func (s *Scheduler) startRun(now time.Duration, j *Job, c candidate) *run {
	r := &run{job: j, ep: c.ep, sent: now, lastEvent: now, tokensAhead: c.tokensAhead, predicted: c.firstEvent, trial: c.ep.health.ejection.active}
	if r.trial {
		c.ep.health.ejection.trialsRunning++
	}
	c.ep.runs[j.Handle] = r
	s.countSuspects(r, 1)
	s.running[j.Handle] = r
	s.learnFromStart(now, r)
	return r
}

func (s *Scheduler) refuse(now time.Duration, sv *service, j *Job, reason string) {
	j.share.recordRefusal()
	stated := max(s.rateLimitWait(sv), s.backoffWait(now, sv, j))
	s.decisions = append(s.decisions, Decision{
		Handle: j.Handle, Reason: reason, RetryAfter: max(retryAfter(j), stated), Candidates: len(sv.list), Reachable: sv.reachableCount(now), Waiting: len(sv.queue),
	})
	sv.setReturnTime(now, j, &s.decisions[len(s.decisions)-1], stated)
}

// reachableCount returns the number of endpoints that this VM takes to be reachable.
func (sv *service) reachableCount(now time.Duration) int {
	n := 0
	for _, e := range sv.list {
		if e.reachable(now) {
			n++
		}
	}
	return n
}
