package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chivefield/chivefield/core/catchup"
	"github.com/chivefield/chivefield/schema"
	"github.com/chivefield/chivefield/transfer"
)

// peerStallTimeout is how long nothing may arrive of a response of another VM: a packet that is lost
// twice arrives within 600 ms.
const peerStallTimeout = 700 * time.Millisecond

const (
	// maxPeerResponseBytes bounds a response of another VM: a whole configuration or registry, compressed.
	maxPeerResponseBytes = 16 << 20
	// maxPeerRequestBytes bounds a request of another VM, and maxPeerHeadBytes the head of either.
	maxPeerRequestBytes = 64 << 10
	maxPeerHeadBytes    = 16 << 10
)

// newRelayClient returns a client for what another VM has read from the store. The VM may take up to
// wait to begin its response.
func (p *peers) newRelayClient(address string, wait time.Duration) schema.Relay {
	client := &transfer.Client{HTTP: &http.Client{Transport: p.transport}, Response: wait + peerStallTimeout, Stall: peerStallTimeout, MaxBytes: maxPeerResponseBytes}
	return schema.NewRelayProtobufClient("http://"+address, client)
}

// configFetcher gets newer versions of the configuration that other VMs announce.
type configFetcher struct {
	d *Daemon
	// changed wakes the goroutine that acts on the tracker's decisions.
	changed chan struct{}

	mu      sync.Mutex
	tracker *catchup.Tracker
	// cancels ends the requests under way, by holder.
	cancels map[string]context.CancelFunc
	// caughtUp is closed when no newer version is known any more; nil while none is known.
	caughtUp chan struct{}
	// wholeOnly is set after an update did not fit: the next request asks for a whole record.
	wholeOnly bool
}

func newConfigFetcher(d *Daemon) *configFetcher {
	return &configFetcher{
		d: d, changed: make(chan struct{}, 1), cancels: make(map[string]context.CancelFunc),
		tracker: catchup.NewTracker(d.settings.Listen.Peers, d.settings.ConfigApplyBound),
	}
}

// wake has the goroutine look at the tracker.
func (f *configFetcher) wake() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// hear processes the announcement of a version by a VM that has it in force.
func (f *configFetcher) hear(holder string, version uint64, near bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.tracker.Hear(f.d.now(), catchup.Announcement{Holder: holder, Version: version, Near: near}) {
		return
	}
	if f.caughtUp == nil {
		f.caughtUp = make(chan struct{})
	}
	f.d.log.Info().Uint64("version", version).Uint64("current", f.d.configVersion()).Str("from", holder).Msg("config_heard")
	f.wake()
}

// applied records that a version is in force and returns how long ago it was first announced, 0 if
// it was not. Requests to other VMs end, unless a newer version is known.
func (f *configFetcher) applied(version uint64) (sinceHeard time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.d.now()
	if at, ok := f.tracker.HeardAt(version); ok {
		sinceHeard = now - at
	}
	f.tracker.Applied(version)
	if _, behind := f.tracker.BehindSince(now); !behind {
		for _, cancel := range f.cancels {
			cancel()
		}
		f.signalLocked()
	}
	return sinceHeard
}

// signalLocked wakes those who wait for the newest version.
func (f *configFetcher) signalLocked() {
	if f.caughtUp != nil {
		close(f.caughtUp)
		f.caughtUp = nil
	}
}

// behindSince returns since when this VM has known of a newer version than the one in force; ok is
// false if it knows of none.
func (f *configFetcher) behindSince() (since time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.BehindSince(f.d.now())
}

// run fetches newer versions until ctx ends.
func (f *configFetcher) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		action, wait := f.next()
		switch {
		case action.Ask != "":
			group.Go(func() error { f.fetch(ctx, action.Ask); return nil })
			continue
		case action.ReadStore:
			group.Go(func() error { f.readStore(ctx); return nil })
			continue
		}
		t.Stop()
		if wait > 0 {
			t.Reset(wait)
		}
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-f.changed:
		case <-t.C:
		}
	}
}

func (f *configFetcher) next() (catchup.Action, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	action, wait := f.tracker.Next(f.d.now(), f.d.peers.standing)
	if wait == 0 && action == (catchup.Action{}) {
		f.signalLocked()
	}
	return action, wait
}

// fetch asks a holder for its configuration and applies it.
func (f *configFetcher) fetch(ctx context.Context, holder string) {
	var progress transfer.Progress
	ctx, cancel := context.WithCancel(transfer.WithProgress(ctx, &progress))
	defer cancel()
	base, request := f.newRequest(holder, cancel)
	reply, err := f.d.peers.newRelayClient(holder, catchup.MaxHold).Config(ctx, request)
	var r *Record
	if err == nil {
		r, err = f.unpack(base, reply)
	}
	if r != nil {
		f.d.rollouts.mergeRemote(reply.Rollouts)
		if !f.d.applyConfig(*r, holder) {
			err = &UnreadableConfigError{Holder: holder}
		}
		f.d.configSource.keepUpdate(request.Base, reply)
	}
	f.end(ctx, holder, reply, r != nil, err)
	if err != nil && ctx.Err() == nil {
		f.d.count("config_fetches_failed")
		f.d.log.Warn().Str("from", holder).Uint64("newer_than", request.NewerThan).Int64("received", progress.Received()).
			Int64("size", progress.Size()).Dur("took", progress.Elapsed()).Err(err).Msg("config_fetch_failed")
	}
}

// newRequest returns the request to a holder and the record that its reply may differ from.
func (f *configFetcher) newRequest(holder string, cancel context.CancelFunc) (*Record, *schema.ConfigRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels[holder] = cancel
	request := &schema.ConfigRequest{NewerThan: f.d.configVersion(), Asker: f.d.settings.Listen.Peers}
	base, sum := f.d.configSource.current()
	if base == nil || f.wholeOnly {
		return nil, request
	}
	request.Base = sum[:]
	return base, request
}

// unpack returns the record in a reply, nil if it holds none.
func (f *configFetcher) unpack(base *Record, reply *schema.ConfigReply) (*Record, error) {
	if reply.Record != nil {
		return &Record{Key: reply.Record.Key, Value: reply.Record.Value}, nil
	}
	if len(reply.Packed) == 0 {
		return nil, nil
	}
	r, err := applyUpdate(base, reply)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wholeOnly = err != nil
	return r, err
}

// end passes the outcome of a request to the tracker.
func (f *configFetcher) end(ctx context.Context, holder string, reply *schema.ConfigReply, served bool, err error) {
	near := f.d.peers.isNear
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cancels, holder)
	now := f.d.now()
	switch {
	case ctx.Err() != nil:
		f.tracker.Served(holder)
	case err != nil:
		f.tracker.Failed(now, holder)
	case served:
		f.tracker.Served(holder)
	default:
		var referrals []catchup.Announcement
		for _, a := range reply.Holders {
			referrals = append(referrals, catchup.Announcement{Holder: a, Version: reply.Version, Near: near(a)})
		}
		f.tracker.Refused(now, holder, referrals)
	}
	f.wake()
}

// readStore reads the configuration from the store, since no VM has served it.
func (f *configFetcher) readStore(ctx context.Context) {
	records, next, err := f.d.opts.Store.Snapshot(ctx, FeedConfig)
	if err == nil {
		f.d.observeEra(next.Era)
		f.d.applyConfigRecords(records, fromStore)
	}
	f.d.log.Info().Err(err).Uint64("version", f.d.configVersion()).Msg("config_read_from_store")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.StoreReadDone()
	f.wake()
}

// standing returns this VM's place among those of its failure domain that are alive.
func (p *peers) standing() catchup.Standing {
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := make([]string, 0, len(p.near))
	for _, a := range p.near {
		if p.byAddress[a].presumedAlive(now) {
			alive = append(alive, a)
		}
	}
	return catchup.NewStanding(p.d.settings.Listen.Peers, alive)
}

// isNear reports whether a VM is known to be in this VM's failure domain.
func (p *peers) isNear(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pe := p.byAddress[address]
	return pe != nil && pe.domain == p.d.settings.Vm.FailureDomain
}

// maxAnnounced is the number of VMs to which a VM announces a version as soon as it is in force; the
// others hear of it by heartbeats.
const maxAnnounced = 4

// announceConfig tells some VMs of this failure domain which version is in force here.
func (p *peers) announceConfig() {
	near := p.domainAddresses()
	for i := range min(maxAnnounced, len(near)) {
		j := i + rand.IntN(len(near)-i)
		near[i], near[j] = near[j], near[i]
	}
	p.writeAll(p.encode(p.newNote()), near[:min(maxAnnounced, len(near))])
}
