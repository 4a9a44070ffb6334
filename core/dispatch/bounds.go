package dispatch

import "time"

// Quantities from callers and other VMs are validated on input. An out-of-range value would
// spread through sums and predictions, and with the notes to all other VMs, where the only
// symptom is requests that are placed badly.

const (
	// maxTokens limits the tokens of a prompt and the unprocessed prompt tokens at an endpoint.
	// No engine has memory for more.
	maxTokens = 1 << 24
	// maxEvents limits the events of a response.
	maxEvents = 1 << 24
	// maxRuns limits the requests of one VM at an endpoint.
	maxRuns = 1 << 16
	// maxWeight limits the weight of an organisation, so that sums of weights stay finite.
	maxWeight = 1e6
	// maxPrediction limits predicted times; no caller waits longer.
	maxPrediction = time.Hour
)

// clampCount returns v limited to the range from 0 to limit. It counts values out of range.
func (s *Scheduler) clampCount(v, limit int) int {
	if v < 0 || v > limit {
		s.invalidValues++
	}
	return min(max(v, 0), limit)
}

// TakeInvalidValues returns the number of out-of-range values received since the last call.
func (s *Scheduler) TakeInvalidValues() int {
	n := s.invalidValues
	s.invalidValues = 0
	return n
}

// clampJob limits the quantities of a job that came from a caller or another VM.
func (s *Scheduler) clampJob(j *Job) {
	j.PromptTokens = s.clampCount(j.PromptTokens, maxTokens)
	j.ExpectedEvents = s.clampCount(j.ExpectedEvents, maxEvents)
	if !(j.Weight >= 0 && j.Weight <= maxWeight) {
		s.invalidValues++
		j.Weight = 0
	}
}

// clampLoad limits the quantities of a load reported by another VM.
func (s *Scheduler) clampLoad(load *Load) {
	load.Running = s.clampCount(load.Running, maxRuns)
	load.Waiting = s.clampCount(load.Waiting, maxRuns)
	load.PromptTokens = s.clampCount(load.PromptTokens, maxTokens)
	load.EventGap = s.validDuration(load.EventGap)
	load.RecentGap = s.validDuration(load.RecentGap)
	load.LearnedLimit = s.clampCount(load.LearnedLimit, maxRuns)
	load.LearnedAge = s.validDuration(load.LearnedAge)
}

// validDuration returns d, or 0 if it is out of range.
func (s *Scheduler) validDuration(d time.Duration) time.Duration {
	if d >= 0 && d <= maxPrediction {
		return d
	}
	s.invalidValues++
	return 0
}

// addTokens adds token counts, limited to maxTokens.
func addTokens(a, b int) int { return min(maxTokens, a+b) }

// tokensPrefilledIn returns how many of the given tokens are processed in d, at prefillTime seconds
// each.
func tokensPrefilledIn(d time.Duration, prefillTime float64, tokens int) int {
	done := d.Seconds() / prefillTime
	if done >= float64(tokens) {
		return tokens
	}
	return max(0, int(done))
}

// toDuration converts seconds to a duration, limited to the range of predictions.
func toDuration(s float64) time.Duration {
	return time.Duration(clamp(s, 0, maxPrediction.Seconds()) * float64(time.Second))
}

func clamp(v, lo, hi float64) float64 { return min(max(v, lo), hi) }
