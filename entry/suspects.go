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

// endedTTL is how long this VM remembers that an incarnation has ended: other requests that
// were there are found to be cut some ms later, those that fell silent some seconds.
const endedTTL = 10 * time.Second

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
	// unanswered are the requests here that no endpoint has answered yet. When one is
	// convicted the others of its digest are stopped: in an endpoint's queue they have not
	// run yet, and closing their connections may spare it.
	unanswered map[suspect.Digest]map[*caller]context.CancelFunc
	// probing are the incarnations to which a connection is being opened, ended those
	// that have ended, with the time.
	probing map[uint64]bool
	ended   map[uint64]time.Duration
	// storeRead says that the store's records were taken in.
	storeRead bool
	// urgent says that something was seen here that others should hear at once.
	urgent chan struct{}
	// stored are the convictions that the store has, or will have, by this VM's doing or as it
	// read there.
	stored map[suspect.Digest]bool
	// storeQueue are digests whose record in the store is to be written or removed.
	storeQueue chan suspect.Digest
}

// storeQueueSize holds convictions until they are written; each takes three ends of endpoints.
const storeQueueSize = 64

func newSuspects(d *Daemon) *suspects {
	s := &suspects{
		d: d, ledger: suspect.New(), unanswered: make(map[suspect.Digest]map[*caller]context.CancelFunc),
		stored: make(map[suspect.Digest]bool), probing: make(map[uint64]bool), ended: make(map[uint64]time.Duration), storeQueue: make(chan suspect.Digest, storeQueueSize), urgent: make(chan struct{}, 1),
	}
	s.ledger.Release(d.set.Released)
	return s
}

func (s *suspects) setReleased(list []suspect.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Release(list)
}

// status returns what is known against a request.
func (s *suspects) status(d suspect.Digest) suspect.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Look(d)
}

// suspicionFor is how carefully a request is placed.
func suspicionFor(v suspect.View) dispatch.Suspicion {
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
func (s *suspects) admit(c *caller, stop context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Look(c.digest).Convicted() {
		return false
	}
	if s.unanswered[c.digest] == nil {
		s.unanswered[c.digest] = make(map[*caller]context.CancelFunc)
	}
	s.unanswered[c.digest][c] = stop
	return true
}

// unregister says that a request need not be stopped any more.
func (s *suspects) unregister(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unregisterLocked(c)
}

// unregisterLocked takes a request out of those that wait. The lock is held.
func (s *suspects) unregisterLocked(c *caller) {
	delete(s.unanswered[c.digest], c)
	if len(s.unanswered[c.digest]) == 0 {
		delete(s.unanswered, c.digest)
	}
}

// recordAnswerStart says that an endpoint began to answer a request that was sent at a time.
func (s *suspects) recordAnswerStart(c *caller, ep *members.Endpoint, sent time.Duration, reply Reply) {
	if reply.Replaced {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !reply.NotRun {
		s.unregisterLocked(c)
	}
	s.ledger.Answered(s.d.now(), sent, dispatch.NameOf(ep.Key()))
	s.handleChanges(learnedSeen)
}

// recordSuccess says that an endpoint gave a request its whole answer. Of one that ends with its
// connection nobody can say that it is whole.
func (s *suspects) recordSuccess(d suspect.Digest, ans *upstream.Answer) {
	if ans.Unframed() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Success(s.d.now(), d)
	s.handleChanges(learnedSeen)
}

// isConnectionBroken says whether an error means that a connection ended, not that what came over it
// cannot be understood.
func isConnectionBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed)
}

// isConnectionRefused says whether nothing listens at an address.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// recordAttempt takes in how a try at an endpoint ended that was sent at a time. generation is what was
// known then.
func (s *suspects) recordAttempt(c *caller, ep *members.Endpoint, sent time.Duration, generation int, a attempt) {
	switch {
	case a.cut:
		s.recordCut(c.digest, ep, sent, generation)
	case a.outcome == dispatch.Replaced:
		s.recordEnd(ep.Key(), howReplaced)
	case a.outcome == dispatch.Unreachable && isConnectionRefused(a.err):
		s.probeIfWatched(ep)
	}
}

// recordCut notes that a request was recordCut off at an endpoint, and finds out whether that ended.
func (s *suspects) recordCut(d suspect.Digest, ep *members.Endpoint, sent time.Duration, generation int) {
	if !s.d.sched.serving(ep) {
		// It leaves, or left, as it was told to.
		return
	}
	hash := dispatch.NameOf(ep.Key())
	s.mu.Lock()
	now := s.d.now()
	s.ledger.Cut(now, sent, d, hash, generation)
	if _, ok := s.ended[hash]; ok {
		s.ledger.Ended(now, hash)
	}
	s.handleChanges(learnedSeen)
	s.mu.Unlock()
	s.probeIfWatched(ep)
}

// probeIfWatched finds out whether an incarnation has ended under which something was cut off.
func (s *suspects) probeIfWatched(ep *members.Endpoint) {
	hash := dispatch.NameOf(ep.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ended := s.ended[hash]; ended || s.probing[hash] || !s.ledger.Watched(hash) {
		return
	}
	s.probing[hash] = true
	go s.probe(ep)
}

// probe opens a connection to an endpoint under which one broke. Requests that wait for a
// place need not find out one by one.
//
// A VM whose own link refuses connections would take every endpoint behind it for ended, and a
// stream that goes on elsewhere would have several ends. So connections must open to
// others of its failure domain; else the registry's word is awaited.
func (s *suspects) probe(ep *members.Endpoint) {
	err := s.d.openTo(dispatch.Probe{Key: ep.Key(), Address: ep.Address})
	ended := false
	if isConnectionRefused(err) {
		s.d.sched.doubt(ep.Key())
		controls := s.d.sched.controls(ep)
		ended = len(controls) == 0
		for _, c := range controls {
			ended = ended || s.d.openTo(c) == nil
		}
	}
	s.mu.Lock()
	delete(s.probing, dispatch.NameOf(ep.Key()))
	s.mu.Unlock()
	if ended {
		s.recordEnd(ep.Key(), howRefused)
	}
}

// How an end was seen, in logs.
const (
	howRefused  = "connection_refused"
	howReplaced = "replaced"
	howDropped  = "dropped_by_registry"
)

// recordEnd notes that an incarnation has ended.
func (s *suspects) recordEnd(key, how string) {
	hash := dispatch.NameOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.now()
	watched := s.ledger.Watched(hash)
	_, known := s.ended[hash]
	s.ended[hash] = now
	if !watched {
		return
	}
	if !known {
		s.d.count("endpoints_ended")
		s.d.log.Info().Str("endpoint", key).Uint64("endpoint_hash", hash).Str("how", how).Msg("endpoint_ended")
	}
	s.ledger.Ended(now, hash)
	s.handleChanges(learnedSeen)
}

// hasEnded says whether an incarnation is known to have ended.
func (s *suspects) hasEnded(ep *members.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ended := s.ended[dispatch.NameOf(ep.Key())]
	return ended
}

// recordDepartures takes in what the registry says.
func (s *suspects) recordDepartures(list []members.Departure) {
	for _, dep := range list {
		if !dep.Leaving {
			s.recordEnd(dep.Key, howDropped)
			continue
		}
		s.mu.Lock()
		s.ledger.Leaving(s.d.now(), dispatch.NameOf(dep.Key))
		s.handleChanges(learnedSeen)
		s.mu.Unlock()
	}
}

// expire forgets what is over.
func (s *suspects) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.now()
	s.ledger.Expire(now)
	for hash, at := range s.ended {
		if now-at >= endedTTL {
			delete(s.ended, hash)
		}
	}
	s.handleChanges(learnedSeen)
	s.storeConvicted()
}

// Where something was learned, in logs.
const (
	learnedSeen  = "seen"
	learnedTold  = "told"
	learnedStore = "store"
)

// changeEvents names the changes in logs.
var changeEvents = [...]string{"request_suspected", "request_convicted", "request_cleared", "request_forgotten"}

// handleChanges logs what the ledger's last step changed, and acts on it. The lock is held.
func (s *suspects) handleChanges(learned string) {
	for _, c := range s.ledger.Changes() {
		if learned == learnedSeen && c.Level > c.Was {
			select {
			case s.urgent <- struct{}{}:
			default:
			}
		}
		if c.Kind == suspect.Convicted {
			s.d.count("requests_convicted")
			s.stopUnanswered(c.Digest)
		}
		s.updateStored(c, learned)
		if c.Level <= 1 && !c.WasConvicted() && learned != learnedSeen {
			// Each neighbour of each endpoint that ends, at each VM.
			continue
		}
		hashes := make([]string, 0, len(c.Endpoints))
		for _, hash := range c.Endpoints {
			hashes = append(hashes, strconv.FormatUint(hash, 10))
		}
		s.d.log.Info().Stringer("digest", c.Digest).Int("ends", c.Level).Int("ends_before", c.Was).Str("endpoint_hashes", strings.Join(hashes, ",")).
			Str("learned", learned).Msg(changeEvents[c.Kind])
	}
}

// stopUnanswered ends the requests of a digest that no endpoint has answered. The lock is held.
func (s *suspects) stopUnanswered(d suspect.Digest) {
	if s.ledger.Look(d).Released {
		return
	}
	for c, stop := range s.unanswered[d] {
		c.stopped.Store(true)
		stop()
	}
}
