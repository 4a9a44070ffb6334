package entry

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/schema"
)

// fetchEndpoints fetches a snapshot of the registry as of position at or later from a VM that has
// one. The announcer, which announced that position, is one of the candidates.
func (p *peers) fetchEndpoints(ctx context.Context, at Position, announcer string) ([]Record, Position, error) {
	err := error(&NoSourceError{At: at})
	for _, address := range p.registrySources(at, announcer) {
		records, next, ferr := p.fetchEndpointsFrom(ctx, address, &schema.EndpointsRequest{AcceptsPacked: true})
		if ferr == nil && !next.Before(at) {
			return records, next, nil
		}
		if ferr != nil {
			err = ferr
		}
	}
	return nil, Position{}, err
}

// fetchEndpointsFrom fetches a snapshot of the registry from a VM.
func (p *peers) fetchEndpointsFrom(ctx context.Context, address string, r *schema.EndpointsRequest) ([]Record, Position, error) {
	reply, err := p.newRelayClient(address, millis(r.WaitMs)).Endpoints(ctx, r)
	if err != nil {
		return nil, Position{}, err
	}
	if !reply.Known {
		return nil, Position{}, &NoSourceError{Address: address}
	}
	if err := unpackSnapshot(reply); err != nil {
		return nil, Position{}, err
	}
	at := Position{Era: reply.Era, Offset: reply.Next}
	if len(reply.Packed) > 0 {
		p.d.registry.keepPacked(reply.Packed, at)
	}
	return recordsFromRelay(reply.Records, reply.Era), at, nil
}

// registrySources returns, in random order, up to maxSources VMs of this VM's failure domain whose
// registry copy is at least at the given position. The announcer is among the candidates.
func (p *peers) registrySources(at Position, announcer string) []string {
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []string{announcer}
	for a, pe := range p.byAddress {
		if a != announcer && pe.domain == p.d.settings.Vm.FailureDomain && pe.isAlive(now) && !pe.registryPosition.Before(at) {
			list = append(list, a)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(maxSources, len(list))]
}

// followEndpoints keeps the endpoints up to date. One VM of each failure domain reads the registry
// and relays changes; the others read it only if relays stop or if they missed one.
func (d *Daemon) followEndpoints(ctx context.Context) error {
	c := feedCursor{store: d.opts.Store, feed: FeedEndpoints}
	var health storeHealth
	var delay backoff
	var relayedAt time.Duration
	read := time.NewTimer(0)
	defer read.Stop()
	if d.bootstrapEndpoints(ctx, &c) {
		read.Reset(d.silenceBeforeRead())
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-d.peers.relays:
			relayedAt = d.now()
			if !d.applyRelay(ctx, &c, r) {
				read.Reset(0)
			} else if !d.peers.isStoreReader() {
				read.Reset(d.silenceBeforeRead())
			}
			continue
		case <-read.C:
		}
		before := c.next
		if relayedAt == 0 || d.now()-relayedAt > d.relaySilence() {
			delay.begin()
		} else {
			// Relays bring what is missed, and wait while a call is held up.
			delay.begun = time.Time{}
		}
		begun := d.standstill.elapsed()
		got, err := c.read(ctx, 0)
		d.recordStoreResult(&health, "endpoints", err)
		if err != nil {
			d.registryLostAt.Store(int64(d.now()))
			d.registry.invalidate()
			d.sched.updateMembers(func(_ time.Duration, m *members.Set) { m.MarkRegistryUnavailable() })
			read.Reset(jitter(delay.next(d.maxRetryPause())))
			continue
		}
		delay.reset()
		if d.registryLostAt.Swap(0) > 0 {
			d.registryRegainedAt.Store(int64(d.now()))
		}
		if got.full {
			d.log.Info().Uint64("era", c.next.Era).Uint64("offset", c.next.Offset).Bool("copied", got.restored).
				Int("endpoints", len(got.records)).Msg("registry_read")
		}
		parts := d.applyReadResult(got, before, c.next)
		d.confirmRegistry(begun)
		if d.peers.isStoreReader() {
			d.peers.relayParts(parts)
			read.Reset(jitter(d.endpointsInterval()))
		} else {
			read.Reset(d.silenceBeforeRead())
		}
	}
}

// applyReadResult applies what was read between two positions of the registry and returns the
// relays to send.
func (d *Daemon) applyReadResult(got readResult, before, next Position) []*schema.EndpointRelay {
	d.observeEra(next.Era)
	var restored *schema.EndpointRelay
	if got.restored {
		restored = d.registry.restoreDiff(got.records, before, next)
	}
	changed := d.applyEndpoints(got, next)
	switch {
	case restored != nil:
		return []*schema.EndpointRelay{restored}
	case got.full:
		before = next
	}
	return splitParts(before.Offset, next, got.records, changed)
}

// readFailureWindow is how long after a failed read of the registry a VM leaves the role of its
// failure domain's reader to others.
const readFailureWindow = 5 * time.Second

// confirmRegistry records that this VM's copy of the registry, to which what was read is applied, was up to date at a
// time: that at which the read began, since an answer may wait for a process that stands still.
func (d *Daemon) confirmRegistry(at time.Duration) { d.registryConfirmedAt.Store(int64(at)) }

// confirmRelayed records that a relay has brought this VM's copy of the registry up to date, unless the relay may be old.
func (d *Daemon) confirmRelayed() {
	if d.standstill.justEnded() {
		d.count("relays_doubted")
		return
	}
	d.confirmRegistry(d.standstill.elapsed())
}

// registryConfirmed reports whether this VM's copy of the registry was up to date a moment ago, by a clock that runs on
// while the machine is suspended.
func (d *Daemon) registryConfirmed() bool {
	at := time.Duration(d.registryConfirmedAt.Load())
	return at > 0 && d.standstill.elapsed()-at < d.registryConfirmTimeout()
}

// registryReadFailed reports whether this VM failed to read the registry within readFailureWindow.
func (d *Daemon) registryReadFailed(now time.Duration) bool {
	at := time.Duration(d.registryLostAt.Load())
	return at > 0 && now-at < readFailureWindow
}

// applyRelay applies changes relayed by the reader. If this VM missed some it reads the rest from
// the store, which is little; if the store is unavailable it fetches a snapshot from a VM that
// missed none. It returns false if the store should be read.
func (d *Daemon) applyRelay(ctx context.Context, c *feedCursor, r relay) bool {
	next := Position{Era: r.Era, Offset: r.Next}
	switch {
	case r.Era < c.next.Era:
		// The sender has not yet seen that the store was restored from a backup.
		return true
	case c.known && r.Era == c.next.Era && r.From <= c.next.Offset:
		// A difference to the registry before the restore lists what this VM may have seen leave; it
		// holds nothing that this VM has not read itself in the new era.
		if r.Before == nil && !next.Before(c.next) {
			c.next = next
			d.applyEndpoints(readResult{records: recordsFromRelay(r.Records, r.Era)}, next)
			d.confirmRelayed()
		}
		return true
	case c.known && r.Before != nil && c.next == (Position{Era: r.Before.Era, Offset: r.Before.Offset}):
		c.next = next
		d.observeEra(next.Era)
		d.applyEndpoints(readResult{records: recordsFromRelay(r.Records, r.Era), restored: true}, next)
		d.log.Info().Uint64("era", next.Era).Uint64("offset", next.Offset).Int("changes", len(r.Records)).Msg("registry_copy_told")
		return true
	}
	if !d.registryReadFailed(d.now()) {
		return false
	}
	// A sender that lags has a copy in which endpoints are listed that this VM has seen leave.
	if next.Before(c.next) {
		next = c.next
	}
	records, fetched, err := d.peers.fetchEndpoints(ctx, next, r.from)
	if err != nil {
		d.log.Info().Str("from", r.from).Uint64("era", next.Era).Uint64("offset", next.Offset).Err(err).Msg("registry_fetch_failed")
		return c.known
	}
	d.applyFetched(c, records, fetched)
	d.log.Info().Uint64("era", fetched.Era).Uint64("offset", fetched.Offset).Int("endpoints", len(records)).Msg("registry_fetched")
	return true
}

// applyFetched applies a snapshot of the registry that another VM sent.
func (d *Daemon) applyFetched(c *feedCursor, records []Record, at Position) {
	restored := c.readBefore && at.Era > c.next.Era
	c.next, c.known, c.readBefore = at, true, true
	d.observeEra(at.Era)
	d.applyEndpoints(readResult{records: records, full: true, restored: restored}, at)
}

// recordsFromRelay decodes relayed records; their positions are of the given era.
func recordsFromRelay(list []*schema.StoreRecord, era uint64) []Record {
	records := make([]Record, 0, len(list))
	for _, r := range list {
		rec := Record{Key: r.Key, Value: r.Value}
		if r.Written > 0 {
			rec.Position, rec.HasPosition = Position{Era: era, Offset: r.Written - 1}, true
		}
		records = append(records, rec)
	}
	return records
}

// wireOffset returns the record's offset plus one, or 0 if its position is unknown or of another
// era.
func (r Record) wireOffset(era uint64) uint64 {
	if !r.HasPosition || r.Position.Era != era {
		return 0
	}
	return r.Position.Offset + 1
}

// applyEndpoints applies what was read of the registry and returns the indexes of the records that
// changed something.
func (d *Daemon) applyEndpoints(got readResult, next Position) (changed []int) {
	before, unreadFor := d.sched.membersPosition(), d.standstill.elapsed()-time.Duration(d.registryConfirmedAt.Load())
	d.departures.recordGap()
	d.registry.apply(got.records, got.full, next)
	changes := make([]members.Change, 0, len(got.records))
	for _, r := range got.records {
		c, err := d.codec.DecodeEndpoint(r)
		d.logUnreadableEntry(r.Key, err)
		c.Written = r.wireOffset(next.Era)
		changes = append(changes, c)
	}
	var logged []members.Change
	var missing int
	var gap members.Gap
	d.sched.updateMembers(func(now time.Duration, m *members.Set) {
		m.MarkRegistryAvailable(now, before.Offset)
		if got.restored {
			m.MarkRegistryRestored(now)
		}
		gap = m.JudgeGap(now, changes, got.full)
		if got.full {
			m.Replace(now, changes)
			missing = m.Missing()
			return
		}
		apply := m.Apply
		if got.restored {
			apply = m.ApplyRestored
		}
		for i, c := range changes {
			before := m.Version()
			apply(now, c)
			if m.Version() != before || c.Endpoint == nil {
				changed, logged = append(changed, i), append(logged, c)
			}
		}
		m.Expire(now)
		missing = m.Missing()
	})
	d.sched.setMembersPosition(next)
	d.logRegistryGap(gap, unreadFor)
	if missing > 0 {
		d.log.Info().Int("endpoints", missing).Msg("endpoints_missing")
		d.departures.notify()
	}
	d.logEndpointChanges(logged)
	if !d.endpointsLoaded.Swap(true) {
		d.poison.RecordListedAtStart(changes)
	} else if !got.full && !got.restored {
		d.poison.RecordHeartbeats(changes)
	}
	d.markInitialised()
	return changed
}

// logRegistryGap logs what changed in the registry while this VM could not read it.
func (d *Daemon) logRegistryGap(g members.Gap, unreadFor time.Duration) {
	if g.Rewritten+g.Removed > 0 {
		d.log.Info().Dur("unread_for", unreadFor).Int("kept", g.Kept).Int("rewritten", g.Rewritten).Int("removed", g.Removed).Msg("registry_gap")
	}
}

// maxUnreadable limits the keys whose decoding error is remembered. Each error is logged once and
// not at every read.
const maxUnreadable = 256

// logUnreadableEntry logs a decoding error of an entry once; a nil error clears it.
func (d *Daemon) logUnreadableEntry(key string, err error) {
	if err == nil {
		delete(d.invalidEntries, key)
		return
	}
	d.count("entries_unreadable")
	if d.invalidEntries[key] == err.Error() || len(d.invalidEntries) >= maxUnreadable {
		return
	}
	d.invalidEntries[key] = err.Error()
	d.log.Warn().Str("endpoint", key).Err(err).Msg("endpoint_unreadable")
}

// Up to maxLoggedSingly changes in one batch are logged one per line; a larger batch gets one line
// that names up to maxLoggedIDs endpoints. At the start of a deployment each VM learns of each
// endpoint, which would be a line for every pair.
const (
	maxLoggedSingly = 4
	maxLoggedIDs    = 64
)

// logDepartures logs the departures that no record of the registry told, up to maxLoggedIDs of them.
func (d *Daemon) logDepartures(list []members.Departure) {
	for _, dep := range list[:min(len(list), maxLoggedIDs)] {
		if dep.Cause != members.Listed {
			d.log.Info().Str("endpoint", dep.Key).Stringer("cause", dep.Cause).Msg("endpoint_departed")
		}
	}
}

func (d *Daemon) logEndpointChanges(changes []members.Change) {
	if len(changes) > maxLoggedSingly {
		d.logEndpointSummary(changes)
		return
	}
	for _, c := range changes {
		ev := d.log.Info().Str("endpoint", c.ID).Bool("removed", c.Endpoint == nil)
		if c.Endpoint != nil {
			ev = ev.Int64("born", c.Endpoint.Born).Str("address", c.Endpoint.Address).Bool("leaving", c.Endpoint.Leaving)
		}
		ev.Msg("endpoint_changed")
	}
}

func (d *Daemon) logEndpointSummary(changes []members.Change) {
	var listed, leaving, removed []string
	for _, c := range changes[:min(len(changes), maxLoggedIDs)] {
		switch {
		case c.Endpoint == nil:
			removed = append(removed, c.ID)
		case c.Endpoint.Leaving:
			leaving = append(leaving, c.ID)
		default:
			listed = append(listed, c.ID)
		}
	}
	d.log.Info().Int("changes", len(changes)).Str("listed", strings.Join(listed, ",")).
		Str("leaving", strings.Join(leaving, ",")).Str("removed", strings.Join(removed, ",")).Msg("endpoints_changed")
}
