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
	// hotSuspects bounds the records of what was learned lately in each note, and those in
	// turn in each tenth.
	hotSuspects = 8
	// startSuspects bounds what a VM that has just started is told at once by each that hears
	// of it.
	startSuspects = 64
	// suspectsSettle is how long a VM that saw an endpoint end gathers what it ran there before
	// it tells others, out of turn: a caller that sends again at once reaches another VM
	// within a round trip, and with notes in turn alone one endpoint more ends.
	suspectsSettle = 5 * time.Millisecond
	// suspectKey begins the keys of convicted requests in the store.
	suspectKey = "suspect-"
	// keepTries is how often in a row a conviction is written to the store that fails, which
	// takes up to half a minute, before others get their turn.
	keepTries = 16
)

func suspectOf(r suspect.Record) *schema.Suspect {
	m := &schema.Suspect{Digest: r.Digest[:], Cleared: uint32(r.Cleared), QuietMs: uint64(r.Quiet.Milliseconds())}
	for _, s := range r.Sightings {
		m.Sightings = append(m.Sightings, &schema.Sighting{
			Endpoint: s.Endpoint, Generation: uint32(s.Generation), EndedAt: uint32(s.EndedAt), AliveAt: uint32(s.AliveAt),
		})
	}
	return m
}

// digestOf is the zero digest for bytes that are none.
func digestOf(b []byte) suspect.Digest {
	var d suspect.Digest
	if len(b) == len(d) {
		copy(d[:], b)
	}
	return d
}

// longestQuiet bounds what others say; longer would wrap.
const longestQuiet = 365 * 24 * time.Hour

// toldTime is a time in ms that another VM tells, within bounds.
func toldTime(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(longestQuiet.Milliseconds()))) * time.Millisecond
}

func recordOf(m *schema.Suspect) suspect.Record {
	r := suspect.Record{Digest: digestOf(m.Digest), Cleared: int(m.Cleared), Quiet: toldTime(m.QuietMs)}
	for _, s := range m.Sightings {
		r.Sightings = append(r.Sightings, suspect.Sighting{
			Endpoint: s.Endpoint, Generation: int(s.Generation), EndedAt: int(s.EndedAt), AliveAt: int(s.AliveAt),
		})
	}
	return r
}

func suspectsOf(list []suspect.Record) []*schema.Suspect {
	var told []*schema.Suspect
	for _, r := range list {
		told = append(told, suspectOf(r))
	}
	return told
}

// news is what a note tells: what was learned lately and, in some notes, of all in turn.
func (s *suspects) news(inTurn bool) []*schema.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.ledger.Hot(s.d.now(), hotSuspects)
	if inTurn {
		list = append(list, s.ledger.Turn(s.d.now(), hotSuspects)...)
	}
	return suspectsOf(list)
}

// worst is what a process that has just started is told.
func (s *suspects) worst() []*schema.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return suspectsOf(s.ledger.Worst(s.d.now(), startSuspects))
}

// told takes in what another VM knows.
func (s *suspects) told(list []*schema.Suspect) {
	if len(list) > 0 {
		s.merge(list, learnedTold)
	}
}

func (s *suspects) merge(list []*schema.Suspect, learned string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range list {
		s.ledger.Merge(s.d.now(), recordOf(m))
	}
	s.note(learned)
}

// tellNews tells those who get the i-th note what was just learned.
func (p *peers) tellNews(i uint64) {
	n := p.note()
	n.Suspects, n.Notices = p.d.suspects.news(false), p.d.notices.news(false)
	if len(n.Suspects)+len(n.Notices) == 0 {
		return
	}
	to := p.recipients(i)
	p.writeAll(p.encode(n), slices.Concat(to.Loads, to.State, to.Heartbeats))
}

// tellStarted tells a process that was not heard before what it must not learn late: which
// requests end endpoints, which versions get few requests, and what endpoints say of themselves.
func (p *peers) tellStarted(pe *peer) {
	n := p.note()
	n.Suspects, n.Rollouts, n.Notices = p.d.suspects.worst(), p.d.rollouts.describe(), p.d.notices.holding()
	if len(n.Suspects)+len(n.Rollouts)+len(n.Notices) > 0 {
		p.send(n, pe.addr)
	}
}

// isSuspect says whether a record of the store is a convicted request's.
func isSuspect(r Record) bool { return strings.HasPrefix(r.Key, suspectKey) }

// learn takes in the convictions of the store, once in a process's life: later ones are told by
// notes, and a record says how long ago it was written by no clock that could be trusted.
func (s *suspects) learn(records []Record) {
	if s.read {
		return
	}
	s.read = true
	var list []*schema.Suspect
	for _, r := range records {
		if !isSuspect(r) || len(r.Value) == 0 {
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

// noteKept has a conviction written to the store, or its end, by the VM that saw it. The lock
// is held.
func (s *suspects) noteKept(c suspect.Change, learned string) {
	switch {
	case c.WasConvicted():
		delete(s.kept, c.Digest)
		if learned == learnedSeen {
			s.keepLater(c.Digest)
		}
	case c.Kind != suspect.Convicted:
	case learned == learnedStore:
		s.kept[c.Digest] = true
	case learned == learnedSeen:
		s.kept[c.Digest] = true
		s.keepLater(c.Digest)
	}
}

// keepConvicted has convictions written that this VM was told, if it reads the store for its
// failure domain: the VM that saw one may be lost before the store takes it, and with it
// the conviction, if all VMs are killed while the store is away. The lock is held.
func (s *suspects) keepConvicted() {
	convicted := s.ledger.Convicted()
	if len(convicted) == 0 || !s.d.peers.isStoreReader() {
		return
	}
	for _, d := range convicted {
		if !s.kept[d] {
			s.kept[d] = true
			s.keepLater(d)
		}
	}
}

// rewrite has convictions written again that the store may have lost.
func (s *suspects) rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.kept)
	s.keepConvicted()
}

// keepLater has the store's record of a request written, or removed. The lock is held.
func (s *suspects) keepLater(d suspect.Digest) {
	select {
	case s.unkept <- d:
	default:
		delete(s.kept, d)
		s.d.count("suspects_unkept")
		s.d.log.Warn().Stringer("digest", d).Msg("suspect_unkept")
	}
}

// keep writes convictions to the store, so that they outlast a restart of all VMs, until ctx
// ends.
func (s *suspects) keep(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-s.unkept:
			s.keepOne(ctx, d)
		}
	}
}

func (s *suspects) keepOne(ctx context.Context, d suspect.Digest) {
	var again retry
	for range keepTries {
		value, err := s.storeValue(d)
		if err == nil {
			if err = s.d.opts.Store.Write(ctx, Record{Key: suspectKey + d.String(), Value: value}); err == nil {
				return
			}
		}
		s.d.count("store_errors")
		s.d.log.Warn().Stringer("digest", d).Err(err).Msg("suspect_unkept")
		if !pause(ctx, again.failed(s.d.mostRetry())) {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.kept, d)
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
	return proto.Marshal(suspectOf(r))
}
