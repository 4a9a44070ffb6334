package entry

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/schema"
)

// registryCache holds this VM's copy of the endpoint registry. It serves snapshots to VMs that the
// store refuses: they have no other source for changes that they missed.
type registryCache struct {
	mu      sync.Mutex
	records map[string]Record
	// next is the position to read from next; complete reports whether the records are the whole
	// registry.
	next     Position
	complete bool
	// transfers counts the snapshots being sent to other VMs.
	transfers int
}

const (
	// maxTransfers limits how many VMs fetch a snapshot from one VM at the same time, since links
	// are narrow; the others ask another VM.
	maxTransfers = 2
	// maxSources is the number of VMs asked before falling back to the store.
	maxSources = 3
)

// apply merges records into the cache; full means that they replace its content.
func (g *registryCache) apply(records []Record, full bool, next Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if full {
		g.records = make(map[string]Record, len(records))
		g.complete = true
	}
	if !g.complete {
		return
	}
	g.next = next
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(g.records, r.Key)
			continue
		}
		g.records[r.Key] = r
	}
}

// invalidate marks the cache as incomplete: changes may have been missed.
func (g *registryCache) invalidate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.complete = false
}

// position returns the position up to which the cache is complete, zero if it is incomplete.
func (g *registryCache) position() Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.complete {
		return Position{}
	}
	return g.next
}

// acquireSnapshot returns a snapshot of the registry and counts a transfer. It returns nil if the
// cache is incomplete or maxTransfers are under way.
func (g *registryCache) acquireSnapshot() *schema.EndpointsReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.complete || g.transfers >= maxTransfers {
		return nil
	}
	g.transfers++
	reply := &schema.EndpointsReply{Known: true, Next: g.next.Offset, Era: g.next.Era}
	for _, r := range g.records {
		reply.Records = append(reply.Records, &schema.StoreRecord{Key: r.Key, Value: r.Value, Written: r.wireOffset(g.next.Era)})
	}
	return reply
}

func (g *registryCache) releaseSnapshot() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.transfers--
}

// Endpoints implements schema.Relay.
func (s *relayServer) Endpoints(_ context.Context, _ *schema.EndpointsRequest) (*schema.EndpointsReply, error) {
	reply := s.d.registry.acquireSnapshot()
	if reply == nil {
		return &schema.EndpointsReply{}, nil
	}
	// The response is written after this method returns; transferTime stands for the duration of
	// that write.
	time.AfterFunc(transferTime, s.d.registry.releaseSnapshot)
	return reply, nil
}

// transferTime is how long one snapshot is assumed to be in transfer.
const transferTime = 50 * time.Millisecond

// fetchEndpoints fetches a snapshot of the registry as of position at or later from a VM that has
// one. The announcer, which announced that position, is one of the candidates.
func (p *peers) fetchEndpoints(ctx context.Context, at Position, announcer string) ([]Record, Position, error) {
	err := error(&NoSourceError{At: at})
	for _, address := range p.registrySources(at, announcer) {
		records, next, ferr := p.fetchEndpointsFrom(ctx, address)
		if ferr == nil && !next.Before(at) {
			return records, next, nil
		}
		if ferr != nil {
			err = ferr
		}
	}
	return nil, Position{}, err
}

func (p *peers) fetchEndpointsFrom(ctx context.Context, address string) ([]Record, Position, error) {
	ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	reply, err := schema.NewRelayProtobufClient("http://"+address, p.client).Endpoints(ctx, &schema.EndpointsRequest{})
	if err != nil {
		return nil, Position{}, err
	}
	if !reply.Known {
		return nil, Position{}, &NoSourceError{Address: address}
	}
	return recordsFromRelay(reply.Records, reply.Era), Position{Era: reply.Era, Offset: reply.Next}, nil
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
	read := time.NewTimer(0)
	defer read.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-d.peers.relays:
			if !d.applyRelay(ctx, &c, r) {
				read.Reset(0)
			} else if !d.peers.isStoreReader() {
				read.Reset(jitter(d.relaySilence()))
			}
			continue
		case <-read.C:
		}
		before := c.next
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
		d.registryLostAt.Store(0)
		if got.full {
			d.log.Info().Uint64("era", c.next.Era).Uint64("offset", c.next.Offset).Bool("copied", got.restored).
				Int("endpoints", len(got.records)).Msg("registry_read")
		}
		parts := d.applyReadResult(got, before, c.next)
		if d.peers.isStoreReader() {
			d.peers.relayParts(parts)
			read.Reset(jitter(d.endpointsInterval()))
		} else {
			read.Reset(jitter(d.relaySilence()))
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

// restoreDiff returns the difference between the cached registry and the one read after the store
// was restored from a backup. It is for VMs with the same cached position: without it all of them
// would read the whole registry in the same second. A difference too large for one note is replaced
// by the position alone, and the receivers read the store.
func (g *registryCache) restoreDiff(records []Record, before, next Position) *schema.EndpointRelay {
	g.mu.Lock()
	defer g.mu.Unlock()
	relay := &schema.EndpointRelay{From: next.Offset, Next: next.Offset, Era: next.Era}
	if !g.complete || g.next != before {
		return relay
	}
	missing := maps.Clone(g.records)
	size := 0
	for _, r := range records {
		if known, ok := missing[r.Key]; !ok || !bytes.Equal(known.Value, r.Value) {
			relay.Records = append(relay.Records, &schema.StoreRecord{Key: r.Key, Value: r.Value, Written: r.wireOffset(next.Era)})
			size += len(r.Key) + len(r.Value)
		}
		delete(missing, r.Key)
	}
	for key := range missing {
		relay.Records = append(relay.Records, &schema.StoreRecord{Key: key})
		size += len(key)
	}
	if size > relayPartBytes {
		relay.Records = nil
		return relay
	}
	relay.Before = &schema.StorePosition{Era: before.Era, Offset: before.Offset}
	return relay
}

// readFailureWindow is how long after a failed read of the registry a VM leaves the role of its
// failure domain's reader to others.
const readFailureWindow = 5 * time.Second

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
	records, fetched, err := d.peers.fetchEndpoints(ctx, next, r.from)
	if err != nil {
		d.log.Info().Str("from", r.from).Uint64("era", next.Era).Uint64("offset", r.Next).Err(err).Msg("registry_fetch_failed")
		return c.known
	}
	restored := c.readBefore && fetched.Era > c.next.Era
	c.next, c.known, c.readBefore = fetched, true, true
	d.observeEra(fetched.Era)
	d.applyEndpoints(readResult{records: records, full: true, restored: restored}, fetched)
	d.log.Info().Uint64("era", fetched.Era).Uint64("offset", fetched.Offset).Int("endpoints", len(records)).Msg("registry_fetched")
	return true
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
	d.registry.apply(got.records, got.full, next)
	changes := make([]members.Change, 0, len(got.records))
	for _, r := range got.records {
		c, err := d.codec.DecodeEndpoint(r)
		d.logUnreadableEntry(r.Key, err)
		c.Written = r.wireOffset(next.Era)
		changes = append(changes, c)
	}
	var logged []members.Change
	d.sched.updateMembers(func(now time.Duration, m *members.Set) {
		m.MarkRegistryAvailable(now)
		if got.restored {
			m.MarkRegistryRestored(now)
		}
		if got.full {
			m.Replace(now, changes)
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
	})
	d.logEndpointChanges(logged)
	if !d.endpointsLoaded.Swap(true) {
		d.suspects.setUnseen(changes)
	}
	d.markInitialised()
	return changed
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
