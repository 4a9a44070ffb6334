package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// recordRequests records a number of requests at one time.
func recordRequests(b *Budget, now time.Duration, requests int) {
	for range requests {
		b.RecordRequest(now)
	}
}

func TestNewBudgetIsEmpty(t *testing.T) {
	is := is.New(t)
	b := New(0.2, window)
	_, ok := b.Acquire(0)
	is.True(!ok)
	recordRequests(b, time.Second, 10)
	_, ok = b.Acquire(time.Second)
	is.True(ok)
	_, ok = b.Acquire(time.Second)
	is.True(!ok)
	is.Equal(b.Counts(), Counts{Requests: 10, Acquired: 1, Refused: 2})
}

func TestCreditExpiresAfterAWindow(t *testing.T) {
	is := is.New(t)
	b := New(0.2, window)
	recordRequests(b, 0, 30)
	is.True(b.Balance(window-window/windowSlices-1) > 2.9)
	is.Equal(b.Balance(window), 0.0)
	recordRequests(b, 2*window, 10)
	is.True(b.Balance(5*window) < roundingError)
}

// Guards against a retry that waits longer than a window and is sent on expired credit.
func TestQueuedRetryIsReacquiredOrNotSent(t *testing.T) {
	is := is.New(t)
	b := New(0.2, window)
	recordRequests(b, 0, 10)
	r, _ := b.Acquire(0)
	_, ok := b.Renew(window/2, r)
	is.True(ok)
	_, ok = b.Renew(window, r)
	is.True(!ok)
	recordRequests(b, window, 10)
	_, ok = b.Renew(window, r)
	is.True(ok)
	is.Equal(b.Counts().Expired, 1)
}

// Guards against budgets that lose the credit of retries for which no endpoint had capacity.
func TestUnsentRetryIsRefunded(t *testing.T) {
	is := is.New(t)
	b := New(0.2, window)
	recordRequests(b, 0, 5)
	recordRequests(b, time.Second, 5)
	r, _ := b.Acquire(time.Second)
	b.Refund(time.Second, r)
	_, ok := b.Acquire(2 * time.Second)
	is.True(ok)
	b.Refund(window, r)
	is.True(b.Balance(window) < roundingError)
}

// Guards against a service with so little traffic that none of its requests is ever retried.
func TestIdleServiceMayUseFixedRetries(t *testing.T) {
	is := is.New(t)
	b := New(0.2, window)
	b.SetFixedRetries(1)
	r, ok := b.Acquire(0)
	is.True(ok)
	_, ok = b.Acquire(time.Second)
	is.True(!ok)
	r, ok = b.Renew(2*window, r)
	is.True(ok)
	b.RecordSent(2*window, r)
	_, ok = b.Acquire(3*window - 1)
	is.True(!ok)
	_, ok = b.Acquire(3 * window)
	is.True(ok)
}

// Guards against VMs that together exceed the fixed number, because they started at different
// times and list different numbers of VMs.
func TestFixedRetriesOfStaggeredStartsStayWithinHalf(t *testing.T) {
	is := is.New(t)
	for _, slack := range []float64{0, 3, 20, 56, 176, 5000} {
		sum := 0
		for known := 1; known <= 2000; known++ {
			sum += FixedRetries(slack, known)
		}
		is.True(float64(sum) <= slack/2)
	}
	is.Equal(FixedRetries(56, 8), 1)
	is.Equal(FixedRetries(56, 0), 0)
}

// BenchmarkRequest measures the cost per request of a caller, with one retry per hundred
// requests.
func BenchmarkRequest(b *testing.B) {
	budget := New(0.2, window)
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		budget.RecordRequest(now)
		if i%100 == 0 {
			if r, ok := budget.Acquire(now); ok {
				budget.RecordSent(now, r)
			}
		}
	}
}
