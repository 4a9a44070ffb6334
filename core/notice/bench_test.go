package notice

import (
	"testing"
	"time"
)

// filledTracker is a ledger of many endpoints that all name limits.
func filledTracker(endpoints uint64) *Tracker {
	l := New()
	for name := range endpoints {
		l.RecordResponse(0, 0, name, limited(2.5))
	}
	return l
}

// targetEndpoints is how many endpoints a VM of the largest deployment knows.
const targetEndpoints = 12000

// BenchmarkRecordResponse is one answer, of an endpoint that says nothing and of one that names a limit beside all others.
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

// BenchmarkGossipRecords is the records of one note, of those that come ten times a second and of those once a second.
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
