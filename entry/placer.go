package entry

import (
	"time"

	"github.com/chivefield/chivefield/core/cell"
	"github.com/chivefield/chivefield/core/mechanism"
)

// choose works out the placer from the VMs that are heard. Runs of one that has
// fallen silent become this VM's own: nobody else tells of their load.
func (p *placing) choose() {
	now := p.d.now()
	p.mu.Lock()
	old, since := p.placer, p.since
	p.mu.Unlock()
	if old != nil && now-since > placerSilence && !p.d.peers.heardWithin(old, placerSilence) {
		p.d.peers.avoidSilent(old)
	}
	current := ""
	switch {
	case old != nil:
		current = old.addr.String()
	case len(p.d.remoteJobs.members()) > 0:
		current = p.d.set.Listen.Peers
	}
	address, to := p.d.peers.placer(current)
	p.mu.Lock()
	p.placer = to
	if old != to {
		p.since = now
	}
	var owned []uint64
	for h, r := range p.runs {
		if !p.d.peers.heardWithin(r.placer, placerSilence) {
			owned = append(owned, h)
			delete(p.runs, h)
		}
	}
	p.mu.Unlock()
	for _, h := range owned {
		p.d.sched.own(h)
	}
	if old != to {
		p.d.sched.follow(address, to != nil)
		p.d.log.Info().Str("placer", address).Bool("self", to == nil).Dur("uptime", now).Int("runs_owned", len(owned)).Msg("placer_chosen")
	}
}

// placer works out which VM places for this one, and its record; nil if it is this one.
func (p *peers) placer(current string) (address string, to *peer) {
	now := p.d.now()
	self, willing := p.willing(now)
	if p.d.set.Off.Has(mechanism.Cells) {
		return self.Address, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen := cell.ChoosePlacer(self, p.counts, willing, current)
	if chosen == "" || chosen == self.Address {
		return self.Address, nil
	}
	return chosen, p.byAddress[chosen]
}

// reconsider finds out whether this VM places for others yet, and whether it steps down,
// since others place for its cell.
func (p *peers) reconsider() {
	now := p.d.now()
	fleet := p.fleet()
	p.becomeEligible(now, fleet)
	self, willing := p.willing(now)
	down := p.surplus.ShouldStepDown(now, cell.IsSurplus(self, fleet, willing))
	if down && !p.steppedDown.Load() {
		p.d.count("placer_surplus")
		p.d.log.Info().Int("members", self.Members).Int("willing", len(willing)).Msg("placer_steps_down")
	}
	p.steppedDown.Store(down)
}

// becomeEligible lets a process place for others once it has heard enough of them, or as
// soon as it is clear that nobody else does: after all VMs were killed at once nobody knew
// anything, and all placed for themselves for two seconds, several at each free slot. All
// VMs of the failure domain hear of it at once, or they would choose from those whose turn
// it was.
func (p *peers) becomeEligible(now time.Duration, fleet cell.FleetSize) {
	if p.eligible.Load() || !p.d.ready() || now < willingAlone || now < willingAfter && p.cellPlaced(now, fleet) {
		return
	}
	p.eligible.Store(true)
	p.writeAll(p.encode(p.newHeartbeat(0)), p.domainAddresses())
}

// cellPlaced says whether another VM of those that may place for this one does so for
// others already.
func (p *peers) cellPlaced(now time.Duration, fleet cell.FleetSize) bool {
	self, willing := p.willing(now)
	return cell.HasActivePlacer(self, fleet, willing)
}

// offers says whether this VM places for others that do not ask it yet.
func (p *peers) offers() bool { return p.d.remoteJobs.willing() && !p.steppedDown.Load() }

// fleet is how many VMs are known, this one included.
func (p *peers) fleet() cell.FleetSize {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// countKnown counts a VM that was learned of.
func (p *peers) countKnown(domain string) {
	own := p.d.set.Vm.FailureDomain
	if p.d.set.Region(domain) == p.d.set.Region(own) {
		p.counts.Region++
	}
	if domain == own {
		p.counts.Domain++
	}
}

// willing are the VMs that would place requests, and this one as such.
func (p *peers) willing(now time.Duration) (self cell.VM, willing []cell.VM) {
	self = cell.VM{
		Address: p.d.set.Listen.Peers, Domain: p.d.set.Vm.FailureDomain, Region: p.d.set.Region(p.d.set.Vm.FailureDomain),
		CPUShare: p.d.set.Limits.CpuShare, Members: len(p.d.remoteJobs.members()),
	}
	if p.offers() {
		willing = append(willing, self)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, pe := range p.byAddress {
		if pe.placesForOthers && pe.heardLately(now) && now >= pe.avoidUntil && !pe.wentSilent {
			willing = append(willing, cell.VM{Address: a, Domain: pe.domain, Region: p.d.set.Region(pe.domain), CPUShare: pe.cpuShare, Members: pe.members})
		}
	}
	return self, willing
}

// heardWithin says whether a VM spoke within a time.
func (p *peers) heardWithin(pe *peer, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.d.now()-pe.lastHeard < d
}

// avoidSilent leaves a VM out of the choice of placers until it is heard again. Heartbeats of
// life of VMs outside the cell are seconds apart in a large deployment; a placer is
// missed sooner by those who ask it.
func (p *peers) avoidSilent(pe *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pe.wentSilent = true
}
