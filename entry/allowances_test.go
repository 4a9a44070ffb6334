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
	"github.com/chivefield/chivefield/schema"
)

// Guards against a VM that takes a share of what the others have divided without it.
func TestNewVMHoldsNoShareUntilOthersCountIt(t *testing.T) {
	is := is.New(t)
	d := New(Options{Settings: testSettings(t, true), Log: logging.New(io.Discard)})
	others := []string{"10.0.0.1:7600", "10.0.0.2:7600"}
	d.peers.mergeList([]string{others[0] + " a", others[1] + " a"})
	is.Equal(d.shares.shareOf("o"), 0.0)
	for _, address := range others {
		is.Equal(d.shares.shareOf("o"), 0.0)
		from, err := net.ResolveUDPAddr("udp4", address)
		is.NoErr(err)
		d.peers.handleNote(&schema.PeerNote{Vm: address, Address: address, FailureDomain: "a", Incarnation: 1}, from)
	}
	is.Equal(d.shares.shareOf("o"), 1.0/3)
}

// Guards against a restarted VM that waits for VMs that are gone although the others have counted
// it all along.
func TestRestartedVMHoldsItsShareAtOnce(t *testing.T) {
	is := is.New(t)
	d := New(Options{Settings: testSettings(t, false), Log: logging.New(io.Discard)})
	d.peers.setListedBefore()
	d.peers.mergeList([]string{"10.0.0.1:7600 a"})
	is.Equal(d.shares.shareOf("o"), 1.0/2)
}

// Guards against a grant that is credited each time its datagram arrives.
func TestRepeatedGrantIsCreditedOnce(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, time.Minute)
	d.table.Store(routing.NewTable(&routing.Document{Organisations: []*routing.Organisation{{Name: "o", Rate: 0.001, Burst: 100}}}))
	d.shares.setTable(d.table.Load())
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}
	note := &schema.PeerNote{
		Vm: "holder", Address: from.String(), Incarnation: 1,
		Grants: []*schema.AllowanceGrant{{Organisation: "o", Amount: 2}},
		Transfer: &schema.Transfer{
			Number: 1, Receiver: d.peers.incarnation, ReceiverUptimeMs: uint64(d.now().Milliseconds()),
		},
	}
	served := 0
	for range 10 {
		r := allowance.Request{Amount: allowance.Amount{Organisation: "o", Units: 1}}
		v := d.shares.spend(t.Context(), r, func(allowance.Request, bool) { d.peers.handleNote(note, from) })
		if v.OK {
			served++
		}
	}
	is.Equal(served, 2)
}
