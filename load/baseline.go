package load

import (
	"fmt"
	"time"

	"github.com/chivefield/chivefield/engine"
	"github.com/chivefield/chivefield/request"
)

// baseline dispatches each request immediately, without tiers, claims or a queue.
// It picks endpoints round-robin or by the lowest load in their latest reports.
type baseline struct {
	s            *sim
	leastLoaded  bool
	nextEndpoint []int
	// reportedLoad is the load of each engine at reportedAt.
	reportedLoad []int
	reportedAt   time.Duration
	sentCount    int
}

func newBaseline(s *sim, leastLoaded bool) *baseline {
	return &baseline{s: s, leastLoaded: leastLoaded, nextEndpoint: make([]int, len(s.scenario.domains)), reportedLoad: make([]int, len(s.engines)), reportedAt: -reportLag}
}

// Arrive implements Policy.
func (b *baseline) Arrive(_ time.Duration, vm int, a *arrival, _ int) {
	b.sentCount++
	r := &run{a: a, vm: vm, endpoint: -1, stream: fmt.Sprint(b.sentCount)}
	if !a.kind.plain {
		r.endpoint = b.pickEndpoint(vm)
	}
	b.s.dispatch(r)
}

func (b *baseline) pickEndpoint(vm int) int {
	if !b.leastLoaded {
		b.nextEndpoint[vm] = (b.nextEndpoint[vm] + 1) % len(b.s.engines)
		return b.nextEndpoint[vm]
	}
	best := (b.sentCount + vm) % len(b.reportedLoad)
	for i, load := range b.reportedLoad {
		if load < b.reportedLoad[best] {
			best = i
		}
	}
	return best
}

// FirstToken implements Policy.
func (b *baseline) FirstToken(time.Duration, *run) {}

// Progress implements Policy.
func (b *baseline) Progress(time.Duration, *run, int) {}

// Done implements Policy.
func (b *baseline) Done(_ time.Duration, r *run) {
	if !b.s.killedVMs[r.vm] {
		b.s.recordOutcome(r.a, request.Answered)
	}
}

// Tick implements Policy.
func (b *baseline) Tick(now time.Duration) {
	if now < b.reportedAt+reportLag {
		return
	}
	b.reportedAt = now
	for i, e := range b.s.engines {
		running, waiting := e.Load()
		b.reportedLoad[i] = running + waiting
	}
}

// CacheEvent implements Policy.
func (b *baseline) CacheEvent(time.Duration, string, engine.CacheEvent, bool) {}

// KillVM implements Policy.
func (b *baseline) KillVM(time.Duration, int) {}

// SetPartition implements Policy.
func (b *baseline) SetPartition(time.Duration, bool) {}
