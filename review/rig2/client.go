package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is one attempt of a client, on a channel of its own unless it names one.
type Request struct {
	Method, Path, ID, Key string
	DeadlineMs            int
	Body                  string
	Headers               []string
}

// Answer is what a client got.
type Answer struct {
	Status int
	Body   string
	Header http.Header
	Err    error
	Took   time.Duration
}

func (r *Request) bytes() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.Method, r.Path, Host, Names.ID, r.ID, Names.Deadline, r.DeadlineMs)
	if r.Key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.Key)
	}
	for _, h := range r.Headers {
		b.WriteString(h + "\r\n")
	}
	if r.Body != "" || r.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n" + r.Body)
	return b.String()
}

// Send sends a request on a new channel and returns the answer.
func Send(address string, r Request) Answer {
	start := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err, Took: time.Since(start)}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(start.Add(time.Duration(r.DeadlineMs) * time.Millisecond))
	a := exchange(c, bufio.NewReader(c), r)
	a.Took = time.Since(start)
	return a
}

func exchange(c net.Conn, br *bufio.Reader, r Request) Answer {
	if _, err := io.WriteString(c, r.bytes()); err != nil {
		return Answer{Err: err}
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Body: string(body), Header: resp.Header, Err: err}
}

// String returns the answer for the record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", a.Took.Milliseconds(), a.Err)
	}
	return fmt.Sprintf("%d after %d ms", a.Status, a.Took.Milliseconds())
}
