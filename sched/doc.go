// Package sched decides which endpoint runs which request and when, which
// requests are refused and which are stopped. It is a state machine without
// I/O, clock or goroutines: the methods of Scheduler take events and the time,
// Take returns the decisions.
//
// Engines admit requests in arrival order and ignore tiers, so requests are
// queued here and assigned late, into a window per endpoint that is shared by
// the VMs that use it. A decision is made in three steps, each in a file of its
// own: filter (which endpoints could complete the request in time), score (the
// cost at each) and pick (the best one with capacity, or a lower-tier request
// to stop).
//
// # Invariants
//
//   - A request is assigned at most once, unless Retry returns it to the queue.
//   - At an endpoint, a lower tier is never assigned while a higher tier that
//     could use the capacity waits here or, according to digests, at another VM.
//   - A request is refused only when it cannot be completed in time any more.
//     Before that, while it has slack, lower-tier idempotent requests that use
//     capacity it could use are stopped here, and the VMs that share such an
//     endpoint are asked to stop theirs. The reply of a VM is not waited for
//     beyond the slack.
package sched
