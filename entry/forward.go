package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/upstream"
)

// hopHeaders lists the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// maxRetries includes retries after attempts in which no byte was sent.
const maxRetries = 6

// attemptResult is the outcome of one attempt at an endpoint.
type attemptResult struct {
	outcome dispatch.Outcome
	// delivered is set if the caller has received its final response, complete or broken off.
	delivered bool
	// brokenOff is set if the caller's connection must end, since part of a response was delivered.
	brokenOff bool
	// retryDenied is set if the retry was not sent because the retry budget does not cover it
	// now.
	retryDenied bool
	// connectionLost is set if the connection broke, or the endpoint stopped responding, during
	// the request.
	connectionLost bool
	// blocked is set if the request was not sent because it terminates endpoints, versionBlocked
	// if it was not sent because the endpoint's version is not allowed for it, departed if it was not sent
	// because the endpoint has left.
	blocked, versionBlocked, departed bool
	// late is set if the request was not sent because this VM shuts down before it is likely to end.
	late bool
	// undecided is set if the response to the next attempt tells whether this one failed.
	undecided bool
	// status is that of a response that was sent whole to the caller.
	status int
	// replacement is set if the attempt was given up for an endpoint that runs the rest of the request.
	replacement *replacement
	err         error
}

// forward tries endpoints until the caller has a response.
func (c *callerRequest) forward(ctx context.Context) {
	var last attemptResult
	var s *eventStream
	defer c.endUndecided(dispatch.CallerDisconnected)
	defer c.dropKept()
	for try := 0; ; try++ {
		dec, ok := c.nextEndpoint(ctx, s, last.replacement)
		if !ok {
			c.endCancelled(s)
			return
		}
		if dec.Endpoint == nil {
			c.notPlaced = &dec
			c.failOrForwardKept(ctx, s, dec.Reason, dec.RetryAfter)
			return
		}
		c.kept.dropAfter(keptTime)
		c.logPlacement(dec)
		if c.route.Kind == routing.Stream && s == nil {
			s = &eventStream{c: c, lastEventID: c.reqHeaders.LastEventID}
		}
		last = c.tryEndpoint(ctx, dec, last.replacement.connection(), s)
		c.endAttempt(dec.Handle, last)
		if last.brokenOff {
			panic(http.ErrAbortHandler)
		}
		if last.delivered {
			return
		}
		if last.blocked {
			c.fail(s, reasonEndsEndpoints, 0)
			return
		}
		if last.late {
			c.failOrForwardKept(ctx, s, reasonShutdown, shortRetryAfter)
			return
		}
		if (last.versionBlocked || last.departed) && try < maxRetries {
			c.avoided = append(c.avoided, dispatch.EndpointHash(dec.Endpoint.Key()))
			continue
		}
		c.tried = append(c.tried, dispatch.EndpointHash(dec.Endpoint.Key()))
		c.d.log.Info().Str("request", c.reqHeaders.ID).Stringer("digest", c.suspect.Digest).Str("endpoint", dec.Endpoint.ID).Stringer("outcome", last.outcome).
			Int("sent", c.sendCount).Bool("ran", c.mayHaveRun).Err(last.err).Msg("attempt_failed")
		if ctx.Err() != nil {
			last.replacement.Release()
			c.endCancelled(s)
			return
		}
		if last.replacement != nil {
			continue
		}
		c.kept.hold()
		if reason := c.retryRefusal(ctx, last, try); reason != "" {
			c.failOrForwardKept(ctx, s, reason, shortRetryAfter)
			return
		}
	}
}

// nextEndpoint returns the decision on the next attempt. One that was won while the attempt before was still in
// progress is used as it is.
func (c *callerRequest) nextEndpoint(ctx context.Context, s *eventStream, won *replacement) (dec dispatch.Decision, ok bool) {
	if won != nil {
		c.canary = won.canary && won.dec.Endpoint.Canary
		if won.canary && !c.canary {
			c.d.rollouts.releaseCanary(c.service)
		}
		c.retryPermit.adopt(&won.permit)
		return won.dec, true
	}
	j := c.nextJob(s)
	j.Canary = c.d.rollouts.reserveCanary(c.service)
	dec, ok = c.d.placement.place(ctx, c.reqHeaders.ID, j)
	c.canary = j.Canary && dec.Endpoint != nil && dec.Endpoint.Canary
	if j.Canary && !c.canary {
		c.d.rollouts.releaseCanary(c.service)
	}
	return dec, ok
}

// shortRetryAfter is the Retry-After if endpoints refused the request: others may have capacity at
// once. It is also the least time that must be left before the deadline for another attempt after
// an error response or a stall.
const shortRetryAfter = 100 * time.Millisecond

// nextJob returns the job for the next attempt. A stream that has started waits for an endpoint
// for at most half the time for which its caller waits for the next event.
func (c *callerRequest) nextJob(s *eventStream) dispatch.Job {
	j := c.dispatchJob()
	if s != nil && s.headersSent {
		c.limitInterruption(&j)
	}
	c.kept.limitWait(c.d.now(), &j)
	return j
}

// limitInterruption sets the times of a job whose caller waits for the next event of a stream.
func (c *callerRequest) limitInterruption(j *dispatch.Job) {
	now := c.d.now()
	deadline := now + time.Until(c.deadline)
	leaves := max(time.Duration(c.lastEvent.Load()), now-time.Since(c.arrived)) + c.eventTimeout()
	// Some callers stay for longer.
	j.AbandonAt = min(deadline, max(leaves, now+c.eventTimeout()/4)) - disconnectMargin
	j.Objective = now
}

// Reasons for not trying another endpoint.
const (
	reasonAttemptsSpent = "attempts_spent"
	reasonRetryBudget   = "retry_budget"
)

// retryRefusal returns why no other endpoint may be tried; empty if one may.
func (c *callerRequest) retryRefusal(ctx context.Context, last attemptResult, try int) string {
	switch {
	case try >= maxRetries:
		return reasonAttemptsSpent
	case last.outcome == dispatch.Unreachable:
		return ""
	case last.retryDenied:
		return reasonRetryBudget
	case c.mayHaveRun && !c.route.Retryable(), c.sendCount >= c.route.MaxEndpoints:
		return reasonAttemptsSpent
	case c.sendCount > 0 && !c.retryPermit.acquire(ctx):
		return reasonRetryBudget
	}
	return ""
}

// endCancelled ends a request whose caller has disconnected, that was blocked, or whose deadline
// has passed.
func (c *callerRequest) endCancelled(s *eventStream) {
	if c.r.Context().Err() != nil {
		c.d.count("callers_left")
		c.d.log.Info().Str("request", c.reqHeaders.ID).Dur("held", time.Since(c.arrived)).Msg("caller_left")
		panic(http.ErrAbortHandler)
	}
	if c.blocked.Load() {
		c.fail(s, reasonEndsEndpoints, 0)
		return
	}
	if c.givenUp.Load() {
		c.fail(s, reasonShutdown, shortRetryAfter)
		return
	}
	c.fail(s, "time_over", shortRetryAfter)
}

// fail ends a request for which there is no response to forward. A stream that has started is
// broken off. Otherwise the status says no more than is known: 503, which means that the request
// was not run, is sent only if that is certain, else 504 after the deadline and 502 in all other
// cases.
func (c *callerRequest) fail(s *eventStream, reason string, retryAfter time.Duration) {
	if s != nil && s.headersSent {
		c.d.count("streams_broken")
		c.addNotPlaced(c.d.log.Warn().Str("request", c.reqHeaders.ID).Str("reason", reason).Int("events", s.events).
			Str("versions", strings.Join(s.versions, ",")).Str("after", s.lastEventID).Dur("held", time.Since(c.arrived)).
			Dur("paused", time.Since(s.lastAt)).Dur("left", time.Until(c.deadline))).Msg("stream_broken")
		panic(http.ErrAbortHandler)
	}
	switch {
	case !c.mayHaveRun:
		c.refuse(refusal{http.StatusServiceUnavailable, reason, retryAfter})
	case reason == "time_over":
		c.refuse(refusal{status: http.StatusGatewayTimeout, reason: reason})
	default:
		c.refuse(refusal{status: http.StatusBadGateway, reason: reason})
	}
}

func (c *callerRequest) logPlacement(dec dispatch.Decision) {
	c.d.log.Info().Str("request", c.reqHeaders.ID).Str("route", c.route.Name).Str("endpoint", dec.Endpoint.ID).
		Str("address", dec.Endpoint.Address).Str("by", dec.DecidedBy).Dur("predicted", dec.Predicted).Int("candidates", dec.Candidates).
		Int("waiting", dec.Waiting).Int("running", dec.Load.Running).Int("unread", dec.Load.PromptTokens).Int("prompt", c.reqHeaders.PromptTokens).Int("output", c.reqHeaders.EstimatedOutputTokens).Dur("gap", dec.Load.EventGap).Dur("waited", time.Since(c.arrived)).Int("try", len(c.tried)).
		Str("version", dec.Endpoint.Version).Str("resumes", c.reqHeaders.Resumes).Str("after", c.reqHeaders.LastEventID).
		Str("parts", c.loggedParts()).Msg("placed")
}

// maxLoggedParts limits the parts of a prompt in a log line.
const maxLoggedParts = 8

// loggedParts returns the IDs of the prompt's first shared parts.
func (c *callerRequest) loggedParts() string {
	ids := c.sharedPartIDs()
	return strings.Join(ids[:min(len(ids), maxLoggedParts)], ",")
}

// upstreamHeaders returns the request headers that differ between endpoints.
func (c *callerRequest) upstreamHeaders(ep *members.Endpoint, lastEventID string) http.Header {
	h := make(http.Header)
	o := UpstreamHeaders{Endpoint: ep.ID, Timeout: time.Until(c.deadline), LastEventID: lastEventID}
	if c.org != nil {
		o.Organisation = c.org.Name
	}
	c.d.codec.SetUpstreamHeaders(h, o)
	return h
}

func removeHopHeaders(h http.Header) {
	for _, v := range h.Values("Connection") {
		for _, name := range splitList(v) {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// tryEndpoint sends the request to one endpoint, on the connection that was reserved for it if there is one, and
// forwards its response.
func (c *callerRequest) tryEndpoint(ctx context.Context, dec dispatch.Decision, reserved *upstream.Reservation, s *eventStream) attemptResult {
	defer reserved.Release()
	ep := dec.Endpoint
	c.current = dispatch.EndpointHash(ep.Key())
	// A stream that has begun is better continued for a while than broken off, and a replacement was found in time.
	if reserved == nil && !c.began() && c.d.stopping.refusal(c) != nil {
		return attemptResult{outcome: dispatch.CallerDisconnected, late: true}
	}
	// Bytes of a caller's request are sent to an endpoint only below this check, whichever VM
	// chose the endpoint and however long that took.
	sent, status := c.d.poison.NewCopy(c.suspect)
	if status.Convicted() {
		return attemptResult{outcome: dispatch.CallerDisconnected, blocked: true}
	}
	if c.sendCount > 0 && !c.retryPermit.renew() {
		return attemptResult{outcome: dispatch.CallerDisconnected, retryDenied: true, err: &RetryBudgetError{Service: c.service}}
	}
	lastID := c.reqHeaders.LastEventID
	if s != nil {
		lastID = s.lastEventID
	}
	req := &upstream.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Fields: c.fields, Header: c.upstreamHeaders(ep, lastID),
		Body: c.body, HasBody: c.hasBody,
		Matches: c.ownsResponse, Allowed: func() bool { return c.d.sched.isServing(ep) },
	}
	version := c.d.sched.listedVersion(ep)
	if !c.mayRunAt(version) {
		c.d.count("other_version")
		return attemptResult{outcome: dispatch.CallerDisconnected, versionBlocked: true}
	}
	if s != nil {
		s.version, s.endpoint = version, ep
	}
	tracked, ok := c.d.rollouts.beginAttempt(c, ep, c.canary)
	if !ok {
		return attemptResult{outcome: dispatch.CallerDisconnected, versionBlocked: true}
	}
	c.tracked = tracked
	before := c.sendCount
	attemptCtx, cancel := context.WithCancel(ctx)
	defer func() {
		if !c.kept.isOf(dec.Handle) {
			cancel()
		}
	}()
	c.d.sched.cancelOnRestart(dec.Handle, cancel)
	watch := c.watchAttempt(dec, cancel)
	req.Progress = watch.RecordProgress
	begun := time.Now()
	a := c.exchange(attemptCtx, ctx, exchangeParams{dec, req, reserved, sent.Sent, s, watch})
	if a.outcome == dispatch.Answered && a.delivered && a.err == nil {
		c.d.stopping.runTimes.Record(c.route.Name, time.Since(begun))
	}
	if a.undecided {
		c.kept.cancel, c.kept.copy, c.kept.endpoint = cancel, sent, ep
	}
	c.recordStall(ep, watch, &a)
	c.recordAttempt(sent, ep, a)
	tracked.finish(a, c.sendCount > before, before > 0)
	return a
}

// recordStall ends the watch of an attempt and adds to its result what was seen. An endpoint that was silent as the
// caller left was no answer.
func (c *callerRequest) recordStall(ep *members.Endpoint, watch *attemptWatch, a *attemptResult) {
	stalled := watch.Stalled()
	won, ok := watch.Stop()
	switch {
	case ok && a.delivered:
		won.Release()
	case ok:
		c.logStall(ep.ID, stallGivenUp, 0)
		a.outcome, a.connectionLost, a.replacement = dispatch.Silent, true, won
	case stalled && !a.delivered && a.outcome == dispatch.CallerDisconnected:
		a.outcome, a.connectionLost = dispatch.Silent, true
	}
}

// exchangeParams is what an attempt sends, where and when.
type exchangeParams struct {
	dec dispatch.Decision
	req *upstream.Request
	// reserved is the connection to use, nil to use any.
	reserved *upstream.Reservation
	// sent is when the attempt began.
	sent  time.Duration
	s     *eventStream
	watch *attemptWatch
}

// exchange sends the request and forwards the response. ctx ends with the attempt, requestCtx with the
// request.
func (c *callerRequest) exchange(ctx, requestCtx context.Context, p exchangeParams) attemptResult {
	ep := p.dec.Endpoint
	resp, err := c.send(ctx, p)
	var ex *upstream.ExchangeError
	var withdrawn *upstream.WithdrawnError
	if errors.As(err, &withdrawn) {
		c.d.count("departed_before_send")
		c.d.log.Info().Str("request", c.reqHeaders.ID).Str("endpoint", ep.ID).Str("by", p.dec.DecidedBy).Msg("departed_before_send")
		return attemptResult{outcome: dispatch.CallerDisconnected, departed: true, err: err}
	}
	if errors.As(err, &ex) && ex.Stage == upstream.NotSent {
		if requestCtx.Err() != nil {
			return attemptResult{outcome: dispatch.CallerDisconnected, err: err}
		}
		return attemptResult{outcome: dispatch.Unreachable, err: err}
	}
	if c.sendCount > 0 {
		c.retryPermit.recordSent()
	}
	c.sendCount++
	if err != nil {
		c.mayHaveRun = true
		if requestCtx.Err() != nil {
			return attemptResult{outcome: dispatch.CallerDisconnected, err: err}
		}
		return attemptResult{outcome: outcomeOf(err), connectionLost: isConnectionBroken(err), err: err}
	}
	defer func() {
		if !c.kept.isOf(p.dec.Handle) {
			resp.Finish()
		}
	}()
	headers := c.d.codec.ParseResponse(resp.Response)
	headers.Replaced = headers.Replaced && headers.Instance != ep.ID
	c.d.notices.observe(ep, p.sent, headers)
	if !headers.Replaced {
		c.d.poison.RecordResponseStart(ep, p.sent)
		if !headers.NotExecuted {
			c.d.poison.Release(c.admission)
		}
	}
	return excuseUnread(resp, c.forwardResponse(requestCtx, p.dec.Handle, resp, headers, p.s, p.watch))
}

func (c *callerRequest) send(ctx context.Context, p exchangeParams) (*upstream.Response, error) {
	if p.reserved != nil {
		return p.reserved.Do(ctx, p.req)
	}
	ep := p.dec.Endpoint
	return c.d.pool.Do(ctx, ep.Key(), ep.Address, p.req, false)
}

// ownsResponse reports whether a response belongs to this request. An error response without an
// ID comes from an endpoint that did not read the request, but only on a new connection: on one that
// has served others it may be left over from them. Taken for the response to this request, a
// rejection would have it sent to a second endpoint while the first runs it.
func (c *callerRequest) ownsResponse(resp *http.Response, reused bool) bool {
	id := c.d.codec.ParseResponse(resp).ID
	if id != "" || resp.StatusCode < http.StatusBadRequest {
		return id == c.reqHeaders.ID
	}
	if reused {
		c.d.count("responses_without_id")
	}
	return !reused
}

// writeResponse sends a response to the caller whose body has been read.
func (c *callerRequest) writeResponse(resp *upstream.Response, body []byte) {
	c.startResponse(resp, int64(len(body)))
	err := c.writeToCaller(body)
	if err == nil {
		err = c.completeResponse()
	}
	c.logAnswer(resp, err)
}

// logAnswer logs a response that was sent to the caller, or the error that ended it.
func (c *callerRequest) logAnswer(resp *upstream.Response, err error) {
	took := time.Since(c.arrived)
	c.d.count("answers")
	c.countFraming(resp)
	c.d.observe("answer", took)
	c.d.log.Info().Str("request", c.reqHeaders.ID).Int("status", resp.StatusCode).Stringer("framing", resp.Framing()).Dur("took", took).
		Bool("late", took > c.route.Objective).Int("sent", c.sendCount).Str("carrier", resp.Carrier()).Err(err).Msg("answered")
}

// countFraming counts the responses whose completeness cannot be verified.
func (c *callerRequest) countFraming(resp *upstream.Response) {
	if resp.Unframed() {
		c.d.count("responses_unframed")
	}
}

func copyHeaders(dst, src http.Header) {
	h := src.Clone()
	removeHopHeaders(h)
	for name, values := range h {
		dst[name] = values
	}
	if _, ok := src["Date"]; !ok {
		dst["Date"] = nil
	}
	if _, ok := src["Content-Type"]; !ok {
		dst["Content-Type"] = nil
	}
}
