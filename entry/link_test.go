package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/schema"
)

// linkedDaemon returns a daemon that knows six endpoints and one other VM that reaches them.
func linkedDaemon(t testing.TB) (d *Daemon, other *peer) {
	t.Helper()
	d = newDaemonWithUptime(t, time.Minute)
	var list []*members.Endpoint
	for i := range 6 {
		list = append(list, &members.Endpoint{ID: fmt.Sprint("e", i), Service: "plain", Address: fmt.Sprintf("127.0.0.1:%d", 100+i), Slots: 4})
	}
	table := routing.NewTable(&routing.Document{Services: []*routing.Service{{Name: "plain"}}})
	d.table.Store(table)
	d.sched.setTable(table)
	d.sched.updateMembers(func(now time.Duration, m *members.Set) {
		for _, ep := range list {
			m.Apply(now, members.Change{ID: ep.ID, Endpoint: ep})
		}
	})
	other = d.peers.addVM(allowance.VM{Address: "127.0.0.1:9", Domain: "a"})
	other.recordContact(d.now())
	d.peers.eligible.Store(true)
	return d, other
}

// loseLink has connections to all endpoints fail.
func loseLink(d *Daemon) {
	for _, p := range d.sched.endpoints() {
		d.link.recordFailed(d.now(), p.Key)
	}
}

// Guards against a VM that has lost its link and goes on placing requests for others, and against all
// VMs that stop placing since all endpoints are down.
func TestPlacerWithoutLinkStepsAside(t *testing.T) {
	is := is.New(t)
	d, other := linkedDaemon(t)
	is.True(d.remoteJobs.acceptsJobs())
	loseLink(d)
	is.True(!d.remoteJobs.acceptsJobs())
	is.True(d.peers.newNote().EndpointsLost)
	other.endpointsLost = true
	is.True(d.remoteJobs.acceptsJobs())
	other.endpointsLost = false
	d.link.recordOpened()
	is.True(d.remoteJobs.acceptsJobs())
}

// Guards against a VM that has lost its link and makes others doubt endpoints that they reach.
func TestLostLinkCastsNoDoubt(t *testing.T) {
	is := is.New(t)
	d, _ := linkedDaemon(t)
	for i := range 3 {
		d.sched.reportUnreachable(fmt.Sprint("e", i))
	}
	// The second probe shows that the first failed.
	now := d.now()
	for _, at := range []time.Duration{now, now + time.Second} {
		for _, p := range d.sched.sched.DueProbes(at) {
			d.sched.recordProbe(p.Key, false)
		}
	}
	doubted := func() (n int) {
		for _, use := range d.peers.endpointLoads(true) {
			if use.Doubted {
				n++
			}
		}
		return n
	}
	is.Equal(doubted(), 3)
	loseLink(d)
	is.Equal(doubted(), 0)
}

// Guards against requests that wait at a placer that has lost its link until they are too late: they
// return to the VMs that sent them.
func TestWaitingRequestsAreHandedBack(t *testing.T) {
	is := is.New(t)
	d, other := linkedDaemon(t)
	for i := range 6 {
		d.sched.reportUnreachable(fmt.Sprint("e", i))
	}
	d.remoteJobs.handleRequest(&schema.PlaceAsk{Handle: 7, Service: "plain", ObjectiveUs: 300_000, AbandonUs: 4_000_000}, other.addr)
	is.True(d.remoteJobs.isWaiting(7))
	loseLink(d)
	is.True(!d.remoteJobs.isWaiting(7))
	is.Equal(d.sched.sched.QueuedJobs(), 0)
}

// Guards against requests that stay at a placer whose link was lost while all others' were, once one of
// these is back.
func TestWaitingRequestsAreHandedBackOnceOthersReach(t *testing.T) {
	is := is.New(t)
	d, other := linkedDaemon(t)
	other.endpointsLost = true
	for i := range 6 {
		d.sched.reportUnreachable(fmt.Sprint("e", i))
	}
	d.remoteJobs.handleRequest(&schema.PlaceAsk{Handle: 7, Service: "plain", ObjectiveUs: 300_000, AbandonUs: 4_000_000}, other.addr)
	loseLink(d)
	d.peers.step(0)
	is.True(d.remoteJobs.isWaiting(7))
	other.endpointsLost = false
	d.peers.step(1)
	is.True(!d.remoteJobs.isWaiting(7))
}
