// Package notice keeps what incarnations of endpoints say of themselves in their answers. It is pure:
// answers, what other VMs know, and the time come in.
package notice

import "time"

// Notice is what one answer of an incarnation says of it.
type Notice struct {
	// Limit is how many requests a second the incarnation takes from all VMs together, if HasLimit.
	Limit    float64
	HasLimit bool
	// LimitUnknown says that the answer does not tell whether there is a limit.
	LimitUnknown bool
	// Leaving says that it gets no new requests for the rest of its life.
	Leaving bool
	// Backoff is for how long it wants nothing from the VM that it turned away; 0 if it did not ask.
	Backoff time.Duration
}
