package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/resume"
	"github.com/chivefield/chivefield/core/routing"
)

const (
	// resumeGrace is how long after its attempt's deadline a stream may still be resumed.
	resumeGrace = 5 * time.Second
	// endpointLinger is how long after its entry has gone an endpoint may still begin streams, for VMs that
	// hear of it late.
	endpointLinger = 10 * time.Second
	// domainTouchTimeout is the time without a note from a failure domain after which VMs there may know less
	// of the registry than this one.
	domainTouchTimeout = 5 * time.Second
	// originRetryAfter is the Retry-After if a VM that may know a stream's version did not answer, or this
	// one has just started.
	originRetryAfter = 300 * time.Millisecond
	// maxVersionBytes bounds the version names in records; streams of versions with longer names are not
	// known to other VMs.
	maxVersionBytes = 64
	// reasonVersionUnknown is the reason for refusing to resume a stream of which no VM that was asked
	// knows the version.
	reasonVersionUnknown = "stream_version_unknown"
)

// resumption finds the software version at which a stream that a caller resumes may go on.
type resumption struct {
	d *Daemon

	mu       sync.Mutex
	ledger   *resume.Ledger
	versions *resume.Versions
	// observed is the state of the registry that versions has seen last.
	observed uint64
	// fleet holds the VMs of this region, this one included; any of them may be a keeper.
	fleet []resume.VM
	// asks holds the questions to keepers that wait for answers, by handle.
	asks map[uint64]chan originAnswer
	// single holds the services with a single version, for the log.
	single map[string]string
	// lifetime is streamLifetime of the table.
	lifetime time.Duration
	table    *routing.Table
	// resumable holds the services of the table's resumable streams.
	resumable map[string]bool
	// gaps counts the looks at which this VM's copy of the registry was not up to date.
	gaps uint64
	// observedAt is the position of the registry up to which versions has seen it.
	observedAt Position
	// marks holds the marks in the store as far as this VM knows, or as it is about to write them; era is
	// the era in which they were read. markedAt is when this VM last wrote each. markQueue holds the services
	// whose mark is to be written or removed.
	marks     map[string]resume.Mark
	era       uint64
	markedAt  map[string]time.Duration
	markQueue chan string
	// unstored holds the records that wait to be written to the store's log.
	unstored []resume.Record
	// marksListed wakes the goroutine that checks marks against the registry's log.
	marksListed chan struct{}
	// marksRead is closed once the marks have been read and checked.
	marksRead     chan struct{}
	marksReadOnce sync.Once
}

func newResumption(d *Daemon) *resumption {
	return &resumption{
		d: d, ledger: resume.NewLedger(), versions: resume.NewVersions(), asks: make(map[uint64]chan originAnswer), single: make(map[string]string),
		marks: make(map[string]resume.Mark), markedAt: make(map[string]time.Duration), marksListed: make(chan struct{}, 1), markQueue: make(chan string, versionMarkQueueSize), marksRead: make(chan struct{}),
	}
}

// markFirstStart records that this process started with the whole deployment: no stream is older.
func (r *resumption) markFirstStart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions.MarkFirst()
}

// step does what is due ten times a second.
func (r *resumption) step() {
	fleet := r.d.peers.regionVMs()
	now := r.d.now()
	inTouch := r.d.peers.allDomainsSeen(domainTouchTimeout)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !inTouch {
		r.versions.RecordOutOfTouch(now)
	}
	if len(fleet) != len(r.fleet) {
		r.fleet = fleet
		r.ledger.TellAgain()
	}
	r.observe(now)
	r.updateServices(now)
	r.ledger.Expire(now)
	if n := r.ledger.TakeForgotten(); n > 0 {
		r.d.countMany("stream_records_forgotten", n)
		r.d.log.Warn().Int("forgotten", n).Int("kept", r.ledger.Len()).Msg("stream_records_forgotten")
	}
	r.tellDue(now)
}

// observe records which versions are listed now.
func (r *resumption) observe(now time.Duration) {
	if table := r.d.table.Load(); table != r.table {
		r.table, r.lifetime, r.resumable = table, streamLifetime(table), resumableServices(table)
	}
	if r.d.registryConfirmedAt.Load() > 0 && !r.d.registryConfirmed() {
		r.versions.RecordGap(now)
		r.gaps++
	}
	listed, state, at := r.d.sched.versionsSince(r.observed)
	if listed != nil {
		r.observed = state
		r.versions.Observe(now, listed)
	}
	r.observedAt = at
}

// updateServices logs and marks in the store which services have a single version.
func (r *resumption) updateServices(now time.Duration) {
	if r.table == nil {
		return
	}
	for i := range r.table.Document.Services {
		name := r.table.Document.Services[i].Name
		r.logCertainty(now, name)
		r.updateMark(now, name)
	}
	for name := range r.single {
		if r.table.Service(name) == nil {
			// Streams of a service that the configuration dropped go on, and need records once it has two versions.
			r.logCertainty(now, name)
		}
	}
}

// logCertainty logs when it becomes sure that a service has a single version, and when it no longer is.
func (r *resumption) logCertainty(now time.Duration, service string) {
	version, sure := r.singleVersion(now, service)
	known, was := r.single[service]
	if !sure && !was || sure && was && version == known {
		return
	}
	if sure {
		r.single[service] = version
	} else {
		delete(r.single, service)
	}
	r.d.log.Info().Str("service", service).Bool("single", sure).Str("version", version).Bool("registry_confirmed", r.d.registryConfirmed()).Msg("service_versions")
}

// streamLifetime returns for how long a version that is no longer listed may be that of a stream of a table's routes.
func streamLifetime(t *routing.Table) time.Duration {
	longest := time.Duration(0)
	for _, route := range t.Document.Routes {
		if route.Kind != routing.Stream {
			continue
		}
		timeout := route.Timeout
		if timeout <= 0 {
			timeout = defaultTimeout
		}
		longest = max(longest, timeout)
	}
	return longest + resumeGrace + endpointLinger
}

// resumableServices returns the services of a table's resumable streams.
func resumableServices(t *routing.Table) map[string]bool {
	services := make(map[string]bool)
	for _, route := range t.Document.Routes {
		if route.Kind != routing.Stream || !route.Resumable {
			continue
		}
		for _, share := range route.Shares {
			services[share.Service] = true
		}
	}
	return services
}

// singleVersion returns the only version that can have begun a stream of a service, if that is sure.
func (r *resumption) singleVersion(now time.Duration, service string) (version string, sure bool) {
	if r.lifetime == 0 || !r.d.registryConfirmed() {
		return "", false
	}
	return r.versions.Single(now, service, r.lifetime)
}

// recordFirstEvent records the version whose first event is about to be sent to the caller, and tells the keepers
// unless the service has that version alone.
func (r *resumption) recordFirstEvent(c *callerRequest, version string) {
	if !c.route.Retryable() || len(version) > maxVersionBytes {
		return
	}
	now := r.d.now()
	rec := resume.Record{Service: c.service, Version: version, Expires: now + time.Until(c.deadline) + resumeGrace}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, sure := r.singleVersion(now, c.service)
	ids := []string{c.reqHeaders.ID}
	if first := c.firstAttempt(); first != c.reqHeaders.ID {
		// The caller may resume it once more.
		ids = append(ids, first)
	}
	for _, id := range ids {
		rec.Key = c.streamKey(id)
		r.ledger.Begin(rec)
		if !sure {
			r.tell(now, rec)
		}
	}
}

// streamKey returns the key of the stream that an attempt of this request's caller began.
func (c *callerRequest) streamKey(attempt string) resume.Key {
	s := resume.Stream{Route: c.route.Name, Service: c.service, Attempt: attempt}
	if c.org != nil {
		s.Organisation = c.org.Name
	}
	return s.Key()
}

// resolve binds a request that resumes a stream to the version that began it. It returns a refusal if that is not
// known: going on at any other would join what two versions wrote.
func (r *resumption) resolve(ctx context.Context, c *callerRequest) *refusal {
	if !c.resumes() {
		return nil
	}
	start := time.Now()
	o, certain := r.find(ctx, c)
	r.d.count("streams_resumed." + o.Source.String())
	r.d.log.Info().Str("request", c.reqHeaders.ID).Str("resumes", c.reqHeaders.Resumes).Str("after", c.reqHeaders.LastEventID).
		Stringer("source", o.Source).Str("version", o.Version).Bool("certain", certain).Dur("took", time.Since(start)).Msg("stream_resumed")
	switch {
	case o.Known():
		c.version.Store(&o.Version)
		return nil
	case certain:
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonVersionUnknown}
	}
	return &refusal{http.StatusServiceUnavailable, reasonVersionUnknown, originRetryAfter}
}

// awaitMarks waits shortly after the start until the marks in the store have been read, or until ctx ends.
func (r *resumption) awaitMarks(ctx context.Context) {
	remaining := initialisationWait - r.d.now()
	if remaining <= 0 {
		return
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-r.marksRead:
	case <-t.C:
	case <-ctx.Done():
	}
}

// find finds out which version began the stream that a request resumes. certain is set if no VM will know later, either.
func (r *resumption) find(ctx context.Context, c *callerRequest) (o resume.Origin, certain bool) {
	r.awaitMarks(ctx)
	key := c.streamKey(c.firstAttempt())
	now := r.d.now()
	r.mu.Lock()
	r.observe(now)
	version, known := r.ledger.Version(key)
	single, sure := r.singleVersion(now, c.service)
	r.mu.Unlock()
	switch {
	case known:
		return resume.Origin{Source: resume.OwnRecord, Version: version}, true
	case sure && c.reqHeaders.Resumes == "":
		return resume.Origin{Source: resume.SingleVersion, Version: single}, true
	}
	q := r.inquire(ctx, key, c.service, single, sure)
	return q.Origin(), q.Complete() && r.d.now() > r.streamLifetime()
}

func (r *resumption) streamLifetime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lifetime
}

// keepers returns the keepers of a stream.
func (r *resumption) keepers(key resume.Key) []resume.VM { return resume.Keepers(key, r.fleet) }
