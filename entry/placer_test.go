package entry

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/logging"
)

// startedAgo is a daemon that knows all it must and has run for a time.
func startedAgo(t testing.TB, uptime time.Duration) *Daemon {
	d := New(Options{Settings: testSettings(t, false), Log: logging.New(io.Discard)})
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	d.peers.conn = conn
	d.start = time.Now().Add(-uptime)
	d.table.Store(routing.NewTable(&routing.Document{}))
	d.endpointsKnown.Store(true)
	return d
}

// Symptom: for two seconds after all VMs were killed at once the engines were full and half
// of the answers late. Sequence: every process is new; none places for others before it has
// heard them for two seconds; each places for itself, several at each free slot. Cause: a
// new process waited also where nobody else knew more. It places at once then, and waits
// where another VM places already.
func TestNewProcessPlacesWhereNobodyDoes(t *testing.T) {
	is := is.New(t)
	d := startedAgo(t, 100*time.Millisecond)
	d.peers.reconsider()
	is.True(!d.remoteJobs.willing())

	d = startedAgo(t, 400*time.Millisecond)
	d.peers.reconsider()
	is.True(d.remoteJobs.willing())

	d = startedAgo(t, 400*time.Millisecond)
	other := d.peers.learn(allowance.VM{Address: "127.0.0.1:9", Domain: "a"})
	other.hear(d.now())
	other.places, other.members = true, 7
	d.peers.reconsider()
	is.True(!d.remoteJobs.willing())
	other.members = 0
	d.peers.reconsider()
	is.True(d.remoteJobs.willing())

	// Once it places for others it goes on.
	other.members = 7
	d.peers.reconsider()
	is.True(d.remoteJobs.willing())
}
