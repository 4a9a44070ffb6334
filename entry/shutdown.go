package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/core/runtimes"
)

const (
	// readinessRefusalDelay is how long new connections may still arrive after SIGTERM: the load
	// balancer checks once a second and acts on the second refusal.
	readinessRefusalDelay = 2600 * time.Millisecond
	// graceMargin is the time reserved before SIGKILL, lastAnswersTime the part of it in which requests that still run
	// get their final answers.
	graceMargin     = 500 * time.Millisecond
	lastAnswersTime = 250 * time.Millisecond
	// unknownLossyShare and unknownRepeatableShare are the parts of the grace period that a run is taken to need if
	// nothing is known of its route.
	unknownLossyShare      = 1. / 4
	unknownRepeatableShare = 1. / 8
)

// reasonShutdown is the reason of a refusal by a VM that shuts down.
const reasonShutdown = "shutdown"

// shutdown is the graceful shutdown of a VM. Requests still come after its signal: on connections that the load balancer
// opens until it has noticed, and with bodies that were under way. Those that are likely to end in time are served, the
// others refused as not run; what still runs at the end gets a final answer before the connections are closed.
type shutdown struct {
	d *Daemon
	// cutOffAt is when requests that still run are given up, by the VM's clock; 0 before the signal.
	cutOffAt atomic.Int64
	// cutOff is done from then on.
	cutOff context.Context
	giveUp context.CancelFunc
	// runTimes are the latest runs of each route.
	runTimes runtimes.History
}

func newShutdown(d *Daemon) *shutdown {
	s := &shutdown{d: d}
	s.cutOff, s.giveUp = context.WithCancel(context.Background())
	return s
}

// run waits for the signal and then fails readiness checks. Until the load balancer has
// noticed, callers still arrive and are served; every response closes its connection. Then idle
// connections are closed as well: a caller that keeps one open could send a request so late that
// it would be cut off at the end of the grace period. Running requests continue to their end, as do those of
// other VMs whose connections this one carries.
func (s *shutdown) run(signal, workCtx context.Context, callersServer *http.Server, stop context.CancelFunc) error {
	d := s.d
	select {
	case <-workCtx.Done():
		return nil
	case <-signal.Done():
	}
	since := time.Now()
	s.cutOffAt.Store(int64(d.now() + d.settings.GracePeriod - graceMargin))
	d.draining.Store(true)
	d.log.Info().Int64("active", d.active.Load()).Msg("draining")
	seen := time.NewTimer(readinessRefusalDelay)
	defer seen.Stop()
	select {
	case <-workCtx.Done():
		return nil
	case <-seen.C:
	}
	end, cancel := context.WithTimeout(workCtx, d.settings.GracePeriod-graceMargin-time.Since(since))
	defer cancel()
	if err := callersServer.Shutdown(end); err != nil {
		d.log.Warn().Err(err).Int64("active", d.active.Load()).Msg("drain_bound_reached")
		s.sendLastAnswers(workCtx, callersServer)
	}
	if n := d.carrier.drain(end); n > 0 {
		d.log.Warn().Int64("carried", n).Msg("drain_bound_reached")
	}
	stop()
	return nil
}

// sendLastAnswers gives up the requests that still run and have no response yet, and waits until they are answered.
func (s *shutdown) sendLastAnswers(workCtx context.Context, callersServer *http.Server) {
	s.giveUp()
	ctx, cancel := context.WithTimeout(workCtx, lastAnswersTime)
	defer cancel()
	if err := callersServer.Shutdown(ctx); err != nil {
		s.d.log.Warn().Err(err).Int64("active", s.d.active.Load()).Msg("requests_cut_off")
	}
}

// refusal returns the refusal of a request that would be cut off if it was passed on now, nil if it is likely to end in
// time.
func (s *shutdown) refusal(c *callerRequest) *refusal {
	cutOffAt := time.Duration(s.cutOffAt.Load())
	if cutOffAt == 0 {
		return nil
	}
	left := cutOffAt - s.d.now()
	if time.Until(c.deadline) <= left || s.needed(c) <= left {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, reasonShutdown, shortRetryAfter}
}

// needed returns the time within which a request is likely to be answered once it is passed on.
func (s *shutdown) needed(c *callerRequest) time.Duration {
	risk, share := runtimes.Lossy, unknownLossyShare
	if c.route.Kind == routing.Idempotent {
		risk, share = runtimes.Repeatable, unknownRepeatableShare
	}
	unknown := time.Duration(share * float64(s.d.settings.GracePeriod))
	return s.runTimes.Needed(c.route.Name, risk, unknown)
}

// watchCutOff ends a request that has no response yet when it is given up, by calling cancel. The result ends the watch.
func (s *shutdown) watchCutOff(c *callerRequest, cancel context.CancelFunc) (stop func() bool) {
	return context.AfterFunc(s.cutOff, func() {
		if !c.answering.Load() {
			c.givenUp.Store(true)
			cancel()
		}
	})
}
