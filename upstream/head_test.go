package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// exchangeWith sends a request to an endpoint that writes the given bytes, the last of them again and again until
// the connection is closed, and returns the response and how much was read.
func exchangeWith(t *testing.T, r *Request, begin, again string) (resp *Response, read *atomic.Int64, err error) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		_, err := io.WriteString(far, begin)
		for err == nil && again != "" {
			_, err = io.WriteString(far, again)
		}
	}()
	read = new(atomic.Int64)
	p := NewPool(func(context.Context, string, string) (Connection, error) {
		return Connection{Conn: countingConn{near, read}}, nil
	}, 1)
	resp, err = p.Do(t.Context(), "e", "a", r, false)
	return resp, read, err
}

// maxReadOfHead is how much may be read on one connection before an endpoint that sends no response is given up.
const maxReadOfHead = 1 << 20

// Guards against a VM that buffers a head, or reads other bytes that are no response, until its memory is spent.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	get := &Request{Method: http.MethodGet, Target: "/", Host: "h", Matches: func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == "1" }}
	const ok = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, c := range map[string]struct{ begin, again string }{
		"no line end":            {"", "xxxxxxxxxxxxxxxx"},
		"status line":            {"HTTP/1.1 200 ", "OK"},
		"header without end":     {ok + "X: ", "xxxxxxxxxxxxxxxx"},
		"header lines":           {ok, "X: y\r\n"},
		"short header lines":     {ok, "a:\n"},
		"folded header":          {ok + "X: y\r\n", " y\r\n"},
		"interim responses":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"long interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 8<<10) + "\r\n\r\n"},
		"empty lines":            {"", "\r\n"},
		"zero bytes":             {"", "\x00\x00\x00\x00"},
		"stale response":         {"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"long stale response":    {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 99999999999\r\n\r\n", "xxxxxxxxxxxxxxxx"},
		"stale responses":        {"", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nxxxx"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, read, err := exchangeWith(t, get, c.begin, c.again)
			var ex *ExchangeError
			is.True(errors.As(err, &ex))
			is.Equal(ex.Stage, Sent)
			is.True(read.Load() <= maxReadOfHead)
		})
	}
}

// Guards against a sound response that is taken for an endless one: its head is long, or follows interim and stale
// responses, or its body begins with many lines.
func TestLongHeadIsRead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	get := &Request{Method: http.MethodGet, Target: "/", Host: "h", Matches: func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == "1" }}
	body := strings.Repeat("\n", 70<<10)
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", ok, len(body), body)
	for name, c := range map[string]string{
		"many lines":        "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 200) + strings.TrimPrefix(whole, "HTTP/1.1 200 OK\r\n"),
		"long line":         "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 40<<10) + "\r\n" + strings.TrimPrefix(whole, "HTTP/1.1 200 OK\r\n"),
		"interim responses": strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 8) + whole,
		"stale response":    "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nxxxx" + whole,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, _, err := exchangeWith(t, get, c, "")
			is.NoErr(err)
			got, err := io.ReadAll(resp)
			is.NoErr(err)
			is.Equal(string(got), body)
			resp.Finish()
		})
	}
}

// Guards against a head that comes byte by byte for as long as its caller waits.
func TestHeadHasTimeLimit(t *testing.T) {
	is := is.New(t)
	h := &headReader{r: strings.NewReader("HTTP/1.1 200 OK\r\n")}
	h.begin()
	_, err := h.Read(make([]byte, 4))
	is.NoErr(err)
	h.started = time.Now().Add(-headTimeout - time.Second)
	_, err = h.Read(make([]byte, 4))
	var limit *HeadLimitError
	is.True(errors.As(err, &limit))
}

// Guards against a rejection whose body has no end and holds its caller up.
func TestDrainIsBounded(t *testing.T) {
	for name, again := range map[string]string{"endless": "xxxxxxxxxxxxxxxx", "silent": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			any := &Request{Method: http.MethodGet, Target: "/", Host: "h", Matches: func(*http.Response, bool) bool { return true }}
			resp, read, err := exchangeWith(t, any, "HTTP/1.1 503 Service Unavailable\r\n\r\n", again)
			is.NoErr(err)
			begin := time.Now()
			resp.Drain()
			resp.Finish()
			is.True(time.Since(begin) < 2*time.Second)
			is.True(read.Load() <= 2*maxDrainedBytes)
		})
	}
}

// Guards against a VM that reads on where a body in chunks has no end, though no byte of the body comes, and against
// one that holds what it reads.
func TestEndlessFramingIsGivenUp(t *testing.T) {
	any := &Request{Method: http.MethodGet, Target: "/", Host: "h", Matches: func(*http.Response, bool) bool { return true }}
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		begin, again string
		// malformed is set if the framing is wrong before it is too long.
		malformed bool
	}{
		"trailers":              {head + "4\r\nxxxx\r\n0\r\n", "X: y\r\n", false},
		"trailer without end":   {head + "4\r\nxxxx\r\n0\r\nX: ", "xxxxxxxxxxxxxxxx", false},
		"chunk extension":       {head + "4;", "xxxxxxxxxxxxxxxx", false},
		"chunk extensions":      {head, "1;" + strings.Repeat("x", 1<<10) + "\r\ny\r\n", false},
		"zeros of a chunk size": {head, "0000000000000000", false},
		"spaces of a size":      {head + "4", "                ", false},
		"blank lines":           {head, "\r\n", true},
		"lines in place of it":  {head, "x\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, read, err := exchangeWith(t, any, c.begin, c.again)
			is.NoErr(err)
			body, err := io.ReadAll(resp)
			is.True(err != nil)
			var limit *FramingLimitError
			is.Equal(errors.As(err, &limit), !c.malformed)
			is.True(len(body) <= 64)
			resp.Finish()
			is.True(read.Load() <= maxReadOfHead)
		})
	}
}

// Guards against an endpoint that sends a head byte by byte, or interim responses, without end, so slowly that a VM
// would read them for as long as its caller waits.
func TestSlowHeadIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		begin, again string
		// most is how long a head may be read.
		most time.Duration
	}{
		"byte by byte":      {"HTTP/1.1 200 OK\r\nX: ", "y", headTimeout + 2*time.Second},
		"line by line":      {"HTTP/1.1 200 OK\r\n", "X: y\r\n", headTimeout + 2*time.Second},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", (maxInterimResponses + 1) * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				near, far := net.Pipe()
				var endpoint sync.WaitGroup
				endpoint.Go(func() {
					_, err := http.ReadRequest(bufio.NewReader(far))
					if err == nil {
						_, err = io.WriteString(far, c.begin)
					}
					for err == nil {
						time.Sleep(time.Second)
						_, err = io.WriteString(far, c.again)
					}
				})
				p := NewPool(func(context.Context, string, string) (Connection, error) { return Connection{Conn: near}, nil }, 1)
				begun := time.Now()
				_, err := p.Do(t.Context(), "e", "a", &Request{Method: http.MethodGet, Target: "/", Host: "h", Matches: func(*http.Response, bool) bool { return true }}, false)
				var limit *HeadLimitError
				is.True(errors.As(err, &limit))
				is.True(time.Since(begun) <= c.most)
				endpoint.Wait()
			})
		})
	}
}
