package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// relaySilenceShare and endpointsIntervalShare are fractions of the time after which a leaving
	// endpoint must get no more requests: how long a VM waits for a relay of registry changes
	// before it reads the store, up to a quarter more with jitter, and how often the reader reads.
	// The reader polls: endpoints write every second or so, so that a long poll would return at
	// once each time.
	relaySilenceShare      = 0.6
	endpointsIntervalShare = 0.35
	// successionShare is the fraction of that time within which maxSuccessors VMs take over from each
	// other when relays stop. Together with the silence before, jitter included, it stays below one.
	successionShare = 0.2
	maxSuccessors   = 8
	// maxEndpointsInterval and maxRelaySilence bound them: new endpoints get requests this much
	// later at most.
	maxEndpointsInterval = 1500 * time.Millisecond
	maxRelaySilence      = 2600 * time.Millisecond
	// minRetryPause is the pause after a first failed call to the store, before jitter.
	minRetryPause = 300 * time.Millisecond
	// startRetryPause bounds the pause of a process that cannot serve yet.
	startRetryPause = 2 * minRetryPause
)

// fraction returns a share of a duration.
func fraction(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}

// relaySilence returns how long a VM waits for a relay before it reads the registry itself.
func (d *Daemon) relaySilence() time.Duration {
	return min(maxRelaySilence, fraction(relaySilenceShare, d.settings.DrainBound))
}

// successionDelay returns how much later each further VM takes over as the reader.
func (d *Daemon) successionDelay() time.Duration {
	return fraction(successionShare, d.settings.DrainBound) / maxSuccessors
}

// registryConfirmMargin is the time that a read of the registry and its relay to other VMs take.
const registryConfirmMargin = 300 * time.Millisecond

// registryConfirmTimeout returns for how long after it was last confirmed a VM takes its copy of the registry
// for up to date: until it reads the registry itself because a relay was lost.
func (d *Daemon) registryConfirmTimeout() time.Duration {
	return d.relaySilence()*5/4 + registryConfirmMargin
}

// silenceBeforeRead returns how long this VM waits for a relay before it reads the registry itself. The
// VMs that come next as readers do so first and relay what they read, or all would read at once.
func (d *Daemon) silenceBeforeRead() time.Duration {
	before, _ := d.peers.readersBefore(d.now())
	successors := min(maxSuccessors, max(0, before-1))
	return jitter(d.relaySilence()) + time.Duration(successors)*d.successionDelay()
}

// endpointsInterval returns how often the reader reads the registry.
func (d *Daemon) endpointsInterval() time.Duration {
	return min(maxEndpointsInterval, fraction(endpointsIntervalShare, d.settings.DrainBound))
}

// backoff computes the pause before a call to the store is retried. The pause doubles with each
// failure in a row: otherwise a store that is down or refuses all calls gets three calls a second
// from each VM for each feed. It stays within the time after which a VM without relays reads the
// store, so that all VMs have caught up soon after the store's return.
//
// The time that the failed call took counts towards the pause. A call during a network partition takes
// seconds to fail, the last of them ends after the partition, and a whole pause after it would delay what
// was missed.
type backoff struct {
	pause time.Duration
	// begun is when the call began; zero if that was not recorded.
	begun time.Time
}

// begin records that a call begins.
func (r *backoff) begin() { r.begun = time.Now() }

// next returns how long to wait after a call has failed. From one call to the next it is at most
// longest, or minRetryPause after the end of a longer call.
func (r *backoff) next(longest time.Duration) time.Duration {
	r.pause = min(longest, max(minRetryPause, 2*r.pause))
	if r.begun.IsZero() {
		return r.pause
	}
	return max(minRetryPause, r.pause-time.Since(r.begun))
}

func (r *backoff) reset() { r.pause = 0 }

// maxRetryPause returns the limit of the pause between two failed calls.
func (d *Daemon) maxRetryPause() time.Duration {
	if !d.hasInitialState() {
		return startRetryPause
	}
	return d.relaySilence()
}

// jitter returns d changed at random by up to a quarter of it either way.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }

// sleepJittered waits for d with jitter, so that VMs do not call the store at the same moments. It
// reports false if ctx ended first.
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

// feedCursor tracks the read position in a feed of the store.
type feedCursor struct {
	store Store
	feed  Feed
	// next is the position to read from next; it is valid if known is set. Its era is the latest
	// that this feed has seen; it is kept when known is cleared, so that a restore of the store is
	// also noticed after an outage.
	next  Position
	known bool
	// readBefore reports whether the feed was ever read.
	readBefore bool
}

// readResult is the result of reading a feed.
type readResult struct {
	records []Record
	// full means that the records are all that the feed holds, restored that the store was restored
	// from a backup since the last read, so that records may be older than those read before.
	full, restored bool
}

// read returns the records since the last read. It reads the whole feed after a failure, since an
// outage may hide removals, and after the store was restored from a backup: offsets were assigned
// again, and a reader that continued at its own would miss the records below it.
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
		// A delayed response from before the restore.
		return readResult{}, nil
	}
	c.next = next
	return readResult{records: records}, nil
}

func (c *feedCursor) readAll(ctx context.Context) (readResult, error) {
	c.known = false
	records, next, err := c.store.Snapshot(ctx, c.feed)
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

// storeHealth tracks whether reads of a feed fail, to log when the store is lost and regained.
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
