package rollout

import (
	"maps"
	"math"
	"time"
)

// buckets of a Histogram: each is half a power of two wide, from firstBucket on.
const (
	buckets     = 26
	firstBucket = time.Millisecond
)

// Histogram counts times, by buckets that each are about 1.4 times the one before.
type Histogram [buckets]uint32

// bucketOf is the bucket of a time.
func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	b := 2 * math.Log2(float64(d)/float64(firstBucket))
	return min(buckets-1, int(b))
}

// Observe counts a time.
func (h *Histogram) Observe(d time.Duration) { h[bucketOf(d)]++ }

// Total is the number of times counted.
func (h *Histogram) Total() int { return h.CountFrom(0) }

// CountFrom is the number of times in a bucket and those above.
func (h *Histogram) CountFrom(bucket int) int {
	n := 0
	for _, c := range h[min(bucket, buckets):] {
		n += int(c)
	}
	return n
}

// MedianBucket is the bucket of the median.
func (h *Histogram) MedianBucket() int {
	half, n := (h.Total()+1)/2, 0
	for b, c := range h {
		if n += int(c); n >= half {
			return b
		}
	}
	return buckets - 1
}

func (h *Histogram) max(other *Histogram) {
	for i := range h {
		h[i] = max(h[i], other[i])
	}
}

func (h *Histogram) add(other *Histogram) {
	for i := range h {
		h[i] += other[i]
	}
}

func (h *Histogram) subtract(other *Histogram) {
	for i := range h {
		h[i] = saturatingSub(h[i], other[i])
	}
}

// saturatingSub is the difference of two counts, of which the first should be the greater.
func saturatingSub(a, b uint32) uint32 { return a - min(a, b) }

// Counts are answers of one group. They only grow.
type Counts struct {
	Answers uint32
	// Failures are answers that say so or cannot be trusted, Cuts requests that broke off or
	// fell silent. They are compared apart: a broken link cuts off what goes to one endpoint,
	// whatever its version, and would hide a version that answers with failures.
	Failures, Cuts uint32
	// FirstEvent are the times to the first event of a stream, WholeAnswer those to the end of an
	// answer. Those of endpoints that had just started are left out.
	FirstEvent, WholeAnswer Histogram
}

// max takes the greater of each count: what another VM told later says more.
func (c *Counts) max(other Counts) {
	c.Answers, c.Failures, c.Cuts = max(c.Answers, other.Answers), max(c.Failures, other.Failures), max(c.Cuts, other.Cuts)
	c.FirstEvent.max(&other.FirstEvent)
	c.WholeAnswer.max(&other.WholeAnswer)
}

func (c *Counts) add(other Counts) {
	c.Answers += other.Answers
	c.Failures += other.Failures
	c.Cuts += other.Cuts
	c.FirstEvent.add(&other.FirstEvent)
	c.WholeAnswer.add(&other.WholeAnswer)
}

func (c *Counts) subtract(other Counts) {
	c.Answers, c.Failures, c.Cuts = saturatingSub(c.Answers, other.Answers), saturatingSub(c.Failures, other.Failures), saturatingSub(c.Cuts, other.Cuts)
	c.FirstEvent.subtract(&other.FirstEvent)
	c.WholeAnswer.subtract(&other.WholeAnswer)
}

// Group names answers that are counted together: those of a route by the old version, or by
// one endpoint of the new version, since one endpoint that fails does not make a bad version.
type Group struct {
	Route string
	// Endpoint is the number of one of the new version (Slots), 0 for the old version.
	Endpoint uint64
}

// Evidence is what was seen, by group.
type Evidence map[Group]Counts

// Update adds an answer to its group.
func (e Evidence) Update(g Group, add func(*Counts)) {
	c := e[g]
	add(&c)
	e[g] = c
}

// Add adds what was seen elsewhere.
func (e Evidence) Add(other Evidence) {
	for g, c := range other {
		e.Update(g, func(sum *Counts) { sum.add(c) })
	}
}

// Since is what was added to earlier evidence. If requests move, all of the old version's
// answers count: it gets none any more to compare with.
func (e Evidence) Since(earlier Evidence, shifting bool) Evidence {
	added := make(Evidence, len(e))
	for g, c := range e {
		if g.Endpoint != 0 || !shifting {
			c.subtract(earlier[g])
		}
		added[g] = c
	}
	return added
}

// Totals are the answers of the new version, those of them that failed or were cut off, and the
// answers of the old one.
func (e Evidence) Totals() (answers, failures, old int) {
	for g, c := range e {
		if g.Endpoint == 0 {
			old += int(c.Answers)
			continue
		}
		answers += int(c.Answers)
		failures += int(c.Failures + c.Cuts)
	}
	return answers, failures, old
}

// LongestAnswer is the longest time that an answer took at either version, up to a bucket.
func (e Evidence) LongestAnswer() time.Duration {
	maxBucket := 0
	for _, c := range e {
		for b := buckets - 1; b > maxBucket; b-- {
			if c.WholeAnswer[b] > 0 {
				maxBucket = b
				break
			}
		}
	}
	return time.Duration(float64(firstBucket) * math.Exp2(float64(maxBucket+1)/2))
}

// Aggregator is the evidence of several sources: of processes, or of the VMs of a failure domain.
// A source that is gone keeps what it told.
type Aggregator struct {
	sources map[string]Evidence
}

// NewAggregator returns a ledger that knows nothing.
func NewAggregator() *Aggregator { return &Aggregator{sources: make(map[string]Evidence)} }

// Merge takes in what a source says it has seen since it began, in any order and however
// often.
func (a *Aggregator) Merge(source string, e Evidence) {
	known := a.sources[source]
	if known == nil {
		a.sources[source] = maps.Clone(e)
		return
	}
	for g, c := range e {
		known.Update(g, func(have *Counts) { have.max(c) })
	}
}

// Sum is the evidence of all sources together.
func (a *Aggregator) Sum() Evidence {
	sum := make(Evidence)
	for _, e := range a.sources {
		sum.Add(e)
	}
	return sum
}
