package rollout

import "time"

// maxBaselines is how many times in an order's time a comparison begins anew. A version that
// turns bad late would otherwise be hidden for long behind what was seen while it was good.
const maxBaselines = 8

// Monitor tests the evidence of one roll-out as it grows.
type Monitor struct {
	order Order
	// baselines are the evidence at the beginnings of comparisons.
	baselines []Evidence
}

// NewMonitor returns a watch of an order.
func NewMonitor(o Order) *Monitor { return &Monitor{order: o, baselines: []Evidence{nil}} }

// Evaluate returns the strongest evidence against the new version, whose requests go to a number
// of endpoints, in a phase and at an age of the order.
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
