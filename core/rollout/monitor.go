package rollout

import "time"

// maxBaselines is how many times in an order's time a further comparison starts from the evidence
// of that moment. Otherwise the good responses of a version that turns bad late would hide its
// bad ones for long.
const maxBaselines = 8

// Monitor evaluates the growing evidence of one rollout.
type Monitor struct {
	order Order
	// baselines are the evidence at the starts of comparisons.
	baselines []Evidence
}

// NewMonitor returns a monitor of an order's rollout.
func NewMonitor(o Order) *Monitor { return &Monitor{order: o, baselines: []Evidence{nil}} }

// Evaluate returns the strongest evidence against the new version in a phase and at an age of the
// order. endpoints is the number of endpoints that the new version's requests go to.
func (m *Monitor) Evaluate(phase Phase, age time.Duration, e Evidence, endpoints int) Finding {
	if len(m.baselines) <= maxBaselines && age >= m.order.Duration*time.Duration(len(m.baselines))/maxBaselines {
		m.baselines = append(m.baselines, e)
	}
	var worst Finding
	for _, baseline := range m.baselines {
		worst = worst.stronger(Evaluate(e.Since(baseline, phase == Shifting), endpoints))
	}
	return worst
}
