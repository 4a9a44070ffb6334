// Package daemon runs the decision core of one VM together with its servers and
// clients. Its goroutines communicate over bounded channels; only the loop
// goroutine accesses the core.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/chivefield/chivefield/claim"
	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/core"
	"github.com/chivefield/chivefield/endpoint"
	"github.com/chivefield/chivefield/logservice"
	"github.com/chivefield/chivefield/sched"
	"github.com/chivefield/chivefield/settings"
)

// Options configure a Daemon.
type Options struct {
	Settings *settings.Settings
	Log      zerolog.Logger
	// Listen and Dial default to those of package net.
	Listen func(addr string) (net.Listener, error)
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Capacities of the channels between goroutines.
const (
	eventBuffer  = 4096
	linkBuffer   = 1024
	appendBuffer = 64
)

const (
	tickInterval       = 10 * time.Millisecond
	digestInterval     = 100 * time.Millisecond
	configPollInterval = 500 * time.Millisecond
	republishInterval  = 10 * time.Minute
	claimRetryInterval = 50 * time.Millisecond
	cellSize           = 8
	recordTTL          = 15 * time.Minute
)

// Daemon is the process of one VM.
type Daemon struct {
	opts        Options
	settings    *settings.Settings
	log         zerolog.Logger
	startTime   time.Time
	incarnation uint64

	events  chan loopInput
	appends chan *appendJob
	links   map[uint32]*link

	rules     atomic.Pointer[config.Rules]
	status    atomic.Pointer[core.Status]
	responses *responseCache
	metrics   metrics.Registry

	lastHandle atomic.Uint64
	mu         sync.Mutex
	requests   map[uint64]*callerRequest
	verdicts   *verdictWaiters

	endpoints *endpoint.Client
	platform  *logservice.Client
	// watchHTTP holds the watches, each on its own connection; exchangeHTTP
	// carries the exchanges between VMs over HTTP/2, whose header compression
	// makes repeated headers cheap.
	watchHTTP    *http.Client
	exchangeHTTP *http.Client

	group *errgroup.Group
	stop  context.CancelFunc
	// done is closed when the daemon's goroutines are to stop.
	done <-chan struct{}
	// drained is closed when the core has no work left.
	drained chan struct{}
	// declaredDead is closed when the peers have declared this process dead.
	declaredDead chan struct{}
}

// New returns a daemon that is ready to run. The incarnation is the start time,
// so a later process at the same address has a higher one.
func New(opts Options) *Daemon {
	if opts.Listen == nil {
		opts.Listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	d := &Daemon{
		opts: opts, settings: opts.Settings, log: opts.Log, startTime: time.Now(), incarnation: uint64(time.Now().UnixNano()),
		events: make(chan loopInput, eventBuffer), appends: make(chan *appendJob, appendBuffer),
		links: make(map[uint32]*link), responses: newResponseCache(), metrics: metrics.NewRegistry(),
		requests: make(map[uint64]*callerRequest), verdicts: newVerdictWaiters(), drained: make(chan struct{}), declaredDead: make(chan struct{}),
	}
	d.endpoints = &endpoint.Client{HTTP: d.newHTTPClient(maxIdlePerEndpoint), ResumeInterval: resumeInterval, MaxResumes: maxResumeAttempts}
	d.platform = &logservice.Client{BaseURL: "http://" + d.settings.Platform.Address, HTTP: d.newHTTPClient(maxIdlePerPeer)}
	d.watchHTTP = d.newCountingHTTPClient()
	d.exchangeHTTP = d.newCountingHTTPClient()
	var h2 http.Protocols
	h2.SetUnencryptedHTTP2(true)
	h2.SetHTTP2(true)
	d.exchangeHTTP.Transport.(*http.Transport).Protocols = &h2
	d.status.Store(&core.Status{Why: "starting"})
	for _, p := range d.settings.Peers {
		d.links[p.Id] = newLink(p)
	}
	return d
}

const (
	dialTimeout        = 500 * time.Millisecond
	maxIdlePerEndpoint = 64
	maxIdlePerPeer     = 4
	// maxResponseHeadBytes bounds the head of a response of an endpoint, another VM or the platform.
	maxResponseHeadBytes = 64 << 10
	resumeInterval       = 50 * time.Millisecond
	maxResumeAttempts    = 20
)

func (d *Daemon) newHTTPClient(idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: d.opts.Dial, MaxIdleConnsPerHost: idle, IdleConnTimeout: time.Minute, DisableCompression: true,
		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}}
}

// newCountingHTTPClient returns a client whose bytes are counted as traffic
// between VMs.
func (d *Daemon) newCountingHTTPClient() *http.Client {
	c := d.newHTTPClient(maxIdlePerPeer)
	c.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.opts.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return d.countTraffic(conn), nil
	}
	return c
}

// coreConfig derives the core's configuration from the settings.
func (d *Daemon) coreConfig() core.Config {
	vms := []claim.VM{{ID: d.settings.Vm.Id, Domain: d.settings.Vm.FailureDomain}}
	for _, p := range d.settings.Peers {
		vms = append(vms, claim.VM{ID: p.Id, Domain: p.FailureDomain})
	}
	return core.Config{
		Claim: claim.Config{
			Self: vms[0], Incarnation: d.incarnation, VMs: vms, CellSize: cellSize,
			Lease: d.settings.Lease, Retry: claimRetryInterval, Timeout: d.settings.ClaimTimeout,
			TTL: recordTTL, MaxRecords: int(d.settings.Claims.MaxRecords),
		},
		Sched:          sched.Config{MaxQueued: int(d.settings.Limits.MaxQueuedRequests)},
		DigestInterval: digestInterval, ConfigPollInterval: configPollInterval, RepublishInterval: republishInterval,
	}
}

// Run serves until ctx is done and the graceful shutdown is complete. The peer
// listener stays open until the process exits: closing it earlier would be
// taken for the death of the process.
func (d *Daemon) Run(ctx context.Context) error {
	peers, err := d.listen(d.settings.Listen.Peers)
	if err != nil {
		return err
	}
	callers, err := d.listen(d.settings.Listen.Callers)
	if err != nil {
		return err
	}
	operators, err := d.listen(d.settings.Listen.Operators)
	if err != nil {
		return err
	}
	tlsConfig, err := d.peerTLSConfig()
	if err != nil {
		return err
	}
	// A transport modifies its TLS configuration, so each gets its own copy.
	d.watchHTTP.Transport.(*http.Transport).TLSClientConfig = tlsConfig.Clone()
	d.exchangeHTTP.Transport.(*http.Transport).TLSClientConfig = tlsConfig.Clone()
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	d.stop = stop
	defer stop()
	d.group, workCtx = errgroup.WithContext(workCtx)
	d.done = workCtx.Done()
	callerServer := d.serve(workCtx, callers, d.callerHandler())
	d.serve(workCtx, operators, d.operatorHandler())
	d.servePeers(peers)
	d.group.Go(func() error { return d.loop(workCtx) })
	d.group.Go(func() error { return d.tick(workCtx) })
	d.startPeers(workCtx)
	d.startPlatform(workCtx)
	d.group.Go(func() error { return d.pollEngines(workCtx) })
	d.group.Go(func() error { return d.shutdown(ctx, workCtx, callerServer) })
	d.log.Info().Uint32("vm", d.settings.Vm.Id).Str("failure_domain", d.settings.Vm.FailureDomain).
		Str("callers", d.settings.Listen.Callers).Uint64("incarnation", d.incarnation).Msg("started")
	err = d.group.Wait()
	d.log.Info().Uint32("vm", d.settings.Vm.Id).Msg("stopped")
	return err
}

// now returns the time since the daemon started, which is the core's clock.
func (d *Daemon) now() time.Duration { return time.Since(d.startTime) }

func (d *Daemon) tick(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			d.push(ctx, core.Tick{})
		}
	}
}

// shutdown waits for the signal, for the end of an operator's drain or for the
// peers to declare this process dead. It then drains the core and stops the
// daemon's goroutines. The shutdown bound limits the drain; outcomes reported
// to callers are truthful in that case too.
func (d *Daemon) shutdown(signalCtx, workCtx context.Context, callers *http.Server) error {
	select {
	case <-workCtx.Done():
		return nil
	case <-signalCtx.Done():
	case <-d.declaredDead:
	case <-d.drained:
	}
	d.log.Info().Msg("draining")
	d.push(workCtx, core.Drain{})
	select {
	case <-d.drained:
		d.log.Info().Msg("drained")
	case <-time.After(d.settings.ShutdownBound):
		d.log.Warn().Msg("drain_bound_reached")
	case <-workCtx.Done():
	}
	bound, cancel := context.WithTimeout(workCtx, flushTimeout)
	defer cancel()
	_ = callers.Shutdown(bound)
	d.stop()
	select {
	case <-d.declaredDead:
		return &FencedError{VM: d.settings.Vm.Id}
	default:
		return nil
	}
}

// flushTimeout is how long complete responses may take to reach callers.
const flushTimeout = 10 * time.Second
