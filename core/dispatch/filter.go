package dispatch

import (
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

// plainFill is up to how many times its slots a plain service may have requests. Its
// answers take less time than it takes to hear of others' loads, so a turn would cost
// more than the short queue it saves.
const plainFill = 2

// hasRoom says whether this VM may count on a free slot.
func (s *Scheduler) hasRoom(now time.Duration, e *endpoint, u Load) bool {
	if !e.engine {
		return u.Running+u.Waiting < plainFill*e.Slots
	}
	if s.off.Has(mechanism.Turns) {
		return u.Running+u.Waiting < e.Slots
	}
	e.turn.order(e, otherVM{name: s.self, domain: s.domain}, s.others, s.placers)
	c := s.companyOf(e)
	return e.turn.may(now, e.Slots-u.Running-u.Waiting, c.takes, c.age <= freshAge)
}
