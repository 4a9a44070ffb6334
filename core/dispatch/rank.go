package dispatch

import "github.com/chivefield/chivefield/core/mechanism"

// The queue's order: by tier, and within one the jobs that can be on time before the
// late ones. One exception: a job that takes a small part of the usual work, and can be
// on time, goes before the late jobs of the tier just above its own. Under overload the
// lowest tier is otherwise hardly served at all, though its short answers take little of the
// slot time of the late ones that they delay; no job on time waits for it.

const (
	// ranksOfTier are: on time, short jobs of the tier below, late.
	ranksOfTier = 3
	rankBelow   = 1
	rankLate    = 2
	// shortShare is the share of the usual work up to which a job counts as short.
	shortShare = 0.2
	// effortWeight is the weight of one job in the usual work.
	effortWeight = 0.02
)

// rankOf is a job's place in the queue, the lowest first.
func (sv *service) rankOf(j *Job) int {
	switch {
	case j.late:
		return ranksOfTier*j.Tier + rankLate
	case j.Tier > 0 && !sv.off.Has(mechanism.ShortFirst) && sv.work(j) < shortShare*sv.effort:
		return ranksOfTier*(j.Tier-1) + rankBelow
	}
	return ranksOfTier * j.Tier
}

// work is what a job takes of an engine, in times between two events of a stream.
func (sv *service) work(j *Job) float64 {
	return float64(j.PromptTokens)*sv.pace.startReadRatio() + float64(j.ExpectedEvents)
}
