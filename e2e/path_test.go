package e2e

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/request"
)

// TestRequestPath sends requests end to end through separate processes:
// streamed and not streamed, to a model engine and to a plain service.
func TestRequestPath(t *testing.T) {
	is := is.New(t)
	d := deploy(t, "a", "a", "b", "b")
	for i, s := range []callerRequest{
		{id: "streamed", kind: "check", attempt: 1, tokens: 40, stream: true},
		{id: "whole", kind: "check", attempt: 1, tokens: 40},
		{id: "undeclared", kind: "check", tokens: 10, stream: true},
		{id: "invoice", kind: "invoice", attempt: 1},
	} {
		seen := d.send(d.vms[i], s)
		is.Equal(seen.Outcome, request.Answered) // every kind of request is answered
		is.Equal(seen.Text, seen.Want)           // and completely
	}
	retry := d.send(d.vms[3], callerRequest{id: "streamed", kind: "check", attempt: 2, tokens: 40, stream: true})
	is.Equal(retry.Outcome, request.Answered) // a retry at another VM gets the same response
	is.Equal(retry.Text, retry.Want)
	d.verify(true)
}
