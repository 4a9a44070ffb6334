package e2e

import (
	"net"
	"sync"
)

// relay passes connections on until it is cut; then bytes stand still, as in a
// network that drops packets: nothing is closed.
type relay struct {
	addr   string
	target string
	mu     sync.Mutex
	cut    bool
	healed chan struct{}
}

// relayPeers puts a relay on the way from each VM to each other.
func (d *deployment) relayPeers() {
	for _, a := range d.vms {
		for _, b := range d.vms {
			if a == b {
				continue
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				d.t.Fatal(err)
			}
			r := &relay{addr: l.Addr().String(), target: b.peers, healed: make(chan struct{})}
			d.relays[[2]int{a.id, b.id}] = r
			d.t.Cleanup(func() { _ = l.Close() })
			go r.serve(l)
		}
	}
}

func (r *relay) serve(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go r.join(in.(*net.TCPConn))
	}
}

// join passes on what one side sends and how it ends: a connection that the
// kernel of a dead process reset is reset on the other side too.
func (r *relay) join(in *net.TCPConn) {
	r.wait()
	c, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.SetLinger(0)
		_ = in.Close()
		return
	}
	out := c.(*net.TCPConn)
	go r.copy(in, out)
	r.copy(out, in)
}

func (r *relay) copy(dst, src *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		r.wait()
		if n > 0 {
			_, _ = dst.Write(buf[:n])
		}
		if err != nil {
			_ = dst.Close()
			return
		}
	}
}

func (r *relay) wait() {
	r.mu.Lock()
	healed, cut := r.healed, r.cut
	r.mu.Unlock()
	if cut {
		<-healed
	}
}

func (r *relay) set(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut && !cut {
		close(r.healed)
		r.healed = make(chan struct{})
	}
	r.cut = cut
}

// setCut cuts two VMs apart, or heals them.
func (d *deployment) setCut(a, b *vm, cut bool) {
	d.relays[[2]int{a.id, b.id}].set(cut)
	d.relays[[2]int{b.id, a.id}].set(cut)
}
