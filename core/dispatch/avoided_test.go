package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/members"
)

// Guards against a placer that refuses requests it could place, since those of VMs that reach none of the
// endpoints wait beside them. Load: 50 requests a second of each kind at endpoints that take four
// times as many.
func TestJobsWithoutUsableEndpointDelayNoOthers(t *testing.T) {
	const interval = 20 * time.Millisecond
	is := is.New(t)
	s := New("vm", "a")
	var list []*members.Endpoint
	var avoided []uint64
	for i := range 4 {
		ep := &members.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 4}
		list = append(list, ep)
		avoided = append(avoided, EndpointHash(ep.Key()))
	}
	s.SetEndpoints(0, "s", list, false)
	refused := map[bool]int{}
	unusable := make(map[uint64]bool)
	arrived := make(map[uint64]time.Duration)
	var longest time.Duration
	const end = 10 * time.Second
	for now := time.Duration(0); now < end+time.Second; now += interval {
		var decisions []Decision
		for i, avoids := range [][]uint64{avoided, nil} {
			if now >= end {
				break
			}
			handle := 2*uint64(now/interval) + uint64(i) + 1
			unusable[handle], arrived[handle] = avoids != nil, now
			decisions = append(decisions, s.Submit(now, Job{
				Handle: handle, Service: "s", Objective: now + 300*time.Millisecond, AbandonAt: now + 4*time.Second, Avoided: avoids, Remote: true,
			})...)
		}
		for _, d := range append(decisions, s.Tick(now)...) {
			if d.Endpoint != nil {
				s.EndRun(now, d.Handle, Answered)
				continue
			}
			refused[unusable[d.Handle]]++
			longest = max(longest, now-arrived[d.Handle])
		}
	}
	t.Logf("%d refused that no endpoint may run, after %v at most, and %d others", refused[true], longest, refused[false])
	is.Equal(refused[false], 0)
	is.Equal(refused[true], int(end/interval))
	is.True(longest <= 500*time.Millisecond)
}

// BenchmarkExcludedJobs measures what a request costs a placer of 128 endpoints while 30 requests wait that
// no endpoint may run.
func BenchmarkExcludedJobs(b *testing.B) {
	s := New("vm", "a")
	var list []*members.Endpoint
	var avoided []uint64
	for i := range 128 {
		ep := &members.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 4}
		list = append(list, ep)
		avoided = append(avoided, EndpointHash(ep.Key()))
	}
	s.SetEndpoints(0, "s", list, false)
	for h := range uint64(30) {
		s.Submit(0, Job{Handle: h + 1, Service: "s", Objective: time.Second, AbandonAt: time.Second, Avoided: avoided, Remote: true})
	}
	for h := uint64(100); b.Loop(); h++ {
		s.Submit(0, Job{Handle: h, Service: "s", Objective: time.Second, AbandonAt: time.Second})
		s.EndRun(0, h, Answered)
	}
}
