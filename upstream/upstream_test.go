package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that was sent elsewhere after a timeout and that its first endpoint
// still reads once its link or its process recovers.
func TestAbandonedRequestDoesNotArriveLater(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	arrived := make(chan error, 1)
	resume := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			arrived <- err
			return
		}
		defer func() { _ = c.Close() }()
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		<-resume
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		arrived <- err
	}()
	p := NewPool(func(ctx context.Context, _, address string) (Connection, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return Connection{Conn: c}, err
	}, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	// More than the endpoint's receive buffer, less than the sender's send buffer.
	_, err = p.Do(ctx, "e", l.Addr().String(), &Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 1<<20)}, false)
	is.True(err != nil)
	time.Sleep(50 * time.Millisecond)
	close(resume)
	is.True(<-arrived != nil)
}

// Guards against a VM whose link is back, and that goes on sending by way of another VM over a connection from before.
func TestCarriedConnectionIsNotReusedOnceNeedless(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go respondToAll(c)
		}
	}()
	carrier := "10.0.0.1:7600"
	p := NewPool(func(ctx context.Context, _, address string) (Connection, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return Connection{Conn: c, Carrier: carrier}, err
	}, 1)
	p.UseCarried = func() bool { return carrier != "" }
	send := func() string {
		resp, err := p.Do(t.Context(), "e", l.Addr().String(), &Request{
			Method: "GET", Target: "/", Host: "h", Header: http.Header{}, Matches: func(*http.Response, bool) bool { return true },
		}, false)
		is.NoErr(err)
		_, err = io.ReadAll(resp)
		is.NoErr(err)
		resp.Finish()
		return resp.Carrier()
	}
	is.Equal(send(), "10.0.0.1:7600")
	is.Equal(send(), "10.0.0.1:7600")
	carrier = ""
	is.Equal(send(), "")
	is.Equal(send(), "")
}

// respondToAll responds to each request on a connection.
func respondToAll(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}
