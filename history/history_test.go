package history

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/request"
)

// TestCheckerObjects: a checker that sees nothing would make every proof pass.
// Each history breaks one promise, and the last breaks none.
func TestCheckerObjects(t *testing.T) {
	whole := Seen{Key: "k", Attempt: 1, Outcome: request.Answered, Text: "a", Want: "a"}
	refused := Seen{Key: "k", Attempt: 1, Outcome: request.NotRun}
	cases := []struct {
		name string
		h    History
		want []Promise
	}{
		{"ran twice", History{Seen: []Seen{whole}, Ran: map[string]int{"k": 2}}, []Promise{AtMostOnce}},
		{"invoice ran twice", History{Seen: []Seen{whole}, Ran: map[string]int{"k": 2}, NonIdempotent: map[string]bool{"k": true}}, []Promise{AtMostOnce, NonIdempotent}},
		{"ran though refused", History{Seen: []Seen{refused}, Ran: map[string]int{"k": 1}}, []Promise{NotRun}},
		{"cut short", History{Seen: []Seen{{Key: "k", Outcome: request.Answered, Text: "", Want: "a"}}, Ran: map[string]int{"k": 1}}, []Promise{WholeAnswer}},
		{"answered without a run", History{Seen: []Seen{whole}}, []Promise{WholeAnswer}},
		{"cut off in a shutdown", History{Seen: []Seen{{Key: "k", Broken: true}}, MustFinish: true}, []Promise{Graceful}},
		{"all well", History{Seen: []Seen{whole, refused}, Ran: map[string]int{"k": 1}, MustFinish: true}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got []Promise
			for _, b := range c.h.Check() {
				got = append(got, b.Promise)
			}
			is.New(t).Equal(got, c.want)
		})
	}
}
