package sched

import (
	"time"

	"github.com/chivefield/chivefield/rendezvous"
	"github.com/chivefield/chivefield/request"
)

const (
	// lateFirstTokenFactor multiplies the cost of a candidate that would miss the
	// target for the first token: it is taken only if none meets it.
	lateFirstTokenFactor = 100
	// timeWeight prices the time to finish, in money a second, so that among
	// endpoints of one price the quicker wins.
	timeWeight = 1e-6
	// tightFactor multiplies the cost of a candidate that would use up nearly
	// all the time left: estimates err, and a late answer is all waste.
	tightFactor = 10
	// tightShare is that part of the time left.
	tightShare = 0.7
	// localityWeight multiplies the price of reading a prompt where rendezvous
	// hashing does not place its beginning.
	localityWeight = 20
)

// locality is the price of spreading a prompt's beginning over endpoints: what
// is read here will probably be read again elsewhere. VMs learn of each other's
// cache contents late; hashing the first block lets them agree at once. The
// weight of an endpoint falls smoothly, so that overflow goes to the same second
// place at every VM.
func locality(e *endpoint, c *Candidate, s *request.Spec) float64 {
	if len(s.Prefix) == 0 {
		return 0
	}
	away := 1 - float64(rendezvous.Weight(s.Prefix[0], e.rendezvousID))/(1<<64)
	return localityWeight * away * float64(s.PromptTokens-c.CachedTokens) * e.PrefillPrice / perMillion
}

// score adds the penalties of a candidate to its price.
func score(now time.Duration, e *endpoint, c *Candidate, s *request.Spec, arrived time.Duration) {
	cost := c.Cost + timeWeight*c.TimeToFinish.Seconds() + locality(e, c, s)
	if s.FirstToken > 0 && now+c.TimeToFirstToken > arrived+s.FirstToken {
		cost *= lateFirstTokenFactor
	}
	if float64(c.TimeToFinish) > tightShare*float64(s.Deadline-now) {
		cost *= tightFactor
	}
	c.Cost = cost
}
