package history

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/request"
)

// TestCheckFindsViolations guards against a checker that finds nothing, with which
// every test that uses it would pass. Each history but the last violates an invariant.
func TestCheckFindsViolations(t *testing.T) {
	complete := Observation{Key: "k", Attempt: 1, Outcome: request.Answered, Text: "a", Want: "a"}
	refused := Observation{Key: "k", Attempt: 1, Outcome: request.NotRun}
	cases := []struct {
		name string
		h    History
		want []Invariant
	}{
		{"ran twice", History{Observations: []Observation{complete}, RunCounts: map[string]int{"k": 2}}, []Invariant{AtMostOnce}},
		{"invoice ran twice", History{Observations: []Observation{complete}, RunCounts: map[string]int{"k": 2}, NonIdempotent: map[string]bool{"k": true}}, []Invariant{AtMostOnce, NonIdempotent}},
		{"ran though refused", History{Observations: []Observation{refused}, RunCounts: map[string]int{"k": 1}}, []Invariant{NotExecuted}},
		{"truncated response", History{Observations: []Observation{{Key: "k", Outcome: request.Answered, Text: "", Want: "a"}}, RunCounts: map[string]int{"k": 1}}, []Invariant{CompleteResponse}},
		{"answered without having run", History{Observations: []Observation{complete}}, []Invariant{CompleteResponse}},
		{"connection lost in a shutdown", History{Observations: []Observation{{Key: "k", ConnectionLost: true}}, RequireGraceful: true}, []Invariant{GracefulShutdown}},
		{"no violation", History{Observations: []Observation{complete, refused}, RunCounts: map[string]int{"k": 1}, RequireGraceful: true}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got []Invariant
			for _, b := range c.h.Check() {
				got = append(got, b.Invariant)
			}
			is.New(t).Equal(got, c.want)
		})
	}
}
