package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/rollout"
	"github.com/chivefield/chivefield/logging"
)

const testBound = 0.1

// versioned returns n endpoints of a version.
func versioned(version string, n int) []*members.Endpoint {
	var list []*members.Endpoint
	for i := range n {
		list = append(list, &members.Endpoint{ID: fmt.Sprint(version, "-", i), Service: "s", Version: version, Slots: 4})
	}
	return list
}

// countVersions counts endpoints by version, canaries separately.
func countVersions(list []*members.Endpoint) map[string]int {
	n := make(map[string]int)
	for _, e := range list {
		key := e.Version
		if e.Canary {
			key += " canary"
		}
		n[key]++
	}
	return n
}

func testRollout(phase rollout.Phase) *rolloutState {
	return &rolloutState{order: rollout.Order{Service: "s", Version: "v2", Duration: 10 * time.Second}, phase: phase, phaseKnown: true}
}

func TestUsableVersions(t *testing.T) {
	const now = time.Minute
	both := append(versioned("v1", 20), versioned("v2", 20)...)
	for _, c := range []struct {
		name string
		m    func(m *rolloutState)
		list []*members.Endpoint
		want map[string]int
	}{
		{"canary phase", func(m *rolloutState) {}, both, map[string]int{"v1": 20, "v2 canary": 2}},
		{"phase unknown: old version", func(m *rolloutState) { m.phaseKnown = false }, both, map[string]int{"v1": 20}},
		{"phase unknown and no old version: new version", func(m *rolloutState) { m.phaseKnown = false }, both[20:], map[string]int{"v2": 20}},
		{"moving", func(m *rolloutState) { m.phase, m.shiftingSince = rollout.Shifting, now }, both, map[string]int{"v1": 20, "v2 canary": 20}},
		{"moved", func(m *rolloutState) { m.phase, m.shiftingSince = rollout.Shifting, now-5*time.Second }, both, map[string]int{"v2": 20}},
		{"moved, but the new version is gone", func(m *rolloutState) { m.phase, m.shiftingSince = rollout.Shifting, now-5*time.Second }, both[:20], map[string]int{"v1": 20}},
		{"rolled back", func(m *rolloutState) { m.phase = rollout.RolledBack }, both, map[string]int{"v1": 20}},
		{"just completed", func(m *rolloutState) { m.phase, m.finalSince = rollout.Completed, now }, both, map[string]int{"v2": 20}},
		{"completed long ago: all listed versions are used", func(m *rolloutState) { m.phase = rollout.Completed }, both, map[string]int{"v1": 20, "v2": 20}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := testRollout(rollout.Canary)
			c.m(m)
			is.New(t).Equal(countVersions(m.usableEndpoints(now, c.list, testBound)), c.want)
		})
	}
}

// Guards against requests that wait 1.8 s and are refused while endpoints are idle during a
// rollout. The placer has shifted all requests; a VM that asks it is some ms behind, rejects each
// new endpoint as a canary, and then avoids all of them when it places requests itself, where the
// old ones are no longer used. The log showed five lines "held_back" within 5 ms, then "too_late".
func TestPlacerIsAheadWhileRequestsShift(t *testing.T) {
	is := is.New(t)
	ep := versioned("v2", 1)[0]
	m := testRollout(rollout.Shifting)
	m.listedOld, m.listedNew = 1, 1
	is.True(m.admits(0, ep, false, testBound)) // the shift has just begun
	m.phase = rollout.Canary
	is.True(!m.admits(0, ep, false, testBound))
	is.True(m.admits(0, ep, true, testBound))
	m.phase = rollout.RolledBack
	is.True(!m.admits(0, ep, true, testBound))
}

// A starting process may read verdicts before orders or after them.
func TestStatusIsReadBeforeTheOrder(t *testing.T) {
	is := is.New(t)
	d := New(Options{Settings: testSettings(t, true), Log: logging.New(io.Discard), Codec: oneStatus{}})
	r := d.rollouts
	r.loadStatuses([]Record{{Key: "status"}})
	r.applyOrder(rollout.Order{Service: "s", Version: "v2", Duration: time.Second}, Position{}, 0, nil)
	is.Equal(r.byService["s"].phase, rollout.RolledBack)
	// The same order written again changes nothing, an order for another version starts over, and
	// an older order that arrives late is ignored.
	r.applyOrder(rollout.Order{Service: "s", Version: "v2", Duration: time.Second}, Position{Offset: 5}, 0, nil)
	is.Equal(r.byService["s"].phase, rollout.RolledBack)
	r.applyOrder(rollout.Order{Service: "s", Version: "v3", Duration: time.Second}, Position{Offset: 7}, 0, nil)
	is.Equal(r.byService["s"].phase, rollout.Canary)
	r.applyOrder(rollout.Order{Service: "s", Version: "v2", Duration: time.Second}, Position{Offset: 6}, 0, nil)
	is.Equal(r.byService["s"].order.Version, "v3")
}

// oneStatus is a codec that decodes each record as the rollback of a rollout of v2.
type oneStatus struct{ Codec }

func (oneStatus) DecodeRolloutStatus(Record) (*RolloutStatus, error) {
	return &RolloutStatus{Service: "s", Version: "v2", Phase: rollout.RolledBack}, nil
}

// A version without an order is used once it has been listed for its settle time; versions found
// at a process's start are used at once.
func TestUnorderedVersionsSettle(t *testing.T) {
	is := is.New(t)
	d := New(Options{Settings: testSettings(t, true), Log: logging.New(io.Discard)})
	both := append(versioned("v1", 2), versioned("v2", 1)...)
	is.Equal(countVersions(d.rollouts.usableEndpoints(0, "s", both)), map[string]int{"v1": 2, "v2": 1})
	all := append(both, versioned("v3", 1)...)
	is.Equal(countVersions(d.rollouts.usableEndpoints(time.Second, "s", all)), map[string]int{"v1": 2, "v2": 1})
	is.True(!d.rollouts.takeTransition(time.Second + d.versionSettleTime()/2))
	is.True(d.rollouts.takeTransition(time.Second + d.versionSettleTime()))
	is.Equal(countVersions(d.rollouts.usableEndpoints(time.Second+d.versionSettleTime(), "s", all)), map[string]int{"v1": 2, "v2": 1, "v3": 1})
	// The only listed version is used at once.
	is.Equal(countVersions(d.rollouts.usableEndpoints(4*time.Second, "s", versioned("v4", 1))), map[string]int{"v4": 1})
}

// Guards against a version that is not used until another endpoint changes, since the process stood still as it settled.
func TestVersionSettlesDuringPause(t *testing.T) {
	is := is.New(t)
	d := New(Options{Settings: testSettings(t, true), Log: logging.New(io.Discard)})
	d.rollouts.usableEndpoints(0, "s", versioned("v1", 2))
	d.rollouts.usableEndpoints(time.Second, "s", append(versioned("v1", 2), versioned("v2", 1)...))
	is.True(!d.rollouts.takeTransition(2 * time.Second))
	is.True(d.rollouts.takeTransition(9 * time.Second))
	is.True(!d.rollouts.takeTransition(10 * time.Second))
}

// Guards against requests that stay at the old version, or never return to it, since the process stood still as they
// shifted or as the old endpoints went.
func TestRolloutPhaseEndsDuringPause(t *testing.T) {
	is := is.New(t)
	d := New(Options{Settings: testSettings(t, true), Log: logging.New(io.Discard)})
	m := testRollout(rollout.Shifting)
	m.shiftingSince = time.Second
	d.rollouts.byService["s"] = m
	is.True(d.rollouts.takeTransition(1100 * time.Millisecond)) // requests shift step by step
	is.True(d.rollouts.takeTransition(time.Minute))             // the ramp ended during the pause
	is.True(!d.rollouts.takeTransition(time.Minute + time.Second))
	m.phase, m.finalSince = rollout.Completed, time.Minute
	is.True(!d.rollouts.takeTransition(time.Minute + oldVersionGoneAfter/2))
	is.True(d.rollouts.takeTransition(2 * time.Minute))
	is.True(!d.rollouts.takeTransition(3 * time.Minute))
}

// Guards against reports that grow with the service. They named each endpoint of the new version:
// by calculation a judge's link is full during a rollout of a service with 112 endpoints, and with
// 500 and more no report fits into a note. Reports must stay far below a note's size.
func TestReportsStaySmall(t *testing.T) {
	is := is.New(t)
	e := make(rollout.Evidence)
	keys := make([]string, 900)
	for i := range keys {
		keys[i] = fmt.Sprint("e", i)
	}
	slots := rollout.AssignSlots(keys)
	for _, route := range []string{"r-6q5rmmv", "r-tdhbjph", "r-a", "r-b"} {
		for _, key := range append(keys, "old") {
			e.Update(rollout.Group{Route: route, Endpoint: slots[key]}, func(c *rollout.Counts) {
				c.Answers += 100
				for ms := range 4000 {
					c.WholeAnswer.Observe(time.Duration(ms) * time.Millisecond)
					c.FirstEvent.Observe(time.Duration(ms/4) * time.Millisecond)
				}
			})
		}
	}
	size := proto.Size(reportToWire(rollout.Order{Service: "s", Version: "v2"}, e))
	t.Logf("%d B", size)
	is.True(size < maxDatagram/2)
}

// Guards against old endpoints that stop under the requests of a partitioned failure domain. A
// service shifts and a domain falls silent while the others have shifted; only reachable domains
// were asked whether they are drained. Found by reading the code.
func TestSilentFailureDomainDelaysCompletion(t *testing.T) {
	is := is.New(t)
	d := New(Options{Settings: testSettings(t, true), Log: logging.New(io.Discard)})
	own := d.settings.Vm.FailureDomain
	r := d.rollouts
	m := testRollout(rollout.Shifting)
	m.judge = newJudge(m.order)
	const pause = time.Second
	drained := func(now time.Duration, domains ...string) bool {
		judges := map[string]string{own: d.settings.Listen.Peers}
		m.judge.drainedVMs[d.settings.Listen.Peers] = now
		for _, domain := range domains {
			judges[domain] = "10.0.0.1:1"
			m.judge.drainedDomains[domain] = now
		}
		return r.allDrained(m, now, pause, judges)
	}
	is.True(drained(time.Second)) // no other failure domain is known
	d.peers.mergeList([]string{"10.0.0.1:1 b", "10.0.0.2:1 c"})
	is.True(drained(time.Second, "b", "c"))
	is.True(!drained(time.Second, "b"))
	is.True(drained(11*time.Second, "b")) // the duration is over: c counts as dead
	is.True(!drained(11 * time.Second))   // alone: this side reaches at most half of the failure domains
}
