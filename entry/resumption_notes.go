package entry

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/resume"
	"github.com/chivefield/chivefield/schema"
)

const (
	// askInterval is the interval at which an unanswered question is sent again, twenty round trips within
	// a region, and maxAsks how often it is sent.
	askInterval = 40 * time.Millisecond
	maxAsks     = 3
	// toldPerStep is how many records are told in a tenth of a second, beside those of streams that begin.
	toldPerStep = 12
	// maxRecordTTL bounds how long another VM can have a record kept.
	maxRecordTTL = 10 * time.Minute
)

// originAnswer is a keeper's answer.
type originAnswer struct {
	from string
	resume.Answer
}

// tell tells the keepers of a stream which version began it.
func (r *resumption) tell(now time.Duration, rec resume.Record) {
	r.ledger.MarkTold(rec.Key)
	n := &schema.PeerNote{Origins: []*schema.StreamOrigin{{Key: uint64(rec.Key), Version: rec.Version, TtlMs: ttlMillis(now, rec)}}}
	b := r.d.peers.encode(n)
	for _, vm := range resume.ToTell(r.d.settings.Listen.Peers, r.keepers(rec.Key)) {
		if addr := r.d.peers.udpAddress(vm.Address); addr != nil {
			r.d.peers.write(b, addr)
			r.d.count("stream_records_told")
		}
	}
	r.store(now, rec)
}

// tellDue tells some of the records that began while their service had a single version and now are needed, since
// that is no longer sure.
func (r *resumption) tellDue(now time.Duration) {
	due := func(service string) bool {
		_, sure := r.single[service]
		return !sure
	}
	for _, rec := range r.ledger.TakeUntold(toldPerStep, due) {
		r.tell(now, rec)
	}
}

// tellAgain has a VM told what it keeps, after its process has started again.
func (r *resumption) tellAgain(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.TellAgainIf(func(key resume.Key) bool {
		for _, vm := range resume.ToTell(r.d.settings.Listen.Peers, r.keepers(key)) {
			if vm.Address == address {
				return true
			}
		}
		return false
	})
}

// handleNote processes what a note says of streams.
func (r *resumption) handleNote(n *schema.PeerNote, from *net.UDPAddr) {
	if len(n.Origins)+len(n.OriginAsks)+len(n.OriginAnswers) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.d.now()
	for _, m := range n.Origins {
		r.keep(now, m, from)
	}
	answers := &schema.PeerNote{}
	for _, m := range n.OriginAsks {
		answers.OriginAnswers = append(answers.OriginAnswers, r.answer(now, m))
	}
	if len(answers.OriginAnswers) > 0 {
		r.d.peers.send(answers, from)
	}
	for _, m := range n.OriginAnswers {
		if answered := r.asks[m.Handle]; answered != nil {
			a := resume.Answer{HasRecord: m.Source == schema.OriginAnswer_RECORD, Single: m.Source == schema.OriginAnswer_SINGLE, Version: m.Version}
			select {
			case answered <- originAnswer{from.String(), a}:
			default:
				// One of several answers to the same question sent again.
			}
		}
	}
}

// keep keeps a record that another VM told.
func (r *resumption) keep(now time.Duration, m *schema.StreamOrigin, from *net.UDPAddr) {
	if len(m.Version) > maxVersionBytes {
		r.d.count("stream_records_refused")
		return
	}
	rec := resume.Record{Key: resume.Key(m.Key), Version: m.Version, Expires: now + min(maxRecordTTL, millis(uint64(m.TtlMs)))}
	if m.Store {
		// Keepers are told apart: a reader would have to keep the records of its whole failure domain.
		r.enqueueRecord(rec)
		return
	}
	if !r.ledger.Keep(rec) {
		r.d.count("stream_records_refused")
		r.d.log.Warn().Str("from", from.String()).Uint64("key", m.Key).Str("version", m.Version).Msg("stream_record_conflicts")
		return
	}
	r.d.count("stream_records_kept")
}

// answer answers what another VM asks of a stream.
func (r *resumption) answer(now time.Duration, m *schema.OriginAsk) *schema.OriginAnswer {
	a := &schema.OriginAnswer{Handle: m.Handle}
	if version, known := r.ledger.Version(resume.Key(m.Key)); known {
		a.Source, a.Version = schema.OriginAnswer_RECORD, version
	} else if version, sure := r.singleVersion(now, m.Service); sure {
		a.Source, a.Version = schema.OriginAnswer_SINGLE, version
	}
	return a
}

// inquire asks the keepers of a stream which version began it. single is the version that began it if this VM is sure of one.
func (r *resumption) inquire(ctx context.Context, key resume.Key, service, single string, sure bool) *resume.Inquiry {
	handle := r.d.lastHandle.Add(1)
	r.mu.Lock()
	var to []*net.UDPAddr
	var keepers []string
	ask := func(address string) {
		if addr := r.d.peers.udpAddress(address); addr != nil && !slices.Contains(keepers, addr.String()) {
			to, keepers = append(to, addr), append(keepers, addr.String())
		}
	}
	for _, vm := range r.keepers(key) {
		ask(vm.Address)
	}
	if !sure {
		// It reads the marks in the store most often.
		ask(r.d.peers.storeReader())
	}
	answers := make(chan originAnswer, len(to)*maxAsks)
	r.asks[handle] = answers
	r.mu.Unlock()
	defer r.endInquiry(handle)
	q := resume.NewInquiry(single, sure, keepers)
	b := r.d.peers.encode(&schema.PeerNote{OriginAsks: []*schema.OriginAsk{{Handle: handle, Key: uint64(key), Service: service}}})
	for sent := 0; sent < maxAsks && !q.Complete(); sent++ {
		for i, addr := range to {
			if q.Waiting(keepers[i]) {
				r.d.peers.write(b, addr)
			}
		}
		if awaitAnswers(ctx, answers, q) {
			break
		}
	}
	return q
}

func (r *resumption) endInquiry(handle uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asks, handle)
}

// awaitAnswers adds the answers of askInterval to an inquiry. It returns true once no more are needed.
func awaitAnswers(ctx context.Context, answers <-chan originAnswer, q *resume.Inquiry) (done bool) {
	t := time.NewTimer(askInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return true
		case <-t.C:
			return false
		case a := <-answers:
			if q.Record(a.from, a.Answer) {
				return true
			}
		}
	}
}
