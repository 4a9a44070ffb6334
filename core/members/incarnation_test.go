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

// Guards against an endpoint that gets no requests after it has announced that it leaves, has restarted under the
// same id and is listed as ready: an id must not be taken for an incarnation.
func TestNextIncarnationServes(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(0, born("a", 1000, true))
	is.Equal(len(ids(s)), 0)
	s.Apply(time.Second, born("a", 2000, false))
	is.Equal(ids(s), []string{"a"})
	is.Equal(s.Usable("s")[0].Key(), "a@2000")
}

// Guards against requests sent to a terminated incarnation. An endpoint restarts, and a record from before
// the restart arrives late, from a VM that lags or after a compaction. The last record read must not
// override one of a later start.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(0, born("a", 2000, true))
	s.Apply(0, born("a", 1000, false))
	is.Equal(len(ids(s)), 0)
	// The same holds when the later incarnation has been removed in the meantime.
	s.Apply(0, Change{ID: "a"})
	s.Apply(0, born("a", 1000, false))
	is.Equal(len(ids(s)), 0)
	s.Replace(0, []Change{born("a", 1000, false), born("b", 1000, false)})
	is.Equal(ids(s), []string{"b"})
}

// Guards against sending requests to an endpoint whose record has been replaced by another writer's. The
// unreadable record removes that endpoint only.
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
