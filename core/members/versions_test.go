package members

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against versions that are counted wrong as endpoints come, change, lapse and go.
func TestVersionsMatchKnownEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			c := Change{ID: fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "id"))}
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2:
				c.Endpoint = &Endpoint{ID: c.ID, Service: fmt.Sprint("s", rapid.IntRange(0, 1).Draw(t, "service")), Version: fmt.Sprint("v", rapid.IntRange(0, 1).Draw(t, "version"))}
				s.Apply(now, c)
			case 3:
				s.Apply(now, c)
			case 4:
				c.Unreadable = true
				s.Apply(now, c)
			case 5:
				s.MarkRegistryUnavailable()
			case 6:
				s.MarkRegistryAvailable(now, 0)
			default:
				s.Expire(now)
			}
			want := make(map[string]map[string]bool)
			for _, e := range s.known {
				if want[e.Service] == nil {
					want[e.Service] = make(map[string]bool)
				}
				want[e.Service][e.Version] = true
			}
			if got := s.Versions(); !reflect.DeepEqual(got, want) {
				t.Fatalf("%v, want %v", got, want)
			}
		}
	})
}

// BenchmarkVersions measures what it takes to find the versions of all services after a change.
func BenchmarkVersions(b *testing.B) {
	for _, n := range []int{3000, 12000, 24000} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			s := New()
			for i := range n {
				id := fmt.Sprint("e", i)
				s.Apply(0, Change{ID: id, Endpoint: &Endpoint{ID: id, Service: fmt.Sprint("s", i%30), Version: fmt.Sprint("v", i%2)}})
			}
			for b.Loop() {
				s.Versions()
			}
		})
	}
}
