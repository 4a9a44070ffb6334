package callerconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	closed atomic.Bool
	pool   *Pool
	reader requestReader
	// request is what the present request's head takes of the memory for heads, in the handler's form.
	request atomic.Int64
	// bodyReceived is how much of the present body has come, in bytes.
	bodyReceived atomic.Int64
	// waiting is what the pool knows of the connection; nil while a whole request of it is handled.
	waiting *waitingConn
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if !c.closed.Swap(true) {
		c.pool.open.Add(-1)
	}
	return c.Conn.Close()
}

// CloseWrite ends the sending side. net/http uses it where a request's body was not read to its end: closing the
// connection would reset it, and the response might be lost.
func (c *Conn) CloseWrite() error {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return nil
}

// Times for which a closed connection goes on sending what is buffered, in seconds.
const (
	// ResetOnClose discards it and resets the connection.
	ResetOnClose = 0
	// SendOnClose sends all of it in the background.
	SendOnClose = -1
)

// SetLinger sets what happens to unsent data when the connection is closed.
func (c *Conn) SetLinger(seconds int) error { return SetLinger(c.Conn, seconds) }

// SetLinger sets what happens to unsent data when a connection is closed. One that is closed already
// has none, and one of a kind that does not know of it is left as it is.
func SetLinger(c net.Conn, seconds int) error {
	l, ok := c.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	if err := l.SetLinger(seconds); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// connKey is the context key of a caller's connection.
type connKey struct{}

// NewContext makes a caller's connection known to the handlers of its requests. It is for the ConnContext of
// an http.Server.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// FromContext returns the connection of the caller, nil if the context has none.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// IsClosed reports whether this VM has closed the connection of a request before it came to serve it: as
// idle, or at its shutdown. A request that was read meanwhile is unknown to its caller as run, and must not be.
func IsClosed(r *http.Request) bool {
	c := FromContext(r.Context())
	return c != nil && c.closed.Load()
}
