package poison

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/suspect"
	"github.com/chivefield/chivefield/upstream"
)

// Endpoints is what a Guard needs to find out whether endpoints live.
type Endpoints interface {
	// IsServing reports whether the registry lists an endpoint and it has not announced that it leaves.
	IsServing(*members.Endpoint) bool
	// OpenConnection opens a connection to an endpoint.
	OpenConnection(dispatch.Probe) error
	// ReportUnreachable records that an endpoint refuses connections.
	ReportUnreachable(key string)
	// ControlProbes returns probes of other endpoints, which tell whether only this one cannot be
	// reached or this VM has lost its own connectivity.
	ControlProbes(*members.Endpoint) []dispatch.Probe
}

// Options configures a Guard.
type Options struct {
	Log       zerolog.Logger
	Endpoints Endpoints
	// Now returns the uptime of the process.
	Now func() time.Duration
	// Count increments a counter.
	Count func(name string)
	// IsStoreReader reports whether this VM reads the store for its failure domain.
	IsStoreReader func() bool
	// Released are the requests and parts that run whatever is known against them.
	Released []suspect.Digest
}

// Guard detects poison requests and parts, and tells which requests may run. It is safe for concurrent use.
type Guard struct {
	Options

	mu      sync.Mutex
	tracker *suspect.Tracker
	// unanswered holds the requests here that no endpoint has responded to yet. When a request or part
	// is convicted the others are stopped: those in an endpoint's queue have not run yet, and closing
	// their connections may spare the endpoint.
	unanswered map[*Admission]bool
	// probing holds the incarnations to which a connection is being opened, ended those that have
	// ended, with the time.
	probing map[uint64]bool
	ended   map[uint64]incarnationEnd
	// unseen are the incarnations that the registry listed when this process started and that it
	// has not seen alive; nil after unseenFor.
	unseen map[uint64]bool
	// aliveAt is when an incarnation last showed a sign of life, for unseenFor.
	aliveAt map[uint64]time.Duration
	// unconfirmed holds the responses that ended with their connections.
	unconfirmed *unconfirmedResponses
	// urgent signals a sighting that other VMs should receive at once.
	urgent chan struct{}
	// storeRead is set once the store's records were loaded; only LoadStored uses it. stored holds the
	// convictions that the store has or will have: written by this VM or read there.
	storeRead bool
	stored    map[suspect.Digest]bool
	// storeQueue holds digests whose record in the store is to be written or removed.
	storeQueue chan suspect.Digest
}

// New returns a guard that knows nothing yet.
func New(o Options) *Guard {
	g := &Guard{
		Options: o, tracker: suspect.New(), unanswered: make(map[*Admission]bool), probing: make(map[uint64]bool),
		ended: make(map[uint64]incarnationEnd), unconfirmed: newUnconfirmedResponses(), aliveAt: make(map[uint64]time.Duration), urgent: make(chan struct{}, 1),
		stored: make(map[suspect.Digest]bool), storeQueue: make(chan suspect.Digest, storeQueueSize),
	}
	g.tracker.SetReleased(o.Released)
	return g
}

// SetReleased replaces the requests and parts that run whatever is known against them.
func (g *Guard) SetReleased(list []suspect.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.SetReleased(list)
}

// Status returns what is known against a request or part.
func (g *Guard) Status(d suspect.Digest) suspect.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Status(d)
}

// WorstStatus returns the most serious of what is known against a request and its parts.
func (g *Guard) WorstStatus(r suspect.Request) suspect.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.WorstStatus(r)
}

// NewCopy returns the copy of a request that is sent now, and its WorstStatus. If that is a conviction
// the copy may not be sent.
func (g *Guard) NewCopy(r suspect.Request) (suspect.Copy, suspect.Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.NewCopy(g.Now(), r), g.tracker.WorstStatus(r)
}

// Admission is a request that may run unless it is convicted.
type Admission struct {
	request suspect.Request
	stop    context.CancelFunc
}

// Admit returns nil if the request or one of its parts is convicted. stop is called if that happens later,
// before an endpoint responds. The caller must call Release afterwards.
func (g *Guard) Admit(r suspect.Request, stop context.CancelFunc) *Admission {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tracker.WorstStatus(r).Convicted() {
		return nil
	}
	a := &Admission{request: r, stop: stop}
	g.unanswered[a] = true
	return a
}

// Release ends an admission: a later conviction no longer stops the request.
func (g *Guard) Release(a *Admission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unanswered, a)
}

// stopUnanswered stops the requests of a digest that no endpoint has responded to. The caller holds
// the lock.
func (g *Guard) stopUnanswered(d suspect.Digest) {
	if g.tracker.Status(d).Released {
		return
	}
	for a := range g.unanswered {
		if a.request.Contains(d) {
			a.stop()
		}
	}
}

// RecordResponseStart records that an endpoint began to respond to a request that was sent at a time.
func (g *Guard) RecordResponseStart(ep *members.Endpoint, sent time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	hash := dispatch.EndpointHash(ep.Key())
	g.recordAlive(g.Now(), hash)
	g.tracker.RecordResponse(g.Now(), sent, hash)
	for _, r := range g.unconfirmed.confirm(hash, sent) {
		g.tracker.RecordCompleteResponse(g.Now(), r.request, r.success)
	}
	g.handleChanges(learnedSeen)
}

// RecordCompleteResponse records that an endpoint, given by its hash, gave a request a complete response. One that ended
// with its connection counts once the endpoint responds to a request that was sent to it afterwards.
func (g *Guard) RecordCompleteResponse(endpoint uint64, r suspect.Request, resp *upstream.Response) {
	success := resp.StatusCode < http.StatusMultipleChoices
	g.mu.Lock()
	defer g.mu.Unlock()
	if resp.Unframed() {
		g.unconfirmed.add(endpoint, unconfirmedResponse{request: r, endedAt: g.Now(), success: success})
		return
	}
	g.tracker.RecordCompleteResponse(g.Now(), r, success)
	g.handleChanges(learnedSeen)
}

// Expire drops expired entries.
func (g *Guard) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	g.tracker.Expire(now)
	g.unconfirmed.expire(now)
	for hash, end := range g.ended {
		if now-end.at >= endedTTL {
			delete(g.ended, hash)
		}
	}
	g.expireLifeSigns(now)
	g.handleChanges(learnedSeen)
	g.storeConvicted()
}
