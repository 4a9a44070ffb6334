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

// newDaemonWithUptime returns a daemon with all required state that has run for the given time.
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

// After all VMs were killed at once, the engines were full for two seconds and half of the
// responses late. Every process was new, and none placed requests for others before it had
// received notes for two seconds. So each placed its own requests, several at each free slot. Now
// a new process waits that long only if another VM already places.
func TestNewProcessPlacesIfNoOtherDoes(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, 100*time.Millisecond)
	d.peers.updatePlacerRole()
	is.True(!d.remoteJobs.acceptsJobs())

	d = newDaemonWithUptime(t, 400*time.Millisecond)
	d.peers.updatePlacerRole()
	is.True(d.remoteJobs.acceptsJobs())

	d = newDaemonWithUptime(t, 400*time.Millisecond)
	other := d.peers.addVM(allowance.VM{Address: "127.0.0.1:9", Domain: "a"})
	other.recordContact(d.now())
	other.placesForOthers, other.members = true, 7
	d.peers.updateIndex(other)
	d.peers.updatePlacerRole()
	is.True(!d.remoteJobs.acceptsJobs())
	other.members = 0
	d.peers.updatePlacerRole()
	is.True(d.remoteJobs.acceptsJobs())

	// Once it places for others it continues to do so.
	other.members = 7
	d.peers.updatePlacerRole()
	is.True(d.remoteJobs.acceptsJobs())
}

// 990 of 9,900 requests of seven seconds were placed on full engines, 555 of them in other
// failure domains, whose loads the placer did not know. A placer sends its loads to the other
// placers. It had received notes from few of 246 VMs in another failure domain, assumed that all
// of them were placers, and sent its loads to them in rotation: to each one every four seconds,
// while a load expires after 1.5 s. Now heartbeats name their sender's placer, and that one gets
// the loads with every note.
func TestPlacersSendLoadsToEachOtherInEveryRound(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, time.Minute)
	var entries []string
	for i := range 246 {
		entries = append(entries, fmt.Sprintf("127.0.1.%d:7600 far", i))
	}
	d.peers.mergeList(append(entries, "127.0.2.1:7600 a"))
	const placer = "127.0.1.7:7600"
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 1, 99), Port: 7600}
	d.peers.handleNote(&schema.PeerNote{Vm: "far-99", Address: from.String(), FailureDomain: "far", Number: 1, Placer: placer}, from)
	for i := range uint64(10) {
		is.Equal(d.peers.recipients(i).Loads, []string{placer})
	}
}
