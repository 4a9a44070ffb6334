package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/sse"
	"github.com/chivefield/chivefield/upstream"
)

// A response that states no length and exceeds what is buffered of it is a long one, or one that a faulty endpoint
// sends without end. Another endpoint is asked where that does no harm: if its response is shorter, the first
// endpoint has failed; if it is as long, so is the response.

// maxResponseRate is the rate, in bytes a second, that no response exceeds: a link of 10 Gbit/s.
const maxResponseRate = 10e9 / 8

// endsInTime reports whether a response states a length that can arrive before a deadline.
func endsInTime(length int64, left time.Duration) bool {
	return length >= 0 && float64(length) <= maxResponseRate*left.Seconds()
}

// mayBeEndless reports whether a response of which as much was read is longer than any that its route has completed,
// and states no length that could end it in time.
func (c *callerRequest) mayBeEndless(resp *upstream.Response, read int64) bool {
	return !endsInTime(resp.ContentLength, c.deadline.Sub(c.arrived)) && !c.d.longResponses.Plausible(c.route.Name, read)
}

// reserveSecondAttempt reports whether the request may be sent to another endpoint to find out how long its response
// is, and acquires a retry permit for it if so. It may be sent once.
func (c *callerRequest) reserveSecondAttempt(ctx context.Context) bool {
	if len(c.undecided) > 0 || !c.route.Retryable() || c.sendCount >= c.route.MaxEndpoints || time.Until(c.deadline) < shortRetryAfter {
		return false
	}
	j := c.jobAfter(append(slices.Clone(c.tried), c.current), c.avoided)
	return c.d.sched.hasAlternative(&j) && c.retryPermit.acquire(ctx)
}

// endAttempt ends the run of an attempt, and those of earlier ones whose outcome this one tells.
func (c *callerRequest) endAttempt(handle uint64, a attemptResult) {
	if a.undecided {
		c.undecided = append(c.undecided, handle)
		return
	}
	if a.outcome == dispatch.Answered {
		c.endUndecided(shorterOutcome(a.status))
	}
	c.d.placement.endRun(handle, a.outcome)
}

// shorterOutcome returns the outcome of an attempt whose response went on, while that of the next one ended early with
// the given status. A refusal says nothing about the length of a response.
func shorterOutcome(status int) dispatch.Outcome {
	if status < http.StatusMultipleChoices {
		return dispatch.Endless
	}
	return dispatch.CallerDisconnected
}

// endUndecided ends the runs of attempts whose outcome was not known.
func (c *callerRequest) endUndecided(o dispatch.Outcome) {
	for _, handle := range c.undecided {
		c.d.placement.endRun(handle, o)
	}
	c.undecided = nil
}

// forwardPace is the pace at which a response is forwarded, and who sets it.
type forwardPace struct {
	begun time.Time
	// forwarded is the number of bytes forwarded, writing the time that the caller took for them.
	forwarded int64
	writing   time.Duration
}

// write writes a part of the response to the caller.
func (p *forwardPace) write(c *callerRequest, b []byte) error {
	begun := time.Now()
	err := c.writeToCaller(b)
	p.writing += time.Since(begun)
	p.forwarded += int64(len(b))
	return err
}

// quickCallerBytes is how much a caller takes before its deadline that is not slow, whoever sets the pace.
const quickCallerBytes = 64 << 20

// setByCaller reports whether the caller set the pace: the response waited for it, not for the endpoint, most of the
// time.
func (p *forwardPace) setByCaller() bool {
	return p.forwarded < quickCallerBytes && p.writing > time.Since(p.begun)/2
}

// outcomeAtDeadline returns the outcome of a response that was forwarded until the request's context ended. A caller that
// reads slowly, with pauses or without, is no fault of the endpoint.
func (c *callerRequest) outcomeAtDeadline(ctx context.Context, resp *upstream.Response, pace *forwardPace) dispatch.Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !leftUnread(resp) && !pace.setByCaller() && c.mayBeEndless(resp, pace.forwarded) {
		c.d.count("responses_endless")
		return dispatch.Endless
	}
	return dispatch.CallerDisconnected
}

// outcomeOf returns the outcome of an attempt that ended with an error about its response.
func outcomeOf(err error) dispatch.Outcome {
	var head *upstream.HeadLimitError
	var framing *upstream.FramingLimitError
	var event *sse.EventTooLongError
	if errors.As(err, &head) || errors.As(err, &framing) || errors.As(err, &event) {
		return dispatch.Endless
	}
	return dispatch.Broken
}
