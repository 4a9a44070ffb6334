package upstream

import (
	"bytes"
	"fmt"
)

// maxBeginBytes is how much of the beginning of a line is kept.
const maxBeginBytes = 18

// headLines follows the lines of a head and notes what its parsed form no longer shows.
type headLines struct {
	// begin is the beginning of the line in progress.
	begin []byte
	// colon is set if the line in progress holds a colon.
	colon bool
	// foldedField is the beginning of a line that begins with a blank and holds a colon; empty if there was none.
	foldedField string
}

// add adds a part of the line in progress, without its end.
func (l *headLines) add(part []byte) {
	l.begin = append(l.begin, part[:min(len(part), maxBeginBytes-len(l.begin))]...)
	l.colon = l.colon || bytes.IndexByte(part, ':') >= 0
}

// end ends the line in progress, and reports whether it was empty.
func (l *headLines) end() (empty bool) {
	switch {
	case len(l.begin) == 0:
		empty = true
	case l.colon && (l.begin[0] == ' ' || l.begin[0] == '\t'):
		l.foldedField = string(l.begin)
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

// check returns an error if a head may mean something else than its parsed form.
func (l *headLines) check() error {
	if l.foldedField != "" {
		return &FoldedFieldError{Begin: l.foldedField}
	}
	return nil
}
