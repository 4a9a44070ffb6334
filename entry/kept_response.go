package entry

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/suspect"
	"github.com/chivefield/chivefield/upstream"
)

const (
	// keptTime is how long a response may be kept without being read. It is less than unreadTolerance, so that the
	// end of one that is forwarded after all is not doubted.
	keptTime = unreadTolerance * 9 / 10
	// keptPlacementTime is how much of it the next attempt may wait for an endpoint.
	keptPlacementTime = unreadTolerance / 2
)

// keptResponse is a response that may be endless, of which the first part was read. It is kept, and not read further,
// while the request is sent to another endpoint, and is forwarded if that attempt fails. The methods do nothing on nil.
//
// Once it is set in a callerRequest, it owns resp, the reserved memory and cancel; the defers of forwardResponse, exchange
// and tryEndpoint leave them alone. take or drop passes them to exactly one caller of release.
type keptResponse struct {
	handle uint64
	resp   *upstream.Response
	body   []byte
	since  time.Time
	// memory is what the body holds of budget, in bytes.
	memory int64
	budget *memoryBudget
	// cancel ends the attempt, which sent copy to endpoint.
	cancel   context.CancelFunc
	copy     suspect.Copy
	endpoint *members.Endpoint

	// taken is set once the response is forwarded or dropped.
	taken atomic.Bool
	timer *time.Timer
}

// isOf reports whether the response is that of an attempt.
func (k *keptResponse) isOf(handle uint64) bool { return k != nil && k.handle == handle }

// succeeds reports whether the response states success.
func (k *keptResponse) succeeds() bool {
	return k != nil && k.resp.StatusCode < http.StatusMultipleChoices
}

// limitWait limits the time for which a job waits for an endpoint while the response is kept.
func (k *keptResponse) limitWait(now time.Duration, j *dispatch.Job) {
	if k == nil || k.taken.Load() {
		return
	}
	j.AbandonAt = min(j.AbandonAt, now+max(0, time.Until(k.since.Add(keptPlacementTime))))
}

// dropAfter drops the response once it has been kept for the given time: the attempt in progress may take long, and
// the endpoint cuts off what stays unread.
func (k *keptResponse) dropAfter(d time.Duration) {
	if k == nil || k.taken.Load() {
		return
	}
	k.timer = time.AfterFunc(time.Until(k.since.Add(d)), k.drop)
}

// hold ends dropAfter, and reports whether the response is still kept.
func (k *keptResponse) hold() bool {
	if k == nil {
		return false
	}
	if k.timer != nil {
		k.timer.Stop()
	}
	return !k.taken.Load()
}

// take reports whether the response is still kept, and ends that. The caller must release it.
func (k *keptResponse) take() bool { return k.hold() && k.taken.CompareAndSwap(false, true) }

func (k *keptResponse) drop() {
	if k.taken.CompareAndSwap(false, true) {
		k.release()
	}
}

func (k *keptResponse) release() {
	k.resp.Finish()
	k.cancel()
	k.budget.release(k.memory)
}

// dropKept drops the response that is kept, if any.
func (c *callerRequest) dropKept() {
	if c.kept.take() {
		c.kept.release()
	}
}

// failOrForwardKept ends a request for which there is no other endpoint: with the response that is kept, or as fail
// does if there is none.
func (c *callerRequest) failOrForwardKept(ctx context.Context, s *eventStream, reason string, retryAfter time.Duration) {
	if s != nil && s.headersSent || !c.kept.take() {
		c.fail(s, reason, retryAfter)
		return
	}
	c.forwardKept(ctx)
}

// forwardKept forwards the response that was kept.
func (c *callerRequest) forwardKept(ctx context.Context) {
	k := c.kept
	defer k.release()
	c.d.count("responses_kept")
	c.current = dispatch.EndpointHash(k.endpoint.Key())
	c.undecided = slices.DeleteFunc(c.undecided, func(handle uint64) bool { return handle == k.handle })
	a := excuseUnread(k.resp, c.forwardUnbuffered(ctx, k.handle, k.resp, k.body))
	c.recordAttempt(k.copy, k.endpoint, a)
	c.d.placement.endRun(k.handle, a.outcome)
	if a.brokenOff {
		panic(http.ErrAbortHandler)
	}
}
