package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/core/suspect"
	"github.com/chivefield/chivefield/schema"
)

// recordOfEnds is a request under which n endpoints ended.
func recordOfEnds(n int) suspect.Record {
	r := suspect.Record{Digest: suspect.Identity{Target: "/a"}.Digest(), Cleared: 1, Age: 90 * time.Second}
	for i := range n {
		r.Sightings = append(r.Sightings, suspect.Sighting{Endpoint: 1<<63 + uint64(i), Generation: 2 + i, EndedAt: 2 + i, AliveAt: 1})
	}
	return r
}

// What a note says of a request comes out as it went in, and what cannot be true says nothing.
func TestSuspectsInNotes(t *testing.T) {
	is := is.New(t)
	want := recordOfEnds(3)
	b, err := proto.Marshal(suspectOf(want))
	is.NoErr(err)
	var m schema.Suspect
	is.NoErr(proto.Unmarshal(b, &m))
	is.Equal(recordOf(&m), want)
	is.Equal(digestOf([]byte("short")), suspect.Digest{})
	is.True(!suspect.New().Merge(0, recordOf(&schema.Suspect{Digest: []byte("short"), Sightings: m.Sightings})))
	is.True(recordOf(&schema.Suspect{QuietMs: 1 << 63}).Age == longestQuiet)
}

// The records that each note may carry fit beside its loads, and what a VM that has just
// started is told fits into one datagram.
func TestSuspectsFitIntoNotes(t *testing.T) {
	is := is.New(t)
	for ends, most := range map[int]int{1: 60, 3: 120, 8: 250} {
		n := proto.Size(suspectOf(recordOfEnds(ends)))
		t.Logf("%d ends: %d bytes", ends, n)
		is.True(n <= most)
		is.True(startSuspects*n < maxDatagram)
	}
}
