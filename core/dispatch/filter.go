package dispatch

import "time"

// hasRoom says whether this VM may count on a free slot.
func (s *Scheduler) hasRoom(now time.Duration, e *endpoint, u Use) bool {
	e.turn.order(e.name, s.self, s.others)
	return e.turn.may(now, e.Slots-u.Running-u.Waiting, s.companyOf(e).takes)
}
