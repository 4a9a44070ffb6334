package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivefield/chivefield/core/fairshare"
)

// A placer whose queue has only jobs beyond their share would refill its slots for ever while jobs within
// theirs wait at another placer. It therefore leaves slots free for them. A slot that is left is idle until the
// other placer learns of it, so slots are left just before a note is sent, and only for demand that the last note
// of the other placer stated.

const (
	// plainReserve is the part of a plain service's capacity that jobs beyond their share leave while
	// organisations within theirs are served by other VMs. An endpoint gets twice as many requests as it has
	// slots, so this is half of those that wait there, and no slot is idle for it.
	plainReserve = 0.25
	// offerTTL is the time for which slots stay left to a VM that was told of them by a note: it takes them
	// when it receives the note, and its next note shows it.
	offerTTL = 2 * turnTime
	// answerTime is the least time between a note with free slots and a note that shows what was taken of them.
	// It exceeds a round trip.
	answerTime = 20 * time.Millisecond
	// gatherMargin is added to the time before a note in which slots are expected to become free.
	gatherMargin = 10 * time.Millisecond
	// initialRemainder makes the first demand round to the nearest number of slots.
	initialRemainder = 0.5
)

// sentNotes is when notes with loads are sent to another VM.
type sentNotes struct {
	last, interval time.Duration
}

// due reports whether the next note is due within d. It is if none was sent yet.
func (n *sentNotes) due(now, d time.Duration) bool {
	return n == nil || n.last+n.interval-now <= d
}

// offer is what this VM leaves to another VM's jobs within their share.
type offer struct {
	// reported is when the report was received from which wanted was computed: the number of slots to leave
	// with the next note.
	reported time.Duration
	wanted   int
	// left is the number of slots left by a note that was sent at leftAt and has not been answered.
	left   int
	leftAt time.Duration
	// remainder is the part of a slot that was rounded off.
	remainder float64
}

// update accounts for the latest report of the VM, according to which its jobs need some slots of this VM.
func (o *offer) update(now time.Duration, d fairshare.PeerDemand, slots float64) {
	if now-o.leftAt >= offerTTL || o.leftAt+answerTime <= d.Received {
		o.left = 0
	}
	if d.Received == o.reported {
		return
	}
	exact := slots + o.remainder
	o.reported, o.wanted = d.Received, max(0, int(exact)-o.left)
	o.remainder = exact - math.Floor(exact)
}

// RecordNoteSent records that a note with loads is being sent to other VMs. Slots that are free now are left to
// those among them whose jobs need them.
func (s *Scheduler) RecordNoteSent(now time.Duration, vms []string) {
	if s.sent == nil {
		s.sent = make(map[string]*sentNotes)
	}
	for _, sv := range s.services {
		for tier, t := range sv.shares {
			t.dropOffers(now)
			if len(sv.queue) > 0 && t.contended && !sv.shortAbove(now, tier) {
				s.leaveSlots(now, sv, t, vms)
			}
		}
	}
	maps.DeleteFunc(s.sent, func(_ string, n *sentNotes) bool { return now-n.last > fairshare.PeerTTL })
	for _, vm := range vms {
		n := s.sent[vm]
		if n == nil {
			n = &sentNotes{last: now - turnTime, interval: turnTime}
			s.sent[vm] = n
		}
		n.interval = min(now-n.last, fairshare.PeerTTL)
		n.last = now
	}
}

// dropOffers drops what was left to VMs that no longer report.
func (t *tierShares) dropOffers(now time.Duration) {
	maps.DeleteFunc(t.offers, func(vm string, o *offer) bool {
		return now-o.leftAt >= offerTTL && !slices.Contains(t.pool.Peers(), vm)
	})
}

// leaveSlots leaves free slots to those of the VMs that need them.
func (s *Scheduler) leaveSlots(now time.Duration, sv *service, t *tierShares, vms []string) {
	free := -1
	demands := t.pool.PeerDemands()
	for _, vm := range vms {
		o := t.offers[vm]
		if o == nil || o.wanted == 0 || !slices.ContainsFunc(demands, func(d fairshare.PeerDemand) bool { return d.VM == vm }) {
			continue
		}
		if free < 0 {
			free = s.freeSlots(now, sv) - t.slotsLeft(now)
		}
		if n := min(o.wanted, free); n > 0 {
			o.wanted, o.left, o.leftAt = o.wanted-n, o.left+n, now
			free -= n
		}
	}
}

// slotsLeft returns the number of slots that were left to other VMs and that they are taking.
func (t *tierShares) slotsLeft(now time.Duration) int {
	n := 0
	for _, o := range t.offers {
		if now-o.leftAt < offerTTL {
			n += o.left
		}
	}
	return n
}

// peerReserve decides during one pass through the queue which jobs leave free slots to other VMs.
type peerReserve struct {
	s   *Scheduler
	sv  *service
	now time.Duration
	// free is the number of free slots; it is counted when it is first needed.
	free    int
	counted bool
	// heldTier is the tier of the first job that was held back, which lower tiers must not overtake.
	heldTier, heldSlots int
}

func (s *Scheduler) newPeerReserve(now time.Duration, sv *service) peerReserve {
	return peerReserve{s: s, sv: sv, now: now}
}

// holds reports whether a job must wait although an endpoint has capacity for it.
func (r *peerReserve) holds(j *Job) bool {
	t, slots := j.share.tier, 0
	if t == nil || j.Continues {
		return false
	}
	if j.share.beyond {
		slots = r.slotsToLeave(j, t)
	}
	if j.Tier > r.heldTier {
		slots = max(slots, r.heldSlots)
	}
	if slots == 0 {
		return false
	}
	if !r.counted {
		r.free, r.counted = r.s.freeSlots(r.now, r.sv), true
	}
	if r.free > slots {
		return false
	}
	if r.heldSlots == 0 {
		r.heldTier, r.heldSlots = j.Tier, slots
	}
	return true
}

// recordTake records that a job was placed.
func (r *peerReserve) recordTake() { r.free-- }

// slotsToLeave returns the number of slots that jobs of a tier beyond their share leave free.
func (r *peerReserve) slotsToLeave(j *Job, t *tierShares) int {
	slots := 0
	if !r.sv.shortAbove(r.now, j.Tier) {
		slots = r.s.slotsNeeded(r.now, r.sv, t)
	}
	if r.sv.isPlain() && t.pool.PeerUseWithin() > 0 {
		return max(slots, int(plainReserve*float64(r.sv.nominalSlots())))
	}
	return slots
}

// slotsNeeded returns the number of slots that were left to other VMs or are to be left by notes that are about
// to be sent.
func (s *Scheduler) slotsNeeded(now time.Duration, sv *service, t *tierShares) int {
	left, wanted, due := 0, 0, 0
	demands := t.pool.PeerDemands()
	for _, d := range demands {
		o := t.offerTo(d.VM)
		o.update(now, d, d.Cost/max(minCost, t.usualCost))
		left, wanted = left+o.left, wanted+o.wanted
	}
	if wanted == 0 {
		return left
	}
	gatherTime := sv.gatherTime(now, wanted)
	for _, d := range demands {
		if s.sent[d.VM].due(now, gatherTime) {
			due += t.offers[d.VM].wanted
		}
	}
	return left + due
}

// offerTo returns what is left to another VM.
func (t *tierShares) offerTo(vm string) *offer {
	o := t.offers[vm]
	if o == nil {
		o = &offer{reported: -1, leftAt: -offerTTL, remainder: initialRemainder}
		t.offers[vm] = o
	}
	return o
}

// gatherTime returns how long it takes until the given number of this VM's requests have ended, by its rate of
// placements, plus gatherMargin.
func (sv *service) gatherTime(now time.Duration, slots int) time.Duration {
	return toDuration(float64(slots)/max(1, sv.placements.perSecond(now))) + gatherMargin
}

// shortAbove reports whether jobs of a higher tier waited recently, here or at another VM.
func (sv *service) shortAbove(now time.Duration, tier int) bool {
	for other, t := range sv.shares {
		if other < tier && (now-t.waitedAt < contentionTTL || t.pool.PeersWaited(now)) {
			return true
		}
	}
	return false
}

// nominalSlots returns the number of requests that the endpoint runs well at once as far as is known: what the
// registry allows, or the learned limit.
func (e *endpoint) nominalSlots() int {
	if l := e.learned.Learner; l != nil && l.Limit() > 0 {
		return min(l.Limit(), e.allowedRuns())
	}
	return e.allowedRuns()
}

func (sv *service) nominalSlots() int {
	n := 0
	for _, e := range sv.list {
		n += e.nominalSlots()
	}
	return n
}

// freeSlots returns the number of slots that are free at the endpoints that may get requests, whoever's
// turn it is.
func (s *Scheduler) freeSlots(now time.Duration, sv *service) int {
	n := 0
	for _, e := range sv.list {
		if e.eligible(now) {
			load := e.totalLoad(now, sv.latency.prefillTime(e, 0), s.lastNote)
			n += max(0, e.nominalSlots()-load.Running-load.Waiting)
		}
	}
	return n
}

// freeOutOfTurn returns the number of slots of an endpoint that are free although it is not this VM's turn, 0 if no job
// may take them as shares decide in no tier.
func (s *Scheduler) freeOutOfTurn(now time.Duration, sv *service, e *endpoint, load Load) int {
	if !sv.isContended() || !e.engine || !s.limitAllows(now, e, load) {
		return 0
	}
	return max(0, e.Slots-load.Running-load.Waiting)
}

// mayTakeOutOfTurn reports whether a job may take one of the free slots of an endpoint although it is not this VM's
// turn. Turns leave slots to all other placers. Where shares decide, fewer compete for a slot: for jobs within
// their share those placers where such jobs wait, for the others those that serve the same tier. Each leaves a slot to
// every one of them that is before it in the endpoint's hash order, whatever its failure domain.
func (s *Scheduler) mayTakeOutOfTurn(j *Job, e *endpoint, free int) bool {
	t := j.share.tier
	if t == nil || !t.contended {
		return false
	}
	rivals := t.pool.PeersWaitingWithin()
	if j.share.beyond {
		rivals = t.pool.Peers()
	}
	if free > len(rivals) {
		return true
	}
	own, rank := weight(e.hash, s.self), 0
	for _, vm := range rivals {
		if weight(e.hash, xxhash.Sum64String(vm)) > own {
			rank++
		}
	}
	return free > rank
}
