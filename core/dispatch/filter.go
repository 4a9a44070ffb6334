package dispatch

import (
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

// plainFillFactor is up to how many times its slots a plain service may have requests. Its
// answers take less time than it takes to hear of others' loads, so a turn would cost
// more than the short queue it saves.
const plainFillFactor = 2

// hasRoom says whether this VM may count on a free slot.
func (s *Scheduler) hasRoom(now time.Duration, e *endpoint, u Load) bool {
	if !e.engine {
		return u.Running+u.Waiting < plainFillFactor*e.Slots
	}
	if s.disabled.Has(mechanism.Turns) {
		return u.Running+u.Waiting < e.Slots
	}
	e.turn.updateRank(e, peerVM{hash: s.self, domain: s.domain}, s.peers, s.placerChanges)
	c := s.contentionAt(e)
	return e.turn.mayTake(now, e.Slots-u.Running-u.Waiting, c.unseenTakes, c.loadAge <= maxTurnLoadAge)
}
