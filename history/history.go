// Package history checks what callers observed against what endpoints ran. The
// tests of whole deployments and the soak tests share its checkers, which check
// all invariants at once.
package history

import (
	"fmt"
	"slices"

	"github.com/chivefield/chivefield/request"
)

// Observation is the result of one attempt of a request as its caller saw it.
type Observation struct {
	Key     string
	Attempt int
	Outcome request.Outcome
	// Text is the response received; Want is the complete response to this key.
	Text, Want string
	// ConnectionLost reports whether the connection broke before any outcome.
	ConnectionLost bool
}

// Invariant is the name of a property that must always hold.
type Invariant string

// Invariants of a History; CompleteResponse, AtMostOnce, NotExecuted and
// GracefulShutdown also apply to a Deployment.
const (
	AtMostOnce       Invariant = "at-most-once"
	NonIdempotent    Invariant = "non-idempotent"
	NotExecuted      Invariant = "not-run"
	CompleteResponse Invariant = "whole-answer"
	GracefulShutdown Invariant = "graceful"
)

// Violation is one violation of an invariant.
type Violation struct {
	Invariant Invariant
	Key       string
	Detail    string
}

// String formats the violation on one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Invariant, v.Key, v.Detail) }

// History records the requests and runs of one test session.
type History struct {
	Observations []Observation
	// RunCounts is the number of runs of each key over all endpoints.
	RunCounts map[string]int
	// NonIdempotent is the set of keys whose request kind must not run twice.
	NonIdempotent map[string]bool
	// RequireGraceful makes every lost connection a violation (graceful shutdown).
	RequireGraceful bool
}

// Check returns all violations, sorted by their text.
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
	for _, o := range h.Observations {
		byKey[o.Key] = append(byKey[o.Key], o)
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
	for _, o := range list {
		allNotRun = allNotRun && o.Outcome == request.NotRun
		if o.Outcome == request.Answered && o.Text != o.Want {
			out = append(out, Violation{CompleteResponse, key, fmt.Sprintf("attempt %d got %d bytes of %d", o.Attempt, len(o.Text), len(o.Want))})
		}
		if o.Outcome == request.Answered && h.RunCounts[key] == 0 {
			out = append(out, Violation{CompleteResponse, key, "answered without having run"})
		}
		if h.RequireGraceful && o.ConnectionLost {
			out = append(out, Violation{GracefulShutdown, key, "connection lost"})
		}
	}
	if allNotRun && h.RunCounts[key] > 0 {
		out = append(out, Violation{NotExecuted, key, fmt.Sprintf("refused %d times and ran", len(list))})
	}
	return out
}
