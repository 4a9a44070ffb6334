// Package sse splits the bytes of an event stream into complete events, so that a
// stream that breaks in the middle of an event can be resumed at another endpoint
// without sending a partial event to the caller.
package sse

import (
	"bytes"
	"strings"
)

// Splitter buffers bytes until an event is complete.
type Splitter struct {
	pending []byte
	// LastID is the id of the last complete event that had one.
	LastID string
	// IDCount is the number of events with an id among those that Write returned last.
	IDCount int
}

// maxEvent bounds the buffered part of an incomplete event, in bytes.
const maxEvent = 1 << 20

// EventTooLongError reports an event that is longer than maxEvent.
type EventTooLongError struct{ Bytes int }

// Error implements error.
func (e *EventTooLongError) Error() string { return "stream event exceeds 1 MiB" }

// Write appends bytes and returns the events that are complete, unmodified.
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

// Pending returns the bytes after the last complete event.
func (s *Splitter) Pending() []byte { return s.pending }

// InsideEvent reports whether bytes of another event follow the last complete one.
func (s *Splitter) InsideEvent() bool { return len(bytes.Trim(s.pending, "\r\n")) > 0 }

// Reset discards a partial event before another endpoint sends it again.
func (s *Splitter) Reset() { s.pending = s.pending[:0] }

// completeEnd returns the offset after the last blank line, whose end and the end of the line before
// it may each be LF or CRLF.
func completeEnd(b []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(blank)); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// recordIDs counts the id lines and stores the last id. A field counts only at the start of a line.
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
