package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/upstream"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

const (
	// maxAnswer bounds an answer that is not a stream, in bytes.
	maxAnswer = 16 << 20
	// maxAttempts bounds endpoints that are tried in vain without a byte sent.
	maxAttempts = 6
)

// attempt is the outcome of one try at an endpoint.
type attempt struct {
	outcome dispatch.Outcome
	// delivered says that the caller has its final answer, whole or broken.
	delivered bool
	// unpaid says that it was not sent once more, since nothing pays for that now.
	unpaid bool
	// cut says that the connection broke under the request, or fell silent.
	cut bool
	// stopped says that the request was not sent, since it ends endpoints, heldBack that it was
	// not, since the endpoint's version may not get it.
	stopped, heldBack bool
	err               error
}

// run tries endpoints until the caller has an answer.
func (c *caller) run(ctx context.Context) {
	var last attempt
	var s *stream
	for try := 0; ; try++ {
		j := c.jobFor(s)
		j.Canary = c.d.rollouts.reserveCanary(c.service)
		dec, ok := c.d.placing.place(ctx, c.call.ID, j)
		c.trial = j.Canary && dec.Endpoint != nil && dec.Endpoint.Canary
		if j.Canary && !c.trial {
			c.d.rollouts.releaseCanary(c.service)
		}
		if !ok {
			c.giveUp(s)
			return
		}
		if dec.Endpoint == nil {
			c.end(s, dec.Reason, dec.RetryAfter)
			return
		}
		c.logPlaced(dec)
		if c.route.Kind == routing.Stream && s == nil {
			s = &stream{c: c, lastID: c.call.LastEventID}
		}
		last = c.try(ctx, dec, s)
		c.d.placing.end(dec.Handle, last.outcome)
		if last.delivered {
			return
		}
		if last.stopped {
			c.end(s, reasonEndsEndpoints, 0)
			return
		}
		if last.heldBack && try < maxAttempts {
			c.avoided = append(c.avoided, dispatch.EndpointHash(dec.Endpoint.Key()))
			continue
		}
		c.tried = append(c.tried, dispatch.EndpointHash(dec.Endpoint.Key()))
		c.d.log.Info().Str("request", c.call.ID).Stringer("digest", c.digest).Str("endpoint", dec.Endpoint.ID).Stringer("outcome", last.outcome).
			Int("sent", c.sent).Bool("ran", c.ran).Err(last.err).Msg("attempt_failed")
		if ctx.Err() != nil {
			c.giveUp(s)
			return
		}
		if !c.mayRetry(last, try) {
			c.end(s, "attempts_spent", shortWait)
			return
		}
	}
}

// shortWait is when a caller may return after an endpoint refused its request:
// elsewhere there may be room at once.
const shortWait = 100 * time.Millisecond

// jobFor is the job of the next try. A stream that is under way waits as long
// as its caller waits for the next event.
func (c *caller) jobFor(s *stream) dispatch.Job {
	j := c.job()
	if s != nil && s.begun {
		j.AbandonAt = c.d.now() + min(time.Until(c.limit), c.patience()/2)
		j.Objective = c.d.now()
	}
	return j
}

// mayRetry says whether another endpoint may be tried.
func (c *caller) mayRetry(last attempt, try int) bool {
	if try >= maxAttempts {
		return false
	}
	if last.outcome == dispatch.Unreachable {
		return true
	}
	if last.unpaid || c.ran && !c.route.Retryable() {
		return false
	}
	return c.sent < c.route.MaxEndpoints && (c.sent == 0 || c.again.pay())
}

// giveUp ends a request whose caller left or whose time is over.
func (c *caller) giveUp(s *stream) {
	if c.r.Context().Err() != nil {
		c.d.count("callers_left")
		c.d.log.Info().Str("request", c.call.ID).Dur("held", time.Since(c.arrived)).Msg("caller_left")
		panic(http.ErrAbortHandler)
	}
	if c.stopped.Load() {
		c.end(s, reasonEndsEndpoints, 0)
		return
	}
	c.end(s, "time_over", shortWait)
}

// end gives the caller the truth: a failed answer of an endpoint if that is all
// there is, "not run" only if that is so, else a failure that promises nothing.
func (c *caller) end(s *stream, reason string, after time.Duration) {
	if s != nil && s.begun {
		c.d.count("streams_broken")
		c.d.log.Warn().Str("request", c.call.ID).Str("reason", reason).Int("events", s.events).Msg("stream_broken")
		panic(http.ErrAbortHandler)
	}
	switch {
	case !c.ran:
		c.refuse(refusal{http.StatusServiceUnavailable, reason, after})
	case reason == "time_over":
		c.refuse(refusal{status: http.StatusGatewayTimeout, reason: reason})
	default:
		c.refuse(refusal{status: http.StatusBadGateway, reason: reason})
	}
}

func (c *caller) logPlaced(dec dispatch.Decision) {
	c.d.log.Info().Str("request", c.call.ID).Str("route", c.route.Name).Str("endpoint", dec.Endpoint.ID).
		Str("address", dec.Endpoint.Address).Str("by", dec.DecidedBy).Dur("predicted", dec.Predicted).Int("candidates", dec.Candidates).
		Int("waiting", dec.Waiting).Int("running", dec.Load.Running).Int("unread", dec.Load.PromptTokens).Int("prompt", c.call.Prompt).Int("output", c.call.GuessedOutput).Dur("gap", dec.Load.EventGap).Dur("waited", time.Since(c.arrived)).Int("try", len(c.tried)).Msg("placed")
}

// headers are those for the endpoint.
func (c *caller) headers(ep *members.Endpoint, lastEventID string) http.Header {
	h := c.r.Header.Clone()
	dropHop(h)
	o := Outgoing{Endpoint: ep.ID, TimeLeft: time.Until(c.limit), LastEventID: lastEventID}
	if c.org != nil {
		o.Organisation = c.org.Name
	}
	c.d.codec.Outgoing(h, o)
	return h
}

func dropHop(h http.Header) {
	for _, v := range h.Values("Connection") {
		for _, name := range splitList(v) {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// try sends the request to one endpoint and passes its answer on.
func (c *caller) try(ctx context.Context, dec dispatch.Decision, s *stream) attempt {
	ep := dec.Endpoint
	// The one place where bytes of a caller's request leave for an endpoint, whichever VM
	// chose it and however long that took.
	view := c.d.suspects.status(c.digest)
	if view.Convicted() {
		return attempt{outcome: dispatch.CallerLeft, stopped: true}
	}
	if c.sent > 0 && !c.again.mayLeave() {
		return attempt{outcome: dispatch.CallerLeft, unpaid: true, err: &UnpaidRepeatError{Service: c.service}}
	}
	lastID := c.call.LastEventID
	if s != nil {
		lastID = s.lastID
	}
	req := &upstream.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: c.headers(ep, lastID),
		Body: c.body, HasBody: c.r.ContentLength != 0 || c.r.Header.Get("Content-Length") != "",
		Matches: func(resp *http.Response) bool { return c.mine(resp) },
	}
	visit, ok := c.d.rollouts.beginAttempt(c, ep, c.trial)
	if !ok {
		return attempt{outcome: dispatch.CallerLeft, heldBack: true}
	}
	c.visit = visit
	before := c.sent
	tctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.d.sched.onRestart(dec.Handle, cancel)
	watch := c.watch(dec, cancel)
	sent := c.d.now()
	a := c.exchange(tctx, ctx, dec, req, sent, s, watch)
	if watch.over() {
		c.again.take(watch.repeat)
		if !a.delivered {
			a.outcome, a.cut = dispatch.Silent, true
		}
	}
	c.d.suspects.recordAttempt(c, ep, sent, view.Generation, a)
	visit.finish(a, c.sent > before, before > 0)
	return a
}

// exchange sends the request, which is at sent, and passes the answer on. ctx ends with the
// attempt, whole with the request.
func (c *caller) exchange(ctx, whole context.Context, dec dispatch.Decision, req *upstream.Request, sent time.Duration, s *stream, watch *stall) attempt {
	ep := dec.Endpoint
	ans, err := c.d.pool.Do(ctx, ep.Key(), ep.Address, req, false)
	var ex *upstream.ExchangeError
	if errors.As(err, &ex) && ex.Stage == upstream.NotSent {
		if whole.Err() != nil {
			return attempt{outcome: dispatch.CallerLeft, err: err}
		}
		return attempt{outcome: dispatch.Unreachable, err: err}
	}
	if c.sent > 0 {
		c.again.sent()
	}
	c.sent++
	if err != nil {
		c.ran = true
		if whole.Err() != nil {
			return attempt{outcome: dispatch.CallerLeft, err: err}
		}
		return attempt{outcome: dispatch.Broken, cut: isConnectionBroken(err), err: err}
	}
	defer ans.Finish()
	reply := c.d.codec.Reply(ans.Response)
	c.d.notices.observe(ep, sent, reply)
	c.d.suspects.recordAnswerStart(c, ep, sent, reply)
	return c.pass(whole, dec.Handle, ans, reply, s, watch)
}

// mine says whether an answer belongs to this request. Answers without an id are
// the endpoint's word on a request that it did not read.
func (c *caller) mine(resp *http.Response) bool {
	id := c.d.codec.Reply(resp).ID
	return id == c.call.ID || id == "" && resp.StatusCode >= http.StatusBadRequest
}

// promisesNotRun says whether a status promises that a request was not run; from an
// endpoint that does not say so itself it must not be passed on.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// pass judges an answer and passes it on if it is one.
func (c *caller) pass(ctx context.Context, handle uint64, ans *upstream.Response, reply Reply, s *stream, watch *stall) attempt {
	if reply.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(ans, maxAnswer))
		if reply.Replaced {
			return attempt{outcome: dispatch.Replaced, err: &RejectedError{Status: ans.StatusCode}}
		}
		return attempt{outcome: dispatch.Rejected, err: &RejectedError{Status: ans.StatusCode}}
	}
	c.ran = true
	ok := ans.StatusCode < http.StatusMultipleChoices
	if reply.Encoded || ok && !reply.Sealed || promisesNotRun(ans.StatusCode) {
		return attempt{outcome: dispatch.Broken, err: &UntrustedAnswerError{Status: ans.StatusCode}}
	}
	if ok && s != nil {
		return s.pass(ctx, handle, ans, watch)
	}
	if s != nil && s.begun {
		return attempt{outcome: dispatch.Broken, err: &UntrustedAnswerError{Status: ans.StatusCode}}
	}
	body, err := io.ReadAll(io.LimitReader(ans, maxAnswer))
	if err != nil {
		if ctx.Err() != nil {
			return attempt{outcome: dispatch.CallerLeft, err: err}
		}
		return attempt{outcome: dispatch.Broken, cut: isConnectionBroken(err), err: err}
	}
	c.d.suspects.recordSuccess(c.digest, ans)
	if ans.StatusCode >= http.StatusInternalServerError && c.route.Retryable() && c.sent < c.route.MaxEndpoints &&
		time.Until(c.limit) > shortWait && c.again.pay() {
		return attempt{outcome: dispatch.Failed, err: &FailedAnswerError{Status: ans.StatusCode}}
	}
	c.visit.markFirstEvent()
	c.d.placing.events(handle, 1)
	c.write(ans.Response, body)
	if ans.StatusCode >= http.StatusInternalServerError {
		return attempt{outcome: dispatch.Failed, delivered: true}
	}
	return attempt{outcome: dispatch.Answered, delivered: true}
}

// write passes on a whole answer.
func (c *caller) write(resp *http.Response, body []byte) {
	copyHeaders(c.w.Header(), resp.Header)
	c.w.Header().Set("Content-Length", itoa(len(body)))
	c.w.WriteHeader(resp.StatusCode)
	_, err := c.w.Write(body)
	took := time.Since(c.arrived)
	c.d.count("answers")
	c.d.observe("answer", took)
	c.d.log.Info().Str("request", c.call.ID).Int("status", resp.StatusCode).Dur("took", took).
		Bool("late", took > c.route.Objective).Int("sent", c.sent).Err(err).Msg("answered")
}

func copyHeaders(to, from http.Header) {
	h := from.Clone()
	dropHop(h)
	for name, values := range h {
		to[name] = values
	}
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}
