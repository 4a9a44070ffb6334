package dispatch

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/fairshare"
	"github.com/chivefield/chivefield/core/mechanism"
)

// Within a tier, organisations get max-min fair shares of a service by cost. Each placer accounts for
// what it placed and what waits in its queue; placers report both to each other. The mark
// "beyond its organisation's share" orders jobs of the same rank. Refusals go through the queue in this
// order and thus fall on jobs beyond their share.

const (
	// maxOrganisationUses is the number of entries that a note has for all services and tiers. Notes are
	// sent ten times a second, and an entry takes about 50 bytes.
	maxOrganisationUses = 24
	// contentionTTL is how long a service counts as short of capacity after a job has waited, and as
	// contended after organisations last competed.
	contentionTTL = fairshare.PeerTTL
	// minCost is the least cost of a job: each takes a slot, also without a prompt.
	minCost = 1
)

// tierShares holds the use of a service by the organisations in one tier.
type tierShares struct {
	pool *fairshare.Pool
	// organisation is that of the first queued job, several whether there are others.
	organisation uint64
	jobs         int
	several      bool
	// contended reports whether the order depends on shares now, contendedAt when it last did.
	contended   bool
	contendedAt time.Duration
	// waitedAt is when a job last waited for capacity.
	waitedAt time.Duration
	// usualCost is the moving average of the cost of placed jobs, 0 before the first.
	usualCost float64
	// offers holds what this VM leaves to others, by VM.
	offers map[string]*offer
	stats  ShareStats
}

// jobShare is the part of a job in its organisation's share.
type jobShare struct {
	tier    *tierShares
	request fairshare.Request
	// beyond is set while the job is beyond its organisation's share.
	beyond bool
}

// ShareStats counts decisions on jobs of a tier while several organisations competed.
type ShareStats struct {
	PlacedWithin, PlacedBeyond, RefusedWithin, RefusedBeyond int
}

// ShareState describes the competition for a service in one tier.
type ShareState struct {
	Service string
	Tier    int
	// Organisations is the number of organisations with recent use or demand at any VM. Top is the one
	// with the largest use, TopPart its part of the total use.
	Organisations int
	Top           uint64
	TopPart       float64
	// Level is the fair level in units of cost per second and weight.
	Level float64
	// QueuedWithin and QueuedBeyond are the numbers of queued jobs within and beyond their shares.
	QueuedWithin, QueuedBeyond int
	// Reporters is the number of other VMs that report use.
	Reporters int
	// Stats counts decisions since the start.
	Stats ShareStats
}

// OrganisationUse is what an organisation uses of a service in one tier.
type OrganisationUse struct {
	ServiceHash uint64
	Tier        int
	fairshare.Entry
}

func (sv *service) tierShares(tier int) *tierShares {
	t := sv.shares[tier]
	if t == nil {
		t = &tierShares{pool: fairshare.NewPool(), contendedAt: -contentionTTL, waitedAt: -contentionTTL, offers: make(map[string]*offer)}
		sv.shares[tier] = t
	}
	return t
}

// isContended reports whether the order depends on shares in any tier now.
func (sv *service) isContended() bool {
	for _, t := range sv.shares {
		if t.contended {
			return true
		}
	}
	return false
}

// shareCost returns the engine time that a job takes, one unit for plain services.
func (sv *service) shareCost(j *Job) float64 { return max(minCost, sv.work(j)) }

// orderByShare moves jobs beyond their organisation's share behind the others of their rank.
// The queue is sorted by rank. Streams that go on are not moved: their callers hold a part already.
func (sv *service) orderByShare(now time.Duration) {
	if sv.disabled.Has(mechanism.OrganisationShares) || !sv.beginShares(now) {
		return
	}
	for _, j := range sv.queue {
		if t := j.share.tier; t.contended && !j.excluded {
			within := t.pool.Within(j.share.request)
			j.share.beyond = !within && !j.Continues
		}
	}
	sv.moveBeyondBack()
}

// moveBeyondBack moves the jobs beyond their share to the end of their rank and keeps the order otherwise.
func (sv *service) moveBeyondBack() {
	kept, beyond := sv.queue[:0], sv.beyondBuffer[:0]
	for _, j := range sv.queue {
		if len(beyond) > 0 && beyond[0].rank != j.rank {
			kept, beyond = append(kept, beyond...), beyond[:0]
		}
		if j.share.beyond {
			beyond = append(beyond, j)
		} else {
			kept = append(kept, j)
		}
	}
	sv.queue = append(kept, beyond...)
	clear(beyond[:cap(beyond)])
	sv.beyondBuffer = beyond
}

// beginShares starts a pass through the queue and reports whether the order of any tier depends on
// shares: several organisations wait, or other VMs report another one.
func (sv *service) beginShares(now time.Duration) bool {
	for _, t := range sv.shares {
		t.jobs, t.several, t.contended = 0, false, false
	}
	for _, j := range sv.queue {
		t := sv.joinShare(j)
		t.several = t.several || t.jobs > 0 && t.organisation != j.Organisation
		t.organisation = j.Organisation
		t.jobs++
		j.share.beyond = false
		if j.arrived < now {
			t.waitedAt = now
		}
	}
	any := false
	for tier, t := range sv.shares {
		t.contended = t.several || t.jobs > 0 && t.pool.ReportsOther(now, t.organisation)
		if t.contended {
			t.contendedAt, any = now, true
			t.pool.Begin(now, sv.shareRequests(tier))
		}
	}
	return any
}

// joinShare sets the account and the cost of a job, once.
func (sv *service) joinShare(j *Job) *tierShares {
	if j.share.tier == nil {
		t := sv.tierShares(j.Tier)
		j.share = jobShare{tier: t, request: fairshare.Request{Account: t.pool.Account(j.Organisation, j.Weight), Cost: sv.shareCost(j)}}
	}
	return j.share.tier
}

// shareRequests returns the queued jobs of a tier.
func (sv *service) shareRequests(tier int) iter.Seq[fairshare.Request] {
	return func(yield func(fairshare.Request) bool) {
		for _, j := range sv.queue {
			if j.Tier == tier && j.share.tier != nil && !yield(j.share.request) {
				return
			}
		}
	}
}

// recordShareUse records that a job was placed.
func (sv *service) recordShareUse(now time.Duration, j *Job) {
	t := j.share.tier
	if t == nil {
		return
	}
	t.pool.Place(now, j.Organisation, j.Weight, j.share.request.Cost)
	if t.usualCost == 0 {
		t.usualCost = j.share.request.Cost
	}
	t.usualCost += (j.share.request.Cost - t.usualCost) * workWeight
	switch {
	case !t.contended:
	case j.share.beyond:
		t.stats.PlacedBeyond++
	default:
		t.stats.PlacedWithin++
	}
}

// recordRefusal counts the refusal of a job.
func (sh *jobShare) recordRefusal() {
	switch t := sh.tier; {
	case t == nil || !t.contended:
	case sh.beyond:
		t.stats.RefusedBeyond++
	default:
		t.stats.RefusedWithin++
	}
}

// OrganisationUses returns what organisations use of services that are short of capacity by this VM's placements,
// the largest entries only.
func (s *Scheduler) OrganisationUses(now time.Duration) []OrganisationUse {
	if s.disabled.Has(mechanism.OrganisationShares) || s.delegates {
		return nil
	}
	type scarceTier struct {
		sv   *service
		tier int
	}
	var list []scarceTier
	for _, sv := range s.services {
		for tier, t := range sv.shares {
			if now-t.waitedAt < contentionTTL || t.pool.PeersWaited(now) {
				list = append(list, scarceTier{sv, tier})
			}
		}
	}
	// In a fixed order: a receiver drops what a note does not list.
	slices.SortFunc(list, func(a, b scarceTier) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.sv.name, b.sv.name))
	})
	var uses []OrganisationUse
	for _, c := range list {
		n := min(max(1, maxOrganisationUses/len(list)), maxOrganisationUses-len(uses))
		for _, e := range c.sv.shares[c.tier].pool.Largest(now, n, c.sv.shareRequests(c.tier)) {
			uses = append(uses, OrganisationUse{c.sv.hash, c.tier, e})
		}
	}
	return uses
}

// ApplyOrganisationUses replaces what another VM reports of the use of organisations.
func (s *Scheduler) ApplyOrganisationUses(now time.Duration, vm string, uses []OrganisationUse) {
	if s.disabled.Has(mechanism.OrganisationShares) {
		return
	}
	for _, sv := range s.services {
		reported := make(map[int][]fairshare.Entry)
		for _, u := range uses {
			// Tiers without jobs here need no state, so that reports cannot add to it without bound.
			if u.ServiceHash == sv.hash && sv.shares[u.Tier] != nil {
				reported[u.Tier] = append(reported[u.Tier], u.Entry)
			}
		}
		for tier, t := range sv.shares {
			t.pool.Report(now, vm, reported[tier])
		}
	}
}

// ShareStates returns the state of the services and tiers in which organisations competed recently.
func (s *Scheduler) ShareStates(now time.Duration) []ShareState {
	var states []ShareState
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		sv := s.services[name]
		for _, tier := range slices.Sorted(maps.Keys(sv.shares)) {
			if t := sv.shares[tier]; now-t.contendedAt < contentionTTL {
				states = append(states, sv.shareState(now, tier, t))
			}
		}
	}
	return states
}

func (sv *service) shareState(now time.Duration, tier int, t *tierShares) ShareState {
	st := ShareState{Service: sv.name, Tier: tier, Organisations: t.pool.Organisations(), Level: t.pool.Level(), Reporters: t.pool.Reporters(now), Stats: t.stats}
	st.Top, st.TopPart = t.pool.Top()
	for _, j := range sv.queue {
		switch {
		case j.Tier != tier:
		case j.share.beyond:
			st.QueuedBeyond++
		default:
			st.QueuedWithin++
		}
	}
	return st
}
