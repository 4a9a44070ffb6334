package callerconn

import (
	"io"
	"net"
	"time"
)

// headRefusal is a response to a head that is not read further.
type headRefusal struct{ reason, response string }

var (
	refusedTooLarge = headRefusal{"head_too_large",
		"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"}
	// refusedWithoutMemory promises that the request is not run: its head has not been handled.
	refusedWithoutMemory = headRefusal{"no_head_memory",
		"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.3\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"}
)

const (
	// refusalWriteTimeout is how long the response to a head may take to be sent.
	refusalWriteTimeout = time.Second
	// refusalDrainTimeout and maxRefusalDrain bound what is read after it: a connection that is closed with bytes
	// unread is reset, and the response may be lost.
	refusalDrainTimeout = 500 * time.Millisecond
	maxRefusalDrain     = 256 << 10
)

// HeadRefusedError reports a head that was refused before it was parsed.
type HeadRefusedError struct{ Reason string }

// Error implements error.
func (e *HeadRefusedError) Error() string { return "head refused: " + e.Reason }

// refuseHead responds to a head that is not whole or not to be parsed, and returns the error for net/http, which closes
// the connection without a response of its own.
func (c *Conn) refuseHead(f headRefusal) error {
	c.pool.count("heads_refused")
	c.pool.logHeadRefused(f.reason, c.reader.scanner)
	c.reader.received, c.reader.scanned, c.reader.whole = nil, 0, 0
	c.compactReceived()
	refused := &net.OpError{Op: "read", Err: &HeadRefusedError{Reason: f.reason}}
	if err := c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)); err != nil {
		return refused
	}
	if _, err := io.WriteString(c.Conn, f.response); err != nil {
		return refused
	}
	if err := c.CloseWrite(); err != nil {
		return refused
	}
	if err := c.SetReadDeadline(time.Now().Add(refusalDrainTimeout)); err != nil {
		return refused
	}
	// What is read and why it ends does not matter any more.
	_, _ = io.CopyN(io.Discard, c.Conn, maxRefusalDrain)
	return refused
}
