package budget

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// In any run of requests and repeats, the repeats of all VMs together are at most
// the share of the requests plus the fixed number.
func TestRepeatsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack = 0.2, 56.0
		n := rapid.IntRange(1, 8).Draw(t, "vms")
		vms := make([]*Budget, n)
		for i := range vms {
			vms[i] = New(ratio, slack/float64(n), true)
		}
		// Sums from each step on are sums over every window that ends now.
		var repeats, requests []float64
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			b := vms[rapid.IntRange(0, n-1).Draw(t, "vm")]
			if rapid.Bool().Draw(t, "repeat") {
				if b.Spend() {
					repeats, requests = append(repeats, 1), append(requests, 0)
				}
				continue
			}
			b.Request()
			repeats, requests = append(repeats, 0), append(requests, 1)
		}
		sumRepeats, sumRequests := 0.0, 0.0
		for i := len(repeats) - 1; i >= 0; i-- {
			sumRepeats, sumRequests = sumRepeats+repeats[i], sumRequests+requests[i]
			if sumRepeats > ratio*sumRequests+slack+1e-9 {
				t.Fatalf("%v repeats for %v requests", sumRepeats, sumRequests)
			}
		}
	})
}

func TestEmptyAfterRestart(t *testing.T) {
	is := is.New(t)
	b := New(0.2, 7, false)
	is.True(!b.Spend())
	for range 5 {
		b.Request()
	}
	is.True(b.Spend())
	is.True(!b.Spend())
}
