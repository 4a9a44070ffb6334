package members

import (
	"strconv"
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

// Guards against requests sent to an endpoint that has announced that it leaves, when
// a record from before the announcement is read afterwards, from a VM that lags. The
// record read last must not replace the newer state.
func TestLeavingIsPermanent(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(0, ep("a", true))
	s.Apply(0, ep("a", false))
	is.Equal(len(ids(s)), 0)
}

// Entries that lapsed during an outage stay until the registry has had time to list
// them again. An entry that is still missing then is removed.
func TestLapsedEntriesAreKeptDuringOutage(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Replace(0, []Change{ep("a", false), ep("b", false)})
	s.MarkRegistryUnavailable()
	s.Expire(time.Minute)
	is.Equal(len(ids(s)), 2)
	s.MarkRegistryAvailable(time.Minute, 0)
	s.Replace(time.Minute, []Change{ep("b", false)})
	is.Equal(len(ids(s)), 2)
	s.Apply(time.Minute+time.Second, Change{ID: "b"})
	s.Apply(time.Minute+2*time.Second, ep("b", false))
	s.Expire(time.Minute + 2*time.Second)
	is.Equal(len(ids(s)), 2)
	s.Expire(time.Minute + relistGrace)
	is.Equal(ids(s), []string{"b"})
}

// Without an outage, a removed entry is gone immediately.
func TestRemovalIsImmediate(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Replace(0, []Change{ep("a", false)})
	s.Apply(time.Second, Change{ID: "a"})
	is.Equal(len(ids(s)), 0)
}

// A record that differs only in its sequence number does not change the version.
func TestSameEntryIsNoChange(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(0, ep("a", false))
	v := s.Version()
	s.Apply(0, ep("a", false))
	is.Equal(s.Version(), v)
}

// Each departure is reported once, with whether it was announced: an endpoint that leaves as it
// was told to has not crashed with the requests it ran.
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
	// During a registry outage nothing departs: entries lapse although their endpoints are alive.
	s.MarkRegistryUnavailable()
	s.Apply(0, Change{ID: "restarts"})
	is.Equal(len(s.TakeDepartures()), 0)
	s.MarkRegistryAvailable(time.Second, 0)
	s.Expire(time.Second + relistGrace)
	is.Equal(s.TakeDepartures(), []Departure{{Key: "restarts@2", Cause: Lapsed}})
}

// Guards against requests sent to endpoints that have left, and none sent to live ones, after the
// registry was restored from a backup of some seconds before. One endpoint announced that it leaves,
// one is gone, one is new; the backup lists the first two as ready and lacks the third. The
// restored records must not be taken for newer than the known state.
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
	// Another complete list from the backup does not bring back endpoints that are gone.
	s.Replace(at+time.Second, []Change{ep("gone", false), ep("stays", false), ep("new", false)})
	is.Equal(ids(s), []string{"new", "stays"})
	// A record that an endpoint has written since the restore applies.
	s.Apply(at+time.Second, ep("gone", false))
	is.Equal(ids(s), []string{"gone", "new", "stays"})
}

// An entry that is still missing some seconds after a restore is removed. A record that is listed
// long after it does not come from the backup.
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

// written sets the offset of a record in the registry.
func written(c Change, offset uint64) Change {
	c.Written = offset + 1
	return c
}

// Guards against an incarnation that was gone before a restore and is used for good, because a
// complete list long after the restore still contains the backup's record of it.
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

// Guards against an incarnation that left and is used again after a restore because its removal was
// read twice.
func TestRepeatedRemovalKeepsIncarnationOut(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Replace(0, []Change{ep("left", false), ep("stays", false)})
	s.Apply(0, ep("left", true))
	s.Apply(0, Change{ID: "left"})
	s.Apply(0, Change{ID: "left"})
	s.MarkRegistryRestored(time.Minute)
	s.Replace(time.Minute, []Change{ep("left", false), ep("stays", false)})
	is.Equal(ids(s), []string{"stays"})
}

// Guards against processor time for every entry of the registry many times a second.
func TestExpireLooksAtLapsedEntriesOnly(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Replace(0, []Change{ep("a", false), ep("b", false), ep("c", false)})
	is.Equal(len(s.lapsed), 0)
	s.MarkRegistryUnavailable()
	s.Replace(0, []Change{ep("a", false)})
	is.Equal(len(s.lapsed), 2)
	s.MarkRegistryAvailable(time.Second, 0)
	s.Apply(time.Second, ep("b", false))
	s.Expire(time.Second + relistGrace)
	is.Equal(ids(s), []string{"a", "b"})
	s.Expire(time.Second + relistGrace)
	is.Equal(len(s.lapsed), 0)
}

// BenchmarkExpire measures a look for lapsed entries, of which there are none.
func BenchmarkExpire(b *testing.B) {
	s := New()
	for i := range 3000 {
		s.Apply(0, ep(strconv.Itoa(i), false))
	}
	for b.Loop() {
		s.Expire(time.Second)
	}
}

// Guards against an endpoint that stays in use for the grace of an outage that only this VM saw.
func TestMissingEntryIsRemovedOnceFoundGoneElsewhere(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Replace(0, []Change{ep("a", false), ep("b", false), ep("c", false)})
	s.MarkRegistryUnavailable()
	s.MarkRegistryAvailable(time.Second, 0)
	s.Replace(time.Second, []Change{ep("c", false)})
	is.Equal(s.Missing(), 2)
	removed := s.ConfirmGone(time.Second, []uint64{EndpointHash("a"), EndpointHash("c")})
	is.Equal(removed, 1)
	is.Equal(ids(s), []string{"b", "c"}) // an entry that is listed stays
	is.Equal(s.TakeDepartures(), []Departure{{Key: "a", Cause: Confirmed}})
	is.Equal(s.Gone(time.Second), []uint64{EndpointHash("a")})
}

// Guards against an endpoint that others drop because it was missing once, though it is listed again.
func TestRelistedIncarnationIsNotGone(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Replace(0, []Change{ep("a", false), ep("b", false)})
	s.Replace(time.Second, nil)
	is.Equal(len(s.Gone(time.Second)), 2)
	is.Equal(len(s.Gone(2*time.Second)), 0)
	s.Replace(2*time.Second, []Change{ep("a", false)})
	is.Equal(s.Gone(0), []uint64{EndpointHash("b")})
}
