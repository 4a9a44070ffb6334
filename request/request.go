// Package request defines the types that describe a request to all other
// packages: its key, tier, attempt and properties, and its final outcome.
package request

import "time"

// Key identifies a request permanently. Retries carry the same key.
type Key struct {
	Organisation string
	ID           string
}

// String returns the key as organisation/id.
func (k Key) String() string { return k.Organisation + "/" + k.ID }

// Tier is the priority class of a request; 0 is the highest.
type Tier uint32

// Attempt is the number of times that the caller has sent a key, this one
// included, as declared by the caller.
type Attempt uint32

// UndeclaredAttempt is the attempt number of a caller that declared none.
const UndeclaredAttempt Attempt = 0

// FirstAttempt is the attempt number of a key that was never sent before.
const FirstAttempt Attempt = 1

// Outcome is the final result of a request, as returned to the caller.
type Outcome string

// The four outcomes. Where NotRun cannot be proven, the outcome is Unknown.
const (
	// Answered: the complete response was delivered.
	Answered Outcome = "answered"
	// NotRun: the request certainly did not run at any endpoint.
	NotRun Outcome = "not_run"
	// Cancelled: the request was dispatched, then stopped; it is never dispatched again.
	Cancelled Outcome = "cancelled"
	// Unknown: the request may have run; the caller may retry with the same id.
	Unknown Outcome = "unknown"
)

// Reason is the cause of an outcome. Its text is stable: callers and logs depend on it.
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

// Spec holds the properties of a request that are known at admission.
type Spec struct {
	Key  Key
	Kind string
	Tier Tier
	// Weight is the organisation's weight in sharing capacity within its tier, at least 1.
	Weight uint32
	// Idempotent requests may be stopped for a higher tier.
	Idempotent bool
	// TrustFirstAttempt lets a declared first attempt run without a claim in another failure domain.
	TrustFirstAttempt bool
	Attempt           Attempt
	// Digest is a hash of the body; a retry must have the same.
	Digest uint64
	// Model is the requested model; empty for plain services.
	Model string
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// OutputTokens is the expected length of the response in tokens.
	OutputTokens int
	// MaxOutputTokens bounds the length of the response; 0 means no bound.
	MaxOutputTokens int
	// PrefixHashes are hashes of the prompt's leading blocks. Each hash also covers all
	// blocks before its own.
	PrefixHashes []uint64
	// Deadline is the time by which the complete response must be delivered.
	Deadline time.Duration
	// FirstTokenTarget is the target time from arrival to the first token; 0 means none.
	FirstTokenTarget time.Duration
}

// MayBeRetry reports whether the request may have been sent before. This is assumed
// unless the attempt is a FirstAttempt and the declaration is trusted.
func (s *Spec) MayBeRetry() bool { return s.Attempt != FirstAttempt || !s.TrustFirstAttempt }
