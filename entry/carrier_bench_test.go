package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/chivefield/chivefield/upstream"
)

// serveForever answers each request on an endpoint's connections with a body of 800 bytes.
func serveForever(l net.Listener) {
	response := "HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n" + strings.Repeat("x", 800)
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = nc.Close() }()
			br := bufio.NewReader(nc)
			for {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				if _, err := io.WriteString(nc, response); err != nil {
					return
				}
			}
		}()
	}
}

// BenchmarkExchange measures an exchange with an endpoint over loopback, directly and by way of another
// VM, on a connection of its own and on one that is used again.
func BenchmarkExchange(b *testing.B) {
	s := newCarried(b)
	go serveForever(s.endpoint)
	direct := upstream.NewPool(func(ctx context.Context, key, address string) (upstream.Connection, error) {
		c, err := s.vm.link.dialDirect(ctx, key, address)
		return upstream.Connection{Conn: c}, err
	}, 1)
	// A direct connection shows that the link is back, so carried ones come first.
	for _, way := range []struct {
		name string
		pool *upstream.Pool
	}{{"carried", upstream.NewPool(s.vm.link.dial, 1)}, {"direct", direct}} {
		for reuse, newConn := range map[string]bool{"new": true, "reused": false} {
			b.Run(way.name+"/"+reuse, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					resp, err := way.pool.Do(context.Background(), "e0", s.endpoint.Addr().String(), &upstream.Request{
						Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Matches: func(*http.Response, bool) bool { return true },
					}, newConn)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := io.ReadAll(resp); err != nil {
						b.Fatal(err)
					}
					resp.Finish()
				}
			})
		}
	}
}
