package concurrency

import (
	"math"
	"time"
)

const (
	// maxWindows is the number of windows that a level remembers: below a second of a busy level, so
	// that a limit that moves is followed.
	maxWindows = 8
	// gapWeight is the number of windows that the time between two events is worth.
	gapWeight = 0.25
	// minKnownWindows is the number of windows from which a level counts as known, a little below one
	// as they fade.
	minKnownWindows = 0.7
	// levelTolerance is the share of throughput that two levels may differ by and still count as equal:
	// the higher is preferred, as it leaves more room to bursts.
	levelTolerance = 0.06
	// minFall is the share by which throughput must fall beyond a level for a limit.
	minFall = 0.15
	// minStreamFall is the same for streams. More streams come with more prompts, which lengthen the time
	// between events as well: by less than this in the simulations of core/dispatch.
	minStreamFall = 0.6
	// learnDeviations and followDeviations are how many standard deviations the throughput of lower and
	// higher levels must be apart, without a limit and with one. A first limit needs certainty. Once
	// there is one, a wrong step is corrected by the next.
	learnDeviations  = 3.5
	followDeviations = 2
	// initialVariation is the relative standard deviation of the throughput of a window that is assumed
	// at first, minVariation the least. variationWeight is the weight of one window in the estimate.
	initialVariation = 0.3
	minVariation     = 0.1
	variationWeight  = 0.05
	// maxDeviation bounds the deviation of a single window in the estimate, so that a step of the
	// endpoint's speed does not count as noise for long.
	maxDeviation = 1
	// maxResponseDeviation bounds the deviation of one response time, responseVariationWeight is its weight in the
	// estimate.
	maxResponseDeviation    = 2
	responseVariationWeight = 0.02
)

// window is a group of responses in a row, as many as requests ran on average.
type window struct {
	// responses is their number, levels the sum of the concurrency levels and busy that of the response
	// times in seconds.
	responses, levels, busy float64
}

// level is what is known of one concurrency level.
type level struct {
	// responses is the number of responses at this level, busy the time in seconds that this VM's
	// requests spent there together, windows the number of windows. All decay together.
	responses, busy, windows float64
}

func (v *level) scale(f float64) {
	v.responses *= f
	v.busy *= f
	v.windows *= f
}

func (v *level) isKnown() bool { return v.windows >= minKnownWindows && v.responses > 0 && v.busy > 0 }

func (v *level) responseTime() float64 { return v.busy / v.responses }

// levels holds what is known of the levels, by number of requests.
type levels struct {
	list []level
	// pending are the responses that do not make up a window yet.
	pending window
	// responseVariance is the relative variance of single response times.
	responseVariance float64
	// variance is the relative variance of the throughput of a window.
	variance float64
}

func newLevels() levels { return levels{variance: initialVariation * initialVariation} }

// addResponse records a response to a request at level n. A window counts the less the longer its requests took: they
// show how the endpoint was when they were sent.
func (s *levels) addResponse(n int, took time.Duration) {
	w := &s.pending
	w.responses++
	w.levels += float64(min(max(n, 1), maxLevel))
	w.busy += took.Seconds()
	if v := s.nearest(n); v != nil {
		d := min(maxResponseDeviation, math.Abs(took.Seconds()/v.responseTime()-1))
		s.responseVariance += (d*d - s.responseVariance) * responseVariationWeight
	}
	if level := w.levels / w.responses; w.responses >= level {
		f := math.Exp(-w.busy / w.responses / memory.Seconds())
		s.add(int(math.Round(level)), w.responses*f, w.busy*f, f)
		*w = window{}
	}
}

// addSingle records a response to a request at level n apart from windows.
func (s *levels) addSingle(n int, took time.Duration) {
	weight := math.Exp(-took.Seconds() / memory.Seconds())
	s.add(n, weight, took.Seconds()*weight, weight/float64(n))
}

// nearest returns the highest known level up to n, nil if there is none.
func (s *levels) nearest(n int) *level {
	if n = s.highestKnown(n); n == 0 {
		return nil
	}
	return &s.list[n]
}

func (s *levels) grow(n int) {
	for len(s.list) <= n {
		s.list = append(s.list, level{})
	}
}

// add records the given responses and the time that the requests took together, and how many windows
// that is worth.
func (s *levels) add(n int, responses, busy, windows float64) {
	n = min(max(n, 1), maxLevel)
	s.grow(n)
	v := &s.list[n]
	if v.isKnown() {
		d := min(maxDeviation, math.Abs(responses/busy*v.responseTime()-1))
		s.variance += (d*d - s.variance) * variationWeight
	}
	v.responses += responses
	v.busy += busy
	v.windows += windows
	if v.windows > maxWindows {
		v.scale(maxWindows / v.windows)
	}
}

func (s *levels) fade(f float64) {
	for i := range s.list {
		s.list[i].scale(f)
	}
}

// forgetRange forgets the levels from one to another.
func (s *levels) forgetRange(from, to int) {
	for n := from; n <= to && n < len(s.list); n++ {
		s.list[n] = level{}
	}
}

func (s *levels) isKnown(n int) bool { return n > 0 && n < len(s.list) && s.list[n].isKnown() }

// throughput returns the responses per second at a level, 0 if it is not known.
func (s *levels) throughput(n int) float64 {
	if !s.isKnown(n) {
		return 0
	}
	return float64(n) / s.list[n].responseTime()
}

func (s *levels) responseTime(n int) float64 { return s.list[n].responseTime() }

// highestKnown returns the highest known level up to the given one, 0 if there is none.
func (s *levels) highestKnown(limit int) int {
	for n := min(limit, len(s.list)-1); n > 0; n-- {
		if s.isKnown(n) {
			return n
		}
	}
	return 0
}

// lowestKnown returns the lowest known level, 0 if there is none.
func (s *levels) lowestKnown() int {
	for n := range s.list {
		if s.isKnown(n) {
			return n
		}
	}
	return 0
}

// windowsIn returns the number of windows at the levels from one to another.
func (s *levels) windowsIn(from, to int) float64 {
	windows := 0.0
	for n := from; n <= to && n < len(s.list); n++ {
		windows += s.list[n].windows
	}
	return windows
}

// fastest returns the shortest response time of any known level, 0 if none is known.
func (s *levels) fastest() float64 {
	fastest := 0.0
	for n := range s.list {
		if s.isKnown(n) && (fastest == 0 || s.responseTime(n) < fastest) {
			fastest = s.responseTime(n)
		}
	}
	return fastest
}

// slowest returns the longest response time of the known levels from the given one, 0 if none is known.
func (s *levels) slowest(from int) float64 {
	slowest := 0.0
	for n := from; n < len(s.list); n++ {
		if s.isKnown(n) {
			slowest = max(slowest, s.responseTime(n))
		}
	}
	return slowest
}
