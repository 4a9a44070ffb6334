// Package core implements the decision core of one VM. It combines requests,
// claims, scheduling, membership and configuration in one state machine without
// I/O, clock, goroutines or randomness. The caller passes events together with
// the current time to Step and executes the returned effects in order:
//
//	n := core.New(cfg, now)
//	for ev := range events {
//		for _, ef := range n.Step(now(), ev) {
//			execute(ef)
//		}
//	}
//
// The core is deterministic: the same events at the same times produce the same
// effects. Times are durations since an arbitrary fixed point of the VM's
// monotonic clock. A Tick event must be passed every few milliseconds. The
// daemon, the golden session tests, the load tool and the randomised search all
// drive this package through Step.
package core
