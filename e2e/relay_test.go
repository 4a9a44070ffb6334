package e2e

import (
	"net"
	"sync"
)

// relay passes connections on until it is cut; then bytes stand still, as in a
// network that drops packets: nothing is closed.
type relay struct {
	addr        string
	target      string
	mu          sync.Mutex
	partitioned bool
	healed      chan struct{}
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
		go r.forward(in.(*net.TCPConn))
	}
}

// forward passes on what one side sends and how it ends: a connection that the
// kernel of a dead process reset is reset on the other side too.
func (r *relay) forward(in *net.TCPConn) {
	r.waitHealed()
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
		r.waitHealed()
		if n > 0 {
			_, _ = dst.Write(buf[:n])
		}
		if err != nil {
			_ = dst.Close()
			return
		}
	}
}

func (r *relay) waitHealed() {
	r.mu.Lock()
	healed, partitioned := r.healed, r.partitioned
	r.mu.Unlock()
	if partitioned {
		<-healed
	}
}

func (r *relay) setPartitioned(partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitioned && !partitioned {
		close(r.healed)
		r.healed = make(chan struct{})
	}
	r.partitioned = partitioned
}

// setPartitioned cuts two VMs apart, or heals them.
func (d *deployment) setPartitioned(a, b *vm, partitioned bool) {
	d.relays[[2]int{a.id, b.id}].setPartitioned(partitioned)
	d.relays[[2]int{b.id, a.id}].setPartitioned(partitioned)
}
