package dispatch

import "github.com/chivefield/chivefield/core/mechanism"

// The queue's order: by tier, and within one the jobs that can be on time before the
// late ones. One exception: a job that takes a small part of the usual work, and can be
// on time, goes before the late jobs of the tier just above its own. Under overload the
// lowest tier is otherwise hardly served at all, though its short answers take little of the
// slot time of the late ones that they delay; no job on time waits for it.

const (
	// ranksPerTier are: on time, short jobs of the tier below, late.
	ranksPerTier   = 3
	rankShortBelow = 1
	rankLate       = 2
	// shortShare is the share of the usual work up to which a job counts as short.
	shortShare = 0.2
	// workWeight is the weight of one job in the usual work.
	workWeight = 0.02
)

// rankOf is a job's place in the queue, the lowest first.
func (sv *service) rankOf(j *Job) int {
	switch {
	case j.late:
		return ranksPerTier*j.Tier + rankLate
	case j.Tier > 0 && !sv.disabled.Has(mechanism.ShortFirst) && sv.work(j) < shortShare*sv.usualWork:
		return ranksPerTier*(j.Tier-1) + rankShortBelow
	}
	return ranksPerTier * j.Tier
}

// work is what a job takes of an engine, in times between two events of a stream.
func (sv *service) work(j *Job) float64 {
	return float64(j.PromptTokens)*sv.latency.defaultPrefillRatio() + float64(j.ExpectedEvents)
}
