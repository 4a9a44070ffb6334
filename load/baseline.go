package load

import (
	"fmt"
	"time"

	"github.com/chivefield/chivefield/engine"
	"github.com/chivefield/chivefield/request"
)

// baseline sends each request at once, without tiers, claims or a queue. It
// takes the endpoints in turn, or the one whose last report shows least load.
type baseline struct {
	s     *sim
	least bool
	next  []int
	// reported is the load of each engine at reportedAt.
	reported   []int
	reportedAt time.Duration
	sent       int
}

func newBaseline(s *sim, least bool) *baseline {
	return &baseline{s: s, least: least, next: make([]int, len(s.sc.domains)), reported: make([]int, len(s.engines)), reportedAt: -reportLag}
}

// Arrive implements Policy.
func (b *baseline) Arrive(_ time.Duration, vm int, a *arrival, _ int) {
	b.sent++
	r := &run{a: a, vm: vm, endpoint: -1, stream: fmt.Sprint(b.sent)}
	if !a.kind.plain {
		r.endpoint = b.pick(vm)
	}
	b.s.dispatch(r)
}

func (b *baseline) pick(vm int) int {
	if !b.least {
		b.next[vm] = (b.next[vm] + 1) % len(b.s.engines)
		return b.next[vm]
	}
	best := (b.sent + vm) % len(b.reported)
	for i, load := range b.reported {
		if load < b.reported[best] {
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
	if !b.s.killed[r.vm] {
		b.s.finish(r.a, request.Answered)
	}
}

// Every implements Policy.
func (b *baseline) Every(now time.Duration) {
	if now < b.reportedAt+reportLag {
		return
	}
	b.reportedAt = now
	for i, e := range b.s.engines {
		running, waiting := e.Load()
		b.reported[i] = running + waiting
	}
}

// Cache implements Policy.
func (b *baseline) Cache(time.Duration, string, engine.CacheEvent, bool) {}

// Kill implements Policy.
func (b *baseline) Kill(time.Duration, int) {}

// Cut implements Policy.
func (b *baseline) Cut(time.Duration, bool) {}
