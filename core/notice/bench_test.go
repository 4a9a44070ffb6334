package notice

import (
	"testing"
	"time"
)

// filledTracker returns a tracker of many endpoints that all name limits.
func filledTracker(endpoints uint64) *Tracker {
	l := New()
	for name := range endpoints {
		l.RecordResponse(0, 0, name, limited(2.5))
	}
	return l
}

// targetEndpoints is the number of endpoints that a VM of the largest deployment knows.
const targetEndpoints = 12000

// BenchmarkRecordResponse measures recording one response, of an endpoint without notices and of one that names a
// limit while all others do as well.
func BenchmarkRecordResponse(b *testing.B) {
	b.Run("nothing", func(b *testing.B) {
		l := New()
		for b.Loop() {
			l.RecordResponse(time.Second, 0, endpoint, Notice{})
		}
	})
	b.Run("limit", func(b *testing.B) {
		l := filledTracker(targetEndpoints)
		for b.Loop() {
			l.RecordResponse(time.Second, 0, endpoint, limited(2.5))
		}
	})
}

// BenchmarkGossipRecords measures building the records of one gossip message: recent ones, ten times a second, and
// those in rotation, once a second.
func BenchmarkGossipRecords(b *testing.B) {
	l := filledTracker(targetEndpoints)
	for range maxSends {
		l.Recent(time.Second, targetEndpoints)
	}
	b.Run("hot", func(b *testing.B) {
		for b.Loop() {
			l.Recent(time.Second, 16)
		}
	})
	b.Run("turn", func(b *testing.B) {
		for b.Loop() {
			l.NextInRotation(time.Second, 8)
		}
	})
}
