package members

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fiveListed returns a set that has applied the records 0 to 4 of the registry, of the endpoints "a" to "e", and
// has then failed to read it for some time.
func fiveListed() *Set {
	s := New()
	for i, id := range []string{"a", "b", "c", "d", "e"} {
		s.Apply(0, written(ep(id, false), uint64(i)))
	}
	s.MarkRegistryUnavailable()
	return s
}

// applyAll applies what was read of the registry, as a VM does.
func applyAll(s *Set, now time.Duration, known uint64, list []Change, complete bool) Gap {
	s.MarkRegistryAvailable(now, known)
	g := s.JudgeGap(now, list, complete)
	if complete {
		s.Replace(now, list)
		return g
	}
	for _, c := range list {
		s.Apply(now, c)
	}
	return g
}

// Guards against requests to an endpoint that left while this VM, and maybe all others, could not read the registry.
func TestDepartureDuringGapIsNotTakenForLapse(t *testing.T) {
	is := is.New(t)
	s := fiveListed()
	list := []Change{written(ep("a", false), 0), written(ep("b", false), 1), written(ep("c", true), 5), written(ep("d", false), 3)}
	is.Equal(applyAll(s, time.Minute, 5, list, true), Gap{Kept: 3, Removed: 1})
	is.Equal(ids(s), []string{"a", "b", "d"})
	is.Equal(s.TakeDepartures(), []Departure{{Key: "c", Leaving: true}, {Key: "e", Cause: Unseen}})
	is.Equal(s.Gone(time.Minute), []uint64{EndpointHash("e")})
}

// Guards against the loss of all endpoints after an outage in which their entries have lapsed.
func TestLapsedEntriesStayInUseUntilRelisted(t *testing.T) {
	is := is.New(t)
	s := fiveListed()
	applyAll(s, time.Minute, 5, []Change{written(ep("b", false), 10), written(ep("d", false), 11)}, true)
	is.Equal(len(ids(s)), 5)
	applyAll(s, time.Minute+time.Second, 5, []Change{written(ep("a", false), 12)}, false)
	s.Expire(time.Minute + relistGrace)
	is.Equal(ids(s), []string{"a", "b", "d"})
}

// Guards against the same where entries lapse only after the first read.
func TestEntriesThatLapseAfterFirstReadStayInUse(t *testing.T) {
	is := is.New(t)
	s := fiveListed()
	var list, removals []Change
	for i, id := range []string{"a", "b", "c", "d", "e"} {
		list = append(list, written(ep(id, false), uint64(i)))
		removals = append(removals, written(Change{ID: id}, uint64(5+i)))
	}
	applyAll(s, time.Minute, 5, list, true)
	applyAll(s, time.Minute+time.Second, 5, removals, false)
	is.Equal(len(ids(s)), 5)
}

// Guards against an endpoint that stays in use for as long as reads fail now and then.
func TestFailedReadsDoNotRenewGrace(t *testing.T) {
	is := is.New(t)
	s := fiveListed()
	// Most entries have lapsed in an outage, and all but "e" are listed again.
	applyAll(s, time.Minute, 5, nil, true)
	var list []Change
	for i, id := range []string{"a", "b", "c", "d"} {
		list = append(list, written(ep(id, false), uint64(10+i)))
	}
	now := time.Minute + time.Second
	applyAll(s, now, 5, list, false)
	for range 4 {
		s.MarkRegistryUnavailable()
		now += time.Second
		applyAll(s, now, 14, list, true)
		s.Expire(now)
	}
	is.Equal(ids(s), []string{"a", "b", "c", "d"})
}

// outage is a registry that is away for some time, with endpoints whose entries lapse after three heartbeats.
type outage struct {
	rng       *rand.Rand
	interval  time.Duration
	length    time.Duration
	lapses    []time.Duration
	relisted  []time.Duration
	endpoints int
}

func newOutage(rng *rand.Rand) *outage {
	o := &outage{rng: rng, interval: 1200 * time.Millisecond, endpoints: 2 + rng.IntN(30)}
	o.length = time.Duration(rng.Int64N(int64(8 * o.interval)))
	for range o.endpoints {
		last := -time.Duration(rng.Int64N(int64(o.interval)))
		o.lapses = append(o.lapses, last+3*o.interval)
		o.relisted = append(o.relisted, o.length+time.Duration(rng.Int64N(int64(o.interval))))
	}
	return o
}

// registry returns the complete registry at a time. The records before the outage have the offsets 0 to
// endpoints-1.
func (o *outage) registry(at time.Duration) []Change {
	var list []Change
	for i := range o.endpoints {
		id := fmt.Sprint(i)
		lapsed := o.lapses[i] < o.relisted[i]
		switch {
		case !lapsed || at < o.lapses[i]:
			list = append(list, written(ep(id, false), uint64(i)))
		case at >= o.relisted[i]:
			list = append(list, written(ep(id, false), uint64(2*o.endpoints+i)))
		}
	}
	return list
}

// Guards against more than a third of the live endpoints being left after an outage of any length, whenever it is
// noticed.
func TestOutageTakesAtMostThirdOfEndpoints(t *testing.T) {
	dropped := 0
	for seed := range uint64(4000) {
		rng := rand.New(rand.NewPCG(seed, 74))
		o := newOutage(rng)
		s := New()
		s.Replace(0, o.registry(-time.Second))
		s.MarkRegistryUnavailable()
		known := uint64(o.endpoints)
		least := o.endpoints
		for at := o.length + time.Duration(rng.Int64N(int64(2*time.Second))); at < o.length+8*time.Second; at += 700 * time.Millisecond {
			applyAll(s, at, known, o.registry(at), true)
			s.Expire(at)
			least = min(least, len(ids(s)))
		}
		if least < o.endpoints {
			dropped++
		}
		if 3*least < 2*o.endpoints {
			t.Errorf("seed %d: %d of %d endpoints are used after an outage of %v", seed, least, o.endpoints, o.length)
		}
	}
	t.Logf("endpoints were left after %d of 4000 outages", dropped)
}

// BenchmarkJudgeGap measures what a read costs in the seconds after a loss of the registry, for two sizes.
func BenchmarkJudgeGap(b *testing.B) {
	for _, n := range []int{12000, 24000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := New()
			var list []Change
			for i := range n {
				list = append(list, written(ep(fmt.Sprint(i), false), uint64(i)))
			}
			s.Replace(0, list)
			s.MarkRegistryUnavailable()
			s.MarkRegistryAvailable(time.Second, uint64(n))
			for b.Loop() {
				s.JudgeGap(time.Second, list[:n-n/100], true)
			}
		})
	}
}
