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

// sharedScheduler lets the goroutines of requests use the scheduler, and brings each
// its decision.
type sharedScheduler struct {
	now func() time.Duration

	mu            sync.Mutex
	sched         *dispatch.Scheduler
	members       *members.Set
	syncedVersion uint64
	// probe opens a connection to an endpoint and reports with probeEnded.
	probe func(dispatch.Probe)
	// countInvalid counts quantities that cannot be.
	countInvalid func(n int)
	// onDepartures takes the incarnations that may not get requests any more.
	onDepartures func([]members.Departure)
	// logEjection logs an ejection or its end.
	logEjection func(dispatch.EjectionChange)
	table       *routing.Table
	// filterUsable are those of a service's endpoints that may get requests.
	filterUsable func(now time.Duration, service string, list []*members.Endpoint) []*members.Endpoint
	// deliverRemote takes decisions on requests of other VMs.
	deliverRemote func(dispatch.Decision) bool
	waiters       map[uint64]chan dispatch.Decision
	// cancels end cancels whose endpoint has started anew.
	cancels map[uint64]context.CancelFunc
}

func newSharedScheduler(vm, domain string, off mechanism.Off, now func() time.Duration) *sharedScheduler {
	s := &sharedScheduler{now: now, sched: dispatch.New(vm, domain), members: members.New(), waiters: make(map[uint64]chan dispatch.Decision), cancels: make(map[uint64]context.CancelFunc)}
	s.sched.SwitchOff(off)
	return s
}

// tickInterval is how often waiting requests are looked at. Most are placed when a
// run ends; ticks only find those whose time ran out.
const tickInterval = 20 * time.Millisecond

func (s *sharedScheduler) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			s.mu.Lock()
			s.members.Expire(s.now())
			s.syncEndpoints()
			if s.sched.Waiting() > 0 {
				s.deliver(s.sched.Tick(s.now()))
			}
			probes := s.sched.Probes(s.now())
			changes := s.sched.Ejections()
			impossible := s.sched.Impossible()
			departures := s.members.Departures()
			s.mu.Unlock()
			s.onDepartures(departures)
			s.countInvalid(impossible)
			for _, c := range changes {
				s.logEjection(c)
			}
			for _, p := range probes {
				go s.probe(p)
			}
		}
	}
}

func (s *sharedScheduler) recordProbe(id string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.ProbeEnded(s.now(), id, ok)
}

func (s *sharedScheduler) deliver(decisions []dispatch.Decision) {
	for _, d := range decisions {
		if c := s.waiters[d.Handle]; c != nil {
			delete(s.waiters, d.Handle)
			c <- d
			continue
		}
		if !s.deliverRemote(d) && d.Endpoint != nil {
			// Its VM gave it up meanwhile.
			s.deliver(s.sched.End(s.now(), d.Handle, dispatch.Left))
		}
	}
}

// submitRemote queues a request of another VM.
func (s *sharedScheduler) submitRemote(j dispatch.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.sched.Submit(s.now(), j))
}

// withdrawRemote ends a request of another VM, whether it waits or runs.
func (s *sharedScheduler) withdrawRemote(service string, handle uint64, o dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.Withdraw(s.now(), service, handle)
	s.deliver(s.sched.End(s.now(), handle, o))
}

// adopt notes that another VM placed a request; nil and why if its endpoint may not be
// used.
func (s *sharedScheduler) adopt(j dispatch.Job, name uint64, first time.Duration, ahead int) (*dispatch.Decision, dispatch.Unusable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.Adopt(s.now(), j, name, first, ahead)
}

// takeOwnership makes an adopted request this VM's.
func (s *sharedScheduler) takeOwnership(handle uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.Own(handle)
}

// unavailable are the endpoints of a service that cannot be reached from here, or want nothing from this VM.
func (s *sharedScheduler) unavailable(service string) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.Barred(s.now(), service)
}

// backoffWait is how long all endpoints of a service that were not tried want nothing from this VM.
func (s *sharedScheduler) backoffWait(service string, tried []uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.RestWait(s.now(), service, tried)
}

// setBackoff sets when an endpoint wants requests of this VM again, and of others that it asked for rest.
func (s *sharedScheduler) setBackoff(endpoint uint64, own, others time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.SetRest(endpoint, own, others)
}

// setPlacer uses the endpoints that the VM chooses which places this one's requests; asks
// says that it is another.
func (s *sharedScheduler) setPlacer(vm string, remote bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.Follow(vm, remote)
	s.syncedVersion = 0
	s.syncEndpoints()
}

// place asks for an endpoint and waits for the decision; ok is false if ctx
// ended first.
func (s *sharedScheduler) place(ctx context.Context, j dispatch.Job) (dispatch.Decision, bool) {
	c := make(chan dispatch.Decision, 1)
	s.mu.Lock()
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
	// It was placed meanwhile; the room is given back.
	s.deliver(s.sched.End(s.now(), j.Handle, dispatch.Left))
	return dispatch.Decision{}, false
}

func (s *sharedScheduler) recordEvents(handle uint64, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.Events(s.now(), handle, n)
}

// hasAlternative says whether another endpoint could serve a request.
func (s *sharedScheduler) hasAlternative(service string, tried []uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.OtherFit(s.now(), service, tried)
}

func (s *sharedScheduler) endRun(handle uint64, o dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, handle)
	s.deliver(s.sched.End(s.now(), handle, o))
}

// cancelOnRestart ends an attempt when its endpoint has started anew.
func (s *sharedScheduler) cancelOnRestart(handle uint64, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[handle] = cancel
}

// setTable tells which services are model engines.
func (s *sharedScheduler) setTable(t *routing.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = t
	s.syncedVersion = 0
	s.syncEndpoints()
}

// updateMembers changes the known endpoints.
func (s *sharedScheduler) updateMembers(change func(now time.Duration, m *members.Set)) {
	s.mu.Lock()
	change(s.now(), s.members)
	s.syncEndpoints()
	departures := s.members.Departures()
	s.mu.Unlock()
	s.onDepartures(departures)
}

// isServing says whether the registry lists an incarnation that does not leave.
func (s *sharedScheduler) isServing(e *members.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Serving(e)
}

// controlProbes are endpoints to which connections should open while they do not to another.
func (s *sharedScheduler) controlProbes(e *members.Endpoint) []dispatch.Probe {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.Controls(s.now(), e.Key(), e.FailureDomain)
}

// markLeaving ends the use of an endpoint that has said that it leaves.
func (s *sharedScheduler) markLeaving(endpoint uint64) {
	s.updateMembers(func(_ time.Duration, m *members.Set) { m.Leave(endpoint) })
}

// clearNotice drops what an endpoint said of itself that is gone.
func (s *sharedScheduler) clearNotice(endpoint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.LiftLimit(endpoint)
	s.sched.SetRest(endpoint, 0, 0)
	s.members.ForgetLeft(endpoint)
}

// setRateLimit sets how many requests a second an endpoint takes, or that it takes any.
func (s *sharedScheduler) setRateLimit(endpoint uint64, n notice.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !n.HasLimit {
		s.sched.LiftLimit(endpoint)
		return
	}
	s.sched.SetLimit(s.now(), endpoint, n.Limit)
}

// setCoverage says how many VMs the placers that are heard serve, of those known.
func (s *sharedScheduler) setCoverage(served, known int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.SetReach(s.now(), served, known)
}

// isListed says whether the registry isListed an incarnation, by its short name.
func (s *sharedScheduler) isListed(endpoint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Lists(endpoint)
}

// reportUnreachable says that nothing listens at an endpoint's address.
func (s *sharedScheduler) reportUnreachable(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.Doubt(s.now(), key)
}

// resync takes over a change of what endpoints may be used for.
func (s *sharedScheduler) resync() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncedVersion = 0
	s.syncEndpoints()
}

// isCold says whether an endpoint is still slow after its start.
func (s *sharedScheduler) isCold(e *members.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Cold(s.now(), e)
}

// syncEndpoints gives the scheduler the usable endpoints if they changed.
func (s *sharedScheduler) syncEndpoints() {
	if s.table == nil || s.syncedVersion == s.members.Version() && s.syncedVersion != 0 {
		return
	}
	s.syncedVersion = s.members.Version()
	for _, sv := range s.table.Document.Services {
		if sv.Engine != nil {
			s.sched.SetEventTokens(sv.Name, sv.Engine.TokensPerEvent)
		}
		usable := s.filterUsable(s.now(), sv.Name, s.members.Usable(sv.Name))
		s.deliver(s.sched.SetEndpoints(s.now(), sv.Name, usable, sv.Engine != nil))
	}
	for _, h := range s.sched.Restarted() {
		if cancel := s.cancels[h]; cancel != nil {
			cancel()
		}
	}
}
