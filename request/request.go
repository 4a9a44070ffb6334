// Package request holds the nouns that every decision speaks about: the key
// of a request, its tier and kind, and how it can end.
package request

import "time"

// Key identifies a request for good. Repeats carry the same key.
type Key struct {
	Organisation string
	ID           string
}

// String gives the key as organisation/id.
func (k Key) String() string { return k.Organisation + "/" + k.ID }

// Tier orders work; 0 is the highest.
type Tier uint32

// Attempt is the caller's count of the times it sent a key.
type Attempt uint32

// Undeclared is the attempt of a caller that did not count.
const Undeclared Attempt = 0

// First is the attempt of a caller that says it never sent the key before.
const First Attempt = 1

// Outcome is the final answer to a caller.
type Outcome string

// The four outcomes. Whoever cannot prove NotRun says Unknown.
const (
	// Answered: the whole answer was delivered.
	Answered Outcome = "answered"
	// NotRun: the request certainly ran nowhere.
	NotRun Outcome = "not_run"
	// Cancelled: dispatched, then stopped; never dispatched again.
	Cancelled Outcome = "cancelled"
	// Unknown: the request may have run; ask again with the same id.
	Unknown Outcome = "unknown"
)

// Reason says why a request ended as it did. It is stable text for callers and logs.
type Reason string

// Reasons of final outcomes.
const (
	ReasonDone         Reason = "done"
	ReasonQueueFull    Reason = "queue_full"
	ReasonTooLate      Reason = "cannot_finish_in_time"
	ReasonNoEndpoint   Reason = "no_endpoint"
	ReasonCaller       Reason = "caller_gone"
	ReasonDeadline     Reason = "deadline_passed"
	ReasonHigherTier   Reason = "higher_tier"
	ReasonShutdown     Reason = "shutting_down"
	ReasonClaimTimeout Reason = "claim_timeout"
	ReasonDomainsAway  Reason = "failure_domain_unreachable"
	ReasonRecordsLost  Reason = "records_lost"
	ReasonRecordsFull  Reason = "records_full"
	ReasonRefused      Reason = "refused_before"
	ReasonConflict     Reason = "body_conflict"
	ReasonAnswerLost   Reason = "answer_lost"
	ReasonAnswerGone   Reason = "answer_no_longer_held"
	ReasonBroken       Reason = "stream_broken"
	ReasonEngine       Reason = "endpoint_failed"
	ReasonNoConfig     Reason = "no_configuration"
)

// Spec is what admission knows of a request.
type Spec struct {
	Key  Key
	Kind string
	Tier Tier
	// Weight is the organisation's share within its tier, at least 1.
	Weight uint32
	// Idempotent requests may be stopped for a higher tier.
	Idempotent bool
	// TrustFirst lets a declared first attempt run without other domains.
	TrustFirst bool
	Attempt    Attempt
	// Digest of the body; a repeat must have the same.
	Digest uint64
	// Model is empty for plain services.
	Model string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// MaxOutput bounds the answer; 0 is no bound.
	MaxOutput int
	// Prefix are hashes of the prompt's leading blocks, each covering all before it.
	Prefix []uint64
	// Deadline is the time by which the whole answer must be there.
	Deadline time.Duration
	// FirstToken is the target for the first token, from arrival; 0 means none.
	FirstToken time.Duration
}

// Repeat reports whether the request may have been sent before.
func (s *Spec) Repeat() bool { return s.Attempt != First || !s.TrustFirst }
