package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/schema"
)

const (
	// configWait is how long a read of the configuration waits for a change. A
	// connection that fell silent is noticed answerMargin after it.
	configWait = 2 * time.Second
	// followCheck is how often a VM looks whether others still read the store.
	followCheck = 300 * time.Millisecond
	// relaySilence is how long a VM waits for what others read of the registry
	// before it reads itself. With the time of a call this stays within the time in
	// which a leaving endpoint must get nothing more, which is two seconds or more.
	relaySilence = 1200 * time.Millisecond
	// endpointsEvery is how often the registry is read. Endpoints write there each
	// second or so, so a waiting read would return at once each time.
	endpointsEvery = 700 * time.Millisecond
	// retryEvery is the pause after a failed call to the store, with spread.
	retryEvery = 300 * time.Millisecond
	// announceEvery is how often the VM that reads for its failure domain reads the
	// list of VMs, listEvery how often the others do, who hear of new VMs by notes.
	announceEvery = 5 * time.Second
	listEvery     = time.Minute
)

// spread is d, more or less by up to a quarter.
func spread(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }

// pause waits for d, with a spread of half of it, so that VMs do not call the
// store at the same moments.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(spread(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// cursor is a place in a feed of the store.
type cursor struct {
	store Store
	feed  Feed
	next  uint64
	known bool
}

// read returns records since the last read; whole says that they are all that
// the feed holds. After a failure everything is read again, since an outage may
// have hidden what was removed.
func (c *cursor) read(ctx context.Context, wait time.Duration) (records []Record, whole bool, err error) {
	if !c.known {
		records, next, err := c.store.Newest(ctx, c.feed)
		if err != nil {
			return nil, false, err
		}
		c.next, c.known = next, true
		return records, true, nil
	}
	records, next, err := c.store.Read(ctx, c.feed, c.next, wait)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		c.known = false
		return c.read(ctx, wait)
	}
	if err != nil {
		c.known = false
		return nil, false, err
	}
	c.next = next
	return records, false, nil
}

// dependency logs when the store is lost and regained.
type dependency struct {
	lost  bool
	since time.Time
}

func (d *Daemon) noteStore(dep *dependency, feed string, err error) {
	if err == nil && dep.lost {
		dep.lost = false
		d.log.Info().Str("feed", feed).Dur("away", time.Since(dep.since)).Msg("store_regained")
	}
	if err != nil && !dep.lost {
		dep.lost, dep.since = true, time.Now()
		d.log.Warn().Str("feed", feed).Err(err).Msg("store_lost")
	}
	if err != nil {
		d.count("store_errors")
	}
}

// followConfig keeps the configuration in force up to date. One VM of each
// failure domain reads the store; the others hear of a new version from any VM and
// fetch it there. A VM that hears of no reader reads for itself.
func (d *Daemon) followConfig(ctx context.Context) error {
	c := cursor{store: d.opts.Store, feed: FeedConfig}
	var dep dependency
	for ctx.Err() == nil {
		if d.table.Load() != nil && !d.peers.reads() && d.peers.configFollowed() {
			c.known = false
			d.peers.setFollows(false)
			pause(ctx, followCheck)
			continue
		}
		records, _, err := c.read(ctx, configWait)
		d.noteStore(&dep, "config", err)
		d.peers.setFollows(err == nil)
		if err != nil {
			pause(ctx, retryEvery)
			continue
		}
		for _, r := range records {
			d.takeConfig(r)
		}
		if d.table.Load() == nil {
			pause(ctx, retryEvery)
		}
	}
	return nil
}

// fetchConfigs takes newer versions from VMs that were heard to serve by them.
func (d *Daemon) fetchConfigs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-d.peers.hints:
			if t := d.table.Load(); t != nil && t.Document.Version >= h.version {
				continue
			}
			r, err := d.peers.fetchConfig(ctx, h)
			if err != nil {
				d.log.Warn().Str("from", h.address).Uint64("version", h.version).Err(err).Msg("config_fetch_failed")
				continue
			}
			if r != nil {
				d.takeConfig(*r)
			}
		}
	}
}

// takeConfig puts a document in force if it is newer than the one in force.
func (d *Daemon) takeConfig(r Record) {
	doc, err := d.codec.Config(r)
	if err != nil {
		d.log.Error().Err(err).Msg("config_unreadable")
		return
	}
	if doc == nil {
		return
	}
	d.takeMu.Lock()
	defer d.takeMu.Unlock()
	if t := d.table.Load(); t != nil && doc.Version <= t.Document.Version {
		return
	}
	t := routing.NewTable(doc)
	d.configRecord.Store(&r)
	d.shares.setTable(t)
	d.sched.setTable(t)
	d.idle.set(doc.Limits.IdleTimeout)
	d.table.Store(t)
	d.log.Info().Uint64("version", doc.Version).Int("routes", len(doc.Routes)).
		Int("organisations", len(doc.Organisations)).Msg("config_in_force")
}

// followEndpoints keeps the known endpoints up to date. One VM of each failure
// domain reads the registry and passes on what changed; the others read only when
// they hear nothing or have missed something.
func (d *Daemon) followEndpoints(ctx context.Context) error {
	c := cursor{store: d.opts.Store, feed: FeedEndpoints}
	var dep dependency
	read := time.NewTimer(0)
	defer read.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-d.peers.relays:
			if !d.takeRelay(ctx, &c, r) {
				read.Reset(0)
			} else if !d.peers.reads() {
				read.Reset(spread(relaySilence))
			}
			continue
		case <-read.C:
		}
		if !c.known && d.awaitsRelay() {
			read.Reset(noteEvery)
			continue
		}
		from := c.next
		records, whole, err := c.read(ctx, 0)
		d.noteStore(&dep, "endpoints", err)
		if err != nil {
			d.registryLostAt.Store(int64(d.now()))
			d.registry.lose()
			d.sched.update(func(_ time.Duration, m *members.Set) { m.Away() })
			read.Reset(spread(retryEvery))
			continue
		}
		d.registryLostAt.Store(0)
		if whole {
			from = c.next
			d.log.Info().Uint64("offset", c.next).Int("endpoints", len(records)).Msg("registry_read")
		}
		changed := d.takeEndpoints(records, whole, c.next)
		if d.peers.reads() {
			d.peers.relay(from, c.next, changed)
			read.Reset(spread(endpointsEvery))
		} else {
			read.Reset(spread(relaySilence))
		}
	}
}

// storeLostFor is how long a VM that could not read the registry leaves the reading for
// its failure domain to others.
const storeLostFor = 5 * time.Second

// registryLost says whether this VM could not read the registry lately.
func (d *Daemon) registryLost(now time.Duration) bool {
	at := time.Duration(d.registryLostAt.Load())
	return at > 0 && now-at < storeLostFor
}

const (
	// listWait is how long a starting VM waits for the list of VMs, and for their notes.
	listWait = 300 * time.Millisecond
	// relayWait is how long it leaves the first reading to the reader of its failure
	// domain, which takes as long as one VM needs for the whole registry.
	relayWait = 1500 * time.Millisecond
	// manyVMs is from how many VMs on it does so: fewer cost the store little, and
	// waiting costs callers.
	manyVMs = 24
)

// awaitsRelay says whether a starting VM of a large deployment leaves the reading of
// the registry to others. When all VMs were killed at once, 300 of them took 8.5 s until
// each had read 3,000 endpoints from the store.
func (d *Daemon) awaitsRelay() bool {
	up := d.now()
	n, known := d.peers.count()
	switch {
	case known && n <= manyVMs || up > relayWait:
		return false
	case up < listWait:
		return true
	}
	return !d.peers.reads()
}

// takeRelay takes in what the reader passed on. If this VM has missed something it gets
// everything from a VM that has not; it reports false if there is none.
func (d *Daemon) takeRelay(ctx context.Context, c *cursor, r relay) bool {
	if c.known && r.From <= c.next {
		if r.Next >= c.next {
			c.next = r.Next
			d.takeEndpoints(relayed(r.Records), false, c.next)
		}
		return true
	}
	records, next, err := d.peers.fetchEndpoints(ctx, r.Next, r.from)
	if err != nil {
		d.log.Info().Str("from", r.from).Uint64("offset", r.Next).Err(err).Msg("registry_fetch_failed")
		return false
	}
	c.next, c.known = next, true
	d.takeEndpoints(records, true, next)
	d.log.Info().Uint64("offset", next).Int("endpoints", len(records)).Msg("registry_fetched")
	return true
}

func relayed(list []*schema.StoreRecord) []Record {
	records := make([]Record, 0, len(list))
	for _, r := range list {
		records = append(records, Record{Key: r.Key, Value: r.Value})
	}
	return records
}

// takeEndpoints takes records of the registry in, and returns those that changed
// something.
func (d *Daemon) takeEndpoints(records []Record, whole bool, next uint64) []Record {
	d.registry.take(records, whole, next)
	changes := make([]members.Change, 0, len(records))
	kept := records[:0]
	for _, r := range records {
		c, err := d.codec.Endpoint(r)
		if err != nil {
			d.log.Error().Err(err).Msg("endpoint_unreadable")
			continue
		}
		changes = append(changes, c)
		kept = append(kept, r)
	}
	var changed []Record
	var told []members.Change
	d.sched.update(func(now time.Duration, m *members.Set) {
		m.Back(now)
		if whole {
			m.Replace(now, changes)
			return
		}
		for i, c := range changes {
			before := m.Version()
			m.Apply(now, c)
			if m.Version() != before || c.Endpoint == nil {
				changed, told = append(changed, kept[i]), append(told, c)
			}
		}
		m.Expire(now)
	})
	d.logEndpoints(told)
	d.endpointsKnown.Store(true)
	return changed
}

func (d *Daemon) logEndpoints(changes []members.Change) {
	for _, c := range changes {
		ev := d.log.Info().Str("endpoint", c.ID).Bool("removed", c.Endpoint == nil)
		if c.Endpoint != nil {
			ev = ev.Str("address", c.Endpoint.Address).Bool("leaving", c.Endpoint.Leaving)
		}
		ev.Msg("endpoint_changed")
	}
}

// announce writes this VM's address to the store once, and reads those of
// others now and then.
func (d *Daemon) announce(ctx context.Context) error {
	var dep dependency
	written := false
	for ctx.Err() == nil {
		if !written {
			err := d.opts.Store.Announce(ctx, d.set.Vm.Name, []byte(entryOf(allowance.VM{Address: d.set.Listen.Peers, Domain: d.set.Vm.FailureDomain})))
			d.noteStore(&dep, "vms", err)
			written = err == nil
		}
		records, _, err := d.opts.Store.Newest(ctx, FeedVMs)
		d.noteStore(&dep, "vms", err)
		if err != nil || !written {
			pause(ctx, retryEvery)
			continue
		}
		var entries []string
		for _, r := range records {
			if len(r.Value) > 0 {
				entries = append(entries, string(r.Value))
			}
		}
		d.peers.learnAll(entries)
		if d.peers.reads() {
			pause(ctx, announceEvery)
		} else {
			pause(ctx, listEvery)
		}
	}
	return nil
}
