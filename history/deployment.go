package history

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Promises of a deployment of entry VMs.
const (
	// Unsolicited: an endpoint ran what no caller sent, or not as it was sent.
	Unsolicited Invariant = "unasked"
	// Drained: an endpoint that leaves gets no new work after a stated time.
	Drained Invariant = "leaving"
	// ConfigApplied: a configuration is in force on time, and never goes back.
	ConfigApplied Invariant = "in-force"
	// WithinAllowance: an organisation's requests stay within its allowance.
	WithinAllowance Invariant = "allowance"
	// BoundedRetries: requests are sent once more within the budget and the route's bound.
	BoundedRetries Invariant = "repeats"
	// StopsAfterDisconnect: work ends soon after its caller has left.
	StopsAfterDisconnect Invariant = "stopped"
	// RespondsInTime: the final answer comes by the route's timeout.
	RespondsInTime Invariant = "prompt"
	// Recovers: requests are served once the faults are over.
	Recovers Invariant = "recovers"
	// BoundedTerminations: a request under which endpoints end is not sent on without bound.
	BoundedTerminations Invariant = "bounds-ends"
	// BoundedExposure: a bad version of a service gets a bounded share of its requests.
	BoundedExposure Invariant = "bounds-exposure"
)

// Span is a stretch of time since the start of the session.
type Span struct{ From, To time.Duration }

// overlaps says whether two spans share a moment.
func (s Span) overlaps(o Span) bool { return s.From <= o.To && o.From <= s.To }

// CallerRequest is one sending of a request, as its caller saw it.
type CallerRequest struct {
	ID, VM string
	// Incarnation tells the processes of one VM apart.
	Incarnation int
	Service     string
	// Retryable requests may run more than once; Forbidden ones must never run.
	Retryable, Forbidden bool
	// Timeout is the longest time that the caller may be kept waiting.
	Timeout time.Duration
	Span
	// Status is 0 if no answer came; Whole says that the answer came to its end.
	Status   int
	Complete bool
	// Fault says what was wrong with a successful answer.
	Fault string
	// Disconnected says that the caller left before the end.
	Disconnected bool
	// ProbedVersion is the version whose own route was asked for; 0 for none.
	ProbedVersion int
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

// Allowance is what an organisation may spend over any window.
type Allowance struct {
	Organisation string
	Window       time.Duration
	Units        float64
}

// Deployment is a session of several VMs under faults.
type Deployment struct {
	Requests []CallerRequest
	// Arrivals are all requests that reached an endpoint, Runs those that it ran.
	Arrivals, Runs []Run
	// Disturbed are faults of a VM or an endpoint, or on its path; those under the
	// empty name are everybody's. Planned work is not among Unplanned.
	Disturbed       map[string][]Span
	UnplannedFaults []Span
	// Frozen is when VMs stood still, as Disturbed. Words are what endpoints said of themselves in their answers,
	// Needs the times for which they named limits.
	Frozen         map[string][]Span
	Notices        []Notice
	EndpointLimits []EndpointLimit
	// LeftAt is when the store accepted that an endpoint leaves.
	LeftAt map[string]time.Duration
	// Published is when each version was, by number.
	Published  map[int]time.Duration
	Allowances []Allowance

	// SettleTime is how long a VM must be undisturbed for bounds in time to hold.
	SettleTime time.Duration
	// DrainWithin, ConfigWithin, StopWithin and ResponseSlack are those bounds.
	DrainWithin, ConfigWithin, StopWithin, ResponseSlack time.Duration
	// CloseRaceWithin is how long a request may cross the close of its connection.
	CloseRaceWithin time.Duration
	// RetryWindow, RepeatRatio and RepeatSlack bound repeats of a service.
	RetryWindow time.Duration
	RetryRatio  float64
	RetrySlack  float64
	// MaxEndpoints bounds the endpoints that one request is sent to.
	MaxEndpoints int
}

// Check returns every breach, in the order of their text.
func (d *Deployment) Check() []Violation {
	byID := make(map[string]*CallerRequest, len(d.Requests))
	for i := range d.Requests {
		byID[d.Requests[i].ID] = &d.Requests[i]
	}
	c := &deploymentCheck{Deployment: d, byID: byID, runs: runsByID(d.Runs), arrivals: runsByID(d.Arrivals)}
	for i := range d.Requests {
		c.checkRequest(&d.Requests[i])
	}
	for i := range d.Arrivals {
		c.checkArrival(&d.Arrivals[i])
	}
	for i := range d.Runs {
		c.checkRun(&d.Runs[i])
	}
	c.checkAllowances()
	c.checkRetries()
	c.checkVersions()
	c.checkNotices()
	slices.SortFunc(c.violations, func(a, b Violation) int { return strings.Compare(a.String(), b.String()) })
	return c.violations
}

type deploymentCheck struct {
	*Deployment
	byID           map[string]*CallerRequest
	runs, arrivals map[string][]Run
	violations     []Violation
}

func runsByID(runs []Run) map[string][]Run {
	m := make(map[string][]Run)
	for _, r := range runs {
		m[r.ID] = append(m[r.ID], r)
	}
	return m
}

func (c *deploymentCheck) addViolation(p Invariant, key, format string, args ...any) {
	c.violations = append(c.violations, Violation{p, key, fmt.Sprintf(format, args...)})
}

// undisturbed says whether nothing disturbed the VM from Calm before the span to its end.
func (c *deploymentCheck) undisturbed(vm string, s Span) bool {
	s.From -= c.SettleTime
	for _, list := range [][]Span{c.Disturbed[vm], c.Disturbed[""]} {
		if slices.ContainsFunc(list, s.overlaps) {
			return false
		}
	}
	return true
}

// noUnplannedFaults says whether at most noUnplannedFaults work happened around the span.
func (c *deploymentCheck) noUnplannedFaults(s Span) bool {
	s.From -= c.SettleTime
	return !slices.ContainsFunc(c.UnplannedFaults, s.overlaps)
}

// meansNotExecuted are the statuses that say so.
func meansNotExecuted(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

func (c *deploymentCheck) checkRequest(s *CallerRequest) {
	runs := c.runs[s.ID]
	if s.Fault != "" {
		c.addViolation(CompleteResponse, s.ID, "%s", s.Fault)
	}
	if !s.Retryable && len(runs) > 1 {
		c.addViolation(AtMostOnce, s.ID, "ran at %s and %s", runs[0].Endpoint, runs[1].Endpoint)
	}
	if !s.Retryable && meansNotExecuted(s.Status) && len(runs) > 0 {
		c.addViolation(NotExecuted, s.ID, "refused with %d and ran at %s", s.Status, runs[0].Endpoint)
	}
	if s.Status >= 200 && s.Status < 300 && s.Complete && len(runs) == 0 {
		c.addViolation(CompleteResponse, s.ID, "answered without a run")
	}
	if s.Forbidden && len(runs) > 0 {
		c.addViolation(Unsolicited, s.ID, "ran though its key was never valid")
	}
	if len(c.arrivals[s.ID]) > c.MaxEndpoints {
		c.addViolation(BoundedRetries, s.ID, "sent to %d endpoints", len(c.arrivals[s.ID]))
	}
	// A request that crosses the close of an idle connection was never accepted.
	accepted := len(c.arrivals[s.ID]) > 0 || s.To-s.From > c.CloseRaceWithin
	if !s.Complete && !s.Disconnected && accepted && c.noUnplannedFaults(s.Span) {
		c.addViolation(GracefulShutdown, s.ID, "cut off at %s with status %d after %v", s.VM, s.Status, s.To-s.From)
	}
	if duration := s.To - s.From; duration > s.Timeout+c.ResponseSlack && c.undisturbed(s.VM, s.Span) {
		c.addViolation(RespondsInTime, s.ID, "held by %s for %v", s.VM, duration)
	}
}

func (c *deploymentCheck) checkArrival(r *Run) {
	s := c.byID[r.ID]
	if s == nil {
		c.addViolation(Unsolicited, r.ID, "reached %s and was never sent", r.Endpoint)
		return
	}
	if at, ok := c.LeftAt[r.Endpoint]; ok && r.From > at+c.DrainWithin && c.undisturbed(s.VM, Span{at, r.From}) {
		c.addViolation(Drained, r.ID, "reached %s by %s %v after it said that it leaves", r.Endpoint, s.VM, r.From-at)
	}
}

func (c *deploymentCheck) checkRun(r *Run) {
	if r.Fault != "" {
		c.addViolation(Unsolicited, r.ID, "at %s: %s", r.Endpoint, r.Fault)
	}
	s := c.byID[r.ID]
	if s == nil {
		return
	}
	if r.Service != s.Service {
		c.addViolation(Unsolicited, r.ID, "ran at %s of another service", r.Endpoint)
	}
	if s.Disconnected && r.To > s.To+c.StopWithin && c.undisturbed(s.VM, Span{s.From, r.To}) && c.undisturbed(r.Endpoint, Span{s.From, r.To}) {
		c.addViolation(StopsAfterDisconnect, r.ID, "%s worked on for %v", r.Endpoint, r.To-s.To)
	}
}

// checkAllowances slides each organisation's window over its runs.
func (c *deploymentCheck) checkAllowances() {
	for _, l := range c.Allowances {
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
				c.addViolation(WithinAllowance, l.Organisation, "%.0f units in %v before %v, %.0f allowed", sum, l.Window, r.From, l.Units)
				break
			}
		}
	}
}

// checkRetries slides the window over arrivals beyond the first of each request.
func (c *deploymentCheck) checkRetries() {
	seen := make(map[string]bool)
	retryTimes := make(map[string][]time.Duration)
	arrivals := slices.Clone(c.Arrivals)
	slices.SortFunc(arrivals, func(a, b Run) int { return int(a.From - b.From) })
	for _, r := range arrivals {
		if seen[r.ID] {
			retryTimes[r.Service] = append(retryTimes[r.Service], r.From)
		}
		seen[r.ID] = true
	}
	for service, times := range retryTimes {
		w := c.worstRetryWindow(service, times)
		if w.excess() > 0 {
			c.addViolation(BoundedRetries, service, "%d repeats in %v before %v, %.0f allowed", w.retries, c.RetryWindow, w.end, w.allowed)
		}
	}
}

// retryWindow is the repeats that reached a service's endpoints in a window, and how many may.
type retryWindow struct {
	end     time.Duration
	retries int
	allowed float64
}

func (w retryWindow) excess() float64 { return float64(w.retries) - w.allowed }

// worstRetryWindow is the window that passes the bound furthest, or comes nearest to it. times are in
// order.
func (c *deploymentCheck) worstRetryWindow(service string, times []time.Duration) retryWindow {
	var worst retryWindow
	first := 0
	for i, end := range times {
		for times[first] < end-c.RetryWindow {
			first++
		}
		w := retryWindow{end: end, retries: i - first + 1, allowed: c.RetryRatio*c.requestCount(service, end) + c.RetrySlack}
		if i == 0 || w.excess() > worst.excess() {
			worst = w
		}
	}
	return worst
}

// requestCount counts the requests for a service in the window before a moment or the one
// before it, whichever has more.
func (c *deploymentCheck) requestCount(service string, end time.Duration) float64 {
	var current, previous int
	for i := range c.Requests {
		s := &c.Requests[i]
		switch age := end - s.From; {
		case s.Service != service || age < 0:
		case age <= c.RetryWindow:
			current++
		case age <= 2*c.RetryWindow:
			previous++
		}
	}
	return float64(max(current, previous))
}

// checkVersions checks that configurations come into force on time and never go back.
// Each version has a route of its own, so an answer other than 404 shows it in force;
// but for 503, which a VM also says that has just started and knows no version.
func (c *deploymentCheck) checkVersions() {
	type vmProcess struct {
		vm          string
		incarnation int
	}
	type servedVersion struct {
		version int
		at      time.Duration
	}
	newest := make(map[vmProcess]servedVersion)
	probes := make([]*CallerRequest, 0, len(c.Requests))
	for i := range c.Requests {
		if s := &c.Requests[i]; s.ProbedVersion > 0 && s.Status != 0 && s.Status != 503 && !s.Disconnected {
			probes = append(probes, s)
		}
	}
	slices.SortFunc(probes, func(a, b *CallerRequest) int { return int(a.To - b.To) })
	for _, s := range probes {
		served := s.Status != 404
		if at, ok := c.Published[s.ProbedVersion+1]; ok && served && s.From > at+c.ConfigWithin && c.undisturbed(s.VM, Span{at, s.To}) {
			c.addViolation(ConfigApplied, s.ID, "%s served by version %d, %v after the next", s.VM, s.ProbedVersion, s.From-at)
		}
		if c.mustServeProbed(s) && !served {
			c.addViolation(ConfigApplied, s.ID, "%s had no version %d, %v after it came", s.VM, s.ProbedVersion, s.From-c.Published[s.ProbedVersion])
		}
		last := newest[vmProcess{s.VM, s.Incarnation}]
		if served && s.ProbedVersion < last.version && s.From > last.at {
			c.addViolation(ConfigApplied, s.ID, "%s went back from version %d to %d", s.VM, last.version, s.ProbedVersion)
		}
		if served && s.ProbedVersion > last.version {
			newest[vmProcess{s.VM, s.Incarnation}] = servedVersion{s.ProbedVersion, s.To}
		}
	}
}

// mustServeProbed says whether only the probed version can have been in force.
func (c *deploymentCheck) mustServeProbed(s *CallerRequest) bool {
	at, ok := c.Published[s.ProbedVersion]
	if !ok || s.From <= at+c.ConfigWithin || !c.undisturbed(s.VM, Span{at, s.To}) {
		return false
	}
	next, ok := c.Published[s.ProbedVersion+1]
	return !ok || s.To < next
}
