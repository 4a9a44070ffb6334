package rollout

import "time"

// beginnings is how many times in an order's time a comparison begins anew. A version that
// turns bad late would otherwise be hidden for long behind what was seen while it was good.
const beginnings = 8

// Watch tests the evidence of one roll-out as it grows.
type Watch struct {
	order Order
	// marks are the evidence at the beginnings of comparisons.
	marks []Evidence
}

// NewWatch returns a watch of an order.
func NewWatch(o Order) *Watch { return &Watch{order: o, marks: []Evidence{nil}} }

// Test returns the strongest evidence against the new version, whose requests go to a number
// of endpoints, in a phase and at an age of the order.
func (w *Watch) Test(phase Phase, age time.Duration, e Evidence, endpoints int) Finding {
	if len(w.marks) <= beginnings && age >= w.order.Duration*time.Duration(len(w.marks))/beginnings {
		w.marks = append(w.marks, e)
	}
	var worst Finding
	for _, mark := range w.marks {
		worst = worst.stronger(Test(e.Since(mark, phase == Moving), endpoints))
	}
	return worst
}
