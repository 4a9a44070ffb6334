package callerconn

import "bytes"

// maxLeadingBytes bounds the empty lines before a request line. net/http refuses requests with more.
const maxLeadingBytes = 4

// headScanner finds the end of a request's head as its bytes arrive, and counts its lines.
type headScanner struct {
	// bytes and lines are the size of the head so far; empty lines before it count as bytes only.
	bytes, lines int
	// lineBytes is the length of the line so far, onlyCR is set if it is a carriage return.
	lineBytes int
	onlyCR    bool
}

// isFree reports whether a head of this size needs no memory beside what its connection has.
func (s *headScanner) isFree() bool { return s.lines <= freeHeadLines && s.bytes <= freeHeadBytes }

// scan returns how many bytes of p belong to the head, and whether the head ends with them.
func (s *headScanner) scan(p []byte) (n int, ended bool) {
	for n < len(p) {
		i := bytes.IndexByte(p[n:], '\n')
		if i < 0 {
			s.addToLine(p[n:])
			s.bytes += len(p) - n
			return len(p), false
		}
		s.addToLine(p[n : n+i])
		s.bytes += i + 1
		n += i + 1
		if s.endLine() {
			return n, true
		}
	}
	return n, false
}

func (s *headScanner) addToLine(p []byte) {
	if len(p) == 0 {
		return
	}
	s.onlyCR = s.lineBytes == 0 && len(p) == 1 && p[0] == '\r'
	s.lineBytes += len(p)
}

// endLine reports whether the head ends with this line: an empty one behind the request line, or too many before it.
func (s *headScanner) endLine() bool {
	empty := s.lineBytes == 0 || s.onlyCR
	s.lineBytes, s.onlyCR = 0, false
	if empty {
		return s.lines > 0 || s.bytes >= maxLeadingBytes
	}
	s.lines++
	return false
}
