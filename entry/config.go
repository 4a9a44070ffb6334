package entry

import (
	"context"
	"time"

	"github.com/chivefield/chivefield/core/routing"
)

const (
	// configWaitShare is the fraction of the time within which a configuration must be applied
	// that a read of it waits for a change, and minConfigWait the minimum. The remainder is the
	// margin for noticing a connection that fell silent.
	configWaitShare = 0.75
	minConfigWait   = 2 * time.Second
	// followCheckInterval is how often a VM checks whether another VM still reads the
	// configuration.
	followCheckInterval = 300 * time.Millisecond
	// fromStore is logged as the source of a configuration that this VM read itself.
	fromStore = "store"
)

// configWait returns how long a read of the configuration waits for a change.
func (d *Daemon) configWait() time.Duration {
	return max(minConfigWait, fraction(configWaitShare, d.settings.ConfigApplyBound))
}

// followConfig keeps this VM's configuration up to date. One VM of each failure domain reads the
// store; the others learn of a new version from any VM's notes and fetch it there. A VM that knows
// of no reader reads the store. Before the first version is written the other VMs wait in the same
// way: otherwise all VMs of a starting deployment would read, one call every two seconds each.
func (d *Daemon) followConfig(ctx context.Context) error {
	c := feedCursor{store: d.opts.Store, feed: FeedConfig}
	var health storeHealth
	var delay backoff
	readBefore := false
	for ctx.Err() == nil {
		if readBefore && !d.peers.isStoreReader() && d.peers.configWatched() {
			c.known = false
			d.peers.setFollowsConfig(false)
			sleepJittered(ctx, followCheckInterval)
			continue
		}
		got, err := c.read(ctx, d.configWait())
		d.recordStoreResult(&health, "config", err)
		d.peers.setFollowsConfig(err == nil)
		if err != nil {
			sleepJittered(ctx, delay.next(d.maxRetryPause()))
			continue
		}
		delay.reset()
		readBefore = true
		// Orders come first: a service with a rollout order must not use its new endpoints before
		// the order is known.
		d.rollouts.applyOrders(got.records)
		d.observeEra(c.next.Era)
		for _, r := range got.records {
			d.applyConfig(r, fromStore)
		}
		if d.table.Load() == nil {
			sleepJittered(ctx, minRetryPause)
		}
	}
	return nil
}

// configVersion returns the version of the configuration in force, 0 if there is none.
func (d *Daemon) configVersion() uint64 {
	t := d.table.Load()
	if t == nil {
		return 0
	}
	return t.Document.Version
}

// applyConfig applies a configuration document if it is newer than the current one. from is the
// address of the VM that sent it, or fromStore.
func (d *Daemon) applyConfig(r Record, from string) {
	start := time.Now()
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
		Int("organisations", len(doc.Organisations)).Str("from", from).Int("bytes", len(r.Value)).
		Dur("since_heard", d.configNews.sinceHeard(doc.Version, d.now())).Dur("apply", time.Since(start)).Msg("config_in_force")
}
