package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/upstream"
)

const (
	// maxBufferedResponse is the size up to which a response is read whole before it is forwarded,
	// so that another endpoint can be tried if it breaks off. A larger one is forwarded as it arrives.
	maxBufferedResponse = 256 << 10
	// forwardBufferSize is the size of the pieces in which a larger response is forwarded, and the
	// part of any response that is read whatever memory is left.
	forwardBufferSize = 4 << 10
	// responseMemoryShare is the share of the memory limit that buffered responses may use. Callers
	// that read slowly hold theirs for long.
	responseMemoryShare = 0.2
	// callerStallTimeout is how long a caller may take nothing of a piece of forwardBufferSize.
	callerStallTimeout = 10 * time.Second
)

// bufferFor returns how much memory to reserve for a response; length is -1 if it is unknown.
func bufferFor(length int64) int64 {
	if length < 0 || length >= maxBufferedResponse {
		return maxBufferedResponse
	}
	// One byte more shows that the response ends.
	return length + 1
}

// impliesNotExecuted reports whether a status tells the caller that the request was not run. Such
// a status must not be forwarded from an endpoint that does not confirm it explicitly.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// forwardResponse checks a response and forwards it if it is valid.
func (c *callerRequest) forwardResponse(ctx context.Context, handle uint64, resp *upstream.Response, headers ResponseHeaders, s *eventStream, watch *attemptWatch) attemptResult {
	if headers.NotExecuted {
		resp.Drain()
		if headers.Replaced {
			return attemptResult{outcome: dispatch.Replaced, err: &RejectedError{Status: resp.StatusCode}}
		}
		return attemptResult{outcome: dispatch.Rejected, err: &RejectedError{Status: resp.StatusCode}}
	}
	c.mayHaveRun = true
	ok := resp.StatusCode < http.StatusMultipleChoices
	if headers.Encoded || ok && !headers.Sealed || impliesNotExecuted(resp.StatusCode) {
		return attemptResult{outcome: dispatch.Broken, err: &UntrustedResponseError{Status: resp.StatusCode}}
	}
	if ok && s != nil {
		return s.forward(ctx, handle, resp, watch)
	}
	if s != nil && s.headersSent {
		return attemptResult{outcome: dispatch.Broken, err: &UntrustedResponseError{Status: resp.StatusCode}}
	}
	if resp.StatusCode >= http.StatusInternalServerError && c.kept.succeeds() && c.kept.hold() {
		resp.Drain()
		return attemptResult{outcome: dispatch.Failed, err: &FailedResponseError{Status: resp.StatusCode}}
	}
	held := c.d.responseMemory.reserveUpTo(bufferFor(resp.ContentLength))
	defer func() {
		if !c.kept.isOf(handle) {
			c.d.responseMemory.release(held)
		}
	}()
	body, err := io.ReadAll(io.LimitReader(&watchedBody{resp, watch}, held))
	if err != nil {
		if ctx.Err() != nil {
			return attemptResult{outcome: dispatch.CallerDisconnected, err: err}
		}
		return attemptResult{outcome: outcomeOf(err), connectionLost: isConnectionBroken(err), err: err}
	}
	if int64(len(body)) == held {
		if !watch.Pause() {
			return attemptResult{outcome: dispatch.Silent, connectionLost: true, err: context.Cause(ctx)}
		}
		since := time.Now()
		if held >= maxBufferedResponse && c.mayBeEndless(resp, held) && c.reserveSecondAttempt(ctx) {
			c.d.count("responses_doubted")
			c.kept = &keptResponse{handle: handle, resp: resp, body: body, memory: held, budget: c.d.responseMemory, since: since}
			return attemptResult{outcome: dispatch.CallerDisconnected, undecided: true, err: &EndlessResponseError{Bytes: held}}
		}
		return c.forwardUnbuffered(ctx, handle, resp, body)
	}
	c.d.poison.RecordCompleteResponse(c.current, c.suspect, resp)
	if resp.StatusCode >= http.StatusInternalServerError && c.route.Retryable() && c.sendCount < c.route.MaxEndpoints &&
		time.Until(c.deadline) > shortRetryAfter && c.retryPermit.acquire(ctx) {
		return attemptResult{outcome: dispatch.Failed, err: &FailedResponseError{Status: resp.StatusCode}}
	}
	c.tracked.markFirstEvent()
	c.d.placement.recordEvents(handle, 1)
	c.writeResponse(resp, body)
	if resp.StatusCode >= http.StatusInternalServerError {
		return attemptResult{outcome: dispatch.Failed, delivered: true}
	}
	return attemptResult{outcome: dispatch.Answered, delivered: true, status: resp.StatusCode}
}

// watchedBody records the arrival of a body whose endpoint is watched.
type watchedBody struct {
	resp  *upstream.Response
	watch *attemptWatch
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.resp.Read(p)
	if n > 0 && !b.watch.RecordEvent() {
		return 0, context.Canceled
	}
	return n, err
}

// forwardUnbuffered forwards a response of which the first part was read, however long its caller
// takes to read it: the attempt's watch must have been stopped. A response that breaks off
// ends with the caller's connection, so that it does not look complete.
func (c *callerRequest) forwardUnbuffered(ctx context.Context, handle uint64, resp *upstream.Response, first []byte) attemptResult {
	// Whoever was asked before has sent as much.
	c.endUndecided(dispatch.CallerDisconnected)
	c.dropKept()
	pace := forwardPace{begun: time.Now()}
	c.startResponse(resp, resp.ContentLength)
	c.tracked.markFirstEvent()
	c.d.placement.recordEvents(handle, 1)
	if err := pace.write(c, first); err != nil {
		c.logAnswer(resp, err)
		return attemptResult{outcome: dispatch.CallerDisconnected, err: err, delivered: true}
	}
	buf := make([]byte, forwardBufferSize)
	for {
		n, err := resp.Read(buf)
		if werr := pace.write(c, buf[:n]); werr != nil {
			c.logAnswer(resp, werr)
			return attemptResult{outcome: dispatch.CallerDisconnected, err: werr, delivered: true}
		}
		if err == io.EOF && mayBeCutOff(resp) {
			err = &CutOffError{Unread: resp.LongestUnread()}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			c.d.count("answers_broken")
			c.logAnswer(resp, err)
			if ctx.Err() != nil {
				return attemptResult{outcome: c.outcomeAtDeadline(ctx, resp, &pace), err: err, delivered: true, brokenOff: true}
			}
			return attemptResult{outcome: outcomeOf(err), connectionLost: isConnectionBroken(err), err: err, delivered: true, brokenOff: true}
		}
	}
	c.d.longResponses.RecordComplete(c.route.Name, pace.forwarded)
	c.d.poison.RecordCompleteResponse(c.current, c.suspect, resp)
	c.logAnswer(resp, c.completeResponse())
	if resp.StatusCode >= http.StatusInternalServerError {
		return attemptResult{outcome: dispatch.Failed, delivered: true}
	}
	return attemptResult{outcome: dispatch.Answered, delivered: true}
}

// writeToCaller writes to the caller, and fails if the caller takes nothing for callerStallTimeout.
// The deadline of the last piece stays, for what is still buffered.
func (c *callerRequest) writeToCaller(b []byte) error {
	rc := http.NewResponseController(c.w)
	for len(b) > 0 {
		if err := rc.SetWriteDeadline(time.Now().Add(callerStallTimeout)); err != nil {
			return err
		}
		n, err := c.w.Write(b[:min(len(b), forwardBufferSize)])
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
