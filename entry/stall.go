package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/entry/handover"
	"github.com/chivefield/chivefield/timeout"
	"github.com/chivefield/chivefield/upstream"
)

const (
	// Another endpoint is looked for if the first event does not arrive within firstEventTimeoutFactor
	// times the predicted time, or firstEventTimeout if that is longer. An endpoint that becomes
	// unreachable behind an open connection never responds; its callers disconnect after two seconds.
	firstEventTimeout       = time.Second
	firstEventTimeoutFactor = 4
	// minReplacementInterval and maxReplacementInterval bound the time after which another endpoint is looked for
	// again. A placer may name a longer one for callers that come back; this one still waits.
	minReplacementInterval = 150 * time.Millisecond
	maxReplacementInterval = 500 * time.Millisecond
	// maxSharedSilence limits the time for which a request without an event is left at a silent endpoint because
	// others are as silent.
	maxSharedSilence = time.Second
	// sharedSilenceInterval is the time after which it is looked again whether they still are.
	sharedSilenceInterval = 50 * time.Millisecond
	// permitHold is the time within which a replacement is used: its place may have to be confirmed.
	permitHold = 3 * timeout.Confirmation
)

// attemptWatch watches an attempt whose request may be retried elsewhere.
type attemptWatch = handover.Watcher[*replacement]

// replacement is an endpoint that has a place for a request whose own endpoint is silent, with all that it takes
// to send the request there at once. Whoever holds it sends the request there, or releases it.
type replacement struct {
	c        *callerRequest
	dec      dispatch.Decision
	reserved *upstream.Reservation
	permit   retryPermit
	// canary is set if the request takes a canary's share of its endpoint's version.
	canary bool
}

// Release implements handover.Target.
func (r *replacement) Release() {
	if r == nil {
		return
	}
	r.reserved.Release()
	r.permit.release()
	if r.canary {
		r.c.d.rollouts.releaseCanary(r.c.service)
	}
	if r.dec.Endpoint != nil {
		r.c.d.placement.endRun(r.dec.Handle, dispatch.CallerDisconnected)
	}
}

// connection returns the connection reserved at the endpoint; nil if there is no replacement.
func (r *replacement) connection() *upstream.Reservation {
	if r == nil {
		return nil
	}
	return r.reserved
}

// watchAttempt watches the attempt that a decision began and cancel ends. Requests that must not be sent again
// wait for their endpoint.
func (c *callerRequest) watchAttempt(dec dispatch.Decision, cancel context.CancelFunc) *attemptWatch {
	// The endpoint limit includes this attempt.
	if c.d.settings.Disabled.Has(mechanism.StallRetry) || !c.route.Retryable() || c.sendCount+1 >= c.route.MaxEndpoints {
		return handover.Unwatched[*replacement]()
	}
	finder := &replacementFinder{
		c: c, endpoint: dec.Endpoint.ID, handle: dec.Handle, canary: c.canary, tracked: c.tracked,
		tried: append(slices.Clone(c.tried), dispatch.EndpointHash(dec.Endpoint.Key())), avoided: slices.Clone(c.avoided),
	}
	return handover.Watch(max(firstEventTimeout, firstEventTimeoutFactor*dec.Predicted), finder.find, cancel)
}

// replacementFinder looks for an endpoint for the rest of a request whose endpoint is silent, while the attempt there
// is still in progress. It has copies of what changes with attempts.
type replacementFinder struct {
	c *callerRequest
	// endpoint is the silent one, handle that of the attempt, canary is set if the request is a canary there.
	endpoint       string
	handle         uint64
	canary         bool
	tried, avoided []uint64

	// tracked is the attempt in a roll-out, nil without one.
	tracked *trackedAttempt

	mu sync.Mutex
	// logged is the result last logged, stall the context of the stall last recorded, stalled when it began.
	logged  stallResult
	stall   context.Context
	stalled time.Time
}

// stallResult is what becomes of an attempt whose endpoint has sent nothing for too long.
type stallResult string

const (
	stallGivenUp       stallResult = "given_up"
	stallNoTime        stallResult = "no_time"
	stallNoAlternative stallResult = "no_alternative"
	stallNoBudget      stallResult = "no_budget"
	stallNoPlace       stallResult = "no_place"
	stallNotReached    stallResult = "not_reached"
	stallNotAllowed    stallResult = "not_allowed"
	stallSharedSilence stallResult = "shared_silence"
)

// find implements handover.Finder.
func (f *replacementFinder) find(ctx context.Context, late time.Duration) (*replacement, time.Duration) {
	f.recordStall(ctx)
	if time.Until(f.c.deadline) < max(shortRetryAfter, late) {
		f.log(stallNoTime, late)
		return nil, 0
	}
	r := &replacement{c: f.c}
	result := f.prepare(ctx, r)
	if result == stallGivenUp {
		return r, 0
	}
	again := min(max(minReplacementInterval, r.dec.RetryAfter), maxReplacementInterval)
	if result == stallSharedSilence && r.dec.Endpoint == nil {
		// Nothing was asked of the placer.
		again = sharedSilenceInterval
	}
	r.Release()
	if ctx.Err() == nil {
		f.log(result, late)
	}
	return nil, again
}

// prepare acquires what a replacement needs, what others may want last. Unless the result is stallGivenUp, the
// replacement has to be released.
func (f *replacementFinder) prepare(ctx context.Context, r *replacement) stallResult {
	d := f.c.d
	if !f.c.began() && d.stopping.refusal(f.c) != nil {
		return stallNoTime
	}
	mayWait := !f.c.began() && f.stalledFor() < maxSharedSilence
	if mayWait && d.sched.staysInSilence(f.handle) {
		return stallSharedSilence
	}
	j := f.c.jobAfter(f.tried, f.avoided)
	if f.c.began() {
		f.c.limitInterruption(&j)
		j.Canary = f.canary && d.rollouts.reserveCanary(f.c.service)
		r.canary = j.Canary
	}
	if !d.sched.hasAlternative(&j) {
		return stallNoAlternative
	}
	if !d.retryBudgets.mayAcquireFor(f.c.service, permitHold) {
		return stallNoBudget
	}
	var ok bool
	if r.dec, ok = d.placement.place(ctx, f.c.reqHeaders.ID, j); !ok || r.dec.Endpoint == nil {
		return stallNoPlace
	}
	if mayWait && d.sched.mayBeSilentToo(f.handle, r.dec.Endpoint) {
		return stallSharedSilence
	}
	var err error
	if r.reserved, err = d.pool.Reserve(ctx, r.dec.Endpoint.Key(), r.dec.Endpoint.Address); err != nil {
		f.recordUnreachable(ctx, r, err)
		return stallNotReached
	}
	if !f.c.mayRunAt(d.sched.listedVersion(r.dec.Endpoint)) || d.poison.WorstStatus(f.c.suspect).Convicted() {
		return stallNotAllowed
	}
	r.permit = retryPermit{budgets: d.retryBudgets, service: f.c.service}
	if !r.permit.acquireFor(permitHold) {
		return stallNoBudget
	}
	return stallGivenUp
}

// recordUnreachable ends the run of a replacement to which no connection could be opened.
func (f *replacementFinder) recordUnreachable(ctx context.Context, r *replacement, err error) {
	if ctx.Err() != nil {
		// The connection was no longer wanted.
		return
	}
	f.c.d.log.Info().Str("request", f.c.reqHeaders.ID).Str("endpoint", r.dec.Endpoint.ID).Err(err).Msg("replacement_unreachable")
	f.c.d.placement.endRun(r.dec.Handle, dispatch.Unreachable)
}

// recordStall records a stall in the roll-out as it begins; ctx ends with it.
func (f *replacementFinder) recordStall(ctx context.Context) {
	f.mu.Lock()
	known := f.stall == ctx
	if !known {
		f.stall, f.stalled = ctx, time.Now()
	}
	f.mu.Unlock()
	if !known {
		f.tracked.recordStall(ctx)
	}
}

// stalledFor returns how long the stall has lasted.
func (f *replacementFinder) stalledFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.stalled)
}

// log logs a result that differs from the one before.
func (f *replacementFinder) log(result stallResult, late time.Duration) {
	f.mu.Lock()
	same := f.logged == result
	f.logged = result
	f.mu.Unlock()
	if !same {
		f.c.logStall(f.endpoint, result, late)
	}
}

func (c *callerRequest) logStall(endpoint string, result stallResult, late time.Duration) {
	c.d.count("stalls." + string(result))
	c.d.log.Info().Str("request", c.reqHeaders.ID).Str("endpoint", endpoint).Str("result", string(result)).
		Dur("held", time.Since(c.arrived)).Dur("late", late).Bool("began", c.began()).Msg("endpoint_stalled")
}
