package rollout

import (
	"maps"
	"math"
	"time"
)

// buckets is the number of buckets of a Histogram. Each is half a power of two wide, from
// firstBucket on.
const (
	buckets     = 26
	firstBucket = time.Millisecond
)

// Histogram counts durations in buckets whose bounds grow by a factor of about 1.4.
type Histogram [buckets]uint32

// bucketOf returns the bucket of a duration.
func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	b := 2 * math.Log2(float64(d)/float64(firstBucket))
	return min(buckets-1, int(b))
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) { h[bucketOf(d)]++ }

// Total returns the number of durations counted.
func (h *Histogram) Total() int { return h.CountFrom(0) }

// CountFrom returns the number of durations in a bucket and those above.
func (h *Histogram) CountFrom(bucket int) int {
	n := 0
	for _, c := range h[min(bucket, buckets):] {
		n += int(c)
	}
	return n
}

// MedianBucket returns the bucket of the median.
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

// saturatingSub returns a-b, or 0 if b is greater.
func saturatingSub(a, b uint32) uint32 { return a - min(a, b) }

// Counts are the responses of one group. They only grow.
type Counts struct {
	Answers uint32
	// Failures are responses that report a failure or cannot be trusted, Cuts requests whose
	// connection broke or that got no response. They are compared separately: a broken link cuts
	// off the requests to one endpoint, whatever its version, and would hide a version that
	// responds with failures.
	Failures, Cuts uint32
	// FirstEvent are the times to the first event of a stream, WholeAnswer those to the end of a
	// response. They exclude endpoints that had just started.
	FirstEvent, WholeAnswer Histogram
}

// max sets each count to the maximum of both: the later report of a source has the higher
// counts.
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

// Group identifies responses that are counted together: those of a route by the old version, or
// by one endpoint of the new version, since a single failing endpoint does not make a version
// bad.
type Group struct {
	Route string
	// Endpoint is the number of an endpoint of the new version (AssignSlots), 0 for the old
	// version.
	Endpoint uint64
}

// Evidence maps groups to their counts.
type Evidence map[Group]Counts

// Update applies a change to the counts of a group.
func (e Evidence) Update(g Group, change func(*Counts)) {
	c := e[g]
	change(&c)
	e[g] = c
}

// Add adds the counts of other evidence.
func (e Evidence) Add(other Evidence) {
	for g, c := range other {
		e.Update(g, func(sum *Counts) { sum.add(c) })
	}
}

// Since returns the counts added since earlier evidence. While requests shift, all responses of
// the old version are included, because it gets no further requests to compare with.
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

// Totals returns the responses of the new version, those of them that failed or were cut off, and
// the responses of the old version.
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

// LongestResponse returns the longest time that a response of either version took, rounded up to
// the end of its bucket.
func (e Evidence) LongestResponse() time.Duration {
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

// Aggregator merges the evidence of several sources: of processes, or of the VMs of a failure
// domain. It keeps the evidence of sources that are gone.
type Aggregator struct {
	sources map[string]Evidence
}

// NewAggregator returns an empty aggregator.
func NewAggregator() *Aggregator { return &Aggregator{sources: make(map[string]Evidence)} }

// Merge merges the cumulative evidence of a source. It is idempotent and commutative.
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

// Sum returns the sum of the evidence of all sources.
func (a *Aggregator) Sum() Evidence {
	sum := make(Evidence)
	for _, e := range a.sources {
		sum.Add(e)
	}
	return sum
}
