package callerconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// readServer is an HTTP server whose connections read as those of callers do. It echoes the bodies of requests.
type readServer struct {
	*is.I
	pool    *Pool
	heads   *HeadMemory
	address string
	refused atomic.Int64
	// hold delays responses; nil if they are not delayed.
	hold chan struct{}
}

func newReadServer(t *testing.T, memory int64) *readServer {
	t.Helper()
	s := &readServer{I: is.New(t), heads: NewHeadMemory(memory)}
	s.pool = NewPool(100, s.heads, zerolog.Nop(), func(name string) {
		if name == "heads_refused" {
			s.refused.Add(1)
		}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.NoErr(err)
	s.address = l.Addr().String()
	server := &http.Server{ConnState: s.pool.ConnState, ConnContext: NewContext, MaxHeaderBytes: 1 << 30, Handler: http.HandlerFunc(s.echo)}
	go func() { _ = server.Serve(s.pool.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *readServer) echo(w http.ResponseWriter, r *http.Request) {
	c := FromContext(r.Context())
	c.BeginBody(r.ContentLength)
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	r.Header = http.Header{}
	if !c.ReplaceHead(int64(len(r.RequestURI)) + int64(lines)*4) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.EndBody()
	if s.hold != nil {
		<-s.hold
	}
	_, _ = fmt.Fprintf(w, "%s %d %s", r.RequestURI, lines, body)
}

func (s *readServer) dial() net.Conn {
	c, err := net.Dial("tcp", s.address)
	s.NoErr(err)
	s.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	return c
}

// nextBody reads a response and returns its status and body.
func (s *readServer) nextBody(br *bufio.Reader) (int, string) {
	resp, err := http.ReadResponse(br, nil)
	s.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	s.NoErr(err)
	return resp.StatusCode, string(body)
}

// statusOf sends a request on a new connection and returns the status of the response; 0 if none came.
func (s *readServer) statusOf(request string) int {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, request); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// awaitAllFree waits until all memory for heads is free again.
func (s *readServer) awaitAllFree(memory int64) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if s.heads.held.available.Load() == memory-s.heads.maxParsing && s.heads.parsing.TryAcquire(s.heads.maxParsing) {
			return
		}
	}
	s.Fail()
}

// shortLines returns so many header lines that take four or five bytes each.
func shortLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\n", i)
	}
	return b.String()
}

// Guards against requests that are cut, joined or mixed up where a connection hands their parts to net/http one by
// one: heads and bodies of all sizes, split anywhere, one behind the other.
func TestRequestsArriveAsSent(t *testing.T) {
	const memory = 1 << 20
	for seed := range uint64(20) {
		s := newReadServer(t, memory)
		rng := rand.New(rand.NewPCG(seed, 1))
		var sent strings.Builder
		var want []string
		for i := range 30 {
			lines := []int{0, 3, 100, 2000}[rng.IntN(4)]
			body := strings.Repeat("b\r\n\r\n", rng.IntN(3)*rng.IntN(2000))
			fmt.Fprintf(&sent, "POST /%d HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s", i, shortLines(lines), len(body), body)
			want = append(want, fmt.Sprintf("/%d %d %s", i, lines+1, body))
		}
		c := s.dial()
		go writeInPieces(c, sent.String(), rng)
		br := bufio.NewReader(c)
		for i, text := range want {
			status, got := s.nextBody(br)
			if status != http.StatusOK || got != text {
				t.Fatalf("seed %d, request %d: status %d, %d bytes of %d", seed, i, status, len(got), len(text))
			}
		}
		s.NoErr(c.Close())
		s.awaitAllFree(memory)
	}
}

// writeInPieces writes a text in pieces of random sizes.
func writeInPieces(w io.Writer, text string, rng *rand.Rand) {
	for len(text) > 0 {
		n := min(len(text), 1+rng.IntN(1<<rng.IntN(14)))
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// Guards against a connection that is lost after each body in chunks, though nothing came behind it.
func TestConnectionIsKeptAfterChunks(t *testing.T) {
	s := newReadServer(t, 1<<20)
	c := s.dial()
	br := bufio.NewReader(c)
	for _, end := range []string{"0\r\n\r\n", "0\r\nT: x\r\n\r\n"} {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"+end)
		s.NoErr(err)
		status, body := s.nextBody(br)
		s.Equal(status, http.StatusOK)
		s.Equal(body, "/ 0 ok")
	}
}

// Guards against the beginning of a head that net/http gets together with the end of a body in chunks, and keeps in its
// own form for as long as the rest does not come.
func TestConnectionWithPartOfHeadBehindChunksIsClosed(t *testing.T) {
	s := newReadServer(t, 1<<20)
	c := s.dial()
	br := bufio.NewReader(c)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nGET / HTTP/1.1\r\n"+shortLines(500))
	s.NoErr(err)
	status, _ := s.nextBody(br)
	s.Equal(status, http.StatusOK)
	s.NoErr(c.SetReadDeadline(time.Now().Add(DefaultHeadTimeout / 2)))
	_, err = br.ReadByte()
	s.True(err != nil)
	s.True(!errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against heads that take memory without end, or a form of it that takes a multiple, before they are refused.
func TestHeadsBeyondLimitAreRefused(t *testing.T) {
	const memory = 1 << 20
	s := newReadServer(t, memory)
	s.pool.SetHeadLimits(3000, 0)
	for name, text := range map[string]string{
		"small":            "GET / HTTP/1.1\r\nHost: a\r\nB: " + strings.Repeat("x", 3500) + "\r\n\r\n",
		"whole":            "GET / HTTP/1.1\r\nHost: a\r\n" + shortLines(3000) + "\r\n",
		"without end":      "GET / HTTP/1.1\r\nHost: a\r\n" + shortLines(3000),
		"one line":         "GET / HTTP/1.1\r\nHost: a\r\nB: " + strings.Repeat("x", 9000),
		"one request line": "GET /" + strings.Repeat("x", 9000),
	} {
		before := s.refused.Load()
		c := s.dial()
		_, err := io.WriteString(c, text)
		s.NoErr(err)
		status, _ := s.nextBody(bufio.NewReader(c))
		if status != http.StatusRequestHeaderFieldsTooLarge || s.refused.Load() != before+1 {
			t.Errorf("%s: status %d", name, status)
		}
		s.NoErr(c.Close())
	}
	s.awaitAllFree(memory)
}

// Guards against heads of callers without number that together take more memory than there is, and against one of them
// that is refused in calm.
func TestHeadMemoryIsSummed(t *testing.T) {
	const memory = 100 << 10
	s := newReadServer(t, memory)
	s.hold = make(chan struct{})
	head := func(i int) string { return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: a\r\n%s\r\n", i, shortLines(3000)) }
	const callers = 20
	statuses := make(chan int, callers)
	for i := range callers {
		go func() {
			statuses <- s.statusOf(head(i))
		}()
	}
	// A response takes 8 KB beyond what is free, and there are 50 KB for them.
	const most = 50 << 10 / (3000*4 - freeHeadBytes)
	for range callers - most {
		s.Equal(<-statuses, http.StatusServiceUnavailable)
	}
	close(s.hold)
	served := 0
	for range most {
		if <-statuses == http.StatusOK {
			served++
		}
	}
	s.True(served > 0)
	s.awaitAllFree(memory)
	s.heads.parsing.Release(s.heads.maxParsing)
	s.Equal(s.statusOf(head(callers)), http.StatusOK)
}

// Guards against a body that net/http gets together with its head: the start of a head behind it would not be counted.
func TestBodyIsNotHandedOverWithItsHead(t *testing.T) {
	is := is.New(t)
	caller, server := net.Pipe()
	p := NewPool(1, NewHeadMemory(1<<20), zerolog.Nop(), func(string) {})
	c := &Conn{Conn: server, pool: p}
	head := "POST / HTTP/1.1\r\nHost: a\r\n" + shortLines(100) + "\r\n"
	go func() { _, _ = io.WriteString(caller, head+"body\r\n\r\nGET /next") }()
	buf := make([]byte, 4096)
	n, err := c.Read(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), head)
	c.BeginBody(4)
	n, err = c.Read(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "body")
	is.NoErr(caller.Close())
}
