package history

import (
	"slices"
	"time"
)

// Promises about what endpoints say of themselves in their answers.
const (
	// WithinEndpointLimit: an endpoint that names a limit gets no more from the VMs that it told.
	WithinEndpointLimit Invariant = "limited"
	// RespectsBackoff: an endpoint that asked a VM for rest gets next to nothing from it.
	RespectsBackoff Invariant = "rests"
)

// Bounds of these promises.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitSettleTime is how long after it first named a limit the bound holds, wordHeard how long after an answer
	// what its VM sends counts.
	limitSettleTime  = 3 * time.Second
	noticeDelay      = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// Notice is an answer in which an endpoint said something of itself.
type Notice struct {
	// ID is the request that it answered.
	ID, Endpoint string
	At           time.Duration
	Leaving      bool
	Backoff      time.Duration
	// NamesLimit says that it named the limit of the need of that number.
	NamesLimit bool
	LimitIndex int
}

// EndpointLimit is a time for which an endpoint names a limit in all its answers.
type EndpointLimit struct {
	Endpoint  string
	PerSecond float64
	Span
}

// process is one process of a VM.
type process struct {
	vm          string
	incarnation int
}

// sender is the process that a request was sent to.
func (c *deploymentCheck) sender(id string) (process, bool) {
	s := c.byID[id]
	if s == nil {
		return process{}, false
	}
	return process{s.VM, s.Incarnation}, true
}

// isFrozen says whether a VM, or the whole machine, stood still in a span.
func (c *deploymentCheck) isFrozen(vm string, s Span) bool {
	for _, name := range []string{vm, ""} {
		if slices.ContainsFunc(c.Frozen[name], s.overlaps) {
			return true
		}
	}
	return false
}

// pathDisturbed says whether the way to an endpoint was, so that it may have read late what was sent before.
func (c *deploymentCheck) pathDisturbed(endpoint string, s Span) bool {
	s.From -= c.SettleTime
	return slices.ContainsFunc(c.Disturbed[endpoint], s.overlaps)
}

// checkNotices checks what reached endpoints after they had said something of themselves.
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
	for i, n := range c.EndpointLimits {
		c.checkEndpointLimit(i, n, arrivals[n.Endpoint])
	}
}

func (c *deploymentCheck) checkLeaving(notice Notice, p process, arrivals []Run) {
	for _, r := range arrivals {
		from, ok := c.sender(r.ID)
		if !ok || from != p || c.byID[r.ID].From <= notice.At+c.DrainWithin || c.isFrozen(p.vm, Span{notice.At, r.From}) {
			continue
		}
		c.addViolation(Drained, r.ID, "reached %s by %s %v after an answer that it leaves", r.Endpoint, p.vm, r.From-notice.At)
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
		c.addViolation(RespectsBackoff, notice.ID, "%d requests of %s reached %s in a rest of %v", n, p.vm, notice.Endpoint, notice.Backoff)
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
			c.addViolation(WithinEndpointLimit, limit.Endpoint, "%d requests in %v before %v, %.0f allowed by a limit of %v a second", count, limitWindow, end, allowed, limit.PerSecond)
			return
		}
	}
}
