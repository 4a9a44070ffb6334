package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
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

// reasonEndsEndpoints is the reason for refusing a request that crashed endpoints. The refusal
// names no time to retry after: a retry would be refused again.
const reasonEndsEndpoints = "ends_endpoints"

// unseenFor is the uptime after which an incarnation that the registry still lists has been alive
// since the start of the process: the registry drops a silent one after three heartbeats of up to 2 s.
const unseenFor = 10 * time.Second

// incarnationEnd is the end of an incarnation, and when this VM learned of it.
type incarnationEnd struct {
	at time.Duration
	// refused is set if the incarnation accepted a connection and then nothing listened there.
	refused bool
}

// endedTTL is how long this VM remembers that an incarnation has ended: other requests there are
// found cut off some ms later, those that fell silent some seconds later.
const endedTTL = 10 * time.Second

// suspects detects poison requests, which crash the endpoints that run them, and keeps them from
// running. Sightings from this VM and others go into a tracker, which decides. This file detects
// the cuts, ends and responses that the tracker records:
//
//   - A cut: the connection of a request broke, or was given up for silence, while the registry
//     listed the incarnation and it had not announced that it leaves. Responses that were
//     received but cannot be passed on are no cuts.
//   - An end, the unexpected termination of an incarnation: after a cut a new connection is
//     opened at once, and is refused while other endpoints of the failure domain accept
//     connections; or another incarnation responds there; or the registry drops the entry,
//     three to four seconds later, or lists another start under the id. Until one of these is
//     seen the cut counts only towards quarantining the request.
//   - A response of the incarnation to anything sent after the cut proves that it is alive.
type suspects struct {
	d *Daemon

	mu      sync.Mutex
	tracker *suspect.Tracker
	// unanswered holds the requests here that no endpoint has responded to yet. When a request or part
	// is convicted the others are stopped: those in an endpoint's queue have not run yet, and closing
	// their connections may spare the endpoint.
	unanswered map[*callerRequest]context.CancelFunc
	// probing holds the incarnations to which a connection is being opened, ended those that have
	// ended, with the time.
	probing map[uint64]bool
	ended   map[uint64]incarnationEnd
	// unseen are the incarnations that the registry listed when this process started and that it
	// has not seen alive; nil after unseenFor.
	unseen map[uint64]bool
	// aliveAt is when an incarnation last showed a sign of life, for unseenFor.
	aliveAt map[uint64]time.Duration
	// storeRead reports whether the store's records were loaded.
	storeRead bool
	// urgent signals a sighting that other VMs should receive at once.
	urgent chan struct{}
	// stored holds the convictions that the store has or will have: written by this VM or read
	// there.
	stored map[suspect.Digest]bool
	// storeQueue holds digests whose record in the store is to be written or removed.
	storeQueue chan suspect.Digest
}

// storeQueueSize limits the convictions waiting to be written; each takes three ends of endpoints.
const storeQueueSize = 64

func newSuspects(d *Daemon) *suspects {
	s := &suspects{
		d: d, tracker: suspect.New(), unanswered: make(map[*callerRequest]context.CancelFunc),
		stored: make(map[suspect.Digest]bool), probing: make(map[uint64]bool), ended: make(map[uint64]incarnationEnd), aliveAt: make(map[uint64]time.Duration), storeQueue: make(chan suspect.Digest, storeQueueSize), urgent: make(chan struct{}, 1),
	}
	s.tracker.SetReleased(d.settings.Released)
	return s
}

func (s *suspects) setReleased(list []suspect.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.SetReleased(list)
}

// status returns what is known against a request or part.
func (s *suspects) status(d suspect.Digest) suspect.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Status(d)
}

// worstStatus returns the most serious of what is known against a request and its parts.
func (s *suspects) worstStatus(r suspect.Request) suspect.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.WorstStatus(r)
}

// newCopy returns the copy of a request that is sent now; status is that of the request or the part
// against which most is known.
func (s *suspects) newCopy(r suspect.Request) (sent suspect.Copy, status suspect.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.NewCopy(s.d.now(), r), s.tracker.WorstStatus(r)
}

// suspicionFor returns how carefully a request is placed.
func suspicionFor(v suspect.Status) dispatch.Suspicion {
	switch {
	case v.Quarantined():
		return dispatch.Quarantined
	case v.Level > 0 && !v.Released:
		return dispatch.Suspected
	}
	return dispatch.Unsuspected
}

// admit reports whether a request may run. If the request or one of its parts is convicted before an
// endpoint responds to it, stop is called. The caller must call unregister afterwards.
func (s *suspects) admit(c *callerRequest, stop context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tracker.WorstStatus(c.suspect).Convicted() {
		return false
	}
	s.unanswered[c] = stop
	return true
}

// unregister removes a request from those that a conviction stops.
func (s *suspects) unregister(c *callerRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unanswered, c)
}

// recordResponseStart records that an endpoint began to respond to a request that was sent at the
// time sent.
func (s *suspects) recordResponseStart(c *callerRequest, ep *members.Endpoint, sent time.Duration, headers ResponseHeaders) {
	if headers.Replaced {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !headers.NotExecuted {
		delete(s.unanswered, c)
	}
	hash := dispatch.EndpointHash(ep.Key())
	s.recordAlive(s.d.now(), hash)
	s.tracker.RecordResponse(s.d.now(), sent, hash)
	s.handleChanges(learnedSeen)
}

// setUnseen records the incarnations that the registry lists at the start of the process.
func (s *suspects) setUnseen(listed []members.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unseen = make(map[uint64]bool, len(listed))
	for _, c := range listed {
		if c.Endpoint != nil {
			s.unseen[dispatch.EndpointHash(c.Endpoint.Key())] = true
		}
	}
}

// recordCompleteResponse records that an endpoint gave a request a complete response. A response that
// ends with its connection is ignored: it may be incomplete.
func (s *suspects) recordCompleteResponse(r suspect.Request, resp *upstream.Response) {
	if resp.Unframed() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.RecordCompleteResponse(s.d.now(), r, resp.StatusCode < http.StatusMultipleChoices)
	s.handleChanges(learnedSeen)
}

// isConnectionBroken reports whether an error means that a connection ended, as opposed to one
// about unreadable data.
func isConnectionBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed)
}

// isConnectionRefused reports whether an error means that nothing listens at an address.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// recordAttempt records how the attempt that sent a copy of a request ended.
func (s *suspects) recordAttempt(sent suspect.Copy, ep *members.Endpoint, a attemptResult) {
	switch {
	case a.connectionLost:
		s.recordCut(sent, ep)
	case a.outcome == dispatch.Replaced:
		s.recordEnd(ep.Key(), howReplaced)
	case a.outcome == dispatch.Unreachable && isConnectionRefused(a.err):
		s.probeIfWatched(ep)
	}
}

// recordCut records that a copy of a request was cut off at an endpoint, and probes whether the
// endpoint ended.
func (s *suspects) recordCut(sent suspect.Copy, ep *members.Endpoint) {
	if !s.d.sched.isServing(ep) {
		// The endpoint was told to leave: the cut is expected.
		return
	}
	s.mu.Lock()
	s.recordCutLocked(s.d.now(), sent, dispatch.EndpointHash(ep.Key()))
	s.mu.Unlock()
	s.probeIfWatched(ep)
}

// recordCutLocked is recordCut, without the probe, for a caller that holds the lock.
func (s *suspects) recordCutLocked(now time.Duration, sent suspect.Copy, hash uint64) {
	s.tracker.RecordCopyCut(now, sent, hash, s.unseen[hash])
	if end, ok := s.ended[hash]; ok {
		s.applyEnd(now, hash, end)
	}
	s.handleChanges(learnedSeen)
}

// probeIfWatched probes an incarnation under which a request was cut off, unless it is known to
// have ended or is being probed.
func (s *suspects) probeIfWatched(ep *members.Endpoint) {
	hash := dispatch.EndpointHash(ep.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ended := s.ended[hash]; ended || s.probing[hash] || !s.tracker.Watched(hash) {
		return
	}
	s.probing[hash] = true
	go s.probe(ep)
}

// probe opens a connection to an endpoint after a connection to it broke. Requests that wait for a
// place then need not find out one by one.
//
// A VM whose own link refuses connections would take every endpoint behind it for ended, and a
// stream that continues elsewhere would count several ends. So connections to other endpoints of
// the failure domain must succeed; otherwise the registry decides.
func (s *suspects) probe(ep *members.Endpoint) {
	err := s.d.openConnection(dispatch.Probe{Key: ep.Key(), Address: ep.Address})
	ended := false
	if isConnectionRefused(err) {
		s.d.sched.reportUnreachable(ep.Key())
		controls := s.d.sched.controlProbes(ep)
		ended = len(controls) == 0
		for _, c := range controls {
			ended = ended || s.d.openConnection(c) == nil
		}
	}
	s.mu.Lock()
	delete(s.probing, dispatch.EndpointHash(ep.Key()))
	s.mu.Unlock()
	if ended {
		s.recordEnd(ep.Key(), howRefused)
	}
}

// How an end was detected, in logs.
const (
	howRefused  = "connection_refused"
	howReplaced = "replaced"
	howDropped  = "dropped_by_registry"
)

// recordEnd records that an incarnation has ended.
func (s *suspects) recordEnd(key, how string) {
	hash := dispatch.EndpointHash(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.now()
	watched := s.tracker.Watched(hash)
	before, known := s.ended[hash]
	end := incarnationEnd{at: now, refused: before.refused || how == howRefused}
	s.ended[hash] = end
	if !watched {
		return
	}
	if !known {
		s.d.count("endpoints_ended")
		s.d.log.Info().Str("endpoint", key).Uint64("endpoint_hash", hash).Str("how", how).Msg("endpoint_ended")
	}
	s.applyEnd(now, hash, end)
	s.handleChanges(learnedSeen)
}

// applyEnd records the end of an incarnation in the tracker. The caller holds the lock.
func (s *suspects) applyEnd(now time.Duration, hash uint64, end incarnationEnd) {
	if end.refused {
		s.tracker.RecordEnd(now, hash)
	} else {
		s.tracker.RecordGone(now, hash)
	}
}

// hasEnded reports whether an incarnation is known to have ended.
func (s *suspects) hasEnded(ep *members.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ended := s.ended[dispatch.EndpointHash(ep.Key())]
	return ended
}

// recordDepartures records incarnations that the registry dropped or that announced leaving.
func (s *suspects) recordDepartures(list []members.Departure) {
	for _, dep := range list {
		if !dep.Leaving {
			s.recordEnd(dep.Key, howDropped)
			continue
		}
		s.mu.Lock()
		s.tracker.RecordLeaving(s.d.now(), dispatch.EndpointHash(dep.Key))
		s.handleChanges(learnedSeen)
		s.mu.Unlock()
	}
}

// expire drops expired entries.
func (s *suspects) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.now()
	s.tracker.Expire(now)
	for hash, end := range s.ended {
		if now-end.at >= endedTTL {
			delete(s.ended, hash)
		}
	}
	s.expireLifeSigns(now)
	s.handleChanges(learnedSeen)
	s.storeConvicted()
}

// Where a change was learned, in logs.
const (
	learnedSeen   = "seen"
	learnedRemote = "told"
	learnedStore  = "store"
)

// changeEvents and partChangeEvents map the kinds of changes to log events.
var (
	changeEvents     = [...]string{"request_suspected", "request_convicted", "request_cleared", "request_forgotten"}
	partChangeEvents = [...]string{"part_suspected", "part_convicted", "part_cleared", "part_forgotten"}
)

// handleChanges logs the tracker's latest changes and acts on them. The caller holds the lock.
func (s *suspects) handleChanges(learned string) {
	for _, c := range s.tracker.TakeChanges() {
		if learned == learnedSeen && c.Level > c.PreviousLevel {
			select {
			case s.urgent <- struct{}{}:
			default:
			}
		}
		event, convictions := changeEvents[c.Kind], "requests_convicted"
		if c.Digest.IsPart() {
			event, convictions = partChangeEvents[c.Kind], "parts_convicted"
		}
		if c.Kind == suspect.Convicted {
			s.d.count(convictions)
			s.stopUnanswered(c.Digest)
		}
		s.updateStored(c, learned)
		if c.Level <= 1 && !c.WasConvicted() && learned != learnedSeen {
			// Not logged: each VM would log every request that ran beside a poison request on each
			// endpoint that ends.
			continue
		}
		hashes := make([]string, 0, len(c.Endpoints))
		for _, hash := range c.Endpoints {
			hashes = append(hashes, strconv.FormatUint(hash, 10))
		}
		s.d.log.Info().Stringer("digest", c.Digest).Int("ends", c.Level).Int("ends_before", c.PreviousLevel).Str("endpoint_hashes", strings.Join(hashes, ",")).
			Str("learned", learned).Msg(event)
	}
}

// stopUnanswered stops the requests of a digest that no endpoint has responded to. The caller holds
// the lock.
func (s *suspects) stopUnanswered(d suspect.Digest) {
	if s.tracker.Status(d).Released {
		return
	}
	for c, stop := range s.unanswered {
		if c.suspect.Contains(d) {
			c.blocked.Store(true)
			stop()
		}
	}
}
