// Package sched decides which endpoint runs which request and when, what is
// refused and what is stopped. It is a state machine without I/O, clock or
// goroutine: the methods of Scheduler take events and the time, Take returns
// the decisions.
//
// Engines admit in arrival order and know no tiers, so requests wait here and
// are bound late, into a window per endpoint that is shared by the VMs that use
// it. A decision is made in three steps, each in a file of its own: filter
// (which endpoints could run it in time), score (what each would cost) and pick
// (the best one with room, or a lower-tier request to stop for it).
//
// # Invariants
//
//   - A request is assigned at most once, unless Retry gives it back.
//   - Within reach of an endpoint, a lower tier is never assigned while a higher
//     tier that could use the room waits here or, as far as digests tell,
//     at another VM.
//   - A request is refused only when it cannot be done in time any more. Before
//     that, while its slack lasts, lower-tier idempotent work that holds room it
//     could use is stopped here, and the VMs that share such an endpoint are asked
//     to stop theirs. A VM that does not answer is not waited for beyond the slack.
package sched
