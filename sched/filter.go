package sched

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/request"
)

// Reason states why an endpoint was or was not picked for a request.
type Reason string

// Reasons of the candidates that were not picked, and of the one that was.
const (
	ReasonPicked          Reason = "picked"
	ReasonCostlier        Reason = "costlier"
	ReasonFull            Reason = "full"
	ReasonTooSlow         Reason = "too_slow"
	ReasonLeaving         Reason = "leaving"
	ReasonBackoff         Reason = "resting"
	ReasonHigherTierWaits Reason = "higher_tier_waits"
)

// Candidate is the evaluation of one endpoint for a request.
type Candidate struct {
	Endpoint string
	Reason   Reason
	// TimeToFinish is the predicted time until the response is complete.
	TimeToFinish time.Duration
	// TimeToFirstToken is the predicted time until the first token.
	TimeToFirstToken time.Duration
	// Cost is the price of the request there, including the penalties of the
	// score.
	Cost float64
	// CachedTokens is the number of prompt tokens expected in its cache.
	CachedTokens int
}

// serves reports whether an endpoint is configured for the model or kind of a
// request.
func serves(e *endpoint, s *request.Spec) bool {
	if s.Model != "" {
		return slices.Contains(e.Models, s.Model)
	}
	return slices.Contains(e.Kinds, s.Kind)
}

// usable reports whether an endpoint may get new requests, regardless of its
// load.
func (e *endpoint) usable(now time.Duration) (Reason, bool) {
	if e.leaving {
		return ReasonLeaving, false
	}
	if now < e.backoffUntil {
		return ReasonBackoff, false
	}
	return "", true
}

// predict returns the predicted times and the price of a request if it were
// sent to the endpoint now.
func (e *endpoint) predict(now time.Duration, s *request.Spec) Candidate {
	c := Candidate{Endpoint: e.Name}
	if s.Model == "" {
		c.TimeToFinish, c.TimeToFirstToken = serviceTime, serviceTime
		return c
	}
	prefillRatio, outputRatio := e.slowdown(now)
	c.CachedTokens = e.cachedTokens(s)
	prefillTime := float64(e.prefillAhead(now)+s.PromptTokens-c.CachedTokens) / e.PrefillSpeed * prefillRatio
	outputTime := float64(s.OutputTokens) / e.OutputSpeed * outputRatio
	c.TimeToFirstToken = seconds(prefillTime)
	c.TimeToFinish = seconds(prefillTime + outputTime)
	c.Cost = (float64(s.PromptTokens-c.CachedTokens)*e.PrefillPrice + float64(s.OutputTokens)*e.OutputPrice) / perMillion
	return c
}

const (
	perMillion = 1e6
	// serviceTime is the assumed duration of a call to a plain service.
	serviceTime = 20 * time.Millisecond
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// inTime reports whether a candidate would finish by the deadline.
func inTime(now time.Duration, c *Candidate, s *request.Spec) bool {
	return now+c.TimeToFinish <= s.Deadline
}
