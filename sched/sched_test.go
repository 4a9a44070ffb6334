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

// TestReservedRequestIsPlaced: an urgent check was given up beside the room made for it
// (found by reading). Sequence: two checks wait, the one with more time is looked
// at first because its organisation was served less; a peer makes room for the
// urgent one. Cause: once one request of a kind found no room, no other of that
// kind was tried.
func TestReservedRequestIsPlaced(t *testing.T) {
	is := is.New(t)
	s := oneEngine(1)
	s.Submit(0, 1, spec(0, time.Hour)) // runs, and is of no lower tier
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

// TestYieldedCapacityIsHeld: a check asked a peer for room, the peer stopped a draft
// and at once gave the room to its next draft (found by reading). Cause: the
// peer learned from a digest, later, that a higher tier waited.
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
	is.Equal(len(out.Assignments), 0) // the room is the peer's
	s.Tick(time.Second)
	is.Equal(len(s.Take().Assignments), 1) // but not for ever
}

// TestLowerTierIsBlocked: checks were given up while drafts went on being sent to
// the engine they wanted. Sequence: an engine with free slots has so many prompts
// ahead that a check would not be in time behind them; a patient draft would, and
// lengthens the wait. Cause: only full engines counted as wanted.
func TestLowerTierIsBlocked(t *testing.T) {
	is := is.New(t)
	s := oneEngine(8)
	long := spec(0, time.Hour)
	long.PromptTokens = 5000 // 5 s of reading
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
