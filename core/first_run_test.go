package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/claim"
	"github.com/chivefield/chivefield/sched"
	"github.com/chivefield/chivefield/schema"
)

// TestFirstRunRequiresMembers guards against running a request twice. vm1
// grants claims; vm2 starts and receives vm1's heartbeat; vm1 dies before vm2
// has joined. Because the log named only incarnations that vm2 had received
// messages from, vm2 treated the domain as never having run before, although
// vm1's grants were lost with it (found by reading).
func TestFirstRunRequiresMembers(t *testing.T) {
	is := is.New(t)
	vms := []claim.VM{{ID: 1, Domain: "a"}, {ID: 2, Domain: "a"}}
	const vm1, vm2 = 1 << 30, 2 << 30
	n := New(Config{
		Claim: claim.Config{
			Self: vms[1], Incarnation: vm2, VMs: vms, CellSize: 8, Lease: time.Second,
			Retry: time.Second, Timeout: 2 * time.Second, TTL: time.Hour, MaxRecords: 10,
		},
		Sched: sched.Config{MaxQueued: 10}, DigestInterval: time.Hour, ConfigPollInterval: time.Hour, RepublishInterval: time.Hour,
	}, 0)
	started := func(vm uint32, inc uint64) *schema.LogRecord {
		return &schema.LogRecord{Body: &schema.LogRecord_DomainStarted{DomainStarted: &schema.DomainStarted{
			FailureDomain: "a", Vm: vm, Incarnation: inc,
		}}}
	}
	n.Step(0, PeerMessage{From: 1, Incarnation: vm1, Message: &schema.Message{Body: &schema.Message_Heartbeat{Heartbeat: &schema.Heartbeat{Seq: vm1 + 1}}}})
	n.Step(0, LogRead{Next: 2, Records: []LogEntry{{Offset: 0, Record: started(1, vm1)}, {Offset: 1, Record: started(2, vm2)}}})
	n.Step(time.Millisecond, PeerClosed{VM: 1, Incarnation: vm1})
	n.Step(time.Second, Tick{})
	is.True(n.Status().Claims.Active)
	is.Equal(n.Status().Claims.Lost, 1) // retries have an unknown outcome
}
