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
	// tolerated are the odds of a bad answer, against those of the old version, up to which
	// a version is not bad: its caches are empty, and fewer endpoints share its load.
	tolerated = 2
	// slowBuckets above the old version's median a time counts as slow: about two and a half times.
	slowBuckets = 3
	// convictAt is the logarithm of the evidence against a version at which it counts as
	// bad: the chance of an error is below one in e^convictAt for each comparison. With three
	// routes and all, four kinds, two tests and nine beginnings that is below one in a thousand.
	convictAt = 12.6
	// suspectAt is that from which a step waits for more evidence, while there is time, and
	// doubtAt that at which the version is not trusted once there is none. The answers of all
	// its endpoints count: rolling a good version back costs a delay, moving to a bad one
	// harms every caller, and once the old endpoints have stopped nothing brings them back.
	suspectAt = 2
	doubtAt   = 6.5
	// toleratedShare are the odds that are tolerated against those of the old version's own
	// answers, which are known less well than which version gave the bad ones. leastOld
	// answers of the old version are wanted to say how many bad ones are usual.
	toleratedShare = 3
	leastOld       = 100
)

// badness are the odds, in multiples of the tolerated ones, that the test looks for.
var badness = [...]float64{2, 4, 8, 16, 64}

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
	// Doubt is the logarithm of the strongest evidence if all endpoints count.
	Doubt float64
}

// Bad says whether the version counts as bad.
func (f Finding) Bad() bool { return f.Strength >= convictAt }

// Suspect says whether the version may turn out as bad.
func (f Finding) Suspect() bool { return f.Doubt >= suspectAt }

// Untrusted says whether so much speaks against the version that nothing may be moved to it.
func (f Finding) Untrusted() bool { return f.Doubt >= doubtAt }

// Kind is what is compared between versions.
type Kind int

// Kinds of comparisons.
const (
	// Failures: answers that are failures.
	Failures Kind = iota
	// Cuts: answers that break off or do not come.
	Cuts
	// SlowFirst: times to the first event.
	SlowFirst
	// SlowWhole: times to the end of the answer.
	SlowWhole
)

var kindNames = [...]string{"failures", "cuts", "slow_first_event", "slow_answer"}

// String names the kind.
func (k Kind) String() string { return kindNames[k] }

// sample is bad answers of a number.
type sample struct{ bad, total int }

func (s sample) plus(o sample) sample { return sample{s.bad + o.bad, s.total + o.total} }

func (s sample) minus(o sample) sample { return sample{s.bad - o.bad, s.total - o.total} }

// Test returns the strongest evidence against the new version, whose requests go to a number
// of endpoints. It looks at each route, since a version may be bad on one alone, and at all
// together, since one that is bad everywhere is found sooner so.
func Test(e Evidence, endpoints int) Finding {
	var worst Finding
	routes := byRoute(e)
	for kind := Failures; kind <= SlowWhole; kind++ {
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
	doubt := max(f.Doubt, other.Doubt)
	if other.Strength > f.Strength {
		f = other
	}
	f.Doubt = doubt
	return f
}

// routeEvidence is what was seen on one route; fresh is by endpoint.
type routeEvidence struct {
	old   Counts
	fresh map[uint64]Counts
}

func byRoute(e Evidence) map[string]*routeEvidence {
	m := make(map[string]*routeEvidence)
	for g, c := range e {
		r := m[g.Route]
		if r == nil {
			r = &routeEvidence{fresh: make(map[uint64]Counts)}
			m[g.Route] = r
		}
		if g.Endpoint == 0 {
			r.old = c
			continue
		}
		r.fresh[g.Endpoint] = c
	}
	return m
}

// comparison is the bad answers of one kind by both versions; fresh is by endpoint.
type comparison struct {
	kind  Kind
	old   sample
	fresh map[uint64]sample
}

func newComparison(kind Kind) *comparison {
	return &comparison{kind: kind, fresh: make(map[uint64]sample)}
}

func (c *comparison) add(other *comparison) {
	c.old = c.old.plus(other.old)
	for endpoint, s := range other.fresh {
		c.fresh[endpoint] = c.fresh[endpoint].plus(s)
	}
}

func (r *routeEvidence) compare(kind Kind) *comparison {
	c, slow := newComparison(kind), r.slowFrom(kind)
	c.old = kind.sample(&r.old, slow)
	for endpoint, counts := range r.fresh {
		c.fresh[endpoint] = kind.sample(&counts, slow)
	}
	return c
}

// finding tests a comparison. The endpoint of the new version with the most bad answers is
// left out, if there are others: a version is bad at each of its endpoints, an endpoint that
// is sick is sick alone.
func (c *comparison) finding(route string, endpoints int) Finding {
	var fresh, sickest sample
	for _, s := range c.fresh {
		fresh = fresh.plus(s)
		if s.bad > sickest.bad {
			sickest = s
		}
	}
	f := Finding{Route: route, Kind: c.kind, NewBad: fresh.bad, NewTotal: fresh.total, OldBad: c.old.bad, OldTotal: c.old.total}
	f.Doubt = strength(fresh, c.old)
	if endpoints > 1 {
		fresh = fresh.minus(sickest)
	}
	f.Strength = strength(fresh, c.old)
	return f
}

// slowFrom is the bucket from which a time counts as slow.
func (r *routeEvidence) slowFrom(kind Kind) int {
	switch kind {
	case SlowFirst:
		return r.old.First.Median() + slowBuckets
	case SlowWhole:
		return r.old.Whole.Median() + slowBuckets
	}
	return 0
}

func (k Kind) sample(c *Counts, slowFrom int) sample {
	switch k {
	case Cuts:
		return sample{int(c.Cuts), int(c.Answers)}
	case SlowFirst:
		return sample{c.First.From(slowFrom), c.First.Total()}
	case SlowWhole:
		return sample{c.Whole.From(slowFrom), c.Whole.Total()}
	}
	return sample{int(c.Failures), int(c.Answers)}
}

// strength is the logarithm of the evidence that the new version gives bad answers more often than
// tolerated. Where bad answers are rare what counts is which version gave them. Where the old
// version gives many, as on a machine that is busy, that alone hides a new one that gives
// nothing else; so the share of its own answers that are bad is tested, too.
func strength(fresh, old sample) float64 {
	if fresh.bad == 0 || fresh.total == 0 || old.total == 0 {
		return 0
	}
	which := ratio(tolerated*float64(fresh.total)/float64(old.total), fresh.bad, old.bad)
	if old.total < leastOld {
		return which
	}
	return max(which, ratio(toleratedShare*old.odds(), fresh.bad, fresh.total-fresh.bad))
}

// odds are those of a bad answer, a little above what was seen.
func (s sample) odds() float64 { return float64(s.bad+1) / float64(s.total-s.bad+1) }

// ratio is the logarithm of the likelihood ratio of hits and misses, averaged over degrees of
// badness, against the odds of a hit that are tolerated.
func ratio(odds float64, hits, misses int) float64 {
	null := odds / (1 + odds)
	most, sum := math.Inf(-1), 0.0
	var logs [len(badness)]float64
	for i, b := range badness {
		p := b * odds / (1 + b*odds)
		logs[i] = float64(hits)*math.Log(p/null) + float64(misses)*math.Log((1-p)/(1-null))
		most = max(most, logs[i])
	}
	for _, l := range logs {
		sum += math.Exp(l - most)
	}
	return most + math.Log(sum/float64(len(badness)))
}
