package entry

import (
	"context"
	"errors"
	"time"

	"github.com/chivefield/chivefield/core/resume"
)

const (
	// maxCheckedRecords bounds the records of the registry's log that a VM reads to check the marks, and
	// maxCheckedByReader those that its failure domain's reader of the store does, which answers the others.
	maxCheckedRecords  = 4096
	maxCheckedByReader = 1 << 16
	// markCheckTimeout bounds the wait for the registry and the reading of its log.
	markCheckTimeout = 3 * time.Second
	// registryPollInterval is how often a starting process looks whether it has the registry.
	registryPollInterval = 10 * time.Millisecond
)

// checkMarks loads what the store has on streams, and checks marks against the registry's log each time they
// were listed, until ctx ends.
func (r *resumption) checkMarks(ctx context.Context) error {
	for loaded := false; ; loaded = true {
		select {
		case <-ctx.Done():
			return nil
		case <-r.marksListed:
		}
		checkCtx, cancel := context.WithTimeout(ctx, markCheckTimeout)
		if !loaded {
			r.loadStreams(checkCtx)
		}
		if r.awaitRegistry(checkCtx) {
			r.checkListedMarks(checkCtx)
		}
		cancel()
		r.marksReadOnce.Do(func() { close(r.marksRead) })
	}
}

// awaitRegistry waits until the registry has been read. It returns false if ctx ended first.
func (r *resumption) awaitRegistry(ctx context.Context) bool {
	for !r.d.endpointsLoaded.Load() {
		if !sleepJittered(ctx, registryPollInterval) {
			return false
		}
	}
	return true
}

// checkListedMarks vouches for the services whose mark is not refuted by the registry's log up to the
// position that this VM has observed. From there on it sees other versions itself.
func (r *resumption) checkListedMarks(ctx context.Context) {
	marks, end, gaps := r.marksToCheck()
	for len(marks) > 0 {
		from := end.Offset
		for _, m := range marks {
			from = min(from, m.Offset)
		}
		err := r.refuteMarks(ctx, marks, from, end)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) {
			r.refuseMarks(marks, func(m resume.Mark) bool { return m.Offset <= from }, err)
			continue
		}
		if err != nil {
			r.refuseMarks(marks, func(resume.Mark) bool { return true }, err)
		}
		break
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(r.d.now())
	if r.gaps != gaps {
		// Another version may have come and gone unseen since the position that was observed.
		return
	}
	for service, m := range marks {
		r.versions.Vouch(service, m.Version)
	}
}

// marksToCheck returns the marks of services of whose version this VM is not sure, the position of the
// registry that it has observed, and how many gaps there were before that.
func (r *resumption) marksToCheck() (marks map[string]resume.Mark, end Position, gaps uint64) {
	limit := uint64(maxCheckedRecords)
	if r.d.peers.isStoreReader() {
		limit = maxCheckedByReader
	}
	now := r.d.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(now)
	end = r.observedAt
	marks = make(map[string]resume.Mark)
	for service, m := range r.marks {
		_, sure := r.single[service]
		if sure || m.Era != r.era || m.Era != end.Era || m.Offset+limit < end.Offset {
			continue
		}
		marks[service] = m
	}
	return marks, end, r.gaps
}

// refuteMarks reads the registry's log between two positions and deletes the marks that it refutes.
func (r *resumption) refuteMarks(ctx context.Context, marks map[string]resume.Mark, from uint64, end Position) error {
	for from < end.Offset {
		records, next, err := r.d.opts.Store.Read(ctx, FeedEndpoints, from, 0)
		if err != nil {
			return err
		}
		if next.Era != end.Era {
			return &StaleEraError{Era: end.Era, Known: next.Era}
		}
		if next.Offset <= from {
			return &TrimmedError{From: from}
		}
		for i, rec := range records {
			r.refuteBy(marks, rec, from+uint64(i))
		}
		from = next.Offset
	}
	return nil
}

// refuteBy deletes the marks that a record of the registry refutes. One that cannot be decoded may be of any
// service.
func (r *resumption) refuteBy(marks map[string]resume.Mark, rec Record, offset uint64) {
	change, err := r.d.codec.DecodeEndpoint(rec)
	if err != nil || change.Unreadable {
		r.refuseMarks(marks, func(m resume.Mark) bool { return offset >= m.Offset }, err)
		return
	}
	if change.Endpoint == nil {
		return
	}
	service := change.Endpoint.Service
	if m, ok := marks[service]; ok && m.Contradicts(offset, change.Endpoint.Version) {
		delete(marks, service)
		r.logRefusedMark(service, m, nil)
	}
}

// refuseMarks deletes the marks to which a condition applies.
func (r *resumption) refuseMarks(marks map[string]resume.Mark, refuted func(resume.Mark) bool, cause error) {
	for service, m := range marks {
		if refuted(m) {
			delete(marks, service)
			r.logRefusedMark(service, m, cause)
		}
	}
}

func (r *resumption) logRefusedMark(service string, m resume.Mark, cause error) {
	r.d.count("version_marks_refused")
	r.d.log.Info().Str("service", service).Str("version", m.Version).Uint64("offset", m.Offset).Err(cause).Msg("version_mark_refused")
}
