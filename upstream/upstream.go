// Package upstream sends requests to endpoints over kept connections, and tells
// exactly how far each one came. The standard library's client repeats requests
// by itself and hides whether a byte has left, which at-most-once needs to know;
// so connections are kept here, and net/http only parses what comes back.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection. Round trips are a few ms within
	// a region and up to 100 between those that are far apart; an opening packet that
	// is dropped is repeated after a second, by when another endpoint has answered.
	dialTimeout = 200 * time.Millisecond
	// defaultKeep is how long a connection stays idle where the endpoint says
	// nothing.
	defaultKeep = 4 * time.Second
	// keepMargin is left of the time that the endpoint says, so that a request
	// does not cross the endpoint's close.
	keepMargin = 1200 * time.Millisecond
	// maxStale bounds the answers to earlier requests that are passed over on one
	// connection.
	maxStale = 3
	// maxStaleBytes bounds the body of such an answer.
	maxStaleBytes = 1 << 20
	readBuffer    = 4 << 10
	// asideBody is the size from which a body is written while the answer is
	// awaited, since an endpoint may answer before it has read it all.
	asideBody = 32 << 10
)

// Stage says how far a request came before it failed.
type Stage int

// Stages of a request.
const (
	// NotSent: no byte of it left.
	NotSent Stage = iota
	// Sent: some of it may have been read by the endpoint.
	Sent
)

// ExchangeError reports a request that got no answer.
type ExchangeError struct {
	Address string
	Stage   Stage
	Err     error
}

// Error describes the failure.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("endpoint %s: sent=%t: %v", e.Address, e.Stage == Sent, e.Err)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// StaleAnswersError reports a connection on which only answers to other
// requests came.
type StaleAnswersError struct{ Count int }

// Error describes the failure.
func (e *StaleAnswersError) Error() string {
	return fmt.Sprintf("%d answers to other requests came first", e.Count)
}

// EarlyAnswerError reports an answer that came before its request was written.
type EarlyAnswerError struct{}

// Error describes the failure.
func (e *EarlyAnswerError) Error() string { return "the answer came before the request was written" }

// Request is what is sent, unchanged.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// HasBody says that a body was sent, even an empty one.
	HasBody bool
	// Mine says whether an answer belongs to this request.
	Mine func(*http.Response) bool
}

// Answer is an endpoint's answer whose body is still to be read.
type Answer struct {
	*http.Response
	// Reused says that the connection had served other requests before.
	Reused bool
	conn   *conn
	pool   *Pool
	stop   func() bool
	whole  bool
	wrote  chan error
}

type conn struct {
	net.Conn
	br       *bufio.Reader
	key      string
	idleAt   time.Time
	keep     time.Duration
	requests int
}

// Pool keeps connections by endpoint.
type Pool struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxIdle bounds the idle connections kept for one endpoint.
	MaxIdle int

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(dial func(ctx context.Context, network, address string) (net.Conn, error), maxIdle int) *Pool {
	return &Pool{Dial: dial, MaxIdle: maxIdle, idle: make(map[string][]*conn)}
}

// Do sends a request to an endpoint and returns its answer. key names the
// endpoint's incarnation, so that no connection outlives it. fresh asks for a new
// connection. Cancelling ctx closes the connection, which tells the endpoint.
func (p *Pool) Do(ctx context.Context, key, address string, r *Request, fresh bool) (*Answer, error) {
	c, err := p.get(ctx, key, address, fresh)
	if err != nil {
		return nil, &ExchangeError{Address: address, Stage: NotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, c.abandon)
	a, err := c.exchange(r)
	if err != nil {
		stop()
		c.abandon()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &ExchangeError{Address: address, Stage: Sent, Err: err}
	}
	a.pool, a.stop = p, stop
	return a, nil
}

// abandon closes a connection and discards what the endpoint has not been sent yet: on a link that is
// cut or full it would arrive when the request has long gone on elsewhere.
func (c *conn) abandon() {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that is closed already has nothing left to discard.
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// Open opens a connection to an endpoint and keeps it as an idle one.
func (p *Pool) Open(key, address string) error {
	c, err := p.get(context.Background(), key, address, true)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

func (p *Pool) get(ctx context.Context, key, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(key); c != nil {
			return c, nil
		}
	}
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.Dial(dctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer), key: key, keep: defaultKeep}, nil
}

// takeIdle returns the idle connection used last that is still good.
func (p *Pool) takeIdle(key string) *conn {
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		p.mu.Unlock()
		if time.Since(c.idleAt) < c.keep && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

// quiet says that nothing came on an idle connection: neither its end nor bytes
// of nobody's answer, which the next request would take for its own.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, rerr := syscall.Read(int(fd), b[:])
		quiet = rerr == syscall.EAGAIN || rerr == syscall.EINTR
		return true
	})
	return err == nil && quiet
}

func (c *conn) exchange(r *Request) (*Answer, error) {
	c.requests++
	a := &Answer{conn: c, Reused: c.requests > 1}
	head := r.head()
	if len(r.Body) < asideBody {
		if _, err := c.Write(append(head, r.Body...)); err != nil {
			return nil, err
		}
	} else {
		a.wrote = make(chan error, 1)
		go func() {
			_, err := c.Write(append(head, r.Body...))
			a.wrote <- err
		}()
	}
	resp, err := c.readMine(r)
	if err != nil {
		return nil, err
	}
	a.Response = resp
	return a, nil
}

// readMine reads answers until one belongs to the request. An endpoint may send
// a second answer to an earlier request late; taken for this one it would give a
// caller somebody else's answer.
func (c *conn) readMine(r *Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	for stale := 0; ; {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Mine(resp) {
			return resp, nil
		}
		stale++
		if stale > maxStale || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, &StaleAnswersError{Count: stale}
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBytes)); err != nil {
			return nil, err
		}
		_ = resp.Body.Close()
	}
}

func (r *Request) head() []byte {
	var b strings.Builder
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return []byte(b.String())
}

// Read reads the body, and notes its end.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Finish ends the exchange: the connection is kept if the answer was read to
// its end and nothing speaks against it, else it is closed.
func (a *Answer) Finish() {
	live := a.stop()
	c := a.conn
	if !live || !a.whole || a.Close || !a.written() || a.Unframed() || c.br.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.keep = keepFor(a.Header.Get("Keep-Alive"))
	if c.keep <= 0 {
		_ = c.Close()
		return
	}
	a.pool.put(c)
}

// Unframed answers end with their connection: nothing tells whether they are whole.
func (a *Answer) Unframed() bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0
}

// written says that the request was written whole before the answer came. If
// not, the endpoint still expects the rest of it.
func (a *Answer) written() bool {
	if a.wrote == nil {
		return true
	}
	select {
	case err := <-a.wrote:
		return err == nil
	default:
		return false
	}
}

// keepFor is how long a connection may be idle, by the endpoint's word.
func keepFor(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(v)
		if err != nil {
			return defaultKeep
		}
		return time.Duration(n)*time.Second - keepMargin
	}
	return defaultKeep
}

func (p *Pool) put(c *conn) {
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.key]) >= p.MaxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// Sweep closes connections that were idle for too long.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleAt) >= c.keep {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}
