package report

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// session holds the log lines of three seconds. The first is without failures; in the second
// an endpoint resets requests; in the third a VM restarts and an organisation exceeds its
// allowance.
const session = `
time=2026-08-12T08:41:00.100Z level=info event=placed request=r1 route=plan endpoint=e1 waited=4 predicted=200 gap=20 vm=a
time=2026-08-12T08:41:00.900Z level=info event=streamed request=r1 took=800 first_event=304 late=false sent=1 vm=a
collected by a tool: time=2026-08-12T08:41:00.200Z level=info event=placed request=r2 route=look endpoint=e2 waited=2 gap=0 vm=b
time=2026-08-12T08:41:00.250Z level=info event=answered request=r2 took=50 late=false vm=b
time=2026-08-12T08:41:01.100Z level=info event=placed request=r3 route=plan endpoint=e1 waited=10 gap=21 vm=a
time=2026-08-12T08:41:01.110Z level=info event=attempt_failed request=r3 endpoint=e1 outcome=broken vm=a
time=2026-08-12T08:41:01.120Z level=info event=refused request=r3 route=plan status=502 reason=attempts_spent held=20 vm=a
time=2026-08-12T08:41:01.500Z level=info event=endpoint_ejected endpoint=e1 told=false failures_in_a_row=5 vm=a
time=2026-08-12T08:41:03.100Z level=info event=refused request=r4 route=look status=503 reason=too_late held=1300 vm=b
time=2026-08-12T08:41:02.100Z level=info event=started failure_domain=d first_start=false vm=a
time=2026-08-12T08:41:02.300Z level=info event=refused request=r5 route=look status=429 reason=over_allowance held=1 vm=a
time=2026-08-12T08:41:02.400Z level=warn event=stream_broken request=r6 reason=too_late events=3 vm=a
time=2026-08-12T08:41:02.500Z level=info event=caller_left request=r7 held=100 vm=a
time=2026-08-12T08:41:02.600Z level=warn event=log_lines_dropped lines=7 total=7 vm=a
no line of a daemon
`

func TestSummary(t *testing.T) {
	is := is.New(t)
	a, err := Read(strings.NewReader(session), time.Second)
	is.NoErr(err)
	is.Equal(len(a.Steps), 3)
	is.Equal(a.Steps[0].OnTime, 2)
	is.Equal(a.Steps[0].Cause, "")
	// r4 arrived in the second step, although it was refused in the fourth.
	is.Equal(a.Steps[1].Requests, 2)
	is.Equal(a.Steps[1].Refused, map[string]int{"attempts_spent": 1, "too_late": 1})
	is.Equal(a.Steps[1].Cause, CauseEndpointFailures)
	is.Equal(a.Steps[2].Cause, CauseVMRestarts)
	is.Equal(a.Dropped, 7)
	is.Equal(a.Endpoints[0].Name, "e1")
	is.Equal(a.Endpoints[0].Placed, 2)
	is.Equal(a.Endpoints[0].Ejections, 1)
	is.Equal(a.Endpoints[0].EventGap, 21*time.Millisecond)
	is.Equal(a.WorstSteps(1)[0].Requests, 2)
	var b bytes.Buffer
	is.NoErr(a.Write(&b, 5))
	want, err := os.ReadFile("testdata/account")
	is.NoErr(err)
	is.Equal(b.String(), string(want))
}

func TestLikelyCause(t *testing.T) {
	for want, s := range map[string]*Step{
		CauseAllowance:     {Counts: Counts{Requests: 10, OnTime: 5, Refused: map[string]int{reasonAllowance: 4}}},
		CauseOverload:      {Counts: Counts{Requests: 10, OnTime: 5, Refused: map[string]int{reasonTooLate: 4}}},
		CausePlacersLost:   {Counts: Counts{Requests: 10, OnTime: 5, Refused: map[string]int{reasonTooLate: 4}}, PlacersLost: 1},
		CauseLateResponses: {Counts: Counts{Requests: 10, OnTime: 5, Late: 5}},
		CauseStoreLost:     {Counts: Counts{Requests: 10, OnTime: 5, Late: 5}, StoreLost: 1},
	} {
		is := is.New(t)
		is.Equal(likelyCause(s), want)
	}
}

// An empty log gives an empty report without an error.
func TestEmptyLogs(t *testing.T) {
	is := is.New(t)
	a, err := Read(strings.NewReader(""), time.Second)
	is.NoErr(err)
	is.Equal(len(a.WorstSteps(3)), 0)
	is.NoErr(a.Write(&bytes.Buffer{}, 3))
}

// Predictions are compared per route and per endpoint. The observed time counts from the
// placement of the request; streams that were continued at another endpoint are left out.
func TestPredictionsPerRouteAndEndpoint(t *testing.T) {
	is := is.New(t)
	const logs = `
time=2026-08-12T08:41:00.100Z level=info event=placed request=r1 route=plan endpoint=e1 predicted=100 waited=50
time=2026-08-12T08:41:00.900Z level=info event=streamed request=r1 took=800 first_event=150 late=true late_by=pause sent=1
time=2026-08-12T08:41:00.200Z level=info event=placed request=r2 route=plan endpoint=e1 predicted=-363 waited=0
time=2026-08-12T08:41:00.900Z level=info event=streamed request=r2 took=700 first_event=900 late=true late_by=first_event sent=1
time=2026-08-12T08:41:00.200Z level=info event=placed request=r3 route=plan endpoint=e2 predicted=100 waited=0
time=2026-08-12T08:41:00.900Z level=info event=streamed request=r3 took=700 first_event=900 late=true late_by=first_event sent=2
`
	a, err := Read(strings.NewReader(logs), time.Second)
	is.NoErr(err)
	is.Equal(len(a.Routes), 1)
	is.Equal(a.Routes[0].LateByPause, 1)
	is.Equal(a.Routes[0].Predictions.Compared, 2)
	is.Equal(a.Routes[0].Predictions.NonPositive, 1)
	is.Equal(a.Routes[0].Predictions.Median, 1.0)
	is.Equal(a.Endpoints[1].Predictions.Compared, 0)
}

// The report shows why a version was rolled back, by which VM and when.
func TestRolloutStepsShowCauseOfRollback(t *testing.T) {
	is := is.New(t)
	const logs = `
time=2026-08-12T08:41:02.373Z level=info event=rollout_phase age=2372.6 learned=seen phase=rolled_back service=plain version=v2 was=trying vm=a
time=2026-08-12T08:41:02.372Z level=info event=rollout_judged age=2372.3 kind=failures new_bad=28 new_total=53 next=rolled_back old_bad=0 old_total=956 route=read service=plain strength=19.5 version=v2 vm=a
time=2026-08-12T08:41:02.374Z level=info event=rollout_phase age=2373.0 learned=told phase=rolled_back service=plain version=v2 was=trying vm=b
time=2026-08-12T08:41:00.000Z level=info event=rollout_ordered told=false service=plain version=v2 within=5000 vm=a
`
	a, err := Read(strings.NewReader(logs), time.Second)
	is.NoErr(err)
	is.Equal(len(a.Rollouts), 3)
	is.Equal(a.Rollouts[0].Event, "ordered")
	is.Equal(a.Rollouts[1].Event, "judged")
	is.True(strings.Contains(a.Rollouts[1].Detail, "new_bad=28 new_total=53"))
	var out bytes.Buffer
	is.NoErr(a.Write(&out, 1))
	is.True(strings.Contains(out.String(), "rolled_back"))
}

// Retries are summed over all VMs, also if a process ends and the next one counts from zero again.
func TestRetriesAreSummedOverProcesses(t *testing.T) {
	is := is.New(t)
	const logs = `
time=2026-08-12T08:41:05.000Z level=info event=retry_budget service=plain requests=100 held=1.5 paid=9 refused=3 sent=7 given_back=1 expired=0 vm=a
time=2026-08-12T08:41:05.000Z level=info event=retry_budget service=plain requests=80 held=2 paid=6 refused=0 sent=6 given_back=0 expired=0 vm=b
time=2026-08-12T08:41:10.000Z level=info event=retry_budget service=plain requests=190 held=0.5 paid=18 refused=9 sent=16 given_back=2 expired=1 vm=a
time=2026-08-12T08:41:15.000Z level=info event=retry_budget service=plain requests=40 held=0 paid=4 refused=1 sent=4 given_back=0 expired=0 vm=a
`
	a, err := Read(strings.NewReader(logs), time.Second)
	is.NoErr(err)
	is.Equal(a.Retries, []Retries{{Service: "plain", Processes: 3, Requests: 310, Acquired: 28, Refused: 10, Sent: 26, Refunded: 2, Expired: 1}})
	var out bytes.Buffer
	is.NoErr(a.Write(&out, 1))
	is.True(strings.Contains(out.String(), "repeats of"))
}
