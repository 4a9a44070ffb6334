package daemon

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// trafficConn counts the bytes between VMs, for the bound of what control may
// cost.
type trafficConn struct {
	net.Conn
	in, out metrics.Counter
}

// Read implements net.Conn.
func (c trafficConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c trafficConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Inc(int64(n))
	return n, err
}

func (d *Daemon) counted(c net.Conn) net.Conn {
	return trafficConn{
		Conn: c,
		in:   metrics.GetOrRegisterCounter("peer.bytes_in", d.metrics),
		out:  metrics.GetOrRegisterCounter("peer.bytes_out", d.metrics),
	}
}

type countedListener struct {
	net.Listener
	d *Daemon
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.d.counted(c), nil
}
