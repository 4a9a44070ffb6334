package history

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Invariants of a deployment of entry VMs.
const (
	// Unsolicited requires that endpoints run only requests that callers sent, exactly as
	// they were sent.
	Unsolicited Invariant = "unasked"
	// Drained requires that an endpoint that is leaving gets no new requests after DrainWithin.
	Drained Invariant = "leaving"
	// ConfigApplied requires that a configuration is applied in time and that no
	// VM reverts to an older one.
	ConfigApplied Invariant = "in-force"
	// WithinAllowance requires that an organisation's requests stay within its allowance.
	WithinAllowance Invariant = "allowance"
	// BoundedRetries requires that retries stay within the retry budget and the
	// route's maximum.
	BoundedRetries Invariant = "repeats"
	// StopsAfterDisconnect requires that a run stops soon after its caller disconnected.
	StopsAfterDisconnect Invariant = "stopped"
	// RespondsInTime requires that the final response arrives within the route's timeout.
	RespondsInTime Invariant = "prompt"
	// Recovers requires that requests are served once the faults are over.
	Recovers Invariant = "recovers"
	// BoundedTerminations requires that a request under which endpoints terminate
	// unexpectedly is sent to further endpoints only a bounded number of times.
	BoundedTerminations Invariant = "bounds-ends"
	// BoundedExposure bounds the share of requests that a bad version of a service gets.
	BoundedExposure Invariant = "bounds-exposure"
	// OneVersionPerStream requires that the events of a stream are those of one software version, over all
	// of its caller's attempts.
	OneVersionPerStream Invariant = "one-version-per-stream"
)

// Span is an interval of time, measured from the start of the session.
type Span struct{ From, To time.Duration }

// overlaps reports whether two spans have a point in time in common.
func (s Span) overlaps(o Span) bool { return s.From <= o.To && o.From <= s.To }

// CallerRequest is one request as its caller saw it.
type CallerRequest struct {
	ID, VM string
	// Incarnation distinguishes the processes of one VM.
	Incarnation int
	Service     string
	// Retryable requests may run more than once; Forbidden ones must never run.
	Retryable, Forbidden bool
	// Timeout is the maximum time that the caller may have to wait.
	Timeout time.Duration
	Span
	// Status is 0 if there was no response. Complete reports whether the response
	// was received to its end.
	Status   int
	Complete bool
	// Fault describes an error in a successful response.
	Fault string
	// Disconnected reports whether the caller disconnected before the end.
	Disconnected bool
	// ProbedVersion is the configuration version whose own route was requested; 0 for none.
	ProbedVersion int
}

// Run is the arrival or the run of a request at an endpoint, as the endpoint saw it.
type Run struct {
	ID, Endpoint, Service string
	Span
	Organisation string
	Units        float64
	// Fault describes how the request differed from what was sent.
	Fault string
}

// Allowance is the number of units that an organisation may spend in any window.
type Allowance struct {
	Organisation string
	Window       time.Duration
	Units        float64
}

// Deployment records a test session of several VMs under faults, and the bounds to check.
type Deployment struct {
	Requests []CallerRequest
	// Arrivals are all requests that reached an endpoint, Runs those that it ran.
	Arrivals, Runs []Run
	// Disturbed holds the faults of a VM or an endpoint, or on its network path, by
	// its name; those under the empty name affect all. UnplannedFaults excludes
	// planned operations.
	Disturbed       map[string][]Span
	UnplannedFaults []Span
	// Frozen holds when VMs were frozen, with the keys of Disturbed. Notices are the
	// notices that endpoints put into their responses, EndpointLimits the periods in
	// which they named limits.
	Frozen         map[string][]Span
	Notices        []Notice
	EndpointLimits []EndpointLimit
	// LeftAt is when the store accepted that an endpoint is leaving, by endpoint.
	LeftAt map[string]time.Duration
	// Published is when each configuration version was published, by number.
	Published  map[int]time.Duration
	Allowances []Allowance

	// SettleTime is how long a VM must be undisturbed for time bounds to apply.
	SettleTime time.Duration
	// DrainWithin, ConfigWithin, StopWithin and ResponseSlack are those time bounds.
	DrainWithin, ConfigWithin, StopWithin, ResponseSlack time.Duration
	// CloseRaceWithin is the maximum duration of a request that failed because the VM
	// closed its idle connection while the request was on its way.
	CloseRaceWithin time.Duration
	// RetryWindow, RetryRatio and RetrySlack bound the retries of a service.
	RetryWindow time.Duration
	RetryRatio  float64
	RetrySlack  float64
	// MaxEndpoints is the maximum number of endpoints that one request is sent to.
	MaxEndpoints int
}

// Check returns all violations, sorted by their text.
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

func (c *deploymentCheck) addViolation(invariant Invariant, key, format string, args ...any) {
	c.violations = append(c.violations, Violation{invariant, key, fmt.Sprintf(format, args...)})
}

// undisturbed reports whether no fault affected a VM or endpoint from SettleTime
// before the span until its end.
func (c *deploymentCheck) undisturbed(vm string, s Span) bool {
	s.From -= c.SettleTime
	for _, list := range [][]Span{c.Disturbed[vm], c.Disturbed[""]} {
		if slices.ContainsFunc(list, s.overlaps) {
			return false
		}
	}
	return true
}

// noUnplannedFaults reports whether there was no unplanned fault from SettleTime
// before the span until its end.
func (c *deploymentCheck) noUnplannedFaults(s Span) bool {
	s.From -= c.SettleTime
	return !slices.ContainsFunc(c.UnplannedFaults, s.overlaps)
}

// meansNotExecuted reports whether a status guarantees that the request did not run.
func meansNotExecuted(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

func (c *deploymentCheck) checkRequest(req *CallerRequest) {
	runs := c.runs[req.ID]
	if req.Fault != "" {
		c.addViolation(CompleteResponse, req.ID, "%s", req.Fault)
	}
	if !req.Retryable && len(runs) > 1 {
		c.addViolation(AtMostOnce, req.ID, "ran at %s and %s", runs[0].Endpoint, runs[1].Endpoint)
	}
	if !req.Retryable && meansNotExecuted(req.Status) && len(runs) > 0 {
		c.addViolation(NotExecuted, req.ID, "refused with %d and ran at %s", req.Status, runs[0].Endpoint)
	}
	if req.Status >= 200 && req.Status < 300 && req.Complete && len(runs) == 0 {
		c.addViolation(CompleteResponse, req.ID, "answered without having run")
	}
	if req.Forbidden && len(runs) > 0 {
		c.addViolation(Unsolicited, req.ID, "ran though its key was never valid")
	}
	if len(c.arrivals[req.ID]) > c.MaxEndpoints {
		c.addViolation(BoundedRetries, req.ID, "sent to %d endpoints", len(c.arrivals[req.ID]))
	}
	// The VM never reads a request that is sent while it closes the idle connection.
	accepted := len(c.arrivals[req.ID]) > 0 || req.To-req.From > c.CloseRaceWithin
	if !req.Complete && !req.Disconnected && accepted && c.noUnplannedFaults(req.Span) {
		c.addViolation(GracefulShutdown, req.ID, "connection to %s lost with status %d after %v", req.VM, req.Status, req.To-req.From)
	}
	if duration := req.To - req.From; duration > req.Timeout+c.ResponseSlack && c.undisturbed(req.VM, req.Span) {
		c.addViolation(RespondsInTime, req.ID, "%s took %v to respond", req.VM, duration)
	}
}

func (c *deploymentCheck) checkArrival(r *Run) {
	req := c.byID[r.ID]
	if req == nil {
		c.addViolation(Unsolicited, r.ID, "reached %s but was never sent by a caller", r.Endpoint)
		return
	}
	c.checkDeparture(req, r)
}

func (c *deploymentCheck) checkRun(r *Run) {
	if r.Fault != "" {
		c.addViolation(Unsolicited, r.ID, "at %s: %s", r.Endpoint, r.Fault)
	}
	req := c.byID[r.ID]
	if req == nil {
		return
	}
	if r.Service != req.Service {
		c.addViolation(Unsolicited, r.ID, "ran at %s of another service", r.Endpoint)
	}
	if req.Disconnected && r.To > req.To+c.StopWithin && c.undisturbed(req.VM, Span{req.From, r.To}) && c.undisturbed(r.Endpoint, Span{req.From, r.To}) {
		c.addViolation(StopsAfterDisconnect, r.ID, "%s continued for %v after the caller disconnected", r.Endpoint, r.To-req.To)
	}
}

// checkAllowances checks the units of each organisation's runs in a sliding window.
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

// checkRetries checks the retries of each service in a sliding window. Every arrival of a
// request after its first is a retry.
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
			c.addViolation(BoundedRetries, service, "%d retries in %v before %v, %.0f allowed", w.retries, c.RetryWindow, w.end, w.allowed)
		}
	}
}

// retryWindow is the number of retries that reached a service's endpoints in the
// RetryWindow before end, and the number allowed.
type retryWindow struct {
	end     time.Duration
	retries int
	allowed float64
}

func (w retryWindow) excess() float64 { return float64(w.retries) - w.allowed }

// worstRetryWindow returns the window that exceeds the bound the most or, if none
// does, comes closest to it. times must be sorted.
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

// requestCount returns the number of requests for a service in the RetryWindow before
// end or in the one preceding that, whichever is larger.
func (c *deploymentCheck) requestCount(service string, end time.Duration) float64 {
	var current, previous int
	for i := range c.Requests {
		req := &c.Requests[i]
		switch age := end - req.From; {
		case req.Service != service || age < 0:
		case age <= c.RetryWindow:
			current++
		case age <= 2*c.RetryWindow:
			previous++
		}
	}
	return float64(max(current, previous))
}

// maxUnavailableProbes is how many requests for the newest version a process may answer with 503
// without having served one.
const maxUnavailableProbes = 5

// checkVersions checks that configurations are applied in time and never reverted.
// Each version has a route of its own, so a status other than 404 shows that it is
// applied. A single status 503 is ignored: a VM that has just started and has no
// configuration yet returns it too, and one that is overloaded. A process that answers
// only 503 long after a version was published has not applied it.
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
	unavailable := make(map[vmProcess]int)
	applied := make(map[vmProcess]bool)
	for i := range c.Requests {
		req := &c.Requests[i]
		if req.ProbedVersion == 0 || req.Disconnected || !c.mustServeProbed(req) {
			continue
		}
		switch process := (vmProcess{req.VM, req.Incarnation}); req.Status {
		case 200:
			applied[process] = true
		case 503:
			unavailable[process]++
		}
	}
	for process, n := range unavailable {
		if n >= maxUnavailableProbes && !applied[process] {
			c.addViolation(ConfigApplied, process.vm, "answered 503 to %d requests for the newest version and served none", n)
		}
	}
	probes := make([]*CallerRequest, 0, len(c.Requests))
	for i := range c.Requests {
		if req := &c.Requests[i]; req.ProbedVersion > 0 && req.Status != 0 && req.Status != 503 && !req.Disconnected {
			probes = append(probes, req)
		}
	}
	slices.SortFunc(probes, func(a, b *CallerRequest) int { return int(a.To - b.To) })
	for _, req := range probes {
		served := req.Status != 404
		if at, ok := c.Published[req.ProbedVersion+1]; ok && served && req.From > at+c.ConfigWithin && c.undisturbed(req.VM, Span{at, req.To}) {
			c.addViolation(ConfigApplied, req.ID, "%s served version %d %v after the next was published", req.VM, req.ProbedVersion, req.From-at)
		}
		if c.mustServeProbed(req) && !served {
			c.addViolation(ConfigApplied, req.ID, "%s did not serve version %d %v after its publication", req.VM, req.ProbedVersion, req.From-c.Published[req.ProbedVersion])
		}
		last := newest[vmProcess{req.VM, req.Incarnation}]
		if served && req.ProbedVersion < last.version && req.From > last.at {
			c.addViolation(ConfigApplied, req.ID, "%s reverted from version %d to %d", req.VM, last.version, req.ProbedVersion)
		}
		if served && req.ProbedVersion > last.version {
			newest[vmProcess{req.VM, req.Incarnation}] = servedVersion{req.ProbedVersion, req.To}
		}
	}
}

// mustServeProbed reports whether the probed version is the only one that may have
// been applied while the request ran.
func (c *deploymentCheck) mustServeProbed(req *CallerRequest) bool {
	at, ok := c.Published[req.ProbedVersion]
	if !ok || req.From <= at+c.ConfigWithin || !c.undisturbed(req.VM, Span{at, req.To}) {
		return false
	}
	next, ok := c.Published[req.ProbedVersion+1]
	return !ok || req.To < next
}
