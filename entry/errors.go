package entry

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// StreamBatchError reports a batch of stream records whose lists don't fit together.
type StreamBatchError struct{ Keys, Versions, TTLs int }

// Error implements error.
func (e *StreamBatchError) Error() string {
	return fmt.Sprintf("batch of %d streams has %d versions and %d times", e.Keys, e.Versions, e.TTLs)
}

// RejectedError reports that an endpoint did not run a request.
type RejectedError struct{ Status int }

// Error implements error.
func (e *RejectedError) Error() string {
	return "endpoint did not run the request: status " + itoa(e.Status)
}

// UntrustedResponseError reports a response that cannot be the endpoint's own complete response,
// or whose status makes a promise that the endpoint did not confirm.
type UntrustedResponseError struct{ Status int }

// Error implements error.
func (e *UntrustedResponseError) Error() string {
	return "response cannot be forwarded: status " + itoa(e.Status)
}

// FailedResponseError reports an error response of an endpoint after which the request is retried
// elsewhere.
type FailedResponseError struct{ Status int }

// Error implements error.
func (e *FailedResponseError) Error() string { return "endpoint failed: status " + itoa(e.Status) }

// PartialEventError reports a stream that ended with its connection inside an event, of which some
// bytes had come: it has broken off.
type PartialEventError struct{ Bytes int }

// Error implements error.
func (e *PartialEventError) Error() string {
	return "connection ended inside an event, after " + itoa(e.Bytes) + " bytes of it"
}

// NoEventsError reports a stream that ended with its connection before its first event.
type NoEventsError struct{}

// Error implements error.
func (e *NoEventsError) Error() string { return "connection ended before the first event" }

// UnverifiedEndError reports a stream that ended with its connection between two events, at an endpoint that
// may have been terminated, after its caller had been promised a response whose end is stated.
type UnverifiedEndError struct{}

// Error implements error.
func (e *UnverifiedEndError) Error() string {
	return "connection ended without the stream's stated end"
}

// CutOffError reports a response that ended with its connection after it had stayed unread for so long
// that its endpoint may have cut it off.
type CutOffError struct{ Unread time.Duration }

// Error implements error.
func (e *CutOffError) Error() string {
	return "connection ended after the response had stayed unread for " + e.Unread.String()
}

// RetryBudgetError reports a retry that was not sent: it waited until its part of the retry
// budget had expired.
type RetryBudgetError struct{ Service string }

// Error implements error.
func (e *RetryBudgetError) Error() string {
	return "retry budget of service " + e.Service + " is exhausted"
}

func itoa(n int) string { return strconv.Itoa(n) }

// splitList splits a comma-separated header value.
func splitList(v string) []string {
	var list []string
	for _, s := range strings.Split(v, ",") {
		if s = strings.TrimSpace(s); s != "" {
			list = append(list, s)
		}
	}
	return list
}

// NoSourceError reports that no VM could provide the endpoint registry as of an offset.
type NoSourceError struct {
	Address string
	At      Position
}

// Error implements error.
func (e *NoSourceError) Error() string {
	if e.Address != "" {
		return "VM " + e.Address + " does not have the registry"
	}
	return fmt.Sprintf("no VM has the registry up to offset %d of era %d", e.At.Offset, e.At.Era)
}

// VMRecordError reports a VM record that cannot be parsed.
type VMRecordError struct{ Record string }

// Error implements error.
func (e *VMRecordError) Error() string { return "malformed VM record: " + strconv.Quote(e.Record) }

// VersionMarkError reports the record of a service's single version that cannot be parsed.
type VersionMarkError struct{ Record string }

// Error implements error.
func (e *VersionMarkError) Error() string {
	return "malformed version mark: " + strconv.Quote(e.Record)
}

// InflatedSizeError reports compressed contents that are larger than they may be.
type InflatedSizeError struct{ Limit int64 }

// Error implements error.
func (e *InflatedSizeError) Error() string {
	return "compressed contents exceed " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// IdleStreamError reports a stream that exceeded the number of bytes allowed without an event.
type IdleStreamError struct{ Bytes int }

// Error implements error.
func (e *IdleStreamError) Error() string {
	return "stream sent " + itoa(e.Bytes) + " bytes without an event"
}

// AttemptGivenUpError reports an attempt that was given up for another endpoint meanwhile.
type AttemptGivenUpError struct{}

// Error implements error.
func (e *AttemptGivenUpError) Error() string { return "attempt was given up for another endpoint" }

// ResponseMemoryError reports a response that was given up since others hold the memory that it needs.
type ResponseMemoryError struct{ Bytes int }

// Error implements error.
func (e *ResponseMemoryError) Error() string {
	return "no memory for a response of which " + itoa(e.Bytes) + " bytes are buffered"
}

// EndlessResponseError reports a response without a stated length that is longer than its route has completed before.
type EndlessResponseError struct{ Bytes int64 }

// Error implements error.
func (e *EndlessResponseError) Error() string {
	return "response of no stated length goes on after " + strconv.FormatInt(e.Bytes, 10) + " bytes"
}

// BodyMemoryError reports a request's body of unstated length for which there is no memory left.
type BodyMemoryError struct{ Bytes int64 }

// Error implements error.
func (e *BodyMemoryError) Error() string {
	return "no memory for a request body after " + strconv.FormatInt(e.Bytes, 10) + " bytes"
}
