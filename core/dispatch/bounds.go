package dispatch

import "time"

// What callers and other VMs say is bounded where it enters. A number that cannot be would
// go on into sums and predictions, and with the notes to all other VMs, where nothing shows
// but requests that are placed badly.

const (
	// mostTokens bounds the tokens of a prompt, and of all that an endpoint has not read.
	// No engine has memory for more.
	mostTokens = 1 << 24
	// mostEvents bounds the events of an answer.
	mostEvents = 1 << 24
	// mostRuns bounds the requests of one VM at an endpoint.
	mostRuns = 1 << 16
	// longestTime bounds predicted times; nobody waits for so long.
	longestTime = time.Hour
)

// bounded is v within bounds. It counts values that are not.
func (s *Scheduler) bounded(v, most int) int {
	if v < 0 || v > most {
		s.impossible++
	}
	return min(max(v, 0), most)
}

// TakeInvalidValues returns how many quantities that cannot be were taken in since the last call.
func (s *Scheduler) TakeInvalidValues() int {
	n := s.impossible
	s.impossible = 0
	return n
}

// checkJob bounds what a caller or another VM says of a job.
func (s *Scheduler) checkJob(j *Job) {
	j.PromptTokens = s.bounded(j.PromptTokens, mostTokens)
	j.ExpectedEvents = s.bounded(j.ExpectedEvents, mostEvents)
}

// checkUse bounds what another VM says of its load.
func (s *Scheduler) checkUse(u *Load) {
	u.Running = s.bounded(u.Running, mostRuns)
	u.Waiting = s.bounded(u.Waiting, mostRuns)
	u.PromptTokens = s.bounded(u.PromptTokens, mostTokens)
	u.EventGap = s.boundedTime(u.EventGap)
	u.RecentGap = s.boundedTime(u.RecentGap)
}

// boundedTime is d, or nothing if it cannot be.
func (s *Scheduler) boundedTime(d time.Duration) time.Duration {
	if d >= 0 && d <= longestTime {
		return d
	}
	s.impossible++
	return 0
}

// addTokens adds numbers of tokens within their bounds.
func addTokens(a, b int) int { return min(mostTokens, a+b) }

// readIn is how many of a number of tokens are read within a time.
func readIn(d time.Duration, read float64, tokens int) int {
	done := d.Seconds() / read
	if done >= float64(tokens) {
		return tokens
	}
	return max(0, int(done))
}

// seconds is a time of s seconds within the bounds of predictions.
func seconds(s float64) time.Duration {
	return time.Duration(clamp(s, 0, longestTime.Seconds()) * float64(time.Second))
}

func clamp(v, least, most float64) float64 { return min(max(v, least), most) }
