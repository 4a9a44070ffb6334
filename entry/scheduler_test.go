package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/routing"
)

// Guards against wake-ups of a VM that has nothing to do: fifty a second cost more than its requests
// in a large deployment. A request that waits is checked as often as ever, from its arrival on.
func TestIdleVMTicksSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		s := newSharedScheduler("vm", "a", 0, func() time.Duration { return time.Since(start) })
		var ticks atomic.Int32
		s.onDepartures = func([]members.Departure) { ticks.Add(1) }
		s.countInvalid, s.probe = func(int) {}, func(dispatch.Probe) {}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.run(ctx) }()
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(ticks.Load() <= 11)
		s.mu.Lock()
		s.sched.SetEndpoints(s.now(), "s", []*members.Endpoint{{ID: "e", Service: "s", Address: "10.0.0.1:1", Slots: 1}}, false)
		s.mu.Unlock()
		job := dispatch.Job{Handle: 1, Service: "s", Objective: s.now() + time.Minute, AbandonAt: s.now() + time.Minute, Deadline: s.now() + time.Minute}
		_, ok := s.place(ctx, job)
		is.True(ok)
		time.Sleep(2 * time.Second)
		ticks.Store(0)
		waiting, giveUp := context.WithTimeout(ctx, time.Second)
		defer giveUp()
		job.Handle = 2
		_, ok = s.place(waiting, job)
		is.True(!ok)
		synctest.Wait()
		is.True(ticks.Load() >= 49)
		cancel()
		is.NoErr(<-done)
	})
}

// Guards against the state of services that no configuration names any more growing for good, and against its loss
// while requests of theirs still wait or run.
func TestDroppedServiceIsForgottenOnceIdle(t *testing.T) {
	is := is.New(t)
	s := newSharedScheduler("vm", "a", 0, func() time.Duration { return time.Second })
	s.onDepartures = func([]members.Departure) {}
	s.filterUsable = func(_ time.Duration, _ string, list []*members.Endpoint) []*members.Endpoint { return list }
	document := func(services ...string) *routing.Table {
		doc := &routing.Document{}
		for _, name := range services {
			doc.Services = append(doc.Services, &routing.Service{Name: name})
		}
		return routing.NewTable(doc)
	}
	server := func(id string) members.Change {
		return members.Change{ID: id, Endpoint: &members.Endpoint{ID: id, Service: "old", Address: "10.0.0.1:1", Slots: 1}}
	}
	apply := func(c members.Change) { s.updateMembers(func(now time.Duration, m *members.Set) { m.Apply(now, c) }) }
	s.setTable(document("old", "new"))
	apply(server("e1"))
	apply(server("e2"))
	s.setTable(document("new"))
	job := dispatch.Job{Handle: 1, Service: "old", Objective: time.Minute, AbandonAt: time.Minute, Deadline: time.Minute}
	dec, ok := s.place(t.Context(), job)
	is.True(ok && dec.Endpoint != nil) // its requests go on
	used := dec.Endpoint.ID
	apply(members.Change{ID: "e1"})
	apply(members.Change{ID: "e2"})
	is.Equal(len(s.named), 2) // a request of it runs
	s.endRun(1, dispatch.Answered)
	apply(server("e3"))
	job.Handle = 2
	dec, ok = s.place(t.Context(), job)
	is.True(ok && dec.Endpoint != nil && dec.Endpoint.ID == "e3" && used != "e3")
	s.endRun(2, dispatch.Answered)
	apply(members.Change{ID: "e3"})
	is.Equal(s.named, map[string]bool{"new": false})
}
