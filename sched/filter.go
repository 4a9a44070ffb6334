package sched

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/request"
)

// Why tells why an endpoint did not get a request.
type Why string

// Reasons of candidates that lost, and of the winner.
const (
	WhyPicked   Why = "picked"
	WhyCostlier Why = "costlier"
	WhyFull     Why = "full"
	WhyTooSlow  Why = "too_slow"
	WhyLeaving  Why = "leaving"
	WhyResting  Why = "resting"
	WhyYields   Why = "higher_tier_waits"
)

// Candidate is one endpoint as a decision saw it.
type Candidate struct {
	Endpoint string
	Why      Why
	// Finish is the predicted time until the whole answer.
	Finish time.Duration
	// FirstToken is the predicted time until the first token.
	FirstToken time.Duration
	// Cost is the price of the request there, with the score's penalties.
	Cost float64
	// Cached are the prompt tokens expected in its cache.
	Cached int
}

// serves reports whether an endpoint is of the right sort at all.
func serves(e *endpoint, s *request.Spec) bool {
	if s.Model != "" {
		return slices.Contains(e.Models, s.Model)
	}
	return slices.Contains(e.Kinds, s.Kind)
}

// usable reports whether new work may go to an endpoint, whatever its load.
func (e *endpoint) usable(now time.Duration) (Why, bool) {
	if e.leaving {
		return WhyLeaving, false
	}
	if now < e.restUntil {
		return WhyResting, false
	}
	return "", true
}

// predict fills in the times and the price of a request at an endpoint if it
// were sent now.
func (e *endpoint) predict(now time.Duration, s *request.Spec) Candidate {
	c := Candidate{Endpoint: e.Name}
	if s.Model == "" {
		c.Finish, c.FirstToken = serviceTime, serviceTime
		return c
	}
	pr, or := e.ratios(now)
	c.Cached = e.cached(s)
	read := float64(e.prefillAhead(now)+s.PromptTokens-c.Cached) / e.PrefillSpeed * pr
	write := float64(s.OutputTokens) / e.OutputSpeed * or
	c.FirstToken = seconds(read)
	c.Finish = seconds(read + write)
	c.Cost = (float64(s.PromptTokens-c.Cached)*e.PrefillPrice + float64(s.OutputTokens)*e.OutputPrice) / perMillion
	return c
}

const (
	perMillion = 1e6
	// serviceTime is taken for a call of a plain service.
	serviceTime = 20 * time.Millisecond
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// inTime reports whether a candidate would finish by the deadline.
func inTime(now time.Duration, c *Candidate, s *request.Spec) bool {
	return now+c.Finish <= s.Deadline
}
