package core

import (
	"cmp"
	"slices"
)

// estimator learns the length of answers by request kind.
type estimator map[string]float64

// estimateRate is the weight of a new answer.
const estimateRate = 0.1

// expect returns the learned length of an answer, or what was configured.
func (e estimator) expect(kind string, configured int) int {
	if v, ok := e[kind]; ok {
		return max(1, int(v))
	}
	return configured
}

func (e estimator) observe(kind string, tokens int) {
	v, ok := e[kind]
	if !ok {
		v = float64(tokens)
	}
	e[kind] = v + estimateRate*(float64(tokens)-v)
}

func sortCalls(list []*call) {
	slices.SortFunc(list, func(a, b *call) int { return cmp.Compare(a.handle, b.handle) })
}
