package entry

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/logging"
	"github.com/chivefield/chivefield/schema"
)

// registryLog is a registry whose records a test writes, backs up and restores.
type registryLog struct {
	Store
	era     uint64
	records []Record
}

// States of an endpoint in the records of a registryLog.
const (
	listedReady   = "ready"
	listedLeaving = "leaving"
)

func (l *registryLog) write(key, state string) {
	at := Position{Era: l.era, Offset: uint64(len(l.records))}
	l.records = append(l.records, Record{Key: key, Value: []byte(state), Position: at, HasPosition: true})
}

// restore replaces the log with what it held when it had n records.
func (l *registryLog) restore(n int) {
	l.era++
	l.records = l.records[:n:n]
}

func (l *registryLog) end() Position { return Position{Era: l.era, Offset: uint64(len(l.records))} }

func (l *registryLog) Read(_ context.Context, _ Feed, from uint64, _ time.Duration) ([]Record, Position, error) {
	if from > uint64(len(l.records)) {
		return nil, Position{}, &TrimmedError{From: from}
	}
	return l.records[from:], l.end(), nil
}

func (l *registryLog) Snapshot(context.Context, Feed) ([]Record, Position, error) {
	latest := make(map[string]Record)
	for _, r := range l.records {
		latest[r.Key] = r
	}
	var list []Record
	for _, r := range latest {
		if len(r.Value) > 0 {
			r.Position.Era = l.era
			list = append(list, r)
		}
	}
	return list, l.end(), nil
}

// stateCodec decodes the records of a registryLog.
type stateCodec struct{ noStatuses }

func (stateCodec) DecodeEndpoint(r Record) (members.Change, error) {
	c := members.Change{ID: r.Key}
	if len(r.Value) > 0 {
		c.Endpoint = &members.Endpoint{ID: r.Key, Service: "s", Address: "10.0.0.1:1", Leaving: string(r.Value) == listedLeaving}
	}
	return c, nil
}

// registryFollower is a VM that reads the registry and receives relays.
type registryFollower struct {
	*Daemon
	feedCursor
	// used are the endpoints that it used at some time, departed those of them that it no longer used
	// after they had announced that they leave.
	used, departed map[string]bool
}

func (f *registryFollower) usable() map[string]bool {
	ids := make(map[string]bool)
	f.sched.updateMembers(func(_ time.Duration, m *members.Set) {
		for _, e := range m.Usable("s") {
			ids[e.ID] = true
		}
	})
	return ids
}

// Guards against an endpoint that left and gets all requests of its service after the registry was
// restored from a backup: two VMs read the restored registry at the same moment and relay the
// difference to each other. Plays any order of writes, restores, reads and relays, which may be
// lost, late or repeated.
func TestEndpointThatLeftStaysOutInAnyOrderOfRelays(t *testing.T) {
	set := testSettings(t, false)
	rapid.Check(t, func(t *rapid.T) {
		store := &registryLog{}
		followers := make([]*registryFollower, 3)
		for i := range followers {
			d := New(Options{Settings: set, Log: logging.New(io.Discard), Codec: stateCodec{}})
			followers[i] = &registryFollower{Daemon: d, feedCursor: feedCursor{store: store, feed: FeedEndpoints}, used: make(map[string]bool), departed: make(map[string]bool)}
		}
		var relays []relay
		read := func(f *registryFollower) {
			before := f.next
			got, err := f.read(t.Context(), 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, part := range f.applyReadResult(got, before, f.next) {
				relays = append(relays, relay{part, "10.0.0.9:1"})
			}
		}
		ids := []string{"e0", "e1", "e2"}
		left := make(map[string]bool)
		for _, id := range ids {
			store.write(id, listedReady)
		}
		for _, f := range followers {
			read(f)
			f.used = f.usable()
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			f := followers[rapid.IntRange(0, len(followers)-1).Draw(t, "vm")]
			id := rapid.SampledFrom(ids).Draw(t, "endpoint")
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				if !left[id] {
					store.write(id, listedReady)
				}
			case 1:
				left[id] = true
				store.write(id, listedLeaving)
			case 2:
				if left[id] {
					store.write(id, "")
				}
			case 3:
				store.restore(rapid.IntRange(max(0, len(store.records)-8), len(store.records)).Draw(t, "kept"))
			case 4, 5, 6:
				read(f)
			default:
				if len(relays) == 0 {
					break
				}
				r := rapid.SampledFrom(relays).Draw(t, "relay")
				f.applyRelay(t.Context(), &f.feedCursor, relay{&schema.EndpointRelay{
					From: r.From, Next: r.Next, Era: r.Era, Before: r.Before, Records: r.Records,
				}, r.from})
			}
			for i, f := range followers {
				usable := f.usable()
				for id := range usable {
					if f.departed[id] {
						t.Fatalf("step %d: VM %d uses %s again", step, i, id)
					}
					f.used[id] = true
				}
				for id := range left {
					f.departed[id] = f.used[id] && !usable[id]
				}
			}
		}
	})
}

// Guards against an endpoint that left and is listed again when two VMs of a failure domain read the
// restored registry in the same moment: each relays the difference to its copy, which lists the
// endpoint, to the other.
func TestRelayedDifferenceOfAnEraAlreadyReadIsIgnored(t *testing.T) {
	is := is.New(t)
	store := &registryLog{}
	store.write("left", listedReady)
	store.write("stays", listedReady)
	backup := len(store.records)
	d := New(Options{Settings: testSettings(t, false), Log: logging.New(io.Discard), Codec: stateCodec{}})
	f := &registryFollower{Daemon: d, feedCursor: feedCursor{store: store, feed: FeedEndpoints}}
	read := func() []*schema.EndpointRelay {
		before := f.next
		got, err := f.read(t.Context(), 0)
		is.NoErr(err)
		return f.applyReadResult(got, before, f.next)
	}
	read()
	store.write("left", listedLeaving)
	store.write("left", "")
	read()
	store.restore(backup)
	parts := read()
	is.Equal(f.usable(), map[string]bool{"stays": true})
	is.True(parts[0].Before != nil)
	for _, part := range parts {
		f.applyRelay(t.Context(), &f.feedCursor, relay{part, "10.0.0.9:1"})
	}
	is.Equal(f.usable(), map[string]bool{"stays": true})
}
