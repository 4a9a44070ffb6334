package sched

import (
	"time"

	"github.com/chivefield/chivefield/rendezvous"
	"github.com/chivefield/chivefield/request"
)

const (
	// lateFirstTokenFactor multiplies the cost of a candidate that would miss
	// the first-token target: it is picked only if none meets the target.
	lateFirstTokenFactor = 100
	// timeWeight is the price of the time to finish, per second, so that among
	// endpoints of equal price the faster one is picked.
	timeWeight = 1e-6
	// tightFactor multiplies the cost of a candidate that would use up nearly
	// all the time left: estimates are inexact, and a late response is entirely
	// wasted.
	tightFactor = 10
	// tightShare is the share of the time left above which tightFactor applies.
	tightShare = 0.7
	// localityWeight multiplies the prefill price at endpoints that rendezvous
	// hashing does not select for the prompt's prefix.
	localityWeight = 20
)

// locality returns the penalty for spreading a prompt prefix over endpoints: a
// prompt prefilled here will probably be prefilled again elsewhere. VMs receive
// each other's cache contents late; hashing the first block lets them agree
// immediately. The weight of an endpoint falls smoothly, so that overflow goes
// to the same second choice at every VM.
func locality(e *endpoint, c *Candidate, s *request.Spec) float64 {
	if len(s.PrefixHashes) == 0 {
		return 0
	}
	away := 1 - float64(rendezvous.Weight(s.PrefixHashes[0], e.rendezvousID))/(1<<64)
	return localityWeight * away * float64(s.PromptTokens-c.CachedTokens) * e.PrefillPrice / perMillion
}

// score adds the penalties of a candidate to its price.
func score(now time.Duration, e *endpoint, c *Candidate, s *request.Spec, arrived time.Duration) {
	cost := c.Cost + timeWeight*c.TimeToFinish.Seconds() + locality(e, c, s)
	if s.FirstTokenTarget > 0 && now+c.TimeToFirstToken > arrived+s.FirstTokenTarget {
		cost *= lateFirstTokenFactor
	}
	if float64(c.TimeToFinish) > tightShare*float64(s.Deadline-now) {
		cost *= tightFactor
	}
	c.Cost = cost
}
