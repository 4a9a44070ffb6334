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

func TestLeavingEndpointGetsNoRequests(t *testing.T) {
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
func TestLeavingIsPermanent(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(0, ep("a", true))
	s.Apply(0, ep("a", false))
	is.Equal(len(ids(s)), 0)
}

// Entries that lapsed during an outage stay until the registry had time to list
// them again; one that is still missing then is gone.
func TestLapsedEntriesAreKeptDuringOutage(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Replace(0, []Change{ep("a", false), ep("b", false)})
	s.MarkRegistryUnavailable()
	s.Expire(time.Minute)
	is.Equal(len(ids(s)), 2)
	s.MarkRegistryAvailable(time.Minute)
	s.Replace(time.Minute, []Change{ep("b", false)})
	is.Equal(len(ids(s)), 2)
	s.Apply(time.Minute+time.Second, Change{ID: "b"})
	s.Apply(time.Minute+2*time.Second, ep("b", false))
	s.Expire(time.Minute + 2*time.Second)
	is.Equal(len(ids(s)), 2)
	s.Expire(time.Minute + relistGrace)
	is.Equal(ids(s), []string{"b"})
}

// Without an outage, an entry that is removed is gone at once.
func TestRemovalIsImmediate(t *testing.T) {
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

// What departs is told once, with whether it said so itself: an endpoint that leaves as it was
// told to has not ended with what it ran.
func TestDepartures(t *testing.T) {
	is := is.New(t)
	s := New()
	at := func(id string, born int64, leaving bool) Change {
		return Change{ID: id, Endpoint: &Endpoint{ID: id, Born: born, Service: "s", Leaving: leaving}}
	}
	s.Apply(0, at("crashes", 1, false))
	s.Apply(0, at("restarts", 1, false))
	s.Apply(0, at("leaves", 1, false))
	is.Equal(len(s.TakeDepartures()), 0)
	is.True(s.Serving(&Endpoint{ID: "leaves", Born: 1}))
	s.Apply(0, Change{ID: "crashes"})
	s.Apply(0, at("restarts", 2, false))
	s.Apply(0, at("leaves", 1, true))
	is.Equal(s.TakeDepartures(), []Departure{{Key: "crashes@1"}, {Key: "restarts@1"}, {Key: "leaves@1", Leaving: true}})
	is.True(!s.Serving(&Endpoint{ID: "leaves", Born: 1}))
	is.True(!s.Serving(&Endpoint{ID: "restarts", Born: 1}))
	s.Apply(0, Change{ID: "leaves"})
	is.Equal(len(s.TakeDepartures()), 0)
	// While the registry is away nothing departs: entries lapse though their endpoints live.
	s.MarkRegistryUnavailable()
	s.Apply(0, Change{ID: "restarts"})
	is.Equal(len(s.TakeDepartures()), 0)
	s.MarkRegistryAvailable(time.Second)
	s.Expire(time.Second + relistGrace)
	is.Equal(s.TakeDepartures(), []Departure{{Key: "restarts@2"}})
}

// Symptom: requests went to endpoints that had left, and none to others that lived, after the
// registry came back from a copy of some seconds before. Sequence: one endpoint announces that it
// leaves, one is gone, one is new; the copy lists the first two as ready and not the third.
// Cause: what the registry said was taken for newer than what was known.
func TestRegistryRestoredFromBackup(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Replace(0, []Change{ep("leaving", false), ep("gone", false), ep("stays", false)})
	s.Apply(0, ep("leaving", true))
	s.Apply(0, Change{ID: "gone"})
	s.Apply(0, ep("new", false))
	at := time.Minute
	s.MarkRegistryRestored(at)
	s.Replace(at, []Change{ep("leaving", false), ep("gone", false), ep("stays", false)})
	is.Equal(ids(s), []string{"new", "stays"})
	s.Expire(at + 2*time.Second)
	is.Equal(ids(s), []string{"new", "stays"})
	// Another whole list of that time says nothing new of those that are gone.
	s.Replace(at+time.Second, []Change{ep("gone", false), ep("stays", false), ep("new", false)})
	is.Equal(ids(s), []string{"new", "stays"})
	// What an endpoint writes itself since then holds.
	s.Apply(at+time.Second, ep("gone", false))
	is.Equal(ids(s), []string{"gone", "new", "stays"})
}

// One that is still missing some seconds after a copy is gone, and one that is listed long after
// it is not the copy's.
func TestEntryMissingFromBackupExpires(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Replace(0, []Change{ep("a", false), ep("b", false)})
	s.MarkRegistryRestored(time.Minute)
	s.Replace(time.Minute, []Change{ep("a", false)})
	is.Equal(ids(s), []string{"a", "b"})
	s.Expire(time.Minute + 3*time.Second)
	is.Equal(ids(s), []string{"a"})
	s.Replace(2*time.Minute, []Change{ep("a", false), ep("b", false)})
	is.Equal(ids(s), []string{"a", "b"})
}

// written is a record at an offset of the registry.
func written(c Change, offset uint64) Change {
	c.Written = offset + 1
	return c
}

// Guards against an incarnation that left before a copy and is used for good once a whole list, long
// after it, still holds the copy's record of it.
func TestGoneIncarnationStaysOutUntilItReregisters(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Replace(0, []Change{written(ep("gone", false), 3), written(ep("stays", false), 4)})
	s.Apply(0, Change{ID: "gone"})
	s.MarkRegistryRestored(time.Minute)
	s.Replace(time.Minute, []Change{written(ep("gone", false), 3), written(ep("stays", false), 4)})
	s.Replace(2*time.Minute, []Change{written(ep("gone", false), 3), written(ep("stays", false), 9)})
	is.Equal(ids(s), []string{"stays"})
	s.Replace(3*time.Minute, []Change{written(ep("gone", false), 12), written(ep("stays", false), 13)})
	is.Equal(ids(s), []string{"gone", "stays"})
}
