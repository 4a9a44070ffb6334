package notice

import (
	"testing"
	"time"
)

// full is a ledger of many endpoints that all name limits.
func full(endpoints uint64) *Ledger {
	l := New()
	for name := range endpoints {
		l.Hear(0, 0, name, limited(2.5))
	}
	return l
}

// atTarget is how many endpoints a VM of the largest deployment knows.
const atTarget = 12000

// BenchmarkHear is one answer, of an endpoint that says nothing and of one that names a limit beside all others.
func BenchmarkHear(b *testing.B) {
	b.Run("nothing", func(b *testing.B) {
		l := New()
		for b.Loop() {
			l.Hear(time.Second, 0, endpoint, Notice{})
		}
	})
	b.Run("limit", func(b *testing.B) {
		l := full(atTarget)
		for b.Loop() {
			l.Hear(time.Second, 0, endpoint, limited(2.5))
		}
	})
}

// BenchmarkTell is the records of one note, of those that come ten times a second and of those once a second.
func BenchmarkTell(b *testing.B) {
	l := full(atTarget)
	for range mostTells {
		l.Hot(time.Second, atTarget)
	}
	b.Run("hot", func(b *testing.B) {
		for b.Loop() {
			l.Hot(time.Second, 16)
		}
	})
	b.Run("turn", func(b *testing.B) {
		for b.Loop() {
			l.Turn(time.Second, 8)
		}
	})
}
