// Package core is the decision core of one VM: requests, claims, scheduling,
// membership and configuration as one state machine without I/O, clock,
// goroutine or randomness. Feed it events with the time and carry out the
// effects it returns, in order:
//
//	n := core.New(cfg, now)
//	for ev := range events {
//		for _, ef := range n.Step(now(), ev) {
//			carryOut(ef)
//		}
//	}
//
// The same events at the same times give the same effects. Times are durations
// since any fixed moment of the VM's own monotonic clock. A Tick event must
// come every few milliseconds. The daemon, the golden sessions, the load tool
// and the random search all drive this package through Step.
package core
