package poison

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/core/suspect"
	"github.com/chivefield/chivefield/schema"
)

// recordWithEnds returns the record of a request under which n endpoints ended.
func recordWithEnds(n int) suspect.Record {
	r := suspect.Record{Digest: suspect.Identity{Target: "/a"}.Digest(), Cleared: 1, Age: 90 * time.Second}
	for i := range n {
		r.Sightings = append(r.Sightings, suspect.Sighting{Endpoint: 1<<63 + uint64(i), Generation: 2 + i, EndedAt: 2 + i, AliveAt: 1})
	}
	return r
}

// Records survive encoding and decoding; impossible values are ignored.
func TestSuspectsInNotes(t *testing.T) {
	is := is.New(t)
	want := recordWithEnds(3)
	b, err := proto.Marshal(toWire(want))
	is.NoErr(err)
	var m schema.Suspect
	is.NoErr(proto.Unmarshal(b, &m))
	is.Equal(fromWire(&m), want)
	is.Equal(DigestFromWire([]byte("short")), suspect.Digest{})
	is.True(!suspect.New().Merge(0, fromWire(&schema.Suspect{Digest: []byte("short"), Sightings: m.Sightings})))
	is.True(fromWire(&schema.Suspect{QuietMs: 1 << 63}).Age == schema.MaxDuration)
}

// The records in each note fit beside its loads.
func TestRecordsFitIntoNotes(t *testing.T) {
	is := is.New(t)
	for ends, most := range map[int]int{1: 60, 3: 120, 8: 250} {
		n := proto.Size(toWire(recordWithEnds(ends)))
		t.Logf("%d ends: %d bytes", ends, n)
		is.True(n <= most)
	}
}
