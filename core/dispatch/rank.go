package dispatch

import "github.com/chivefield/chivefield/core/mechanism"

// The queue is ordered by tier; within a tier, jobs that can be on time precede late ones.
// There is one exception: a job that takes a small part of the usual work, and can be on time,
// precedes the late jobs of the tier just above its own. Otherwise the lowest tier is hardly
// served under overload, although its short responses take little of the slot time of the late
// jobs that they delay. No job that can be on time waits for the exception.

const (
	// Each tier has four ranks. First come streams that go on: their callers hold a part already, and
	// they have fewer endpoints to wait for than all others.
	ranksPerTier   = 4
	rankContinues  = 0
	rankOnTime     = 1
	rankShortBelow = 2
	rankLate       = 3
	// shortShare is the share of the usual work below which a job counts as short.
	shortShare = 0.2
	// workWeight is the weight of one job in the moving average of work.
	workWeight = 0.02
)

// rankOf returns a job's rank in the queue; the lowest comes first.
func (sv *service) rankOf(j *Job) int {
	switch {
	case j.Continues:
		return ranksPerTier*j.Tier + rankContinues
	case j.late:
		return ranksPerTier*j.Tier + rankLate
	case j.Tier > 0 && !sv.disabled.Has(mechanism.ShortFirst) && sv.work(j) < shortShare*sv.usualWork:
		return ranksPerTier*(j.Tier-1) + rankShortBelow
	}
	return ranksPerTier*j.Tier + rankOnTime
}

// plainWork is the work of each job of a plain service: the tokens that a caller states say nothing there.
const plainWork = 1

// work returns the engine time that a job takes, as a multiple of the event gap; plainWork for a plain service.
func (sv *service) work(j *Job) float64 {
	if sv.isPlain() {
		return plainWork
	}
	return float64(j.PromptTokens)*sv.latency.defaultPrefillRatio() + float64(j.ExpectedEvents)
}

// isPlain reports whether the service has endpoints that are no engines.
func (sv *service) isPlain() bool { return len(sv.list) > 0 && !sv.list[0].engine }
