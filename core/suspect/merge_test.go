package suspect

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// genRecord generates a record of one request at a few incarnations.
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
	tr := New()
	for _, r := range list {
		tr.Merge(10*time.Second, r)
	}
	return tr.Status(digestOf(1))
}

// Merging is independent of the order and duplication of records, and of the VMs that relay them.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(genRecord), 1, 6).Draw(t, "records")
		want := merged(list)
		shuffled := rapid.Permutation(append(append([]Record(nil), list...), list...)).Draw(t, "order")
		if got := merged(shuffled); got != want {
			t.Fatalf("merged in another order, with duplicates: %+v; in order: %+v", got, want)
		}
		half := rapid.IntRange(0, len(list)).Draw(t, "half")
		var detour []Record
		for _, part := range [][]Record{list[:half], list[half:]} {
			tr := New()
			for _, r := range part {
				tr.Merge(10*time.Second, r)
			}
			if r, ok := tr.RecordOf(10*time.Second, digestOf(1)); ok {
				detour = append(detour, r)
			}
		}
		if got := merged(detour); got != want {
			t.Fatalf("merged through two VMs: %+v; directly: %+v", got, want)
		}
	})
}

// Merging never lowers the level of a request, except after a response: to the request itself, or
// from an incarnation that was taken for terminated.
func TestMergeNeverLowersLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New()
		for _, r := range rapid.SliceOfN(rapid.Custom(genRecord), 0, 4).Draw(t, "known") {
			tr.Merge(10*time.Second, r)
		}
		before := tr.Status(digestOf(1))
		more := genRecord(t)
		more.Cleared = 0
		for i := range more.Sightings {
			more.Sightings[i].AliveAt = 0
		}
		tr.Merge(10*time.Second, more)
		if after := tr.Status(digestOf(1)); after.Level < before.Level || after.PossibleLevel < before.PossibleLevel {
			t.Fatalf("level lowered: %+v after %+v", after, before)
		}
	})
}
