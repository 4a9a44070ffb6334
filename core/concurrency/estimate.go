package concurrency

import "math"

// estimate is the throughput of the known levels.
type estimate struct {
	// best is the level with the highest throughput, 0 if no level is known. knee is the highest level
	// whose throughput is about equal to that.
	best, knee int
	// throughput is the estimated throughput by level, 0 for unknown ones.
	throughput []float64
}

// isGood reports whether a level has about the best throughput.
func (e *estimate) isGood(n int) bool {
	return e.throughput[n] > 0 && e.throughput[n] >= (1-levelTolerance)*e.throughput[e.best]
}

// block is a range of levels with one response time.
type block struct {
	levels          []int
	responses, busy float64
}

func (b block) responseTime() float64 { return b.busy / b.responses }

// estimate fits response times that do not decrease with the level, which evens out chance between
// neighbours, and derives the throughput from them.
func (s *levels) estimate() estimate {
	e := estimate{throughput: make([]float64, len(s.list))}
	for _, b := range s.fit() {
		for _, n := range b.levels {
			e.throughput[n] = float64(n) / b.responseTime()
			if e.best == 0 || e.throughput[n] > e.throughput[e.best] {
				e.best = n
			}
		}
	}
	for n := range e.throughput {
		if e.isGood(n) {
			e.knee = n
		}
	}
	return e
}

// fit returns the isotonic regression of the response times over the known levels (pool adjacent
// violators).
func (s *levels) fit() []block {
	var blocks []block
	for n := range s.list {
		if !s.isKnown(n) {
			continue
		}
		b := block{[]int{n}, s.list[n].responses, s.list[n].busy}
		for len(blocks) > 0 && blocks[len(blocks)-1].responseTime() >= b.responseTime() {
			last := blocks[len(blocks)-1]
			blocks = blocks[:len(blocks)-1]
			b = block{append(last.levels, b.levels...), last.responses + b.responses, last.busy + b.busy}
		}
		blocks = append(blocks, b)
	}
	return blocks
}

// falls reports whether throughput falls beyond the knee by more than chance explains.
func (s *levels) falls(e estimate, deviations float64) bool {
	below, windowsBelow, responsesBelow := s.pooled(func(n int) bool { return n <= e.knee && e.isGood(n) })
	above, windowsAbove, responsesAbove := s.pooled(func(n int) bool { return n > e.knee && e.throughput[n] > 0 })
	if below == 0 || above == 0 || above >= (1-minFall)*below {
		return false
	}
	variance := max(minVariation*minVariation, s.variance)*(1/windowsBelow+1/windowsAbove) + s.responseVariance*(1/responsesBelow+1/responsesAbove)
	return math.Log(below/above) > deviations*math.Sqrt(variance)
}

// fallsBy reports whether throughput at the highest known level is lower by at least a share.
func (s *levels) fallsBy(e estimate, share float64) bool {
	highest := s.highestKnown(maxLevel)
	return e.best > 0 && e.throughput[highest] < (1-share)*e.throughput[e.best]
}

// pooled returns the throughput of several levels together, and the number of windows.
func (s *levels) pooled(include func(n int) bool) (throughput, windows, responses float64) {
	seconds := 0.0
	for n, v := range s.list {
		if s.isKnown(n) && include(n) {
			responses += v.responses
			seconds += v.busy / float64(n)
			windows += v.windows
		}
	}
	if seconds == 0 {
		return 0, 0, 0
	}
	return responses / seconds, windows, responses
}
