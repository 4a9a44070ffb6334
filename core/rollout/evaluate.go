package rollout

import "math"

// Evaluate compares two versions side by side: on the same routes in the same seconds, since
// requests are chosen for the new version by a count, not by their content.
//
// If the versions are alike, each bad response (a failure, or one that took far longer than the
// median of the old version) is one of the new version with the probability of that version's
// share of all responses. A product of likelihood ratios over the bad responses, averaged over
// several odds ratios, is then a supermartingale: the probability that it ever exceeds 1/a is at
// most a, however often it is evaluated. A window with fixed thresholds would have to be long for
// small shares and short for large ones, and would have an error probability with each
// evaluation.
//
// A version that is slightly worse is not bad: the null hypothesis allows toleratedOddsRatio.

const (
	// toleratedOddsRatio is the ratio of the odds of a bad response of the new version to those
	// of the old one up to which the new version is not bad: its caches are empty, and fewer
	// endpoints share its load.
	toleratedOddsRatio = 2
	// slowBucketOffset is how many buckets above the old version's median a time counts as slow:
	// about two and a half times the median.
	slowBucketOffset = 3
	// badThreshold is the logarithm of the evidence at which a version counts as bad. The error
	// probability is below e^-badThreshold for each comparison. With three routes and their sum,
	// four kinds, two tests and nine baselines that is below one in a thousand.
	badThreshold = 12.6
	// suspectThreshold is the logarithm of the evidence from which a step waits for more
	// evidence, while there is time. untrustedThreshold is that from which requests are not
	// shifted to the version even when there is no time left. For both, all endpoints of the new
	// version count: rolling a good version back costs a delay, while a bad version harms every
	// caller, and once the old endpoints have stopped there is no way back.
	suspectThreshold   = 2
	untrustedThreshold = 6.5
	// toleratedOldOddsRatio is the tolerated ratio to the odds among the old version's own
	// responses, which are known less precisely than the versions' shares of the bad responses.
	// minOldResponses is the number of responses of the old version that an estimate of these odds
	// needs.
	toleratedOldOddsRatio = 3
	minOldResponses       = 100
)

// testedOddsRatios are the alternatives that the test averages over, in multiples of the
// tolerated odds.
var testedOddsRatios = [...]float64{2, 4, 8, 16, 64}

// Finding is the strongest evidence against a version.
type Finding struct {
	Route string
	// Kind is the kind of comparison.
	Kind Kind
	// Strength is the logarithm of the evidence, without the endpoint of the new version that has
	// the most bad responses. Values of 0 and less are no evidence.
	Strength float64
	// NewBad of NewTotal responses of the new version were bad, OldBad of OldTotal of the old
	// one.
	NewBad, NewTotal, OldBad, OldTotal int
	// TotalStrength is the logarithm of the strongest evidence with all endpoints.
	TotalStrength float64
}

// Bad reports whether the version counts as bad.
func (f Finding) Bad() bool { return f.Strength >= badThreshold }

// Suspect reports whether the version may turn out to be bad.
func (f Finding) Suspect() bool { return f.TotalStrength >= suspectThreshold }

// Untrusted reports whether the evidence is too strong to shift requests to the version.
func (f Finding) Untrusted() bool { return f.TotalStrength >= untrustedThreshold }

// Kind is what a comparison counts as bad.
type Kind int

// Kinds of comparison.
const (
	// Failures: responses that are failures.
	Failures Kind = iota
	// Cuts: responses that are cut off or missing.
	Cuts
	// SlowFirstEvent: slow times to the first event.
	SlowFirstEvent
	// SlowAnswer: slow times to the end of the response.
	SlowAnswer
)

var kindNames = [...]string{"failures", "cuts", "slow_first_event", "slow_answer"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// sample is a number of bad responses out of a total.
type sample struct{ bad, total int }

func (s sample) plus(o sample) sample { return sample{s.bad + o.bad, s.total + o.total} }

func (s sample) minus(o sample) sample { return sample{s.bad - o.bad, s.total - o.total} }

// Evaluate returns the strongest evidence against the new version. endpoints is the number of
// endpoints that its requests go to. It tests each route, since a version may be bad on a single
// one, and all routes together, since a version that is bad on all is found sooner that way.
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

// AllRoutes is the route of a finding over all routes together.
const AllRoutes = "all"

// stronger returns the finding with the greater Strength, with the greater TotalStrength of both.
func (f Finding) stronger(other Finding) Finding {
	totalStrength := max(f.TotalStrength, other.TotalStrength)
	if other.Strength > f.Strength {
		f = other
	}
	f.TotalStrength = totalStrength
	return f
}

// routeEvidence is the evidence of one route. byEndpoint holds the counts of the new version.
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

// comparison holds the samples of both versions for one kind. byEndpoint holds those of the new
// version.
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

// finding tests a comparison. It leaves out the endpoint of the new version with the most bad
// responses, if there are others: a bad version is bad at each of its endpoints, a faulty
// endpoint is faulty alone.
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

// slowBucket returns the bucket from which a time counts as slow.
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

// logEvidence returns the logarithm of the evidence that the new version gives bad responses more
// often than tolerated. Where bad responses are rare, it tests which version gave them. Where the
// old version gives many, as on a busy machine, that test alone would hide a new version that
// gives only bad responses; so the share of bad responses among its own is tested as well.
func logEvidence(newVersion, oldVersion sample) float64 {
	if newVersion.bad == 0 || newVersion.total == 0 || oldVersion.total == 0 {
		return 0
	}
	byVersion := logLikelihoodRatio(toleratedOddsRatio*float64(newVersion.total)/float64(oldVersion.total), newVersion.bad, oldVersion.bad)
	if oldVersion.total < minOldResponses {
		return byVersion
	}
	return max(byVersion, logLikelihoodRatio(toleratedOldOddsRatio*oldVersion.odds(), newVersion.bad, newVersion.total-newVersion.bad))
}

// odds returns the odds of a bad response, estimated slightly above the observed ones.
func (s sample) odds() float64 { return float64(s.bad+1) / float64(s.total-s.bad+1) }

// logLikelihoodRatio returns the logarithm of the likelihood ratio of hits and misses against the
// tolerated odds of a hit, averaged over testedOddsRatios.
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
