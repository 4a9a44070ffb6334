package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// poolServer is an HTTP server whose connections a pool bounds. Requests to /hold wait until hold is closed.
type poolServer struct {
	*is.I
	pool                   *Pool
	address                string
	hold                   chan struct{}
	holding                chan struct{}
	idleClosed, turnedAway atomic.Int64
}

func newPoolServer(t *testing.T, maxConns int) *poolServer {
	t.Helper()
	s := &poolServer{I: is.New(t), hold: make(chan struct{}), holding: make(chan struct{}, maxConns)}
	s.pool = NewPool(maxConns, NewHeadMemory(1<<20), zerolog.Nop(), func(name string) {
		if name == "callers_idle_closed" {
			s.idleClosed.Add(1)
		} else {
			s.turnedAway.Add(1)
		}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.NoErr(err)
	s.address = l.Addr().String()
	server := &http.Server{ConnState: s.pool.ConnState, ConnContext: NewContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			s.holding <- struct{}{}
			<-s.hold
		}
	})}
	go func() { _ = server.Serve(s.pool.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// open opens a connection and sends a request on it.
func (s *poolServer) open(path string) net.Conn {
	c, err := net.Dial("tcp", s.address)
	s.NoErr(err)
	_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
	s.NoErr(err)
	return c
}

// isAnswered reports whether a response arrives on a connection.
func isAnswered(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil
}

// isTurnedAway reports whether a new connection is closed without a response.
func (s *poolServer) isTurnedAway() bool {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		return true
	}
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	return err != nil || !isAnswered(c)
}

// awaitIdle waits until the pool holds so many idle connections.
func (s *poolServer) awaitIdle(n int) {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.pool.mu.Lock()
		idle := s.pool.idle.Len()
		s.pool.mu.Unlock()
		if idle == n {
			return
		}
	}
	s.Fail()
}

// Guards against new callers who find no room because others keep connections open that they do not use.
func TestLongestIdleMakesRoom(t *testing.T) {
	s := newPoolServer(t, 3)
	var conns []net.Conn
	for i := range 3 {
		c := s.open("/")
		s.True(isAnswered(c))
		s.awaitIdle(i + 1)
		conns = append(conns, c)
	}
	// The first one is used again, so the second has been idle for longest.
	_, err := io.WriteString(conns[0], "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	s.NoErr(err)
	s.True(isAnswered(conns[0]))
	s.awaitIdle(3)
	s.True(isAnswered(s.open("/")))
	_ = conns[1].SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = conns[1].Read(make([]byte, 1))
	s.Equal(err, io.EOF)
	s.awaitIdle(3)
	s.Equal(s.idleClosed.Load(), int64(1))
	for _, c := range []net.Conn{conns[0], conns[2]} {
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		s.NoErr(err)
	}
}

// Guards against requests that are broken off to make room for new callers, who can try another VM.
func TestConnectionsWithRequestsAreKept(t *testing.T) {
	s := newPoolServer(t, 2)
	first, second := s.open("/hold"), s.open("/hold")
	<-s.holding
	<-s.holding
	s.True(s.isTurnedAway())
	close(s.hold)
	s.True(isAnswered(first))
	s.True(isAnswered(second))
	s.Equal(s.turnedAway.Load(), int64(1))
	s.Equal(s.idleClosed.Load(), int64(0))
	s.awaitIdle(2)
	s.True(isAnswered(s.open("/")))
}

// Guards against a bound that leaves no descriptors for endpoints, or takes the memory of a small VM.
func TestMaxConns(t *testing.T) {
	is := is.New(t)
	is.Equal(MaxConns(1<<30, 4100), 1950)
	is.True(MaxConns(88<<20, 4100)*bytesPerConn <= 22<<20)
	is.Equal(MaxConns(1<<30, 100), minConns)
}
