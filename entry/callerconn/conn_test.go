package callerconn

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// Guards against callers' connections that net/http takes for less than they are: without a half-close, a refusal of a
// request whose body is still arriving is followed by a reset.
func TestCallerConnCanBeHalfClosed(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := NewPool(1, NewHeadMemory(1<<20), zerolog.Nop(), func(string) {}).Listen(tcp)
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = peer.Close() }()
	c, err := l.Accept()
	is.NoErr(err)
	is.NoErr(c.(interface{ CloseWrite() error }).CloseWrite())
	_, err = peer.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, err = peer.Write([]byte("x"))
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, 1))
	is.NoErr(err)
	is.True(!c.(*Conn).closed.Load())
	is.NoErr(c.(interface{ SetLinger(int) error }).SetLinger(ResetOnClose))
	is.NoErr(c.Close())
	is.True(c.(*Conn).closed.Load())
}
