package catchup

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func alone() Standing { return Standing{Size: 1} }

func near(holder string, version uint64) Announcement {
	return Announcement{Holder: holder, Version: version, Near: true}
}

// Whatever is announced, lost, repeated or late, and whichever holders fail: a VM asks few at a time,
// none for what it has, and gets the newest version as soon as one holder serves it.
func TestTrackerEndsUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker("self", 3*time.Second)
		now := time.Hour
		var current, newest uint64
		versions := make(map[string]uint64)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			holder := fmt.Sprint("vm", rapid.IntRange(0, 4).Draw(t, "holder"))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				versions[holder] = max(versions[holder], rapid.Uint64Range(0, 9).Draw(t, "version"))
				tr.Hear(now, Announcement{Holder: holder, Version: versions[holder], Near: rapid.Bool().Draw(t, "near")})
			case 1:
				a, _ := tr.Next(now, alone)
				if a.ReadStore {
					tr.StoreReadDone()
				}
				if a.Ask != "" && versions[a.Ask] <= current {
					t.Fatal("asked a VM that has nothing newer")
				}
			case 2:
				if _, asked := tr.asked[holder]; asked {
					tr.Failed(now, holder)
				}
			}
			if len(tr.asked) > maxAsked {
				t.Fatal("asks too many")
			}
		}
		for asked := range tr.asked {
			tr.Failed(now, asked)
		}
		for _, v := range versions {
			newest = max(newest, v)
		}
		for deadline := now + 5*time.Second; current < newest; now += 20 * time.Millisecond {
			if now > deadline {
				t.Fatal("not up to date")
			}
			for h, v := range versions {
				tr.Hear(now, near(h, v))
			}
			a, _ := tr.Next(now, alone)
			if a.ReadStore {
				tr.StoreReadDone()
			}
			if a.Ask != "" {
				current = max(current, versions[a.Ask])
				tr.Applied(current)
				tr.Served(a.Ask)
			}
		}
		if _, behind := tr.BehindSince(now); behind {
			t.Fatal("still behind")
		}
	})
}

// Each request that a source queues gets one decision, whatever comes and goes in between, and the
// source serves no more than it may.
func TestSourceDecidesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Source
		var version uint64
		var serving []string
		queued := make(map[string]bool)
		note := func(list []Decision) {
			for _, d := range list {
				if !queued[d.Asker] {
					t.Fatal("decided about a request that is not queued")
				}
				delete(queued, d.Asker)
				if d.Verdict == Serve {
					serving = append(serving, d.Asker)
				}
				if d.Verdict == Queue || slices.Contains(d.Referrals, d.Asker) {
					t.Fatal("queued again, or sent to itself")
				}
			}
			if len(serving) > maxServing {
				t.Fatal("serves too many")
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			asker := fmt.Sprint("vm", rapid.IntRange(0, 20).Draw(t, "asker"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				if queued[asker] || slices.Contains(serving, asker) {
					continue
				}
				d := s.Ask(asker, 0, rapid.Bool().Draw(t, "expects"))
				queued[asker] = true
				if d.Verdict != Queue {
					note([]Decision{d})
				}
			case 2:
				if len(serving) > 0 {
					done := serving[0]
					serving = serving[1:]
					note(s.Done(version, done, rapid.Bool().Draw(t, "received")))
				}
			case 3:
				d, ok := s.Leave(asker)
				if ok != queued[asker] {
					t.Fatal("a queued request was lost")
				}
				if ok {
					note([]Decision{d})
				}
			case 4:
				version++
				note(s.Advance(version))
			}
		}
		for len(serving) > 0 {
			done := serving[0]
			serving = serving[1:]
			note(s.Done(version, done, true))
		}
		if version > 0 && len(queued) > 0 {
			t.Fatal("a request waits although nobody is served")
		}
	})
}

// Guards against copies to each VM over a link between failure domains, and against a failure domain
// without a holder that waits for one.
func TestHoldersElsewhereAreAskedByFew(t *testing.T) {
	is := is.New(t)
	asked := 0
	for i := range 164 {
		self := fmt.Sprint("vm", i)
		var others []string
		for j := range 164 {
			if j != i {
				others = append(others, fmt.Sprint("vm", j))
			}
		}
		standing := func() Standing { return NewStanding(self, others) }
		tr := NewTracker(self, 3*time.Second)
		tr.Hear(time.Hour, Announcement{Holder: "far", Version: 1})
		if a, _ := tr.Next(time.Hour+250*time.Millisecond, standing); a.Ask != "" {
			asked++
		}
		a, _ := tr.Next(time.Hour+1500*time.Millisecond, standing)
		is.True(a.Ask == "far" || a.ReadStore || len(tr.asked) > 0)
	}
	is.Equal(asked, firstLevel)
}

// Guards against 160 reads of the store at once where no VM serves another: they go by rank.
func TestReadsOfTheStoreAreSpread(t *testing.T) {
	is := is.New(t)
	const vms = 160
	at := make(map[time.Duration]int)
	for rank := range vms {
		tr := NewTracker("self", 3*time.Second)
		tr.Hear(time.Hour, near("dead", 1))
		for now := time.Hour; ; now += 20 * time.Millisecond {
			tr.Hear(now, near("dead", 1))
			a, _ := tr.Next(now, func() Standing { return Standing{Rank: rank, Size: vms} })
			if a.Ask != "" {
				tr.Failed(now, a.Ask)
			}
			if a.ReadStore {
				is.True(now-time.Hour <= 4*time.Second)
				at[(now-time.Hour)/(200*time.Millisecond)]++
				break
			}
		}
	}
	for _, n := range at {
		is.True(n <= vms/10)
	}
}

// Guards against a VM that waits without an end for a version that nobody has any more: the store was
// restored from a copy without it, and its holder is gone.
func TestVersionThatNobodyAnnouncesIsForgotten(t *testing.T) {
	is := is.New(t)
	tr := NewTracker("self", 3*time.Second)
	is.True(tr.Hear(time.Hour, near("vm1", 7)))
	is.True(!tr.Hear(time.Hour, near("vm2", 7)))
	at, behind := tr.BehindSince(time.Hour + time.Second)
	is.True(behind)
	is.Equal(at, time.Hour)
	_, behind = tr.BehindSince(time.Hour + holderTTL + time.Second)
	is.True(!behind)
	is.True(tr.Hear(2*time.Hour, near("vm1", 7)))
}

// Guards against a VM that answers without an end by rules that no longer hold, and against an outage
// where a change is late on most VMs.
func TestOverdueOnlyIfOthersAreCurrent(t *testing.T) {
	is := is.New(t)
	const bound = 3 * time.Second
	domain := func() Standing { return Standing{Size: 10} }
	for _, current := range []int{1, 4, 5, 9} {
		tr := NewTracker("self", bound)
		for i := range current {
			tr.Hear(time.Hour, near(fmt.Sprint("vm", i), 7))
		}
		tr.Hear(time.Hour, Announcement{Holder: "far", Version: 7})
		is.True(!tr.Overdue(time.Hour+bound, domain))
		is.Equal(tr.Overdue(time.Hour+bound+time.Millisecond, domain), current >= 5)
		tr.Applied(7)
		is.True(!tr.Overdue(time.Hour+bound+time.Second, domain))
	}
}
