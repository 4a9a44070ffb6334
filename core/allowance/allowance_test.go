package allowance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Over any window all VMs together stay within what the operator tolerates,
// whatever VMs ask of each other, lose, and forget in restarts.
func TestVMsTogetherStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tol := Tolerance{Window: 8 * time.Second, Over: 0.1, Slack: float64(rapid.IntRange(0, 140000).Draw(t, "slack"))}
		terms := Terms{Organisation: "o", Rate: float64(rapid.IntRange(1000, 300000).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 300000).Draw(t, "burst"))}
		n := rapid.IntRange(1, 6).Draw(t, "vms")
		start := func(now time.Duration, full bool) *Ledger {
			l := New(tol, full)
			l.SetVMs(now, n)
			l.SetTerms(now, []Terms{terms})
			return l
		}
		vms := make([]*Ledger, n)
		for i := range vms {
			vms[i] = start(0, true)
		}
		type spending struct {
			at    time.Duration
			units float64
		}
		var spent []spending
		var now time.Duration
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, n-1).Draw(t, "vm")
			units := float64(rapid.IntRange(1, 60000).Draw(t, "units"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				vms[i] = start(now, false)
			case 1:
				// An answer to a request for an amount that is lost on the way.
				vms[i].Give(now, Amount{"o", units})
			case 2, 3:
				j := rapid.IntRange(0, n-1).Draw(t, "from")
				if got := vms[j].Give(now, Amount{"o", units}); got > 0 {
					vms[i].Receive(now, Amount{"o", got}, 0)
				}
			default:
				v := vms[i].Spend(now, "o", units)
				for j := 0; !v.OK && j < n; j++ {
					if j == i {
						continue
					}
					vms[i].Receive(now, Amount{"o", vms[j].Give(now, Amount{"o", v.Lacking})}, units)
					v = vms[i].Spend(now, "o", units)
				}
				if v.OK {
					spent = append(spent, spending{now, units})
				}
			}
			sum := 0.0
			for _, s := range spent {
				if s.at > now-tol.Window {
					sum += s.units
				}
			}
			if bound := (terms.Rate*tol.Window.Seconds()+terms.Burst)*(1+tol.Over) + tol.Slack; sum > bound+1e-6 {
				t.Fatalf("spent %.0f in a window, bound %.0f", sum, bound)
			}
		}
	})
}

// Symptom: large requests of a small organisation were always refused, though it
// spent next to nothing. Cause: one VM's part of the allowance is less than such
// a request. The amounts of other VMs must reach it.
func TestLargeRequestIsServedFromOtherVMsParts(t *testing.T) {
	is := is.New(t)
	tol := Tolerance{Window: 8 * time.Second, Over: 0.1, Slack: 140000}
	terms := []Terms{{Organisation: "o", Rate: 36000, Burst: 36000}}
	vms := make([]*Ledger, 8)
	for i := range vms {
		vms[i] = New(tol, true)
		vms[i].SetVMs(0, len(vms))
		vms[i].SetTerms(0, terms)
	}
	const large = 54600
	v := vms[0].Spend(0, "o", large)
	is.True(!v.OK)
	for _, other := range vms[1:] {
		vms[0].Receive(0, Amount{"o", other.Give(0, Amount{"o", v.Lacking})}, large)
	}
	is.True(vms[0].Spend(0, "o", large).OK)
}

// A process that starts again spends nothing at first, and learns the number of
// VMs before it spends anything.
func TestRestartedProcessStartsWithNothing(t *testing.T) {
	is := is.New(t)
	l := New(Tolerance{Window: 8 * time.Second}, false)
	l.SetTerms(0, []Terms{{Organisation: "o", Rate: 800, Burst: 800}})
	is.True(!l.Spend(time.Second, "o", 1).OK)
	l.SetVMs(time.Second, 8)
	is.True(!l.Spend(time.Second, "o", 1).OK)
	is.True(l.Spend(2*time.Second, "o", 100).OK)
	is.True(!l.Spend(2*time.Second, "o", 1).OK)
}
