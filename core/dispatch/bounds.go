package dispatch

import "time"

// What callers and other VMs say is bounded where it enters. A number that cannot be would
// go on into sums and predictions, and with the notes to all other VMs, where nothing shows
// but requests that are placed badly.

const (
	// maxTokens bounds the tokens of a prompt, and of all that an endpoint has not read.
	// No engine has memory for more.
	maxTokens = 1 << 24
	// maxEvents bounds the events of an answer.
	maxEvents = 1 << 24
	// maxRuns bounds the requests of one VM at an endpoint.
	maxRuns = 1 << 16
	// maxPrediction bounds predicted times; nobody waits for so long.
	maxPrediction = time.Hour
)

// clampCount is v within bounds. It counts values that are not.
func (s *Scheduler) clampCount(v, limit int) int {
	if v < 0 || v > limit {
		s.invalidValues++
	}
	return min(max(v, 0), limit)
}

// TakeInvalidValues returns how many quantities that cannot be were taken in since the last call.
func (s *Scheduler) TakeInvalidValues() int {
	n := s.invalidValues
	s.invalidValues = 0
	return n
}

// clampJob bounds what a caller or another VM says of a job.
func (s *Scheduler) clampJob(j *Job) {
	j.PromptTokens = s.clampCount(j.PromptTokens, maxTokens)
	j.ExpectedEvents = s.clampCount(j.ExpectedEvents, maxEvents)
}

// clampLoad bounds what another VM says of its load.
func (s *Scheduler) clampLoad(u *Load) {
	u.Running = s.clampCount(u.Running, maxRuns)
	u.Waiting = s.clampCount(u.Waiting, maxRuns)
	u.PromptTokens = s.clampCount(u.PromptTokens, maxTokens)
	u.EventGap = s.validDuration(u.EventGap)
	u.RecentGap = s.validDuration(u.RecentGap)
}

// validDuration is d, or nothing if it cannot be.
func (s *Scheduler) validDuration(d time.Duration) time.Duration {
	if d >= 0 && d <= maxPrediction {
		return d
	}
	s.invalidValues++
	return 0
}

// addTokens adds numbers of tokens within their bounds.
func addTokens(a, b int) int { return min(maxTokens, a+b) }

// tokensReadIn is how many of a number of tokens are read within a time.
func tokensReadIn(d time.Duration, prefillTime float64, tokens int) int {
	done := d.Seconds() / prefillTime
	if done >= float64(tokens) {
		return tokens
	}
	return max(0, int(done))
}

// toDuration is a time of s toDuration within the bounds of predictions.
func toDuration(s float64) time.Duration {
	return time.Duration(clamp(s, 0, maxPrediction.Seconds()) * float64(time.Second))
}

func clamp(v, lo, hi float64) float64 { return min(max(v, lo), hi) }
