package entry

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/schema"
)

// placerEvery is the number of VMs for each one that places requests.
const placerEvery = 60

// idleVM returns a VM without requests in a deployment of n VMs in six failure domains, from each of
// which it has received a note, with a connection that discards what is sent.
func idleVM(t testing.TB, n int) (*Daemon, []*schema.PeerNote, []*net.UDPAddr) {
	d := newDaemonWithUptime(t, time.Minute)
	d.peers.conn = discardConn{d.peers.conn}
	d.peers.eligible.Store(true)
	var list []string
	var notes []*schema.PeerNote
	var froms []*net.UDPAddr
	for i := range n - 1 {
		domain := string(rune('a' + i%6))
		from := &net.UDPAddr{IP: net.IPv4(10, 0, byte(i/250), byte(i%250)), Port: 7600}
		froms = append(froms, from)
		list = append(list, listEntry(allowance.VM{Address: from.String(), Domain: domain}))
		notes = append(notes, &schema.PeerNote{
			Vm: fmt.Sprint("vm", i), Incarnation: uint64(i + 1), Address: from.String(), FailureDomain: domain, Number: 1, CpuShare: 0.1,
			FollowsConfig: true, Registry: 1, Places: i%placerEvery == 0,
		})
		if i%placerEvery > 0 {
			notes[i].Placer = froms[i-i%placerEvery].String()
		}
	}
	d.peers.mergeList(list)
	for i, n := range notes {
		d.peers.handleNote(n, froms[i])
	}
	return d, notes, froms
}

// discardConn is a connection whose datagrams go nowhere.
type discardConn struct{ net.PacketConn }

// WriteTo implements net.PacketConn.
func (discardConn) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }

// heartbeatsPerRound is the number of heartbeats that a VM receives in the time of one round.
const heartbeatsPerRound = 5

// round does what a VM without requests does every noteInterval.
func (p *peers) round(i int, notes []*schema.PeerNote, froms []*net.UDPAddr) {
	p.step(uint64(i))
	for k := range heartbeatsPerRound {
		j := (i*heartbeatsPerRound + k) % len(notes)
		p.handleNote(notes[j], froms[j])
	}
}

// BenchmarkIdleRound measures the processor time of a VM without requests per noteInterval, without
// the system calls that send and receive.
func BenchmarkIdleRound(b *testing.B) {
	for _, n := range []int{8, 100, 986, 1972} {
		b.Run(fmt.Sprint("vms=", n), func(b *testing.B) {
			d, notes, froms := idleVM(b, n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				d.peers.round(i, notes, froms)
				i++
			}
		})
	}
}

// Guards against control work that grows with the deployment: a VM without requests that looks at
// all others in each round. Twice the VMs may cost 1.6 times the allocations at most, for the VMs
// that place requests are twice as many too.
func TestIdleRoundDoesNotGrowWithTheDeployment(t *testing.T) {
	bytesPerRound := func(n int) float64 {
		d, notes, froms := idleVM(t, n)
		const rounds = 300
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range rounds {
			d.peers.round(i, notes, froms)
		}
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc-before.TotalAlloc) / rounds
	}
	some, twice := bytesPerRound(986), bytesPerRound(1972)
	t.Logf("%.0f bytes a round with 986 VMs, %.0f with 1,972", some, twice)
	if twice > 1.6*some {
		t.Errorf("%.0f bytes a round with twice the VMs, %.0f before", twice, some)
	}
	if some > 32<<10 {
		t.Errorf("%.0f bytes a round, at most 32 KB", some)
	}
}
