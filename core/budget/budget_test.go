package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// earn has a budget earn for requests of one moment.
func earn(b *Budget, now time.Duration, requests int) {
	for range requests {
		b.Request(now)
	}
}

func TestProcessBeginsWithNothing(t *testing.T) {
	is := is.New(t)
	b := New(0.2, window)
	_, ok := b.Pay(0)
	is.True(!ok)
	earn(b, time.Second, 10)
	_, ok = b.Pay(time.Second)
	is.True(ok)
	_, ok = b.Pay(time.Second)
	is.True(!ok)
	is.Equal(b.Counts(), Counts{Requests: 10, Paid: 1, Refused: 2})
}

func TestWhatWasEarnedExpiresAfterAWindow(t *testing.T) {
	is := is.New(t)
	b := New(0.2, window)
	earn(b, 0, 30)
	is.True(b.Held(window-window/slices-1) > 2.9)
	is.Equal(b.Held(window), 0.0)
	earn(b, 2*window, 10)
	is.True(b.Held(5*window) < rounding)
}

// Guards against a repeat that waits for a window and leaves on what was earned before.
func TestRepeatThatWaitedIsPaidAnewOrDoesNotLeave(t *testing.T) {
	is := is.New(t)
	b := New(0.2, window)
	earn(b, 0, 10)
	r, _ := b.Pay(0)
	_, ok := b.Renew(window/2, r)
	is.True(ok)
	_, ok = b.Renew(window, r)
	is.True(!ok)
	earn(b, window, 10)
	_, ok = b.Renew(window, r)
	is.True(ok)
	is.Equal(b.Counts().Expired, 1)
}

// Guards against budgets that shrink by repeats for which no place was found.
func TestRepeatThatDoesNotLeaveIsGivenBack(t *testing.T) {
	is := is.New(t)
	b := New(0.2, window)
	earn(b, 0, 5)
	earn(b, time.Second, 5)
	r, _ := b.Pay(time.Second)
	b.GiveBack(time.Second, r)
	_, ok := b.Pay(2 * time.Second)
	is.True(ok)
	b.GiveBack(window, r)
	is.True(b.Held(window) < rounding)
}

// Guards against a quiet service of which nothing is ever repeated.
func TestQuietServiceHasAFewOfTheFixedNumber(t *testing.T) {
	is := is.New(t)
	b := New(0.2, window)
	b.SetFixed(1)
	r, ok := b.Pay(0)
	is.True(ok)
	_, ok = b.Pay(time.Second)
	is.True(!ok)
	r, ok = b.Renew(2*window, r)
	is.True(ok)
	b.Sent(2*window, r)
	_, ok = b.Pay(3*window - 1)
	is.True(!ok)
	_, ok = b.Pay(3 * window)
	is.True(ok)
}

// Guards against parts of the fixed number that add up, as VMs that start apart know different numbers.
func TestFixedNumbersOfVMsThatStartApartAreAPart(t *testing.T) {
	is := is.New(t)
	for _, slack := range []float64{0, 3, 20, 56, 176, 5000} {
		sum := 0
		for known := 1; known <= 2000; known++ {
			sum += Fixed(slack, known)
		}
		is.True(float64(sum) <= slack/2)
	}
	is.Equal(Fixed(56, 8), 1)
	is.Equal(Fixed(56, 0), 0)
}

// BenchmarkRequest is what each request of a caller costs, with one repeat in a hundred.
func BenchmarkRequest(b *testing.B) {
	budget := New(0.2, window)
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		budget.Request(now)
		if i%100 == 0 {
			if r, ok := budget.Pay(now); ok {
				budget.Sent(now, r)
			}
		}
	}
}
