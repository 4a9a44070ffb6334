package entry

import (
	"context"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/notice"
	"github.com/chivefield/chivefield/core/routing"

	"github.com/chivefield/chivefield/core/mechanism"
)

// sharedScheduler makes the scheduler safe for concurrent use and delivers its decisions to the
// waiting requests.
type sharedScheduler struct {
	now func() time.Duration

	mu            sync.Mutex
	sched         *dispatch.Scheduler
	members       *members.Set
	syncedVersion uint64
	// membersAt is the position of the registry up to which members has its changes.
	membersAt Position
	// probe opens a connection to an endpoint and reports the result with recordProbe.
	probe func(dispatch.Probe)
	// countInvalid counts values that are out of range.
	countInvalid func(n int)
	// countReturns counts what became of the return times promised to refused callers.
	countReturns func(dispatch.ReturnCounts)
	// onDepartures is called with the incarnations that may no longer get requests.
	onDepartures func([]members.Departure)
	// logEjection logs an ejection or its end.
	logEjection func(dispatch.EjectionChange)
	// logLimits logs that concurrency limits of endpoints have changed, and how many have one. limited is
	// that number when it was last called.
	logLimits func(changes []dispatch.LimitChange, limited int)
	limited   int
	table     *routing.Table
	// named holds the services that this or an earlier configuration names, and whether their endpoints are
	// model engines.
	named map[string]bool
	// filterUsable returns those of a service's endpoints that may get requests.
	filterUsable func(now time.Duration, service string, list []*members.Endpoint) []*members.Endpoint
	// deliverRemote delivers decisions on requests of other VMs. It returns false if the request
	// is not known.
	deliverRemote func(dispatch.Decision) bool
	waiters       map[uint64]chan dispatch.Decision
	// touched is set by touch and cleared by a tick; wake ends a long pause between ticks.
	touched bool
	wake    chan struct{}
	// cancels holds functions that cancel attempts whose endpoint has restarted, by handle.
	cancels map[uint64]context.CancelFunc
}

func newSharedScheduler(vm, domain string, off mechanism.Off, now func() time.Duration) *sharedScheduler {
	s := &sharedScheduler{now: now, sched: dispatch.New(vm, domain), members: members.New(), named: make(map[string]bool), waiters: make(map[uint64]chan dispatch.Decision), cancels: make(map[uint64]context.CancelFunc), wake: make(chan struct{}, 1), countReturns: func(dispatch.ReturnCounts) {}}
	s.sched.Disable(off)
	return s
}

const (
	// tickInterval is how often waiting requests are checked. Most are placed when a run ends; ticks
	// only find those that have timed out.
	tickInterval = 20 * time.Millisecond
	// idleTickInterval is the interval while no request comes or goes: a VM of a large deployment has
	// one request in most seconds, and waking up is most of what it costs.
	idleTickInterval = 100 * time.Millisecond
)

// run does what is due until ctx ends.
func (s *sharedScheduler) run(ctx context.Context) error {
	t := time.NewTimer(tickInterval)
	defer t.Stop()
	idle := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
			if idle {
				idle = false
				t.Reset(tickInterval)
			}
		case <-t.C:
			idle = !s.tick()
			if idle {
				t.Reset(idleTickInterval)
			} else {
				t.Reset(tickInterval)
			}
		}
	}
}

// tick does what is due now, and reports whether there was anything to do since the last tick.
func (s *sharedScheduler) tick() (busy bool) {
	s.mu.Lock()
	s.members.Expire(s.now())
	s.syncEndpoints()
	busy = s.touched || s.sched.QueuedJobs() > 0
	s.touched = false
	if s.sched.QueuedJobs() > 0 {
		s.deliver(s.sched.Tick(s.now()))
	}
	probes := s.sched.DueProbes(s.now())
	changes := s.sched.TakeEjectionChanges()
	limits, limited := s.sched.TakeLimitChanges(s.now())
	limitsChanged := len(limits) > 0 || limited != s.limited
	s.limited = limited
	invalid := s.sched.TakeInvalidValues()
	returned := s.sched.TakeReturnCounts(s.now())
	departures := s.members.TakeDepartures()
	s.mu.Unlock()
	s.onDepartures(departures)
	s.countInvalid(invalid)
	s.countReturns(returned)
	for _, c := range changes {
		s.logEjection(c)
	}
	if limitsChanged {
		s.logLimits(limits, limited)
	}
	for _, p := range probes {
		go s.probe(p)
	}
	return busy || len(probes) > 0
}

// touch records that something happened that may make a tick due. The caller holds the lock.
func (s *sharedScheduler) touch() {
	s.touched = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sharedScheduler) recordProbe(key string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.RecordProbe(s.now(), key, ok)
}

func (s *sharedScheduler) deliver(decisions []dispatch.Decision) {
	for _, d := range decisions {
		if c := s.waiters[d.Handle]; c != nil {
			delete(s.waiters, d.Handle)
			c <- d
			continue
		}
		if !s.deliverRemote(d) && d.Endpoint != nil {
			// The VM that sent the request has withdrawn it.
			s.deliver(s.sched.EndRun(s.now(), d.Handle, dispatch.CallerDisconnected))
		}
	}
}

// submitRemote queues a request of another VM.
func (s *sharedScheduler) submitRemote(j dispatch.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.touch()
	s.deliver(s.sched.Submit(s.now(), j))
}

// withdrawRemote ends a request of another VM, whether it is waiting or running.
func (s *sharedScheduler) withdrawRemote(service string, handle uint64, o dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.touch()
	s.sched.Withdraw(s.now(), service, handle)
	s.deliver(s.sched.EndRun(s.now(), handle, o))
}

// adopt records that another VM placed a request. It returns nil and the reason if the endpoint
// may not be used.
func (s *sharedScheduler) adopt(j dispatch.Job, endpointHash uint64, predicted time.Duration, tokensAhead int) (*dispatch.Decision, dispatch.UnusableReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.touch()
	return s.sched.Adopt(s.now(), j, endpointHash, predicted, tokensAhead)
}

// takeOwnership makes an adopted request count towards this VM's own load: the VM that placed it no
// longer counts it.
func (s *sharedScheduler) takeOwnership(handle uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.TakeOwnership(handle)
}

// unavailable returns the hashes of the endpoints of a service that cannot be reached from here,
// or that have asked this VM to back off.
func (s *sharedScheduler) unavailable(service string) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.Unavailable(s.now(), service)
}

// backoffWait returns for how long all untried endpoints for a job have asked this VM to back off.
func (s *sharedScheduler) backoffWait(j *dispatch.Job) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.BackoffWait(s.now(), j)
}

// setBackoff sets until when an endpoint has asked this VM to back off, and until when it has
// asked others.
func (s *sharedScheduler) setBackoff(endpoint uint64, own, others time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.SetBackoff(endpoint, own, others)
}

// setPlacer makes the scheduler use the endpoints that the given VM chooses, which places this
// VM's requests; remote is set if it is another VM.
func (s *sharedScheduler) setPlacer(vm string, remote bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.SetPlacer(vm, remote)
	s.syncedVersion = 0
	s.syncEndpoints()
}

// place submits a job and waits for the decision. ok is false if ctx ended first.
func (s *sharedScheduler) place(ctx context.Context, j dispatch.Job) (dispatch.Decision, bool) {
	c := make(chan dispatch.Decision, 1)
	s.mu.Lock()
	s.touch()
	s.waiters[j.Handle] = c
	s.deliver(s.sched.Submit(s.now(), j))
	s.mu.Unlock()
	select {
	case d := <-c:
		return d, true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiters[j.Handle] != nil {
		delete(s.waiters, j.Handle)
		s.sched.Withdraw(s.now(), j.Service, j.Handle)
		return dispatch.Decision{}, false
	}
	// The job has been placed in the meantime; release its slot.
	s.deliver(s.sched.EndRun(s.now(), j.Handle, dispatch.CallerDisconnected))
	return dispatch.Decision{}, false
}

func (s *sharedScheduler) recordEvents(handle uint64, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.RecordEvents(s.now(), handle, n)
}

// hasAlternative reports whether another endpoint could serve a job.
func (s *sharedScheduler) hasAlternative(j *dispatch.Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.HasAlternative(s.now(), j)
}

// staysInSilence reports whether an attempt without an event is expected to get one where it is.
func (s *sharedScheduler) staysInSilence(handle uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.StaysInSilence(s.now(), handle)
}

// mayBeSilentToo reports whether an endpoint may be as silent as that of an attempt.
func (s *sharedScheduler) mayBeSilentToo(handle uint64, e *members.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.MayBeSilentToo(s.now(), handle, dispatch.EndpointHash(e.Key()))
}

func (s *sharedScheduler) endRun(handle uint64, o dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.touch()
	delete(s.cancels, handle)
	s.deliver(s.sched.EndRun(s.now(), handle, o))
}

// cancelOnRestart registers cancel to be called if the endpoint of an attempt restarts.
func (s *sharedScheduler) cancelOnRestart(handle uint64, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[handle] = cancel
}

// setTable applies a new routing table, which states which services are model engines.
func (s *sharedScheduler) setTable(t *routing.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = t
	s.syncedVersion = 0
	s.syncEndpoints()
}

// updateMembers applies a change to the known endpoints.
func (s *sharedScheduler) updateMembers(change func(now time.Duration, m *members.Set)) {
	s.mu.Lock()
	change(s.now(), s.members)
	s.syncEndpoints()
	departures := s.members.TakeDepartures()
	s.mu.Unlock()
	s.onDepartures(departures)
}

// listedVersion returns the software version that the registry lists for an incarnation, which may be newer
// than e; that of e if it is not listed.
func (s *sharedScheduler) listedVersion(e *members.Endpoint) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if listed := s.members.Lookup(members.EndpointHash(e.Key())); listed != nil {
		return listed.Version
	}
	return e.Version
}

// versionsSince returns the software versions of the known endpoints by service, the number of that state and
// the position of the registry to which it belongs; no versions if it is still the given state.
func (s *sharedScheduler) versionsSince(state uint64) (versions map[string]map[string]bool, now uint64, at Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.members.Version()
	if now == state {
		return nil, now, s.membersAt
	}
	return s.members.Versions(), now, s.membersAt
}

// membersPosition returns the position of the registry up to which changes were applied.
func (s *sharedScheduler) membersPosition() Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membersAt
}

// setMembersPosition records the position of the registry up to which changes were applied.
func (s *sharedScheduler) setMembersPosition(at Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.membersAt = at
}

// isServing reports whether the registry lists an incarnation and it is not leaving.
func (s *sharedScheduler) isServing(e *members.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Serving(e)
}

// hasLeft reports whether an incarnation has announced that it leaves, or is no longer listed.
func (s *sharedScheduler) hasLeft(e *members.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Left(e)
}

// controlProbes returns probes of other endpoints, which tell whether only e cannot be reached or this
// VM has lost its own connectivity.
func (s *sharedScheduler) controlProbes(e *members.Endpoint) []dispatch.Probe {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.ControlProbes(s.now(), e.Key(), e.FailureDomain)
}

// lookup returns the key and the address of an incarnation that the registry lists, by its hash.
func (s *sharedScheduler) lookup(hash uint64) (key, address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ep := s.members.Lookup(hash)
	if ep == nil {
		return "", "", false
	}
	return ep.Key(), ep.Address, true
}

// endpoints returns all endpoints, ordered by service.
func (s *sharedScheduler) endpoints() []dispatch.Probe {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.Endpoints()
}

// endpointCount returns the number of endpoints.
func (s *sharedScheduler) endpointCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.EndpointCount()
}

// probeSuspected has all endpoints probed at once that were found unreachable.
func (s *sharedScheduler) probeSuspected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.touch()
	s.sched.ProbeSuspected(s.now())
}

// markLeaving stops the use of an endpoint that has reported that it is leaving.
func (s *sharedScheduler) markLeaving(endpoint uint64) {
	s.updateMembers(func(_ time.Duration, m *members.Set) { m.MarkLeaving(endpoint) })
}

// clearNotice removes what an endpoint that is gone had reported about itself.
func (s *sharedScheduler) clearNotice(endpoint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.RemoveLimit(endpoint)
	s.sched.RemoveBrittle(endpoint)
	s.sched.SetBackoff(endpoint, 0, 0)
	s.members.ClearLeaving(endpoint)
}

// setNotice sets how many requests per second an endpoint accepts, and how many it bears to reject;
// what it does not state is removed.
func (s *sharedScheduler) setNotice(endpoint uint64, n notice.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.HasLimit {
		s.sched.SetLimit(s.now(), endpoint, n.Limit)
	} else {
		s.sched.RemoveLimit(endpoint)
	}
	if n.IsBrittle {
		s.sched.SetBrittle(s.now(), endpoint, n.Brittle)
	} else {
		s.sched.RemoveBrittle(endpoint)
	}
}

// setCoverage records how many of the known VMs are served by the placers from which notes are
// received.
func (s *sharedScheduler) setCoverage(served, known int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.SetCoverage(s.now(), served, known)
}

// isListed reports whether the registry lists an incarnation, given its hash.
func (s *sharedScheduler) isListed(endpoint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Contains(endpoint)
}

// reportUnreachable records that nothing listens at an endpoint's address.
func (s *sharedScheduler) reportUnreachable(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.touch()
	s.sched.ReportUnreachable(s.now(), key)
}

// resync updates the scheduler after a change in which endpoints may be used.
func (s *sharedScheduler) resync() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncedVersion = 0
	s.syncEndpoints()
}

// isCold reports whether an endpoint is still slow because it has just started.
func (s *sharedScheduler) isCold(e *members.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Cold(s.now(), e)
}
