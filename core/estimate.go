package core

import (
	"cmp"
	"slices"
)

// estimator estimates the response length in tokens by request kind, as a
// moving average.
type estimator map[string]float64

// ewmaWeight is the weight of a new response in the moving average.
const ewmaWeight = 0.1

// estimate returns the average response length of a kind, or the configured
// length if none has been observed, but at most limit; a limit of 0 means none.
func (e estimator) estimate(kind string, configured, limit int) int {
	n := configured
	if v, ok := e[kind]; ok {
		n = max(1, int(v))
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

func (e estimator) observe(kind string, tokens int) {
	v, ok := e[kind]
	if !ok {
		v = float64(tokens)
	}
	e[kind] = v + ewmaWeight*(float64(tokens)-v)
}

func sortCalls(list []*call) {
	slices.SortFunc(list, func(a, b *call) int { return cmp.Compare(a.handle, b.handle) })
}
