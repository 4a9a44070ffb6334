package core

import (
	"time"

	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/sched"
	"github.com/chivefield/chivefield/schema"
)

// Event is something that happened. The types below are all there are.
type Event interface{ isEvent() }

// Tick lets time pass.
type Tick struct{}

// Arrive is a valid request of a caller. Handles are the harness's, never used twice.
type Arrive struct {
	Handle uint64
	Spec   request.Spec
}

// CallerDisconnected says that nobody waits for the answer any more. A request that
// runs goes on, so that a repeat can have the answer.
type CallerDisconnected struct{ Handle uint64 }

// Cancel is the caller's own order to stop.
type Cancel struct{ Handle uint64 }

// FirstToken says that an endpoint read the prompt.
type FirstToken struct{ Handle uint64 }

// Progress says how many tokens have come in all.
type Progress struct {
	Handle uint64
	Tokens int
}

// End is how a dispatch ended.
type End int

// Ends of dispatches.
const (
	// Complete: the whole answer came.
	Complete End = iota
	// NotAccepted: the endpoint provably never got the request.
	NotAccepted
	// Broken: it may have run, and the answer is not whole.
	Broken
	// Stopped: it was cancelled at the endpoint.
	Stopped
	// NotFound: an attachment found no such stream.
	NotFound
	// Fenced: the endpoint refused the dispatch, or promises the attachment,
	// that the stream never ran and never will.
	Fenced
)

// Ended says how a dispatch or an attachment ended.
type Ended struct {
	Handle uint64
	End    End
	Tokens int
}

// PeerMessage is a message of another VM's incarnation.
type PeerMessage struct {
	From        uint32
	Incarnation uint64
	Message     *schema.Message
}

// PeerClosed says that the kernel of a cell peer's VM closed the connection of
// that incarnation, which a live process never closes.
type PeerClosed struct {
	VM          uint32
	Incarnation uint64
}

// PeerNotListening says that a cell peer's address refused a connection. Incarnation
// is what Node.PeerIncarnation said before the attempt.
type PeerNotListening struct {
	VM          uint32
	Incarnation uint64
}

// PeerRemoved says that the platform's list dropped a VM.
type PeerRemoved struct{ VM uint32 }

// LogRead is a batch read from the log, in order.
type LogRead struct {
	// First is the lowest offset kept by the log; Next the one after its end.
	First, Next uint64
	Records     []LogEntry
}

// LogEntry is one record of the log; Record is nil if it could not be decoded.
type LogEntry struct {
	Offset uint64
	Record *schema.LogRecord
}

// LogFailed says that the log could not be read.
type LogFailed struct{}

// EndpointLeaving says that an endpoint leaves, or no longer does.
type EndpointLeaving struct {
	Endpoint string
	Leaving  bool
}

// CacheEvents are an endpoint's prefix cache events. Gap says that some were missed.
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

// Effect is something to do. The types below are all there are.
type Effect interface{ isEffect() }

// Dispatch sends a request to an endpoint, once. Ended must follow.
type Dispatch struct {
	Handle   uint64
	Endpoint string
	// Stream is the id under which the endpoint can be asked for the answer.
	Stream string
	// Candidates tell why this endpoint was picked.
	Candidates []sched.Candidate
}

// Attach fetches the answer of another dispatch. Ended must follow.
type Attach struct {
	Handle uint64
	Record *schema.Record
}

// Finish is the final answer of a request.
type Finish struct {
	Handle     uint64
	Outcome    request.Outcome
	Reason     request.Reason
	RetryAfter time.Duration
}

// Conflict ends a request whose id was used with another body.
type Conflict struct{ Handle uint64 }

// Stop cancels a dispatch at its endpoint. Ended must follow.
type Stop struct {
	Handle uint64
	Reason request.Reason
}

// Send passes a message to a VM; it may be lost.
type Send struct {
	To      uint32
	Message *schema.Message
}

// Append appends a record to the log; it may be lost, and is then asked for again.
type Append struct{ Record *schema.LogRecord }

// ConfigApplied says that a document took effect here.
type ConfigApplied struct{ Rules *config.Rules }

// ConfigJudged is the verdict on a record of the log.
type ConfigJudged struct{ Verdict config.Verdict }

// Takeover says that a dead VM's keys are held here now.
type Takeover struct {
	VM    uint32
	Clean bool
}

// DeclaredDead says that the peers took this incarnation for dead: it must end.
type DeclaredDead struct{}

// Drained says that nothing is left to do before the process ends.
type Drained struct{}

func (Dispatch) isEffect()      {}
func (Attach) isEffect()        {}
func (Finish) isEffect()        {}
func (Conflict) isEffect()      {}
func (Stop) isEffect()          {}
func (Send) isEffect()          {}
func (Append) isEffect()        {}
func (ConfigApplied) isEffect() {}
func (ConfigJudged) isEffect()  {}
func (Takeover) isEffect()      {}
func (DeclaredDead) isEffect()  {}
func (Drained) isEffect()       {}
