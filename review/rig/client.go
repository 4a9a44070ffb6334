package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Uint64

// NewAttempt returns the ID of a new client attempt.
func NewAttempt() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastAttempt.Add(1)) }

// Request is one client attempt.
type Request struct {
	ID, Method, Host, Path string
	Timeout                time.Duration
	Key, Body              string
	// Headers are further header lines, without line ends.
	Headers []string
}

// Answer is what the client got for an attempt.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Closes is set if the channel must not be used again.
	Closes bool
	// Err is set if the answer did not come or was not whole.
	Err error
}

// Client sends requests on one kept channel.
type Client struct {
	address string
	conn    net.Conn
	br      *bufio.Reader
}

// NewClient returns a client of a VM.
func NewClient(address string) *Client { return &Client{address: address} }

// Close closes the channel.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Do sends a request and waits for the whole answer, at most a second longer than the request's time limit.
func (c *Client) Do(r Request) Answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return Answer{Err: err}
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	a := c.exchange(r)
	if a.Err != nil || a.Closes {
		c.Close()
	}
	return a
}

func (c *Client) exchange(r Request) Answer {
	if err := c.conn.SetDeadline(time.Now().Add(r.Timeout + time.Second)); err != nil {
		return Answer{Err: err}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.Method, r.Path, r.Host, Names.ID, r.ID, Names.Deadline, r.Timeout.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.Key)
	}
	for _, h := range r.Headers {
		b.WriteString(h + "\r\n")
	}
	if r.Body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n" + r.Body)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return Answer{Err: err}
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Closes: resp.Close, Err: err}
}
