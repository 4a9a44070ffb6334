package dispatch

import (
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chivefield/chivefield/core/members"
)

// quantile sorts a list and returns a quantile of it.
func quantile(list []float64, q float64) float64 {
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

// Guards against predicted times below zero and loads with more unprocessed prompt tokens than
// a year of processing, which occurred in half of the placements. With fifteen tokens per
// event, the first event of a short prompt, which holds one, arrives sooner than the event gap.
// It was assumed to take as long as any other, so the prefill time, computed as the remainder,
// became zero, and a division by it wrapped.
func TestShortFirstEventsGiveValidPredictions(t *testing.T) {
	for _, tokens := range []int{3, 6, 15, 30} {
		t.Run(strconv.Itoa(tokens), func(t *testing.T) {
			is := is.New(t)
			p := newSimulation(1, 1, 11, mixedSlowness, workloadMix(0.7, 0.3))
			p.tokens = tokens
			p.run(15 * time.Second)
			t.Logf("observed/predicted time to the first event: p10 %.2f, median %.2f, p90 %.2f; %v",
				quantile(p.firstEventRatios, 0.1), quantile(p.firstEventRatios, 0.5), quantile(p.firstEventRatios, 0.9), p)
			is.Equal(p.invalidDecisions, 0)
			is.True(quantile(p.firstEventRatios, 0.5) > 0.75 && quantile(p.firstEventRatios, 0.5) < 1.25)
			is.True(quantile(p.firstEventRatios, 0.9) < 2)
			is.True(quantile(p.firstEventRatios, 0.1) > 0.5)
		})
	}
}

// Guards against the same fault with a prefill time that approaches zero without reaching it:
// the first event of a prompt takes longer than the event gap on a busy engine, and less on
// idle ones. Then a prompt waits.
func TestPrefillEstimateStaysPositive(t *testing.T) {
	is := is.New(t)
	s := New("self", "a")
	s.SetEndpoints(0, "v", []*members.Endpoint{{ID: "x", Service: "v", Slots: 6, FailureDomain: "a"}}, true)
	now, handle := time.Duration(0), uint64(0)
	answer := func(first time.Duration) Decision {
		handle++
		out := s.Submit(now, Job{Handle: handle, Service: "v", PromptTokens: 1000, Objective: now + time.Second, AbandonAt: now + 2*time.Second})
		is.Equal(len(out), 1)
		now += first
		for range 4 {
			s.RecordEvents(now, handle, 1)
			now += 50 * time.Millisecond
		}
		s.EndRun(now, handle, Answered)
		return out[0]
	}
	answer(80 * time.Millisecond)
	answer(80 * time.Millisecond)
	for range 200 {
		answer(20 * time.Millisecond)
	}
	s.Submit(now, Job{Handle: 1000, Service: "v", PromptTokens: 6000, Objective: now + time.Second, AbandonAt: now + 2*time.Second})
	now += 5 * time.Millisecond
	d := answer(20 * time.Millisecond)
	t.Logf("predicted %v with %d unprocessed prompt tokens ahead", d.Predicted, d.Load.PromptTokens)
	is.True(d.Predicted > 0 && d.Predicted < time.Second)
	is.True(d.Load.PromptTokens >= 0 && d.Load.PromptTokens <= 6000)
}

// Guards against the same faults for arbitrary input: whatever engines and other VMs report, in
// whatever order, predictions are possible times and loads are possible token counts.
func TestPredictionsAreValid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := New("self", "a")
		var list []*members.Endpoint
		for _, id := range []string{"x", "y", "z"} {
			list = append(list, &members.Endpoint{ID: id, Service: "v", Slots: 6, FailureDomain: "a"})
		}
		s.SetEndpoints(0, "v", list, true)
		now, handle := time.Duration(0), uint64(0)
		var running []uint64
		anyTime := rapid.SampledFrom([]time.Duration{0, 1, time.Microsecond, time.Millisecond, 40 * time.Millisecond, time.Second, time.Hour})
		anyTokens := rapid.SampledFrom([]int{0, 1, 500, 1000, 6600, 54000, math.MaxInt32, math.MaxInt64, -1, math.MinInt64})
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			// The clock of a note or an event may be slightly behind.
			now = max(0, now+anyTime.Draw(rt, "step")-time.Duration(rapid.IntRange(0, 2000).Draw(rt, "behind")))
			var out []Decision
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				handle++
				out = s.Submit(now, Job{Handle: handle, Service: "v", PromptTokens: anyTokens.Draw(rt, "prompt"), ExpectedEvents: anyTokens.Draw(rt, "events"), Objective: now + time.Second, AbandonAt: now + 2*time.Second, Remote: rapid.Bool().Draw(rt, "remote")})
			case 1:
				if len(running) > 0 {
					s.RecordEvents(now, rapid.SampledFrom(running).Draw(rt, "run"), rapid.IntRange(1, 3).Draw(rt, "events"))
				}
			case 2:
				if len(running) > 0 {
					out = s.EndRun(now, rapid.SampledFrom(running).Draw(rt, "run"), Answered)
				}
			default:
				u := Load{Running: rapid.IntRange(0, 4).Draw(rt, "running"), Waiting: rapid.IntRange(0, 2).Draw(rt, "waiting"), PromptTokens: anyTokens.Draw(rt, "unread"), EventGap: anyTime.Draw(rt, "gap")}
				s.ApplyPeerLoads(now, "other", "a", []EndpointLoad{{EndpointHash("x"), u}}, true)
			}
			for _, d := range append(out, s.Tick(now)...) {
				if d.Endpoint == nil {
					continue
				}
				running = append(running, d.Handle)
				if d.Predicted <= 0 || d.Predicted > maxPrediction {
					rt.Fatalf("predicted time to the first event is %v, want a value above 0", d.Predicted)
				}
				if d.Load.PromptTokens < 0 || d.Load.PromptTokens > maxTokens {
					rt.Fatalf("load has %d unprocessed prompt tokens", d.Load.PromptTokens)
				}
				if d.Load.EventGap <= 0 {
					rt.Fatalf("event gap is %v, want a value above 0", d.Load.EventGap)
				}
			}
		}
		for _, u := range s.Loads(now, true) {
			if u.PromptTokens < 0 || u.PromptTokens > maxTokens || u.EventGap < 0 || u.EventGap > maxPrediction {
				rt.Fatalf("reported load is out of range: %+v", u)
			}
		}
	})
}

// cellSim simulates a placer and the VMs it places for, which send their requests to one
// engine.
type cellSim struct {
	is      *is.I
	placer  *Scheduler
	members []*Scheduler
	now     time.Duration
	handle  uint64
	// streams are the handles of each member's streams. nextEvent is the time of the next event
	// of each.
	streams   [][]uint64
	nextEvent map[uint64]time.Duration
	// predictedGap is the event gap last assumed by the placer.
	predictedGap time.Duration
}

func newCellSim(t *testing.T, vms int) *cellSim {
	c := &cellSim{is: is.New(t), placer: New("placer", "a"), nextEvent: make(map[uint64]time.Duration), streams: make([][]uint64, vms)}
	list := []*members.Endpoint{{ID: "x", Service: "v", Slots: 12, FailureDomain: "a"}}
	c.placer.SetEndpoints(0, "v", list, true)
	for i := range vms {
		m := New(strconv.Itoa(i), "a")
		m.SetEndpoints(0, "v", list, true)
		c.members = append(c.members, m)
	}
	return c
}

// run simulates two concurrent streams of two seconds at each member, with the given event gap,
// and notes to the placer ten times a second.
func (c *cellSim) run(length, gap time.Duration) {
	for end := c.now + length; c.now < end; c.now += 5 * time.Millisecond {
		for i, m := range c.members {
			for len(c.streams[i]) < 2 {
				c.startStream(i, gap)
			}
			for _, h := range c.streams[i] {
				if c.now >= c.nextEvent[h] {
					m.RecordEvents(c.now, h, 1)
					c.nextEvent[h] = c.now + gap
				}
			}
			if c.now%(2*time.Second) == 0 {
				for _, h := range c.streams[i] {
					m.EndRun(c.now, h, Answered)
					c.placer.EndRun(c.now, h, Answered)
				}
				c.streams[i] = nil
			}
			if c.now%(100*time.Millisecond) == 0 {
				c.placer.ApplyPeerLoads(c.now, strconv.Itoa(i), "a", m.Loads(c.now, c.now%time.Second == 0), false)
			}
		}
	}
}

func (c *cellSim) startStream(i int, gap time.Duration) {
	c.handle++
	j := Job{Handle: c.handle, Service: "v", PromptTokens: 700, ExpectedEvents: 10, Objective: c.now + 5*time.Second, AbandonAt: c.now + 9*time.Second, Remote: true}
	out := c.placer.Submit(c.now, j)
	c.is.Equal(len(out), 1)
	c.predictedGap = out[0].Load.EventGap
	j.Remote = false
	d, reason := c.members[i].Adopt(c.now, j, EndpointHash(out[0].Endpoint.Key()), out[0].Predicted, 0)
	c.is.True(d != nil)
	c.is.Equal(reason, UnusableReason(""))
	c.streams[i] = append(c.streams[i], c.handle)
	c.nextEvent[c.handle] = c.now + gap
}

// Guards against placers that learn of slow engines late: of the responses that were late at
// normal load, half had a pause longer than their kind allows, at engines whose event gap was
// estimated at a third of its real value. When an engine becomes five times slower the VMs that
// send to it observe it, but the placer received only their estimates, once a second, made from
// what each had observed seconds ago, and averaged them. Load: three VMs with two streams each,
// event gaps of 50 ms, then 250 ms, then 50 ms again.
func TestPlacerDetectsSlowEngines(t *testing.T) {
	c := newCellSim(t, 3)
	c.run(4*time.Second, 50*time.Millisecond)
	usual := c.predictedGap
	c.run(3*time.Second, 250*time.Millisecond)
	slow := c.predictedGap
	c.run(3*time.Second, 50*time.Millisecond)
	t.Logf("predicted event gap: normal %v, slow %v, normal again %v", usual, slow, c.predictedGap)
	c.is.True(usual < 60*time.Millisecond)
	c.is.True(slow > 150*time.Millisecond)
	c.is.True(c.predictedGap < 75*time.Millisecond)
}

// Guards against cached prompts lowering the prefill estimate: one placer of six sent prompts
// of 5,000 tokens to engines where it expected prefill in 12 ms, and it took 150 to 500.
// Engines cache the prompts of sessions that continue, and their first events arrive at once;
// the estimate followed the lowest value that was observed. Load: one prompt in seven is
// cached.
func TestCachedPromptsDoNotSkewPrefillEstimate(t *testing.T) {
	checkPrefillEstimate(t, 2000, []int{300, 1500, 5000, 20000}, []int{1500, 5000, 20000}, func(i int, first, reading float64) float64 {
		if i%7 == 6 {
			return first
		}
		return first + reading
	})
}

// checkPrefillEstimate checks that prefill times are learned from n first events of the given
// prompts in rotation. took returns the time to the i-th first event, given the times of a
// first event and of prefill.
func checkPrefillEstimate(t *testing.T, n int, prompts, checked []int, took func(i int, first, reading float64) float64) {
	t.Helper()
	is := is.New(t)
	const gap, read = 0.05, 20e-6
	e := &endpoint{eventGap: lowEstimate{value: gap, samples: 10}}
	var p latencyModel
	for i := range n {
		prompt := prompts[i%len(prompts)]
		p.observeFirstEvent(toDuration(took(i, 0.3*gap, read*float64(prompt))), &run{job: &Job{PromptTokens: prompt}, ep: e})
	}
	for _, prompt := range checked {
		got := p.prefillTime(e, prompt) / read
		t.Logf("prompt of %d tokens: estimated/actual prefill time %.2f, first event factor %.2f", prompt, got, p.firstEventFactor())
		is.True(got > 0.8 && got < 1.2)
	}
	is.True(p.firstEventFactor() > 0.2 && p.firstEventFactor() < 0.4)
}

// Guards against an estimate that does not recover from a bad start: two placers of six
// predicted a tenth of the prefill time for as long as they ran. At first, engines count as
// five times slower than they are, so first events take next to no time as a multiple of the
// event gap, and the prefill time is learned as its lower bound. Every prompt then seems to
// spend most of its time on the first event, which was taken to reveal nothing about prefill:
// what an observation measured depended on the estimates. Load: forty first events that seem
// too soon, then normal ones.
func TestPredictionsRecoverFromABadStart(t *testing.T) {
	checkPrefillEstimate(t, 600, []int{300, 800, 1500, 5000}, []int{800, 5000, 20000}, func(i int, first, reading float64) float64 {
		if i < 40 {
			return (first + reading) / 20
		}
		return first + reading
	})
}
