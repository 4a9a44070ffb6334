package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/core/suspect"
	"github.com/chivefield/chivefield/schema"
)

const (
	// maxRecentSuspects limits the recently changed records in each note, and those sent in
	// rotation in every tenth.
	maxRecentSuspects = 8
	// maxStartSuspects limits the records that each VM sends to a newly started process.
	maxStartSuspects = 64
	// suspectsPushDelay is how long a VM that saw an endpoint end collects the requests that ran
	// there before it sends an extra note. A caller that retries at once reaches another VM within
	// a round trip; with regular notes alone one more endpoint ends.
	suspectsPushDelay = 5 * time.Millisecond
	// suspectKeyPrefix starts the keys of convicted requests in the store.
	suspectKeyPrefix = "suspect-"
	// maxStoreTries limits the attempts in a row to write one conviction to the store, which take
	// up to half a minute, before the next one gets its turn.
	maxStoreTries = 16
)

func suspectToWire(r suspect.Record) *schema.Suspect {
	m := &schema.Suspect{Digest: r.Digest[:], Cleared: uint32(r.Cleared), QuietMs: uint64(r.Age.Milliseconds())}
	for _, s := range r.Sightings {
		m.Sightings = append(m.Sightings, &schema.Sighting{
			Endpoint: s.Endpoint, Generation: uint32(s.Generation), EndedAt: uint32(s.EndedAt), AliveAt: uint32(s.AliveAt),
		})
	}
	return m
}

// digestFromWire decodes a digest; bytes of the wrong length give the zero digest.
func digestFromWire(b []byte) suspect.Digest {
	var d suspect.Digest
	if len(b) == len(d) {
		copy(d[:], b)
	}
	return d
}

// maxWireDuration limits durations received from other VMs; longer ones would overflow.
const maxWireDuration = 365 * 24 * time.Hour

// durationFromWire decodes a duration in ms, limited to maxWireDuration.
func durationFromWire(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxWireDuration.Milliseconds()))) * time.Millisecond
}

func suspectFromWire(m *schema.Suspect) suspect.Record {
	r := suspect.Record{Digest: digestFromWire(m.Digest), Cleared: int(m.Cleared), Age: durationFromWire(m.QuietMs)}
	for _, s := range m.Sightings {
		r.Sightings = append(r.Sightings, suspect.Sighting{
			Endpoint: s.Endpoint, Generation: int(s.Generation), EndedAt: int(s.EndedAt), AliveAt: int(s.AliveAt),
		})
	}
	return r
}

func suspectsToWire(list []suspect.Record) []*schema.Suspect {
	var encoded []*schema.Suspect
	for _, r := range list {
		encoded = append(encoded, suspectToWire(r))
	}
	return encoded
}

// forNote returns the records for a note: those changed recently and, with inRotation, some of all
// in rotation.
func (s *suspects) forNote(inRotation bool) []*schema.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.tracker.Recent(s.d.now(), maxRecentSuspects)
	if inRotation {
		list = append(list, s.tracker.NextInRotation(s.d.now(), maxRecentSuspects)...)
	}
	return suspectsToWire(list)
}

// forNewProcess returns the records to send to a newly started process.
func (s *suspects) forNewProcess() []*schema.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return suspectsToWire(s.tracker.HighestLevel(s.d.now(), maxStartSuspects))
}

// mergeRemote merges records received from another VM.
func (s *suspects) mergeRemote(list []*schema.Suspect) {
	if len(list) > 0 {
		s.merge(list, learnedRemote)
	}
}

func (s *suspects) merge(list []*schema.Suspect, learned string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range list {
		s.tracker.Merge(s.d.now(), suspectFromWire(m))
	}
	s.handleChanges(learned)
}

// pushUpdates sends recent changes at once to the recipients of the i-th round of notes.
func (p *peers) pushUpdates(i uint64) {
	p.sendDoubts()
	n := p.newNote()
	n.Suspects, n.Notices = p.d.suspects.forNote(false), p.d.notices.forNote(false)
	if len(n.Suspects)+len(n.Notices) == 0 {
		return
	}
	to := p.recipients(i)
	p.writeAll(p.encode(n), slices.Concat(to.Loads, to.State, to.Heartbeats))
}

// sendStartState sends a newly seen process the state that it must not learn late: requests that
// crash endpoints, rollouts, whose new versions get few requests, and notices of endpoints.
func (p *peers) sendStartState(pe *peer) {
	n := p.newNote()
	n.Suspects, n.Rollouts, n.Notices = p.d.suspects.forNewProcess(), p.d.rollouts.forNote(), p.d.notices.forNewProcess()
	if len(n.Suspects)+len(n.Rollouts)+len(n.Notices) > 0 {
		p.send(n, pe.addr)
	}
}

// isSuspectRecord reports whether a record of the store is that of a convicted request.
func isSuspectRecord(r Record) bool { return strings.HasPrefix(r.Key, suspectKeyPrefix) }

// loadStored loads the convictions in the store, once per process. Later ones arrive in notes; the
// store's records carry no age, since no clock that could tell it can be trusted.
func (s *suspects) loadStored(records []Record) {
	if s.storeRead {
		return
	}
	s.storeRead = true
	var list []*schema.Suspect
	for _, r := range records {
		if !isSuspectRecord(r) || len(r.Value) == 0 {
			continue
		}
		m := &schema.Suspect{}
		if err := proto.Unmarshal(r.Value, m); err != nil {
			s.d.log.Warn().Str("key", r.Key).Err(err).Msg("suspect_unreadable")
			continue
		}
		list = append(list, m)
	}
	s.merge(list, learnedStore)
}

// updateStored queues a new conviction, or the end of one, for writing to the store if this VM saw
// it. The caller holds the lock.
func (s *suspects) updateStored(c suspect.Change, learned string) {
	switch {
	case c.WasConvicted():
		delete(s.stored, c.Digest)
		if learned == learnedSeen {
			s.enqueueStore(c.Digest)
		}
	case c.Kind != suspect.Convicted:
	case learned == learnedStore:
		s.stored[c.Digest] = true
	case learned == learnedSeen:
		s.stored[c.Digest] = true
		s.enqueueStore(c.Digest)
	}
}

// storeConvicted queues convictions received from other VMs for writing if this VM reads the store
// for its failure domain. The VM that saw one may be lost before it has written it, and the
// conviction with it if all VMs are killed while the store is away. The caller holds the lock.
func (s *suspects) storeConvicted() {
	convicted := s.tracker.ConvictedDigests()
	if len(convicted) == 0 || !s.d.peers.isStoreReader() {
		return
	}
	for _, d := range convicted {
		if !s.stored[d] {
			s.stored[d] = true
			s.enqueueStore(d)
		}
	}
}

// rewriteStored queues convictions again that a restore of the store may have lost.
func (s *suspects) rewriteStored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.stored)
	s.storeConvicted()
}

// enqueueStore queues the writing or removal of a request's record. The caller holds the lock.
func (s *suspects) enqueueStore(d suspect.Digest) {
	select {
	case s.storeQueue <- d:
	default:
		delete(s.stored, d)
		s.d.count("suspects_unkept")
		s.d.log.Warn().Stringer("digest", d).Msg("suspect_unkept")
	}
}

// processStoreQueue writes convictions to the store until ctx ends, so that they survive a restart
// of all VMs.
func (s *suspects) processStoreQueue(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-s.storeQueue:
			s.storeWithRetry(ctx, d)
		}
	}
}

func (s *suspects) storeWithRetry(ctx context.Context, d suspect.Digest) {
	var delay backoff
	for range maxStoreTries {
		value, err := s.storeValue(d)
		if err == nil {
			if err = s.d.opts.Store.Write(ctx, Record{Key: suspectKeyPrefix + d.String(), Value: value}); err == nil {
				return
			}
		}
		s.d.count("store_errors")
		s.d.log.Warn().Stringer("digest", d).Err(err).Msg("suspect_unkept")
		if !sleepJittered(ctx, delay.next(s.d.maxRetryPause())) {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.stored, d)
}

// storeValue encodes the store's record of a request, nil if the request is no longer convicted.
func (s *suspects) storeValue(d suspect.Digest) ([]byte, error) {
	s.mu.Lock()
	r, ok := s.tracker.RecordOf(s.d.now(), d)
	convicted := ok && s.tracker.Status(d).Level >= suspect.ConvictionLevel
	s.mu.Unlock()
	if !convicted {
		return nil, nil
	}
	r.Age = 0
	return proto.Marshal(suspectToWire(r))
}
