package dispatch

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// VMs learn of each other's loads only from notes. If each took a slot as soon as it appeared
// free, several would take the same one, and an engine would queue requests that were expected
// to start at once. Free slots are therefore taken in turns, without communication: the VM
// whose request ended may refill its slot. Of other free slots each VM takes as many as its
// rank at the endpoint allows, and more as time shows that no other VM takes them.

// turnTime is the time for which a VM leaves free slots to those ranked before it. It equals
// the interval between two notes, after which a taken slot is reported.
const turnTime = 100 * time.Millisecond

// maxTurnLoadAge is the greatest age of peers' loads up to which turns are taken. Where loads
// are older, a slot that appears free was taken long ago, and most requests to other failure
// domains would find a full engine under overload.
const maxTurnLoadAge = 3 * turnTime / 2

// refillTime is the time for which the slot of an ended request is reserved for this VM.
const refillTime = turnTime

// takeDeviations is the number of standard deviations above the expected takes of other VMs
// that are left to them.
const takeDeviations = 3

// maxDoublings bounds the shifts in quotas and probe intervals.
const maxDoublings = 12

// slotTurns is the state of one VM's turns at the slots of an endpoint.
type slotTurns struct {
	// rank is the number of placers that precede this VM at the endpoint. placers is the number
	// of placers with this VM. knownPeers and placerChanges are the values from which both were
	// computed.
	rank, placers, knownPeers, placerChanges int
	// freeSince is the time at which slots were first seen free; -1 if none are.
	freeSince time.Duration
	// takenInTurn is the number of slots taken since turnStart.
	takenInTurn int
	turnStart   time.Duration
	refills     []time.Duration
}

// weight returns the rendezvous-hash weight of a VM at an endpoint, which is the same on all
// VMs.
func weight(endpoint, vm uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], endpoint)
	binary.LittleEndian.PutUint64(b[8:], vm)
	return xxhash.Sum64(b[:])
}

// peerVM is another VM as it takes part in ranking.
type peerVM struct {
	hash   uint64
	domain string
	// isPlacer reports whether the VM places requests itself.
	isPlacer bool
	// noteInterval is the average time between two notes from the VM.
	noteInterval time.Duration
}

// updateRank recomputes this VM's rank. VMs of the endpoint's own failure domain come first:
// they learn of a free slot soonest.
func (t *slotTurns) updateRank(e *endpoint, self peerVM, peers []peerVM, placerChanges int) {
	if t.placers > 0 && t.knownPeers == len(peers) && t.placerChanges == placerChanges {
		return
	}
	t.rank, t.placers, t.knownPeers, t.placerChanges = 0, 1, len(peers), placerChanges
	for _, o := range peers {
		if !o.isPlacer {
			continue
		}
		t.placers++
		if precedes(e, o, self) {
			t.rank++
		}
	}
}

// precedes reports whether VM a ranks before b at an endpoint.
func precedes(e *endpoint, a, b peerVM) bool {
	nearA, nearB := a.domain == e.FailureDomain, b.domain == e.FailureDomain
	if nearA != nearB {
		return nearA
	}
	return weight(e.hash, a.hash) > weight(e.hash, b.hash)
}

// mayTake reports whether this VM may take one of the free slots now. unseenTakes is the number
// of them that other VMs are expected to have taken already; where more are free, no VM waits
// for its turn. fresh reports whether peers' loads are recent; if not, no turns are taken.
func (t *slotTurns) mayTake(now time.Duration, free int, unseenTakes float64, fresh bool) bool {
	if free <= 0 {
		t.freeSince = -1
		return false
	}
	if t.freeSince < 0 {
		t.freeSince = now
	}
	for len(t.refills) > 0 && now-t.refills[0] > refillTime {
		t.refills = t.refills[1:]
	}
	if len(t.refills) > 0 {
		return true
	}
	if float64(free) >= 1+unseenTakes+takeDeviations*math.Sqrt(unseenTakes) {
		return true
	}
	if !fresh {
		return false
	}
	if now-t.turnStart >= turnTime {
		t.turnStart, t.takenInTurn = now, 0
	}
	available := free + t.takenInTurn
	doublings := min(int((now-t.freeSince)/turnTime), maxDoublings)
	unlocked := available << doublings
	quota := unlocked / t.placers
	if t.rank < unlocked%t.placers {
		quota++
	}
	return t.takenInTurn < quota
}

// recordTake records that a slot was taken.
func (t *slotTurns) recordTake() {
	if len(t.refills) > 0 {
		t.refills = t.refills[1:]
		return
	}
	t.takenInTurn++
}

// recordEnd records that a request of this VM ended and freed its slot.
func (t *slotTurns) recordEnd(now time.Duration) { t.refills = append(t.refills, now) }
