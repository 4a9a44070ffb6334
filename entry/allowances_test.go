package entry

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

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
