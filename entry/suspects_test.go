package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/suspect"
)

// Guards against a new process that blames requests for incarnations that ended before it started.
// Those that it has seen alive, and those listed since, count.
func TestOnlyIncarnationsSeenAliveCount(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, time.Second)
	d.codec = stateCodec{}
	list := func(full bool, ids ...string) {
		got := readResult{full: full}
		for _, id := range ids {
			got.records = append(got.records, Record{Key: id, Value: []byte(listedReady)})
		}
		d.applyEndpoints(got, Position{Offset: 1})
	}
	d.endpointsLoaded.Store(false)
	list(true, "gone", "alive")
	list(false, "new")
	now := d.now()
	digest := suspect.Identity{Target: "/page"}.Digest()
	cut := func(id string) {
		ep := &members.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:1"}
		hash := dispatch.EndpointHash(ep.Key())
		d.suspects.mu.Lock()
		d.suspects.recordCutLocked(d.now(), d.suspects.tracker.NewCopy(now, suspect.Request{Digest: digest}), hash)
		d.suspects.mu.Unlock()
		d.suspects.recordEnd(ep.Key(), howDropped)
	}
	cut("gone")
	is.Equal(d.suspects.status(digest).Level, 0)
	cut("new")
	is.Equal(d.suspects.status(digest).Level, 1)
	d.suspects.recordResponseStart(&callerRequest{d: d}, &members.Endpoint{ID: "alive"}, now, ResponseHeaders{})
	cut("alive")
	is.Equal(d.suspects.status(digest).Level, 2)
}

// Guards against a request that ends endpoint after endpoint once all VMs have restarted: the process
// that sent it there has seen no sign of life of them, but the VM that reads the registry has.
func TestCutsCountOnceAnotherVMSawTheHeartbeat(t *testing.T) {
	is := is.New(t)
	reader, restarted := newDaemonWithUptime(t, time.Minute), newDaemonWithUptime(t, time.Second)
	reader.codec, restarted.codec = stateCodec{}, stateCodec{}
	read := func(d *Daemon, full bool, offset uint64, ids ...string) {
		got := readResult{full: full}
		for _, id := range ids {
			got.records = append(got.records, Record{Key: id, Value: []byte(listedReady)})
		}
		d.applyEndpoints(got, Position{Offset: offset})
	}
	for _, d := range []*Daemon{reader, restarted} {
		d.endpointsLoaded.Store(false)
		read(d, true, 1, "dead", "alive")
	}
	digest := suspect.Identity{Target: "/page"}.Digest()
	for _, id := range []string{"dead", "alive"} {
		ep := &members.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:1"}
		now := restarted.now()
		restarted.suspects.mu.Lock()
		restarted.suspects.recordCutLocked(now, restarted.suspects.tracker.NewCopy(now, suspect.Request{Digest: digest}), dispatch.EndpointHash(ep.Key()))
		restarted.suspects.mu.Unlock()
	}
	doubted := restarted.suspects.doubted()
	is.Equal(len(doubted), 2)
	is.Equal(len(reader.suspects.aliveSince(reader.now()-restarted.now(), doubted)), 0)
	read(reader, false, 2, "alive")
	alive := reader.suspects.aliveSince(reader.now()-restarted.now(), doubted)
	is.Equal(len(alive), 1)
	restarted.suspects.confirmAlive(alive)
	is.Equal(len(restarted.suspects.doubted()), 1)
	for _, id := range []string{"dead", "alive"} {
		ep := &members.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:1"}
		restarted.suspects.recordEnd(ep.Key(), howDropped)
	}
	is.Equal(restarted.suspects.status(digest).Level, 1)
}
