package history

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Promises of a deployment of entry VMs.
const (
	// Unasked: an endpoint ran what no caller sent, or not as it was sent.
	Unasked Promise = "unasked"
	// Leaving: an endpoint that leaves gets no new work after a stated time.
	Leaving Promise = "leaving"
	// InForce: a configuration is in force on time, and never goes back.
	InForce Promise = "in-force"
	// WithinAllowance: an organisation's requests stay within its allowance.
	WithinAllowance Promise = "allowance"
	// FewRepeats: requests are sent once more within the budget and the route's bound.
	FewRepeats Promise = "repeats"
	// Stopped: work ends soon after its caller has left.
	Stopped Promise = "stopped"
	// Prompt: the final answer comes by the route's timeout.
	Prompt Promise = "prompt"
	// Recovers: requests are served once the faults are over.
	Recovers Promise = "recovers"
	// BoundsEnds: a request under which endpoints end is not sent on without bound.
	BoundsEnds Promise = "bounds-ends"
	// BoundsExposure: a bad version of a service gets a bounded share of its requests.
	BoundsExposure Promise = "bounds-exposure"
)

// Span is a stretch of time since the start of the session.
type Span struct{ From, To time.Duration }

// overlaps says whether two spans share a moment.
func (s Span) overlaps(o Span) bool { return s.From <= o.To && o.From <= s.To }

// Sending is one sending of a request, as its caller saw it.
type Sending struct {
	ID, VM string
	// Life tells the processes of one VM apart.
	Life    int
	Service string
	// Repeatable requests may run more than once; Forbidden ones must never run.
	Repeatable, Forbidden bool
	// Timeout is the longest time that the caller may be kept waiting.
	Timeout time.Duration
	Span
	// Status is 0 if no answer came; Whole says that the answer came to its end.
	Status int
	Whole  bool
	// Fault says what was wrong with a successful answer.
	Fault string
	// Left says that the caller left before the end.
	Left bool
	// Probes is the version whose own route was asked for; 0 for none.
	Probes int
}

// Run is one run of a request at an endpoint, as the endpoint saw it.
type Run struct {
	ID, Endpoint, Service string
	Span
	Organisation string
	Units        float64
	// Fault says how the request differed from what was sent.
	Fault string
}

// Limit is what an organisation may spend over any window.
type Limit struct {
	Organisation string
	Window       time.Duration
	Units        float64
}

// Deployment is a session of several VMs under faults.
type Deployment struct {
	Sendings []Sending
	// Arrivals are all requests that reached an endpoint, Runs those that it ran.
	Arrivals, Runs []Run
	// Disturbed are faults of a VM or an endpoint, or on its path; those under the
	// empty name are everybody's. Planned work is not among Unplanned.
	Disturbed map[string][]Span
	Unplanned []Span
	// Frozen is when VMs stood still, as Disturbed. Words are what endpoints said of themselves in their answers,
	// Needs the times for which they named limits.
	Frozen map[string][]Span
	Words  []Word
	Needs  []Need
	// LeftAt is when the store accepted that an endpoint leaves.
	LeftAt map[string]time.Duration
	// Published is when each version was, by number.
	Published map[int]time.Duration
	Limits    []Limit

	// Calm is how long a VM must be undisturbed for bounds in time to hold.
	Calm time.Duration
	// DrainWithin, ConfigWithin, StopWithin and AnswerSlack are those bounds.
	DrainWithin, ConfigWithin, StopWithin, AnswerSlack time.Duration
	// CrossWithin is how long a request may cross the close of its connection.
	CrossWithin time.Duration
	// RepeatWindow, RepeatRatio and RepeatSlack bound repeats of a service.
	RepeatWindow time.Duration
	RepeatRatio  float64
	RepeatSlack  float64
	// MaxEndpoints bounds the endpoints that one request is sent to.
	MaxEndpoints int
}

// Check returns every breach, in the order of their text.
func (d *Deployment) Check() []Breach {
	byID := make(map[string]*Sending, len(d.Sendings))
	for i := range d.Sendings {
		byID[d.Sendings[i].ID] = &d.Sendings[i]
	}
	c := &deploymentCheck{Deployment: d, byID: byID, runs: groupRuns(d.Runs), arrivals: groupRuns(d.Arrivals)}
	for i := range d.Sendings {
		c.sending(&d.Sendings[i])
	}
	for i := range d.Arrivals {
		c.arrival(&d.Arrivals[i])
	}
	for i := range d.Runs {
		c.run(&d.Runs[i])
	}
	c.allowances()
	c.repeats()
	c.versions()
	c.notices()
	slices.SortFunc(c.out, func(a, b Breach) int { return strings.Compare(a.String(), b.String()) })
	return c.out
}

type deploymentCheck struct {
	*Deployment
	byID           map[string]*Sending
	runs, arrivals map[string][]Run
	out            []Breach
}

func groupRuns(runs []Run) map[string][]Run {
	m := make(map[string][]Run)
	for _, r := range runs {
		m[r.ID] = append(m[r.ID], r)
	}
	return m
}

func (c *deploymentCheck) breach(p Promise, key, format string, args ...any) {
	c.out = append(c.out, Breach{p, key, fmt.Sprintf(format, args...)})
}

// calm says whether nothing disturbed the VM from Calm before the span to its end.
func (c *deploymentCheck) calm(vm string, s Span) bool {
	s.From -= c.Calm
	for _, list := range [][]Span{c.Disturbed[vm], c.Disturbed[""]} {
		if slices.ContainsFunc(list, s.overlaps) {
			return false
		}
	}
	return true
}

// planned says whether at most planned work happened around the span.
func (c *deploymentCheck) planned(s Span) bool {
	s.From -= c.Calm
	return !slices.ContainsFunc(c.Unplanned, s.overlaps)
}

// promisesNotRun are the statuses that say so.
func promisesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

func (c *deploymentCheck) sending(s *Sending) {
	runs := c.runs[s.ID]
	if s.Fault != "" {
		c.breach(WholeAnswer, s.ID, "%s", s.Fault)
	}
	if !s.Repeatable && len(runs) > 1 {
		c.breach(AtMostOnce, s.ID, "ran at %s and %s", runs[0].Endpoint, runs[1].Endpoint)
	}
	if !s.Repeatable && promisesNotRun(s.Status) && len(runs) > 0 {
		c.breach(NotRun, s.ID, "refused with %d and ran at %s", s.Status, runs[0].Endpoint)
	}
	if s.Status >= 200 && s.Status < 300 && s.Whole && len(runs) == 0 {
		c.breach(WholeAnswer, s.ID, "answered without a run")
	}
	if s.Forbidden && len(runs) > 0 {
		c.breach(Unasked, s.ID, "ran though its key was never valid")
	}
	if len(c.arrivals[s.ID]) > c.MaxEndpoints {
		c.breach(FewRepeats, s.ID, "sent to %d endpoints", len(c.arrivals[s.ID]))
	}
	// A request that crosses the close of an idle connection was never read.
	read := len(c.arrivals[s.ID]) > 0 || s.To-s.From > c.CrossWithin
	if !s.Whole && !s.Left && read && c.planned(s.Span) {
		c.breach(Graceful, s.ID, "cut off at %s with status %d after %v", s.VM, s.Status, s.To-s.From)
	}
	if held := s.To - s.From; held > s.Timeout+c.AnswerSlack && c.calm(s.VM, s.Span) {
		c.breach(Prompt, s.ID, "held by %s for %v", s.VM, held)
	}
}

func (c *deploymentCheck) arrival(r *Run) {
	s := c.byID[r.ID]
	if s == nil {
		c.breach(Unasked, r.ID, "reached %s and was never sent", r.Endpoint)
		return
	}
	if at, ok := c.LeftAt[r.Endpoint]; ok && r.From > at+c.DrainWithin && c.calm(s.VM, Span{at, r.From}) {
		c.breach(Leaving, r.ID, "reached %s by %s %v after it said that it leaves", r.Endpoint, s.VM, r.From-at)
	}
}

func (c *deploymentCheck) run(r *Run) {
	if r.Fault != "" {
		c.breach(Unasked, r.ID, "at %s: %s", r.Endpoint, r.Fault)
	}
	s := c.byID[r.ID]
	if s == nil {
		return
	}
	if r.Service != s.Service {
		c.breach(Unasked, r.ID, "ran at %s of another service", r.Endpoint)
	}
	if s.Left && r.To > s.To+c.StopWithin && c.calm(s.VM, Span{s.From, r.To}) && c.calm(r.Endpoint, Span{s.From, r.To}) {
		c.breach(Stopped, r.ID, "%s worked on for %v", r.Endpoint, r.To-s.To)
	}
}

// allowances slides each organisation's window over its runs.
func (c *deploymentCheck) allowances() {
	for _, l := range c.Limits {
		var runs []Run
		for _, r := range c.Runs {
			if r.Organisation == l.Organisation {
				runs = append(runs, r)
			}
		}
		slices.SortFunc(runs, func(a, b Run) int { return int(a.From - b.From) })
		sum, first := 0.0, 0
		for _, r := range runs {
			sum += r.Units
			for runs[first].From < r.From-l.Window {
				sum -= runs[first].Units
				first++
			}
			if sum > l.Units {
				c.breach(WithinAllowance, l.Organisation, "%.0f units in %v before %v, %.0f allowed", sum, l.Window, r.From, l.Units)
				break
			}
		}
	}
}

// repeats slides the window over arrivals beyond the first of each request.
func (c *deploymentCheck) repeats() {
	seen := make(map[string]bool)
	again := make(map[string][]time.Duration)
	arrivals := slices.Clone(c.Arrivals)
	slices.SortFunc(arrivals, func(a, b Run) int { return int(a.From - b.From) })
	for _, r := range arrivals {
		if seen[r.ID] {
			again[r.Service] = append(again[r.Service], r.From)
		}
		seen[r.ID] = true
	}
	for service, times := range again {
		w := c.worstWindow(service, times)
		if w.over() > 0 {
			c.breach(FewRepeats, service, "%d repeats in %v before %v, %.0f allowed", w.repeats, c.RepeatWindow, w.to, w.allowed)
		}
	}
}

// repeatWindow is the repeats that reached a service's endpoints in a window, and how many may.
type repeatWindow struct {
	to      time.Duration
	repeats int
	allowed float64
}

func (w repeatWindow) over() float64 { return float64(w.repeats) - w.allowed }

// worstWindow is the window that passes the bound furthest, or comes nearest to it. times are in
// order.
func (c *deploymentCheck) worstWindow(service string, times []time.Duration) repeatWindow {
	var worst repeatWindow
	first := 0
	for i, to := range times {
		for times[first] < to-c.RepeatWindow {
			first++
		}
		w := repeatWindow{to: to, repeats: i - first + 1, allowed: c.RepeatRatio*c.sent(service, to) + c.RepeatSlack}
		if i == 0 || w.over() > worst.over() {
			worst = w
		}
	}
	return worst
}

// sent counts the requests for a service in the window before a moment or the one
// before it, whichever has more.
func (c *deploymentCheck) sent(service string, to time.Duration) float64 {
	var now, before int
	for i := range c.Sendings {
		s := &c.Sendings[i]
		switch age := to - s.From; {
		case s.Service != service || age < 0:
		case age <= c.RepeatWindow:
			now++
		case age <= 2*c.RepeatWindow:
			before++
		}
	}
	return float64(max(now, before))
}

// versions checks that configurations come into force on time and never go back.
// Each version has a route of its own, so an answer other than 404 shows it in force;
// but for 503, which a VM also says that has just started and knows no version.
func (c *deploymentCheck) versions() {
	type life struct {
		vm string
		n  int
	}
	type sight struct {
		version int
		at      time.Duration
	}
	seen := make(map[life]sight)
	probes := make([]*Sending, 0, len(c.Sendings))
	for i := range c.Sendings {
		if s := &c.Sendings[i]; s.Probes > 0 && s.Status != 0 && s.Status != 503 && !s.Left {
			probes = append(probes, s)
		}
	}
	slices.SortFunc(probes, func(a, b *Sending) int { return int(a.To - b.To) })
	for _, s := range probes {
		served := s.Status != 404
		if at, ok := c.Published[s.Probes+1]; ok && served && s.From > at+c.ConfigWithin && c.calm(s.VM, Span{at, s.To}) {
			c.breach(InForce, s.ID, "%s served by version %d, %v after the next", s.VM, s.Probes, s.From-at)
		}
		if c.mustServe(s) && !served {
			c.breach(InForce, s.ID, "%s had no version %d, %v after it came", s.VM, s.Probes, s.From-c.Published[s.Probes])
		}
		last := seen[life{s.VM, s.Life}]
		if served && s.Probes < last.version && s.From > last.at {
			c.breach(InForce, s.ID, "%s went back from version %d to %d", s.VM, last.version, s.Probes)
		}
		if served && s.Probes > last.version {
			seen[life{s.VM, s.Life}] = sight{s.Probes, s.To}
		}
	}
}

// mustServe says whether only the probed version can have been in force.
func (c *deploymentCheck) mustServe(s *Sending) bool {
	at, ok := c.Published[s.Probes]
	if !ok || s.From <= at+c.ConfigWithin || !c.calm(s.VM, Span{at, s.To}) {
		return false
	}
	next, ok := c.Published[s.Probes+1]
	return !ok || s.To < next
}
