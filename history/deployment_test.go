package history

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDeploymentCheckerObjects: a checker that sees nothing would make every soak
// pass. Each session breaks one promise, the last ones break none.
func TestDeploymentCheckerObjects(t *testing.T) {
	s := func(change func(*Sending)) []Sending {
		v := Sending{ID: "a", VM: "v", Service: "plain", Timeout: time.Second, Span: Span{10 * time.Second, 10100 * time.Millisecond}, Status: 200, Whole: true}
		if change != nil {
			change(&v)
		}
		return []Sending{v}
	}
	one := Run{ID: "a", Endpoint: "e", Service: "plain", Span: Span{10 * time.Second, 10 * time.Second}}
	stranger := Run{ID: "x", Endpoint: "e", Service: "plain"}
	late := one
	late.To = 12 * time.Second
	costly := one
	costly.Organisation, costly.Units = "org", 20
	changed := one
	changed.Fault = "another body"
	elsewhere := one
	elsewhere.Service = "other"
	probe := func(version int, from time.Duration, status int) Sending {
		return Sending{ID: "p", VM: "v", Service: "plain", Timeout: time.Second, Span: Span{from, from}, Status: status, Whole: true, Probes: version, Left: false}
	}
	disturbed := map[string][]Span{"v": {{9 * time.Second, 9 * time.Second}}}
	// told is a request whose answer says something of the endpoint, after is one sent later.
	told := s(func(v *Sending) { v.Status = 503 })[0]
	after := func(later time.Duration) Sending {
		v := s(nil)[0]
		v.ID, v.From, v.To = "b", 10*time.Second+later, 10*time.Second+later
		return v
	}
	runs := func(later time.Duration) []Run {
		return []Run{{ID: "b", Endpoint: "e", Service: "plain", Span: Span{10*time.Second + later, 10*time.Second + later}}}
	}
	cases := []struct {
		name string
		d    Deployment
		want []Promise
	}{
		{"torn answer", Deployment{Sendings: s(func(v *Sending) { v.Fault = "torn" }), Runs: []Run{one}}, []Promise{WholeAnswer}},
		{"ran twice", Deployment{Sendings: s(nil), Runs: []Run{one, one}}, []Promise{AtMostOnce}},
		{"ran though refused", Deployment{Sendings: s(func(v *Sending) { v.Status = 503 }), Runs: []Run{one}}, []Promise{NotRun}},
		{"answered without a run", Deployment{Sendings: s(nil)}, []Promise{WholeAnswer}},
		{"never valid key", Deployment{Sendings: s(func(v *Sending) { v.Forbidden = true }), Runs: []Run{one}}, []Promise{Unasked}},
		{"changed on its way", Deployment{Sendings: s(nil), Runs: []Run{changed}}, []Promise{Unasked}},
		{"another service", Deployment{Sendings: s(nil), Runs: []Run{elsewhere}}, []Promise{Unasked}},
		{"never sent", Deployment{Arrivals: []Run{stranger}}, []Promise{Unasked}},
		{"too many endpoints", Deployment{Sendings: s(nil), Runs: []Run{one}, Arrivals: []Run{one, one, one}, RepeatSlack: 9}, []Promise{FewRepeats}},
		{"too many repeats", Deployment{Sendings: s(nil), Runs: []Run{one}, Arrivals: []Run{one, one}}, []Promise{FewRepeats}},
		{"cut off", Deployment{Sendings: s(func(v *Sending) { v.Whole, v.Status = false, 0 })}, []Promise{Graceful}},
		{"held too long", Deployment{Sendings: s(func(v *Sending) { v.To = 13 * time.Second }), Runs: []Run{one}}, []Promise{Prompt}},
		{"sent to one that left", Deployment{Sendings: s(nil), Runs: []Run{one}, Arrivals: []Run{one}, LeftAt: map[string]time.Duration{"e": 7 * time.Second}}, []Promise{Leaving}},
		{"work for nobody", Deployment{Sendings: s(func(v *Sending) { v.Left, v.Whole, v.Status = true, false, 0 }), Runs: []Run{late}}, []Promise{Stopped}},
		{"beyond its allowance", Deployment{Sendings: s(nil), Runs: []Run{costly}, Limits: []Limit{{"org", time.Second, 10}}}, []Promise{WithinAllowance}},
		{"not in force", Deployment{Sendings: []Sending{probe(2, 9*time.Second, 404)}, Published: map[int]time.Duration{2: 5 * time.Second}}, []Promise{InForce}},
		{"still in force", Deployment{Sendings: []Sending{probe(1, 9*time.Second, 500)}, Published: map[int]time.Duration{2: 5 * time.Second}}, []Promise{InForce}},
		{"went back", Deployment{Sendings: []Sending{probe(2, time.Second, 500), probe(1, 2*time.Second, 500)}}, []Promise{InForce}},
		{"no version known yet", Deployment{Sendings: []Sending{probe(2, time.Second, 503), probe(1, 2*time.Second, 503)}}, nil},
		{"sent to one that said that it leaves", Deployment{Sendings: []Sending{told, after(7 * time.Second)}, Runs: runs(7 * time.Second), Arrivals: runs(7 * time.Second), Words: []Word{{ID: "a", Endpoint: "e", At: 11 * time.Second, Leaving: true}}, DrainWithin: 2 * time.Second}, []Promise{Leaving}},
		{"sent by a VM that stood still since", Deployment{Sendings: []Sending{told, after(7 * time.Second)}, Runs: runs(7 * time.Second), Arrivals: runs(7 * time.Second), Words: []Word{{ID: "a", Endpoint: "e", At: 11 * time.Second, Leaving: true}}, DrainWithin: 2 * time.Second, Frozen: map[string][]Span{"v": {{12 * time.Second, 12 * time.Second}}}}, nil},
		{"no rest", Deployment{Sendings: []Sending{told, after(2 * time.Second)}, Runs: runs(2 * time.Second), Arrivals: slices.Repeat(runs(2*time.Second), 3), RepeatSlack: 9, MaxEndpoints: 9, Words: []Word{{ID: "a", Endpoint: "e", At: 11 * time.Second, Rest: 3 * time.Second}}}, []Promise{Rests}},
		{"beyond a limit", Deployment{Sendings: []Sending{told, after(7 * time.Second)}, Runs: runs(7 * time.Second), Arrivals: slices.Repeat(runs(7*time.Second), 12), RepeatSlack: 99, MaxEndpoints: 99, Words: []Word{{ID: "a", Endpoint: "e", At: 11 * time.Second, Limited: true}}, Needs: []Need{{Endpoint: "e", PerSecond: 1, Span: Span{10 * time.Second, 20 * time.Second}}}}, []Promise{Limited}},
		{"within a limit", Deployment{Sendings: []Sending{told, after(7 * time.Second)}, Runs: runs(7 * time.Second), Arrivals: slices.Repeat(runs(7*time.Second), 11), RepeatSlack: 99, MaxEndpoints: 99, Words: []Word{{ID: "a", Endpoint: "e", At: 11 * time.Second, Limited: true}}, Needs: []Need{{Endpoint: "e", PerSecond: 1, Span: Span{10 * time.Second, 20 * time.Second}}}}, nil},
		{"all well", Deployment{Sendings: s(nil), Runs: []Run{one}, Arrivals: []Run{one}}, nil},
		{"excused by faults", Deployment{Sendings: s(func(v *Sending) { v.Whole, v.Status, v.To = false, 0, 13*time.Second }), Unplanned: []Span{{9 * time.Second, 9 * time.Second}}, Disturbed: disturbed}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.d.Calm, c.d.DrainWithin, c.d.ConfigWithin, c.d.StopWithin = 3*time.Second, 2*time.Second, 2*time.Second, 500*time.Millisecond
			c.d.RepeatWindow, c.d.RepeatRatio, c.d.AnswerSlack = 10*time.Second, 0.2, 500*time.Millisecond
			if c.d.MaxEndpoints == 0 {
				c.d.MaxEndpoints = 2
			}
			var got []Promise
			for _, b := range c.d.Check() {
				got = append(got, b.Promise)
			}
			is.New(t).Equal(got, c.want)
		})
	}
}
