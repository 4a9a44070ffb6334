package daemon

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// countingConn counts the bytes exchanged between VMs, so that the cost of
// control traffic can be checked against its bound.
type countingConn struct {
	net.Conn
	in, out metrics.Counter
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Inc(int64(n))
	return n, err
}

func (d *Daemon) countTraffic(c net.Conn) net.Conn {
	return countingConn{
		Conn: c,
		in:   metrics.GetOrRegisterCounter("peer.bytes_in", d.metrics),
		out:  metrics.GetOrRegisterCounter("peer.bytes_out", d.metrics),
	}
}

type countingListener struct {
	net.Listener
	d *Daemon
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.d.countTraffic(c), nil
}
