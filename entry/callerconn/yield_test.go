package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
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

// isServed reports whether a request on a new connection is answered.
func (s *pipeServer) isServed() bool {
	c := s.open("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	defer func() {
		_ = c.Close()
		synctest.Wait()
	}()
	_, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil
}

// Guards against ordinary callers that are turned away while connections that give no whole request keep all places.
func TestIncompleteRequestsYieldTheirPlaces(t *testing.T) {
	for name, text := range map[string]string{
		"silent":    "",
		"head":      "GET / HTTP/1.1\r\nHost: a\r\n",
		"body":      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n",
		"chunks":    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
		"next head": "HEAD / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			playPool(t, 3, 1<<20, func(s *pipeServer) {
				var others []net.Conn
				for range 3 {
					c := s.open(text)
					if name == "next head" {
						_, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodHead})
						s.NoErr(err)
					}
					others = append(others, c)
				}
				time.Sleep(arrivalGrace / 2)
				s.True(!s.isServed())
				time.Sleep(arrivalGrace/2 + 10*time.Millisecond)
				for range 10 {
					s.True(s.isServed())
				}
				s.True(!isOpen(others[0]))
				s.True(isOpen(others[2]))
				s.Equal(s.counts["callers_incomplete_closed"], 1)
				for _, c := range others {
					s.NoErr(c.Close())
				}
			})
		})
	}
}

// Guards against callers that lose their place to others though they have a request that runs, are idle between two,
// or send a body as fast as a slow link takes it.
func TestOrdinaryCallersKeepTheirPlaces(t *testing.T) {
	playPool(t, 3, 1<<20, func(s *pipeServer) {
		const length = 4 * minRate
		idle := s.open("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n")
		_, err := http.ReadResponse(bufio.NewReader(idle), &http.Request{Method: http.MethodHead})
		s.NoErr(err)
		sending := s.open("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 65536\r\n\r\n")
		go func() {
			for range length / minRate {
				_, _ = sending.Write(make([]byte, minRate))
				time.Sleep(time.Second)
			}
		}()
		defer time.Sleep(time.Second)
		for range length/minRate - 1 {
			silent := s.open("")
			time.Sleep(arrivalGrace)
			s.True(s.isServed())
			s.NoErr(silent.Close())
		}
		s.True(isOpen(idle))
		_, err = http.ReadResponse(bufio.NewReader(sending), nil)
		s.NoErr(err)
		s.NoErr(idle.Close())
		s.NoErr(sending.Close())
	})
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

// Guards against a caller that is refused for want of memory which others hold for heads that do not come.
func TestIncompleteHeadsYieldTheirMemory(t *testing.T) {
	playPool(t, 30, 40<<10, func(s *pipeServer) {
		part := "GET / HTTP/1.1\r\nHost: a\r\nB: " + string(make([]byte, 7000))
		for range 5 {
			s.open(part)
		}
		time.Sleep(arrivalGrace)
		c := s.open("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nB: ")
		go func() {
			for range 8 {
				_, _ = c.Write([]byte("xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"))
				_, _ = io.CopyN(c, zeros{}, 900)
			}
			_, _ = io.WriteString(c, "\r\n\r\n")
		}()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		s.NoErr(err)
		s.Equal(resp.StatusCode, http.StatusOK)
		s.True(s.counts["callers_incomplete_closed"] > 0)
	})
}

// zeros is an endless text.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '0'
	}
	return len(p), nil
}

// Guards against a request with a body that is refused for want of memory which bodies hold that do not come, and
// against a wait where no such body holds it.
func TestIncompleteBodiesYieldTheirMemory(t *testing.T) {
	playPool(t, 30, 1<<20, func(s *pipeServer) {
		var free atomic.Bool
		slow := s.open("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
		go func() {
			_, _ = io.Copy(io.Discard, slow)
			free.Store(true)
		}()
		began := time.Now()
		s.True(!s.pool.AwaitBodyMemory(free.Load))
		s.Equal(time.Since(began), time.Duration(0))
		time.Sleep(arrivalGrace)
		s.True(s.pool.AwaitBodyMemory(free.Load))
		s.NoErr(slow.Close())
	})
}
