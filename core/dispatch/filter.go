package dispatch

import "time"

// hasRoom says whether this VM may count on a free slot.
func (s *Scheduler) hasRoom(now time.Duration, e *endpoint, u Use) bool {
	e.turn.order(e, otherVM{s.self, s.domain}, s.others)
	c := s.companyOf(e)
	return e.turn.may(now, e.Slots-u.Running-u.Waiting, c.takes, c.age <= freshAge)
}
