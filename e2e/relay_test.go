package e2e

import (
	"net"
	"sync"
)

// relay forwards connections. While it is partitioned it holds back all bytes
// and closes nothing, as in a network that drops packets.
type relay struct {
	addr        string
	target      string
	mu          sync.Mutex
	partitioned bool
	healed      chan struct{}
}

// relayPeers sets up a relay from each VM to each other VM.
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

// forward relays a connection and the way it ends: a connection that was reset
// by the kernel of a dead process is reset on the other side too.
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

// setPartitioned partitions two VMs or heals the partition.
func (d *deployment) setPartitioned(a, b *vm, partitioned bool) {
	d.relays[[2]int{a.id, b.id}].setPartitioned(partitioned)
	d.relays[[2]int{b.id, a.id}].setPartitioned(partitioned)
}
