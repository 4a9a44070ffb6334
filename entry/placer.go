package entry

import (
	"time"

	"github.com/chivefield/chivefield/core/cell"
	"github.com/chivefield/chivefield/core/mechanism"
)

// updatePlacer works out the placer from the VMs that are heard. Runs of one that has
// fallen silent become this VM's own: nobody else tells of their load.
func (p *placement) updatePlacer() {
	now := p.d.now()
	p.mu.Lock()
	old, since := p.placer, p.placerSince
	p.mu.Unlock()
	if old != nil && now-since > placerTimeout && !p.d.peers.seenWithin(old, placerTimeout) {
		p.d.peers.markSilent(old)
	}
	current := ""
	switch {
	case old != nil:
		current = old.addr.String()
	case len(p.d.remoteJobs.requesterAddresses()) > 0:
		current = p.d.settings.Listen.Peers
	}
	address, placer := p.d.peers.choosePlacer(current)
	p.mu.Lock()
	p.placer = placer
	if old != placer {
		p.placerSince = now
	}
	var owned []uint64
	for h, r := range p.remoteRuns {
		if !p.d.peers.seenWithin(r.placer, placerTimeout) {
			owned = append(owned, h)
			delete(p.remoteRuns, h)
		}
	}
	p.mu.Unlock()
	for _, h := range owned {
		p.d.sched.takeOwnership(h)
	}
	if old != placer {
		p.d.sched.setPlacer(address, placer != nil)
		p.d.log.Info().Str("placer", address).Bool("self", placer == nil).Dur("uptime", now).Int("runs_owned", len(owned)).Msg("placer_chosen")
	}
}

// choosePlacer works out which VM places for this one, and its record; nil if it is this one.
func (p *peers) choosePlacer(current string) (address string, to *peer) {
	now := p.d.now()
	self, willing := p.willingPlacers(now)
	if p.d.settings.Off.Has(mechanism.Cells) {
		return self.Address, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen := cell.Placer(self, p.known, willing, current)
	if chosen == "" || chosen == self.Address {
		return self.Address, nil
	}
	return chosen, p.addrs[chosen]
}

// updatePlacerRole finds out whether this VM places for others yet, and whether it steps down,
// since others place for its cell.
func (p *peers) updatePlacerRole() {
	now := p.d.now()
	fleet := p.fleet()
	p.updateEligibility(now, fleet)
	self, willing := p.willingPlacers(now)
	stepDown := p.surplus.StepsDown(now, cell.IsSurplus(self, fleet, willing))
	if stepDown && !p.steppedDown.Load() {
		p.d.count("placer_surplus")
		p.d.log.Info().Int("members", self.Members).Int("willing", len(willing)).Msg("placer_steps_down")
	}
	p.steppedDown.Store(stepDown)
}

// updateEligibility lets a process place for others once it has heard enough of them, or as
// soon as it is clear that nobody else does: after all VMs were killed at once nobody knew
// anything, and all placed for themselves for two seconds, several at each free slot. All
// VMs of the failure domain hear of it at once, or they would choose from those whose turn
// it was.
func (p *peers) updateEligibility(now time.Duration, fleet cell.Fleet) {
	if p.eligible.Load() || !p.d.ready() || now < soloPlacerWarmup || now < placerWarmup && p.cellHasPlacer(now, fleet) {
		return
	}
	p.eligible.Store(true)
	p.writeAll(p.encode(p.heartbeat(0)), p.domain())
}

// cellHasPlacer says whether another VM of those that may place for this one does so for
// others already.
func (p *peers) cellHasPlacer(now time.Duration, fleet cell.Fleet) bool {
	self, willing := p.willingPlacers(now)
	return cell.Placed(self, fleet, willing)
}

// offersPlacement says whether this VM places for others that do not ask it yet.
func (p *peers) offersPlacement() bool { return p.d.remoteJobs.acceptsJobs() && !p.steppedDown.Load() }

// fleet is how many VMs are known, this one included.
func (p *peers) fleet() cell.Fleet {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

// countVM counts a VM that was learned of.
func (p *peers) countVM(domain string) {
	own := p.d.settings.Vm.FailureDomain
	if p.d.settings.Region(domain) == p.d.settings.Region(own) {
		p.known.Region++
	}
	if domain == own {
		p.known.Domain++
	}
}

// willingPlacers are the VMs that would place requests, and this one as such.
func (p *peers) willingPlacers(now time.Duration) (self cell.VM, willing []cell.VM) {
	self = cell.VM{
		Address: p.d.settings.Listen.Peers, Domain: p.d.settings.Vm.FailureDomain, Region: p.d.settings.Region(p.d.settings.Vm.FailureDomain),
		Share: p.d.settings.Limits.CpuShare, Members: len(p.d.remoteJobs.requesterAddresses()),
	}
	if p.offersPlacement() {
		willing = append(willing, self)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, pe := range p.addrs {
		if pe.places && pe.isAlive(now) && now >= pe.avoidUntil && !pe.silent {
			willing = append(willing, cell.VM{Address: a, Domain: pe.domain, Region: p.d.settings.Region(pe.domain), Share: pe.share, Members: pe.members})
		}
	}
	return self, willing
}

// seenWithin says whether a VM spoke within a time.
func (p *peers) seenWithin(pe *peer, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.d.now()-pe.heard < d
}

// markSilent leaves a VM out of the choice of placers until it is heard again. Heartbeats of
// life of VMs outside the cell are seconds apart in a large deployment; a placer is
// missed sooner by those who ask it.
func (p *peers) markSilent(pe *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pe.silent = true
}
