package dispatch

// Outcome is the way in which a run ended.
type Outcome int

// Outcomes of runs.
const (
	// Answered: the endpoint responded.
	Answered Outcome = iota
	// Failed: the endpoint responded with an error.
	Failed
	// Unreachable: the request could not be sent.
	Unreachable
	// Rejected: the endpoint reported that it did not run the request.
	Rejected
	// Replaced: another incarnation responded at the endpoint's address and did not run the
	// request.
	Replaced
	// Broken: the connection broke or the response was malformed.
	Broken
	// Silent: the endpoint sent nothing for too long.
	Silent
	// CallerDisconnected: the caller disconnected or its deadline passed.
	CallerDisconnected
	// Endless: the endpoint sent bytes without end that were no response.
	Endless
)

// outcomeNames are the outcomes as written to logs, in order.
var outcomeNames = [...]string{"answered", "failed", "unreachable", "rejected", "replaced", "broken", "silent", "left", "endless"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }
