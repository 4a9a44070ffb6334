package history

import (
	"slices"
	"time"
)

// Invariants about the notices that endpoints put into their responses.
const (
	// WithinEndpointLimit requires that the VMs to which an endpoint named a limit
	// together stay within that limit, multiplied by limitFactor and with limitSlack added.
	WithinEndpointLimit Invariant = "limited"
	// RespectsBackoff requires that a VM sends at most maxDuringBackoff requests to
	// an endpoint that asked it for backoff.
	RespectsBackoff Invariant = "rests"
)

// Bounds of these invariants.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitSettleTime is the time from when an endpoint first names a limit until the
	// bound applies. noticeDelay is the time from the response with a notice until the
	// requests of the VM that received it count.
	limitSettleTime  = 3 * time.Second
	noticeDelay      = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// Notice is a response in which an endpoint reported its own state.
type Notice struct {
	// ID is the request that the response belongs to.
	ID, Endpoint string
	At           time.Duration
	Leaving      bool
	// Backoff is the time for which the endpoint asked for no requests.
	Backoff time.Duration
	// NamesLimit reports whether the response named the limit at LimitIndex in
	// Deployment.EndpointLimits.
	NamesLimit bool
	LimitIndex int
}

// EndpointLimit is a period in which an endpoint names a limit in all its responses.
type EndpointLimit struct {
	Endpoint  string
	PerSecond float64
	Span
}

// process identifies one process of a VM.
type process struct {
	vm          string
	incarnation int
}

// sender returns the VM process that a caller sent the request to, and which
// forwarded it to the endpoint.
func (c *deploymentCheck) sender(id string) (process, bool) {
	req := c.byID[id]
	if req == nil {
		return process{}, false
	}
	return process{req.VM, req.Incarnation}, true
}

// isFrozen reports whether a VM or the whole machine was frozen during a span.
func (c *deploymentCheck) isFrozen(vm string, s Span) bool {
	for _, name := range []string{vm, ""} {
		if slices.ContainsFunc(c.Frozen[name], s.overlaps) {
			return true
		}
	}
	return false
}

// pathDisturbed reports whether the path to an endpoint was disturbed, so that it may
// have read late what was sent earlier.
func (c *deploymentCheck) pathDisturbed(endpoint string, s Span) bool {
	s.From -= c.SettleTime
	return slices.ContainsFunc(c.Disturbed[endpoint], s.overlaps)
}

// checkNotices checks the requests that reached endpoints after their notices.
func (c *deploymentCheck) checkNotices() {
	arrivals := make(map[string][]Run)
	for _, r := range c.Arrivals {
		arrivals[r.Endpoint] = append(arrivals[r.Endpoint], r)
	}
	for _, n := range c.Notices {
		p, ok := c.sender(n.ID)
		if !ok {
			continue
		}
		if n.Leaving {
			c.checkLeaving(n, p, arrivals[n.Endpoint])
		}
		if n.Backoff > 0 {
			c.checkBackoff(n, p, arrivals[n.Endpoint])
		}
	}
	for i, limit := range c.EndpointLimits {
		c.checkEndpointLimit(i, limit, arrivals[limit.Endpoint])
	}
}

func (c *deploymentCheck) checkLeaving(notice Notice, p process, arrivals []Run) {
	for _, r := range arrivals {
		from, ok := c.sender(r.ID)
		if !ok || from != p || c.byID[r.ID].From <= notice.At+c.DrainWithin || c.isFrozen(p.vm, Span{notice.At, r.From}) {
			continue
		}
		c.addViolation(Drained, r.ID, "reached %s from %s %v after a response that it is leaving", r.Endpoint, p.vm, r.From-notice.At)
		return
	}
}

func (c *deploymentCheck) checkBackoff(notice Notice, p process, arrivals []Run) {
	s := Span{notice.At + noticeDelay, notice.At + notice.Backoff}
	if c.isFrozen(p.vm, Span{notice.At, s.To}) || c.pathDisturbed(notice.Endpoint, s) {
		return
	}
	n := 0
	for _, r := range arrivals {
		if from, ok := c.sender(r.ID); ok && from == p && r.From > s.From && r.From < s.To {
			n++
		}
	}
	if n > maxDuringBackoff {
		c.addViolation(RespectsBackoff, notice.ID, "%d requests from %s reached %s during a backoff of %v", n, p.vm, notice.Endpoint, notice.Backoff)
	}
}

func (c *deploymentCheck) checkEndpointLimit(index int, limit EndpointLimit, arrivals []Run) {
	noticedAt := make(map[process]time.Duration)
	for _, notice := range c.Notices {
		if p, ok := c.sender(notice.ID); ok && notice.NamesLimit && notice.LimitIndex == index {
			if at, known := noticedAt[p]; !known || notice.At < at {
				noticedAt[p] = notice.At
			}
		}
	}
	var times []time.Duration
	for _, r := range arrivals {
		p, ok := c.sender(r.ID)
		at, known := noticedAt[p]
		if ok && known && r.From > at+noticeDelay && r.From < limit.To && !c.isFrozen(p.vm, Span{r.From - limitWindow, r.From}) && !c.pathDisturbed(limit.Endpoint, Span{r.From, r.From}) {
			times = append(times, r.From)
		}
	}
	slices.Sort(times)
	first := 0
	for i, end := range times {
		for times[first] < end-limitWindow {
			first++
		}
		count, allowed := i-first+1, limitFactor*limit.PerSecond*limitWindow.Seconds()+limitSlack
		if end >= limit.From+limitSettleTime && float64(count) > allowed {
			c.addViolation(WithinEndpointLimit, limit.Endpoint, "%d requests in %v before %v, %.0f allowed by a limit of %v per second", count, limitWindow, end, allowed, limit.PerSecond)
			return
		}
	}
}
