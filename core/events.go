package core

import (
	"time"

	"github.com/chivefield/chivefield/claim"
	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/sched"
	"github.com/chivefield/chivefield/schema"
)

// Event is an input of Node.Step. The types below are all implementations.
type Event interface{ isEvent() }

// Tick advances time.
type Tick struct{}

// Arrive is a valid request of a caller. The handle is chosen by the code that
// drives the core and is never reused.
type Arrive struct {
	Handle uint64
	Spec   request.Spec
}

// CallerDisconnected reports that the caller no longer waits for the response.
// A running request continues, so that a retry can get its response.
type CallerDisconnected struct{ Handle uint64 }

// Cancel is a caller's request to stop.
type Cancel struct{ Handle uint64 }

// FirstToken reports that an endpoint has completed the prefill of a request.
type FirstToken struct{ Handle uint64 }

// Progress reports the total number of output tokens received so far.
type Progress struct {
	Handle uint64
	Tokens int
}

// End is the way in which a dispatch or attachment ended.
type End int

// Ends of dispatches and attachments.
const (
	// Complete: the whole response was received.
	Complete End = iota
	// NotAccepted: the endpoint provably never received the request.
	NotAccepted
	// Broken: the request may have run, and the response is incomplete.
	Broken
	// Stopped: the request was cancelled at the endpoint.
	Stopped
	// NotFound: nobody has the response to attach to, or the endpoint promises
	// nothing about its stream.
	NotFound
	// Fenced: the endpoint refused the dispatch as fenced or, after a Fence,
	// promised that the stream never ran and never will.
	Fenced
	// NotStarted: the other dispatch has not reached its endpoint, or only just
	// now.
	NotStarted
)

// Ended reports how a dispatch or an attachment ended.
type Ended struct {
	Handle uint64
	End    End
	Tokens int
}

// PeerMessage is a message from an incarnation of another VM.
type PeerMessage struct {
	From        uint32
	Incarnation uint64
	Message     *schema.Message
}

// PeerClosed reports that the kernel of a cell peer's VM closed the connection
// of that incarnation. A live process never closes it.
type PeerClosed struct {
	VM          uint32
	Incarnation uint64
}

// PeerNotListening reports that a cell peer's address refused a connection.
// Incarnation is the value that Node.PeerIncarnation returned before the
// connection attempt.
type PeerNotListening struct {
	VM          uint32
	Incarnation uint64
}

// PeerRemoved reports that a VM was removed from the platform's list.
type PeerRemoved struct{ VM uint32 }

// LogRead is a batch of records read from the log, in order.
type LogRead struct {
	// First is the lowest offset kept by the log; Next is the offset after its
	// last record.
	First, Next uint64
	Records     []LogEntry
}

// LogEntry is one record of the log. Record is nil if it could not be decoded.
type LogEntry struct {
	Offset uint64
	Record *schema.LogRecord
}

// LogFailed reports that the log could not be read.
type LogFailed struct{}

// EndpointLeaving reports that an endpoint is shutting down, or no longer is.
type EndpointLeaving struct {
	Endpoint string
	Leaving  bool
}

// CacheEvents holds the prefix cache events of an endpoint. Gap reports that
// some events were missed.
type CacheEvents struct {
	Endpoint        string
	Stored, Dropped []uint64
	Gap             bool
}

// Drain starts a graceful shutdown.
type Drain struct{}

func (Tick) isEvent()               {}
func (Arrive) isEvent()             {}
func (CallerDisconnected) isEvent() {}
func (Cancel) isEvent()             {}
func (FirstToken) isEvent()         {}
func (Progress) isEvent()           {}
func (Ended) isEvent()              {}
func (PeerMessage) isEvent()        {}
func (PeerClosed) isEvent()         {}
func (PeerNotListening) isEvent()   {}
func (PeerRemoved) isEvent()        {}
func (LogRead) isEvent()            {}
func (LogFailed) isEvent()          {}
func (EndpointLeaving) isEvent()    {}
func (CacheEvents) isEvent()        {}
func (Drain) isEvent()              {}

// Effect is an action returned by Node.Step. The types below are all
// implementations.
type Effect interface{ isEffect() }

// Dispatch sends a request to an endpoint, once. Ended must follow.
type Dispatch struct {
	Handle   uint64
	Endpoint string
	// Stream is the id under which the response can be requested from the
	// endpoint.
	Stream string
	// Candidates explains why this endpoint was picked.
	Candidates []sched.Candidate
}

// Attach fetches the response of another dispatch. Ended must follow.
type Attach struct {
	Handle uint64
	Record *schema.Record
}

// Fence asks the endpoint of another dispatch never to run it. Ended must
// follow.
type Fence struct {
	Handle uint64
	Record *schema.Record
}

// Finish reports the final outcome of a request.
type Finish struct {
	Handle     uint64
	Outcome    request.Outcome
	Reason     request.Reason
	RetryAfter time.Duration
}

// Conflict ends a request whose id was already used with a different body.
type Conflict struct{ Handle uint64 }

// Stop cancels a dispatch at its endpoint. Ended must follow.
type Stop struct {
	Handle uint64
	Reason request.Reason
}

// Send sends a message to a VM. Delivery is not guaranteed.
type Send struct {
	To      uint32
	Message *schema.Message
}

// Append appends a record to the log. It may be lost; the core then requests it
// again.
type Append struct{ Record *schema.LogRecord }

// ConfigApplied reports that a configuration took effect on this VM.
type ConfigApplied struct{ Rules *config.Rules }

// ConfigJudged reports the verdict on a configuration record of the log.
type ConfigJudged struct{ Verdict config.Verdict }

// Takeover reports that this VM now holds the keys of a dead VM.
type Takeover struct {
	VM    uint32
	Clean bool
}

// LeaseExpired reports that a VM of the cell has been silent for a lease.
type LeaseExpired struct{ Silence claim.Silence }

// DeclaredDead reports that the peers have declared this incarnation dead. The
// process must exit.
type DeclaredDead struct{}

// Drained reports that nothing remains to be done before the process exits.
type Drained struct{}

func (Dispatch) isEffect()      {}
func (Attach) isEffect()        {}
func (Fence) isEffect()         {}
func (Finish) isEffect()        {}
func (Conflict) isEffect()      {}
func (Stop) isEffect()          {}
func (Send) isEffect()          {}
func (Append) isEffect()        {}
func (ConfigApplied) isEffect() {}
func (ConfigJudged) isEffect()  {}
func (Takeover) isEffect()      {}
func (LeaseExpired) isEffect()  {}
func (DeclaredDead) isEffect()  {}
func (Drained) isEffect()       {}
