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

// UndeclaredAttempt is the attempt of a caller that did not count.
const UndeclaredAttempt Attempt = 0

// FirstAttempt is the attempt of a caller that says it never sent the key before.
const FirstAttempt Attempt = 1

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
	ReasonDone              Reason = "done"
	ReasonQueueFull         Reason = "queue_full"
	ReasonTooLate           Reason = "cannot_finish_in_time"
	ReasonNoEndpoint        Reason = "no_endpoint"
	ReasonCallerGone        Reason = "caller_gone"
	ReasonDeadlinePassed    Reason = "deadline_passed"
	ReasonHigherTier        Reason = "higher_tier"
	ReasonShutdown          Reason = "shutting_down"
	ReasonClaimTimeout      Reason = "claim_timeout"
	ReasonDomainUnreachable Reason = "failure_domain_unreachable"
	ReasonRecordsLost       Reason = "records_lost"
	ReasonRecordsFull       Reason = "records_full"
	ReasonRefusedBefore     Reason = "refused_before"
	ReasonBodyConflict      Reason = "body_conflict"
	ReasonAnswerLost        Reason = "answer_lost"
	ReasonAnswerExpired     Reason = "answer_no_longer_held"
	ReasonStreamBroken      Reason = "stream_broken"
	ReasonEndpointFailed    Reason = "endpoint_failed"
	ReasonNoConfig          Reason = "no_configuration"
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
	// TrustFirstAttempt lets a declared first attempt run without other domains.
	TrustFirstAttempt bool
	Attempt           Attempt
	// Digest of the body; a repeat must have the same.
	Digest uint64
	// Model is empty for plain services.
	Model string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// MaxOutputTokens bounds the answer; 0 is no bound.
	MaxOutputTokens int
	// PrefixHashes are hashes of the prompt's leading blocks, each covering all before it.
	PrefixHashes []uint64
	// Deadline is the time by which the whole answer must be there.
	Deadline time.Duration
	// FirstTokenTarget is the target for the first token, from arrival; 0 means none.
	FirstTokenTarget time.Duration
}

// MayBeRetry reports whether the request may have been sent before.
func (s *Spec) MayBeRetry() bool { return s.Attempt != FirstAttempt || !s.TrustFirstAttempt }
