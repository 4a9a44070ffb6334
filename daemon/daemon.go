// Package daemon runs the decision core of one VM: a goroutine for each duty,
// joined by bounded channels. Only the loop goroutine touches the core.
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

// Options are what a daemon takes from outside.
type Options struct {
	Settings *settings.Settings
	Log      zerolog.Logger
	// Listen and Dial default to the net package's.
	Listen func(addr string) (net.Listener, error)
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Sizes of the channels that join the duties.
const (
	eventBuffer  = 4096
	linkBuffer   = 1024
	appendBuffer = 64
)

const (
	tickEvery   = 10 * time.Millisecond
	digestEvery = 100 * time.Millisecond
	configEvery = 500 * time.Millisecond
	carryEvery  = 10 * time.Minute
	claimRetry  = 50 * time.Millisecond
	cellSize    = 8
	recordTTL   = 15 * time.Minute
)

// Daemon is one VM's process.
type Daemon struct {
	opts  Options
	set   *settings.Settings
	log   zerolog.Logger
	start time.Time
	inc   uint64

	events  chan item
	appends chan *appendJob
	links   map[uint32]*link

	rules   atomic.Pointer[config.Rules]
	status  atomic.Pointer[core.Status]
	answers *answers
	metrics metrics.Registry

	lastHandle atomic.Uint64
	mu         sync.Mutex
	calls      map[uint64]*callerCall
	judged     *verdicts

	endpoints *endpoint.Client
	platform  *logservice.Client
	// peerHTTP holds the watches, each on a connection of its own; exchangeHTTP
	// carries the calls over HTTP/2, whose headers cost little when repeated.
	peerHTTP     *http.Client
	exchangeHTTP *http.Client

	group *errgroup.Group
	stop  context.CancelFunc
	// done is closed when the process's duties end.
	done <-chan struct{}
	// drained is closed when the core has nothing left to do.
	drained chan struct{}
	// expelled is closed when the peers took this process for dead.
	expelled chan struct{}
}

// New prepares a daemon. The incarnation is the time of start, so a later
// process at the same address has a higher one.
func New(opts Options) *Daemon {
	if opts.Listen == nil {
		opts.Listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	d := &Daemon{
		opts: opts, set: opts.Settings, log: opts.Log, start: time.Now(), inc: uint64(time.Now().UnixNano()),
		events: make(chan item, eventBuffer), appends: make(chan *appendJob, appendBuffer),
		links: make(map[uint32]*link), answers: newAnswers(), metrics: metrics.NewRegistry(),
		calls: make(map[uint64]*callerCall), judged: newVerdicts(), drained: make(chan struct{}), expelled: make(chan struct{}),
	}
	d.endpoints = &endpoint.Client{HTTP: d.client(maxIdlePerEndpoint), ResumeEvery: resumeEvery, ResumeTries: resumeTries}
	d.platform = &logservice.Client{BaseURL: "http://" + d.set.Platform.Address, HTTP: d.client(maxIdlePerPeer)}
	d.peerHTTP = d.countedClient()
	d.exchangeHTTP = d.countedClient()
	var h2 http.Protocols
	h2.SetUnencryptedHTTP2(true)
	h2.SetHTTP2(true)
	d.exchangeHTTP.Transport.(*http.Transport).Protocols = &h2
	d.status.Store(&core.Status{Why: "starting"})
	for _, p := range d.set.Peers {
		d.links[p.Id] = newLink(p)
	}
	return d
}

const (
	dialTimeout        = 500 * time.Millisecond
	maxIdlePerEndpoint = 64
	maxIdlePerPeer     = 4
	resumeEvery        = 50 * time.Millisecond
	resumeTries        = 20
)

func (d *Daemon) client(idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: d.opts.Dial, MaxIdleConnsPerHost: idle, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}
}

// countedClient is a client whose bytes count as traffic between VMs.
func (d *Daemon) countedClient() *http.Client {
	c := d.client(maxIdlePerPeer)
	c.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.opts.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return d.counted(conn), nil
	}
	return c
}

// coreConfig turns settings into the core's configuration.
func (d *Daemon) coreConfig() core.Config {
	vms := []claim.VM{{ID: d.set.Vm.Id, Domain: d.set.Vm.FailureDomain}}
	for _, p := range d.set.Peers {
		vms = append(vms, claim.VM{ID: p.Id, Domain: p.FailureDomain})
	}
	return core.Config{
		Claim: claim.Config{
			Self: vms[0], Incarnation: d.inc, VMs: vms, CellSize: cellSize,
			Lease: d.set.Lease, Retry: claimRetry, Timeout: d.set.ClaimTimeout,
			TTL: recordTTL, MaxRecords: int(d.set.Claims.MaxRecords),
		},
		Sched:       sched.Config{MaxQueued: int(d.set.Limits.MaxQueuedRequests)},
		DigestEvery: digestEvery, ConfigEvery: configEvery, CarryEvery: carryEvery,
	}
}

// Run serves until ctx ends and the graceful shutdown is over. The listeners
// for peers stay open to the very end of the process: closing them while alive
// would be taken for its death.
func (d *Daemon) Run(ctx context.Context) error {
	peers, err := d.listen(d.set.Listen.Peers)
	if err != nil {
		return err
	}
	callers, err := d.listen(d.set.Listen.Callers)
	if err != nil {
		return err
	}
	operators, err := d.listen(d.set.Listen.Operators)
	if err != nil {
		return err
	}
	trust, err := d.peerTLS()
	if err != nil {
		return err
	}
	// Each transport writes into its configuration, so each has its own.
	d.peerHTTP.Transport.(*http.Transport).TLSClientConfig = trust.Clone()
	d.exchangeHTTP.Transport.(*http.Transport).TLSClientConfig = trust.Clone()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	d.stop = stop
	defer stop()
	d.group, work = errgroup.WithContext(work)
	d.done = work.Done()
	callerServer := d.serve(work, callers, d.callerHandler())
	d.serve(work, operators, d.operatorHandler())
	d.servePeers(peers)
	d.group.Go(func() error { return d.loop(work) })
	d.group.Go(func() error { return d.tick(work) })
	d.startPeers(work)
	d.startPlatform(work)
	d.group.Go(func() error { return d.reports(work) })
	d.group.Go(func() error { return d.shutdown(ctx, work, callerServer) })
	d.log.Info().Uint32("vm", d.set.Vm.Id).Str("failure_domain", d.set.Vm.FailureDomain).
		Str("callers", d.set.Listen.Callers).Uint64("incarnation", d.inc).Msg("started")
	err = d.group.Wait()
	d.log.Info().Uint32("vm", d.set.Vm.Id).Msg("stopped")
	return err
}

// now is the core's time.
func (d *Daemon) now() time.Duration { return time.Since(d.start) }

func (d *Daemon) tick(ctx context.Context) error {
	t := time.NewTicker(tickEvery)
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

// shutdown waits for the signal, for the end of an operator's drain, or for the
// word of the peers that this process is dead to them, then for the core to be drained, and ends the
// process's duties. A bound ends it with truthful outcomes in any case.
func (d *Daemon) shutdown(signal, work context.Context, callers *http.Server) error {
	select {
	case <-work.Done():
		return nil
	case <-signal.Done():
	case <-d.expelled:
	case <-d.drained:
	}
	d.log.Info().Msg("draining")
	d.push(work, core.Drain{})
	select {
	case <-d.drained:
		d.log.Info().Msg("drained")
	case <-time.After(d.set.ShutdownBound):
		d.log.Warn().Msg("drain_bound_reached")
	case <-work.Done():
	}
	bound, cancel := context.WithTimeout(work, flushBound)
	defer cancel()
	_ = callers.Shutdown(bound)
	d.stop()
	select {
	case <-d.expelled:
		return &FencedError{VM: d.set.Vm.Id}
	default:
		return nil
	}
}

// flushBound is how long answers that are complete may take to reach callers.
const flushBound = 10 * time.Second
