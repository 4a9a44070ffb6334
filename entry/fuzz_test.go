package entry

import (
	"io"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/logging"
	"github.com/chivefield/chivefield/schema"
)

// No datagram from another VM, or from a sender that impersonates one, may crash the process: a
// note contains unchecked numbers, names and addresses.
func FuzzNote(f *testing.F) {
	set := testSettings(f, false)
	for _, n := range []*schema.PeerNote{
		{Vm: "other", Address: "127.0.0.1:5", FailureDomain: "b", Number: 1, Loads: true, Uses: []*schema.EndpointUse{{Endpoint: 1, Running: 1 << 31, EventGapUs: 1, Ejected: true}}},
		{Address: "nowhere", Vms: []string{"", "a b c", "127.0.0.1:5 b"}, ConfigVersion: 7},
		{Address: "127.0.0.1:5", Grants: []*schema.AllowanceGrant{{Organisation: "o", Amount: -1}}, Wants: []*schema.AllowanceGrant{{Organisation: "o", Amount: 1e300}}},
		{PlaceAsks: []*schema.PlaceAsk{{Handle: 1, Service: "s", Tier: -1, Prompt: 1 << 31, ObjectiveUs: -1 << 62}}},
		{PlaceDecisions: []*schema.PlaceDecision{{Handle: 1, Verdict: 99}}, Progress: []*schema.RunProgress{{Handle: 1, Ended: true, Outcome: 99}}},
		{Address: "127.0.0.1:5", Endpoints: &schema.EndpointRelay{From: 9, Next: 3, Records: []*schema.StoreRecord{{Key: "k", Value: []byte("{")}}}},
	} {
		b, err := proto.Marshal(n)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{0xff})
	// Notes that the VM sends are discarded.
	closedConn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		f.Fatal(err)
	}
	if err := closedConn.Close(); err != nil {
		f.Fatal(err)
	}
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 5}
	f.Fuzz(func(t *testing.T, b []byte) {
		n := &schema.PeerNote{}
		if proto.Unmarshal(b, n) != nil {
			return
		}
		d := New(Options{Settings: set, Log: logging.New(io.Discard)})
		d.peers.conn = closedConn
		d.peers.handleNote(n, from)
		d.peers.handleNote(n, from)
		d.remoteJobs.expireRequesters()
		d.placement.updatePlacer()
		d.peers.sendRound(0)
	})
}
