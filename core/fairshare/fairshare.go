// Package fairshare decides which organisations are beyond their max-min fair share of a resource
// whose capacity is short. It has no clock and sends nothing: placements, waiting demand, what
// other VMs report and the current time are inputs.
//
// A Pool holds the use of one resource. Its capacity is not known; the total recent use stands for
// it, since a resource that is short is in full use.
package fairshare

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// TimeConstant is the time constant of the decay of use. Capacity that was lent must return
	// within a second, and a burst of a second counts almost in full.
	TimeConstant = time.Second
	// PeerTTL is the time for which a report of another VM counts. It equals that of load reports.
	PeerTTL = 1500 * time.Millisecond
	// Margin is the part of the fair level by which an organisation must be below it to count as
	// within its share. It keeps organisations with about equal use from changing each other's order.
	// The margin lies below the level because an organisation that uses all that the others leave has
	// the level as its use.
	Margin = 0.1
	// levelInterval is the time between two computations of the level, which go through all
	// accounts; the level is needed with each request that comes or ends. Use decays by 5% in this time.
	levelInterval = 50 * time.Millisecond
	// minUse is the part of the total use below which an account without demand is dropped: it is
	// within its share in any case.
	minUse = 1e-4
	// minPeerPart is the use of another VM, as a part of this one's, from which on it gets capacity like this
	// one. VMs with the same load differ by less than that.
	minPeerPart = 0.25
	// ownRefillTime is the time until a VM gets slots that another VM leaves to its waiting requests: an interval
	// until the other one hears of them and one until it answers. Requests that the VM's own slots serve in this
	// time need no others.
	ownRefillTime = 200 * time.Millisecond
	// maxCost limits what another VM may report of one organisation, so that one invalid value does
	// not put all other organisations within their share.
	maxCost = 1e12
	// maxPeerEntries limits the entries that are kept of one VM.
	maxPeerEntries = 64
)

// Entry is what one organisation uses of a resource.
type Entry struct {
	Organisation uint64
	// Use is the decaying cost of placements, Waiting the cost of queued requests.
	Use, Waiting float64
}

func (e Entry) total() float64 { return e.Use + e.Waiting }

// Account is the state of one organisation in a pool.
type Account struct {
	organisation uint64
	weight       float64
	// use is the decaying cost of this VM's placements, waiting the cost of its queued requests when
	// sumWaiting last ran.
	use, waiting float64
	// peerUse and peerWaiting are the sums of what other VMs report.
	peerUse, peerWaiting float64
	// queued is the cost of the requests that were passed to Within in the given pass.
	queued float64
	pass   uint64
}

func (a *Account) totalUse() float64 { return a.use + a.peerUse }

func (a *Account) demand() float64 { return a.totalUse() + a.waiting + a.peerWaiting }

type report struct {
	received time.Duration
	entries  []Entry
}

// PeerDemand is the cost of requests that wait at another VM, are within their organisation's share and exceed what
// that VM can serve soon with what it has.
type PeerDemand struct {
	VM   string
	Cost float64
	// Received is when the report was received that states the demand.
	Received time.Duration
}

// Pool is the use of one resource by organisation. It is not safe for concurrent use.
type Pool struct {
	accounts map[uint64]*Account
	// weights holds the weights other than 1. They are kept when accounts are dropped: reports of other VMs
	// do not have them.
	weights map[uint64]float64
	peers   map[string]report
	// pass counts the passes through the queue.
	pass uint64
	// decayedAt is when uses were last decayed, levelAt when the level was computed.
	decayedAt, levelAt time.Duration
	hasLevel           bool
	// level is the fair level: the largest use per weight to which an organisation is entitled.
	level float64
	// peerDemands is what other VMs need of this one. peerUseWithin is the use there of organisations within
	// their share.
	peerDemands   []PeerDemand
	peerUseWithin float64
	// peerNames are the VMs with a valid report, peersWaitingWithin those where requests within their
	// organisation's share wait.
	peerNames, peersWaitingWithin []string
	// peersWaitedAt is when another VM last reported waiting demand, if any has.
	peersWaitedAt time.Duration
	peersWaited   bool
	// above is reused between computations of the level.
	above []*Account
}

// NewPool returns a pool without use.
func NewPool() *Pool {
	return &Pool{accounts: make(map[uint64]*Account), weights: make(map[uint64]float64), peers: make(map[string]report)}
}

// Account returns the account of an organisation and sets its weight; 0 and invalid weights mean 1.
func (p *Pool) Account(organisation uint64, weight float64) *Account {
	if !(weight > 0) || math.IsInf(weight, 0) {
		weight = 1
	}
	if weight == 1 {
		delete(p.weights, organisation)
	} else {
		p.weights[organisation] = weight
	}
	a := p.account(organisation)
	a.weight = weight
	return a
}

// account returns the account of an organisation with the weight that was last set.
func (p *Pool) account(organisation uint64) *Account {
	a := p.accounts[organisation]
	if a == nil {
		a = &Account{organisation: organisation, weight: 1}
		if w, ok := p.weights[organisation]; ok {
			a.weight = w
		}
		p.accounts[organisation] = a
	}
	return a
}

// Place records that a request was placed.
func (p *Pool) Place(now time.Duration, organisation uint64, weight, cost float64) {
	if now-p.decayedAt >= levelInterval {
		p.decay(now)
	}
	p.Account(organisation, weight).use += validCost(cost)
}

// Report replaces what another VM reports. An empty list means that nothing is used or waits there.
func (p *Pool) Report(now time.Duration, vm string, entries []Entry) {
	if len(entries) == 0 {
		delete(p.peers, vm)
		return
	}
	kept := make([]Entry, 0, min(len(entries), maxPeerEntries))
	for _, e := range entries[:min(len(entries), maxPeerEntries)] {
		kept = append(kept, Entry{e.Organisation, validCost(e.Use), validCost(e.Waiting)})
		if e.Waiting > 0 {
			p.peersWaitedAt, p.peersWaited = now, true
		}
	}
	p.peers[vm] = report{now, kept}
}

// validCost returns a cost limited to the range from 0 to maxCost.
func validCost(c float64) float64 {
	if !(c > 0) {
		return 0
	}
	return min(c, maxCost)
}

// Request is a queued request with its account and cost.
type Request struct {
	Account *Account
	Cost    float64
}

// Begin starts a pass through the queue. If the level is due, it is computed from the given
// requests, which are all that are queued here.
func (p *Pool) Begin(now time.Duration, queue iter.Seq[Request]) {
	p.pass++
	if p.hasLevel && now-p.levelAt < levelInterval {
		return
	}
	p.decay(now)
	p.sumWaiting(queue)
	p.applyReports(now)
	p.dropUnused()
	p.level, p.levelAt, p.hasLevel = p.waterFill(), now, true
	p.sumPeers(now)
}

// peerSums are sums of what a VM uses and of what waits there, by whether it is within the organisation's share.
type peerSums struct {
	useWithin, useBeyond, waitingWithin, waitingBeyond float64
}

// sumPeers computes what other VMs need of this one, given the level.
func (p *Pool) sumPeers(now time.Duration) {
	p.peerDemands, p.peerUseWithin, p.peersWaitingWithin = p.peerDemands[:0], 0, p.peersWaitingWithin[:0]
	p.peerNames = slices.AppendSeq(p.peerNames[:0], maps.Keys(p.peers))
	slices.Sort(p.peerNames)
	ownUse := 0.0
	for _, a := range p.accounts {
		ownUse += a.use
	}
	for _, vm := range p.peerNames {
		r := p.peers[vm]
		sums := p.sumReport(now, r)
		p.peerUseWithin += sums.useWithin
		if sums.waitingWithin > 0 {
			p.peersWaitingWithin = append(p.peersWaitingWithin, vm)
		}
		if cost := sums.demand(ownUse); cost > 0 {
			p.peerDemands = append(p.peerDemands, PeerDemand{vm, cost, r.received})
		}
	}
}

func (p *Pool) sumReport(now time.Duration, r report) (sum peerSums) {
	factor := decayFactor(max(0, now-r.received))
	for _, e := range r.entries {
		a := p.accounts[e.Organisation]
		if a == nil {
			continue
		}
		left := max(0, p.bound(a)-a.totalUse())
		sum.waitingWithin += min(e.Waiting, left)
		sum.waitingBeyond += max(0, e.Waiting-left)
		if left > 0 {
			sum.useWithin += e.Use * factor
		} else {
			sum.useBeyond += e.Use * factor
		}
	}
	return sum
}

// demand returns what the VM needs of others, given the use by this VM. Where it serves organisations
// beyond their share, what they leave is its own to give, within its next placements. Where their requests
// wait and it gets capacity like this VM, those within their share go first there.
func (s peerSums) demand(ownUse float64) float64 {
	if s.waitingBeyond > 0 && s.useWithin+s.useBeyond >= minPeerPart*ownUse {
		return 0
	}
	return s.waitingWithin - s.useBeyond - s.useWithin*ownRefillTime.Seconds()/TimeConstant.Seconds()
}

// bound returns the use from which on an organisation is beyond its share.
func (p *Pool) bound(a *Account) float64 { return (1 - Margin) * p.level * a.weight }

// Within reports whether a request is within its organisation's share: with the requests that were
// passed before it, the organisation is clearly below the level. An organisation without use is
// entitled to one request, however large.
func (p *Pool) Within(r Request) bool {
	a := r.Account
	if a.pass != p.pass {
		a.queued, a.pass = 0, p.pass
	}
	before := a.totalUse() + a.queued
	a.queued += r.Cost
	return before == 0 || before < p.bound(a)
}

// Level returns the fair level as last computed.
func (p *Pool) Level() float64 { return p.level }

// PeerDemands returns what other VMs need of this one, as last computed, in a fixed order.
func (p *Pool) PeerDemands() []PeerDemand { return p.peerDemands }

// PeerUseWithin returns the use at other VMs by organisations within their share, as last computed.
func (p *Pool) PeerUseWithin() float64 { return p.peerUseWithin }

// PeersWaitingWithin returns the other VMs where requests within their organisation's share wait, as last computed.
func (p *Pool) PeersWaitingWithin() []string { return p.peersWaitingWithin }

// Peers returns the other VMs that report use or demand, as last computed.
func (p *Pool) Peers() []string { return p.peerNames }

// PeersWaited reports whether requests waited at another VM within PeerTTL.
func (p *Pool) PeersWaited(now time.Duration) bool {
	return p.peersWaited && now-p.peersWaitedAt <= PeerTTL
}

// ReportsOther reports whether a valid report of another VM has an organisation other than the given one.
func (p *Pool) ReportsOther(now time.Duration, organisation uint64) bool {
	for _, r := range p.peers {
		if now-r.received <= PeerTTL && slices.ContainsFunc(r.entries, func(e Entry) bool { return e.Organisation != organisation }) {
			return true
		}
	}
	return false
}

// Reporters returns the number of other VMs whose reports are valid.
func (p *Pool) Reporters(now time.Duration) int {
	n := 0
	for _, r := range p.peers {
		if now-r.received <= PeerTTL {
			n++
		}
	}
	return n
}

// Largest returns the accounts of this VM with the largest use and demand, at most n, given the requests
// that are queued here. If there are more,
// each entry is reduced by the largest one that is left out: otherwise the organisations that happen to be
// listed would count as using more than others with equal use.
func (p *Pool) Largest(now time.Duration, n int, queue iter.Seq[Request]) []Entry {
	p.decay(now)
	p.sumWaiting(queue)
	p.dropUnused()
	entries := make([]Entry, 0, len(p.accounts))
	for _, a := range p.accounts {
		if a.use+a.waiting > 0 {
			entries = append(entries, Entry{a.organisation, a.use, a.waiting})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.Organisation, b.Organisation))
	})
	if len(entries) <= n {
		return entries
	}
	omitted := entries[n].total()
	listed := entries[:n]
	for i, e := range listed {
		factor := (e.total() - omitted) / e.total()
		listed[i].Use, listed[i].Waiting = e.Use*factor, e.Waiting*factor
	}
	return listed
}

// Top returns the organisation with the largest use of all VMs and its part of the total use.
func (p *Pool) Top() (organisation uint64, part float64) {
	total, most := 0.0, -1.0
	for _, a := range p.accounts {
		total += a.totalUse()
		if u := a.totalUse(); u > most {
			organisation, most = a.organisation, u
		}
	}
	if total == 0 {
		return organisation, 0
	}
	return organisation, most / total
}

// Organisations returns the number of organisations with recent use or demand.
func (p *Pool) Organisations() int { return len(p.accounts) }

func (p *Pool) decay(now time.Duration) {
	if now <= p.decayedAt {
		return
	}
	factor := decayFactor(now - p.decayedAt)
	for _, a := range p.accounts {
		a.use *= factor
	}
	p.decayedAt = now
}

func decayFactor(d time.Duration) float64 {
	return math.Exp(-d.Seconds() / TimeConstant.Seconds())
}

// sumWaiting sums up the waiting demand.
func (p *Pool) sumWaiting(queue iter.Seq[Request]) {
	for _, a := range p.accounts {
		a.waiting = 0
	}
	for r := range queue {
		r.Account.waiting += r.Cost
	}
}

// dropUnused drops the accounts that no longer count.
func (p *Pool) dropUnused() {
	total := 0.0
	for _, a := range p.accounts {
		total += a.totalUse()
	}
	for organisation, a := range p.accounts {
		if a.waiting+a.peerWaiting == 0 && a.totalUse() <= minUse*total {
			delete(p.accounts, organisation)
		}
	}
}

// applyReports adds up what other VMs report and drops reports that are too old.
func (p *Pool) applyReports(now time.Duration) {
	for _, a := range p.accounts {
		a.peerUse, a.peerWaiting = 0, 0
	}
	for vm, r := range p.peers {
		age := now - r.received
		if age > PeerTTL {
			delete(p.peers, vm)
			continue
		}
		factor := decayFactor(max(0, age))
		for _, e := range r.entries {
			a := p.account(e.Organisation)
			a.peerUse += e.Use * factor
			a.peerWaiting += e.Waiting
		}
	}
}

// waterFill returns the level at which the total use is divided by max-min fairness: each
// organisation gets its demand or the level times its weight, whichever is less.
func (p *Pool) waterFill() float64 {
	p.above = p.above[:0]
	capacity, weights := 0.0, 0.0
	for _, a := range p.accounts {
		p.above = append(p.above, a)
		capacity += a.totalUse()
		weights += a.weight
	}
	// Removing the organisations below the level only raises it.
	for len(p.above) > 0 {
		level := capacity / weights
		kept := p.above[:0]
		for _, a := range p.above {
			if a.demand() >= level*a.weight {
				kept = append(kept, a)
				continue
			}
			capacity -= a.demand()
			weights -= a.weight
		}
		if len(kept) == len(p.above) {
			return level
		}
		p.above = kept
	}
	return math.Inf(1)
}
