package upstream

import (
	"bytes"
	"fmt"
	"net/http"
)

// transferEncodingField is how a line begins that states a transfer coding, in lower case.
const transferEncodingField = "transfer-encoding:"

// headLines follows the lines of a head and notes what its parsed form no longer shows.
type headLines struct {
	// begin is the beginning of the line in progress, as far as a transferEncodingField reaches.
	begin []byte
	// colon is set if the line in progress holds a colon.
	colon bool
	// foldedField is the beginning of a line that begins with a blank and holds a colon; empty if there was none.
	foldedField string
	// transferCoded is set if the head states a transfer coding.
	transferCoded bool
}

// add adds a part of the line in progress, without its end.
func (l *headLines) add(part []byte) {
	l.begin = append(l.begin, part[:min(len(part), len(transferEncodingField)-len(l.begin))]...)
	l.colon = l.colon || bytes.IndexByte(part, ':') >= 0
}

// end ends the line in progress, and reports whether it was empty.
func (l *headLines) end() (empty bool) {
	switch {
	case len(l.begin) == 0:
		empty = true
	case l.colon && (l.begin[0] == ' ' || l.begin[0] == '\t'):
		l.foldedField = string(l.begin)
	case bytes.EqualFold(l.begin, []byte(transferEncodingField)):
		l.transferCoded = true
	}
	l.begin, l.colon = l.begin[:0], false
	return empty
}

// FoldedFieldError reports a response with a line that begins with a blank and holds a colon. It goes on with the value
// of the line before (RFC 9112, section 5.2), unless its sender meant a field that frames the body; a gateway may refuse
// both.
type FoldedFieldError struct {
	// Begin is the beginning of the line.
	Begin string
}

// Error implements error.
func (e *FoldedFieldError) Error() string {
	return fmt.Sprintf("response with the folded line %q", e.Begin)
}

// FramingVersionError reports a response that states a transfer coding in a version of HTTP that has none. net/http does
// not apply the coding there, so its framing would be part of the content (RFC 9112, section 6.1).
type FramingVersionError struct{ Proto string }

// Error implements error.
func (e *FramingVersionError) Error() string { return "transfer coding in a response of " + e.Proto }

// check returns an error if a head whose parsed form is given may mean something else than that.
func (l *headLines) check(resp *http.Response) error {
	if l.foldedField != "" {
		return &FoldedFieldError{Begin: l.foldedField}
	}
	if l.transferCoded && !resp.ProtoAtLeast(1, 1) {
		return &FramingVersionError{Proto: resp.Proto}
	}
	return nil
}
