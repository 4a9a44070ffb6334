package notice

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	endpoint = 7
	ms       = time.Millisecond
)

func limited(perSecond float64) Notice { return Notice{Limit: perSecond, HasLimit: true} }

func TestLimitHoldsWhileResponsesNameIt(t *testing.T) {
	is := is.New(t)
	tr := New()
	is.True(!tr.RecordResponse(10*ms, 0, endpoint, Notice{}))
	is.Equal(tr.Current(endpoint), Notice{})
	is.True(tr.RecordResponse(20*ms, 10*ms, endpoint, limited(2.5)))
	is.True(!tr.RecordResponse(30*ms, 25*ms, endpoint, limited(2.5)))
	is.Equal(tr.Current(endpoint), limited(2.5))
	is.True(tr.RecordResponse(50*ms, 40*ms, endpoint, Notice{}))
	is.Equal(tr.Current(endpoint), Notice{})
	is.True(tr.RecordResponse(70*ms, 60*ms, endpoint, limited(0)))
	is.Equal(tr.Current(endpoint), limited(0))
}

// Guards against lifting a limit on an older response without a limit that arrives later.
func TestOlderResponseDoesNotLiftLimit(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.RecordResponse(100*ms, 50*ms, endpoint, limited(2.5))
	is.True(!tr.RecordResponse(110*ms, 40*ms, endpoint, Notice{}))
	is.True(!tr.RecordResponse(120*ms, 90*ms, endpoint, Notice{}))
	is.Equal(tr.Current(endpoint), limited(2.5))
}

// Guards against a limit that stays at the first value named when responses always overlap.
func TestLimitFollowsChanges(t *testing.T) {
	is := is.New(t)
	tr := New()
	for at := time.Duration(0); at < time.Second; at += 10 * ms {
		tr.RecordResponse(at+300*ms, at, endpoint, limited(2.5))
	}
	for at := time.Second; at < 2*time.Second; at += 10 * ms {
		tr.RecordResponse(at+300*ms, at, endpoint, limited(4))
	}
	is.Equal(tr.Current(endpoint), limited(4))
	// The lower limit holds if the order of two is unknown.
	tr.RecordResponse(2400*ms, 1900*ms, endpoint, limited(1))
	is.Equal(tr.Current(endpoint), limited(1))
	tr.RecordResponse(2500*ms, 2450*ms, endpoint, limited(4))
	is.Equal(tr.Current(endpoint), limited(4))
}

// Guards against an older record of another VM that lifts a limit, or changes it.
func TestStaleRecordChangesNothing(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.RecordResponse(10*time.Second, 9900*ms, endpoint, limited(2.5))
	is.True(!tr.Merge(11*time.Second, Record{Endpoint: endpoint, Limit: Statement{Value: 5, Asked: 3 * time.Second, Named: 3 * time.Second, Lifted: 2 * time.Second}, Brittle: Unstated}, true))
	is.Equal(tr.Current(endpoint), limited(2.5))
	is.True(tr.Merge(12*time.Second, Record{Endpoint: endpoint, Limit: Statement{Value: 5, Asked: 5 * time.Second, Named: 5 * time.Second, Lifted: 100 * ms}, Brittle: Unstated}, true))
	is.Equal(tr.Current(endpoint), Notice{})
}

func TestInvalidRecords(t *testing.T) {
	is := is.New(t)
	for _, limit := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		is.True(!Record{Limit: Statement{Value: limit}}.Valid())
		is.True(!Record{Brittle: Statement{Value: limit}}.Valid())
	}
	is.True(Record{Limit: Statement{Value: math.MaxFloat64}}.Valid())
}

// Guards against VMs that reach different results from the same records in different order.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		source := New()
		var records []Record
		const now = 20 * time.Second
		for at := time.Duration(0); at < now; at += time.Duration(r.IntN(3000)) * ms {
			n := Notice{}
			if r.IntN(2) == 0 {
				n = limited(float64(r.IntN(4)))
			}
			source.RecordResponse(at, at-time.Duration(r.IntN(1000))*ms, endpoint, n)
			records = append(records, source.NextInRotation(now, 1)...)
		}
		if len(records) == 0 {
			return
		}
		a, b := New(), New()
		for _, record := range records {
			a.Merge(now, record, true)
		}
		for _, i := range r.Perm(len(records)) {
			b.Merge(now, records[i], true)
			b.Merge(now, records[i], true)
		}
		if a.Current(endpoint).HasLimit != b.Current(endpoint).HasLimit {
			t.Fatalf("different results: %v and %v", a.Current(endpoint), b.Current(endpoint))
		}
	})
}

func TestExpire(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.RecordResponse(0, 0, 1, limited(1))
	tr.RecordResponse(0, 0, 2, limited(1))
	tr.RecordResponse(0, 0, 3, limited(1))
	tr.RecordResponse(20*ms, 10*ms, 3, Notice{})
	is.Equal(len(tr.Expire(time.Second, time.Minute, func(uint64) bool { return false })), 0)
	is.Equal(tr.Expire(2*time.Minute, time.Minute, func(name uint64) bool { return name != 2 }), []uint64{2})
	is.Equal(tr.Current(1), limited(1))
	is.Equal(len(tr.NextInRotation(0, 8)), 1)
}

// Guards against records that are never sent when there are many.
func TestNextInRotationCoversAll(t *testing.T) {
	is := is.New(t)
	tr := New()
	for name := range uint64(20) {
		tr.RecordResponse(0, 0, name, limited(1))
	}
	seen := make(map[uint64]int)
	for range 5 {
		for _, r := range tr.NextInRotation(0, 8) {
			seen[r.Endpoint]++
		}
	}
	is.Equal(len(seen), 20)
	for _, n := range seen {
		is.Equal(n, 2)
	}
}

// Guards against an incarnation that has announced that it leaves and is used again, because a later response or
// another VM says otherwise.
func TestLeavingIsPermanent(t *testing.T) {
	is := is.New(t)
	tr := New()
	is.True(tr.RecordResponse(20*ms, 10*ms, endpoint, Notice{Leaving: true}))
	is.True(!tr.RecordResponse(40*ms, 30*ms, endpoint, Notice{}))
	is.True(!tr.Merge(50*ms, Record{Endpoint: endpoint, Limit: Statement{Asked: Never, Named: Never}, Brittle: Unstated}, true))
	is.Equal(tr.Current(endpoint), Notice{Leaving: true})
	other := New()
	is.True(other.Merge(0, tr.NextInRotation(50*ms, 1)[0], true))
	is.Equal(other.Current(endpoint), Notice{Leaving: true})
}

// Guards against a backoff that a later response, or a record of another VM, ends before the latest end named.
func TestBackoffLastsToLatestEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		tr := New()
		var now, end time.Duration
		for range 100 {
			now += time.Duration(r.IntN(500)) * ms
			n := Notice{Backoff: time.Duration(max(0, r.IntN(8000)-4000)) * ms, HasLimit: r.IntN(3) == 0}
			if r.IntN(2) == 0 {
				tr.RecordResponse(now, now-time.Duration(r.IntN(1000))*ms, endpoint, n)
				if n.Backoff > 0 {
					end = max(end, now+n.Backoff)
				}
			} else {
				tr.Merge(now, Record{Endpoint: endpoint, Limit: Statement{Asked: Never, Named: Never}, Brittle: Unstated, Backoff: n.Backoff}, true)
			}
			tr.Expire(now, time.Second, func(uint64) bool { return true })
			if own, _ := tr.BackoffEnds(endpoint); own < end && end > now {
				t.Fatalf("backoff ends at %v, want at least %v", own, end)
			}
		}
	})
}

// Guards against a backoff that grows because VMs relay it to each other again and again.
func TestBackoffIsNotRelayed(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	a.RecordResponse(0, 0, endpoint, Notice{Backoff: time.Second})
	b.Merge(0, a.NextInRotation(0, 1)[0], true)
	own, others := b.BackoffEnds(endpoint)
	is.Equal(own, time.Duration(0))
	is.Equal(others, time.Second)
	is.Equal(b.NextInRotation(0, 1)[0].Backoff, time.Duration(0))
}

// Guards against lifting a limit on a response that does not tell whether there is one.
func TestUnknownLimitDoesNotLiftLimit(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.RecordResponse(20*ms, 10*ms, endpoint, limited(2.5))
	is.True(!tr.RecordResponse(40*ms, 30*ms, endpoint, Notice{LimitUnknown: true, BrittleUnknown: true}))
	is.True(tr.RecordResponse(60*ms, 50*ms, endpoint, Notice{LimitUnknown: true, BrittleUnknown: true, Leaving: true}))
	is.Equal(tr.Current(endpoint), Notice{Limit: 2.5, HasLimit: true, Leaving: true})
}

// Guards against VMs that send each other records of terminated incarnations for ever.
func TestGoneIncarnationsExpireEverywhere(t *testing.T) {
	const gone = 30 * time.Second
	var vms [3]*Tracker
	for i := range vms {
		vms[i] = New()
	}
	for now := time.Duration(0); now < 4*time.Minute; now += time.Second {
		listed := now < gone
		if listed {
			vms[0].RecordResponse(now, now, endpoint, limited(1))
			vms[0].RecordResponse(now, now, endpoint+1, Notice{Leaving: true})
		}
		for _, from := range vms {
			records := append(from.Recent(now, 8), from.NextInRotation(now, 8)...)
			for _, to := range vms {
				for _, r := range records {
					to.Merge(now, r, listed)
				}
			}
		}
		for _, tr := range vms {
			tr.Expire(now, time.Minute, func(uint64) bool { return listed })
			if now == gone && !tr.Current(endpoint).HasLimit {
				t.Fatal("expired too early")
			}
		}
	}
	for _, tr := range vms {
		if len(tr.entries) > 0 {
			t.Errorf("%d incarnations have not expired", len(tr.entries))
		}
	}
}

// Guards against an endpoint that is taken to be brittle for good, or no longer though it is: what holds is told
// apart from its limit, by the same rules.
func TestBrittleHoldsAsLongAsStated(t *testing.T) {
	is := is.New(t)
	tr, other := New(), New()
	is.True(tr.RecordResponse(20*ms, 10*ms, endpoint, Notice{IsBrittle: true, Brittle: 5}))
	is.Equal(tr.Current(endpoint), Notice{IsBrittle: true, Brittle: 5})
	is.True(other.Merge(0, tr.NextInRotation(30*ms, 1)[0], true))
	is.Equal(other.Current(endpoint), Notice{IsBrittle: true, Brittle: 5})
	// A response to an earlier request says nothing of now, nor does one that cannot be read.
	is.True(!tr.RecordResponse(40*ms, 5*ms, endpoint, Notice{}))
	is.True(!tr.RecordResponse(50*ms, 45*ms, endpoint, Notice{BrittleUnknown: true}))
	is.True(tr.RecordResponse(60*ms, 50*ms, endpoint, Notice{}))
	is.Equal(tr.Current(endpoint), Notice{})
}
