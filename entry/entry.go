// Package entry is the daemon of an entry VM. It runs on a platform whose load balancer sends
// callers to the VMs, whose registry lists the endpoints and whose store holds the operator's
// configuration. Decisions are made by the pure packages under core; this package contains the
// connections, the goroutines and the order of operations.
//
// Each request has a unique ID and arrives at one VM on one connection, so VMs need no agreement
// before a dispatch. They share their loads, the remaining allowances, and what one of them read
// from the store.
package entry

import (
	"context"
	"errors"
	"math"
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
	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/entry/callerconn"
	"github.com/chivefield/chivefield/entry/oversize"
	"github.com/chivefield/chivefield/entry/poison"
	"github.com/chivefield/chivefield/settings"
	"github.com/chivefield/chivefield/upstream"
)

// Options are the dependencies of a daemon.
type Options struct {
	Settings *settings.Entry
	Log      zerolog.Logger
	Codec    Codec
	Store    Store
	// Reload reads the settings again; nil if they never change.
	Reload func() (*settings.Entry, error)
	// Hangup delivers requests to reload the settings.
	Hangup <-chan struct{}
	// Listen, ListenPacket and Dial default to those of package net.
	Listen       func(addr string) (net.Listener, error)
	ListenPacket func(addr string) (net.PacketConn, error)
	Dial         func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Daemon is the process of one VM.
type Daemon struct {
	opts     Options
	settings *settings.Entry
	log      zerolog.Logger
	codec    Codec
	start    time.Time

	table atomic.Pointer[routing.Table]
	// configMu serialises the loading of configurations.
	configMu      sync.Mutex
	configFetcher *configFetcher
	configSource  *configSource
	// endpointsLoaded is set once the registry was read.
	endpointsLoaded atomic.Bool
	// initialised is closed once configuration, endpoints and the states of rollouts are loaded.
	initialised     chan struct{}
	initialisedOnce sync.Once
	// registryLostAt is when this VM last failed to read the registry; 0 if it never failed or
	// has succeeded since.
	registryLostAt atomic.Int64
	// standstill tells the time that passes for others.
	standstill *standstill
	// registryConfirmedAt is when this VM's copy of the registry was last known to be up to date, by a
	// read of its own or a relay, by standstill.elapsed; 0 for never.
	registryConfirmedAt atomic.Int64
	// registryRegainedAt is when this VM last read the registry after it had failed to; 0 for never.
	registryRegainedAt atomic.Int64
	registry           registryCache
	// startList receives the addresses of the VMs of this failure domain at the start.
	startList chan []string
	// invalidEntries holds the registry entries that cannot be decoded, with their errors. It is
	// used only by the goroutine that follows the registry.
	invalidEntries map[string]string
	// restartClaimed is set if this process may claim the restart allowance, noRecentPredecessor
	// if the previous process of this VM started long ago or there was none. They are used only
	// by the goroutine that announces this VM.
	restartClaimed, noRecentPredecessor bool

	draining atomic.Bool
	stopping *shutdown
	active   atomic.Int64
	// lastHandle starts at a random value: handles are unique across all VMs.
	lastHandle atomic.Uint64

	sched      *sharedScheduler
	placement  *placement
	remoteJobs *remoteJobs
	poison     *poison.Guard
	notices    *notices
	rollouts   *rollouts
	resumption *resumption
	eras       *eraTracker
	departures *departureChecker
	// startedAt is when the process started, by the VM's wall clock.
	startedAt    time.Time
	shares       *sharedAllowances
	retryBudgets *retryBudgets
	pool         *upstream.Pool
	link         *endpointLink
	carrier      *carrier
	callerConns  *callerconn.Pool
	bodyMemory   *bodyMemory
	// responseMemory is for responses that are read before they are forwarded.
	responseMemory *memoryBudget
	// longResponses tells long responses from endless ones.
	longResponses *oversize.History
	metrics       metrics.Registry
	peers         *peers

	// shareReport shows how organisations compete for services.
	shareReport *shareReport
}

const (
	// maxIdlePerEndpoint limits idle connections; an endpoint's own connection limit is shared by
	// all VMs.
	maxIdlePerEndpoint = 16
	sweepInterval      = time.Second
	// headerTimeout limits the time to read the headers of a request of the load balancer or another VM.
	headerTimeout = 10 * time.Second
	// headMemoryShare is the share of the memory limit that the heads of all callers' requests together may use.
	headMemoryShare = 0.1
	// bodyMemoryShare is the share of the memory limit that all request bodies together may use.
	bodyMemoryShare = 0.2
)

// New returns a daemon that is not running yet.
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
		opts: opts, settings: opts.Settings, log: opts.Log, codec: opts.Codec, start: time.Now(),
		metrics: metrics.NewRegistry(), eras: newEraTracker(), startedAt: time.Now(), invalidEntries: make(map[string]string), initialised: make(chan struct{}), startList: make(chan []string, 1),
	}
	d.link, d.carrier = newEndpointLink(d), &carrier{d: d}
	d.stopping = newShutdown(d)
	d.standstill = newStandstill(d.now, suspendedTime)
	d.pool = upstream.NewPool(d.link.dial, maxIdlePerEndpoint)
	d.pool.UseCarried = d.link.failed
	limits := d.settings.Limits
	headMemory := callerconn.NewHeadMemory(int64(float64(limits.MemoryMb) * headMemoryShare * (1 << 20)))
	d.callerConns = callerconn.NewPool(callerconn.MaxConns(int64(limits.MemoryMb)<<20, int(limits.MaxDescriptors)), headMemory, d.log, d.count)
	d.bodyMemory = newBodyMemory(int64(float64(d.settings.Limits.MemoryMb) * bodyMemoryShare * (1 << 20)))
	d.responseMemory = newMemoryBudget(int64(float64(d.settings.Limits.MemoryMb) * responseMemoryShare * (1 << 20)))
	d.longResponses = oversize.NewHistory()
	d.sched = newSharedScheduler(d.settings.Vm.Name, d.settings.Vm.FailureDomain, d.settings.Inactive(), d.now)
	d.sched.probe, d.sched.logEjection, d.sched.countInvalid, d.sched.countReturns = d.probe, d.logEjection, d.countInvalid, d.countReturns
	d.sched.logLimits = d.logLimits
	d.lastHandle.Store(rand.Uint64())
	d.placement, d.remoteJobs = newPlacement(d), newRemoteJobs(d)
	d.shareReport = newShareReport(d)
	d.sched.deliverRemote = d.remoteJobs.deliver
	d.poison, d.notices = newPoisonGuard(d), newNotices(d)
	d.rollouts, d.resumption = newRollouts(d), newResumption(d)
	d.sched.filterUsable = d.rollouts.usableEndpoints
	d.sched.onDepartures = func(list []members.Departure) {
		d.poison.RecordDepartures(list)
		d.logDepartures(list)
	}
	d.sched.setPlacer(d.settings.Listen.Peers, false)
	d.peers = newPeers(d)
	d.departures = newDepartureChecker(d)
	d.configFetcher, d.configSource = newConfigFetcher(d), newConfigSource(d)
	d.shares, d.retryBudgets = newSharedAllowances(d.settings, d.peers.incarnation, d.now), newRetryBudgets(d)
	return d
}

// now returns the time since the start of the process, by the monotonic clock.
func (d *Daemon) now() time.Duration { return time.Since(d.start) }

// Run serves until ctx ends and the graceful shutdown is complete.
func (d *Daemon) Run(ctx context.Context) error {
	callersListener, err := d.opts.Listen(d.settings.Listen.Callers)
	if err != nil {
		return err
	}
	readyListener, err := d.opts.Listen(d.settings.Listen.Ready)
	if err != nil {
		return err
	}
	var metricsListener net.Listener
	if d.settings.Listen.Metrics != "" {
		if metricsListener, err = d.opts.Listen(d.settings.Listen.Metrics); err != nil {
			return err
		}
	}
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, workCtx := errgroup.WithContext(workCtx)
	callersServer := &http.Server{
		Handler: http.HandlerFunc(d.serveCaller), ConnState: d.callerConns.ConnState, ConnContext: callerconn.NewContext, ErrorLog: nil,
		// The connections themselves limit the size of a head, and the time that it takes.
		MaxHeaderBytes: math.MaxInt32,
	}
	d.serve(group, workCtx, callersServer, d.callerConns.Listen(callersListener))
	d.serve(group, workCtx, &http.Server{Handler: http.HandlerFunc(d.serveReady), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxPeerHeadBytes}, readyListener)
	if metricsListener != nil {
		d.serve(group, workCtx, &http.Server{Handler: http.HandlerFunc(d.serveMetrics), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxPeerHeadBytes}, metricsListener)
	}
	if err := d.peers.listen(); err != nil {
		return err
	}
	relayListener, err := d.opts.Listen(d.settings.Listen.Peers)
	if err != nil {
		return err
	}
	d.serve(group, workCtx, &http.Server{
		Handler: d.peerHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxPeerHeadBytes, BaseContext: func(net.Listener) context.Context { return workCtx },
	}, relayListener)
	group.Go(func() error { return d.peers.receiveNotes(workCtx) })
	group.Go(func() error { return d.peers.sendNotes(workCtx) })
	group.Go(func() error { return d.followConfig(workCtx) })
	group.Go(func() error { return d.configFetcher.run(workCtx) })
	group.Go(func() error { return d.followEndpoints(workCtx) })
	group.Go(func() error { return d.departures.run(workCtx) })
	group.Go(func() error { return d.followVMs(workCtx) })
	group.Go(func() error { return d.storeConvictions(workCtx) })
	group.Go(func() error { return d.rollouts.processStatusQueue(workCtx) })
	group.Go(func() error { return d.resumption.processMarkQueue(workCtx) })
	group.Go(func() error { return d.resumption.checkMarks(workCtx) })
	group.Go(func() error { return d.resumption.storeStreams(workCtx) })
	group.Go(func() error { return d.rollouts.announceChanges(workCtx) })
	group.Go(func() error { return d.retryBudgets.logPeriodically(workCtx) })
	group.Go(func() error { return d.sched.run(workCtx) })
	group.Go(func() error { return d.sweep(workCtx) })
	group.Go(func() error { return d.link.run(workCtx) })
	group.Go(func() error { return d.reload(workCtx) })
	group.Go(func() error { return d.stopping.run(ctx, workCtx, callersServer, stop) })
	d.log.Info().Str("failure_domain", d.settings.Vm.FailureDomain).
		Bool("first_start", d.settings.Vm.FirstStart).Stringer("switched_off", d.settings.Disabled).Msg("started")
	err = group.Wait()
	d.log.Info().Err(err).Msg("stopped")
	return err
}

// serve runs a server until workCtx ends.
func (d *Daemon) serve(group *errgroup.Group, workCtx context.Context, s *http.Server, l net.Listener) {
	// Otherwise net/http answers "OPTIONS *" with status 200, which no endpoint has sent.
	s.DisableGeneralOptionsHandler = true
	group.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-workCtx.Done()
		return s.Close()
	})
}

// peerHandler serves other VMs.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", http.MaxBytesHandler(d.peers.relayHandler(), maxPeerRequestBytes))
	mux.Handle(carryPath, d.carrier)
	return mux
}

// serveReady handles the load balancer's readiness checks.
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

// ready reports whether this VM can serve requests. An outage of the store does not change that:
// the last known state stays in use.
func (d *Daemon) ready() bool {
	return !d.draining.Load() && d.hasInitialState() && !d.configFetcher.overdue()
}

// initialisationWait is the uptime until which requests wait for configuration and endpoints to
// be loaded. Both are read soon after the start; callers that were refused in the meantime would
// retry too late for their objective.
const initialisationWait = 500 * time.Millisecond

// hasInitialState reports whether configuration and endpoints are loaded.
func (d *Daemon) hasInitialState() bool { return d.table.Load() != nil && d.endpointsLoaded.Load() }

// markInitialised releases the requests that wait for initialisation, once all required state is
// loaded.
func (d *Daemon) markInitialised() {
	if d.hasInitialState() && d.rollouts.allPhasesKnown() {
		d.initialisedOnce.Do(func() { close(d.initialised) })
	}
}

// awaitInitialised waits shortly after the start until the process can serve, or until ctx ends.
func (d *Daemon) awaitInitialised(ctx context.Context) {
	select {
	case <-d.initialised:
		return
	default:
	}
	remaining := initialisationWait - d.now()
	if remaining <= 0 || d.settings.Disabled.Has(mechanism.StartWait) {
		return
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-d.initialised:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	writeMetrics(w, d.metrics)
}

// probe checks whether an endpoint can be reached. The connection is kept for the next request.
func (d *Daemon) probe(p dispatch.Probe) {
	err := d.openConnection(p)
	d.log.Info().Str("endpoint", p.Key).Str("address", p.Address).Err(err).Msg("endpoint_probed")
	d.sched.recordProbe(p.Key, err == nil)
}

// openConnection opens a connection to an endpoint and keeps it for the next request.
func (d *Daemon) openConnection(p dispatch.Probe) error {
	d.count("probes")
	return d.pool.Preconnect(p.Key, p.Address)
}

// countInvalid counts out-of-range values received from callers or other VMs.
func (d *Daemon) countInvalid(n int) {
	if n > 0 {
		d.countMany("impossible_quantities", n)
	}
}

// logEjection logs that an endpoint was ejected and why, or that it was readmitted.
func (d *Daemon) logEjection(c dispatch.EjectionChange) {
	event := "endpoint_taken_back"
	if c.Ejected {
		event = "endpoint_ejected"
		d.count("ejections")
	}
	d.log.Info().Str("endpoint", c.Endpoint).Bool("told", c.ByPeer).Int("failures_in_a_row", c.Failures).Dur("pause", c.TrialDelay).Msg(event)
}

func (d *Daemon) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			d.pool.CloseExpired()
			d.poison.Expire()
			d.notices.evict()
		}
	}
}

// reload reads the settings again on request. Only what may change at run time is applied: the
// released requests and the services whose rollout is held. Addresses do not change.
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
		d.poison.SetReleased(set.Released)
		d.rollouts.setHeld(set.Rollouts.Held)
		d.log.Info().Msg("settings_reloaded")
	}
}
