package notice

import (
	"testing"
	"time"
)

// filledTracker returns a tracker of many endpoints that all name limits.
func filledTracker(endpoints uint64) *Tracker {
	tr := New()
	for name := range endpoints {
		tr.RecordResponse(0, 0, name, limited(2.5))
	}
	return tr
}

// targetEndpoints is the number of endpoints that a VM of the largest deployment knows.
const targetEndpoints = 12000

// BenchmarkRecordResponse measures recording one response, of an endpoint without notices and of one that names a
// limit while all others do as well.
func BenchmarkRecordResponse(b *testing.B) {
	b.Run("nothing", func(b *testing.B) {
		tr := New()
		for b.Loop() {
			tr.RecordResponse(time.Second, 0, endpoint, Notice{})
		}
	})
	b.Run("limit", func(b *testing.B) {
		tr := filledTracker(targetEndpoints)
		for b.Loop() {
			tr.RecordResponse(time.Second, 0, endpoint, limited(2.5))
		}
	})
}

// BenchmarkGossipRecords measures building the records of one note: recent ones, ten times a second, and
// those in rotation, once a second.
func BenchmarkGossipRecords(b *testing.B) {
	tr := filledTracker(targetEndpoints)
	for range maxSends {
		tr.Recent(time.Second, targetEndpoints)
	}
	b.Run("hot", func(b *testing.B) {
		for b.Loop() {
			tr.Recent(time.Second, 16)
		}
	})
	b.Run("turn", func(b *testing.B) {
		for b.Loop() {
			tr.NextInRotation(time.Second, 8)
		}
	})
}
