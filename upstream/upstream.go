// Package upstream sends requests to endpoints over persistent connections and reports exactly
// how far each request came. The standard library's client retries requests by itself and does
// not reveal whether a byte was sent, which at-most-once delivery needs to know. Connections are
// therefore managed here, and net/http only parses responses.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chivefield/chivefield/httphead"
)

const (
	// defaultKeepAlive is how long a connection may be idle if the endpoint sends no Keep-Alive
	// timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from the endpoint's Keep-Alive timeout, so that no request is
	// sent while the endpoint closes the connection.
	keepAliveMargin = 1200 * time.Millisecond
	// maxStaleResponses bounds the responses to earlier requests that are skipped on one
	// connection.
	maxStaleResponses = 3
	// maxStaleBytes bounds the bodies of these responses together.
	maxStaleBytes = 64 << 10
	// maxDrainedBytes and drainTimeout bound what is read of a body that nobody needs, so that its
	// connection can be kept.
	maxDrainedBytes = 64 << 10
	drainTimeout    = 250 * time.Millisecond
	readBuffer      = 4 << 10
	// asyncWriteSize is the size from which a body is written while the response is awaited,
	// since an endpoint may respond before it has read the whole body.
	asyncWriteSize = 32 << 10
	// writeSize is the size of the parts in which such a body is written, so that an endpoint that reads
	// slowly can be told from one that does not read.
	writeSize = 64 << 10
)

// Stage is how far a request came before it failed.
type Stage int

// Stages of a request.
const (
	// NotSent: no byte of it was sent.
	NotSent Stage = iota
	// Sent: the endpoint may have read some of it.
	Sent
)

// ExchangeError reports a request that got no response.
type ExchangeError struct {
	Address string
	Stage   Stage
	Err     error
}

// Error returns the address, whether the request may have been sent, and the cause.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("endpoint %s: sent=%t: %v", e.Address, e.Stage == Sent, e.Err)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// IsConnectionRefused reports whether an error means that nothing listens at an address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// StaleResponsesError reports a connection that delivered only responses to other requests.
type StaleResponsesError struct{ Count int }

// Error returns the number of responses to other requests.
func (e *StaleResponsesError) Error() string {
	return fmt.Sprintf("received %d responses to other requests", e.Count)
}

// WithdrawnError reports a request that was not sent because it was no longer allowed.
type WithdrawnError struct{}

// Error implements error.
func (e *WithdrawnError) Error() string { return "the request is no longer allowed there" }

// Request is a request that is sent unchanged.
type Request struct {
	Method, Target, Host string
	// Fields are header lines that are sent as they are, each with its line end, beside those of Header.
	Fields []byte
	Header http.Header
	Body   []byte
	// HasBody reports whether the request has a body, even an empty one.
	HasBody bool
	// Progress is called as parts of a large body have been written; nil if nobody needs to know.
	Progress func()
	// Allowed reports, once there is a connection, whether the request may still be sent; nil if it always may.
	Allowed func() bool
	// Matches reports whether a response belongs to this request. reused tells whether the connection had
	// served other requests before, to one of which the response may belong.
	Matches func(resp *http.Response, reused bool) bool
}

// Response is an endpoint's response whose body has not been read yet.
type Response struct {
	*http.Response
	// Reused reports whether the connection had served other requests before.
	Reused   bool
	conn     *conn
	pool     *Pool
	stop     func() bool
	bodyRead bool
	// upload is the writing of a large request; nil if the request was written before the response was awaited.
	upload *upload
	// lastRead is when the last read of the body returned, longestUnread the longest time from there to
	// the next one.
	lastRead      time.Time
	longestUnread time.Duration
}

type conn struct {
	Connection
	// br reads from head, which bounds the heads of responses.
	br        *bufio.Reader
	head      *headReader
	key       string
	idleSince time.Time
	keepAlive time.Duration
	requests  int
}

// Connection is a connection to an endpoint.
type Connection struct {
	net.Conn
	// Carrier is the address of the VM that carries it; empty for a direct connection.
	Carrier string
}

// Dialer opens a connection to the incarnation of an endpoint with the given key. It bounds the time
// that this takes.
type Dialer func(ctx context.Context, key, address string) (Connection, error)

// Pool keeps idle connections by endpoint.
type Pool struct {
	Dial Dialer
	// MaxIdle bounds the idle connections kept for one endpoint.
	MaxIdle int
	// UseCarried reports whether idle connections that other VMs carry may be used again; nil if they
	// always may.
	UseCarried func() bool

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(dial Dialer, maxIdle int) *Pool {
	return &Pool{Dial: dial, MaxIdle: maxIdle, idle: make(map[string][]*conn)}
}

// Do sends a request to an endpoint and returns its response. key identifies the endpoint's
// incarnation, so that no connection is reused for another one. newConn asks for a new
// connection. Cancelling ctx closes the connection, which notifies the endpoint.
func (p *Pool) Do(ctx context.Context, key, address string, r *Request, newConn bool) (*Response, error) {
	c, err := p.get(ctx, key, address, newConn)
	if err != nil {
		return nil, &ExchangeError{Address: address, Stage: NotSent, Err: err}
	}
	return p.send(ctx, c, address, r)
}

// send sends a request on a connection, which it closes if there is no response.
func (p *Pool) send(ctx context.Context, c *conn, address string, r *Request) (*Response, error) {
	if r.Allowed != nil && !r.Allowed() {
		p.keep(c)
		return nil, &ExchangeError{Address: address, Stage: NotSent, Err: &WithdrawnError{}}
	}
	stop := context.AfterFunc(ctx, c.abandon)
	resp, err := c.exchange(r)
	if err != nil {
		stop()
		c.abandon()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &ExchangeError{Address: address, Stage: Sent, Err: err}
	}
	resp.pool, resp.stop = p, stop
	return resp, nil
}

// abandon closes a connection and discards data that has not been sent to the endpoint yet. On a
// broken or congested link the data would arrive long after the request was sent elsewhere.
func (c *conn) abandon() {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that is closed already has nothing left to discard.
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// Preconnect opens a connection to an endpoint and keeps it as an idle one.
func (p *Pool) Preconnect(key, address string) error {
	c, err := p.get(context.Background(), key, address, true)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

func (p *Pool) get(ctx context.Context, key, address string, newConn bool) (*conn, error) {
	if !newConn {
		if c := p.takeIdle(key); c != nil {
			return c, nil
		}
	}
	nc, err := p.Dial(ctx, key, address)
	if err != nil {
		return nil, err
	}
	head := &headReader{r: nc}
	return &conn{Connection: nc, br: bufio.NewReaderSize(head, readBuffer), head: head, key: key, idleSince: time.Now(), keepAlive: defaultKeepAlive}, nil
}

// takeIdle returns the most recently used idle connection that is still reusable.
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
		if time.Since(c.idleSince) < c.keepAlive && p.mayUse(c) && c.reusable() {
			return c
		}
		_ = c.Close()
	}
}

// mayUse reports whether a connection may be used again. One that another VM carries would take the way
// by it for as long as requests follow each other.
func (p *Pool) mayUse(c *conn) bool {
	return c.Carrier == "" || p.UseCarried == nil || p.UseCarried()
}

// reusable reports whether an idle connection has received nothing: neither its end nor bytes of
// an unrelated response, which would be taken for the response to the next request.
func (c *conn) reusable() bool {
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
	noInput := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, rerr := syscall.Read(int(fd), b[:])
		noInput = rerr == syscall.EAGAIN || rerr == syscall.EINTR
		return true
	})
	return err == nil && noInput
}

func (c *conn) exchange(r *Request) (*Response, error) {
	c.requests++
	response := &Response{conn: c, Reused: c.requests > 1}
	head := r.head()
	if len(r.Body) < asyncWriteSize {
		if _, err := c.Write(append(head, r.Body...)); err != nil {
			return nil, err
		}
	} else {
		response.upload = startUpload(func() error { return c.writeLarge(head, r) })
	}
	resp, err := c.readMatching(r)
	if err != nil {
		return nil, err
	}
	response.Response = resp
	return response, nil
}

// writeLarge writes a request with a large body. Joining the head and the body would hold the body twice
// for as long as the endpoint does not read it.
func (c *conn) writeLarge(head []byte, r *Request) error {
	if _, err := c.Write(head); err != nil {
		return err
	}
	for body := r.Body; len(body) > 0; {
		n, err := c.Write(body[:min(len(body), writeSize)])
		if err != nil {
			return err
		}
		body = body[n:]
		if r.Progress != nil {
			r.Progress()
		}
	}
	return nil
}

// readMatching reads responses until one belongs to the request. An endpoint may send a second
// response to an earlier request late; without this check a caller would get somebody else's
// response.
func (c *conn) readMatching(r *Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	c.head.begin()
	staleBytes := int64(maxStaleBytes)
	for stale, interim := 0, 0; ; c.head.beginNext(c.buffered()) {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		c.head.end()
		if err := c.checkHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimResponses {
				return nil, headLimit(maxInterimResponses, "interim responses")
			}
			continue
		}
		if r.Matches(resp, c.requests > 1) {
			return resp, nil
		}
		stale++
		if stale > maxStaleResponses || resp.Close || framingOf(resp) == ByConnection {
			return nil, &StaleResponsesError{Count: stale}
		}
		n, whole, err := skipBody(resp.Body, staleBytes)
		if err != nil {
			return nil, err
		}
		if staleBytes -= n; !whole {
			return nil, &StaleResponsesError{Count: stale}
		}
	}
}

// checkHead returns an error if a head is that of no response, interim ones included. Nothing of it may be believed
// then: neither where its body ends nor what follows it.
func (c *conn) checkHead(resp *http.Response) error {
	if err := CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	if err := httphead.CheckFieldNames(resp.Header); err != nil {
		return err
	}
	return c.head.lines.check(resp)
}

// buffered returns what has been read and not been used yet. It is valid until the next read.
func (c *conn) buffered() []byte {
	// As much as is buffered can always be peeked.
	b, _ := c.br.Peek(c.br.Buffered())
	return b
}

// skipBody reads a body of at most limit bytes, and reports whether that is all of it. The body is not closed, since
// that would read the rest, however long it is.
func skipBody(body io.Reader, limit int64) (n int64, whole bool, err error) {
	n, err = io.Copy(io.Discard, io.LimitReader(body, limit+1))
	return n, n <= limit, err
}

func (r *Request) head() []byte {
	var b strings.Builder
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.Write(r.Fields)
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return []byte(b.String())
}

// Drain reads the rest of a body that is not needed, so that the connection can be kept. One that is too long, or
// takes too long, costs the connection.
func (r *Response) Drain() {
	t := time.AfterFunc(drainTimeout, r.conn.abandon)
	defer t.Stop()
	// A body that breaks off costs the connection as well, and says nothing that its head did not.
	_, _, _ = skipBody(r, maxDrainedBytes)
}

// Finish ends the exchange. It keeps the connection if the response was read to its end and the
// connection may serve another request, and closes it otherwise.
func (r *Response) Finish() {
	notCancelled := r.stop()
	c := r.conn
	if !notCancelled || !r.bodyRead || r.Close || !r.upload.written() || r.Unframed() || c.br.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.keepAlive = parseKeepAlive(r.Header.Get("Keep-Alive"))
	if c.keepAlive <= 0 {
		_ = c.Close()
		return
	}
	r.pool.put(c)
}

// Carrier returns the address of the VM that carries the response's connection; empty if it is direct.
func (r *Response) Carrier() string { return r.conn.Carrier }

// parseKeepAlive returns how long a connection may be idle, from the endpoint's Keep-Alive
// header.
func parseKeepAlive(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(v)
		if err != nil {
			return defaultKeepAlive
		}
		return time.Duration(n)*time.Second - keepAliveMargin
	}
	return defaultKeepAlive
}

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.keep(c)
}

// keep keeps a connection that has been idle since before.
func (p *Pool) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.key]) >= p.MaxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// CloseIdleSince closes connections that have been idle since before the given time.
func (p *Pool) CloseIdleSince(t time.Time) {
	p.closeIdle(func(c *conn) bool { return c.idleSince.Before(t) })
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.closeIdle(func(c *conn) bool { return now.Sub(c.idleSince) >= c.keepAlive })
}

func (p *Pool) closeIdle(unwanted func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if unwanted(c) {
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
