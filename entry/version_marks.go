package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/chivefield/chivefield/core/resume"
	"github.com/chivefield/chivefield/rendezvous"
)

const (
	// versionMarkPrefix begins the keys of the records of FeedVMs that name the services with a single
	// software version. Without them nobody would know, after all VMs have ended, that a stream which its
	// caller resumes cannot have begun at another.
	versionMarkPrefix = "versions-"
	// versionMarkQueueSize limits the services whose mark waits to be written.
	versionMarkQueueSize = 64
	// markInterval is how often a mark is written again. It is a fraction of the time for which stores keep
	// their history.
	markInterval = 10 * time.Second
)

// encodeMark encodes a mark: the quoted version, the era and the offset.
func encodeMark(m resume.Mark) string {
	return strings.Join([]string{strconv.Quote(m.Version), strconv.FormatUint(m.Era, 10), strconv.FormatUint(m.Offset, 10)}, " ")
}

// parseVersionMark decodes a mark.
func parseVersionMark(s string) (m resume.Mark, err error) {
	quoted, err := strconv.QuotedPrefix(s)
	if err != nil {
		return m, &VersionMarkError{Record: s}
	}
	if m.Version, err = strconv.Unquote(quoted); err != nil {
		return m, &VersionMarkError{Record: s}
	}
	era, offset, found := strings.Cut(strings.TrimPrefix(s[len(quoted):], " "), " ")
	if !found {
		return m, &VersionMarkError{Record: s}
	}
	if m.Era, err = strconv.ParseUint(era, 10, 64); err != nil {
		return m, &VersionMarkError{Record: s}
	}
	if m.Offset, err = strconv.ParseUint(offset, 10, 64); err != nil {
		return m, &VersionMarkError{Record: s}
	}
	return m, nil
}

// isVersionMark reports whether a record of FeedVMs is the mark of a service with a single version.
func isVersionMark(r Record) bool { return strings.HasPrefix(r.Key, versionMarkPrefix) }

// loadMarks takes the marks in a list of FeedVMs, to be checked.
func (r *resumption) loadMarks(list vmList) {
	marks := make(map[string]resume.Mark)
	for _, rec := range list.records {
		if !isVersionMark(rec) || len(rec.Value) == 0 {
			continue
		}
		m, err := parseVersionMark(string(rec.Value))
		if err != nil {
			r.d.log.Warn().Str("key", rec.Key).Err(err).Msg("version_mark_unreadable")
			continue
		}
		marks[strings.TrimPrefix(rec.Key, versionMarkPrefix)] = m
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks, r.era = marks, list.era
	r.versions.ClearVouched()
	select {
	case r.marksListed <- struct{}{}:
	default:
	}
}

// updateMark queues the writing or the removal of a service's mark if that is due and this VM's to do. A mark is
// written again from time to time, so that the log from its position on is short and the store still has it.
func (r *resumption) updateMark(now time.Duration, service string) {
	mark, marked := r.marks[service]
	version, sure := r.single[service]
	current := marked && mark.Version == version && mark.Era == r.era && now-r.markedAt[service] < markInterval
	switch {
	case marked && !r.versions.ListsOnly(service, mark.Version):
	case sure && !current && r.resumable[service] && r.observedAt.Era == r.era && r.marksService(service):
	default:
		return
	}
	if !r.d.peers.isStoreReader() {
		return
	}
	if sure {
		r.marks[service] = resume.Mark{Version: version, Era: r.observedAt.Era, Offset: r.observedAt.Offset}
		r.markedAt[service] = now
	} else {
		delete(r.marks, service)
	}
	select {
	case r.markQueue <- service:
	default:
		r.d.count("version_marks_dropped")
	}
}

// marksService reports whether the reader of this VM's failure domain writes the mark of a service.
func (r *resumption) marksService(service string) bool {
	own := r.d.settings.Vm.FailureDomain
	for _, vm := range r.fleet {
		if vm.Domain != own && rendezvous.Hash(service, vm.Domain) > rendezvous.Hash(service, own) {
			return false
		}
	}
	return true
}

// processMarkQueue writes and removes marks until ctx ends.
func (r *resumption) processMarkQueue(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case service := <-r.markQueue:
			r.storeMark(ctx, service)
		}
	}
}

// storeMark writes a service's mark as it is wanted by then, or removes it.
func (r *resumption) storeMark(ctx context.Context, service string) {
	var delay backoff
	for {
		r.mu.Lock()
		m, wanted := r.marks[service]
		r.mu.Unlock()
		rec := Record{Key: versionMarkPrefix + service}
		if wanted {
			rec.Value = []byte(encodeMark(m))
		}
		err := r.d.opts.Store.Write(ctx, rec)
		if err == nil {
			r.d.log.Info().Str("service", service).Bool("single", wanted).Str("version", m.Version).Uint64("offset", m.Offset).Msg("version_mark_written")
			return
		}
		r.d.count("store_errors")
		r.d.log.Warn().Str("service", service).Err(err).Msg("version_mark_unkept")
		if !sleepJittered(ctx, delay.next(r.d.maxRetryPause())) {
			return
		}
	}
}
