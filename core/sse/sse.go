// Package sse cuts the bytes of an event stream into whole events, so that a
// stream that breaks in the middle of an event can go on at another endpoint
// without a torn event ever reaching the caller.
package sse

import (
	"bytes"
	"strings"
)

// Splitter collects bytes until events are whole.
type Splitter struct {
	pending []byte
	// LastID is the id of the last whole event that had one.
	LastID string
	// IDCount is the number of events with an id that the last Write returned.
	IDCount int
}

// maxEvent bounds what is kept of an event that does not end, in bytes.
const maxEvent = 1 << 20

// EventTooLongError reports an event that is longer than a VM keeps.
type EventTooLongError struct{ Bytes int }

// Error describes the failure.
func (e *EventTooLongError) Error() string { return "an event of a stream is too long" }

// Write takes in bytes and returns the whole events among them, as they came.
// The result is valid until the next call.
func (s *Splitter) Write(p []byte) ([]byte, error) {
	s.pending = append(s.pending, p...)
	end := completeEnd(s.pending)
	if end == 0 {
		if len(s.pending) > maxEvent {
			return nil, &EventTooLongError{Bytes: len(s.pending)}
		}
		return nil, nil
	}
	whole := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	s.IDCount = 0
	s.recordIDs(whole)
	return whole, nil
}

// Pending returns the bytes after the last whole event.
func (s *Splitter) Pending() []byte { return s.pending }

// Reset forgets a torn event, before another endpoint sends it again.
func (s *Splitter) Reset() { s.pending = s.pending[:0] }

// completeEnd is the offset after the last blank line.
func completeEnd(b []byte) int {
	lf := bytes.LastIndex(b, []byte("\n\n"))
	crlf := bytes.LastIndex(b, []byte("\r\n\r\n"))
	end := 0
	if lf >= 0 {
		end = lf + 2
	}
	if crlf >= 0 && crlf+4 > end {
		end = crlf + 4
	}
	return end
}

// recordIDs keeps the last id line. A line is an id line only if it starts one.
func (s *Splitter) recordIDs(events []byte) {
	for len(events) > 0 {
		line := events
		if i := bytes.IndexByte(events, '\n'); i >= 0 {
			line, events = events[:i], events[i+1:]
		} else {
			events = nil
		}
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.IDCount++
			s.LastID = strings.TrimSpace(string(v))
		}
	}
}
