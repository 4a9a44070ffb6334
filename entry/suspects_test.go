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
		d.suspects.recordCutLocked(d.now(), now, digest, hash, d.suspects.tracker.Status(digest).Generation)
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
