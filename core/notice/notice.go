// Package notice tracks what incarnations of endpoints announce about themselves in their responses: rate limits,
// backoff and that they leave. VMs send each other records of them in notes, the datagrams that they exchange ten
// times a second. The package performs no I/O: responses, records of other VMs and the current time are passed in.
package notice

import "time"

// Notice is what one response of an incarnation announces about it.
type Notice struct {
	// Limit is how many requests a second the incarnation accepts from all VMs together, if HasLimit is set.
	Limit    float64
	HasLimit bool
	// LimitUnknown is set if the response does not tell whether there is a limit.
	LimitUnknown bool
	// Brittle is how many requests the incarnation bears to reject in a second, from all VMs together,
	// if IsBrittle is set: beyond that it falls over.
	Brittle   float64
	IsBrittle bool
	// BrittleUnknown is set if the response does not tell whether the incarnation is brittle.
	BrittleUnknown bool
	// Leaving is set if the incarnation takes no new requests for the rest of its life.
	Leaving bool
	// Backoff is for how long it wants no requests from the VM that it refused; 0 if it did not ask for any.
	Backoff time.Duration
}
