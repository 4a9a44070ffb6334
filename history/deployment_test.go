package history

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDeploymentCheckFindsViolations guards against a checker that finds nothing, with
// which every soak test would pass. Each session violates at most one invariant;
// those that expect nil must not be reported.
func TestDeploymentCheckFindsViolations(t *testing.T) {
	requests := func(change func(*CallerRequest)) []CallerRequest {
		req := CallerRequest{ID: "a", VM: "v", Service: "plain", Timeout: time.Second, Span: Span{10 * time.Second, 10100 * time.Millisecond}, Status: 200, Complete: true}
		if change != nil {
			change(&req)
		}
		return []CallerRequest{req}
	}
	normal := Run{ID: "a", Endpoint: "e", Service: "plain", Span: Span{10 * time.Second, 10 * time.Second}}
	neverSent := Run{ID: "x", Endpoint: "e", Service: "plain"}
	longRun := normal
	longRun.To = 12 * time.Second
	costly := normal
	costly.Organisation, costly.Units = "org", 20
	changedBody := normal
	changedBody.Fault = "another body"
	otherService := normal
	otherService.Service = "other"
	probe := func(version int, from time.Duration, status int) CallerRequest {
		return CallerRequest{ID: "p", VM: "v", Service: "plain", Timeout: time.Second, Span: Span{from, from}, Status: status, Complete: true, ProbedVersion: version, Disconnected: false}
	}
	servedProbe := probe(1, 10*time.Second, 200)
	servedProbe.ID = "q"
	disturbed := map[string][]Span{"v": {{9 * time.Second, 9 * time.Second}}}
	// notified is a request whose response contains a notice of the endpoint,
	// sentAfter returns a request sent later.
	notified := requests(func(req *CallerRequest) { req.Status = 503 })[0]
	sentAfter := func(later time.Duration) CallerRequest {
		req := requests(nil)[0]
		req.ID, req.From, req.To = "b", 10*time.Second+later, 10*time.Second+later
		return req
	}
	runsAfter := func(later time.Duration) []Run {
		return []Run{{ID: "b", Endpoint: "e", Service: "plain", Span: Span{10*time.Second + later, 10*time.Second + later}}}
	}
	cases := []struct {
		name string
		d    Deployment
		want []Invariant
	}{
		{"truncated response", Deployment{Requests: requests(func(req *CallerRequest) { req.Fault = "truncated" }), Runs: []Run{normal}}, []Invariant{CompleteResponse}},
		{"ran twice", Deployment{Requests: requests(nil), Runs: []Run{normal, normal}}, []Invariant{AtMostOnce}},
		{"ran though refused", Deployment{Requests: requests(func(req *CallerRequest) { req.Status = 503 }), Runs: []Run{normal}}, []Invariant{NotExecuted}},
		{"answered without having run", Deployment{Requests: requests(nil)}, []Invariant{CompleteResponse}},
		{"never valid key", Deployment{Requests: requests(func(req *CallerRequest) { req.Forbidden = true }), Runs: []Run{normal}}, []Invariant{Unsolicited}},
		{"changed in transit", Deployment{Requests: requests(nil), Runs: []Run{changedBody}}, []Invariant{Unsolicited}},
		{"newest version pending for long", Deployment{Requests: slices.Repeat([]CallerRequest{probe(1, 10*time.Second, 503)}, maxUnavailableProbes), Published: map[int]time.Duration{1: 0}, ConfigWithin: 3 * time.Second}, []Invariant{ConfigApplied}},
		{"newest version served beside refusals", Deployment{Requests: append(slices.Repeat([]CallerRequest{probe(1, 10*time.Second, 503)}, maxUnavailableProbes), servedProbe), Runs: []Run{{ID: "q", Endpoint: "e", Service: "plain", Span: Span{10 * time.Second, 10 * time.Second}}}, Published: map[int]time.Duration{1: 0}, ConfigWithin: 3 * time.Second}, nil},
		{"another service", Deployment{Requests: requests(nil), Runs: []Run{otherService}}, []Invariant{Unsolicited}},
		{"never sent", Deployment{Arrivals: []Run{neverSent}}, []Invariant{Unsolicited}},
		{"too many endpoints", Deployment{Requests: requests(nil), Runs: []Run{normal}, Arrivals: []Run{normal, normal, normal}, RetrySlack: 9}, []Invariant{BoundedRetries}},
		{"too many retries", Deployment{Requests: requests(nil), Runs: []Run{normal}, Arrivals: []Run{normal, normal}}, []Invariant{BoundedRetries}},
		{"connection lost", Deployment{Requests: requests(func(req *CallerRequest) { req.Complete, req.Status = false, 0 })}, []Invariant{GracefulShutdown}},
		{"response too late", Deployment{Requests: requests(func(req *CallerRequest) { req.To = 13 * time.Second }), Runs: []Run{normal}}, []Invariant{RespondsInTime}},
		{"sent to an endpoint that is leaving", Deployment{Requests: requests(nil), Runs: []Run{normal}, Arrivals: []Run{normal}, LeftAt: map[string]time.Duration{"e": 7 * time.Second}}, []Invariant{Drained}},
		{"sent to an endpoint that is leaving, VM disturbed long before", Deployment{Requests: requests(nil), Runs: []Run{normal}, Arrivals: []Run{normal}, LeftAt: map[string]time.Duration{"e": 4 * time.Second}, Disturbed: map[string][]Span{"v": {{0, 6 * time.Second}}}, SettleTime: 3 * time.Second}, []Invariant{Drained}},
		{"sent to an endpoint that is leaving, VM disturbed just before", Deployment{Requests: requests(nil), Runs: []Run{normal}, Arrivals: []Run{normal}, LeftAt: map[string]time.Duration{"e": 4 * time.Second}, Disturbed: map[string][]Span{"v": {{0, 8 * time.Second}}}, SettleTime: 3 * time.Second}, nil},
		{"departure recorded by a disturbed store", Deployment{Requests: requests(nil), Runs: []Run{normal}, Arrivals: []Run{normal}, LeftAt: map[string]time.Duration{"e": 4 * time.Second}, Disturbed: map[string][]Span{"": {{0, 2 * time.Second}}}, SettleTime: 3 * time.Second}, nil},
		{"departure known, store disturbed later", Deployment{Requests: requests(nil), Runs: []Run{normal}, Arrivals: []Run{normal}, LeftAt: map[string]time.Duration{"e": 4 * time.Second}, Disturbed: map[string][]Span{"": {{7 * time.Second, 9 * time.Second}}}, SettleTime: 3 * time.Second, DrainWithin: 2 * time.Second}, []Invariant{Drained}},
		{"departure not known, store disturbed soon after", Deployment{Requests: requests(nil), Runs: []Run{normal}, Arrivals: []Run{normal}, LeftAt: map[string]time.Duration{"e": 4 * time.Second}, Disturbed: map[string][]Span{"": {{5 * time.Second, 9 * time.Second}}}, SettleTime: 3 * time.Second, DrainWithin: 2 * time.Second}, nil},
		{"departure known, machine stalled just before", Deployment{Requests: requests(nil), Runs: []Run{normal}, Arrivals: []Run{normal}, LeftAt: map[string]time.Duration{"e": 4 * time.Second}, Disturbed: map[string][]Span{"": {{8 * time.Second, 9 * time.Second}}}, Frozen: map[string][]Span{"": {{8 * time.Second, 9 * time.Second}}}, SettleTime: 3 * time.Second, DrainWithin: 2 * time.Second}, nil},
		{"continued after the disconnect", Deployment{Requests: requests(func(req *CallerRequest) { req.Disconnected, req.Complete, req.Status = true, false, 0 }), Runs: []Run{longRun}}, []Invariant{StopsAfterDisconnect}},
		{"allowance exceeded", Deployment{Requests: requests(nil), Runs: []Run{costly}, Allowances: []Allowance{{"org", time.Second, 10}}}, []Invariant{WithinAllowance}},
		{"configuration not applied", Deployment{Requests: []CallerRequest{probe(2, 9*time.Second, 404)}, Published: map[int]time.Duration{2: 5 * time.Second}}, []Invariant{ConfigApplied}},
		{"previous configuration still applied", Deployment{Requests: []CallerRequest{probe(1, 9*time.Second, 500)}, Published: map[int]time.Duration{2: 5 * time.Second}}, []Invariant{ConfigApplied}},
		{"configuration reverted", Deployment{Requests: []CallerRequest{probe(2, time.Second, 500), probe(1, 2*time.Second, 500)}}, []Invariant{ConfigApplied}},
		{"no configuration yet", Deployment{Requests: []CallerRequest{probe(2, time.Second, 503), probe(1, 2*time.Second, 503)}}, nil},
		{"sent after a leaving notice", Deployment{Requests: []CallerRequest{notified, sentAfter(7 * time.Second)}, Runs: runsAfter(7 * time.Second), Arrivals: runsAfter(7 * time.Second), Notices: []Notice{{ID: "a", Endpoint: "e", At: 11 * time.Second, Leaving: true}}, DrainWithin: 2 * time.Second}, []Invariant{Drained}},
		{"sent by a VM frozen since the notice", Deployment{Requests: []CallerRequest{notified, sentAfter(7 * time.Second)}, Runs: runsAfter(7 * time.Second), Arrivals: runsAfter(7 * time.Second), Notices: []Notice{{ID: "a", Endpoint: "e", At: 11 * time.Second, Leaving: true}}, DrainWithin: 2 * time.Second, Frozen: map[string][]Span{"v": {{12 * time.Second, 12 * time.Second}}}}, nil},
		{"backoff ignored", Deployment{Requests: []CallerRequest{notified, sentAfter(2 * time.Second)}, Runs: runsAfter(2 * time.Second), Arrivals: slices.Repeat(runsAfter(2*time.Second), 3), RetrySlack: 9, MaxEndpoints: 9, Notices: []Notice{{ID: "a", Endpoint: "e", At: 11 * time.Second, Backoff: 3 * time.Second}}}, []Invariant{RespectsBackoff}},
		{"endpoint limit exceeded", Deployment{Requests: []CallerRequest{notified, sentAfter(7 * time.Second)}, Runs: runsAfter(7 * time.Second), Arrivals: slices.Repeat(runsAfter(7*time.Second), 12), RetrySlack: 99, MaxEndpoints: 99, Notices: []Notice{{ID: "a", Endpoint: "e", At: 11 * time.Second, NamesLimit: true}}, EndpointLimits: []EndpointLimit{{Endpoint: "e", PerSecond: 1, Span: Span{10 * time.Second, 20 * time.Second}}}}, []Invariant{WithinEndpointLimit}},
		{"within an endpoint limit", Deployment{Requests: []CallerRequest{notified, sentAfter(7 * time.Second)}, Runs: runsAfter(7 * time.Second), Arrivals: slices.Repeat(runsAfter(7*time.Second), 11), RetrySlack: 99, MaxEndpoints: 99, Notices: []Notice{{ID: "a", Endpoint: "e", At: 11 * time.Second, NamesLimit: true}}, EndpointLimits: []EndpointLimit{{Endpoint: "e", PerSecond: 1, Span: Span{10 * time.Second, 20 * time.Second}}}}, nil},
		{"no violation", Deployment{Requests: requests(nil), Runs: []Run{normal}, Arrivals: []Run{normal}}, nil},
		{"excused by faults", Deployment{Requests: requests(func(req *CallerRequest) { req.Complete, req.Status, req.To = false, 0, 13*time.Second }), UnplannedFaults: []Span{{9 * time.Second, 9 * time.Second}}, Disturbed: disturbed}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.d.SettleTime, c.d.DrainWithin, c.d.ConfigWithin, c.d.StopWithin = 3*time.Second, 2*time.Second, 2*time.Second, 500*time.Millisecond
			c.d.RetryWindow, c.d.RetryRatio, c.d.ResponseSlack = 10*time.Second, 0.2, 500*time.Millisecond
			if c.d.MaxEndpoints == 0 {
				c.d.MaxEndpoints = 2
			}
			var got []Invariant
			for _, b := range c.d.Check() {
				got = append(got, b.Invariant)
			}
			is.New(t).Equal(got, c.want)
		})
	}
}
