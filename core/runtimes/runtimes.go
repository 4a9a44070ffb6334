// Package runtimes estimates how long the runs of a route take from the latest ones. A VM that shuts down uses it to
// tell the requests that it can still serve from those that it would cut off: record each complete run, and ask for
// the time that the next one needs.
package runtimes

import (
	"slices"
	"sync"
	"time"
)

const (
	// latestRuns is how many runs are kept of a route, enoughRuns how many tell something.
	latestRuns = 32
	enoughRuns = 4
	// maxRoutes bounds the routes that are known; of a configuration with more, those forgotten begin anew.
	maxRoutes = 4096
	// repeatableShare is the share of the latest runs that ended within the time which a repeatable run needs.
	repeatableShare = 0.75
	// reserveDivisor gives the reserve of a lossy run, as a part of the longest one.
	reserveDivisor = 4
	// overhead is what a request takes beside its run: the ways to the endpoint and to the caller.
	overhead = 100 * time.Millisecond
)

// Risk says what happens if a run is cut off.
type Risk int

// Risks of a run.
const (
	// Repeatable: its caller is told so, and may send the request again.
	Repeatable Risk = iota
	// Lossy: it may not run again, or its caller has a part of the response.
	Lossy
)

// History keeps how long the latest complete runs of each route took. Its zero value is empty. It is safe for
// concurrent use.
type History struct {
	mu     sync.Mutex
	routes map[string]*runs
}

// runs are the latest runs of a route, in ms; next is the place of the next one.
type runs struct {
	took [latestRuns]uint32
	n    int
	next int
}

// Record records how long a complete run of a route took.
func (h *History) Record(route string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.routes[route]
	if r == nil {
		if h.routes == nil || len(h.routes) >= maxRoutes {
			h.routes = make(map[string]*runs)
		}
		r = &runs{}
		h.routes[route] = r
	}
	r.took[r.next] = uint32(took.Milliseconds())
	r.next = (r.next + 1) % latestRuns
	r.n = min(r.n+1, latestRuns)
}

// Needed returns the time within which a run of a route is likely to end. Until enough runs were recorded it is at least
// unknown, the time that the caller gives.
func (h *History) Needed(route string, risk Risk, unknown time.Duration) time.Duration {
	latest := h.latest(route)
	if len(latest) == 0 {
		return unknown
	}
	slices.Sort(latest)
	longest := latest[len(latest)-1]
	longest += longest/reserveDivisor + overhead
	switch {
	case len(latest) < enoughRuns:
		return max(unknown, longest)
	case risk == Lossy:
		return longest
	}
	return latest[int(repeatableShare*float64(len(latest)-1))] + overhead
}

// latest returns how long the latest runs of a route took.
func (h *History) latest(route string) []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.routes[route]
	if r == nil {
		return nil
	}
	list := make([]time.Duration, r.n)
	for i := range list {
		list[i] = time.Duration(r.took[i]) * time.Millisecond
	}
	return list
}
