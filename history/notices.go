package history

import (
	"slices"
	"time"
)

// Promises about what endpoints say of themselves in their answers.
const (
	// Limited: an endpoint that names a limit gets no more from the VMs that it told.
	Limited Promise = "limited"
	// Rests: an endpoint that asked a VM for rest gets next to nothing from it.
	Rests Promise = "rests"
)

// Bounds of these promises.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitSettles is how long after it first named a limit the bound holds, wordHeard how long after an answer
	// what its VM sends counts.
	limitSettles = 3 * time.Second
	wordHeard    = 500 * time.Millisecond
	restMost     = 2
)

// Word is an answer in which an endpoint said something of itself.
type Word struct {
	// ID is the request that it answered.
	ID, Endpoint string
	At           time.Duration
	Leaving      bool
	Rest         time.Duration
	// Limited says that it named the limit of the need of that number.
	Limited bool
	Need    int
}

// Need is a time for which an endpoint names a limit in all its answers.
type Need struct {
	Endpoint  string
	PerSecond float64
	Span
}

// process is one process of a VM.
type process struct {
	vm   string
	life int
}

// sender is the process that a request was sent to.
func (c *deploymentCheck) sender(id string) (process, bool) {
	s := c.byID[id]
	if s == nil {
		return process{}, false
	}
	return process{s.VM, s.Life}, true
}

// frozen says whether a VM, or the whole machine, stood still in a span.
func (c *deploymentCheck) frozen(vm string, s Span) bool {
	for _, name := range []string{vm, ""} {
		if slices.ContainsFunc(c.Frozen[name], s.overlaps) {
			return true
		}
	}
	return false
}

// harmed says whether the way to an endpoint was, so that it may have read late what was sent before.
func (c *deploymentCheck) harmed(endpoint string, s Span) bool {
	s.From -= c.Calm
	return slices.ContainsFunc(c.Disturbed[endpoint], s.overlaps)
}

// notices checks what reached endpoints after they had said something of themselves.
func (c *deploymentCheck) notices() {
	arrivals := make(map[string][]Run)
	for _, r := range c.Arrivals {
		arrivals[r.Endpoint] = append(arrivals[r.Endpoint], r)
	}
	for _, w := range c.Words {
		p, ok := c.sender(w.ID)
		if !ok {
			continue
		}
		if w.Leaving {
			c.afterLeaving(w, p, arrivals[w.Endpoint])
		}
		if w.Rest > 0 {
			c.duringRest(w, p, arrivals[w.Endpoint])
		}
	}
	for i, n := range c.Needs {
		c.withinLimit(i, n, arrivals[n.Endpoint])
	}
}

func (c *deploymentCheck) afterLeaving(w Word, p process, arrivals []Run) {
	for _, r := range arrivals {
		from, ok := c.sender(r.ID)
		if !ok || from != p || c.byID[r.ID].From <= w.At+c.DrainWithin || c.frozen(p.vm, Span{w.At, r.From}) {
			continue
		}
		c.breach(Leaving, r.ID, "reached %s by %s %v after an answer that it leaves", r.Endpoint, p.vm, r.From-w.At)
		return
	}
}

func (c *deploymentCheck) duringRest(w Word, p process, arrivals []Run) {
	s := Span{w.At + wordHeard, w.At + w.Rest}
	if c.frozen(p.vm, Span{w.At, s.To}) || c.harmed(w.Endpoint, s) {
		return
	}
	n := 0
	for _, r := range arrivals {
		if from, ok := c.sender(r.ID); ok && from == p && r.From > s.From && r.From < s.To {
			n++
		}
	}
	if n > restMost {
		c.breach(Rests, w.ID, "%d requests of %s reached %s in a rest of %v", n, p.vm, w.Endpoint, w.Rest)
	}
}

func (c *deploymentCheck) withinLimit(need int, n Need, arrivals []Run) {
	told := make(map[process]time.Duration)
	for _, w := range c.Words {
		if p, ok := c.sender(w.ID); ok && w.Limited && w.Need == need {
			if at, was := told[p]; !was || w.At < at {
				told[p] = w.At
			}
		}
	}
	var times []time.Duration
	for _, r := range arrivals {
		p, ok := c.sender(r.ID)
		at, was := told[p]
		if ok && was && r.From > at+wordHeard && r.From < n.To && !c.frozen(p.vm, Span{r.From - limitWindow, r.From}) && !c.harmed(n.Endpoint, Span{r.From, r.From}) {
			times = append(times, r.From)
		}
	}
	slices.Sort(times)
	first := 0
	for i, to := range times {
		for times[first] < to-limitWindow {
			first++
		}
		got, allowed := i-first+1, limitFactor*n.PerSecond*limitWindow.Seconds()+limitSlack
		if to >= n.From+limitSettles && float64(got) > allowed {
			c.breach(Limited, n.Endpoint, "%d requests in %v before %v, %.0f allowed by a limit of %v a second", got, limitWindow, to, allowed, n.PerSecond)
			return
		}
	}
}
