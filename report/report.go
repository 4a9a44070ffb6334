// Package report summarises an incident from the logs of all VMs: the outcomes of requests
// per time step and per route, the failures of endpoints, and the worst time steps with their
// likely cause. Log lines that were dropped to keep the log budget are missing from the
// summary; it includes their number.
package report

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chivefield/chivefield/explain"
)

// Counts holds the numbers of requests by outcome. Each attempt of a caller counts as one
// request.
type Counts struct {
	Requests int `json:"asked"`
	OnTime   int `json:"on_time"`
	Late     int `json:"late"`
	// Refused counts refusals by the VMs, by reason.
	Refused map[string]int `json:"refused"`
	// Broken counts aborted streams, CallerDisconnected callers that disconnected.
	Broken             int `json:"broken"`
	CallerDisconnected int `json:"left"`
}

// OnTimeShare returns the share of the requests that were on time; 1 if there were none.
func (c *Counts) OnTimeShare() float64 {
	if c.Requests == 0 {
		return 1
	}
	return float64(c.OnTime) / float64(c.Requests)
}

// refusalCount returns the number of refusals for all reasons.
func (c *Counts) refusalCount() int {
	n := 0
	for _, k := range c.Refused {
		n += k
	}
	return n
}

func (c *Counts) add(o outcome, reason string) {
	c.Requests++
	switch o {
	case onTime:
		c.OnTime++
	case late:
		c.Late++
	case broken:
		c.Broken++
	case callerLeft:
		c.CallerDisconnected++
	case refused:
		if c.Refused == nil {
			c.Refused = make(map[string]int)
		}
		c.Refused[reason]++
	}
}

// Step holds the counts of one time interval. Requests count in the interval of their arrival.
type Step struct {
	From time.Time `json:"from"`
	Counts
	// Failures counts failed attempts at endpoints, by outcome.
	Failures map[string]int `json:"failures"`
	// Started counts process starts, StoreLost how often VMs lost the store, PlacersLost how
	// often VMs lost their placer.
	Started     int `json:"started"`
	StoreLost   int `json:"store_lost"`
	PlacersLost int `json:"placers_lost"`
	// Cause is the likely cause of the requests that were not on time; empty if all were.
	Cause string `json:"cause"`
}

// Route holds the counts of one route. Requests without a route, such as those with an unknown
// path, are counted under the empty name.
type Route struct {
	Name string `json:"name"`
	Counts
	// MeanWait is the mean time until an endpoint was selected.
	MeanWait time.Duration `json:"waited_ns"`
	// LateByPause counts streams whose first event was on time and that were late because of
	// a pause between events.
	LateByPause int         `json:"paused_late"`
	Predictions Predictions `json:"predictions"`
	placed      int
}

// Endpoint holds the counts of one endpoint.
type Endpoint struct {
	Name     string         `json:"name"`
	Placed   int            `json:"placed"`
	Failures map[string]int `json:"failures"`
	// Ejections counts how often VMs ejected it.
	Ejections int `json:"ejections"`
	// EventGap is the time between two events that the last placement assumed.
	EventGap    time.Duration `json:"gap_ns"`
	Predictions Predictions   `json:"predictions"`
}

// failureCount returns the number of failures of all outcomes.
func (e *Endpoint) failureCount() int {
	n := 0
	for _, k := range e.Failures {
		n += k
	}
	return n
}

// Summary is the result of Read.
type Summary struct {
	Steps     []Step     `json:"steps"`
	Routes    []Route    `json:"routes"`
	Endpoints []Endpoint `json:"endpoints"`
	// Rollouts are the steps of all rollouts, in order of time.
	Rollouts []RolloutStep `json:"rollouts"`
	// Retries are the totals of retries, by service.
	Retries []Retries `json:"repeats"`
	// Dropped counts log lines that were dropped to keep the log budget.
	Dropped int `json:"lines_dropped"`
}

// WorstSteps returns the n steps with the smallest share of requests on time, the worst first.
// Steps with all requests on time, or with less than a tenth of the mean number of requests,
// are left out.
func (sum *Summary) WorstSteps(n int) []Step {
	requests := 0
	for _, s := range sum.Steps {
		requests += s.Requests
	}
	minRequests := float64(requests) / float64(max(1, len(sum.Steps))) / minRequestsDivisor
	var list []Step
	for _, s := range sum.Steps {
		if float64(s.Requests) >= minRequests && s.OnTimeShare() < 1 {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(x, y Step) int { return cmp.Compare(x.OnTimeShare(), y.OnTimeShare()) })
	return list[:min(n, len(list))]
}

// minRequestsDivisor divides the mean number of requests of a step; the result is the minimum
// number of requests that a step needs to be considered by WorstSteps.
const minRequestsDivisor = 10

type outcome int

const (
	onTime outcome = iota
	late
	refused
	broken
	callerLeft
)

// requestEnd is the logged end of a request.
type requestEnd struct {
	request string
	arrived time.Time
	outcome outcome
	reason  string
}

// Read returns the summary of the logs of any number of VMs, in any order. step is the length
// of a time step. The error is an explain.ReadError.
func Read(r io.Reader, step time.Duration) (*Summary, error) {
	b := &builder{
		step: step, steps: make(map[time.Time]*Step), routes: make(map[string]*Route),
		endpoints: make(map[string]*Endpoint), routeOf: make(map[string]string), predictions: make(map[string]prediction),
		retries: newRetryTotals(),
	}
	if err := explain.Scan(r, "", b.addLine); err != nil {
		return nil, err
	}
	return b.summary(), nil
}

// builder accumulates log lines into a Summary.
type builder struct {
	step      time.Duration
	steps     map[time.Time]*Step
	routes    map[string]*Route
	endpoints map[string]*Endpoint
	// routeOf holds the routes of requests that were placed or refused, by request id.
	routeOf map[string]string
	// predictions holds the predictions of placed requests, by request id.
	predictions map[string]prediction
	requestEnds []requestEnd
	rollouts    []RolloutStep
	retries     *retryTotals
	dropped     int
}

// stepAt returns the step that contains t.
func (b *builder) stepAt(t time.Time) *Step {
	from := t.Truncate(b.step)
	s := b.steps[from]
	if s == nil {
		s = &Step{From: from, Failures: make(map[string]int)}
		b.steps[from] = s
	}
	return s
}

func (b *builder) endpoint(name string) *Endpoint {
	e := b.endpoints[name]
	if e == nil {
		e = &Endpoint{Name: name, Failures: make(map[string]int)}
		b.endpoints[name] = e
	}
	return e
}

func (b *builder) route(name string) *Route {
	r := b.routes[name]
	if r == nil {
		r = &Route{Name: name}
		b.routes[name] = r
	}
	return r
}

// addLine records one event.
func (b *builder) addLine(l *explain.Line) {
	if strings.HasPrefix(l.Event, rolloutEventPrefix) {
		b.addRolloutStep(l)
		return
	}
	switch l.Event {
	case "placed":
		b.addPlacement(l)
	case "attempt_failed":
		b.stepAt(l.At).Failures[l.Get("outcome")]++
		b.endpoint(l.Get("endpoint")).Failures[l.Get("outcome")]++
	case "answered", "streamed":
		o := onTime
		if l.Get("late") == "true" {
			o = late
		}
		if l.Event == "streamed" {
			b.recordFirstEvent(l)
		}
		if l.Get("late_by") == "pause" {
			b.route(b.routeOf[l.Get("request")]).LateByPause++
		}
		b.addEnd(l, l.At.Add(-parseMilliseconds(l.Get("took"))), o, "")
	case "refused":
		b.routeOf[l.Get("request")] = l.Get("route")
		b.addEnd(l, l.At.Add(-parseMilliseconds(l.Get("held"))), refused, l.Get("reason"))
	case "stream_broken":
		b.addEnd(l, l.At, broken, l.Get("reason"))
	case "caller_left":
		b.addEnd(l, l.At.Add(-parseMilliseconds(l.Get("held"))), callerLeft, "")
	case "retry_budget":
		b.retries.addLine(l)
	case "endpoint_ejected":
		b.endpoint(l.Get("endpoint")).Ejections++
	case "started":
		b.stepAt(l.At).Started++
	case "store_lost":
		b.stepAt(l.At).StoreLost++
	case "placer_lost":
		b.stepAt(l.At).PlacersLost++
	case "log_lines_dropped":
		n, err := strconv.Atoi(l.Get("lines"))
		if err == nil {
			b.dropped += n
		}
	}
}

func (b *builder) addPlacement(l *explain.Line) {
	name := l.Get("route")
	b.routeOf[l.Get("request")] = name
	r := b.route(name)
	r.placed++
	r.MeanWait += parseMilliseconds(l.Get("waited"))
	b.recordPrediction(l)
	e := b.endpoint(l.Get("endpoint"))
	e.Placed++
	e.EventGap = parseMilliseconds(l.Get("gap"))
}

func (b *builder) addEnd(l *explain.Line, arrived time.Time, o outcome, reason string) {
	b.requestEnds = append(b.requestEnds, requestEnd{request: l.Get("request"), arrived: arrived, outcome: o, reason: reason})
}

// parseMilliseconds parses a duration as written in the logs; 0 if v is not a number.
func parseMilliseconds(v string) time.Duration {
	ms, err := strconv.ParseFloat(v, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// summary computes the summary from the recorded lines.
func (b *builder) summary() *Summary {
	for _, e := range b.requestEnds {
		b.stepAt(e.arrived).add(e.outcome, e.reason)
		b.route(b.routeOf[e.request]).add(e.outcome, e.reason)
	}
	sum := &Summary{Dropped: b.dropped, Rollouts: b.sortedRollouts(), Retries: b.retries.totals()}
	for _, from := range slices.SortedFunc(maps.Keys(b.steps), time.Time.Compare) {
		s := b.steps[from]
		s.Cause = likelyCause(s)
		sum.Steps = append(sum.Steps, *s)
	}
	for _, name := range slices.Sorted(maps.Keys(b.routes)) {
		r := b.routes[name]
		r.MeanWait /= time.Duration(max(1, r.placed))
		r.Predictions.computeQuantiles()
		sum.Routes = append(sum.Routes, *r)
	}
	for _, name := range slices.Sorted(maps.Keys(b.endpoints)) {
		b.endpoints[name].Predictions.computeQuantiles()
		sum.Endpoints = append(sum.Endpoints, *b.endpoints[name])
	}
	slices.SortStableFunc(sum.Endpoints, func(x, y Endpoint) int { return cmp.Compare(y.failureCount(), x.failureCount()) })
	return sum
}
