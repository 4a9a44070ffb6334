package brittle

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against an endpoint that has to reject more requests in a second than it bears, whatever the
// order in which requests are placed, begun, rejected and forgotten.
func TestRejectionsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New(0)
		budget := rapid.IntRange(1, 6).Draw(t, "budget")
		now := time.Duration(0)
		placed := make(map[uint64]time.Duration)
		var rejections []time.Duration
		for handle := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond
			if g.Admits(now, budget, false) {
				g.RecordSent(now, handle)
				placed[handle] = now
			}
			for h, at := range placed {
				switch {
				case now-at > confirmTime:
					delete(placed, h)
				case rapid.Bool().Draw(t, "rejected"):
					g.RecordRejected(now, h)
					rejections = append(rejections, now)
					delete(placed, h)
				case rapid.Bool().Draw(t, "begun"):
					g.RecordAccepted(h)
					delete(placed, h)
				}
			}
			recent := 0
			for _, at := range rejections {
				if now-at <= time.Second {
					recent++
				}
			}
			if recent > budget {
				t.Fatalf("%d rejections in a second, %d allowed", recent, budget)
			}
		}
	})
}

// Guards against a VM that sends one request at a time to an endpoint all of whose requests it knows, and
// against one that goes on believing what it knows when the endpoint rejects requests.
func TestKnownRoomIsUsedUntilARejection(t *testing.T) {
	is := is.New(t)
	g := New(0)
	for h := range uint64(2) {
		is.True(g.Admits(time.Second, 2, true))
		g.RecordSent(time.Second, h)
	}
	is.True(!g.Admits(time.Second, 2, true))
	now := time.Second + distrustTime
	for h := range uint64(5) {
		is.True(g.Admits(now, 2, true))
		g.RecordSent(now, h)
	}
	is.True(!g.Admits(now, 2, false))
	is.True(!g.Admits(now, 0, true))
	g.RecordRejected(now, 0)
	is.True(!g.Admits(now, 2, true))
	is.True(!g.Admits(now+confirmTime, 1, true))
	is.True(g.Admits(now+distrustTime, 2, true))
}

// Guards against placers whose parts together exceed what the endpoint bears, and against none that asks.
func TestBudgetsOfPlacersSumToWhole(t *testing.T) {
	is := is.New(t)
	for perSecond := range 20 {
		for placers := 1; placers < 8; placers++ {
			for _, share := range []float64{0.2, 0.7, 1} {
				sum := 0
				for rank := range placers {
					sum += Budget(perSecond, share, rank, placers)
				}
				is.Equal(sum, max(1, int(float64(perSecond)*share)))
			}
		}
	}
	is.Equal(Budget(5, 0, 0, 1), 0)
}
