package suspect

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/matryer/is"
)

func digestOf(n int) Digest {
	var d Digest
	binary.BigEndian.PutUint64(d[:], uint64(n+1))
	return d
}

// ends cuts a request off at an incarnation that ends with it.
func ends(l *Ledger, now time.Duration, d Digest, endpoint uint64) {
	l.Cut(now, now, d, endpoint, l.Look(d).Generation)
	l.Ended(now, endpoint)
}

// Three endpoints one after the other convict; two do not.
func TestThreeEndsConvict(t *testing.T) {
	is := is.New(t)
	l := New()
	d := digestOf(1)
	for i := range 3 {
		is.True(!l.Look(d).Convicted())
		is.Equal(l.Look(d).OnTrial(), i == 2)
		ends(l, time.Duration(i)*time.Second, d, uint64(i))
	}
	is.True(l.Look(d).Convicted())
	kinds := []Kind{}
	for _, c := range l.Changes() {
		kinds = append(kinds, c.Kind)
	}
	is.Equal(kinds, []Kind{Suspected, Suspected, Convicted})
}

// Symptom: a page that many callers share was refused after a rack lost power. Sequence:
// copies of it run at four endpoints, which end in the same moment. Copies that ran side by
// side count once.
func TestEndpointsThatEndTogetherConvictNobody(t *testing.T) {
	is := is.New(t)
	l := New()
	d := digestOf(1)
	for i := range 4 {
		l.Cut(0, 0, d, uint64(i), 0)
	}
	for i := range 4 {
		l.Ended(0, uint64(i))
	}
	is.Equal(l.Look(d).Level, 1)
}

// An end is counted once, whichever VMs saw it and however many copies ran there.
func TestOneEndCountsOnce(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	d := digestOf(1)
	ends(a, 0, d, 7)
	ends(a, 0, d, 7)
	ends(b, 0, d, 7)
	r, _ := b.Record(0, d)
	a.Merge(0, r)
	a.Merge(0, r)
	is.Equal(a.Look(d).Level, 1)
}

// Cut links, torn answers and resets are no ends: the incarnations answer later, or at least
// are still listed.
func TestCutsAloneDoNotCount(t *testing.T) {
	is := is.New(t)
	l := New()
	d := digestOf(1)
	for i := range 6 {
		l.Cut(0, 0, d, uint64(i), l.Look(d).Generation)
	}
	is.Equal(l.Look(d).Level, 0)
	is.True(!l.Look(d).OnTrial())
	l.Expire(cutLife)
	is.Equal(l.Len(), 0)
}

// Symptom: a VM whose own link refused connections took endpoints for ended. Sequence: it is
// cut off, another VM gets answers of the same incarnations. That outweighs the refusals,
// in whatever order VMs hear of both.
func TestAnAnswerOutweighsRefusedConnections(t *testing.T) {
	is := is.New(t)
	cut, other := New(), New()
	d := digestOf(1)
	for i := range 3 {
		ends(cut, 0, d, uint64(i))
	}
	is.True(cut.Look(d).Convicted())
	r, _ := cut.Record(0, d)
	other.Merge(time.Second, r)
	for i := range 3 {
		other.Answered(3*time.Second, 2*time.Second, uint64(i))
	}
	is.Equal(other.Look(d).Level, 0)
	told, _ := other.Record(3*time.Second, d)
	cut.Merge(3*time.Second, told)
	is.Equal(cut.Look(d).Level, 0)
	other.Merge(3*time.Second, r)
	is.Equal(other.Look(d).Level, 0)
	// What was sent before the cut says nothing.
	late := New()
	ends(late, 5*time.Second, d, 9)
	late.Answered(6*time.Second, 4*time.Second, 9)
	is.Equal(late.Look(d).Level, 1)
}

// An endpoint that says that it leaves has not ended with what was cut off there.
func TestLeavingIsNoEnd(t *testing.T) {
	is := is.New(t)
	l := New()
	d := digestOf(1)
	l.Cut(0, 0, d, 1, 0)
	l.Leaving(time.Second, 1)
	l.Ended(2*time.Second, 1)
	is.Equal(l.Look(d).Level, 0)
}

// A cut that was explained by an answer does not hide the next one at the same incarnation.
func TestEndAfterATornAnswer(t *testing.T) {
	is := is.New(t)
	l := New()
	d := digestOf(1)
	l.Cut(0, 0, d, 1, 0)
	l.Answered(2*time.Second, time.Second, 1)
	is.Equal(l.Look(d).Possible, 0)
	l.Cut(3*time.Second, 3*time.Second, d, 1, l.Look(d).Generation)
	is.Equal(l.Look(d).Possible, 1)
	is.Equal(l.Look(d).Level, 0)
	l.Ended(3*time.Second, 1)
	is.Equal(l.Look(d).Level, 1)
	// A copy of the next generation that ended with the same incarnation adds nothing.
	l.Cut(3*time.Second, 3*time.Second, d, 1, l.Look(d).Generation)
	is.Equal(l.Look(d).Level, 1)
}

// Of a body that many callers share some copies succeed, however many endpoints end one
// after the other: an answer clears it, and for a while it is no suspect.
func TestSuccessClears(t *testing.T) {
	is := is.New(t)
	l := New()
	d := digestOf(1)
	for i := range 10 {
		now := time.Duration(i) * 2 * trustFor
		ends(l, now, d, uint64(i))
		is.Equal(l.Look(d).Level, 1)
		l.Success(now, d)
		is.Equal(l.Look(d).Level, 0)
		ends(l, now+trustFor/2, d, uint64(100+i))
		is.Equal(l.Look(d).Level, 0)
	}
}

// Symptom: a page that all callers read was refused to them. Sequence: all engines of a
// service end within a second, under another request; copies of the page run at each, and more
// are sent to the addresses of those that have ended, where connections open and break. Cause:
// three ends in a row with no answer in between, since nobody was left to give one.
func TestOutageOfAServiceConvictsNobody(t *testing.T) {
	is := is.New(t)
	l := New()
	page := digestOf(1)
	l.Success(0, page)
	for i := range 4 {
		now := time.Second + time.Duration(i)*150*time.Millisecond
		ends(l, now, page, uint64(i))
	}
	is.Equal(l.Look(page).Level, 0)
	// One that was never answered before, and comes again while nothing is there to end.
	other := digestOf(2)
	ends(l, 2*time.Second, other, 10)
	for i := range 5 {
		now := 2*time.Second + time.Duration(i+1)*100*time.Millisecond
		l.Cut(now, now-time.Millisecond, other, 10, l.Look(other).Generation)
		l.Cut(now, now-time.Millisecond, other, uint64(3), l.Look(other).Generation)
		l.Ended(now, 3)
	}
	is.Equal(l.Look(other).Level, 1)
}

// A released request runs whatever it did.
func TestRelease(t *testing.T) {
	is := is.New(t)
	l := New()
	d := digestOf(1)
	for i := range 4 {
		ends(l, 0, d, uint64(i))
	}
	l.Release([]Digest{d})
	is.True(!l.Look(d).Convicted())
	is.True(!l.Look(d).OnTrial())
	l.Release(nil)
	is.True(l.Look(d).Convicted())
}

// What is quiet for long is forgotten, by everybody: others' word does not bring it back.
func TestForgetting(t *testing.T) {
	is := is.New(t)
	l, other := New(), New()
	d, s := digestOf(1), digestOf(2)
	for i := range 3 {
		ends(l, 0, d, uint64(i))
	}
	ends(l, 0, s, 0)
	l.Expire(suspectLife)
	is.Equal(l.Look(s).Level, 0)
	is.True(l.Look(d).Convicted())
	r, _ := l.Record(convictedLife-time.Minute, d)
	is.True(other.Merge(0, r))
	other.Expire(time.Minute)
	is.Equal(other.Len(), 0)
	old, _ := l.Record(convictedLife, d)
	is.True(!other.Merge(time.Minute, old))
}

// Symptom: an attacker sends ever other bodies that end endpoints, so that the first one is
// forgotten. What is convicted stays, and memory is bounded.
func TestManyBodies(t *testing.T) {
	is := is.New(t)
	l := New()
	d := digestOf(0)
	for i := range 3 {
		ends(l, 0, d, uint64(i))
	}
	for i := range 5 * maxEntries {
		ends(l, time.Second, digestOf(1+i), uint64(100+i))
	}
	is.Equal(l.Len(), maxEntries)
	is.True(l.Look(d).Convicted())
	for i := range 5 * maxSightings {
		ends(l, 2*time.Second, d, uint64(1e6+i))
	}
	r, _ := l.Record(2*time.Second, d)
	is.Equal(len(r.Sightings), maxSightings)
	is.True(l.Look(d).Convicted())
}

// Records that cannot be true are passed over: a garbled one would convict, or clear for ever.
func TestImplausibleRecords(t *testing.T) {
	is := is.New(t)
	l := New()
	good := Sighting{Endpoint: 1, Generation: 1}
	for _, r := range []Record{
		{Sightings: []Sighting{good}},
		{Digest: digestOf(1), Sightings: []Sighting{{Endpoint: 1}}},
		{Digest: digestOf(1), Sightings: []Sighting{{Endpoint: 1, Generation: mostGeneration + 1}}},
		{Digest: digestOf(1), Sightings: []Sighting{{Endpoint: 1, Generation: 1, EndedAt: 2}}},
		{Digest: digestOf(1), Sightings: []Sighting{good}, Cleared: mostGeneration + 1},
		{Digest: digestOf(1), Sightings: []Sighting{good}, Quiet: -1},
		{Digest: digestOf(1), Sightings: make([]Sighting, maxSightings+1)},
	} {
		is.True(!l.Merge(0, r))
	}
	is.Equal(l.Len(), 0)
}

// Turn tells all that matters, however few records fit into a note.
func TestTurnTellsAll(t *testing.T) {
	is := is.New(t)
	l := New()
	for i := range 20 {
		ends(l, 0, digestOf(i), uint64(i))
	}
	told := make(map[Digest]bool)
	for range 4 {
		for _, r := range l.Turn(0, 6) {
			told[r.Digest] = true
		}
	}
	is.Equal(len(told), 20)
}
