package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// pipeListener is a listener for pipes, which tests in virtual time need.
type pipeListener struct{ conns chan net.Conn }

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	c, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (l *pipeListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// pipeServer is an HTTP server in virtual time whose connections a pool bounds.
type pipeServer struct {
	*is.I
	pool     *Pool
	listener *pipeListener
	counts   map[string]int
}

// playPool runs a test in virtual time on a server with a pool for so many connections.
func playPool(t *testing.T, maxConns int, memory int64, play func(s *pipeServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &pipeServer{I: is.New(t), listener: &pipeListener{make(chan net.Conn)}, counts: make(map[string]int)}
		s.pool = NewPool(maxConns, NewHeadMemory(memory), zerolog.Nop(), func(name string) { s.counts[name]++ })
		server := &http.Server{ConnState: s.pool.ConnState, ConnContext: NewContext, MaxHeaderBytes: 1 << 30, Handler: http.HandlerFunc(serveBody)}
		go func() { _ = server.Serve(s.pool.Listen(s.listener)) }()
		defer func() {
			close(s.listener.conns)
			_ = server.Close()
			synctest.Wait()
		}()
		play(s)
	})
}

// serveBody reads a request's body and responds.
func serveBody(_ http.ResponseWriter, r *http.Request) {
	c := FromContext(r.Context())
	c.BeginBody(r.ContentLength)
	if !c.ReplaceHead(0) {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	c.EndBody()
}

// open opens a connection and sends a text on it.
func (s *pipeServer) open(text string) net.Conn {
	caller, server := net.Pipe()
	s.listener.conns <- server
	if text != "" {
		go func() { _, _ = io.WriteString(caller, text) }()
	}
	synctest.Wait()
	return caller
}

// isOpen reports whether the server has not closed a connection on which it has nothing to say.
func isOpen(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// Guards against heads that are never whole and hold their memory for as long as their connections last.
func TestHeadsThatDoNotComeAreGivenUp(t *testing.T) {
	const timeout = 3 * time.Second
	playPool(t, 3, 1<<20, func(s *pipeServer) {
		s.pool.SetHeadLimits(0, timeout)
		first := s.open("GET / HTTP/1.1\r\n")
		next := s.open("HEAD / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\n")
		_, err := http.ReadResponse(bufio.NewReader(next), &http.Request{Method: http.MethodHead})
		s.NoErr(err)
		silent := s.open("")
		time.Sleep(timeout)
		s.True(isOpen(first))
		s.True(isOpen(next))
		time.Sleep(expiryGrace)
		s.True(!isOpen(first))
		s.True(!isOpen(next))
		s.True(isOpen(silent))
		time.Sleep(DefaultHeadTimeout)
		s.True(!isOpen(silent))
	})
}
