package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/members"
)

// mixedSlowness is the slowness of nine engines of three generations.
var mixedSlowness = []float64{0.55, 0.55, 0.55, 1, 1, 1, 2.8, 2.8, 2.8}

// workloadMix returns long, middle and short requests in three tiers. late is the share of
// their value that late responses keep.
func workloadMix(load, late float64) []requestKind {
	return []requestKind{
		{name: "long", tier: 0, perSecond: 14 * load, prompt: 6600, output: 380, spread: 1.2, objective: 800 * time.Millisecond, limit: 15 * time.Second, onTimeValue: 10, lateValue: 10 * late},
		{name: "middle", tier: 1, perSecond: 38 * load, prompt: 630, output: 290, spread: 1.2, objective: 300 * time.Millisecond, limit: 12 * time.Second, onTimeValue: 1.7, lateValue: 1.7 * late},
		{name: "short", tier: 2, perSecond: 21 * load, prompt: 1800, output: 22, spread: 1.2, objective: 400 * time.Millisecond, limit: 3 * time.Second, onTimeValue: 0.5, lateValue: 0.5 * late},
	}
}

// Guards against serving most requests late under overload. When more requests arrive than the
// engines can process, a queue forms; if it is ordered by objective alone, the oldest request
// is served first and is late by then, and so is the next. Load: twice the engines' capacity
// for 20 s.
func TestOverloadServesWhatCanBeOnTime(t *testing.T) {
	is := is.New(t)
	p := newSimulation(1, 8, 11, mixedSlowness, workloadMix(2, 0.1))
	p.run(20 * time.Second)
	t.Log(p)
	is.True(p.results[0].onTime > 5*p.results[0].late)
	is.True(p.results[1].onTime > p.results[1].late)
}

// Guards against several VMs taking the same slot: up to seven requests that were expected on
// time waited in the queue of one engine while others had capacity. Several VMs saw the free slot
// in each other's last notes, a tenth of a second old, and each took it. Load: one and a half
// times the engines' capacity; before turns were introduced, 0.15 of the middle tier were late
// despite a prediction on time.
func TestVMsDoNotTakeTheSameSlots(t *testing.T) {
	is := is.New(t)
	p := newSimulation(3, 8, 11, mixedSlowness, workloadMix(1.5, 0.1))
	p.run(20 * time.Second)
	t.Log(p)
	middle := p.results[1]
	is.True(fraction(middle.mispredicted, middle.submitted) < 0.05)
	is.True(p.valueShare() > 0.75)
}

// At a load well within the engines' capacity nearly all requests are on time.
func TestModerateLoadIsOnTime(t *testing.T) {
	is := is.New(t)
	p := newSimulation(1, 8, 11, mixedSlowness, workloadMix(0.5, 0.1))
	p.run(20 * time.Second)
	t.Log(p)
	for _, r := range p.results {
		is.True(fraction(r.onTime, r.submitted) > 0.9)
	}
}

// Guards against requests that wait for a turn although there is capacity for all: with 66 VMs a
// third of the requests were late under light load, with half of the slots free. VMs receive
// most peers' loads only once in half a second, so each endpoint was left to the VMs ranked
// first, while the others waited in vain, and endpoints in other domains were taken by several
// VMs at once, since stale loads counted as if they were recent. Load: half of the engines'
// capacity; before, 0.96 of the value was earned, and 0.87 with the engines just full.
func TestNoSlotTurnsWithSpareCapacity(t *testing.T) {
	is := is.New(t)
	var slow []float64
	for i := range 60 {
		slow = append(slow, mixedSlowness[i%len(mixedSlowness)])
	}
	p := newMultiDomainSimulation(1, 66, 10, 4, slow, workloadMix(0.5*60/9*10/11, 0.3))
	p.run(6 * time.Second)
	t.Log(p)
	is.True(p.valueShare() > 0.975)
}

// Guards against turns based on stale loads: with 66 VMs, 58 of 100 requests under heavy load
// met a full engine. A VM receives loads of other failure domains twice a second at best, and a
// slot that seems free there was taken long ago by VMs of that domain. Load: twice the engines'
// capacity; before, 0.54 of the value was earned.
func TestNoSlotTurnsOnStaleLoads(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var slow []float64
	for i := range 60 {
		slow = append(slow, mixedSlowness[i%len(mixedSlowness)])
	}
	p := newMultiDomainSimulation(1, 66, 10, 4, slow, workloadMix(2*60/9*10/11, 0.3))
	p.run(8 * time.Second)
	t.Log(p)
	is.True(p.valueShare() > 0.64)
}

// Each endpoint of a large deployment is used by about as many VMs as any other, mostly by VMs
// of its own failure domain.
func TestEndpointSubsetsAreBalanced(t *testing.T) {
	is := is.New(t)
	const vms, endpoints, domains = 200, 1300, 4
	var list []*members.Endpoint
	for i := range endpoints {
		list = append(list, &members.Endpoint{ID: fmt.Sprintf("e%04d", i), FailureDomain: fmt.Sprint(i % domains)})
	}
	users, near := map[string]int{}, 0
	for i := range vms {
		s := New(fmt.Sprint(i), fmt.Sprint(i%domains))
		chosen := s.chooseSubset(list)
		is.Equal(len(chosen), maxUsedEndpoints)
		for _, m := range chosen {
			users[m.ID]++
			if m.FailureDomain == s.domain {
				near++
			}
		}
	}
	mean := float64(vms*maxUsedEndpoints) / endpoints
	for _, m := range list {
		is.True(users[m.ID] > 0)
		is.True(float64(users[m.ID]) < 2.5*mean)
	}
	is.Equal(near, vms*(maxUsedEndpoints-minFarEndpoints))
}

// Guards against turns at the slots of plain services: a third of the lookups of one were late
// though its servers had capacity. Its responses take 60 ms, while each of 66 VMs waited a tenth of
// a second or more for its turn. A turn costs more there than the short queue that it avoids.
func TestNoSlotTurnsForPlainServices(t *testing.T) {
	is := is.New(t)
	for i := range 66 {
		s := New(fmt.Sprint(i), "a")
		s.SetEndpoints(0, "plain", []*members.Endpoint{{ID: "p1", Service: "plain", Slots: 6, FailureDomain: "a"}}, false)
		for j := range 66 {
			if j != i {
				s.ApplyPeerLoads(0, fmt.Sprint(j), "a", nil, true)
			}
		}
		s.ApplyPeerLoads(0, "busy", "a", []EndpointLoad{{EndpointHash("p1"), Load{Waiting: 5}}}, true)
		got := s.Submit(0, Job{Handle: 1, Service: "plain", Objective: 300 * time.Millisecond, AbandonAt: 2 * time.Second})
		is.Equal(len(got), 1)
		is.True(got[0].Endpoint != nil)
	}
}

// Guards against long retry delays under overload: refused callers were told to retry after up
// to 6 s, when their timeout had nearly passed, and few were served then. The delay grew with
// the ratio of refusals to placements. It must be the same under any load, and jittered, so
// that callers refused together come back one after the other.
func TestRetryAfterIsShortAndJittered(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{0.5, 3} {
		p := newSimulation(1, 8, 11, mixedSlowness, workloadMix(load, 0.1))
		p.run(8 * time.Second)
		const parts, n = 4, 400
		var in [parts]int
		for h := range uint64(n) {
			back := retryAfter(&Job{Handle: h})
			is.True(back >= meanRetryAfter/2)
			is.True(back < meanRetryAfter/2+meanRetryAfter)
			in[int(back-meanRetryAfter/2)*parts/int(meanRetryAfter)]++
		}
		for _, k := range in {
			is.True(k > n/parts/2)
		}
		for _, s := range p.schedulers {
			for _, d := range append(s.Submit(p.now, Job{Handle: 1 << 40, Service: "none", AbandonAt: p.now + time.Second}), s.Tick(p.now)...) {
				is.Equal(d.Endpoint, nil)
				is.Equal(d.RetryAfter, retryAfter(&Job{Handle: d.Handle}))
			}
		}
	}
}

// Guards against waiting for the turns of a VM that died: requests waited 0.8 s while slots
// were free. Of two VMs that share an engine, one falls silent; it still counted as taking
// slots, by a load that became stale, and with stale loads no VM takes slots that may be taken
// already. It must count as down after a few missed notes.
func TestSilentVMTakesNoSlots(t *testing.T) {
	is := is.New(t)
	s := New("self", "a")
	s.SetEndpoints(0, simService, []*members.Endpoint{{ID: "e", Service: simService, Slots: 4, FailureDomain: "a"}}, true)
	now := time.Duration(0)
	submit := func(h uint64) bool {
		out := s.Submit(now, Job{Handle: h, Service: simService, Objective: now + time.Second, AbandonAt: now + 2*time.Second})
		return len(out) == 1 && out[0].Endpoint != nil
	}
	h := uint64(0)
	for ; now < 2*time.Second; now += 100 * time.Millisecond {
		s.ApplyPeerLoads(now, "other", "a", nil, true)
		h++
		is.True(submit(h))
		s.RecordEvents(now, h, 1)
		s.EndRun(now, h, Answered)
	}
	now += 500 * time.Millisecond
	is.True(submit(h + 1))
}

// Guards against refusing requests late: nine in ten refused requests had been queued for 1.3
// to 1.8 s of the 2 s that their callers wait. Under overload requests of the middle tier
// become late and wait behind newer ones, those of the lowest tier wait behind both, and the
// expected wait was computed from the placements of all tiers together. Load: one and a half
// times the engines' capacity, one scheduler for all requests. The earned value stays the same
// (0.85), callers are refused within a quarter of a second.
func TestRefusalsComeEarly(t *testing.T) {
	is := is.New(t)
	p := newSimulation(0, 1, 11, mixedSlowness, workloadMix(1.5, 0.3))
	p.run(20 * time.Second)
	t.Log(p)
	for _, r := range p.results[1:] {
		is.True(r.refused > 50)
		is.True(r.queuedTime.Seconds()/float64(r.refused) < 0.3)
	}
	is.True(p.valueShare() > 0.83)
}

// Guards against preferring endpoints near the placer rather than near the sender: when a VM of
// another failure domain placed the requests, they went to engines of that domain, and a domain
// that was then partitioned lost more requests than before.
func TestProximityIsToTheSender(t *testing.T) {
	is := is.New(t)
	s := New("self", "a")
	list := []*members.Endpoint{
		{ID: "ea", Service: simService, Slots: 4, FailureDomain: "a"},
		{ID: "eb", Service: simService, Slots: 4, FailureDomain: "b"},
	}
	s.SetEndpoints(0, simService, list, true)
	for h, domain := range map[uint64]string{1: "a", 2: "b"} {
		out := s.Submit(0, Job{Handle: h, Service: simService, Objective: time.Second, AbandonAt: time.Second, Remote: true, SenderDomain: domain})
		is.Equal(out[0].Endpoint.FailureDomain, domain)
		s.EndRun(0, h, CallerDisconnected)
	}
}

// Guards against streams that break in a partition although they could have run in their
// caller's own failure domain. Engines of other domains that were slightly faster or emptier
// got the requests, since only a round trip was counted for another domain. Near engines come
// first while a response is on time there and at most a tenth of a second slower.
func TestNearEndpointsArePreferredWhileOnTime(t *testing.T) {
	is := is.New(t)
	s := New("self", "a")
	s.SetEndpoints(0, simService, []*members.Endpoint{
		{ID: "near", Service: simService, Slots: 4, FailureDomain: "a"},
		{ID: "far", Service: simService, Slots: 4, FailureDomain: "b"},
	}, true)
	paces := func(near, far time.Duration) {
		for range 200 {
			s.ApplyPeerLoads(0, "other", "b", []EndpointLoad{{EndpointHash("near"), Load{EventGap: near}}, {EndpointHash("far"), Load{EventGap: far}}}, false)
		}
	}
	pick := func(h uint64, objective time.Duration) string {
		out := s.Submit(0, Job{Handle: h, Service: simService, Objective: objective, AbandonAt: 2 * time.Second})
		s.EndRun(0, h, CallerDisconnected)
		return out[0].Endpoint.ID
	}
	paces(60*time.Millisecond, 20*time.Millisecond)
	is.Equal(pick(1, time.Second), "near")
	// Not on time at the near engine.
	is.Equal(pick(2, 50*time.Millisecond), "far")
	// The near engine is much slower.
	paces(200*time.Millisecond, 20*time.Millisecond)
	is.Equal(pick(3, time.Second), "far")
}

// Guards against treating suspicion as proof that an endpoint is down: under overload a third
// of the requests were placed without the placer's knowledge and overfilled engines. A full
// engine takes longer than predicted to send first events, so the sending VM took it for
// silent, refused to adopt what the placer sent there, and placed those requests alone. Only a
// failed probe may block adoption.
func TestSuspicionWithoutProbeAllowsAdoption(t *testing.T) {
	is := is.New(t)
	s := New("self", "a")
	s.SetEndpoints(0, simService, []*members.Endpoint{{ID: "e", Service: simService, Slots: 4, FailureDomain: "a"}}, true)
	job := Job{Service: simService, Objective: time.Second, AbandonAt: 2 * time.Second}
	adopt := func(now time.Duration, h uint64) bool {
		j := job
		j.Handle = h
		dec, _ := s.Adopt(now, j, EndpointHash("e"), 50*time.Millisecond, 0)
		return dec != nil
	}
	is.True(adopt(0, 1))
	now := 2 * time.Second
	is.Equal(len(s.DueProbes(now)), 1) // the endpoint seems silent
	is.True(adopt(now, 2))
	is.Equal(len(s.Unavailable(now, simService)), 0)
	s.RecordProbe(now, "e", false)
	now += time.Second
	is.Equal(len(s.DueProbes(now)), 1)
	is.True(!adopt(now, 3))
	is.Equal(s.Unavailable(now, simService), []uint64{EndpointHash("e")})
}

// Guards against short jobs of the lowest tier waiting behind late jobs of the middle tier
// until they are late too: the lowest tier earned 0.26 to 0.285 of its attainable value under
// bursts, where 0.30 was required, because tiers had strict priority. Load: one and a half
// times the engines' capacity, one scheduler for all requests. Before, 0.18 of the lowest tier
// were on time.
func TestShortJobsPrecedeLateJobs(t *testing.T) {
	is := is.New(t)
	onTime, submitted, long := 0, 0, 0.0
	for seed := range uint64(4) {
		p := newSimulation(seed, 1, 11, mixedSlowness, workloadMix(1.5, 0.5))
		p.run(20 * time.Second)
		onTime, submitted = onTime+p.results[2].onTime, submitted+p.results[2].submitted
		long += fraction(p.results[0].onTime, p.results[0].submitted) / 4
	}
	t.Logf("on time: %.3f of the lowest tier, %.3f of the highest", fraction(onTime, submitted), long)
	is.True(fraction(onTime, submitted) > 0.2)
	is.True(long > 0.92)
}

// Guards against every VM probing what one VM suspects: a partition of a failure domain led to
// 350,000 new connections in a run of 128,000 requests. Each VM that received the suspicion,
// including those that delegate placement, opened connections to all endpoints of the domain
// once a second. Placers probe, and any VM probes an endpoint that it could not reach itself.
func TestOnlyPlacersProbeOnPeerSuspicion(t *testing.T) {
	is := is.New(t)
	list := []*members.Endpoint{
		{ID: "x", Service: "v", Slots: 6, FailureDomain: "a"},
		{ID: "y", Service: "v", Slots: 6, FailureDomain: "a"},
	}
	for _, asks := range []bool{true, false} {
		s := New("self", "a")
		s.SetPlacer("placer", asks)
		s.SetEndpoints(0, "v", list, true)
		now := 2 * time.Second
		s.ApplyPeerLoads(now, "other", "a", []EndpointLoad{{EndpointHash("x"), Load{SuspectedDown: true}}}, true)
		probes := s.DueProbes(now)
		is.Equal(len(probes) == 0, asks)
		d, reason := s.Adopt(now, Job{Handle: 1, Service: "v", PromptTokens: 100}, EndpointHash("y"), time.Second, 0)
		is.Equal(reason, UnusableReason(""))
		s.EndRun(now, d.Handle, Unreachable)
		probes = s.DueProbes(now)
		is.Equal(len(probes), 1)
		is.Equal(probes[0].Key, "y")
	}
}

// Guards against filling an endpoint that returns before its incarnation is verified: 441
// requests were rejected by endpoints other than the intended ones, and 265 callers were
// refused as a result. Endpoints crash and refuse connections, others start at the same
// addresses and accept them, and an open connection counted as contact with the earlier
// incarnation; all their slots were filled before the first response. One request is sent, and
// more once something is received.
func TestReturningEndpointGetsOneRequestFirst(t *testing.T) {
	is := is.New(t)
	s := New("self", "a")
	s.SetEndpoints(0, "v", []*members.Endpoint{{ID: "x", Service: "v", Slots: 6, FailureDomain: "a"}}, true)
	now, handle := time.Second, uint64(0)
	submit := func() []Decision {
		handle++
		return s.Submit(now, Job{Handle: handle, Service: "v", PromptTokens: 700, ExpectedEvents: 5, Objective: now + 5*time.Second, AbandonAt: now + 9*time.Second})
	}
	is.Equal(len(submit()), 1)
	s.EndRun(now, handle, Unreachable)
	for range 2 {
		is.Equal(len(s.DueProbes(now)), 1)
		s.RecordProbe(now, "x", false)
		now += time.Second
	}
	is.Equal(len(submit()), 0)
	is.Equal(len(s.DueProbes(now)), 1)
	s.RecordProbe(now, "x", true)
	first := s.Tick(now)
	is.Equal(len(first), 1)
	for range 3 {
		is.Equal(len(submit()), 0)
	}
	s.RecordEvents(now, first[0].Handle, 1)
	is.Equal(len(s.Tick(now)), 3)
}
