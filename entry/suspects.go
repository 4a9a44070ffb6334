package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/suspect"
	"github.com/chivefield/chivefield/upstream"
)

// reasonEndsEndpoints is why a request is refused under which endpoints ended. It gets no
// time to come back: it would be refused again.
const reasonEndsEndpoints = "ends_endpoints"

// endedFor is how long this VM remembers that an incarnation has ended: other requests that
// were there are found to be cut some ms later, those that fell silent some seconds.
const endedFor = 10 * time.Second

// suspects finds out which requests end the endpoints that run them, and keeps them from
// running. What was seen and told goes into a ledger, which judges; here are the ways in which
// a cut, an end and an answer are seen:
//
//   - A cut: the connection broke under a request, or was given up for silence, while the
//     registry listed the incarnation and it had not said that it leaves. Answers that
//     came and cannot be passed on are none.
//   - An end: after a cut a connection is opened at once, and refused, while others of the
//     failure domain take connections; or another incarnation answers there; or the
//     registry drops the entry, three to four seconds later, or lists another start under
//     the id. Until one of these is seen the cut counts for trials only.
//   - An answer of the incarnation to anything that was sent after the cut says that it lives.
type suspects struct {
	d *Daemon

	mu     sync.Mutex
	ledger *suspect.Ledger
	// waiting are the requests here that no endpoint has answered yet. When one is
	// convicted the others of its digest are stopped: in an endpoint's queue they have not
	// run yet, and closing their connections may spare it.
	waiting map[suspect.Digest]map[*callerRequest]context.CancelFunc
	// probing are the incarnations to which a connection is being opened, ended those
	// that have ended, with the time.
	probing map[uint64]bool
	ended   map[uint64]time.Duration
	// read says that the store's records were taken in.
	read bool
	// fresh says that something was seen here that others should hear at once.
	fresh chan struct{}
	// kept are the convictions that the store has, or will have, by this VM's doing or as it
	// read there.
	kept map[suspect.Digest]bool
	// unkept are digests whose record in the store is to be written or removed.
	unkept chan suspect.Digest
}

// unkeptBuffer holds convictions until they are written; each takes three ends of endpoints.
const unkeptBuffer = 64

func newSuspects(d *Daemon) *suspects {
	s := &suspects{
		d: d, ledger: suspect.New(), waiting: make(map[suspect.Digest]map[*callerRequest]context.CancelFunc),
		kept: make(map[suspect.Digest]bool), probing: make(map[uint64]bool), ended: make(map[uint64]time.Duration), unkept: make(chan suspect.Digest, unkeptBuffer), fresh: make(chan struct{}, 1),
	}
	s.ledger.Release(d.settings.Released)
	return s
}

func (s *suspects) release(list []suspect.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Release(list)
}

// look returns what is known against a request.
func (s *suspects) look(d suspect.Digest) suspect.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Look(d)
}

// suspicionOf is how carefully a request is placed.
func suspicionOf(v suspect.View) dispatch.Suspicion {
	switch {
	case v.OnTrial():
		return dispatch.OnTrial
	case v.Level > 0 && !v.Released:
		return dispatch.Suspected
	}
	return dispatch.Unsuspected
}

// admit says whether a request may run. It is stopped by stop if that changes before an
// endpoint answers it; over must follow.
func (s *suspects) admit(c *callerRequest, stop context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Look(c.digest).Convicted() {
		return false
	}
	if s.waiting[c.digest] == nil {
		s.waiting[c.digest] = make(map[*callerRequest]context.CancelFunc)
	}
	s.waiting[c.digest][c] = stop
	return true
}

// over says that a request need not be stopped any more.
func (s *suspects) over(c *callerRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(c)
}

// forget takes a request out of those that wait. The lock is held.
func (s *suspects) forget(c *callerRequest) {
	delete(s.waiting[c.digest], c)
	if len(s.waiting[c.digest]) == 0 {
		delete(s.waiting, c.digest)
	}
}

// answering says that an endpoint began to answer a request that was sent at a time.
func (s *suspects) answering(c *callerRequest, ep *members.Endpoint, sent time.Duration, reply ResponseHeaders) {
	if reply.Replaced {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !reply.NotExecuted {
		s.forget(c)
	}
	s.ledger.Answered(s.d.now(), sent, dispatch.NameOf(ep.Key()))
	s.note(learnedSeen)
}

// succeeded says that an endpoint gave a request its whole answer. Of one that ends with its
// connection nobody can say that it is whole.
func (s *suspects) succeeded(d suspect.Digest, ans *upstream.Answer) {
	if ans.Unframed() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Success(s.d.now(), d)
	s.note(learnedSeen)
}

// brokeOff says whether an error means that a connection ended, not that what came over it
// cannot be understood.
func brokeOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed)
}

// refusedConnection says whether nothing listens at an address.
func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// tried takes in how a try at an endpoint ended that was sent at a time. generation is what was
// known then.
func (s *suspects) tried(c *callerRequest, ep *members.Endpoint, sent time.Duration, generation int, a attemptResult) {
	switch {
	case a.connectionLost:
		s.cut(c.digest, ep, sent, generation)
	case a.outcome == dispatch.Replaced:
		s.end(ep.Key(), howReplaced)
	case a.outcome == dispatch.Unreachable && refusedConnection(a.err):
		s.examine(ep)
	}
}

// cut notes that a request was cut off at an endpoint, and finds out whether that ended.
func (s *suspects) cut(d suspect.Digest, ep *members.Endpoint, sent time.Duration, generation int) {
	if !s.d.sched.isServing(ep) {
		// It leaves, or left, as it was told to.
		return
	}
	name := dispatch.NameOf(ep.Key())
	s.mu.Lock()
	now := s.d.now()
	s.ledger.Cut(now, sent, d, name, generation)
	if _, ok := s.ended[name]; ok {
		s.ledger.Ended(now, name)
	}
	s.note(learnedSeen)
	s.mu.Unlock()
	s.examine(ep)
}

// examine finds out whether an incarnation has ended under which something was cut off.
func (s *suspects) examine(ep *members.Endpoint) {
	name := dispatch.NameOf(ep.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ended := s.ended[name]; ended || s.probing[name] || !s.ledger.Watched(name) {
		return
	}
	s.probing[name] = true
	go s.probe(ep)
}

// probe opens a connection to an endpoint under which one broke. Requests that wait for a
// place need not find out one by one.
//
// A VM whose own link refuses connections would take every endpoint behind it for ended, and a
// stream that goes on elsewhere would have several ends. So connections must open to
// others of its failure domain; else the registry's word is awaited.
func (s *suspects) probe(ep *members.Endpoint) {
	err := s.d.openConnection(dispatch.Probe{Key: ep.Key(), Address: ep.Address})
	ended := false
	if refusedConnection(err) {
		s.d.sched.reportUnreachable(ep.Key())
		controls := s.d.sched.controlProbes(ep)
		ended = len(controls) == 0
		for _, c := range controls {
			ended = ended || s.d.openConnection(c) == nil
		}
	}
	s.mu.Lock()
	delete(s.probing, dispatch.NameOf(ep.Key()))
	s.mu.Unlock()
	if ended {
		s.end(ep.Key(), howRefused)
	}
}

// How an end was seen, in logs.
const (
	howRefused  = "connection_refused"
	howReplaced = "replaced"
	howDropped  = "dropped_by_registry"
)

// end notes that an incarnation has ended.
func (s *suspects) end(key, how string) {
	name := dispatch.NameOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.now()
	watched := s.ledger.Watched(name)
	_, known := s.ended[name]
	s.ended[name] = now
	if !watched {
		return
	}
	if !known {
		s.d.count("endpoints_ended")
		s.d.log.Info().Str("endpoint", key).Uint64("endpoint_hash", name).Str("how", how).Msg("endpoint_ended")
	}
	s.ledger.Ended(now, name)
	s.note(learnedSeen)
}

// hasEnded says whether an incarnation is known to have ended.
func (s *suspects) hasEnded(ep *members.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ended := s.ended[dispatch.NameOf(ep.Key())]
	return ended
}

// departed takes in what the registry says.
func (s *suspects) departed(list []members.Departure) {
	for _, dep := range list {
		if !dep.Leaving {
			s.end(dep.Key, howDropped)
			continue
		}
		s.mu.Lock()
		s.ledger.Leaving(s.d.now(), dispatch.NameOf(dep.Key))
		s.note(learnedSeen)
		s.mu.Unlock()
	}
}

// expire forgets what is over.
func (s *suspects) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.now()
	s.ledger.Expire(now)
	for name, at := range s.ended {
		if now-at >= endedFor {
			delete(s.ended, name)
		}
	}
	s.note(learnedSeen)
	s.keepConvicted()
}

// Where something was learned, in logs.
const (
	learnedSeen  = "seen"
	learnedTold  = "told"
	learnedStore = "store"
)

// eventOf names the changes in logs.
var eventOf = [...]string{"request_suspected", "request_convicted", "request_cleared", "request_forgotten"}

// note logs what the ledger's last step changed, and acts on it. The lock is held.
func (s *suspects) note(learned string) {
	for _, c := range s.ledger.Changes() {
		if learned == learnedSeen && c.Level > c.Was {
			select {
			case s.fresh <- struct{}{}:
			default:
			}
		}
		if c.Kind == suspect.Convicted {
			s.d.count("requests_convicted")
			s.stop(c.Digest)
		}
		s.noteKept(c, learned)
		if c.Level <= 1 && !c.WasConvicted() && learned != learnedSeen {
			// Each neighbour of each endpoint that ends, at each VM.
			continue
		}
		names := make([]string, 0, len(c.Endpoints))
		for _, name := range c.Endpoints {
			names = append(names, strconv.FormatUint(name, 10))
		}
		s.d.log.Info().Stringer("digest", c.Digest).Int("ends", c.Level).Int("ends_before", c.Was).Str("endpoint_hashes", strings.Join(names, ",")).
			Str("learned", learned).Msg(eventOf[c.Kind])
	}
}

// stop ends the requests of a digest that no endpoint has answered. The lock is held.
func (s *suspects) stop(d suspect.Digest) {
	if s.ledger.Look(d).Released {
		return
	}
	for c, stop := range s.waiting[d] {
		c.blocked.Store(true)
		stop()
	}
}
