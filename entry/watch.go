package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/chivefield/chivefield/core/routing"
)

const (
	// waitShare is the share of the time in which a configuration must be in force that a
	// read of it waits for a change, and leastWait the least. A connection that fell silent
	// is noticed a margin after it.
	waitShare = 0.75
	leastWait = 2 * time.Second
	// followCheck is how often a VM looks whether others still read the store.
	followCheck = 300 * time.Millisecond
	// silenceShare and everyShare are shares of the time after which a leaving endpoint
	// must get nothing more: how long a VM waits for what others read of the registry
	// before it reads itself, a quarter more with spread, and how often the reader reads.
	// Endpoints write there each second or so, so a waiting read would return at once each
	// time.
	silenceShare = 0.6
	everyShare   = 0.35
	// mostEvery and mostSilence bound them: endpoints that come are used as late as this.
	mostEvery   = 1500 * time.Millisecond
	mostSilence = 2600 * time.Millisecond
	// retryEvery is the pause after a first failed call to the store, with spread.
	retryEvery = 300 * time.Millisecond
	// startRetry bounds the pause of a process that cannot serve yet.
	startRetry = 2 * retryEvery
)

// part is a share of a time.
func part(share float64, of time.Duration) time.Duration { return time.Duration(share * float64(of)) }

// configWait is how long a read of the configuration waits for a change.
func (d *Daemon) configWait() time.Duration {
	return max(leastWait, part(waitShare, d.settings.InForce))
}

// relaySilence is how long a VM waits for what others read of the registry.
func (d *Daemon) relaySilence() time.Duration {
	return min(mostSilence, part(silenceShare, d.settings.Drain))
}

// endpointsEvery is how often the registry is read.
func (d *Daemon) endpointsEvery() time.Duration {
	return min(mostEvery, part(everyShare, d.settings.Drain))
}

// retry is the pause before a call to the store is repeated. It doubles with each failure in
// a row: a store that turns all away, or is down, otherwise gets a call from each VM three
// times a second for each feed. It stays within the time in
// which VMs that hear nothing look for themselves, so that all have caught up soon after
// the store's return.
type retry struct{ pause time.Duration }

// failed returns the next pause. most bounds it.
func (r *retry) failed(most time.Duration) time.Duration {
	r.pause = min(most, max(retryEvery, 2*r.pause))
	return r.pause
}

// succeeded begins anew.
func (r *retry) succeeded() { r.pause = 0 }

// mostRetry bounds the pause between two failed calls.
func (d *Daemon) mostRetry() time.Duration {
	if !d.hasInitialState() {
		return startRetry
	}
	return d.relaySilence()
}

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
	// next is where to read on. Its era is the latest that this feed heard of; it is kept
	// when known is not set, so that a copy is noticed after an outage too.
	next  Position
	known bool
	// began says that the feed was read before.
	began bool
}

// reading is what a read of a feed gave.
type reading struct {
	records []Record
	// whole says that they are all that the feed holds, copied that the store has come back
	// from a copy of itself since the last read: they may be older than what was read before.
	whole, copied bool
}

// read returns records since the last read. After a failure everything is read again, since an
// outage may have hidden what was removed; and if the store came back from a copy, since
// offsets were given out again: a reader that went on from its own would miss what lies before.
func (c *cursor) read(ctx context.Context, wait time.Duration) (reading, error) {
	if !c.known {
		return c.readAll(ctx)
	}
	records, next, err := c.store.Read(ctx, c.feed, c.next.Offset, wait)
	var trimmed *TrimmedError
	switch {
	case errors.As(err, &trimmed) || err == nil && next.Era > c.next.Era:
		return c.readAll(ctx)
	case err != nil:
		c.known = false
		return reading{}, err
	case next.Era < c.next.Era:
		// An answer from before the copy that was long under way.
		return reading{}, nil
	}
	c.next = next
	return reading{records: records}, nil
}

func (c *cursor) readAll(ctx context.Context) (reading, error) {
	c.known = false
	records, next, err := c.store.Snapshot(ctx, c.feed)
	if err != nil {
		return reading{}, err
	}
	if next.Era < c.next.Era {
		return reading{}, &StaleEraError{Era: next.Era, Known: c.next.Era}
	}
	copied := c.began && next.Era > c.next.Era
	c.next, c.known, c.began = next, true, true
	return reading{records: records, whole: true, copied: copied}, nil
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
// fetch it there. A VM that hears of no reader reads for itself. Before the first version
// is written they wait for it alike, or all VMs of a start would read, one call each two
// seconds.
func (d *Daemon) followConfig(ctx context.Context) error {
	c := cursor{store: d.opts.Store, feed: FeedConfig}
	var dep dependency
	var again retry
	asked := false
	for ctx.Err() == nil {
		if asked && !d.peers.isStoreReader() && d.peers.configWatched() {
			c.known = false
			d.peers.setFollowsConfig(false)
			pause(ctx, followCheck)
			continue
		}
		got, err := c.read(ctx, d.configWait())
		d.noteStore(&dep, "config", err)
		d.peers.setFollowsConfig(err == nil)
		if err != nil {
			pause(ctx, again.failed(d.mostRetry()))
			continue
		}
		again.succeeded()
		asked = true
		// Orders first: a service that moves must not use its new endpoints before.
		d.rollouts.takeRecords(got.records)
		d.noteEra(c.next.Era)
		for _, r := range got.records {
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
			r, orders, err := d.peers.fetchConfig(ctx, h)
			if err != nil {
				d.log.Warn().Str("from", h.address).Uint64("version", h.version).Err(err).Msg("config_fetch_failed")
				continue
			}
			d.rollouts.told(orders)
			if r != nil {
				d.takeConfig(*r)
			}
		}
	}
}

// takeConfig puts a document in force if it is newer than the one in force.
func (d *Daemon) takeConfig(r Record) {
	doc, err := d.codec.DecodeConfig(r)
	if err != nil {
		d.log.Error().Err(err).Msg("config_unreadable")
		return
	}
	if doc == nil {
		return
	}
	d.configMu.Lock()
	defer d.configMu.Unlock()
	if t := d.table.Load(); t != nil && doc.Version <= t.Document.Version {
		return
	}
	t := routing.NewTable(doc)
	d.configRecord.Store(&r)
	d.shares.setTable(t)
	d.sched.setTable(t)
	d.idleConns.setTimeout(doc.Limits.IdleTimeout)
	d.table.Store(t)
	d.markInitialised()
	d.log.Info().Uint64("version", doc.Version).Int("routes", len(doc.Routes)).
		Int("organisations", len(doc.Organisations)).Msg("config_in_force")
}
