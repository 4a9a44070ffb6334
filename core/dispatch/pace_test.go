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

// quantile of a list, which it sorts.
func quantile(list []float64, q float64) float64 {
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

// Symptom: predicted times below zero and engines with more unread tokens than a year of
// reading, at half of the placements. Sequence: an event holds fifteen tokens, so the first
// event of a short prompt, which holds one, comes sooner than a usual time between events;
// the time to read is what remains, nothing. Cause: the first event was taken to last as
// long as any other, and a division by the time to read wrapped.
func TestShortFirstEventsGiveValidPredictions(t *testing.T) {
	for _, tokens := range []int{3, 6, 15, 30} {
		t.Run(strconv.Itoa(tokens), func(t *testing.T) {
			is := is.New(t)
			p := newSimulation(1, 1, 11, mixedSlowness, workloadMix(0.7, 0.3))
			p.tokens = tokens
			p.run(15 * time.Second)
			t.Logf("seen over predicted %.2f at a tenth, %.2f at the median, %.2f at nine tenths; %v",
				quantile(p.firstEventRatios, 0.1), quantile(p.firstEventRatios, 0.5), quantile(p.firstEventRatios, 0.9), p)
			is.Equal(p.invalidDecisions, 0)
			is.True(quantile(p.firstEventRatios, 0.5) > 0.75 && quantile(p.firstEventRatios, 0.5) < 1.25)
			is.True(quantile(p.firstEventRatios, 0.9) < 2)
			is.True(quantile(p.firstEventRatios, 0.1) > 0.5)
		})
	}
}

// Symptom: as above. Sequence: the first event of a prompt on a busy engine takes longer
// than an event, those on idle engines less; what is learned tends to nothing without being
// nothing; a prompt waits.
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
	t.Logf("predicted %v behind %d unread tokens", d.Predicted, d.Load.PromptTokens)
	is.True(d.Predicted > 0 && d.Predicted < time.Second)
	is.True(d.Load.PromptTokens >= 0 && d.Load.PromptTokens <= 6000)
}

// Symptom: as above. Whatever engines and other VMs say, and in whatever order, predictions
// are times that can be and loads are numbers of tokens that can be.
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
			// The clock of a note or an event may be a moment behind.
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
					rt.Fatalf("predicted %v", d.Predicted)
				}
				if d.Load.PromptTokens < 0 || d.Load.PromptTokens > maxTokens {
					rt.Fatalf("%d tokens unread", d.Load.PromptTokens)
				}
				if d.Load.EventGap <= 0 {
					rt.Fatalf("events %v apart", d.Load.EventGap)
				}
			}
		}
		for _, u := range s.Loads(now, true) {
			if u.PromptTokens < 0 || u.PromptTokens > maxTokens || u.EventGap < 0 || u.EventGap > maxPrediction {
				rt.Fatalf("told: %+v", u)
			}
		}
	})
}

// cellSim is a VM that places for two others, which send their requests to one engine.
type cellSim struct {
	is      *is.I
	placer  *Scheduler
	members []*Scheduler
	now     time.Duration
	handle  uint64
	// streams are the handles of each member's streams, next when each has its next event.
	streams   [][]uint64
	nextEvent map[uint64]time.Duration
	// predictedGap is the pace that the placer assumed last.
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

// run lets two streams at a time run at each member for two seconds, with a time between
// events, and notes go to the placer ten times a second.
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
	d, why := c.members[i].Adopt(c.now, j, EndpointHash(out[0].Endpoint.Key()), out[0].Predicted, 0)
	c.is.True(d != nil)
	c.is.Equal(why, UnusableReason(""))
	c.streams[i] = append(c.streams[i], c.handle)
	c.nextEvent[c.handle] = c.now + gap
}

// Symptom: of the answers that were late at the usual load half had a pause over what their
// kind allows, at engines whose pace was known as a third of what it was. Sequence: an
// engine turns five times slower; the VMs that send to it see it, the one that places
// hears their opinions once a second, made from what each saw seconds ago. Cause: the placer
// learned paces by averaging opinions. The load: three VMs with two streams each, 50 ms
// between events, then 250 ms, then 50 ms again.
func TestPlacerDetectsSlowEngines(t *testing.T) {
	c := newCellSim(t, 3)
	c.run(4*time.Second, 50*time.Millisecond)
	usual := c.predictedGap
	c.run(3*time.Second, 250*time.Millisecond)
	slow := c.predictedGap
	c.run(3*time.Second, 50*time.Millisecond)
	t.Logf("usual %v, slow %v, usual again %v", usual, slow, c.predictedGap)
	c.is.True(usual < 60*time.Millisecond)
	c.is.True(slow > 150*time.Millisecond)
	c.is.True(c.predictedGap < 75*time.Millisecond)
}

// Symptom: one placer of six sent prompts of 5,000 tokens to engines where it expected them
// read in 12 ms; it took 150 to 500. Sequence: a few prompts, of sessions that go on, are
// kept whole by their engine, and their first event comes at once. Cause: the time to read
// followed the lowest that was seen. The load: one prompt in seven is kept.
func TestCachedPromptsDoNotSkewPrefillEstimate(t *testing.T) {
	checkPrefillEstimate(t, 2000, []int{300, 1500, 5000, 20000}, []int{1500, 5000, 20000}, func(i int, first, reading float64) float64 {
		if i%7 == 6 {
			return first
		}
		return first + reading
	})
}

// checkPrefillEstimate checks that the time to read prompts is learned from n first events of
// prompts in turns. took is how long the i-th takes, of what a first event and what reading
// its prompt takes.
func checkPrefillEstimate(t *testing.T, n int, prompts, checked []int, took func(i int, first, reading float64) float64) {
	t.Helper()
	is := is.New(t)
	const gap, read = 0.05, 20e-6
	e := &endpoint{eventGap: lowEstimate{value: gap, samples: 10}}
	var p latencyModel
	for i := range n {
		prompt := prompts[i%len(prompts)]
		p.observeFirstEvent(&run{job: &Job{PromptTokens: prompt}, ep: e}, toDuration(took(i, 0.3*gap, read*float64(prompt))))
	}
	for _, prompt := range checked {
		got := p.prefillTime(e, prompt) / read
		t.Logf("%d tokens: %.2f of the time to read, first events %.2f", prompt, got, p.firstEventFactor())
		is.True(got > 0.8 && got < 1.2)
	}
	is.True(p.firstEventFactor() > 0.2 && p.firstEventFactor() < 0.4)
}

// Symptom: two placers of six predicted a tenth of the time to read a prompt for as long as
// they ran. Sequence: in the first moments engines count as five times slower than they are,
// so first events come after next to no time between events; the time to read is learned as
// the least that can be; so each prompt seems to be one whose first event takes most of its
// time, and tells nothing of reading. Cause: what an observation told followed from what had
// been learned. The load: forty first events that seem too soon, then usual ones.
func TestPredictionsRecoverFromABadStart(t *testing.T) {
	checkPrefillEstimate(t, 600, []int{300, 800, 1500, 5000}, []int{800, 5000, 20000}, func(i int, first, reading float64) float64 {
		if i < 40 {
			return (first + reading) / 20
		}
		return first + reading
	})
}
