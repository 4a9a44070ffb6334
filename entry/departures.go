package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/schema"
)

const (
	// departuresInterval is the pause between two questions about missing endpoints. The VMs that read the
	// registry find a departure within endpointsInterval.
	departuresInterval = 300 * time.Millisecond
	// departuresMargin is added to the time for which departures are asked: the VM that answers may have
	// read the registry a little earlier than this one last did.
	departuresMargin = 2 * time.Second
)

// departureChecker asks other VMs whether endpoints are gone that this VM misses in the registry after
// it failed to read it. Such an entry may have expired while the store was away, and its endpoint is
// alive; but if only this VM had lost the store, the endpoint has left, and requests that are still
// sent to it are cut off when it exits.
type departureChecker struct {
	d *Daemon
	// missing wakes the goroutine that asks.
	missing chan struct{}
	// knownAt is when the copy of the registry was last up to date before entries went missing.
	knownAt atomic.Int64
}

func newDepartureChecker(d *Daemon) *departureChecker {
	return &departureChecker{d: d, missing: make(chan struct{}, 1)}
}

// recordGap records, before changes of the registry are applied, since when this VM may have missed some.
func (c *departureChecker) recordGap() {
	if !c.d.registryConfirmed() {
		c.knownAt.Store(c.d.registryConfirmedAt.Load())
	}
}

// notify has other VMs asked about the entries that are missing.
func (c *departureChecker) notify() {
	select {
	case c.missing <- struct{}{}:
	default:
	}
}

// run asks other VMs for as long as entries are missing, until ctx ends.
func (c *departureChecker) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.missing:
		}
		for c.d.sched.missingEndpoints() > 0 {
			c.ask(ctx)
			if !sleepJittered(ctx, departuresInterval) {
				return nil
			}
		}
	}
}

// ask asks one VM which endpoints are gone, or the next if it does not answer.
func (c *departureChecker) ask(ctx context.Context) {
	within := c.d.standstill.elapsed() - time.Duration(c.knownAt.Load()) + departuresMargin
	request := &schema.DeparturesRequest{WithinMs: uint64(within.Milliseconds())}
	for _, address := range c.d.peers.departureSources() {
		c.d.count("departures_asked")
		reply, err := c.d.peers.newRelayClient(address, 0).Departures(ctx, request)
		if err != nil {
			c.d.log.Info().Str("from", address).Err(err).Msg("departures_unanswered")
			continue
		}
		if n := c.d.sched.confirmGone(reply.Gone); n > 0 {
			c.d.countMany("departures_confirmed", n)
			c.d.log.Info().Str("from", address).Int("endpoints", n).Msg("departures_confirmed")
		}
		return
	}
}

// departureSources returns, in random order, up to maxSources VMs of any failure domain that can read
// the store.
func (p *peers) departureSources() []string {
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, pe := range p.byAddress {
		if pe.isAlive(now) && !pe.storeLost {
			list = append(list, address)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(maxSources, len(list))]
}

// Departures implements schema.Relay.
func (s *relayServer) Departures(_ context.Context, r *schema.DeparturesRequest) (*schema.DeparturesReply, error) {
	return &schema.DeparturesReply{Gone: s.d.sched.goneEndpoints(millis(r.WithinMs))}, nil
}

// missingEndpoints returns the number of endpoints in use that the registry no longer lists.
func (s *sharedScheduler) missingEndpoints() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Missing()
}

// goneEndpoints returns the hashes of the incarnations that this VM found gone within some time.
func (s *sharedScheduler) goneEndpoints(within time.Duration) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Gone(s.now() - within)
}

// confirmGone stops the use of missing endpoints that another VM has found gone, and returns how many.
func (s *sharedScheduler) confirmGone(hashes []uint64) (removed int) {
	s.updateMembers(func(now time.Duration, m *members.Set) { removed = m.ConfirmGone(now, hashes) })
	return removed
}
