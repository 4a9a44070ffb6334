package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/chivefield/chivefield/upstream"
)

// callerListener accepts the connections of callers.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}

// callerConn is a caller's connection that knows whether this VM has closed it.
type callerConn struct {
	net.Conn
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// CloseWrite ends the sending side. net/http uses it where a request's body was not read to its end: closing the
// connection would reset it, and the response might be lost.
func (c *callerConn) CloseWrite() error {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return nil
}

// SetLinger sets what happens to unsent data when the connection is closed.
func (c *callerConn) SetLinger(seconds int) error { return setLinger(c.Conn, seconds) }

// isCallerGone reports whether this VM has closed the connection of a request before it came to serve it: as
// idle, or at its shutdown. A request that was read meanwhile is unknown to its caller as run, and must not be.
func isCallerGone(r *http.Request) bool {
	c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	return ok && c.closed.Load()
}

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// withCallerConn makes a caller's connection known to the handlers of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// Times for which a closed connection goes on sending what is buffered, in seconds.
const (
	// resetOnClose discards it and resets the connection.
	resetOnClose = 0
	// sendOnClose sends all of it in the background.
	sendOnClose = -1
)

// unknownLength is the length of a response that is sent as it arrives.
const unknownLength = -1

// startResponse sends the headers of an endpoint's response whose body has the given length. A
// response whose end proves nothing here must prove nothing to the caller: it is sent without a
// length and without chunks, too, and ends with the connection.
//
// Until completeResponse is called, such a response ends with a reset, which no caller takes for
// its end, whatever closes the connection: an error, the server, or the end of this process.
func (c *callerRequest) startResponse(resp *upstream.Response, length int64) {
	h := c.w.Header()
	copyHeaders(h, resp.Header)
	switch {
	case resp.Unframed():
		// net/http sends a response with this encoding as it is and closes the connection.
		h.Set("Transfer-Encoding", "identity")
		c.endsWithConn = true
	case length != unknownLength:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	default:
		c.endsWithConn = !c.r.ProtoAtLeast(1, 1)
	}
	if c.endsWithConn {
		c.setLinger(resetOnClose)
	}
	c.w.WriteHeader(resp.StatusCode)
}

// completeResponse marks the response as whole after its last byte was written.
func (c *callerRequest) completeResponse() error {
	if !c.endsWithConn {
		return nil
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return err
	}
	c.setLinger(sendOnClose)
	return nil
}

func (c *callerRequest) setLinger(seconds int) {
	conn, ok := c.r.Context().Value(callerConnKey{}).(net.Conn)
	if !ok {
		return
	}
	if err := setLinger(conn, seconds); err != nil {
		c.d.log.Warn().Str("request", c.reqHeaders.ID).Int("seconds", seconds).Err(err).Msg("linger_not_set")
	}
}

// setLinger sets what happens to unsent data when a connection is closed. One that is closed already
// has none.
func setLinger(c net.Conn, seconds int) error {
	l, ok := c.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	if err := l.SetLinger(seconds); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
