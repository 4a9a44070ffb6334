package entry

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against the last part of a prompt, which is the request's own, being shown as shared.
func TestSharedPartsExcludeTheLast(t *testing.T) {
	is := is.New(t)
	h := RequestHeaders{}
	is.Equal(len(h.SharedParts()), 0)
	h.Parts = []PromptPart{{ID: "own"}}
	is.Equal(len(h.SharedParts()), 0)
	h.Parts = []PromptPart{{ID: "system"}, {ID: "tools"}, {ID: "own"}}
	is.Equal((&callerRequest{reqHeaders: h}).loggedParts(), "system,tools")
}
