package rig2

import (
	"net"
	"sync"
	"sync/atomic"
)

// Proxy passes channels on to an address, and can make them go silent.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*proxyConn]bool
}

type proxyConn struct {
	in, out net.Conn
	silent  atomic.Bool
}

// NewProxy starts a proxy before an address.
func NewProxy(target string) *Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fatal(err)
	}
	p := &Proxy{listener: l, target: target, conns: make(map[*proxyConn]bool)}
	go p.accept()
	return p
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SilenceOpen makes the channels that are open now go silent for good, in both directions and without a reset. It
// returns how many there are. New channels work.
func (p *Proxy) SilenceOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent.Store(true)
	}
	return len(p.conns)
}

// Open returns the number of open channels.
func (p *Proxy) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &proxyConn{in: in, out: out}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go p.copy(c, in, out)
		go p.copy(c, out, in)
	}
}

// copy passes bytes on. What comes on a silent channel, its end included, is dropped.
func (p *Proxy) copy(c *proxyConn, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if c.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = c.in.Close()
			_ = c.out.Close()
			p.mu.Lock()
			delete(p.conns, c)
			p.mu.Unlock()
			return
		}
	}
}
