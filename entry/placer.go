package entry

import (
	"net"
	"time"

	"github.com/chivefield/chivefield/core/cell"
	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/core/resume"
)

// updatePlacer selects the placer from the VMs that are alive. This VM takes over the runs placed
// by a VM that has stopped sending notes, since no other VM reports their load.
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

// choosePlacer returns the address of the VM that places requests for this one, and its peer
// record; nil if it is this VM.
func (p *peers) choosePlacer(current string) (address string, placer *peer) {
	now := p.d.now()
	self, willing := p.willingPlacers(now)
	if p.d.settings.Disabled.Has(mechanism.Cells) {
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

// updatePlacerRole determines whether this VM may place requests for others yet, and whether it
// steps down because enough others place for its cell.
func (p *peers) updatePlacerRole() {
	now := p.d.now()
	fleet := p.fleet()
	p.updateEligibility(now, fleet)
	self, willing := p.willingPlacers(now)
	stepDown := p.surplus.ShouldStepDown(now, cell.IsSurplus(self, fleet, willing))
	if stepDown && !p.steppedDown.Load() {
		p.d.count("placer_surplus")
		p.d.log.Info().Int("members", self.Members).Int("willing", len(willing)).Msg("placer_steps_down")
	}
	p.steppedDown.Store(stepDown)
}

// updateEligibility lets this process place requests for others once it has received notes for
// long enough, or as soon as it is clear that no other VM does: after all VMs had been killed at
// once, none knew any loads, and each placed its own requests for two seconds, several at each
// free slot. All VMs of the failure domain are notified at once, or they would choose only among
// the VMs whose heartbeats came first in the rotation.
func (p *peers) updateEligibility(now time.Duration, fleet cell.FleetSize) {
	if p.eligible.Load() || !p.d.ready() || now < soloPlacerWarmup || now < placerWarmup && p.cellHasPlacer(now, fleet) {
		return
	}
	p.eligible.Store(true)
	p.writeAll(p.encode(p.newHeartbeat(0)), p.domainAddresses())
}

// cellHasPlacer reports whether another VM that may place requests for this one already does so
// for others.
func (p *peers) cellHasPlacer(now time.Duration, fleet cell.FleetSize) bool {
	self, willing := p.willingPlacers(now)
	return cell.HasActivePlacer(self, fleet, willing)
}

// offersPlacement reports whether this VM accepts placement requests from further VMs.
func (p *peers) offersPlacement() bool { return p.d.remoteJobs.acceptsJobs() && !p.steppedDown.Load() }

// fleet returns the number of known VMs, including this one.
func (p *peers) fleet() cell.FleetSize {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// countVM adds a newly discovered VM to the fleet size.
func (p *peers) countVM(domain string) {
	own := p.d.settings.Vm.FailureDomain
	if p.d.settings.Region(domain) == p.d.settings.Region(own) {
		p.counts.Region++
	}
	if domain == own {
		p.counts.Domain++
	}
}

// regionVMs returns the known VMs of this VM's region, itself included.
func (p *peers) regionVMs() []resume.VM {
	own := p.d.settings.Vm.FailureDomain
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.regionList) == p.counts.Region {
		return p.regionList
	}
	p.regionList = []resume.VM{resume.NewVM(p.d.settings.Listen.Peers, own)}
	for address, pe := range p.byAddress {
		if p.d.settings.Region(pe.domain) == p.d.settings.Region(own) {
			p.regionList = append(p.regionList, resume.NewVM(address, pe.domain))
		}
	}
	return p.regionList
}

// allDomainsSeen reports whether a note was received from each other failure domain within a time.
func (p *peers) allDomainsSeen(within time.Duration) bool {
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, seen := range p.domainSeen {
		if seen == 0 || now-seen > within {
			return false
		}
	}
	return true
}

// udpAddress returns the address of another VM; nil for this VM.
func (p *peers) udpAddress(address string) *net.UDPAddr {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pe := p.byAddress[address]; pe != nil {
		return pe.addr
	}
	return nil
}

// willingPlacers returns this VM and the VMs that are willing to place requests for others, which
// may include this one.
func (p *peers) willingPlacers(now time.Duration) (self cell.VM, willing []cell.VM) {
	self = cell.VM{
		Address: p.d.settings.Listen.Peers, Domain: p.d.settings.Vm.FailureDomain, Region: p.d.settings.Region(p.d.settings.Vm.FailureDomain),
		CPUShare: p.d.settings.Limits.CpuShare, Members: len(p.d.remoteJobs.requesterAddresses()),
	}
	if p.offersPlacement() {
		willing = append(willing, self)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for pe := range p.willing {
		if pe.isAlive(now) && now >= pe.avoidUntil && !pe.wentSilent {
			willing = append(willing, cell.VM{Address: pe.address, Domain: pe.domain, Region: p.d.settings.Region(pe.domain), CPUShare: pe.cpuShare, Members: pe.members})
		}
	}
	return self, willing
}

// seenWithin reports whether a note from a VM was received within the last d.
func (p *peers) seenWithin(pe *peer, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.d.now()-pe.lastSeen < d
}

// markSilent excludes a VM from selection as placer until its next note. Heartbeats of VMs
// outside the cell arrive seconds apart in a large deployment; the VMs that use a placer detect
// its failure sooner.
func (p *peers) markSilent(pe *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pe.wentSilent = true
}
