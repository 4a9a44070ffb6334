package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/entry/callerconn"
	"github.com/chivefield/chivefield/upstream"
)

// carried is a VM that has lost its link, a carrier, and an endpoint e0 that the carrier lists.
type carried struct {
	*is.I
	vm, carrier *Daemon
	endpoint    net.Listener
	server      *httptest.Server
	// stopCarrier ends what the carrier's server does.
	stopCarrier context.CancelFunc
}

func newCarried(t testing.TB) *carried {
	t.Helper()
	c := &carried{I: is.New(t)}
	var err error
	c.endpoint, err = net.Listen("tcp", "127.0.0.1:0")
	c.NoErr(err)
	t.Cleanup(func() { _ = c.endpoint.Close() })
	c.carrier, _ = linkedDaemon(t)
	c.list(c.carrier, c.endpoint.Addr().String())
	ctx, stop := context.WithCancel(context.Background())
	c.stopCarrier = stop
	c.server = httptest.NewUnstartedServer(c.carrier.peerHandler())
	c.server.Config.BaseContext = func(net.Listener) context.Context { return ctx }
	c.server.Start()
	t.Cleanup(c.server.Close)
	t.Cleanup(stop)
	c.vm, _ = linkedDaemon(t)
	c.list(c.vm, c.endpoint.Addr().String())
	loseLink(c.vm)
	for _, pe := range c.vm.peers.byAddress {
		pe.endpointsLost = true
	}
	c.vm.peers.addVM(allowance.VM{Address: strings.TrimPrefix(c.server.URL, "http://"), Domain: "a"}).recordContact(c.vm.now())
	return c
}

// list has a VM list the endpoint e0 at an address.
func (c *carried) list(d *Daemon, address string) {
	d.sched.updateMembers(func(now time.Duration, m *members.Set) {
		m.Apply(now, members.Change{ID: "e0", Endpoint: &members.Endpoint{ID: "e0", Service: "plain", Address: address, Slots: 4}})
	})
}

// connect opens a connection to e0 by way of the carrier and returns both of its ends.
func (c *carried) connect() (vm upstream.Connection, endpoint *net.TCPConn) {
	accepted := make(chan net.Conn, 1)
	go func() {
		nc, err := c.endpoint.Accept()
		if err == nil {
			accepted <- nc
		}
	}()
	conn, err := c.vm.link.dial(context.Background(), "e0", c.endpoint.Addr().String())
	c.NoErr(err)
	c.True(conn.Carrier != "")
	return conn, (<-accepted).(*net.TCPConn)
}

// Guards against an end that is made of a break on the way, or a break of an end: where a response ends
// with its connection, the caller would take the one for the other.
func TestCarrierPassesOnHowConnectionsEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(c *carried, endpoint *net.TCPConn)
		want error
	}{
		{"endpoint ends it", func(_ *carried, ep *net.TCPConn) { _ = ep.Close() }, nil},
		{"endpoint resets it", func(_ *carried, ep *net.TCPConn) { _ = ep.SetLinger(0); _ = ep.Close() }, syscall.ECONNRESET},
		{"carrier stops", func(c *carried, _ *net.TCPConn) { c.stopCarrier() }, syscall.ECONNRESET},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newCarried(t)
			vm, ep := s.connect()
			_, err := io.WriteString(vm, "request")
			s.NoErr(err)
			buf := make([]byte, len("request"))
			_, err = io.ReadFull(ep, buf)
			s.NoErr(err)
			s.Equal(string(buf), "request")
			_, err = io.WriteString(ep, "half")
			s.NoErr(err)
			_, err = io.ReadFull(vm, buf[:len("half")])
			s.NoErr(err)
			c.end(s, ep)
			_, err = vm.Read(buf)
			if c.want == nil {
				s.Equal(err, io.EOF)
			} else {
				s.True(errors.Is(err, c.want))
			}
		})
	}
}

// Guards against an end that is made of a reset which the carrier met as it wrote the VM's request: the VM has written
// all of it, and would take the end for that of a response.
func TestCarrierPassesOnResetDuringUpload(t *testing.T) {
	const plays = 50
	// upload is more than the connection to the endpoint takes, and less than both connections do.
	const upload = 6 << 20
	for range plays {
		s := newCarried(t)
		vm, ep := s.connect()
		s.NoErr(ep.SetReadBuffer(4 << 10))
		s.NoErr(vm.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)))
		n, err := vm.Write(make([]byte, upload))
		s.True(err == nil || errors.Is(err, os.ErrDeadlineExceeded) && n > 0)
		_, err = io.WriteString(ep, "half")
		s.NoErr(err)
		buf := make([]byte, len("half"))
		_, err = io.ReadFull(vm, buf)
		s.NoErr(err)
		s.NoErr(ep.SetLinger(0))
		s.NoErr(ep.Close())
		_, err = vm.Read(buf)
		s.True(errors.Is(err, syscall.ECONNRESET))
	}
}

// Guards against an endpoint that goes on working for a caller who has left a VM without a link.
func TestCarrierPassesOnThatTheVMLeft(t *testing.T) {
	for _, linger := range []int{callerconn.ResetOnClose, callerconn.SendOnClose} {
		s := newCarried(t)
		vm, ep := s.connect()
		s.NoErr(callerconn.SetLinger(vm.Conn, linger))
		s.NoErr(vm.Close())
		s.NoErr(ep.SetReadDeadline(time.Now().Add(time.Second)))
		_, err := ep.Read(make([]byte, 1))
		s.Equal(errors.Is(err, syscall.ECONNRESET), linger == callerconn.ResetOnClose)
		s.Equal(err == io.EOF, linger == callerconn.SendOnClose)
	}
}

// Guards against a carrier that is an open proxy, reaches another service at a reused address, or takes
// on more than it has room for.
func TestCarrierRefuses(t *testing.T) {
	ask := func(s *carried, key string) int {
		_, err := s.vm.link.dial(context.Background(), key, "")
		var ce *CarryError
		s.True(errors.As(err, &ce))
		return ce.Status
	}
	for _, c := range []struct {
		name    string
		prepare func(*carried)
		key     string
		want    int
	}{
		{"endpoint that is not listed", func(*carried) {}, "other", statusEndpointUnknown},
		{"endpoint that refuses", func(s *carried) { _ = s.endpoint.Close() }, "e0", statusEndpointRefuses},
		{"no room", func(s *carried) {
			s.carrier.carrier.carried.Store(maxCarried)
		}, "e0", http.StatusServiceUnavailable},
		{"own link lost", func(s *carried) { loseLink(s.carrier) }, "e0", http.StatusServiceUnavailable},
		{"shutdown", func(s *carried) { s.carrier.draining.Store(true) }, "e0", http.StatusServiceUnavailable},
		{"caller that is no VM", func(s *carried) {
			s.carrier.peers.mu.Lock()
			clear(s.carrier.peers.byAddress)
			s.carrier.peers.mu.Unlock()
		}, "e0", http.StatusForbidden},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newCarried(t)
			c.prepare(s)
			s.Equal(ask(s, c.key), c.want)
		})
	}
}

// Guards against a carrier that does not answer, or is full, and is asked for each connection: the next
// is asked, and it is left alone for a while.
func TestNextCarrierIsAsked(t *testing.T) {
	s := newCarried(t)
	for range 4 {
		gone, err := net.Listen("tcp", "127.0.0.1:0")
		s.NoErr(err)
		s.NoErr(gone.Close())
		s.vm.peers.addVM(allowance.VM{Address: gone.Addr().String(), Domain: "a"}).recordContact(s.vm.now())
	}
	reached := false
	for range 4 {
		vm, err := s.vm.link.dial(context.Background(), "e0", "")
		if err == nil {
			s.NoErr(vm.Close())
			reached = true
		}
	}
	s.True(reached)
	s.True(metrics.GetOrRegisterCounter("carried_dials_failed", s.vm.metrics).Count() <= 4)
}

// Guards against a request that is sent to a carrier that has no connection to the endpoint: it must be
// able to say that nothing was sent.
func TestNothingIsSentBeforeTheCarrierAccepts(t *testing.T) {
	s := newCarried(t)
	s.NoErr(s.endpoint.Close())
	pool := upstream.NewPool(s.vm.link.dial, 1)
	_, err := pool.Do(context.Background(), "e0", "", &upstream.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}}, false)
	var ex *upstream.ExchangeError
	s.True(errors.As(err, &ex))
	s.Equal(ex.Stage, upstream.NotSent)
	s.True(upstream.IsConnectionRefused(err))
}

// Guards against a carried connection that stays in the pool although its endpoint has closed it: the
// next request would be sent on it, and could not be sent again.
func TestClosedCarriedConnectionIsNotReused(t *testing.T) {
	s := newCarried(t)
	pool := upstream.NewPool(s.vm.link.dial, 1)
	served := make(chan *net.TCPConn, 2)
	go func() {
		for {
			nc, err := s.endpoint.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(nc))
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			served <- nc.(*net.TCPConn)
		}
	}()
	for range 2 {
		resp, err := pool.Do(context.Background(), "e0", "", &upstream.Request{
			Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Matches: func(*http.Response, bool) bool { return true },
		}, false)
		s.NoErr(err)
		_, err = io.ReadAll(resp)
		s.NoErr(err)
		resp.Finish()
		s.NoErr((<-served).Close())
		time.Sleep(50 * time.Millisecond)
	}
}
