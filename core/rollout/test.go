package rollout

import "math"

// Test compares two versions side by side: the same routes in the same seconds, since
// requests are chosen for the new version by a count, not by what they are.
//
// Of the answers that are bad (failures; or times far above the median of the old version)
// each is one of the new version with the probability of that version's part of all answers,
// if the versions are alike. A product of likelihood ratios over the bad answers, averaged
// over several degrees of badness, is then a supermartingale: the chance that it ever exceeds
// 1/a is at most a, however often one looks. A window with fixed thresholds has to be long
// for small parts and short for large ones, and errs each time that one looks.
//
// A version that is a little worse is not bad: the null hypothesis allows tolerated times
// the odds.

const (
	// toleratedOddsRatio are the odds of a bad answer, against those of the old version, up to which
	// a version is not bad: its caches are empty, and fewer endpoints share its load.
	toleratedOddsRatio = 2
	// slowBucketOffset above the old version's median a time counts as slow: about two and a half times.
	slowBucketOffset = 3
	// badThreshold is the logarithm of the evidence against a version at which it counts as
	// bad: the chance of an error is below one in e^badThreshold for each comparison. With three
	// routes and all, four kinds, two tests and nine beginnings that is below one in a thousand.
	badThreshold = 12.6
	// suspectThreshold is that from which a step waits for more evidence, while there is time, and
	// doubtAt that at which the version is not trusted once there is none. The answers of all
	// its endpoints count: rolling a good version back costs a delay, moving to a bad one
	// harms every caller, and once the old endpoints have stopped nothing brings them back.
	suspectThreshold   = 2
	untrustedThreshold = 6.5
	// toleratedOldOddsRatio are the odds that are tolerated against those of the old version's own
	// answers, which are known less well than which version gave the bad ones. leastOld
	// answers of the old version are wanted to say how many bad ones are usual.
	toleratedOldOddsRatio = 3
	minOldAnswers         = 100
)

// testedOddsRatios are the odds, in multiples of the tolerated ones, that the test looks for.
var testedOddsRatios = [...]float64{2, 4, 8, 16, 64}

// Finding is the strongest evidence against a version.
type Finding struct {
	Route string
	// Kind says what is compared.
	Kind Kind
	// Strength is the logarithm of the evidence, without the endpoint of the new version with
	// the most bad answers; 0 and less says nothing.
	Strength float64
	// Bad answers of Total, by the new and the old version.
	NewBad, NewTotal, OldBad, OldTotal int
	// TotalStrength is the logarithm of the strongest evidence if all endpoints count.
	TotalStrength float64
}

// Bad says whether the version counts as bad.
func (f Finding) Bad() bool { return f.Strength >= badThreshold }

// Suspect says whether the version may turn out as bad.
func (f Finding) Suspect() bool { return f.TotalStrength >= suspectThreshold }

// Untrusted says whether so much speaks against the version that nothing may be moved to it.
func (f Finding) Untrusted() bool { return f.TotalStrength >= untrustedThreshold }

// Kind is what is compared between versions.
type Kind int

// Kinds of comparisons.
const (
	// Failures: answers that are failures.
	Failures Kind = iota
	// Cuts: answers that break off or do not come.
	Cuts
	// SlowFirstEvent: times to the first event.
	SlowFirstEvent
	// SlowAnswer: times to the end of the answer.
	SlowAnswer
)

var kindNames = [...]string{"failures", "cuts", "slow_first_event", "slow_answer"}

// String names the kind.
func (k Kind) String() string { return kindNames[k] }

// sample is bad answers of a number.
type sample struct{ bad, total int }

func (s sample) plus(o sample) sample { return sample{s.bad + o.bad, s.total + o.total} }

func (s sample) minus(o sample) sample { return sample{s.bad - o.bad, s.total - o.total} }

// Evaluate returns the strongest evidence against the new version, whose requests go to a number
// of endpoints. It looks at each route, since a version may be bad on one alone, and at all
// together, since one that is bad everywhere is found sooner so.
func Evaluate(e Evidence, endpoints int) Finding {
	var worst Finding
	routes := groupByRoute(e)
	for kind := Failures; kind <= SlowAnswer; kind++ {
		all := newComparison(kind)
		for name, r := range routes {
			c := r.compare(kind)
			all.add(c)
			worst = worst.stronger(c.finding(name, endpoints))
		}
		worst = worst.stronger(all.finding(AllRoutes, endpoints))
	}
	return worst
}

// AllRoutes is the route of a finding that holds for all together.
const AllRoutes = "all"

// stronger is the finding with the stronger evidence, with the greater doubt of both.
func (f Finding) stronger(other Finding) Finding {
	doubt := max(f.TotalStrength, other.TotalStrength)
	if other.Strength > f.Strength {
		f = other
	}
	f.TotalStrength = doubt
	return f
}

// routeEvidence is what was seen on one route; fresh is by endpoint.
type routeEvidence struct {
	old        Counts
	byEndpoint map[uint64]Counts
}

func groupByRoute(e Evidence) map[string]*routeEvidence {
	m := make(map[string]*routeEvidence)
	for g, c := range e {
		r := m[g.Route]
		if r == nil {
			r = &routeEvidence{byEndpoint: make(map[uint64]Counts)}
			m[g.Route] = r
		}
		if g.Endpoint == 0 {
			r.old = c
			continue
		}
		r.byEndpoint[g.Endpoint] = c
	}
	return m
}

// comparison is the bad answers of one kind by both versions; fresh is by endpoint.
type comparison struct {
	kind       Kind
	old        sample
	byEndpoint map[uint64]sample
}

func newComparison(kind Kind) *comparison {
	return &comparison{kind: kind, byEndpoint: make(map[uint64]sample)}
}

func (c *comparison) add(other *comparison) {
	c.old = c.old.plus(other.old)
	for endpoint, s := range other.byEndpoint {
		c.byEndpoint[endpoint] = c.byEndpoint[endpoint].plus(s)
	}
}

func (r *routeEvidence) compare(kind Kind) *comparison {
	c, slow := newComparison(kind), r.slowBucket(kind)
	c.old = kind.sample(&r.old, slow)
	for endpoint, counts := range r.byEndpoint {
		c.byEndpoint[endpoint] = kind.sample(&counts, slow)
	}
	return c
}

// finding tests a comparison. The endpoint of the new version with the most bad answers is
// left out, if there are others: a version is bad at each of its endpoints, an endpoint that
// is sick is sick alone.
func (c *comparison) finding(route string, endpoints int) Finding {
	var newVersion, worst sample
	for _, s := range c.byEndpoint {
		newVersion = newVersion.plus(s)
		if s.bad > worst.bad {
			worst = s
		}
	}
	f := Finding{Route: route, Kind: c.kind, NewBad: newVersion.bad, NewTotal: newVersion.total, OldBad: c.old.bad, OldTotal: c.old.total}
	f.TotalStrength = logEvidence(newVersion, c.old)
	if endpoints > 1 {
		newVersion = newVersion.minus(worst)
	}
	f.Strength = logEvidence(newVersion, c.old)
	return f
}

// slowBucket is the bucket from which a time counts as slow.
func (r *routeEvidence) slowBucket(kind Kind) int {
	switch kind {
	case SlowFirstEvent:
		return r.old.FirstEvent.MedianBucket() + slowBucketOffset
	case SlowAnswer:
		return r.old.WholeAnswer.MedianBucket() + slowBucketOffset
	}
	return 0
}

func (k Kind) sample(c *Counts, slowBucket int) sample {
	switch k {
	case Cuts:
		return sample{int(c.Cuts), int(c.Answers)}
	case SlowFirstEvent:
		return sample{c.FirstEvent.CountFrom(slowBucket), c.FirstEvent.Total()}
	case SlowAnswer:
		return sample{c.WholeAnswer.CountFrom(slowBucket), c.WholeAnswer.Total()}
	}
	return sample{int(c.Failures), int(c.Answers)}
}

// logEvidence is the logarithm of the evidence that the new version gives bad answers more often than
// tolerated. Where bad answers are rare what counts is which version gave them. Where the old
// version gives many, as on a machine that is busy, that alone hides a new one that gives
// nothing else; so the share of its own answers that are bad is tested, too.
func logEvidence(newVersion, oldVersion sample) float64 {
	if newVersion.bad == 0 || newVersion.total == 0 || oldVersion.total == 0 {
		return 0
	}
	byVersion := logLikelihoodRatio(toleratedOddsRatio*float64(newVersion.total)/float64(oldVersion.total), newVersion.bad, oldVersion.bad)
	if oldVersion.total < minOldAnswers {
		return byVersion
	}
	return max(byVersion, logLikelihoodRatio(toleratedOldOddsRatio*oldVersion.odds(), newVersion.bad, newVersion.total-newVersion.bad))
}

// odds are those of a bad answer, a little above what was seen.
func (s sample) odds() float64 { return float64(s.bad+1) / float64(s.total-s.bad+1) }

// logLikelihoodRatio is the logarithm of the likelihood logLikelihoodRatio of hits and misses, averaged over degrees of
// badness, against the odds of a hit that are tolerated.
func logLikelihoodRatio(odds float64, hits, misses int) float64 {
	null := odds / (1 + odds)
	maxLog, sum := math.Inf(-1), 0.0
	var logs [len(testedOddsRatios)]float64
	for i, b := range testedOddsRatios {
		p := b * odds / (1 + b*odds)
		logs[i] = float64(hits)*math.Log(p/null) + float64(misses)*math.Log((1-p)/(1-null))
		maxLog = max(maxLog, logs[i])
	}
	for _, l := range logs {
		sum += math.Exp(l - maxLog)
	}
	return maxLog + math.Log(sum/float64(len(testedOddsRatios)))
}
