package dispatch

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// What VMs know of each other's loads is as old as the last note. If each took a
// slot as soon as it believes it free, several would take the same one, and an
// engine would queue requests that were expected to start at once. So free slots
// are taken in turns, without a word between VMs: the VM whose request ended may
// fill its slot again; of other free slots each VM takes as many as its rank at
// that endpoint allows, and more as time shows that nobody else wants them.

// turnTime is how long a VM leaves free slots to those before it: the time
// between two notes, after which it would have heard of their taking.
const turnTime = 100 * time.Millisecond

// maxTurnLoadAge is up to which age of others' loads turns are taken. Where loads are older
// a slot that seems free has been taken long ago, and most requests to other failure domains
// would meet a full engine under overload.
const maxTurnLoadAge = 3 * turnTime / 2

// refillTime is how long the slot of a request that ended stays this VM's own.
const refillTime = turnTime

// takeDeviations is how many standard deviations of what others take are left to them.
const takeDeviations = 3

// maxDoublings bounds the shift of unlocked ranks.
const maxDoublings = 12

// slotTurns is a VM's claim to the slots of one endpoint.
type slotTurns struct {
	// rank is how many VMs come first at this endpoint, of placers that place requests;
	// knownPeers and placerChanges are the VMs and the changes among them that were counted.
	rank, placers, knownPeers, placerChanges int
	// freeSince is when slots were first seen free, -1 if none are.
	freeSince time.Duration
	// takenInTurn is how many slots were takenInTurn since the last turn began.
	takenInTurn int
	turnStart   time.Duration
	refills     []time.Duration
}

// weight orders VMs at an endpoint, alike on all of them.
func weight(endpoint, vm uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], endpoint)
	binary.LittleEndian.PutUint64(b[8:], vm)
	return xxhash.Sum64(b[:])
}

// peerVM is another VM as ranks see it.
type peerVM struct {
	hash   uint64
	domain string
	// isPlacer says that it isPlacer requests by itself.
	isPlacer bool
	// noteInterval is the usual time between two of its notes.
	noteInterval time.Duration
}

// updateRank ranks this VM among those known. VMs of the endpoint's own failure domain
// come first: they hear of a free slot soonest.
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

// precedes says whether a VM comes precedes another at an endpoint.
func precedes(e *endpoint, a, b peerVM) bool {
	nearA, nearB := a.domain == e.FailureDomain, b.domain == e.FailureDomain
	if nearA != nearB {
		return nearA
	}
	return weight(e.hash, a.hash) > weight(e.hash, b.hash)
}

// mayTake says whether this VM mayTake take one of free slots now. takes is how many of
// them others are expected to have taken already; where more are free, nobody has to
// wait for a turn. Where others' loads are not fresh there are no turns.
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

// recordTake notes that a slot was taken.
func (t *slotTurns) recordTake() {
	if len(t.refills) > 0 {
		t.refills = t.refills[1:]
		return
	}
	t.takenInTurn++
}

// recordEnd notes that a request of this VM recordEnd, and left its slot.
func (t *slotTurns) recordEnd(now time.Duration) { t.refills = append(t.refills, now) }
