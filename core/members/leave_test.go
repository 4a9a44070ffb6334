package members

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against an incarnation that has announced that it leaves and is used again because of an older record,
// a restored registry, or the end of a registry outage.
func TestLeavingIncarnationStaysOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s := New()
		var now time.Duration
		server := func() *Endpoint {
			return &Endpoint{ID: "e", Service: "s", Slots: 1 + r.IntN(3), Leaving: r.IntN(4) == 0}
		}
		record := func() Change {
			c := Change{ID: "e", Written: uint64(r.IntN(10))}
			switch r.IntN(6) {
			case 0:
				c.Unreadable = true
			case 1, 2:
			default:
				c.Endpoint = server()
			}
			return c
		}
		leaveStep := r.IntN(100)
		for step := range 200 {
			now += time.Duration(r.IntN(1000)) * time.Millisecond
			if step == leaveStep {
				s.MarkLeaving(EndpointHash("e"))
			}
			switch r.IntN(8) {
			case 0:
				s.MarkRegistryUnavailable()
			case 1:
				s.MarkRegistryAvailable(now, 0)
			case 2:
				s.MarkRegistryRestored(now)
			case 3:
				s.Replace(now, []Change{record()})
			case 4:
				s.ApplyRestored(now, record())
			case 5:
				s.Expire(now)
			default:
				s.Apply(now, record())
			}
			if step >= leaveStep && len(s.Usable("s")) > 0 {
				t.Fatalf("used %d steps after it announced that it leaves", step-leaveStep)
			}
		}
		s.Apply(now, Change{ID: "e", Endpoint: &Endpoint{ID: "e", Born: 7, Service: "s"}})
		if len(s.Usable("s")) != 1 {
			t.Fatal("the next incarnation is not used")
		}
	})
}

// Guards against treating requests that a leaving endpoint cuts off as evidence of an unexpected termination.
func TestAnnouncedDepartureIsLeaving(t *testing.T) {
	s := New()
	s.Apply(0, Change{ID: "e", Endpoint: &Endpoint{ID: "e", Service: "s"}})
	s.MarkLeaving(EndpointHash("e"))
	s.MarkLeaving(EndpointHash("e"))
	s.Apply(0, Change{ID: "e", Endpoint: &Endpoint{ID: "e", Service: "s", Leaving: true}})
	if d := s.TakeDepartures(); len(d) != 1 || !d[0].Leaving {
		t.Fatalf("departures: %v, want one that is leaving", d)
	}
}
