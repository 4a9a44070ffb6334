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

// RequestHeaders is what a caller says of its request.
type RequestHeaders struct {
	// ID is unique to this sending of the request.
	ID string
	// Key is the API key; empty if there is none.
	Key string
	// Timeout is how long the caller waits, if HasTimeLeft.
	Timeout    time.Duration
	HasTimeout bool
	// PromptTokens and MaxOutputTokens are tokens, if HasTokens.
	PromptTokens, MaxOutputTokens int
	HasTokens                     bool
	// EstimatedOutputTokens is the caller's estimate of the output in tokens; 0 for none.
	EstimatedOutputTokens int
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
	// LastEventID is the last event that the caller has of a resumed stream.
	LastEventID string
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// UpstreamHeaders is what the system tells an endpoint of a request.
type UpstreamHeaders struct {
	// Endpoint is the incarnation that is meant.
	Endpoint     string
	Organisation string
	Timeout      time.Duration
	// LastEventID is set where a stream goes on after an event.
	LastEventID string
}

// ResponseHeaders is what an endpoint says of its answer.
type ResponseHeaders struct {
	// ID is the request that the answer belongs to.
	ID string
	// Sealed answers bear the endpoint's mark of authenticity.
	Sealed bool
	// NotExecuted says that the request was not run and never will be.
	NotExecuted bool
	// Replaced says that another incarnation than the one meant answers.
	Replaced bool
	// Encoded bodies are not the endpoint's own.
	Encoded bool
	// Notice is what the answering incarnation says of itself, Unreadable the headers of that which
	// cannot be understood.
	Notice       notice.Notice
	HeaderErrors []HeaderError
}

// HeaderError reports a header of an answer that cannot be understood.
type HeaderError struct{ Header, Value string }

// Error describes the failure.
func (e *HeaderError) Error() string { return fmt.Sprintf("header %s: %q", e.Header, e.Value) }

// Codec translates between the wire and the product's types.
type Codec interface {
	ParseRequest(h http.Header) RequestHeaders
	SetUpstreamHeaders(h http.Header, o UpstreamHeaders)
	ParseResponse(resp *http.Response) ResponseHeaders
	// SetRefusalHeaders marks an answer of the system's own to the request.
	SetRefusalHeaders(h http.Header, id string)
	ReadyPath() string
	// DecodeConfig returns nil without an error for a record that holds none.
	DecodeConfig(r Record) (*routing.Document, error)
	DecodeEndpoint(r Record) (members.Change, error)
	// DecodeOrder returns nil without an error for a record that holds no order to move a service to
	// another version.
	DecodeOrder(r Record) (*rollout.Order, error)
	// DecodeRolloutStatus returns nil without an error for a record of FeedVMs that does not say how
	// far an order is.
	DecodeRolloutStatus(r Record) (*RolloutStatus, error)
	// EncodeRolloutStatus is the record of FeedVMs that says how far an order is.
	EncodeRolloutStatus(s RolloutStatus) (Record, error)
}

// RolloutStatus says how far the move of a service to a version is.
type RolloutStatus struct {
	Service, Version string
	Phase            rollout.Phase
}

// Feed is one of the platform's sources of records.
type Feed int

// Feeds.
const (
	// FeedConfig holds the operator's configuration.
	FeedConfig Feed = iota
	// FeedEndpoints is the registry of endpoints.
	FeedEndpoints
	// FeedVMs holds what the system's own VMs keep: their addresses, and the requests that
	// ended endpoints.
	FeedVMs
)

// Record is a keyed record; without a value, the key was removed.
type Record struct {
	Key   string
	Value []byte
	// Position is where it lies, if that is known (Placed).
	Position    Position
	HasPosition bool
}

// Position is a place in a feed.
type Position struct {
	// Era rises by one each time the store comes back from a copy of itself; offsets given
	// out since that copy are given out again then.
	Era uint64
	// Offset counts the records of the feed.
	Offset uint64
}

// Before says whether a position is older than another.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Offset < q.Offset
}

// Store is the platform's store.
type Store interface {
	// Snapshot reads the newest record of each key, and the position to read on from.
	Snapshot(ctx context.Context, f Feed) (records []Record, next Position, err error)
	// Read reads records from an offset on, waiting up to wait for the first. It
	// returns the position to read on from, whose era is the store's, or a TrimmedError.
	Read(ctx context.Context, f Feed, from uint64, wait time.Duration) ([]Record, Position, error)
	// Write writes records of FeedVMs, all or none; one without a value removes its key.
	Write(ctx context.Context, records ...Record) error
	// CompareAndWrite writes a record of FeedVMs if the feed still ends at a position; else it returns a
	// ConflictError.
	CompareAndWrite(ctx context.Context, r Record, at Position) error
}

// ConflictError reports a write that was not made, since others were since.
type ConflictError struct{ At Position }

// Error describes the failure.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the feed does not end at offset %d of era %d any more", e.At.Offset, e.At.Era)
}

// TrimmedError reports records that the store no longer keeps.
type TrimmedError struct{ From uint64 }

// Error describes the failure.
func (e *TrimmedError) Error() string { return fmt.Sprintf("records from %d on were trimmed", e.From) }

// StaleEraError reports an answer from before the store came back from a copy.
type StaleEraError struct{ Era, Known uint64 }

// Error describes the failure.
func (e *StaleEraError) Error() string {
	return fmt.Sprintf("the answer is of era %d, %d is known", e.Era, e.Known)
}

// DecodeError reports a record that cannot be understood.
type DecodeError struct {
	Key string
	Err error
}

// Error describes the failure.
func (e *DecodeError) Error() string { return "record " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }
