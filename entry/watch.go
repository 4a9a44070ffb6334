package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/chivefield/chivefield/core/routing"
)

const (
	// configWaitShare is the share of the time in which a configuration must be in force that a
	// read of it waits for a change, and leastWait the least. A connection that fell silent
	// is noticed a margin after it.
	configWaitShare = 0.75
	minConfigWait   = 2 * time.Second
	// followCheckInterval is how often a VM looks whether others still read the store.
	followCheckInterval = 300 * time.Millisecond
	// relaySilenceShare and everyShare are shares of the time after which a leaving endpoint
	// must get nothing more: how long a VM waits for what others read of the registry
	// before it reads itself, a quarter more with spread, and how often the reader reads.
	// Endpoints write there each second or so, so a waiting read would return at once each
	// time.
	relaySilenceShare      = 0.6
	endpointsIntervalShare = 0.35
	// maxEndpointsInterval and mostSilence bound them: endpoints that come are used as late as this.
	maxEndpointsInterval = 1500 * time.Millisecond
	maxRelaySilence      = 2600 * time.Millisecond
	// minRetryPause is the pause after a first failed call to the store, with spread.
	minRetryPause = 300 * time.Millisecond
	// startRetryPause bounds the pause of a process that cannot serve yet.
	startRetryPause = 2 * minRetryPause
)

// fraction is a share of a time.
func fraction(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}

// configWait is how long a read of the configuration waits for a change.
func (d *Daemon) configWait() time.Duration {
	return max(minConfigWait, fraction(configWaitShare, d.set.InForce))
}

// relaySilence is how long a VM waits for what others read of the registry.
func (d *Daemon) relaySilence() time.Duration {
	return min(maxRelaySilence, fraction(relaySilenceShare, d.set.Drain))
}

// endpointsInterval is how often the registry is read.
func (d *Daemon) endpointsInterval() time.Duration {
	return min(maxEndpointsInterval, fraction(endpointsIntervalShare, d.set.Drain))
}

// backoff is the pause before a call to the store is repeated. It doubles with each failure in
// a row: a store that turns all away, or is down, otherwise gets a call from each VM three
// times a second for each feed. It stays within the time in
// which VMs that hear nothing look for themselves, so that all have caught up soon after
// the store's return.
type backoff struct{ pause time.Duration }

// next returns the next pause. most bounds it.
func (r *backoff) next(longest time.Duration) time.Duration {
	r.pause = min(longest, max(minRetryPause, 2*r.pause))
	return r.pause
}

// reset begins anew.
func (r *backoff) reset() { r.pause = 0 }

// maxRetryPause bounds the pause between two failed calls.
func (d *Daemon) maxRetryPause() time.Duration {
	if !d.knowsAll() {
		return startRetryPause
	}
	return d.relaySilence()
}

// jitter is d, more or less by up to a quarter.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }

// sleepJittered waits for d, with a spread of half of it, so that VMs do not call the
// store at the same moments.
func sleepJittered(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(jitter(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// feedCursor is a place in a feed of the store.
type feedCursor struct {
	store Store
	feed  Feed
	// next is where to read on. Its era is the latest that this feed heard of; it is kept
	// when known is not set, so that a copy is noticed after an outage too.
	next  Position
	known bool
	// readBefore says that the feed was read before.
	readBefore bool
}

// readResult is what a read of a feed gave.
type readResult struct {
	records []Record
	// full says that they are all that the feed holds, restored that the store has come back
	// from a copy of itself since the last read: they may be older than what was read before.
	full, restored bool
}

// read returns records since the last read. After a failure everything is read again, since an
// outage may have hidden what was removed; and if the store came back from a copy, since
// offsets were given out again: a reader that went on from its own would miss what lies before.
func (c *feedCursor) read(ctx context.Context, wait time.Duration) (readResult, error) {
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
		return readResult{}, err
	case next.Era < c.next.Era:
		// An answer from before the copy that was long under way.
		return readResult{}, nil
	}
	c.next = next
	return readResult{records: records}, nil
}

func (c *feedCursor) readAll(ctx context.Context) (readResult, error) {
	c.known = false
	records, next, err := c.store.Newest(ctx, c.feed)
	if err != nil {
		return readResult{}, err
	}
	if next.Era < c.next.Era {
		return readResult{}, &StaleEraError{Era: next.Era, Known: c.next.Era}
	}
	restored := c.readBefore && next.Era > c.next.Era
	c.next, c.known, c.readBefore = next, true, true
	return readResult{records: records, full: true, restored: restored}, nil
}

// storeHealth logs when the store is lost and regained.
type storeHealth struct {
	lost  bool
	since time.Time
}

func (d *Daemon) recordStoreResult(health *storeHealth, feed string, err error) {
	if err == nil && health.lost {
		health.lost = false
		d.log.Info().Str("feed", feed).Dur("away", time.Since(health.since)).Msg("store_regained")
	}
	if err != nil && !health.lost {
		health.lost, health.since = true, time.Now()
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
	c := feedCursor{store: d.opts.Store, feed: FeedConfig}
	var health storeHealth
	var delay backoff
	readBefore := false
	for ctx.Err() == nil {
		if readBefore && !d.peers.reads() && d.peers.configFollowed() {
			c.known = false
			d.peers.setFollows(false)
			sleepJittered(ctx, followCheckInterval)
			continue
		}
		got, err := c.read(ctx, d.configWait())
		d.recordStoreResult(&health, "config", err)
		d.peers.setFollows(err == nil)
		if err != nil {
			sleepJittered(ctx, delay.next(d.maxRetryPause()))
			continue
		}
		delay.reset()
		readBefore = true
		// Orders first: a service that moves must not use its new endpoints before.
		d.rollouts.applyOrders(got.records)
		d.observeEra(c.next.Era)
		for _, r := range got.records {
			d.applyConfig(r)
		}
		if d.table.Load() == nil {
			sleepJittered(ctx, minRetryPause)
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
		case h := <-d.peers.configHints:
			if t := d.table.Load(); t != nil && t.Document.Version >= h.version {
				continue
			}
			r, orders, err := d.peers.fetchConfig(ctx, h)
			if err != nil {
				d.log.Warn().Str("from", h.address).Uint64("version", h.version).Err(err).Msg("config_fetch_failed")
				continue
			}
			d.rollouts.mergeRemote(orders)
			if r != nil {
				d.applyConfig(*r)
			}
		}
	}
}

// applyConfig puts a document in force if it is newer than the one in force.
func (d *Daemon) applyConfig(r Record) {
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
	d.noteInformed()
	d.log.Info().Uint64("version", doc.Version).Int("routes", len(doc.Routes)).
		Int("organisations", len(doc.Organisations)).Msg("config_in_force")
}
