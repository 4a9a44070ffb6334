package members

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func born(id string, at int64, leaving bool) Change {
	c := ep(id, leaving)
	c.Endpoint.Born = at
	return c
}

// Symptom: an endpoint that had announced its leaving and started again under the same id
// got no requests any more. Sequence: it leaves; it starts again; the registry lists it as
// ready. Cause: what leaves was taken never to return, by id alone.
func TestNextIncarnationServes(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(0, born("a", 1000, true))
	is.Equal(len(ids(s)), 0)
	s.Apply(time.Second, born("a", 2000, false))
	is.Equal(ids(s), []string{"a"})
	is.Equal(s.Usable("s")[0].Key(), "a@2000")
}

// Symptom: requests went to an incarnation that was gone. Sequence: an endpoint starts
// again; a record from before it comes late, from a VM that lags or after a compaction.
// Cause: the last record read counted, whatever start it told.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(0, born("a", 2000, true))
	s.Apply(0, born("a", 1000, false))
	is.Equal(len(ids(s)), 0)
	// Also when the later one has been removed meanwhile.
	s.Apply(0, Change{ID: "a"})
	s.Apply(0, born("a", 1000, false))
	is.Equal(len(ids(s)), 0)
	s.Replace(0, []Change{born("a", 1000, false), born("b", 1000, false)})
	is.Equal(ids(s), []string{"b"})
}

// Symptom: an endpoint went on to get requests though another writer's record stood in
// its place. The record names nobody; the others hold.
func TestUnreadableRecordRemovesEndpoint(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Replace(0, []Change{ep("a", false), ep("b", false)})
	s.Apply(0, Change{ID: "a", Unreadable: true})
	s.Apply(0, Change{ID: "c", Unreadable: true})
	is.Equal(ids(s), []string{"b"})
	s.Replace(0, []Change{ep("a", false), {ID: "b", Unreadable: true}})
	is.Equal(ids(s), []string{"a"})
}
