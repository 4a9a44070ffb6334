package sse

import (
	"bytes"
	"strings"
)

// line is a line of a stream in progress, of which no more is kept than what tells its field, and the value of an ID.
type line struct {
	// length is its length so far, returns the number of carriage returns at its end.
	length, returns int
	// begin holds its first bytes.
	begin [len("data:")]byte
	// id is what follows the name of an id field.
	id []byte
}

const idField = "id:"

// append adds bytes to the line.
func (l *line) append(p []byte) {
	if l.length < len(l.begin) {
		copy(l.begin[l.length:], p)
	}
	before := l.length
	l.length += len(p)
	if trimmed := len(bytes.TrimRight(p, "\r")); trimmed > 0 {
		l.returns = len(p) - trimmed
	} else {
		l.returns += len(p)
	}
	if l.isID() {
		l.id = append(l.id, p[min(len(p), max(0, len(idField)-before)):]...)
	}
}

// reset begins the next line.
func (l *line) reset() {
	l.length, l.returns, l.id = 0, 0, l.id[:0]
	if cap(l.id) > chunkSize {
		l.id = nil
	}
}

// isBlank reports whether the line that has ended is empty.
func (l *line) isBlank() bool { return l.length == 0 || l.length == 1 && l.returns == 1 }

func (l *line) isID() bool {
	return l.length >= len(idField) && string(l.begin[:len(idField)]) == idField
}

// isField reports whether the line is an id or data field. The name must match as a whole: callers ignore fields with
// other names.
func (l *line) isField() bool {
	name, _, _ := bytes.Cut(l.begin[:min(l.length-l.returns, len(l.begin))], []byte(":"))
	return string(name) == "data" || string(name) == "id"
}

// idValue returns the value of an id field.
func (l *line) idValue() string { return strings.TrimSpace(string(l.id)) }
