package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

func oneEngine(slots int) *Scheduler {
	s := New(Config{MaxQueued: 100})
	s.SetPeers([]uint32{2})
	s.SetEndpoints(0, []Endpoint{{Name: "e", Models: []string{"m"}, Slots: slots, PrefillSpeed: 1000, OutputSpeed: 100}})
	return s
}

func spec(tier request.Tier, deadline time.Duration) request.Spec {
	return request.Spec{
		Key: request.Key{Organisation: "o"}, Tier: tier, Weight: 1, Idempotent: true, Model: "m",
		PromptTokens: 100, OutputTokens: 100, Deadline: deadline,
	}
}

// TestReservedRequestIsPlaced guards against refusing an urgent request
// although capacity was freed for it. Two requests wait; the less urgent one is
// visited first because its organisation has been served less; a peer frees
// capacity for the urgent one. Once a request of a class found no capacity, no
// other of that class was tried (found by reading).
func TestReservedRequestIsPlaced(t *testing.T) {
	is := is.New(t)
	s := oneEngine(1)
	s.Submit(0, 1, spec(0, time.Hour)) // runs, and is not of a lower tier
	is.Equal(len(s.Take().Assignments), 1)
	urgent := spec(0, 1300*time.Millisecond)
	urgent.Key.Organisation = "z"
	notUrgent := spec(0, time.Hour)
	notUrgent.Key.Organisation = "a"
	s.ApplyDigest(0, 2, &schema.Digest{Usage: []*schema.Usage{{Endpoint: "e", Running: 1}}})
	s.Submit(0, 2, notUrgent)
	s.Submit(0, 3, urgent)
	out := s.Take()
	is.Equal(len(out.Yields), 1) // the peer is asked
	s.HandleYieldResult(time.Millisecond, 2, &schema.YieldResult{Call: out.Yields[0].Call, Endpoint: "e"})
	out = s.Take()
	is.Equal(len(out.Assignments), 1)
	is.Equal(out.Assignments[0].Handle, uint64(3))
}

// TestYieldedCapacityIsHeld guards against a peer that stops a draft for
// another VM's check and immediately assigns the capacity to its own next
// draft. The peer learned only from a later digest that a higher tier was
// waiting (found by reading).
func TestYieldedCapacityIsHeld(t *testing.T) {
	is := is.New(t)
	s := oneEngine(1)
	s.Submit(0, 1, spec(1, time.Hour))
	s.Submit(0, 2, spec(1, time.Hour))
	is.Equal(len(s.Take().Assignments), 1)
	s.HandleYield(time.Millisecond, 2, &schema.Yield{Call: 7, Tier: 0, Endpoints: []string{"e"}})
	is.Equal(s.Take().Stops, []uint64{1})
	s.Done(2*time.Millisecond, 1)
	out := s.Take()
	is.Equal(len(out.YieldResults), 1)
	is.Equal(len(out.Assignments), 0) // the capacity is held for the peer
	s.Tick(time.Second)
	is.Equal(len(s.Take().Assignments), 1) // but not indefinitely
}

// TestLowerTierIsBlocked guards against refusing checks while drafts are still
// sent to the engine they need. An engine with free slots has so many prompts
// ahead that a check would be late; a draft with a distant deadline would not
// be, and lengthens the wait. Only full engines were blocked for lower tiers.
func TestLowerTierIsBlocked(t *testing.T) {
	is := is.New(t)
	s := oneEngine(8)
	long := spec(0, time.Hour)
	long.PromptTokens = 5000 // 5 s of prefill
	s.Submit(0, 1, long)
	is.Equal(len(s.Take().Assignments), 1)
	s.Submit(0, 2, spec(0, 4*time.Second))
	s.Submit(0, 3, spec(1, time.Hour))
	is.Equal(len(s.Take().Assignments), 0) // the draft waits behind the check
	s.RecordFirstToken(time.Second, 1)
	out := s.Take()
	is.Equal(len(out.Assignments), 2)
	is.Equal(out.Assignments[0].Handle, uint64(2))
}

// TestClaimTimeIsNotTheEndpoints guards against an idle engine that gets one
// request at a time because the time that claims take counts as its own.
func TestClaimTimeIsNotTheEndpoints(t *testing.T) {
	is := is.New(t)
	s := oneEngine(64)
	now, handle := time.Duration(0), uint64(0)
	const claimTime, firstToken, rounds = 2 * time.Second, 100 * time.Millisecond, 30
	for range rounds {
		handle++
		s.Submit(now, handle, spec(0, time.Hour))
		is.Equal(len(s.Take().Assignments), 1)
		now += claimTime
		s.Tick(now)
		s.RecordDispatch(now, handle)
		now += firstToken
		s.RecordFirstToken(now, handle)
		s.Done(now, handle)
	}
	for range 64 {
		handle++
		s.Submit(now, handle, spec(0, time.Hour))
	}
	is.Equal(len(s.Take().Assignments), 64)
}
