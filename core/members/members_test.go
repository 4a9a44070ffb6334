package members

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func ep(id string, leaving bool) Change {
	return Change{ID: id, Endpoint: &Endpoint{ID: id, Service: "s", Address: "10.0.0.1:1", Leaving: leaving}}
}

func ids(s *Set) []string {
	var list []string
	for _, e := range s.Usable("s") {
		list = append(list, e.ID)
	}
	return list
}

func TestLeavingEndpointGetsNothingMore(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Replace(0, []Change{ep("a", false), ep("b", false)})
	s.Apply(0, ep("a", true))
	is.Equal(ids(s), []string{"b"})
	s.Apply(0, Change{ID: "b"})
	is.Equal(len(ids(s)), 0)
}

// Symptom: requests went to an endpoint that had announced its leaving. Sequence:
// the announcement is read; then a record from before it is read, from a VM that
// lags. Cause: the later reading replaced the newer state.
func TestLeavingIsNeverTakenBack(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(0, ep("a", true))
	s.Apply(0, ep("a", false))
	is.Equal(len(ids(s)), 0)
}

// Entries that lapsed during an outage stay until the registry had time to list
// them again; one that is still missing then is gone.
func TestLapsedEntriesWaitForTheRegistry(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Replace(0, []Change{ep("a", false), ep("b", false)})
	s.Away()
	s.Expire(time.Minute)
	is.Equal(len(ids(s)), 2)
	s.Back(time.Minute)
	s.Replace(time.Minute, []Change{ep("b", false)})
	is.Equal(len(ids(s)), 2)
	s.Apply(time.Minute+time.Second, Change{ID: "b"})
	s.Apply(time.Minute+2*time.Second, ep("b", false))
	s.Expire(time.Minute + 2*time.Second)
	is.Equal(len(ids(s)), 2)
	s.Expire(time.Minute + returnGrace)
	is.Equal(ids(s), []string{"b"})
}

// Without an outage, an entry that is removed is gone at once.
func TestRemovalCountsAtOnce(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Replace(0, []Change{ep("a", false)})
	s.Apply(time.Second, Change{ID: "a"})
	is.Equal(len(ids(s)), 0)
}

// A changed sequence number alone is no change.
func TestSameEntryIsNoChange(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(0, ep("a", false))
	v := s.Version()
	s.Apply(0, ep("a", false))
	is.Equal(s.Version(), v)
}
