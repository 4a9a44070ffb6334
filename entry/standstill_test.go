package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/schema"
)

// soleVersionDaemon returns a daemon that is sure that service s has one version, and the time of suspensions, which a
// test may set.
func soleVersionDaemon(t *testing.T) (d *Daemon, suspended *time.Duration) {
	t.Helper()
	d = newDaemonWithUptime(t, time.Minute)
	suspended = new(time.Duration)
	d.standstill = newStandstill(d.now, func() (time.Duration, error) { return *suspended, nil })
	route := &routing.Route{Name: "r", Host: "h", Prefix: "/", Kind: routing.Stream, Timeout: time.Second, Shares: []routing.Share{{Service: "s", Weight: 1}}}
	d.table.Store(routing.NewTable(&routing.Document{Routes: []*routing.Route{route}, Services: []*routing.Service{{Name: "s"}}}))
	d.resumption.markFirstStart()
	d.sched.updateMembers(func(now time.Duration, m *members.Set) {
		m.Apply(now, members.Change{ID: "e", Endpoint: &members.Endpoint{ID: "e", Service: "s", Version: "v1"}})
	})
	d.standstill.beat()
	d.confirmRegistry(d.standstill.elapsed())
	d.resumption.step()
	return d, suspended
}

// isSure reports whether a daemon takes v1 for the only version of service s.
func isSure(d *Daemon) bool {
	version, sure := d.resumption.singleVersion(d.now(), "s")
	return sure && version == "v1"
}

// Guards against a stream that goes on at another version: the VM that its caller comes to was suspended while the new
// version joined, by its steady clock for no time, and takes the old one for the only one.
func TestSuspendedVMIsNotSureOfVersion(t *testing.T) {
	is := is.New(t)
	d, suspended := soleVersionDaemon(t)
	is.True(isSure(d))
	*suspended = 3 * time.Second
	is.True(!isSure(d))
	d.confirmRelayed()
	is.True(!isSure(d))
	d.confirmRegistry(d.standstill.elapsed())
	is.True(isSure(d))
}

// Guards against a registry that is taken for up to date because a relay has come which waited in the sockets of a VM
// that stood still.
func TestRelayAfterStandstillConfirmsNothing(t *testing.T) {
	is := is.New(t)
	d, suspended := soleVersionDaemon(t)
	c := feedCursor{known: true, next: Position{Offset: 1}}
	relayed := func() bool {
		d.registryConfirmedAt.Store(int64(time.Millisecond))
		is.True(d.applyRelay(t.Context(), &c, relay{EndpointRelay: &schema.EndpointRelay{From: 1, Next: 1}}))
		return d.registryConfirmed()
	}
	is.True(relayed())
	*suspended = 2 * standstillLimit
	is.True(!relayed())
	d.standstill.beat()
	is.True(!relayed())
	*suspended += standstillSettle
	d.standstill.beat()
	is.True(relayed())
}

// Guards against a registry that is taken for as new as the moment at which its answer was read.
func TestReadConfirmsRegistryAsOfItsBegin(t *testing.T) {
	is := is.New(t)
	d, suspended := soleVersionDaemon(t)
	begun := d.standstill.elapsed()
	*suspended = d.registryConfirmTimeout()
	d.confirmRegistry(begun)
	is.True(!d.registryConfirmed())
}

// Guards against a clock of suspensions that runs while the machine does.
func TestSuspendedTimeStandsStillWhileRunning(t *testing.T) {
	is := is.New(t)
	before, err := suspendedTime()
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	after, err := suspendedTime()
	is.NoErr(err)
	is.True((after - before).Abs() < 10*time.Millisecond)
}
