package entry

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/logging"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 18

// userTimeout returns the TCP_USER_TIMEOUT of a connection in milliseconds.
func userTimeout(t *testing.T, c net.Conn) int {
	t.Helper()
	return socketOption(t, c, syscall.IPPROTO_TCP, tcpUserTimeout)
}

// socketOption returns an option of a connection's socket.
func socketOption(t *testing.T, c net.Conn, level, option int) (value int) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if cerr := raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), level, option) }); cerr != nil || err != nil {
		t.Fatal(cerr, err)
	}
	return value
}

// Guards against a library that sets TCP_USER_TIMEOUT, which ends connections whose keep-alive probes were
// meant to go on for longer.
func TestConnectionsHaveNoUserTimeout(t *testing.T) {
	is := is.New(t)
	d := New(Options{Settings: testSettings(t, false), Log: logging.New(io.Discard)})
	l, err := d.opts.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	c, err := d.opts.Dial(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.Equal(userTimeout(t, c), 0)
	peer := <-accepted
	is.Equal(userTimeout(t, peer), 0)
	// Carried connections rely on the probes to notice a VM that has lost its power.
	is.Equal(socketOption(t, peer, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE), 1)
}
