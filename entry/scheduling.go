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

// scheduling lets the goroutines of requests use the scheduler, and brings each
// its decision.
type scheduling struct {
	now func() time.Duration

	mu      sync.Mutex
	sched   *dispatch.Scheduler
	members *members.Set
	version uint64
	// probe opens a connection to an endpoint and reports with probeEnded.
	probe func(dispatch.Probe)
	// countImpossible counts quantities that cannot be.
	countImpossible func(n int)
	// departed takes the incarnations that may not get requests any more.
	departed func([]members.Departure)
	// noteEjection logs an ejection or its end.
	noteEjection func(dispatch.EjectionChange)
	table        *routing.Table
	// usable are those of a service's endpoints that may get requests.
	usable func(now time.Duration, service string, list []*members.Endpoint) []*members.Endpoint
	// remote takes decisions on requests of other VMs.
	remote  func(dispatch.Decision) bool
	waiters map[uint64]chan dispatch.Decision
	// attempts end attempts whose endpoint has started anew.
	attempts map[uint64]context.CancelFunc
}

func newScheduling(vm, domain string, off mechanism.Off, now func() time.Duration) *scheduling {
	s := &scheduling{now: now, sched: dispatch.New(vm, domain), members: members.New(), waiters: make(map[uint64]chan dispatch.Decision), attempts: make(map[uint64]context.CancelFunc)}
	s.sched.Disable(off)
	return s
}

// tickEvery is how often waiting requests are looked at. Most are placed when a
// run ends; ticks only find those whose time ran out.
const tickEvery = 20 * time.Millisecond

func (s *scheduling) tick(ctx context.Context) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			s.mu.Lock()
			s.members.Expire(s.now())
			s.syncEndpoints()
			if s.sched.QueuedJobs() > 0 {
				s.deliver(s.sched.Tick(s.now()))
			}
			probes := s.sched.DueProbes(s.now())
			changes := s.sched.TakeEjectionChanges()
			impossible := s.sched.TakeInvalidValues()
			departures := s.members.TakeDepartures()
			s.mu.Unlock()
			s.departed(departures)
			s.countImpossible(impossible)
			for _, c := range changes {
				s.noteEjection(c)
			}
			for _, p := range probes {
				go s.probe(p)
			}
		}
	}
}

func (s *scheduling) probeEnded(id string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.RecordProbe(s.now(), id, ok)
}

func (s *scheduling) deliver(decisions []dispatch.Decision) {
	for _, d := range decisions {
		if c := s.waiters[d.Handle]; c != nil {
			delete(s.waiters, d.Handle)
			c <- d
			continue
		}
		if !s.remote(d) && d.Endpoint != nil {
			// Its VM gave it up meanwhile.
			s.deliver(s.sched.EndRun(s.now(), d.Handle, dispatch.CallerLeft))
		}
	}
}

// submit queues a request of another VM.
func (s *scheduling) submit(j dispatch.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.sched.Submit(s.now(), j))
}

// withdraw ends a request of another VM, whether it waits or runs.
func (s *scheduling) withdraw(service string, handle uint64, o dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.Withdraw(s.now(), service, handle)
	s.deliver(s.sched.EndRun(s.now(), handle, o))
}

// adopt notes that another VM placed a request; nil and why if its endpoint may not be
// used.
func (s *scheduling) adopt(j dispatch.Job, name uint64, first time.Duration, ahead int) (*dispatch.Decision, dispatch.UnusableReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.Adopt(s.now(), j, name, first, ahead)
}

// own makes an adopted request this VM's.
func (s *scheduling) own(handle uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.TakeOwnership(handle)
}

// barred are the endpoints of a service that cannot be reached from here, or want nothing from this VM.
func (s *scheduling) barred(service string) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.Unavailable(s.now(), service)
}

// restWait is how long all endpoints of a service that were not tried want nothing from this VM.
func (s *scheduling) restWait(service string, tried []uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.BackoffWait(s.now(), service, tried)
}

// setRest sets when an endpoint wants requests of this VM again, and of others that it asked for rest.
func (s *scheduling) setRest(endpoint uint64, own, others time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.SetBackoff(endpoint, own, others)
}

// follow uses the endpoints that the VM chooses which places this one's requests; asks
// says that it is another.
func (s *scheduling) follow(vm string, asks bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.SetPlacer(vm, asks)
	s.version = 0
	s.syncEndpoints()
}

// place asks for an endpoint and waits for the decision; ok is false if ctx
// ended first.
func (s *scheduling) place(ctx context.Context, j dispatch.Job) (dispatch.Decision, bool) {
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
	s.deliver(s.sched.EndRun(s.now(), j.Handle, dispatch.CallerLeft))
	return dispatch.Decision{}, false
}

func (s *scheduling) events(handle uint64, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.RecordEvents(s.now(), handle, n)
}

// otherFit says whether another endpoint could serve a request.
func (s *scheduling) otherFit(service string, tried []uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.HasAlternative(s.now(), service, tried)
}

func (s *scheduling) end(handle uint64, o dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, handle)
	s.deliver(s.sched.EndRun(s.now(), handle, o))
}

// onRestart ends an attempt when its endpoint has started anew.
func (s *scheduling) onRestart(handle uint64, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[handle] = cancel
}

// setTable tells which services are model engines.
func (s *scheduling) setTable(t *routing.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = t
	s.version = 0
	s.syncEndpoints()
}

// update changes the known endpoints.
func (s *scheduling) update(change func(now time.Duration, m *members.Set)) {
	s.mu.Lock()
	change(s.now(), s.members)
	s.syncEndpoints()
	departures := s.members.TakeDepartures()
	s.mu.Unlock()
	s.departed(departures)
}

// serving says whether the registry lists an incarnation that does not leave.
func (s *scheduling) serving(e *members.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Serving(e)
}

// controls are endpoints to which connections should open while they do not to another.
func (s *scheduling) controls(e *members.Endpoint) []dispatch.Probe {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.ControlProbes(s.now(), e.Key(), e.FailureDomain)
}

// leave ends the use of an endpoint that has said that it leaves.
func (s *scheduling) leave(endpoint uint64) {
	s.update(func(_ time.Duration, m *members.Set) { m.MarkLeaving(endpoint) })
}

// forget drops what an endpoint said of itself that is gone.
func (s *scheduling) forget(endpoint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.RemoveLimit(endpoint)
	s.sched.SetBackoff(endpoint, 0, 0)
	s.members.ClearLeaving(endpoint)
}

// setLimit sets how many requests a second an endpoint takes, or that it takes any.
func (s *scheduling) setLimit(endpoint uint64, n notice.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !n.HasLimit {
		s.sched.RemoveLimit(endpoint)
		return
	}
	s.sched.SetLimit(s.now(), endpoint, n.Limit)
}

// setReach says how many VMs the placers that are heard serve, of those known.
func (s *scheduling) setReach(heard, known int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.SetCoverage(s.now(), heard, known)
}

// lists says whether the registry lists an incarnation, by its short name.
func (s *scheduling) lists(endpoint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Contains(endpoint)
}

// doubt says that nothing listens at an endpoint's address.
func (s *scheduling) doubt(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.ReportUnreachable(s.now(), key)
}

// resync takes over a change of what endpoints may be used for.
func (s *scheduling) resync() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = 0
	s.syncEndpoints()
}

// cold says whether an endpoint is still slow after its start.
func (s *scheduling) cold(e *members.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Cold(s.now(), e)
}

// syncEndpoints gives the scheduler the usable endpoints if they changed.
func (s *scheduling) syncEndpoints() {
	if s.table == nil || s.version == s.members.Version() && s.version != 0 {
		return
	}
	s.version = s.members.Version()
	for _, sv := range s.table.Document.Services {
		if sv.Engine != nil {
			s.sched.SetTokensPerEvent(sv.Name, sv.Engine.TokensPerEvent)
		}
		usable := s.usable(s.now(), sv.Name, s.members.Usable(sv.Name))
		s.deliver(s.sched.SetEndpoints(s.now(), sv.Name, usable, sv.Engine != nil))
	}
	for _, h := range s.sched.TakeLostRuns() {
		if cancel := s.attempts[h]; cancel != nil {
			cancel()
		}
	}
}
