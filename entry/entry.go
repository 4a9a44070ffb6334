// Package entry is the daemon of one entry VM on a platform whose balancer
// brings callers, whose registry lists endpoints and whose store holds the
// operator's configuration. Decisions are the pure packages' below core; here
// are connections, goroutines and the order in which things happen.
//
// Each request has an id of its own and arrives at one VM on one connection, so
// VMs agree on nothing before a dispatch. They share their loads, what is left
// of allowances, and what one of them read from the store.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/settings"
	"github.com/chivefield/chivefield/upstream"

	"github.com/chivefield/chivefield/core/mechanism"
)

// Options are what a daemon takes from outside.
type Options struct {
	Settings *settings.Entry
	Log      zerolog.Logger
	Codec    Codec
	Store    Store
	// Reload reads the settings anew; nil if they never change.
	Reload func() (*settings.Entry, error)
	// Hangup delivers requests to read the settings anew.
	Hangup <-chan struct{}
	// Listen, ListenPacket and Dial default to the net package's.
	Listen       func(addr string) (net.Listener, error)
	ListenPacket func(addr string) (net.PacketConn, error)
	Dial         func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Daemon is one VM's process.
type Daemon struct {
	opts  Options
	set   *settings.Entry
	log   zerolog.Logger
	codec Codec
	start time.Time

	table atomic.Pointer[routing.Table]
	// takeMu orders the taking in of configurations; configRecord is the store's
	// record of the one in force.
	takeMu       sync.Mutex
	configRecord atomic.Pointer[Record]
	// endpointsKnown is set once the registry was read.
	endpointsKnown atomic.Bool
	// informed is closed once configuration and endpoints are known.
	informed     chan struct{}
	informedOnce sync.Once
	// registryLostAt is when this VM last failed to read the registry, 0 if it did not
	// or could read it since.
	registryLostAt atomic.Int64
	registry       registryCache
	// unreadable are the entries of the registry that could not be understood, with
	// their faults. Only the goroutine that follows the registry uses it.
	unreadable map[string]string
	// claimed says that this process may take what is kept for restarts, apart that its
	// predecessor started long ago or there was none. Only the goroutine that announces it uses
	// them.
	claimed, apart bool

	draining atomic.Bool
	active   atomic.Int64
	// lastHandle starts at random: handles are unique over all VMs.
	lastHandle atomic.Uint64

	sched      *scheduling
	placing    *placing
	remoteJobs *remoteJobs
	suspects   *suspects
	notices    *notices
	rollouts   *rollouts
	eras       *eraTracker
	// startedAt is when the process started, by the VM's clock.
	startedAt time.Time
	shares    *sharedAllowances
	retries   *retries
	pool      *upstream.Pool
	idle      *idleLimit
	bodies    *memoryBudget
	metrics   metrics.Registry
	peers     *peers
}

const (
	// maxIdlePerEndpoint bounds kept connections; an endpoint's own bound is
	// shared by all VMs.
	maxIdlePerEndpoint = 16
	sweepEvery         = time.Second
	// headerTimeout bounds the reading of a request's head. Callers stay within
	// what the operator sets, which is less.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes guards memory; the operator's own limit is checked after.
	maxHeaderBytes = 64 << 10
	// bodyShare is the part of the memory limit that bodies may take together.
	bodyShare = 0.2
)

// New prepares a daemon.
func New(opts Options) *Daemon {
	if opts.Listen == nil {
		opts.Listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	if opts.ListenPacket == nil {
		opts.ListenPacket = func(addr string) (net.PacketConn, error) { return net.ListenPacket("udp4", addr) }
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: false}}).DialContext
	}
	d := &Daemon{
		opts: opts, set: opts.Settings, log: opts.Log, codec: opts.Codec, start: time.Now(),
		metrics: metrics.NewRegistry(), eras: newEraTracker(), startedAt: time.Now(), idle: newIdleLimit(), unreadable: make(map[string]string), informed: make(chan struct{}),
	}
	d.pool = upstream.NewPool(opts.Dial, maxIdlePerEndpoint)
	d.bodies = newMemoryBudget(int64(float64(d.set.Limits.MemoryMb) * bodyShare * (1 << 20)))
	d.sched = newScheduling(d.set.Vm.Name, d.set.Vm.FailureDomain, d.set.Off, d.now)
	d.sched.probe, d.sched.noteEjection, d.sched.countImpossible = d.probe, d.noteEjection, d.countImpossible
	d.lastHandle.Store(rand.Uint64())
	d.placing, d.remoteJobs = newPlacing(d), newRemoteJobs(d)
	d.sched.remote = d.remoteJobs.decided
	d.suspects, d.notices = newSuspects(d), newNotices(d)
	d.rollouts = newRollouts(d)
	d.sched.usable = d.rollouts.usableEndpoints
	d.sched.departed = d.suspects.recordDepartures
	d.sched.follow(d.set.Listen.Peers, false)
	d.shares, d.retries = newSharedAllowances(d.set, d.now), newRetries(d)
	d.peers = newPeers(d)
	return d
}

// now is the time since the start of the process, by the monotonic clock.
func (d *Daemon) now() time.Duration { return time.Since(d.start) }

// Run serves until ctx ends and the graceful shutdown is over.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := d.opts.Listen(d.set.Listen.Callers)
	if err != nil {
		return err
	}
	ready, err := d.opts.Listen(d.set.Listen.Ready)
	if err != nil {
		return err
	}
	var operators net.Listener
	if d.set.Listen.Metrics != "" {
		if operators, err = d.opts.Listen(d.set.Listen.Metrics); err != nil {
			return err
		}
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	front := &http.Server{
		Handler: http.HandlerFunc(d.serveCaller), ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: d.idle.connState, ErrorLog: nil,
	}
	d.serve(group, work, front, callers)
	d.serve(group, work, &http.Server{Handler: http.HandlerFunc(d.serveReady), ReadHeaderTimeout: headerTimeout}, ready)
	if operators != nil {
		d.serve(group, work, &http.Server{Handler: http.HandlerFunc(d.serveMetrics), ReadHeaderTimeout: headerTimeout}, operators)
	}
	if err := d.peers.listen(); err != nil {
		return err
	}
	relays, err := d.opts.Listen(d.set.Listen.Peers)
	if err != nil {
		return err
	}
	d.serve(group, work, &http.Server{Handler: d.peers.relayHandler(), ReadHeaderTimeout: headerTimeout}, relays)
	group.Go(func() error { return d.peers.receiveNotes(work) })
	group.Go(func() error { return d.peers.sendNotes(work) })
	group.Go(func() error { return d.followConfig(work) })
	group.Go(func() error { return d.fetchConfigs(work) })
	group.Go(func() error { return d.followEndpoints(work) })
	group.Go(func() error { return d.followVMs(work) })
	group.Go(func() error { return d.suspects.processStoreQueue(work) })
	group.Go(func() error { return d.rollouts.processStatusQueue(work) })
	group.Go(func() error { return d.rollouts.announceChanges(work) })
	group.Go(func() error { return d.retries.keep(work) })
	group.Go(func() error { return d.sched.tick(work) })
	group.Go(func() error { return d.sweep(work) })
	group.Go(func() error { return d.reload(work) })
	group.Go(func() error { return d.shutdown(ctx, work, front, stop) })
	d.log.Info().Str("failure_domain", d.set.Vm.FailureDomain).
		Bool("first_start", d.set.Vm.FirstStart).Stringer("switched_off", d.set.Off).Msg("started")
	err = group.Wait()
	d.log.Info().Err(err).Msg("stopped")
	return err
}

// serve runs a server until the process's duties end.
func (d *Daemon) serve(group *errgroup.Group, work context.Context, s *http.Server, l net.Listener) {
	group.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-work.Done()
		return s.Close()
	})
}

// serveReady answers the balancer.
func (d *Daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != d.codec.ReadyPath() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !d.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready says whether requests can be served here. An outage of the store does
// not change that: what was known stays in force.
func (d *Daemon) ready() bool {
	return !d.draining.Load() && d.knowsAll()
}

// informedWithin is up to what uptime a request waits until configuration and endpoints
// are known. Both are read soon after a start; callers that are turned away meanwhile return
// too late for their objective.
const informedWithin = 500 * time.Millisecond

// knowsAll says whether configuration and endpoints are known.
func (d *Daemon) knowsAll() bool { return d.table.Load() != nil && d.endpointsKnown.Load() }

// noteInformed lets requests go on that wait for what a process must know.
func (d *Daemon) noteInformed() {
	if d.knowsAll() && d.rollouts.allPhasesKnown() {
		d.informedOnce.Do(func() { close(d.informed) })
	}
}

// awaitInformed waits in the first moments of a process until it can serve, but not beyond
// ctx.
func (d *Daemon) awaitInformed(ctx context.Context) {
	select {
	case <-d.informed:
		return
	default:
	}
	left := informedWithin - d.now()
	if left <= 0 || d.set.Off.Has(mechanism.StartWait) {
		return
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-d.informed:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	writeMetrics(w, d.metrics)
}

// probe sees whether an endpoint can be reached. The connection is kept for the
// next request.
func (d *Daemon) probe(p dispatch.Probe) {
	err := d.openTo(p)
	d.log.Info().Str("endpoint", p.Key).Str("address", p.Address).Err(err).Msg("endpoint_probed")
	d.sched.probeEnded(p.Key, err == nil)
}

// openTo opens a connection to an endpoint and keeps it for the next request.
func (d *Daemon) openTo(p dispatch.Probe) error {
	d.count("probes")
	return d.pool.Preconnect(p.Key, p.Address)
}

// countImpossible counts quantities that callers or other VMs told and that cannot be.
func (d *Daemon) countImpossible(n int) {
	if n > 0 {
		d.countMany("impossible_quantities", n)
	}
}

// noteEjection logs which endpoint gets requests on trial only, and why.
func (d *Daemon) noteEjection(c dispatch.EjectionChange) {
	event := "endpoint_taken_back"
	if c.Ejected {
		event = "endpoint_ejected"
		d.count("ejections")
	}
	d.log.Info().Str("endpoint", c.Endpoint).Bool("told", c.ByPeer).Int("failures_in_a_row", c.Failures).Dur("pause", c.TrialDelay).Msg(event)
}

func (d *Daemon) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			d.pool.CloseExpired()
			d.suspects.expire()
			d.notices.evict()
		}
	}
}

const (
	// refusalSeen is how long after SIGTERM new connections may still come: the
	// balancer asks once a second and acts on the second refusal.
	refusalSeen = 2600 * time.Millisecond
	// graceMargin is left of the time until SIGKILL.
	graceMargin = 500 * time.Millisecond
)

// shutdown waits for the signal and refuses readiness. Until the balancer has
// seen that, callers still come and are served; every answer closes its
// connection. Then idle connections are closed too: a caller that keeps one open
// could send a request so late that it would be cut at the end of the grace time.
// What runs goes on to its end.
func (d *Daemon) shutdown(signal, work context.Context, front *http.Server, stop context.CancelFunc) error {
	select {
	case <-work.Done():
		return nil
	case <-signal.Done():
	}
	since := time.Now()
	d.draining.Store(true)
	d.log.Info().Int64("active", d.active.Load()).Msg("draining")
	seen := time.NewTimer(refusalSeen)
	defer seen.Stop()
	select {
	case <-work.Done():
		return nil
	case <-seen.C:
	}
	end, cancel := context.WithTimeout(work, d.set.Grace-graceMargin-time.Since(since))
	defer cancel()
	if err := front.Shutdown(end); err != nil {
		d.log.Warn().Err(err).Int64("active", d.active.Load()).Msg("drain_bound_reached")
	}
	stop()
	return nil
}

// reload reads the settings anew on request. Only what may change while the
// process runs is taken over, which is the requests that are released and the services that are
// not moved; addresses stay.
func (d *Daemon) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.opts.Hangup:
		}
		if d.opts.Reload == nil {
			continue
		}
		set, err := d.opts.Reload()
		if err != nil {
			d.log.Error().Err(err).Msg("settings_refused")
			continue
		}
		d.suspects.setReleased(set.Released)
		d.rollouts.setHeld(set.Rollouts.Held)
		d.log.Info().Msg("settings_reloaded")
	}
}
