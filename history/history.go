// Package history judges what callers saw against what endpoints truly ran. One
// checker serves every proof and every load run, and checks all promises at once.
package history

import (
	"fmt"
	"slices"

	"github.com/chivefield/chivefield/request"
)

// Seen is what a caller saw of one sending of a request.
type Seen struct {
	Key     string
	Attempt int
	Outcome request.Outcome
	// Text is the answer; Want what a whole answer to this key is.
	Text, Want string
	// Broken: the connection broke before any outcome.
	Broken bool
}

// Promise names what must always hold.
type Promise string

// The promises that a history can break.
const (
	AtMostOnce    Promise = "at-most-once"
	NonIdempotent Promise = "non-idempotent"
	NotRun        Promise = "not-run"
	WholeAnswer   Promise = "whole-answer"
	Graceful      Promise = "graceful"
)

// Breach is one broken promise.
type Breach struct {
	Promise Promise
	Key     string
	Detail  string
}

// String tells the breach on one line.
func (b Breach) String() string { return fmt.Sprintf("%s: %s: %s", b.Promise, b.Key, b.Detail) }

// History is what happened in one session.
type History struct {
	Seen []Seen
	// Ran is how often each key was run, over all endpoints.
	Ran map[string]int
	// NonIdempotent are the keys that must not run twice by their kind.
	NonIdempotent map[string]bool
	// MustFinish: no caller may be cut off (graceful shutdown).
	MustFinish bool
}

// Check returns every breach, in the order of keys.
func (h *History) Check() []Breach {
	var out []Breach
	for key, n := range h.Ran {
		if n <= 1 {
			continue
		}
		out = append(out, Breach{AtMostOnce, key, fmt.Sprintf("ran %d times", n)})
		if h.NonIdempotent[key] {
			out = append(out, Breach{NonIdempotent, key, fmt.Sprintf("ran %d times", n)})
		}
	}
	byKey := make(map[string][]Seen)
	for _, s := range h.Seen {
		byKey[s.Key] = append(byKey[s.Key], s)
	}
	for key, list := range byKey {
		out = append(out, h.checkKey(key, list)...)
	}
	slices.SortFunc(out, func(a, b Breach) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return out
}

func (h *History) checkKey(key string, list []Seen) []Breach {
	var out []Breach
	onlyNotRun := true
	for _, s := range list {
		onlyNotRun = onlyNotRun && s.Outcome == request.NotRun
		if s.Outcome == request.Answered && s.Text != s.Want {
			out = append(out, Breach{WholeAnswer, key, fmt.Sprintf("attempt %d got %d bytes of %d", s.Attempt, len(s.Text), len(s.Want))})
		}
		if s.Outcome == request.Answered && h.Ran[key] == 0 {
			out = append(out, Breach{WholeAnswer, key, "answered without a run"})
		}
		if h.MustFinish && s.Broken {
			out = append(out, Breach{Graceful, key, "cut off"})
		}
	}
	if onlyNotRun && h.Ran[key] > 0 {
		out = append(out, Breach{NotRun, key, fmt.Sprintf("refused %d times and ran", len(list))})
	}
	return out
}
