package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/members"
)

// Guards against a plain endpoint that was silent for a second once and gets no more requests, as its mean
// response time stays above what the others ever reach. Load: 400 requests a second at three
// endpoints of four slots that take 20 ms; one that stays slow gets few.
func TestSlowPlainEndpointIsTriedAgain(t *testing.T) {
	for _, c := range []struct {
		name       string
		slowUntil  time.Duration
		atLeast    int
		atMost     int
		countAfter time.Duration
	}{{"silent once", 2 * time.Second, 800, 1 << 20, 10 * time.Second}, {"slow for good", time.Hour, 1, 160, 10 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New("vm", "a")
			var list []*members.Endpoint
			for i := range 3 {
				list = append(list, &members.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 4})
			}
			s.SetEndpoints(0, "s", list, false)
			ends := make(map[time.Duration][]uint64)
			placed := make(map[string]int)
			const step = 5 * time.Millisecond
			for now := time.Duration(0); now < 30*time.Second; now += step {
				for _, h := range ends[now] {
					s.RecordEvents(now, h, 1)
					s.EndRun(now, h, Answered)
				}
				delete(ends, now)
				var decisions []Decision
				for i := range uint64(2) {
					handle := 2*uint64(now/step) + i + 1
					decisions = append(decisions, s.Submit(now, Job{Handle: handle, Service: "s", Objective: now + 300*time.Millisecond, AbandonAt: now + 4*time.Second})...)
				}
				for _, d := range append(decisions, s.Tick(now)...) {
					if d.Endpoint == nil {
						continue
					}
					took := 20 * time.Millisecond
					if d.Endpoint.ID == "e0" && now >= time.Second && now < c.slowUntil {
						took = 600 * time.Millisecond
					}
					ends[now+took] = append(ends[now+took], d.Handle)
					if now >= c.countAfter {
						placed[d.Endpoint.ID]++
					}
				}
			}
			t.Log(placed)
			is.True(placed["e0"] >= c.atLeast)
			is.True(placed["e0"] <= c.atMost)
		})
	}
}
