package configcheck

import (
	"fmt"
	"time"
)

// EmptyError reports a field that must not be empty.
type EmptyError struct{ Consequence string }

// Error implements error.
func (e *EmptyError) Error() string { return "is empty: " + e.Consequence }

// NegativeError reports a number that must not be negative.
type NegativeError struct{}

// Error implements error.
func (e *NegativeError) Error() string { return "is negative" }

// DuplicateError reports a value that an earlier item has. The value itself may be secret and is not kept.
type DuplicateError struct {
	What  string
	Other string
}

// Error implements error.
func (e *DuplicateError) Error() string { return "has the same " + e.What + " as " + e.Other }

// HostPortError reports a host with a port, which is removed from a request's host before the look-up.
type HostPortError struct{ Host string }

// Error implements error.
func (e *HostPortError) Error() string {
	return fmt.Sprintf("%q contains a colon and never matches: ports of requests are ignored", e.Host)
}

// PrefixError reports a path prefix that no path has.
type PrefixError struct{ Prefix string }

// Error implements error.
func (e *PrefixError) Error() string {
	return fmt.Sprintf("%q never matches: paths begin with / and contain neither ? nor #", e.Prefix)
}

// ShadowedError reports a route all of whose requests match another one.
type ShadowedError struct{ Route string }

// Error implements error.
func (e *ShadowedError) Error() string {
	return "never matches: route " + e.Route + " takes all its requests"
}

// UnknownServiceError reports a route to a service that the document does not have.
type UnknownServiceError struct{ Service string }

// Error implements error.
func (e *UnknownServiceError) Error() string { return fmt.Sprintf("names no service: %q", e.Service) }

// NoWeightError reports shares whose weights are all 0.
type NoWeightError struct{}

// Error implements error.
func (e *NoWeightError) Error() string {
	return "has no weight above 0: all requests go to the first service"
}

// UnusedError reports a service that no route names.
type UnusedError struct{}

// Error implements error.
func (e *UnusedError) Error() string { return "no route names the service" }

// BelowError reports a value that is below one that it should reach.
type BelowError struct {
	Value time.Duration
	What  string
	Other time.Duration
}

// Error implements error.
func (e *BelowError) Error() string {
	return fmt.Sprintf("%v is below the %s of %v", e.Value, e.What, e.Other)
}

// AboveError reports a value that is above one that it should not exceed.
type AboveError struct {
	Value time.Duration
	What  string
	Other time.Duration
}

// Error implements error.
func (e *AboveError) Error() string {
	return fmt.Sprintf("%v is above the %s of %v", e.Value, e.What, e.Other)
}

// AttemptsError reports more attempts than requests of a kind may use.
type AttemptsError struct{ Attempts, Usable int }

// Error implements error.
func (e *AttemptsError) Error() string {
	if e.Usable == 1 {
		return fmt.Sprintf("%d attempts, but a request of this kind may run once: others only follow attempts that did not run", e.Attempts)
	}
	return fmt.Sprintf("%d attempts, but a request uses at most %d", e.Attempts, e.Usable)
}

// ResumableError reports a resumable route that is no stream.
type ResumableError struct{}

// Error implements error.
func (e *ResumableError) Error() string { return "has no effect: the route is no stream" }

// AllowanceError reports an allowance that does not reach for one request.
type AllowanceError struct{ Value, Request float64 }

// Error implements error.
func (e *AllowanceError) Error() string {
	return fmt.Sprintf("%g is below one request, which takes %g", e.Value, e.Request)
}

// UnlimitedError reports a limit of 0, which does not limit.
type UnlimitedError struct{}

// Error implements error.
func (e *UnlimitedError) Error() string { return "is 0: bodies of any size are admitted" }
