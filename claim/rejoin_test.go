package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/schema"
)

// TestRemovedPeerRejoins guards against a replaced VM never joining its cell
// again. The platform's list removes vm2, then a new process starts at its
// address. A removed VM was no longer sent heartbeats, so the new process
// waited for one indefinitely (found by reading).
func TestRemovedPeerRejoins(t *testing.T) {
	is := is.New(t)
	vms := []VM{{ID: 1, Domain: "a"}, {ID: 2, Domain: "a"}}
	n := New(Config{
		Self: vms[0], Incarnation: 1 << 30, VMs: vms, CellSize: 8, Lease: time.Second,
		Retry: time.Second, Timeout: 2 * time.Second, TTL: time.Hour, MaxRecords: 10,
	}, 0)
	heartbeat := func(inc uint64) *schema.Message {
		return &schema.Message{Body: &schema.Message_Heartbeat{Heartbeat: &schema.Heartbeat{Seq: inc + 1}}}
	}
	n.Receive(0, 2, 2<<30, heartbeat(2<<30))
	n.PeerRemoved(time.Second, 2)
	n.Take()
	n.Receive(2*time.Second, 2, 3<<30, heartbeat(3<<30))
	n.Tick(3 * time.Second)
	heartbeats := 0
	for _, m := range n.Take().Messages {
		if m.Message.GetHeartbeat() != nil && m.To == 2 {
			heartbeats++
		}
	}
	is.Equal(heartbeats, 1) // the new process is sent a heartbeat
}
