// Package sse splits the bytes of an event stream into complete events, so that a
// stream that breaks in the middle of an event can be resumed at another endpoint
// without sending a partial event to the caller.
package sse

import "bytes"

// Splitter buffers bytes until an event is complete. Blocks without a field, such as comments that keep a
// connection open, are returned as they come once there was an event, and with the first event before.
type Splitter struct {
	pending buffer
	// returned is the length of what Write returned last, at the begin of pending.
	returned int
	// held is the length of the complete blocks in pending, all before the first event.
	held int
	// block is the block in progress.
	block block
	// started is set once there was an event.
	started bool
	// idle is the number of bytes in the complete blocks since the last event.
	idle int
	// LastID is the id of the last complete event that had one.
	LastID string
	// IDCount is the number of events with an id among those that Write returned last.
	IDCount int
	// HasEvent reports whether there was an event among what Write returned last.
	HasEvent bool
}

// block is what is known of a block in progress.
type block struct {
	line line
	// hasLine is set if the block has a line before the one in progress, hasField if one of them is an id or data field,
	// inside if one of them is not empty.
	hasLine, hasField, inside bool
	// idCount is the number of id fields, lastID the value of the last one.
	idCount int
	lastID  string
}

// maxEvent bounds the buffered part of an incomplete event, in bytes.
const maxEvent = 1 << 20

// EventTooLongError reports an event that is longer than maxEvent.
type EventTooLongError struct{ Bytes int }

// Error implements error.
func (e *EventTooLongError) Error() string { return "stream event exceeds 1 MiB" }

// Write appends bytes and returns the events that are complete, unmodified and in pieces.
// The result is valid until the next call.
func (s *Splitter) Write(p []byte) ([][]byte, error) {
	s.HasEvent = false
	s.pending.drop(s.returned)
	s.returned = 0
	before := s.pending.size
	s.pending.append(p)
	end := before + s.scan(p)
	if end == before {
		if s.pending.size > maxEvent {
			return nil, &EventTooLongError{Bytes: s.pending.size}
		}
		return nil, nil
	}
	if s.HasEvent {
		s.started, s.idle = true, 0
	} else {
		s.idle += end - s.held
	}
	if !s.started {
		s.held = end
		return nil, nil
	}
	s.returned, s.held = end, 0
	return s.pending.slice(0, end), nil
}

// scan reads the lines of bytes that follow, and returns the offset after the last blank line that ends a block, 0
// without one.
func (s *Splitter) scan(p []byte) (end int) {
	follows := s.block.hasLine
	for at := 0; at < len(p); {
		i := bytes.IndexByte(p[at:], '\n')
		if i < 0 {
			s.block.line.append(p[at:])
			break
		}
		s.block.line.append(p[at : at+i])
		at += i + 1
		if follows && s.block.line.isBlank() {
			s.endBlock(end == 0)
			end = at
		} else {
			s.block.endLine()
		}
		follows = true
	}
	return end
}

// endBlock takes over what is known of a complete block, the first one of those in one call of Write or a later one.
func (s *Splitter) endBlock(first bool) {
	b := &s.block
	if first {
		s.IDCount = 0
	}
	s.HasEvent = s.HasEvent || b.hasField
	s.IDCount += b.idCount
	if b.idCount > 0 {
		s.LastID = b.lastID
	}
	b.line.reset()
	*b = block{line: b.line}
}

// endLine begins the next line of the block.
func (b *block) endLine() {
	b.hasLine = true
	b.hasField = b.hasField || b.line.isField()
	b.inside = b.inside || b.line.length > b.line.returns
	if b.line.isID() {
		b.idCount++
		b.lastID = b.line.idValue()
	}
	b.line.reset()
}

// Pending returns the bytes that were not returned yet, in pieces. The result is valid until the next call of Write.
func (s *Splitter) Pending() [][]byte { return s.pending.slice(s.returned, s.pending.size) }

// PendingBytes returns the number of bytes that were not returned yet.
func (s *Splitter) PendingBytes() int { return s.pending.size - s.returned }

// Buffered returns the memory that the buffers hold, in bytes. An ID of usual length does not count.
func (s *Splitter) Buffered() int {
	n := s.pending.capacity()
	if id := cap(s.block.line.id); id > chunkSize {
		n += id
	}
	return n
}

// InsideEvent reports whether bytes of another event follow the last complete one.
func (s *Splitter) InsideEvent() bool {
	return s.block.inside || s.block.line.length > s.block.line.returns
}

// IdleBytes returns the number of bytes since the last event that belong to none. The block in progress counts
// while it has no field.
func (s *Splitter) IdleBytes() int {
	if s.block.hasField || s.block.line.isField() {
		return s.idle
	}
	return s.idle + s.PendingBytes() - s.held
}

// Reset discards what was not returned before another endpoint sends it again, and the buffers.
func (s *Splitter) Reset() {
	s.pending.drop(s.pending.size)
	*s = Splitter{pending: s.pending, LastID: s.LastID}
}
