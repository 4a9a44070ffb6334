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

// freshAge is up to which age of others' loads turns are taken. Where loads are older
// a slot that seems free has been taken long ago, and most requests to other failure domains
// would meet a full engine under overload.
const freshAge = 3 * turnTime / 2

// refillTime is how long the slot of a request that ended stays this VM's own.
const refillTime = turnTime

// takeSpread is how many standard deviations of what others take are left to them.
const takeSpread = 3

// maxDoublings bounds the shift of unlocked ranks.
const maxDoublings = 12

// turn is a VM's claim to the slots of one endpoint.
type turn struct {
	// rank is how many VMs come first at this endpoint, of vms that place requests;
	// known and placers are the VMs and the changes among them that were counted.
	rank, vms, known, placers int
	// freeSince is when slots were first seen free, -1 if none are.
	freeSince time.Duration
	// taken is how many slots were taken since the last turn began.
	taken   int
	began   time.Duration
	refills []time.Duration
}

// weight orders VMs at an endpoint, alike on all of them.
func weight(endpoint, vm uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], endpoint)
	binary.LittleEndian.PutUint64(b[8:], vm)
	return xxhash.Sum64(b[:])
}

// otherVM is another VM as ranks see it.
type otherVM struct {
	name   uint64
	domain string
	// places says that it places requests by itself.
	places bool
	// every is the usual time between two of its notes.
	every time.Duration
}

// order ranks this VM among those known. VMs of the endpoint's own failure domain
// come first: they hear of a free slot soonest.
func (t *turn) order(e *endpoint, self otherVM, others []otherVM, placers int) {
	if t.vms > 0 && t.known == len(others) && t.placers == placers {
		return
	}
	t.rank, t.vms, t.known, t.placers = 0, 1, len(others), placers
	for _, o := range others {
		if !o.places {
			continue
		}
		t.vms++
		if before(e, o, self) {
			t.rank++
		}
	}
}

// before says whether a VM comes before another at an endpoint.
func before(e *endpoint, a, b otherVM) bool {
	nearA, nearB := a.domain == e.FailureDomain, b.domain == e.FailureDomain
	if nearA != nearB {
		return nearA
	}
	return weight(e.name, a.name) > weight(e.name, b.name)
}

// may says whether this VM may take one of free slots now. takes is how many of
// them others are expected to have taken already; where more are free, nobody has to
// wait for a turn. Where others' loads are not fresh there are no turns.
func (t *turn) may(now time.Duration, free int, takes float64, fresh bool) bool {
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
	if float64(free) >= 1+takes+takeSpread*math.Sqrt(takes) {
		return true
	}
	if !fresh {
		return false
	}
	if now-t.began >= turnTime {
		t.began, t.taken = now, 0
	}
	all := free + t.taken
	doublings := min(int((now-t.freeSince)/turnTime), maxDoublings)
	unlocked := all << doublings
	quota := unlocked / t.vms
	if t.rank < unlocked%t.vms {
		quota++
	}
	return t.taken < quota
}

// take notes that a slot was taken.
func (t *turn) take() {
	if len(t.refills) > 0 {
		t.refills = t.refills[1:]
		return
	}
	t.taken++
}

// ended notes that a request of this VM ended, and left its slot.
func (t *turn) ended(now time.Duration) { t.refills = append(t.refills, now) }
