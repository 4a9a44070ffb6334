package entry

import (
	"context"
	"slices"
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
		delay.begin()
		got, err := c.read(ctx, d.configWait())
		d.recordStoreResult(&health, "config", err)
		d.peers.setFollowsConfig(err == nil)
		if err != nil {
			sleepJittered(ctx, delay.next(d.maxRetryPause()))
			continue
		}
		delay.reset()
		readBefore = true
		d.observeEra(c.next.Era)
		d.applyConfigRecords(got.records, fromStore)
		if d.table.Load() == nil {
			sleepJittered(ctx, minRetryPause)
		}
	}
	return nil
}

// applyConfigRecords applies what was read of the operator's feed. Orders come first: a service with a
// rollout order must not use its new endpoints before the order is known.
func (d *Daemon) applyConfigRecords(records []Record, from string) {
	d.rollouts.applyOrders(records)
	// Decoding takes a small VM a tenth of a second, so earlier versions are passed over.
	for _, r := range slices.Backward(records) {
		if d.applyConfig(r, from) {
			return
		}
	}
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
// address of the VM that sent it, or fromStore. It returns false if the record holds no valid
// configuration.
func (d *Daemon) applyConfig(r Record, from string) bool {
	start := time.Now()
	doc, err := d.codec.DecodeConfig(r)
	if err != nil {
		d.log.Error().Err(err).Msg("config_unreadable")
		return false
	}
	if doc == nil {
		return false
	}
	d.configMu.Lock()
	defer d.configMu.Unlock()
	if doc.Version <= d.configVersion() {
		return true
	}
	t := routing.NewTable(doc)
	d.shares.setTable(t)
	d.sched.setTable(t)
	d.callerConns.SetIdleTimeout(doc.Limits.IdleTimeout)
	d.callerConns.SetHeadLimits(doc.Limits.MaxHeaderBytes, doc.Limits.HeaderTimeout)
	d.table.Store(t)
	d.longResponses.Retain(t.HasRoute)
	d.markInitialised()
	sinceHeard := d.configFetcher.applied(doc.Version)
	d.log.Info().Uint64("version", doc.Version).Int("routes", len(doc.Routes)).
		Int("organisations", len(doc.Organisations)).Str("from", from).Int("bytes", len(r.Value)).
		Dur("since_heard", sinceHeard).Dur("apply", time.Since(start)).Msg("config_in_force")
	d.configSource.setCurrent(&r, doc.Version)
	d.peers.announceConfig()
	return true
}
