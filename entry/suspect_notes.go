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
	// maxRecentSuspects bounds the records of what was learned lately in each note, and those in
	// turn in each tenth.
	maxRecentSuspects = 8
	// maxStartSuspects bounds what a VM that has just started is told at once by each that hears
	// of it.
	maxStartSuspects = 64
	// suspectsPushDelay is how long a VM that saw an endpoint end gathers what it ran there before
	// it tells others, out of turn: a caller that sends again at once reaches another VM
	// within a round trip, and with notes in turn alone one endpoint more ends.
	suspectsPushDelay = 5 * time.Millisecond
	// suspectKeyPrefix begins the keys of convicted requests in the store.
	suspectKeyPrefix = "suspect-"
	// maxStoreTries is how often in a row a conviction is written to the store that fails, which
	// takes up to half a minute, before others get their turn.
	maxStoreTries = 16
)

func suspectToWire(r suspect.Record) *schema.Suspect {
	m := &schema.Suspect{Digest: r.Digest[:], Cleared: uint32(r.Cleared), QuietMs: uint64(r.Quiet.Milliseconds())}
	for _, s := range r.Sightings {
		m.Sightings = append(m.Sightings, &schema.Sighting{
			Endpoint: s.Endpoint, Generation: uint32(s.Generation), EndedAt: uint32(s.EndedAt), AliveAt: uint32(s.AliveAt),
		})
	}
	return m
}

// digestFromWire is the zero digest for bytes that are none.
func digestFromWire(b []byte) suspect.Digest {
	var d suspect.Digest
	if len(b) == len(d) {
		copy(d[:], b)
	}
	return d
}

// maxWireDuration bounds what others say; longer would wrap.
const maxWireDuration = 365 * 24 * time.Hour

// durationFromWire is a time in ms that another VM tells, within bounds.
func durationFromWire(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxWireDuration.Milliseconds()))) * time.Millisecond
}

func suspectFromWire(m *schema.Suspect) suspect.Record {
	r := suspect.Record{Digest: digestFromWire(m.Digest), Cleared: int(m.Cleared), Quiet: durationFromWire(m.QuietMs)}
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

// forNote is what a note tells: what was learned lately and, in some notes, of all in turn.
func (s *suspects) forNote(inTurn bool) []*schema.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.ledger.Hot(s.d.now(), maxRecentSuspects)
	if inTurn {
		list = append(list, s.ledger.Turn(s.d.now(), maxRecentSuspects)...)
	}
	return suspectsToWire(list)
}

// forNewProcess is what a process that has just started is told.
func (s *suspects) forNewProcess() []*schema.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return suspectsToWire(s.ledger.Worst(s.d.now(), maxStartSuspects))
}

// mergeRemote takes in what another VM knows.
func (s *suspects) mergeRemote(list []*schema.Suspect) {
	if len(list) > 0 {
		s.merge(list, learnedTold)
	}
}

func (s *suspects) merge(list []*schema.Suspect, learned string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range list {
		s.ledger.Merge(s.d.now(), suspectFromWire(m))
	}
	s.handleChanges(learned)
}

// pushUpdates tells those who get the i-th note what was just learned.
func (p *peers) pushUpdates(i uint64) {
	n := p.newNote()
	n.Suspects, n.Notices = p.d.suspects.forNote(false), p.d.notices.forNote(false)
	if len(n.Suspects)+len(n.Notices) == 0 {
		return
	}
	to := p.recipients(i)
	p.writeAll(p.encode(n), slices.Concat(to.Loads, to.State, to.Heartbeats))
}

// sendStartState tells a process that was not heard before what it must not learn late: which
// requests end endpoints, which versions get few requests, and what endpoints say of themselves.
func (p *peers) sendStartState(pe *peer) {
	n := p.newNote()
	n.Suspects, n.Rollouts, n.Notices = p.d.suspects.forNewProcess(), p.d.rollouts.forNote(), p.d.notices.forNewProcess()
	if len(n.Suspects)+len(n.Rollouts)+len(n.Notices) > 0 {
		p.send(n, pe.addr)
	}
}

// isSuspectRecord says whether a record of the store is a convicted request's.
func isSuspectRecord(r Record) bool { return strings.HasPrefix(r.Key, suspectKeyPrefix) }

// loadStored takes in the convictions of the store, once in a process's life: later ones are told by
// notes, and a record says how long ago it was written by no clock that could be trusted.
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

// updateStored has a conviction written to the store, or its end, by the VM that saw it. The lock
// is held.
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

// storeConvicted has convictions written that this VM was told, if it reads the store for its
// failure domain: the VM that saw one may be lost before the store takes it, and with it
// the conviction, if all VMs are killed while the store is away. The lock is held.
func (s *suspects) storeConvicted() {
	convicted := s.ledger.Convicted()
	if len(convicted) == 0 || !s.d.peers.reads() {
		return
	}
	for _, d := range convicted {
		if !s.stored[d] {
			s.stored[d] = true
			s.enqueueStore(d)
		}
	}
}

// rewriteStored has convictions written again that the store may have lost.
func (s *suspects) rewriteStored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.stored)
	s.storeConvicted()
}

// enqueueStore has the store's record of a request written, or removed. The lock is held.
func (s *suspects) enqueueStore(d suspect.Digest) {
	select {
	case s.storeQueue <- d:
	default:
		delete(s.stored, d)
		s.d.count("suspects_unkept")
		s.d.log.Warn().Stringer("digest", d).Msg("suspect_unkept")
	}
}

// processStoreQueue writes convictions to the store, so that they outlast a restart of all VMs, until ctx
// ends.
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

// storeValue is the record in the store of a request; nothing if it is not convicted any more.
func (s *suspects) storeValue(d suspect.Digest) ([]byte, error) {
	s.mu.Lock()
	r, ok := s.ledger.Record(s.d.now(), d)
	convicted := ok && s.ledger.Look(d).Level >= suspect.ConvictedAt
	s.mu.Unlock()
	if !convicted {
		return nil, nil
	}
	r.Quiet = 0
	return proto.Marshal(suspectToWire(r))
}
