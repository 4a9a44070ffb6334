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

// versioned are n endpoints of a version.
func versioned(version string, n int) []*members.Endpoint {
	var list []*members.Endpoint
	for i := range n {
		list = append(list, &members.Endpoint{ID: fmt.Sprint(version, "-", i), Service: "s", Version: version, Slots: 4})
	}
	return list
}

// versionsOf counts endpoints by version, those on trial apart.
func versionsOf(list []*members.Endpoint) map[string]int {
	n := make(map[string]int)
	for _, e := range list {
		key := e.Version
		if e.Trial {
			key += " on trial"
		}
		n[key]++
	}
	return n
}

func testMovement(phase rollout.Phase) *movement {
	return &movement{order: rollout.Order{Service: "s", Version: "v2", Duration: 10 * time.Second}, phase: phase, known: true}
}

func TestUsableVersions(t *testing.T) {
	const now = time.Minute
	both := append(versioned("v1", 20), versioned("v2", 20)...)
	for _, c := range []struct {
		name string
		m    func(m *movement)
		list []*members.Endpoint
		want map[string]int
	}{
		{"tried by a few requests", func(m *movement) {}, both, map[string]int{"v1": 20, "v2 on trial": 2}},
		{"not known how far: the old one", func(m *movement) { m.known = false }, both, map[string]int{"v1": 20}},
		{"not known how far, and no old one: served", func(m *movement) { m.known = false }, both[20:], map[string]int{"v2": 20}},
		{"moving", func(m *movement) { m.phase, m.movingSince = rollout.Moving, now }, both, map[string]int{"v1": 20, "v2 on trial": 20}},
		{"moved", func(m *movement) { m.phase, m.movingSince = rollout.Moving, now-5*time.Second }, both, map[string]int{"v2": 20}},
		{"moved, but the new one is gone", func(m *movement) { m.phase, m.movingSince = rollout.Moving, now-5*time.Second }, both[:20], map[string]int{"v1": 20}},
		{"rolled back", func(m *movement) { m.phase = rollout.RolledBack }, both, map[string]int{"v1": 20}},
		{"completed a moment ago", func(m *movement) { m.phase, m.finalSince = rollout.Completed, now }, both, map[string]int{"v2": 20}},
		{"completed long ago: versions of releases are used", func(m *movement) { m.phase = rollout.Completed }, both, map[string]int{"v1": 20, "v2": 20}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := testMovement(rollout.Trying)
			c.m(m)
			is.New(t).Equal(versionsOf(m.usable(now, c.list, testBound)), c.want)
		})
	}
}

// Symptom: some requests waited 1.8 s and were refused while a service moved, though endpoints
// stood idle. Sequence: the VM that places has moved all requests; the one that asks it is some
// ms behind, and passes over each new endpoint as one that is only tried; it then avoids
// them all when it places by itself, where the old ones are not used any more. Evidence: five
// lines "held_back" within 5 ms, then "too_late".
func TestPlacerIsAheadWhileRequestsMove(t *testing.T) {
	is := is.New(t)
	ep := versioned("v2", 1)[0]
	m := testMovement(rollout.Moving)
	m.listedOld, m.listedNew = 1, 1
	is.True(m.admits(0, ep, false, testBound)) // the first moment of the move
	m.phase = rollout.Trying
	is.True(!m.admits(0, ep, false, testBound))
	is.True(m.admits(0, ep, true, testBound))
	m.phase = rollout.RolledBack
	is.True(!m.admits(0, ep, true, testBound))
}

// A process that starts reads verdicts and orders in any order.
func TestStatusIsReadBeforeTheOrder(t *testing.T) {
	is := is.New(t)
	d := New(Options{Settings: testSettings(t, true), Log: logging.New(io.Discard), Codec: oneStatus{}})
	r := d.rollouts
	r.learn([]Record{{Key: "status"}})
	r.take(rollout.Order{Service: "s", Version: "v2", Duration: time.Second}, Position{}, 0, nil)
	is.Equal(r.byService["s"].phase, rollout.RolledBack)
	// The same order, written again, changes nothing; one for another version begins anew, and an
	// older one that comes late is nothing.
	r.take(rollout.Order{Service: "s", Version: "v2", Duration: time.Second}, Position{Offset: 5}, 0, nil)
	is.Equal(r.byService["s"].phase, rollout.RolledBack)
	r.take(rollout.Order{Service: "s", Version: "v3", Duration: time.Second}, Position{Offset: 7}, 0, nil)
	is.Equal(r.byService["s"].phase, rollout.Trying)
	r.take(rollout.Order{Service: "s", Version: "v2", Duration: time.Second}, Position{Offset: 6}, 0, nil)
	is.Equal(r.byService["s"].order.Version, "v3")
}

// oneStatus is a codec for which each record says that a move to v2 was rolled back.
type oneStatus struct{ Codec }

func (oneStatus) DecodeRolloutStatus(Record) (*RolloutStatus, error) {
	return &RolloutStatus{Service: "s", Version: "v2", Phase: rollout.RolledBack}, nil
}

// A version that nobody ordered is used once it has been listed for a while, those that a
// process finds at its start at once.
func TestUnorderedVersionsSettle(t *testing.T) {
	is := is.New(t)
	d := New(Options{Settings: testSettings(t, true), Log: logging.New(io.Discard)})
	both := append(versioned("v1", 2), versioned("v2", 1)...)
	is.Equal(versionsOf(d.rollouts.usable(0, "s", both)), map[string]int{"v1": 2, "v2": 1})
	all := append(both, versioned("v3", 1)...)
	is.Equal(versionsOf(d.rollouts.usable(time.Second, "s", all)), map[string]int{"v1": 2, "v2": 1})
	is.True(d.rollouts.changing(time.Second + versionSettles))
	is.Equal(versionsOf(d.rollouts.usable(time.Second+versionSettles, "s", all)), map[string]int{"v1": 2, "v2": 1, "v3": 1})
	// If nothing else is left it does not wait.
	is.Equal(versionsOf(d.rollouts.usable(4*time.Second, "s", versioned("v4", 1))), map[string]int{"v4": 1})
}

// Symptom, worked out: a judge's link is full while a service of 112 endpoints moves, and of 500 and
// more no report fits into a note. Cause: evidence named each endpoint of the new version. What a
// VM tells stays far below a note, whatever the service's size.
func TestReportsStaySmall(t *testing.T) {
	is := is.New(t)
	e := make(rollout.Evidence)
	keys := make([]string, 900)
	for i := range keys {
		keys[i] = fmt.Sprint("e", i)
	}
	slots := rollout.Slots(keys)
	for _, route := range []string{"r-6q5rmmv", "r-tdhbjph", "r-a", "r-b"} {
		for _, key := range append(keys, "old") {
			e.Count(rollout.Group{Route: route, Endpoint: slots[key]}, func(c *rollout.Counts) {
				c.Answers += 100
				for ms := range 4000 {
					c.Whole.Observe(time.Duration(ms) * time.Millisecond)
					c.First.Observe(time.Duration(ms/4) * time.Millisecond)
				}
			})
		}
	}
	size := proto.Size(reportOf(rollout.Order{Service: "s", Version: "v2"}, e))
	t.Logf("%d B", size)
	is.True(size < maxDatagram/2)
}

// Symptom, by reading: the old endpoints of a failure domain that was cut off would stop under its
// requests. Sequence: a service moves; a domain falls silent; the others have moved. Cause: only
// domains that are heard were asked whether anything runs at the old version.
func TestSilentFailureDomainIsWaitedFor(t *testing.T) {
	is := is.New(t)
	d := New(Options{Settings: testSettings(t, true), Log: logging.New(io.Discard)})
	own := d.settings.Vm.FailureDomain
	r := d.rollouts
	m := testMovement(rollout.Moving)
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
	is.True(drained(time.Second)) // no other is known
	d.peers.learnAll([]string{"10.0.0.1:1 b", "10.0.0.2:1 c"})
	is.True(drained(time.Second, "b", "c"))
	is.True(!drained(time.Second, "b"))
	is.True(drained(11*time.Second, "b")) // its time is over: taken for dead
	is.True(!drained(11 * time.Second))   // alone: this side is the one that is cut off
}
