package entry

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/suspect"
	"github.com/chivefield/chivefield/entry/poison"
	"github.com/chivefield/chivefield/schema"
)

// silentEndpoints are served and connections to them fail, but are not refused.
type silentEndpoints struct{ poisonEndpoints }

func (silentEndpoints) IsServing(*members.Endpoint) bool { return true }

func (silentEndpoints) OpenConnection(dispatch.Probe) error { return net.ErrClosed }

func newTestGuard(d *Daemon) *poison.Guard {
	return poison.New(poison.Options{Log: d.log, Endpoints: silentEndpoints{}, Now: d.now, Count: d.count, IsStoreReader: func() bool { return false }})
}

// Guards against a new process that blames requests for incarnations that ended before it started.
// Those that it has seen alive, and those listed since, count.
func TestOnlyIncarnationsSeenAliveCount(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, time.Second)
	d.codec, d.poison = stateCodec{}, newTestGuard(d)
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
		sent, _ := d.poison.NewCopy(suspect.Request{Digest: digest})
		sent.Sent = now
		d.poison.RecordCut(sent, ep)
		d.poison.RecordDepartures([]members.Departure{{Key: ep.Key()}})
	}
	cut("gone")
	is.Equal(d.poison.Status(digest).Level, 0)
	cut("new")
	is.Equal(d.poison.Status(digest).Level, 1)
	d.poison.RecordResponseStart(&members.Endpoint{ID: "alive"}, now)
	cut("alive")
	is.Equal(d.poison.Status(digest).Level, 2)
}

// Guards against a request that ends endpoint after endpoint once all VMs have restarted: the process
// that sent it there has seen no sign of life of them, but the VM that reads the registry has.
func TestCutsCountOnceAnotherVMSawTheHeartbeat(t *testing.T) {
	is := is.New(t)
	reader, restarted := newDaemonWithUptime(t, time.Minute), newDaemonWithUptime(t, time.Second)
	reader.codec, restarted.codec = stateCodec{}, stateCodec{}
	reader.poison, restarted.poison = newTestGuard(reader), newTestGuard(restarted)
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
		sent, _ := restarted.poison.NewCopy(suspect.Request{Digest: digest})
		restarted.poison.RecordCut(sent, ep)
	}
	doubted := restarted.poison.Doubted()
	is.Equal(len(doubted), 2)
	is.Equal(len(reader.poison.AliveSince(reader.now()-restarted.now(), doubted)), 0)
	read(reader, false, 2, "alive")
	alive := reader.poison.AliveSince(reader.now()-restarted.now(), doubted)
	is.Equal(len(alive), 1)
	restarted.poison.ConfirmAlive(alive)
	is.Equal(len(restarted.poison.Doubted()), 1)
	for _, id := range []string{"dead", "alive"} {
		ep := &members.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:1"}
		restarted.poison.RecordDepartures([]members.Departure{{Key: ep.Key()}})
	}
	is.Equal(restarted.poison.Status(digest).Level, 1)
}

// Guards against records for a newly started VM that do not fit into one datagram.
func TestRecordsForNewProcessFitIntoDatagram(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, time.Minute)
	for i := range 100 {
		m := &schema.Suspect{Digest: make([]byte, 16), Cleared: 1, QuietMs: 90_000}
		binary.BigEndian.PutUint64(m.Digest, uint64(i+1))
		for g := range uint32(8) {
			m.Sightings = append(m.Sightings, &schema.Sighting{Endpoint: 1<<63 + uint64(g), Generation: 2 + g, EndedAt: 2 + g, AliveAt: 1})
		}
		d.poison.Merge([]*schema.Suspect{m})
	}
	n := &schema.PeerNote{Suspects: d.poison.ForNewProcess()}
	is.Equal(len(n.Suspects), 64)
	is.True(proto.Size(n) < maxDatagram)
}
