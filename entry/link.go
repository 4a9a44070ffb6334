package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/reach"
	"github.com/chivefield/chivefield/timeout"
	"github.com/chivefield/chivefield/upstream"
)

// endpointDialTimeout bounds the opening of a connection to an endpoint. Round trips take a few ms
// within a region and up to 100 ms between distant ones. A lost SYN packet is retransmitted after a
// second, by when another endpoint has responded.
const endpointDialTimeout = 200 * time.Millisecond

// endpointLink opens connections to endpoints and watches whether this VM reaches any.
type endpointLink struct {
	d *Daemon

	mu       sync.Mutex
	detector reach.Detector
	// evidence signals that connections for comparison may be due.
	evidence chan struct{}
}

func newEndpointLink(d *Daemon) *endpointLink {
	return &endpointLink{d: d, evidence: make(chan struct{}, 1)}
}

// dial opens a connection to the incarnation of an endpoint with the given key, by way of another VM
// if this one's link is lost.
func (l *endpointLink) dial(ctx context.Context, key, address string) (upstream.Connection, error) {
	if l.failed() {
		if carriers := l.carriers(key); len(carriers) > 0 {
			return l.dialCarried(ctx, key, carriers)
		}
	}
	c, err := l.dialDirect(ctx, key, address)
	return upstream.Connection{Conn: c}, err
}

// dialDirect opens a connection to an endpoint over this VM's own link.
func (l *endpointLink) dialDirect(ctx context.Context, key, address string) (net.Conn, error) {
	started := l.d.now()
	l.d.count("dials")
	dialCtx, cancel := timeout.Context(ctx, endpointDialTimeout)
	defer cancel()
	c, err := l.d.opts.Dial(dialCtx, "tcp", address)
	switch {
	case err == nil:
		l.recordOpened()
	case ctx.Err() == nil:
		l.d.count("dials_failed")
		l.recordFailed(started, key)
	}
	return c, err
}

func (l *endpointLink) recordOpened() {
	now := l.d.now()
	l.mu.Lock()
	since := l.detector.LostSince()
	change := l.detector.RecordOpened(now)
	l.mu.Unlock()
	if change == reach.Regained {
		l.d.log.Info().Dur("lost_for", now-since).Msg("endpoints_regained")
		l.d.sched.probeSuspected()
	}
}

func (l *endpointLink) recordFailed(started time.Duration, key string) {
	known := l.d.sched.endpointCount()
	now := l.d.now()
	l.mu.Lock()
	reachedAt := l.detector.ReachedAt()
	change := l.detector.RecordFailed(now, started, dispatch.EndpointHash(key), known)
	failures, failingSince := l.detector.Failures(), l.detector.FailingSince()
	l.mu.Unlock()
	if change == reach.Lost {
		l.d.count("endpoint_links_lost")
		l.d.log.Warn().Int("failures", failures).Int("endpoints", known).Dur("reached_ago", now-reachedAt).
			Bool("others_reach", l.d.peers.anyReachesEndpoints()).Msg("endpoints_lost")
		l.d.remoteJobs.handBack()
		l.leave(failingSince)
	}
	select {
	case l.evidence <- struct{}{}:
	default:
	}
}

// leave stops the use of a lost link: connections that nothing was received on since it began to fail
// may hang, and endpoints that could not be reached over it may be reached by way of other VMs.
func (l *endpointLink) leave(failingSince time.Duration) {
	l.d.pool.CloseIdleSince(l.d.start.Add(failingSince))
	l.d.sched.probeSuspected()
}

// lost reports whether this VM reaches no endpoint though others do. What it finds out about
// endpoints then tells something of its link and nothing of them.
func (l *endpointLink) lost() bool {
	return l.failed() && l.d.peers.anyReachesEndpoints()
}

// failed reports whether this VM reaches no endpoint.
func (l *endpointLink) failed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detector.Lost()
}

// run opens the connections that tell a failed endpoint from a lost link, and those that find out
// whether a lost link is back.
func (l *endpointLink) run(ctx context.Context) error {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		wait, ok := l.startDue(ctx)
		if ok {
			t.Reset(wait)
		} else {
			t.Stop()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-l.evidence:
		case <-t.C:
		}
	}
}

// startDue starts the connections that are due, and returns when the next will be.
func (l *endpointLink) startDue(ctx context.Context) (wait time.Duration, ok bool) {
	now := l.d.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if wait, ok = l.detector.NextDue(now); !ok || wait > 0 {
		return wait, ok
	}
	known := l.d.sched.endpoints()
	hashes := make([]uint64, 0, len(known))
	for _, p := range known {
		hashes = append(hashes, dispatch.EndpointHash(p.Key))
	}
	for _, hash := range l.detector.Due(now, hashes, rand.IntN(max(1, len(hashes)))) {
		go l.try(ctx, known[slices.Index(hashes, hash)])
	}
	return l.detector.NextDue(now)
}

// try opens a connection to an endpoint only to learn whether that is possible.
func (l *endpointLink) try(ctx context.Context, p dispatch.Probe) {
	l.d.count("probes")
	c, err := l.dialDirect(ctx, p.Key, p.Address)
	l.d.log.Info().Str("endpoint", p.Key).Str("address", p.Address).Err(err).Msg("link_probed")
	if err == nil {
		_ = c.Close()
	}
}

// anyReachesEndpoints reports whether some other VM that is alive reaches endpoints.
func (p *peers) anyReachesEndpoints() bool {
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pe := range p.byAddress {
		if pe.isAlive(now) && !pe.endpointsLost {
			return true
		}
	}
	return false
}
