package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/routing"
)

const (
	// configWait is how long a read of the configuration waits for a change.
	configWait = 5 * time.Second
	// endpointsEvery is how often the registry is read. Endpoints write there each
	// second or so, so a waiting read would return at once each time.
	endpointsEvery = 700 * time.Millisecond
	// retryEvery is the pause after a failed call to the store, with spread.
	retryEvery = 300 * time.Millisecond
	// announceEvery is how often the list of VMs is read.
	announceEvery = 5 * time.Second
)

// pause waits for d, with a spread of half of it, so that VMs do not call the
// store at the same moments.
func pause(ctx context.Context, d time.Duration) bool {
	d = d*3/4 + rand.N(d/2+1)
	t := time.NewTimer(d)
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

// followConfig keeps the configuration in force up to date.
func (d *Daemon) followConfig(ctx context.Context) error {
	c := cursor{store: d.opts.Store, feed: FeedConfig}
	var dep dependency
	for ctx.Err() == nil {
		records, _, err := c.read(ctx, configWait)
		d.noteStore(&dep, "config", err)
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
	if t := d.table.Load(); t != nil && doc.Version <= t.Document.Version {
		return
	}
	t := routing.NewTable(doc)
	d.shares.setTable(t)
	d.sched.setTable(t)
	d.idle.set(doc.Limits.IdleTimeout)
	d.table.Store(t)
	d.log.Info().Uint64("version", doc.Version).Int("routes", len(doc.Routes)).
		Int("organisations", len(doc.Organisations)).Msg("config_in_force")
}

// followEndpoints keeps the known endpoints up to date.
func (d *Daemon) followEndpoints(ctx context.Context) error {
	c := cursor{store: d.opts.Store, feed: FeedEndpoints}
	var dep dependency
	for ctx.Err() == nil {
		records, whole, err := c.read(ctx, 0)
		d.noteStore(&dep, "endpoints", err)
		if err != nil {
			d.sched.update(func(_ time.Duration, m *members.Set) { m.Away() })
			pause(ctx, retryEvery)
			continue
		}
		d.takeEndpoints(records, whole)
		pause(ctx, endpointsEvery)
	}
	return nil
}

func (d *Daemon) takeEndpoints(records []Record, whole bool) {
	changes := make([]members.Change, 0, len(records))
	for _, r := range records {
		c, err := d.codec.Endpoint(r)
		if err != nil {
			d.log.Error().Err(err).Msg("endpoint_unreadable")
			continue
		}
		changes = append(changes, c)
	}
	d.sched.update(func(now time.Duration, m *members.Set) {
		m.Back(now)
		if whole {
			m.Replace(now, changes)
		}
		for _, c := range changes {
			m.Apply(now, c)
		}
		m.Expire(now)
	})
	d.endpointsKnown.Store(true)
}

// announce writes this VM's address to the store once, and reads those of
// others now and then.
func (d *Daemon) announce(ctx context.Context) error {
	var dep dependency
	written := false
	for ctx.Err() == nil {
		if !written {
			err := d.opts.Store.Announce(ctx, d.set.Vm.Name, []byte(d.set.Listen.Peers))
			d.noteStore(&dep, "vms", err)
			written = err == nil
		}
		records, _, err := d.opts.Store.Newest(ctx, FeedVMs)
		d.noteStore(&dep, "vms", err)
		if err != nil || !written {
			pause(ctx, retryEvery)
			continue
		}
		for _, r := range records {
			if len(r.Value) > 0 {
				d.peers.learn(string(r.Value))
			}
		}
		pause(ctx, announceEvery)
	}
	return nil
}
