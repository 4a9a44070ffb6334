package entry

import (
	"context"
	"strconv"
	"strings"

	"github.com/chivefield/chivefield/rendezvous"
)

const (
	// versionMarkPrefix begins the keys of the records of FeedVMs that name the services with a single
	// software version. Without them nobody would know, after all VMs have ended, that a stream which its
	// caller resumes cannot have begun at another.
	versionMarkPrefix = "versions-"
	// versionMarkQueueSize limits the services whose mark waits to be written.
	versionMarkQueueSize = 64
)

// versionMark is the record of a service that has had one version for as long as a stream may live.
type versionMark struct {
	version string
	// era is the store's era when the record was written. After a restore of the store it proves nothing:
	// that it was removed may be lost.
	era uint64
}

// String encodes the mark.
func (m versionMark) String() string {
	return strconv.Quote(m.version) + " " + strconv.FormatUint(m.era, 10)
}

// parseVersionMark decodes a mark.
func parseVersionMark(s string) (versionMark, error) {
	quoted, err := strconv.QuotedPrefix(s)
	if err != nil {
		return versionMark{}, &VersionMarkError{Record: s}
	}
	version, err := strconv.Unquote(quoted)
	if err != nil {
		return versionMark{}, &VersionMarkError{Record: s}
	}
	era, err := strconv.ParseUint(strings.TrimPrefix(s[len(quoted):], " "), 10, 64)
	if err != nil {
		return versionMark{}, &VersionMarkError{Record: s}
	}
	return versionMark{version, era}, nil
}

// isVersionMark reports whether a record of FeedVMs is the mark of a service with a single version.
func isVersionMark(r Record) bool { return strings.HasPrefix(r.Key, versionMarkPrefix) }

// loadMarks applies the marks in a list of FeedVMs.
func (r *resumption) loadMarks(list vmList) {
	marks := make(map[string]versionMark)
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
	r.marksReadOnce.Do(func() { close(r.marksRead) })
	r.marks, r.era = marks, list.era
	r.versions.ClearVouched()
	for service, m := range marks {
		if m.era == list.era {
			r.versions.Vouch(service, m.version)
		}
	}
}

// updateMark queues the writing or the removal of a service's mark if that is due and this VM's to do. A mark is
// removed by the first readers of the store that see another version listed, which is before it is used.
func (r *resumption) updateMark(service string) {
	mark, marked := r.marks[service]
	version, sure := r.single[service]
	switch {
	case marked && !r.versions.ListsOnly(service, mark.version):
	case sure && (!marked || mark.era != r.era) && r.marksService(service):
	default:
		return
	}
	if !r.d.peers.isStoreReader() {
		return
	}
	if sure {
		r.marks[service] = versionMark{version, r.era}
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
			rec.Value = []byte(m.String())
		}
		err := r.d.opts.Store.Write(ctx, rec)
		if err == nil {
			r.d.log.Info().Str("service", service).Bool("single", wanted).Str("version", m.version).Msg("version_mark_written")
			return
		}
		r.d.count("store_errors")
		r.d.log.Warn().Str("service", service).Err(err).Msg("version_mark_unkept")
		if !sleepJittered(ctx, delay.next(r.d.maxRetryPause())) {
			return
		}
	}
}
