package core

import (
	"fmt"
	"time"

	"github.com/chivefield/chivefield/claim"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/sched"
	"github.com/chivefield/chivefield/schema"
)

// stage is the processing stage of a request.
type stage int

const (
	lookingUp stage = iota // looking up whether it ran before
	queued                 // waiting for an endpoint
	claiming               // assigned, waiting for the claim
	running                // dispatched
	attached               // reading the response of another dispatch
	fencing                // fencing another dispatch and releasing its claim
	refusing               // ensuring that "not run" stays true
)

// call represents one request of a caller.
type call struct {
	handle  uint64
	spec    request.Spec
	arrived time.Duration
	stage   stage
	// claimID is the id of the pending or granted claim acquisition; 0 if none.
	claimID uint64
	granted bool
	// assigned is the scheduler's assignment that waits for the claim.
	assigned sched.Assignment
	refusal  sched.Refusal
	retries  int
	// record and domain describe the dispatch to which the call is attached.
	record *schema.Record
	domain string
	// stopReason is set once a Stop effect has been emitted.
	stopReason request.Reason
}

// maxRetries bounds how often a request that provably ran nowhere is dispatched
// again.
const maxRetries = 2

func (n *Node) onArrive(ev Arrive) {
	c := &call{handle: ev.Handle, spec: ev.Spec, arrived: n.now}
	n.calls[ev.Handle] = c
	if c.spec.OutputTokens > 0 {
		c.spec.OutputTokens = n.outputEstimates.estimate(c.spec.Kind, c.spec.OutputTokens, c.spec.MaxOutputTokens)
	}
	switch {
	case n.draining:
		n.refuse(c, sched.Refusal{Handle: c.handle, Reason: request.ReasonShutdown, RetryAfter: drainRetryAfter})
	case c.spec.MayBeRetry():
		c.stage = lookingUp
		n.startClaim(c, claim.Find)
	default:
		n.enqueue(c)
	}
}

// drainRetryAfter is the delay after which a caller refused by a draining VM
// may retry at another VM.
const drainRetryAfter = 100 * time.Millisecond

func (n *Node) enqueue(c *call) {
	c.stage = queued
	n.sched.Submit(n.now, c.handle, c.spec)
}

// startClaim starts a claim acquisition for a call.
func (n *Node) startClaim(c *call, intent claim.Intent) {
	unused := c.claimID
	n.newClaimID(c)
	n.claims.Acquire(n.now, c.claimID, claim.Request{
		Intent: intent, Replaces: unused, HomeOnly: !c.spec.TrustFirstAttempt, Key: c.spec.Key, Digest: c.spec.Digest, Attempt: c.spec.Attempt,
		MayBeRetry: c.spec.MayBeRetry(), Arrived: c.arrived,
		Endpoint: c.assigned.Endpoint, Stream: n.stream(c),
	})
}

func (n *Node) newClaimID(c *call) {
	delete(n.callsByClaim, c.claimID)
	n.lastClaimID++
	c.claimID = n.lastClaimID
	n.callsByClaim[c.claimID] = c
}

// stream returns the stream id of the call's dispatch at the endpoint. No other
// dispatch has the same id, not even a retry of the same call: fencing one must
// not affect the other.
func (n *Node) stream(c *call) string {
	return fmt.Sprintf("%d-%x-%d-%d", n.cfg.Claim.Self.ID, n.cfg.Claim.Incarnation, c.handle, c.retries)
}

func (n *Node) onAssigned(a sched.Assignment) {
	c := n.calls[a.Handle]
	c.assigned = a
	c.granted = false
	c.stage = claiming
	n.startClaim(c, claim.Run)
}

func (n *Node) dispatch(c *call) {
	c.stage = running
	n.sched.RecordDispatch(n.now, c.handle)
	n.emit(Dispatch{Handle: c.handle, Endpoint: c.assigned.Endpoint, Stream: n.stream(c), Candidates: c.assigned.Candidates})
}

// onClaimResult continues the call whose claim acquisition ended.
func (n *Node) onClaimResult(r claim.Result) {
	c := n.callsByClaim[r.ID]
	if c == nil {
		return
	}
	if r.Verdict != claim.Granted {
		n.clearClaim(c)
		n.releaseSlot(c)
	}
	switch r.Verdict {
	case claim.Granted:
		n.claimGranted(c)
	case claim.Absent:
		n.enqueue(c)
	case claim.Held:
		n.onHeld(c, r)
	case claim.Conflict:
		delete(n.calls, c.handle)
		n.emit(Conflict{Handle: c.handle})
	case claim.NotRun:
		n.finishNotRun(c, r.Reason)
	default:
		n.finish(c, request.Unknown, r.Reason, unknownRetryAfter)
	}
}

// unknownRetryAfter is the delay after which a retry may get a definite
// outcome.
const unknownRetryAfter = 2 * time.Second

func (n *Node) claimGranted(c *call) {
	c.granted = true
	if n.now >= c.spec.Deadline {
		n.claims.NotDispatched(n.now, c.claimID)
		n.clearClaim(c)
		n.releaseSlot(c)
		n.refuse(c, sched.Refusal{Handle: c.handle, Reason: request.ReasonTooLate, RetryAfter: unknownRetryAfter})
		return
	}
	n.dispatch(c)
}

func (n *Node) clearClaim(c *call) {
	delete(n.callsByClaim, c.claimID)
	c.claimID = 0
	c.granted = false
}

// releaseSlot releases the endpoint slot of a call that was assigned but not
// dispatched.
func (n *Node) releaseSlot(c *call) {
	if c.stage == claiming {
		n.sched.Done(n.now, c.handle)
	}
}

// onHeld handles a claim held by another dispatch of the same key: the call
// attaches to it, or is cancelled if that dispatch was.
func (n *Node) onHeld(c *call, held claim.Result) {
	r := held.Record
	if r.State == schema.RecordState_CANCELLED {
		n.finish(c, request.Cancelled, request.ReasonRefusedBefore, 0)
		return
	}
	c.stage = attached
	c.record, c.domain = r, held.Domain
	n.emit(Attach{Handle: c.handle, Record: r})
}

// onRefused handles a refusal by the scheduler.
func (n *Node) onRefused(r sched.Refusal) {
	c := n.calls[r.Handle]
	if c.granted {
		n.claims.NotDispatched(n.now, c.claimID)
		n.clearClaim(c)
	}
	n.refuse(c, r)
}

// refuse answers "not run". For a request that may have been sent before, a
// claim must first ensure that no earlier attempt ran and that none will.
func (n *Node) refuse(c *call, r sched.Refusal) {
	c.refusal = r
	if !c.spec.MayBeRetry() {
		n.finish(c, request.NotRun, r.Reason, r.RetryAfter)
		return
	}
	c.stage = refusing
	n.startClaim(c, claim.Refuse)
}

func (n *Node) finishNotRun(c *call, reason request.Reason) {
	retryAfter := unknownRetryAfter
	if c.stage == refusing {
		reason, retryAfter = c.refusal.Reason, c.refusal.RetryAfter
	}
	n.finish(c, request.NotRun, reason, retryAfter)
}

func (n *Node) finish(c *call, o request.Outcome, reason request.Reason, retryAfter time.Duration) {
	delete(n.calls, c.handle)
	n.emit(Finish{Handle: c.handle, Outcome: o, Reason: reason, RetryAfter: retryAfter})
}

// onCallerDisconnected drops a request that has not been dispatched. A
// dispatched request continues.
func (n *Node) onCallerDisconnected(handle uint64) {
	c := n.calls[handle]
	if c == nil {
		return
	}
	if c.stage == running {
		return
	}
	n.abandon(c)
}

// abandon removes a call that was not dispatched and whose caller needs no
// response.
func (n *Node) abandon(c *call) {
	n.sched.Withdraw(n.now, c.handle)
	if c.claimID != 0 {
		n.claims.Abandon(n.now, c.claimID)
		n.clearClaim(c)
	}
	n.releaseSlot(c)
	delete(n.calls, c.handle)
}

func (n *Node) cancel(handle uint64) {
	c := n.calls[handle]
	if c == nil {
		return
	}
	if c.stage == running {
		n.stop(c, request.ReasonCallerGone)
		return
	}
	n.abandon(c)
	n.emit(Finish{Handle: handle, Outcome: request.Cancelled, Reason: request.ReasonCallerGone})
}

func (n *Node) stop(c *call, reason request.Reason) {
	if c.stopReason != "" {
		return
	}
	c.stopReason = reason
	n.emit(Stop{Handle: c.handle, Reason: reason})
}

// stopForHigherTier stops a running request, or refuses it if it has not been
// dispatched yet.
func (n *Node) stopForHigherTier(handle uint64) {
	c := n.calls[handle]
	if c.stage == running {
		n.stop(c, request.ReasonHigherTier)
		return
	}
	n.claims.Abandon(n.now, c.claimID)
	n.clearClaim(c)
	n.releaseSlot(c)
	n.refuse(c, sched.Refusal{Handle: handle, Reason: request.ReasonHigherTier, RetryAfter: unknownRetryAfter})
}

// stopExpired stops running idempotent requests whose deadline has passed.
func (n *Node) stopExpired() {
	for _, c := range n.sortedCalls() {
		if c.stage == running && c.spec.Idempotent && n.now >= c.spec.Deadline {
			n.stop(c, request.ReasonDeadlinePassed)
		}
	}
}

// onEnded handles the end of a dispatch or attachment.
func (n *Node) onEnded(ev Ended) {
	c := n.calls[ev.Handle]
	if c == nil {
		return
	}
	if c.stage == attached || c.stage == fencing {
		n.onAttachmentEnded(c, ev.End)
		return
	}
	if ev.End == NotAccepted && c.stopReason == "" {
		n.retry(c)
		return
	}
	if ev.End == Fenced {
		n.restartLookup(c)
		return
	}
	n.sched.RecordTokens(n.now, c.handle, ev.Tokens)
	n.sched.Done(n.now, c.handle)
	claimID := c.claimID
	n.clearClaim(c)
	switch ev.End {
	case Complete:
		n.outputEstimates.observe(c.spec.Kind, ev.Tokens)
		n.claims.RecordEnd(n.now, claimID, schema.RecordState_ANSWERED)
		n.finish(c, request.Answered, request.ReasonDone, 0)
	case NotAccepted:
		n.claims.NotDispatched(n.now, claimID)
		n.refuse(c, sched.Refusal{Handle: c.handle, Reason: c.stopReason, RetryAfter: unknownRetryAfter})
	case Stopped:
		n.claims.RecordEnd(n.now, claimID, schema.RecordState_CANCELLED)
		n.finish(c, request.Cancelled, c.stopReason, 0)
	default:
		n.claims.RecordEnd(n.now, claimID, schema.RecordState_UNKNOWN)
		n.finish(c, request.Unknown, request.ReasonStreamBroken, unknownRetryAfter)
	}
}

func (n *Node) onAttachmentEnded(c *call, end End) {
	switch end {
	case Fenced:
		n.releaseFenced(c)
	case NotStarted:
		n.awaitDispatch(c)
	case Complete:
		n.finish(c, request.Answered, request.ReasonDone, 0)
	case Stopped:
		n.finish(c, request.Cancelled, request.ReasonCallerGone, 0)
	case NotFound, NotAccepted:
		n.finish(c, request.Unknown, request.ReasonAnswerExpired, unknownRetryAfter)
	default:
		n.finish(c, request.Unknown, request.ReasonStreamBroken, unknownRetryAfter)
	}
}

// awaitDispatch decides about a call whose key another VM has claimed and not
// dispatched. While that VM gives signs of life, its dispatch is only late: a
// fence would end it, and each VM that waits would fence the next one's in turn.
// The claim is looked up again, since the VM may have released it.
func (n *Node) awaitDispatch(c *call) {
	switch {
	case n.now >= c.spec.Deadline:
		n.finish(c, request.Unknown, request.ReasonDeadlinePassed, unknownRetryAfter)
	case c.stage == attached && !n.mayStillDispatch(c.record):
		c.stage = fencing
		n.emit(Fence{Handle: c.handle, Record: c.record})
	default:
		c.spec.Attempt = request.UndeclaredAttempt
		c.stage = lookingUp
		n.startClaim(c, claim.Find)
	}
}

// mayStillDispatch reports whether the VM that claimed a record may be about to
// dispatch it.
func (n *Node) mayStillDispatch(r *schema.Record) bool {
	if r.State != schema.RecordState_CLAIMED {
		return false
	}
	if r.Dispatcher == n.cfg.Claim.Self.ID {
		return r.DispatcherIncarnation == n.cfg.Claim.Incarnation
	}
	return n.liveness.isAlive(r.Dispatcher, r.DispatcherIncarnation)
}

// releaseFenced releases the claim of a dispatch whose endpoint has promised
// never to run it. Then the request proceeds on its own.
func (n *Node) releaseFenced(c *call) {
	n.newClaimID(c)
	n.claims.ReleaseFenced(n.now, c.claimID, c.record, c.domain)
}

// restartLookup looks up the request's claim again after another VM fenced this
// dispatch at its endpoint and released its claim.
func (n *Node) restartLookup(c *call) {
	n.sched.Done(n.now, c.handle)
	n.claims.NotDispatched(n.now, c.claimID)
	n.clearClaim(c)
	c.spec.Attempt = request.UndeclaredAttempt
	c.retries++
	c.stage = lookingUp
	n.startClaim(c, claim.Find)
}

// retry moves a request that provably ran nowhere to another endpoint, up to
// maxRetries times. The new claim replaces the existing one.
func (n *Node) retry(c *call) {
	c.retries++
	if c.retries > maxRetries {
		n.sched.Backoff(n.now, c.assigned.Endpoint)
		n.sched.Done(n.now, c.handle)
		n.claims.NotDispatched(n.now, c.claimID)
		n.clearClaim(c)
		n.refuse(c, sched.Refusal{Handle: c.handle, Reason: request.ReasonEndpointFailed, RetryAfter: unknownRetryAfter})
		return
	}
	c.stage = queued
	n.sched.Retry(n.now, c.handle)
}

func (n *Node) sortedCalls() []*call {
	list := make([]*call, 0, len(n.calls))
	for _, c := range n.calls {
		list = append(list, c)
	}
	sortCalls(list)
	return list
}
