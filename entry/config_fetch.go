package entry

import (
	"context"
	"sync"
	"time"

	"github.com/chivefield/chivefield/schema"
	"github.com/chivefield/chivefield/transfer"
)

// configFetchTimeout limits the time to fetch a configuration from another VM.
const configFetchTimeout = 700 * time.Millisecond

// configNews records when this VM first heard of the newest version of the configuration.
type configNews struct {
	mu      sync.Mutex
	version uint64
	heardAt time.Duration
}

// hear records that a version exists. It reports whether it is newer than all heard of before.
func (c *configNews) hear(version uint64, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.version {
		return false
	}
	c.version, c.heardAt = version, now
	return true
}

// sinceHeard returns the time since this VM first heard of a version; 0 if it was not announced
// before.
func (c *configNews) sinceHeard(version uint64, now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version != c.version {
		return 0
	}
	return now - c.heardAt
}

// hearOfConfig processes the announcement of a version by a VM that has it in force.
func (d *Daemon) hearOfConfig(h configHint) {
	current := d.configVersion()
	if h.version <= current {
		return
	}
	if d.configNews.hear(h.version, d.now()) {
		d.log.Info().Uint64("version", h.version).Uint64("current", current).Str("from", h.address).Msg("config_heard")
	}
	select {
	case d.peers.configHints <- h:
	default:
	}
}

// fetchConfigs fetches newer versions of the configuration from VMs whose notes announce them.
func (d *Daemon) fetchConfigs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-d.peers.configHints:
			if d.configVersion() >= h.version {
				continue
			}
			var progress transfer.Progress
			r, orders, err := d.peers.fetchConfig(transfer.WithProgress(ctx, &progress), h)
			if err != nil {
				d.count("config_fetches_failed")
				d.log.Warn().Str("from", h.address).Uint64("version", h.version).Int64("received", progress.Received()).
					Int64("size", progress.Size()).Dur("took", progress.Elapsed()).Err(err).Msg("config_fetch_failed")
				continue
			}
			d.rollouts.mergeRemote(orders)
			if r != nil {
				d.applyConfig(*r, h.address)
			}
		}
	}
}

// fetchConfig fetches the current configuration of another VM.
func (p *peers) fetchConfig(ctx context.Context, h configHint) (*Record, []*schema.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	client := schema.NewRelayProtobufClient("http://"+h.address, p.client)
	reply, err := client.Config(ctx, &schema.ConfigRequest{NewerThan: p.d.configVersion()})
	if err != nil || reply.Record == nil {
		return nil, reply.GetRollouts(), err
	}
	return &Record{Key: reply.Record.Key, Value: reply.Record.Value}, reply.Rollouts, nil
}
