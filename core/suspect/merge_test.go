package suspect

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// genRecord is what a VM may know of one request, at few incarnations.
func genRecord(t *rapid.T) Record {
	n := rapid.IntRange(0, 5).Draw(t, "sightings")
	r := Record{Digest: digestOf(1), Cleared: rapid.IntRange(0, 3).Draw(t, "cleared"), Age: time.Duration(rapid.IntRange(0, 5).Draw(t, "quiet")) * time.Second}
	for range n {
		g := rapid.IntRange(1, 5).Draw(t, "generation")
		r.Sightings = append(r.Sightings, Sighting{
			Endpoint: uint64(rapid.IntRange(1, 6).Draw(t, "endpoint")), Generation: g,
			EndedAt: rapid.IntRange(0, g).Draw(t, "ended"), AliveAt: rapid.IntRange(0, g).Draw(t, "alive"),
		})
	}
	return r
}

func merged(list []Record) Status {
	l := New()
	for _, r := range list {
		l.Merge(10*time.Second, r)
	}
	return l.Status(digestOf(1))
}

// Order, repeats and detours of what VMs tell each other do not matter.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(genRecord), 1, 6).Draw(t, "records")
		want := merged(list)
		shuffled := rapid.Permutation(append(append([]Record(nil), list...), list...)).Draw(t, "order")
		if got := merged(shuffled); got != want {
			t.Fatalf("in another order, with repeats: %+v, else %+v", got, want)
		}
		half := rapid.IntRange(0, len(list)).Draw(t, "half")
		var detour []Record
		for _, part := range [][]Record{list[:half], list[half:]} {
			l := New()
			for _, r := range part {
				l.Merge(10*time.Second, r)
			}
			if r, ok := l.RecordOf(10*time.Second, digestOf(1)); ok {
				detour = append(detour, r)
			}
		}
		if got := merged(detour); got != want {
			t.Fatalf("by way of two VMs: %+v, else %+v", got, want)
		}
	})
}

// Hearing more never lowers what is known against a request, but for an answer: of the
// request itself, or of an incarnation that was taken for ended.
func TestMergeNeverLowersLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		for _, r := range rapid.SliceOfN(rapid.Custom(genRecord), 0, 4).Draw(t, "known") {
			l.Merge(10*time.Second, r)
		}
		before := l.Status(digestOf(1))
		more := genRecord(t)
		more.Cleared = 0
		for i := range more.Sightings {
			more.Sightings[i].AliveAt = 0
		}
		l.Merge(10*time.Second, more)
		if after := l.Status(digestOf(1)); after.Level < before.Level || after.PossibleLevel < before.PossibleLevel {
			t.Fatalf("%+v after %+v", after, before)
		}
	})
}
