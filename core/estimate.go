package core

import (
	"cmp"
	"slices"
)

// estimator learns the length of answers by request kind.
type estimator map[string]float64

// ewmaWeight is the weight of a new answer.
const ewmaWeight = 0.1

// estimate returns the learned length of an answer, or what was configured, but
// no more than the caller allows; limit 0 is none.
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
