package sched

import (
	"time"

	"github.com/chivefield/chivefield/request"
)

const (
	// lateFirstToken multiplies the cost of a candidate that would miss the
	// target for the first token: it is taken only if none meets it.
	lateFirstToken = 100
	// timeWeight prices the time to finish, in money a second, so that among
	// endpoints of one price the quicker wins.
	timeWeight = 1e-6
	// tightFactor multiplies the cost of a candidate that would use up nearly
	// all the time left: estimates err, and a late answer is all waste.
	tightFactor = 10
	// tightShare is that part of the time left.
	tightShare = 0.7
)

// score adds the penalties of a candidate to its price.
func score(now time.Duration, c *Candidate, s *request.Spec, arrived time.Duration) {
	cost := c.Cost + timeWeight*c.Finish.Seconds()
	if s.FirstToken > 0 && now+c.FirstToken > arrived+s.FirstToken {
		cost *= lateFirstToken
	}
	if float64(c.Finish) > tightShare*float64(s.Deadline-now) {
		cost *= tightFactor
	}
	c.Cost = cost
}
