package dispatch

import (
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

// plainFillFactor is the number of requests per slot that a plain service may have. Its
// responses take less time than other VMs' load reports, so waiting for a turn would cost more
// than the short queue that it avoids.
const plainFillFactor = 2

// hasCapacity reports whether this VM may take a slot of the endpoint.
func (s *Scheduler) hasCapacity(now time.Duration, e *endpoint, load Load) bool {
	if !s.limitAllows(now, e, load) {
		return false
	}
	if s.brittle[e.hash] != nil && load.Running+load.Waiting >= e.Slots {
		return false
	}
	if !e.engine {
		return load.Running+load.Waiting < plainFillFactor*e.Slots
	}
	if s.disabled.Has(mechanism.Turns) {
		return load.Running+load.Waiting < e.Slots
	}
	e.turn.updateRank(e, peerVM{hash: s.self, domain: s.domain}, s.peers, s.placerChanges)
	c := s.contentionAt(e)
	return e.turn.mayTake(now, e.Slots-load.Running-load.Waiting, c.unseenTakes, c.loadAge <= maxTurnLoadAge)
}
