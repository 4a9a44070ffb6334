package entry

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/logging"
	"github.com/chivefield/chivefield/schema"
)

// newDaemonWithUptime is a daemon that knows all it must and has run for a time.
func newDaemonWithUptime(t testing.TB, uptime time.Duration) *Daemon {
	d := New(Options{Settings: testSettings(t, false), Log: logging.New(io.Discard)})
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	d.peers.conn = conn
	d.start = time.Now().Add(-uptime)
	d.table.Store(routing.NewTable(&routing.Document{}))
	d.endpointsLoaded.Store(true)
	return d
}

// Symptom: for two seconds after all VMs were killed at once the engines were full and half
// of the answers late. Sequence: every process is new; none places for others before it has
// heard them for two seconds; each places for itself, several at each free slot. Cause: a
// new process waited also where nobody else knew more. It places at once then, and waits
// where another VM places already.
func TestNewProcessPlacesIfNoOtherDoes(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, 100*time.Millisecond)
	d.peers.updatePlacerRole()
	is.True(!d.remoteJobs.acceptsJobs())

	d = newDaemonWithUptime(t, 400*time.Millisecond)
	d.peers.updatePlacerRole()
	is.True(d.remoteJobs.acceptsJobs())

	d = newDaemonWithUptime(t, 400*time.Millisecond)
	other := d.peers.learn(allowance.VM{Address: "127.0.0.1:9", Domain: "a"})
	other.recordContact(d.now())
	other.places, other.members = true, 7
	d.peers.updatePlacerRole()
	is.True(!d.remoteJobs.acceptsJobs())
	other.members = 0
	d.peers.updatePlacerRole()
	is.True(d.remoteJobs.acceptsJobs())

	// Once it places for others it goes on.
	other.members = 7
	d.peers.updatePlacerRole()
	is.True(d.remoteJobs.acceptsJobs())
}

// Symptom: 990 of 9,900 requests of seven seconds were placed on engines that were full,
// 555 of them in other failure domains, where their placer knew of no load. Sequence: a VM
// that places is to tell its loads to the others that do; it has heard few of 246 far VMs,
// and tells them all in turns, each one every four seconds; a load counts for 1.5 s. Cause: a
// VM that was never heard was taken to place. A heartbeat names its sender's placer, which
// is told each time then.
func TestPlacersSendLoadsToEachOtherInEveryRound(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, time.Minute)
	var entries []string
	for i := range 246 {
		entries = append(entries, fmt.Sprintf("127.0.1.%d:7600 far", i))
	}
	d.peers.learnAll(append(entries, "127.0.2.1:7600 a"))
	const placer = "127.0.1.7:7600"
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 1, 99), Port: 7600}
	d.peers.take(&schema.PeerNote{Vm: "far-99", Address: from.String(), FailureDomain: "far", Number: 1, Placer: placer}, from)
	for i := range uint64(10) {
		is.Equal(d.peers.recipients(i).Loads, []string{placer})
	}
}
