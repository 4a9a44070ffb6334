package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/notice"
	"github.com/chivefield/chivefield/core/rollout"
	"github.com/chivefield/chivefield/core/routing"
)

// RequestHeaders holds what a caller's headers state about its request.
type RequestHeaders struct {
	// ID is unique to each time that the request is sent.
	ID string
	// Key is the API key; empty if there is none.
	Key string
	// Timeout is how long the caller waits, if HasTimeout is set.
	Timeout    time.Duration
	HasTimeout bool
	// PromptTokens and MaxOutputTokens are valid if HasTokens is set.
	PromptTokens, MaxOutputTokens int
	HasTokens                     bool
	// EstimatedOutputTokens is the caller's estimate of the output; 0 if there is none.
	EstimatedOutputTokens int
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
	// LastEventID is the ID of the last event that the caller received of a stream that it
	// resumes.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of that stream.
	Resumes string
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// SharedParts returns the parts that other requests may have too: all but the last, which belongs to
// the request or its session.
func (h *RequestHeaders) SharedParts() []PromptPart {
	return h.Parts[:max(0, len(h.Parts)-1)]
}

// UpstreamHeaders holds what is added to the headers of a request to an endpoint.
type UpstreamHeaders struct {
	// Endpoint is the ID of the incarnation that the request is meant for.
	Endpoint     string
	Organisation string
	Timeout      time.Duration
	// LastEventID is set if a stream resumes after an event.
	LastEventID string
}

// ResponseHeaders holds what an endpoint's headers state about its response.
type ResponseHeaders struct {
	// ID identifies the request that the response belongs to.
	ID string
	// Sealed is set if the response carries the endpoint's seal, which shows that it is
	// authentic.
	Sealed bool
	// NotExecuted is set if the request was not run and never will be.
	NotExecuted bool
	// Replaced is set if an incarnation other than the addressed one responded. Instance is the ID that the
	// responding one states; empty if it states none.
	Replaced bool
	Instance string
	// Encoded is set if the body has a content encoding, which endpoints do not apply themselves.
	Encoded bool
	// Notice is what the responding incarnation reports about itself, HeaderErrors lists those of
	// its headers that cannot be parsed.
	Notice       notice.Notice
	HeaderErrors []HeaderError
}

// HeaderError reports a response header that cannot be parsed.
type HeaderError struct{ Header, Value string }

// Error implements error.
func (e *HeaderError) Error() string { return fmt.Sprintf("header %s: %q", e.Header, e.Value) }

// Codec converts between the wire format and the types of this package.
type Codec interface {
	ParseRequest(h http.Header) RequestHeaders
	// RemoveOwnHeaders removes the headers of a caller's request that no endpoint gets as the caller sent them.
	RemoveOwnHeaders(h http.Header)
	// SetUpstreamHeaders sets the headers that the system adds to a request to an endpoint.
	SetUpstreamHeaders(h http.Header, o UpstreamHeaders)
	ParseResponse(resp *http.Response) ResponseHeaders
	// SetRefusalHeaders sets the headers of a response that the VM itself sends for a request.
	SetRefusalHeaders(h http.Header, id string)
	ReadyPath() string
	// DecodeConfig returns nil without an error for a record that holds no configuration.
	DecodeConfig(r Record) (*routing.Document, error)
	DecodeEndpoint(r Record) (members.Change, error)
	// DecodeOrder returns nil without an error for a record that holds no rollout order for a
	// service.
	DecodeOrder(r Record) (*rollout.Order, error)
	// DecodeRolloutStatus returns nil without an error for a record of FeedVMs that is not a
	// rollout status.
	DecodeRolloutStatus(r Record) (*RolloutStatus, error)
	// EncodeRolloutStatus returns the record of FeedVMs for a rollout status.
	EncodeRolloutStatus(s RolloutStatus) (Record, error)
}

// RolloutStatus is the phase of the rollout of a version of a service.
type RolloutStatus struct {
	Service, Version string
	Phase            rollout.Phase
}

// Feed is one of the platform's sources of records.
type Feed int

// The feeds of the platform's store.
const (
	// FeedConfig holds the operator's configuration.
	FeedConfig Feed = iota
	// FeedEndpoints is the registry of endpoints.
	FeedEndpoints
	// FeedVMs holds records written by the VMs themselves: their addresses, the convicted
	// requests that terminated endpoints, and rollout statuses.
	FeedVMs
)

// Record is a keyed record. A record without a value removes its key.
type Record struct {
	Key   string
	Value []byte
	// Position is where the record lies in its feed, if HasPosition is set.
	Position    Position
	HasPosition bool
}

// Position is a position in a feed.
type Position struct {
	// Era is incremented each time the store is restored from a backup. Offsets assigned after
	// that backup was taken are then assigned again.
	Era uint64
	// Offset counts the records of the feed.
	Offset uint64
}

// Before reports whether p is older than q.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Offset < q.Offset
}

// Store is the platform's store.
type Store interface {
	// Snapshot returns the latest record of each key, and the position from which to continue
	// reading.
	Snapshot(ctx context.Context, f Feed) (records []Record, next Position, err error)
	// Read returns records starting at an offset, waiting up to wait for the first one. It
	// returns the position from which to continue reading, whose era is the store's, or a
	// TrimmedError.
	Read(ctx context.Context, f Feed, from uint64, wait time.Duration) ([]Record, Position, error)
	// Write writes records of FeedVMs atomically; one without a value removes its key.
	Write(ctx context.Context, records ...Record) error
	// AppendLog appends a record to the log, which the store keeps for a limited time.
	AppendLog(ctx context.Context, record []byte) error
	// ReadLog returns records of the log starting at an offset, or a TrimmedError.
	ReadLog(ctx context.Context, from uint64) (LogPage, error)
	// CompareAndWrite writes a record of FeedVMs if the feed still ends at the position at.
	// Otherwise it returns a ConflictError.
	CompareAndWrite(ctx context.Context, r Record, at Position) error
}

// ConflictError reports a conditional write that failed because other records had been written.
type ConflictError struct{ At Position }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("feed no longer ends at offset %d of era %d", e.At.Offset, e.At.Era)
}

// LogPage is a part of the store's log.
type LogPage struct {
	Records [][]byte
	// End is the offset after the log's last record, which may be after the page.
	End uint64
}

// TrimmedError reports a read of records that the store no longer keeps. First is the offset of the oldest
// that it has, 0 if unknown.
type TrimmedError struct{ From, First uint64 }

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records from offset %d on have been trimmed", e.From)
}

// StaleEraError reports a response from before the store was restored from a backup.
type StaleEraError struct{ Era, Known uint64 }

// Error implements error.
func (e *StaleEraError) Error() string {
	return fmt.Sprintf("response from era %d, but era %d is already known", e.Era, e.Known)
}

// DecodeError reports a record that cannot be decoded.
type DecodeError struct {
	Key string
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string { return "record " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }
