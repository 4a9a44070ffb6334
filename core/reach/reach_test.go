package reach

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const known = 12

func hashes(n int) []uint64 {
	var list []uint64
	for i := range n {
		list = append(list, uint64(i+1))
	}
	return list
}

// Guards against a VM that takes the loss of its own link for the end of each endpoint.
func TestLinkIsLostWhenDifferentEndpointsFail(t *testing.T) {
	is := is.New(t)
	var d Detector
	is.Equal(d.RecordOpened(time.Second), Unchanged)
	is.Equal(d.RecordFailed(3*time.Second, 2800*time.Millisecond, 1, known), Unchanged)
	is.Equal(d.RecordFailed(3*time.Second, 2800*time.Millisecond, 1, known), Unchanged)
	is.Equal(d.RecordFailed(3*time.Second, 2800*time.Millisecond, 2, known), Unchanged)
	is.True(!d.Lost())
	due := d.Due(3*time.Second, hashes(known), 5)
	is.Equal(len(due), 1)
	is.Equal(d.RecordFailed(3200*time.Millisecond, 3*time.Second, due[0], known), Lost)
	is.True(d.Lost())
	is.Equal(d.RecordOpened(9*time.Second), Regained)
	is.True(!d.Lost())
}

// Guards against a link that counts as lost although an endpoint was reached since the failed attempts
// were begun.
func TestReachedEndpointRefutesEarlierFailures(t *testing.T) {
	is := is.New(t)
	var d Detector
	d.RecordOpened(2900 * time.Millisecond)
	for e := range uint64(3) {
		is.Equal(d.RecordFailed(3*time.Second, 2800*time.Millisecond, e, known), Unchanged)
	}
	is.Equal(d.Failures(), 0)
}

// Guards against endpoints that end one after the other, minutes apart, and are taken for a lost link.
func TestOldFailuresDoNotCount(t *testing.T) {
	is := is.New(t)
	var d Detector
	for e := range uint64(10) {
		now := time.Duration(e) * failureTTL * 2
		is.Equal(d.RecordFailed(now, now-100*time.Millisecond, e, known), Unchanged)
	}
}

// Guards against a crash of two endpoints that is taken for a lost link, since nobody happens to open a
// connection to another: some are opened to tell the two apart, and not with each failure.
func TestFailuresAreCompared(t *testing.T) {
	is := is.New(t)
	var d Detector
	now := 5 * time.Second
	d.RecordFailed(now, now, 1, known)
	due := d.Due(now, hashes(known), 7)
	is.Equal(len(due), failuresToLose-1)
	for _, e := range due {
		is.True(e != 1)
	}
	d.RecordFailed(now, now, 2, known)
	is.Equal(len(d.Due(now+comparisonInterval/2, hashes(known), 3)), 0)
	d.RecordOpened(now + time.Millisecond)
	is.Equal(len(d.Due(now+2*comparisonInterval, hashes(known), 3)), 0)
	is.True(!d.Lost())
}

// Guards against a VM that does not notice that its link is back, or opens many connections to find out.
func TestLostLinkIsTried(t *testing.T) {
	is := is.New(t)
	var d Detector
	d.RecordFailed(time.Second, time.Second, 1, known)
	for _, e := range d.Due(time.Second, hashes(known), 3) {
		d.RecordFailed(time.Second, time.Second, e, known)
	}
	is.True(d.Lost())
	tried := 0
	for now := time.Second; now < 11*time.Second; now += 20 * time.Millisecond {
		tried += len(d.Due(now, hashes(known), tried))
	}
	is.True(tried >= 18 && tried <= 20)
}

// Guards against a VM whose endpoints end one after the other under a request, and that takes its link for
// lost: an endpoint with no request on its way there must fail too.
func TestEndpointsThatEndUnderRequestsAreNoLostLink(t *testing.T) {
	is := is.New(t)
	var d Detector
	now := time.Second
	for e := range uint64(9) {
		now += 80 * time.Millisecond
		is.Equal(d.RecordFailed(now, now, e+1, known), Unchanged)
		for range d.Due(now, hashes(known), 10) {
			d.RecordOpened(now)
		}
	}
	is.True(!d.Lost())
}

// Guards against a deployment of few endpoints whose VMs never notice a lost link, or notice one where a
// single endpoint is down.
func TestFewEndpoints(t *testing.T) {
	is := is.New(t)
	var d Detector
	is.Equal(d.RecordFailed(time.Second, time.Second, 1, 1), Unchanged)
	d = Detector{}
	is.Equal(d.RecordFailed(time.Second, time.Second, 1, 2), Unchanged)
	is.Equal(d.RecordFailed(time.Second, time.Second, 2, 2), Lost)
}

// Whatever happens, a link is lost only after enough different endpoints have failed since one was last
// reached, and never asks for endpoints that do not exist or that have just failed.
func TestLossNeedsEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Detector
		since := make(map[uint64]bool)
		now := time.Duration(0)
		n := rapid.IntRange(1, 8).Draw(t, "endpoints")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			endpoint := uint64(rapid.IntRange(1, n).Draw(t, "endpoint"))
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				d.RecordOpened(now)
				clear(since)
				if d.Lost() {
					t.Fatal("lost although an endpoint was reached")
				}
			case 1:
				since[endpoint] = true
				if d.RecordFailed(now, now, endpoint, n) == Lost && len(since) < min(n, failuresToLose) {
					t.Fatalf("lost after %d of %d endpoints", len(since), n)
				}
			case 2:
				for _, e := range d.Due(now, hashes(n), rapid.IntRange(0, 100).Draw(t, "start")) {
					if e < 1 || e > uint64(n) || !d.Lost() && d.hasFailed(e) {
						t.Fatalf("endpoint %d", e)
					}
				}
			}
		}
	})
}
