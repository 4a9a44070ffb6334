// Package history judges what callers saw against what endpoints truly ran. One
// checker serves every proof and every load run, and checks all promises at once.
package history

import (
	"fmt"
	"slices"

	"github.com/chivefield/chivefield/request"
)

// Observation is what a caller saw of one sending of a request.
type Observation struct {
	Key     string
	Attempt int
	Outcome request.Outcome
	// Text is the answer; Want what a whole answer to this key is.
	Text, Want string
	// ConnectionLost: the connection broke before any outcome.
	ConnectionLost bool
}

// Invariant names what must always hold.
type Invariant string

// The promises that a history can break.
const (
	AtMostOnce       Invariant = "at-most-once"
	NonIdempotent    Invariant = "non-idempotent"
	NotExecuted      Invariant = "not-run"
	CompleteResponse Invariant = "whole-answer"
	GracefulShutdown Invariant = "graceful"
)

// Violation is one broken promise.
type Violation struct {
	Invariant Invariant
	Key       string
	Detail    string
}

// String tells the breach on one line.
func (b Violation) String() string { return fmt.Sprintf("%s: %s: %s", b.Invariant, b.Key, b.Detail) }

// History is what happened in one session.
type History struct {
	Observations []Observation
	// RunCounts is how often each key was run, over all endpoints.
	RunCounts map[string]int
	// NonIdempotent are the keys that must not run twice by their kind.
	NonIdempotent map[string]bool
	// RequireGraceful: no caller may be cut off (graceful shutdown).
	RequireGraceful bool
}

// Check returns every breach, in the order of keys.
func (h *History) Check() []Violation {
	var out []Violation
	for key, n := range h.RunCounts {
		if n <= 1 {
			continue
		}
		out = append(out, Violation{AtMostOnce, key, fmt.Sprintf("ran %d times", n)})
		if h.NonIdempotent[key] {
			out = append(out, Violation{NonIdempotent, key, fmt.Sprintf("ran %d times", n)})
		}
	}
	byKey := make(map[string][]Observation)
	for _, s := range h.Observations {
		byKey[s.Key] = append(byKey[s.Key], s)
	}
	for key, list := range byKey {
		out = append(out, h.checkKey(key, list)...)
	}
	slices.SortFunc(out, func(a, b Violation) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return out
}

func (h *History) checkKey(key string, list []Observation) []Violation {
	var out []Violation
	allNotRun := true
	for _, s := range list {
		allNotRun = allNotRun && s.Outcome == request.NotRun
		if s.Outcome == request.Answered && s.Text != s.Want {
			out = append(out, Violation{CompleteResponse, key, fmt.Sprintf("attempt %d got %d bytes of %d", s.Attempt, len(s.Text), len(s.Want))})
		}
		if s.Outcome == request.Answered && h.RunCounts[key] == 0 {
			out = append(out, Violation{CompleteResponse, key, "answered without a run"})
		}
		if h.RequireGraceful && s.ConnectionLost {
			out = append(out, Violation{GracefulShutdown, key, "cut off"})
		}
	}
	if allNotRun && h.RunCounts[key] > 0 {
		out = append(out, Violation{NotExecuted, key, fmt.Sprintf("refused %d times and ran", len(list))})
	}
	return out
}
