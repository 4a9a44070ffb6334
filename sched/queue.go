package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivefield/chivefield/request"
)

// waiting is a request in the queue.
type waiting struct {
	handle  uint64
	spec    request.Spec
	arrived time.Duration
	// urgentAt is when the request becomes urgent, latestStart when it can no
	// longer be completed in time.
	urgentAt, latestStart time.Duration
	// deferred is set if the request could run now and waits for a cheaper
	// endpoint. It must not block lower tiers from capacity that it does not
	// use.
	deferred bool
	// yield is the state of its request for capacity to the peers.
	yield yieldState
	// reserved is the endpoint on which capacity was freed for it.
	reserved string
}

// queue holds the waiting requests by tier and organisation. Within a tier, the
// organisation with the least service relative to its weight comes first, so
// that a large one cannot starve a small one; within an organisation, the
// earliest deadline comes first.
type queue struct {
	tiers []*tierQueue
	count int
}

type tierQueue struct {
	tier request.Tier
	orgs []*orgQueue
}

type orgQueue struct {
	name string
	// served is the service given to the organisation, in tokens divided by its
	// weight.
	served float64
	items  []*waiting
}

func (q *queue) tier(t request.Tier) *tierQueue {
	i, ok := slices.BinarySearchFunc(q.tiers, t, func(tq *tierQueue, t request.Tier) int { return cmp.Compare(tq.tier, t) })
	if !ok {
		q.tiers = slices.Insert(q.tiers, i, &tierQueue{tier: t})
	}
	return q.tiers[i]
}

func (tq *tierQueue) org(name string) *orgQueue {
	i, ok := slices.BinarySearchFunc(tq.orgs, name, func(o *orgQueue, n string) int { return cmp.Compare(o.name, n) })
	if !ok {
		tq.orgs = slices.Insert(tq.orgs, i, &orgQueue{name: name})
	}
	return tq.orgs[i]
}

// add queues a request. An organisation that was idle starts at the level of
// the least served one; otherwise it could claim all the time it did not use.
func (q *queue) add(w *waiting) {
	tq := q.tier(w.spec.Tier)
	o := tq.org(w.spec.Key.Organisation)
	if len(o.items) == 0 {
		o.served = max(o.served, tq.leastServed())
	}
	i, _ := slices.BinarySearchFunc(o.items, w.spec.Deadline, func(x *waiting, d time.Duration) int {
		return cmp.Compare(x.spec.Deadline, d+1)
	})
	o.items = slices.Insert(o.items, i, w)
	q.count++
}

func (tq *tierQueue) leastServed() float64 {
	least, found := 0.0, false
	for _, o := range tq.orgs {
		if len(o.items) > 0 && (!found || o.served < least) {
			least, found = o.served, true
		}
	}
	return least
}

func (q *queue) remove(w *waiting) {
	o := q.tier(w.spec.Tier).org(w.spec.Key.Organisation)
	if i := slices.Index(o.items, w); i >= 0 {
		o.items = slices.Delete(o.items, i, i+1)
		q.count--
	}
}

// chargeOrganisation adds the cost of a request to its organisation's service.
func (q *queue) chargeOrganisation(s *request.Spec) {
	o := q.tier(s.Tier).org(s.Key.Organisation)
	o.served += float64(s.PromptTokens+s.OutputTokens+1) / float64(max(1, s.Weight))
}

// visitFairly visits the waiting requests of a tier, in fair order across
// organisations, until visit returns false. visit may remove the request it is
// given.
func (tq *tierQueue) visitFairly(visit func(*waiting) (more bool)) {
	orgs := slices.Clone(tq.orgs)
	pos := make([]int, len(orgs))
	lists := make([][]*waiting, len(orgs))
	for i, o := range orgs {
		lists[i] = slices.Clone(o.items)
	}
	for {
		best := -1
		for i, o := range orgs {
			if pos[i] < len(lists[i]) && (best < 0 || o.served < orgs[best].served) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		w := lists[best][pos[best]]
		pos[best]++
		if !visit(w) {
			return
		}
	}
}

// each visits all waiting requests, higher tiers first.
func (q *queue) each(visit func(*waiting)) {
	for _, tq := range q.tiers {
		for _, o := range tq.orgs {
			for _, w := range slices.Clone(o.items) {
				visit(w)
			}
		}
	}
}
