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

// registry keeps the records of the registry of endpoints as this VM knows them, for
// VMs that the store turns away: they have no other source for what they have missed.
type registry struct {
	mu      sync.Mutex
	records map[string]Record
	// next is where to read on; known says that the records are whole.
	next  Position
	known bool
	// serving counts VMs that are being served.
	serving int
}

const (
	// maxServing bounds the VMs that get the whole registry from one at the same time,
	// since links are narrow; others ask elsewhere.
	maxServing = 2
	// sources is how many VMs are asked before the store is.
	sources = 3
)

// take takes in records; whole says that they are all.
func (g *registry) take(records []Record, whole bool, next Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if whole {
		g.records = make(map[string]Record, len(records))
		g.known = true
	}
	if !g.known {
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

// lose says that records may have been missed.
func (g *registry) lose() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known = false
}

// position is up to where this VM knows the registry; zero if it does not.
func (g *registry) position() Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.known {
		return Position{}
	}
	return g.next
}

// reply is the whole registry, nil if it is not known or too many are being served.
func (g *registry) reply() *schema.EndpointsReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.known || g.serving >= maxServing {
		return nil
	}
	g.serving++
	reply := &schema.EndpointsReply{Known: true, Next: g.next.Offset, Era: g.next.Era}
	for _, r := range g.records {
		reply.Records = append(reply.Records, &schema.StoreRecord{Key: r.Key, Value: r.Value, Written: r.writtenIn(g.next.Era)})
	}
	return reply
}

func (g *registry) served() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serving--
}

// Endpoints implements schema.Relay.
func (s *relayServer) Endpoints(_ context.Context, _ *schema.EndpointsRequest) (*schema.EndpointsReply, error) {
	reply := s.d.registry.reply()
	if reply == nil {
		return &schema.EndpointsReply{}, nil
	}
	// The answer is written after this returns; the time of a write stands for it.
	time.AfterFunc(servingTime, s.d.registry.served)
	return reply, nil
}

// servingTime is how long one answer is taken to be on its way.
const servingTime = 50 * time.Millisecond

// fetchEndpoints gets the whole registry, as of a position or later, from a VM that
// knows it, the one that spoke of the position among them.
func (p *peers) fetchEndpoints(ctx context.Context, at Position, speaker string) ([]Record, Position, error) {
	err := error(&NoSourceError{At: at})
	for _, address := range p.sourcesOf(at, speaker) {
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
	return relayed(reply.Records, reply.Era), Position{Era: reply.Era, Offset: reply.Next}, nil
}

// sourcesOf are VMs of the own failure domain that know the registry up to a position,
// in any order.
func (p *peers) sourcesOf(at Position, speaker string) []string {
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []string{speaker}
	for a, pe := range p.addrs {
		if a != speaker && pe.domain == p.d.settings.Vm.FailureDomain && pe.isAlive(now) && !pe.registry.Before(at) {
			list = append(list, a)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(sources, len(list))]
}

// followEndpoints keeps the known endpoints up to date. One VM of each failure
// domain reads the registry and passes on what changed; the others read only when
// they hear nothing or have missed something.
func (d *Daemon) followEndpoints(ctx context.Context) error {
	c := cursor{store: d.opts.Store, feed: FeedEndpoints}
	var dep dependency
	var again retry
	read := time.NewTimer(0)
	defer read.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-d.peers.relays:
			if !d.takeRelay(ctx, &c, r) {
				read.Reset(0)
			} else if !d.peers.isStoreReader() {
				read.Reset(spread(d.relaySilence()))
			}
			continue
		case <-read.C:
		}
		before := c.next
		got, err := c.read(ctx, 0)
		d.noteStore(&dep, "endpoints", err)
		if err != nil {
			d.registryLostAt.Store(int64(d.now()))
			d.registry.lose()
			d.sched.updateMembers(func(_ time.Duration, m *members.Set) { m.Away() })
			read.Reset(spread(again.failed(d.mostRetry())))
			continue
		}
		again.succeeded()
		d.registryLostAt.Store(0)
		if got.whole {
			d.log.Info().Uint64("era", c.next.Era).Uint64("offset", c.next.Offset).Bool("copied", got.copied).
				Int("endpoints", len(got.records)).Msg("registry_read")
		}
		parts := d.takeReading(got, before, c.next)
		if d.peers.isStoreReader() {
			d.peers.relayParts(parts)
			read.Reset(spread(d.endpointsEvery()))
		} else {
			read.Reset(spread(d.relaySilence()))
		}
	}
}

// takeReading takes in what was read of the registry from one position to another, and returns
// what is to be passed on.
func (d *Daemon) takeReading(got reading, before, next Position) []*schema.EndpointRelay {
	d.noteEra(next.Era)
	var copied *schema.EndpointRelay
	if got.copied {
		copied = d.registry.difference(got.records, before, next)
	}
	changed := d.takeEndpoints(got, next)
	switch {
	case copied != nil:
		return []*schema.EndpointRelay{copied}
	case got.whole:
		before = next
	}
	return splitParts(before.Offset, next, got.records, changed)
}

// difference is what a registry that came back from a copy says else than what was known, for the
// VMs that knew the same: the whole of it would be read by all of them in the same second. If it is
// too long for a note they are told the position alone, and look for themselves.
func (g *registry) difference(records []Record, before, next Position) *schema.EndpointRelay {
	g.mu.Lock()
	defer g.mu.Unlock()
	part := &schema.EndpointRelay{From: next.Offset, Next: next.Offset, Era: next.Era}
	if !g.known || g.next != before {
		return part
	}
	missing := maps.Clone(g.records)
	size := 0
	for _, r := range records {
		if known, ok := missing[r.Key]; !ok || !bytes.Equal(known.Value, r.Value) {
			part.Records = append(part.Records, &schema.StoreRecord{Key: r.Key, Value: r.Value, Written: r.writtenIn(next.Era)})
			size += len(r.Key) + len(r.Value)
		}
		delete(missing, r.Key)
	}
	for key := range missing {
		part.Records = append(part.Records, &schema.StoreRecord{Key: key})
		size += len(key)
	}
	if size > relayPartBytes {
		part.Records = nil
		return part
	}
	part.Before = &schema.StorePosition{Era: before.Era, Offset: before.Offset}
	return part
}

// storeLostFor is how long a VM that could not read the registry leaves the reading for
// its failure domain to others.
const storeLostFor = 5 * time.Second

// registryLost says whether this VM could not read the registry lately.
func (d *Daemon) registryLost(now time.Duration) bool {
	at := time.Duration(d.registryLostAt.Load())
	return at > 0 && now-at < storeLostFor
}

// takeRelay takes in what the reader passed on. If this VM has missed something it reads
// on from the store, which is little; if it cannot, it gets everything from a VM that has
// not missed it. It reports false if the store should be read.
func (d *Daemon) takeRelay(ctx context.Context, c *cursor, r relay) bool {
	next := Position{Era: r.Era, Offset: r.Next}
	switch {
	case r.Era < c.next.Era:
		// The sender has not heard yet that the store came back from a copy.
		return true
	case c.known && r.Era == c.next.Era && r.From <= c.next.Offset:
		if !next.Before(c.next) {
			c.next = next
			d.takeEndpoints(reading{records: relayed(r.Records, r.Era)}, next)
		}
		return true
	case c.known && r.Before != nil && c.next == (Position{Era: r.Before.Era, Offset: r.Before.Offset}):
		c.next = next
		d.noteEra(next.Era)
		d.takeEndpoints(reading{records: relayed(r.Records, r.Era), copied: true}, next)
		d.log.Info().Uint64("era", next.Era).Uint64("offset", next.Offset).Int("changes", len(r.Records)).Msg("registry_copy_told")
		return true
	}
	if !d.registryLost(d.now()) {
		return false
	}
	records, fetched, err := d.peers.fetchEndpoints(ctx, next, r.from)
	if err != nil {
		d.log.Info().Str("from", r.from).Uint64("era", next.Era).Uint64("offset", r.Next).Err(err).Msg("registry_fetch_failed")
		return c.known
	}
	copied := c.began && fetched.Era > c.next.Era
	c.next, c.known, c.began = fetched, true, true
	d.noteEra(fetched.Era)
	d.takeEndpoints(reading{records: records, whole: true, copied: copied}, fetched)
	d.log.Info().Uint64("era", fetched.Era).Uint64("offset", fetched.Offset).Int("endpoints", len(records)).Msg("registry_fetched")
	return true
}

// relayed are records that another VM passed on, as of an era.
func relayed(list []*schema.StoreRecord, era uint64) []Record {
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

// writtenIn is one more than the record's offset, if it is known to lie in an era.
func (r Record) writtenIn(era uint64) uint64 {
	if !r.HasPosition || r.Position.Era != era {
		return 0
	}
	return r.Position.Offset + 1
}

// takeEndpoints takes in what was read of the registry, and returns which of the records changed
// something, by index.
func (d *Daemon) takeEndpoints(got reading, next Position) (changed []int) {
	d.registry.take(got.records, got.whole, next)
	changes := make([]members.Change, 0, len(got.records))
	for _, r := range got.records {
		c, err := d.codec.DecodeEndpoint(r)
		d.logUnreadable(r.Key, err)
		c.Written = r.writtenIn(next.Era)
		changes = append(changes, c)
	}
	var told []members.Change
	d.sched.updateMembers(func(now time.Duration, m *members.Set) {
		m.Back(now)
		if got.copied {
			m.Restore(now)
		}
		if got.whole {
			m.Replace(now, changes)
			return
		}
		apply := m.Apply
		if got.copied {
			apply = m.ApplyCopied
		}
		for i, c := range changes {
			before := m.Version()
			apply(now, c)
			if m.Version() != before || c.Endpoint == nil {
				changed, told = append(changed, i), append(told, c)
			}
		}
		m.Expire(now)
	})
	d.logEndpoints(told)
	d.endpointsLoaded.Store(true)
	d.markInitialised()
	return changed
}

// mostUnreadable bounds the keys whose fault is remembered, so that each is logged once
// and not each time it is read.
const mostUnreadable = 256

// logUnreadable says once what is wrong with an entry.
func (d *Daemon) logUnreadable(key string, err error) {
	if err == nil {
		delete(d.invalidEntries, key)
		return
	}
	d.count("entries_unreadable")
	if d.invalidEntries[key] == err.Error() || len(d.invalidEntries) >= mostUnreadable {
		return
	}
	d.invalidEntries[key] = err.Error()
	d.log.Warn().Str("endpoint", key).Err(err).Msg("endpoint_unreadable")
}

// Up to eachLogged changes that come together are logged by line; of more, one line names
// up to mostNamed endpoints. When all VMs and endpoints start, each VM hears of each
// endpoint, a line for every pair.
const (
	eachLogged = 4
	mostNamed  = 64
)

func (d *Daemon) logEndpoints(changes []members.Change) {
	if len(changes) > eachLogged {
		d.logManyEndpoints(changes)
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

func (d *Daemon) logManyEndpoints(changes []members.Change) {
	var listed, leaving, removed []string
	for _, c := range changes[:min(len(changes), mostNamed)] {
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
