package entry

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/cell"
	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/schema"
)

// listEntries returns the entries of all VMs, or nil if the list is incomplete or has more than
// maxListedVMs.
func (p *peers) listEntries() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.listIsComplete || len(p.byAddress) >= maxListedVMs {
		return nil
	}
	names := make([]string, 0, len(p.byAddress))
	for a, pe := range p.byAddress {
		names = append(names, listEntry(allowance.VM{Address: a, Domain: pe.domain}))
	}
	slices.Sort(names)
	return append(names, listEntry(allowance.VM{Address: p.d.settings.Listen.Peers, Domain: p.d.settings.Vm.FailureDomain}))
}

func (p *peers) newNote() *schema.PeerNote {
	n := &schema.PeerNote{
		Vm: p.d.settings.Vm.Name, Incarnation: p.incarnation, UptimeMs: uint64(p.d.now().Milliseconds()),
		Address: p.d.settings.Listen.Peers, FailureDomain: p.d.settings.Vm.FailureDomain,
	}
	if t := p.d.table.Load(); t != nil {
		n.ConfigVersion = t.Document.Version
	}
	n.FollowsConfig, n.StoreLost = p.followsConfig.Load(), p.d.registryReadFailed(p.d.now())
	n.EndpointsLost = p.d.link.failed()
	return n
}

// sendNotes sends notes until ctx ends.
func (p *peers) sendNotes(ctx context.Context) error {
	t := time.NewTicker(noteInterval)
	defer t.Stop()
	for i := uint64(0); ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-p.d.poison.Urgent():
			sleepJittered(ctx, suspectsPushDelay)
			p.pushUpdates(i)
			continue
		case <-p.d.notices.urgent:
			p.pushUpdates(i)
			continue
		case <-t.C:
		}
		p.step(i)
	}
}

// step does the i-th round: it updates this VM's role in its cell and sends notes.
func (p *peers) step(i uint64) {
	p.d.remoteJobs.expireRequesters()
	if p.d.link.lost() {
		// Others may have begun to reach endpoints only after this VM's link was lost.
		p.d.remoteJobs.handBack()
	}
	p.d.standstill.beat()
	p.updatePlacerRole()
	p.d.placement.updatePlacer()
	p.d.sched.setCoverage(p.coverage())
	p.d.rollouts.step()
	p.d.resumption.step()
	p.sendRound(i)
	p.d.shareReport.step()
	p.sendDoubts()
}

// newHeartbeat returns the i-th note, without loads.
func (p *peers) newHeartbeat(i uint64) *schema.PeerNote {
	n := p.newNote()
	n.Number = i + 1
	n.Places, n.CpuShare = p.offersPlacement(), p.d.settings.Limits.CpuShare
	at := p.d.registry.position()
	n.Registry, n.RegistryEra = at.Offset, at.Era
	n.Members = uint32(len(p.d.remoteJobs.requesterAddresses()))
	n.Rollouts = p.d.rollouts.forNote()
	if placer := p.d.placement.assignedPlacer(); placer != nil {
		n.Placer = placer.addr.String()
	}
	return n
}

// sendRound sends the i-th round of notes: loads to VMs that place requests, the state that a cell
// shares to the rest of the cell, and a heartbeat to some others.
func (p *peers) sendRound(i uint64) {
	to := p.recipients(i)
	heartbeat := p.newHeartbeat(i)
	full := i%fullNoteEvery == 0
	heartbeat.Suspects, heartbeat.Notices = p.d.poison.ForNote(full), p.d.notices.forNote(full)
	p.writeAll(p.encode(heartbeat), to.Heartbeats)
	state := proto.Clone(heartbeat).(*schema.PeerNote)
	p.d.placement.addRunState(state)
	if full {
		state.Vms = p.listEntries()
		// VMs that ask a placer need the event gaps in case they have to place requests themselves.
		state.Loads, state.Uses = true, p.endpointLoads(true)
	}
	p.writeAll(p.encode(state), to.State)
	if !full {
		state.Loads, state.Uses = true, p.endpointLoads(false)
	}
	state.OrganisationUses = p.d.sched.organisationUses()
	p.d.sched.recordNoteSent(p.namesOf(to.Loads))
	p.writeAll(p.encode(state), to.Loads)
}

// namesOf returns the names of the VMs with some addresses, as far as they are known.
func (p *peers) namesOf(addresses []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(addresses))
	for _, a := range addresses {
		if pe := p.byAddress[a]; pe != nil && pe.name != "" {
			names = append(names, pe.name)
		}
	}
	return names
}

func (p *peers) writeAll(b []byte, to []string) {
	p.mu.Lock()
	addrs := make([]*net.UDPAddr, 0, len(to))
	for _, a := range to {
		if pe := p.byAddress[a]; pe != nil {
			addrs = append(addrs, pe.addr)
		}
	}
	p.mu.Unlock()
	for _, a := range addrs {
		p.write(b, a)
	}
}

// recipients returns who gets the i-th round of notes.
func (p *peers) recipients(i uint64) cell.Recipients {
	members := p.d.remoteJobs.requesterAddresses()
	placer := p.d.placement.assignedPlacer()
	var next []string
	if placer == nil && len(members) > 0 {
		self, willing := p.willingPlacers(p.d.now())
		next = cell.Successors(self, p.fleet(), willing)
	}
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateShares()
	withRole := make(map[*peer]bool, len(p.placing)+len(members)+len(next)+1)
	for pe := range p.placing {
		if !pe.placesRequests(now) {
			delete(p.placing, pe)
			continue
		}
		withRole[pe] = true
	}
	if placer != nil {
		withRole[placer] = true
	} else {
		for a := range members {
			withRole[p.byAddress[a]] = true
		}
	}
	for _, a := range next {
		withRole[p.byAddress[a]] = true
	}
	delete(withRole, nil)
	n := cell.Neighbours{WithRole: make([]cell.Peer, 0, len(withRole)), Near: p.near, Far: p.far}
	for pe := range withRole {
		n.WithRole = append(n.WithRole, cell.Peer{
			Address: pe.address, SameDomain: pe.domain == p.d.settings.Vm.FailureDomain, IsPlacer: pe.placesRequests(now),
			SameCell: pe == placer || placer == nil && members[pe.address], Successor: slices.Contains(next, pe.address),
		})
	}
	// Each VM starts the rotation at another offset: otherwise a VM would receive notes from all
	// others at once and then from none for a while.
	return cell.ChooseRecipients(n, i+p.offset, placer == nil)
}

// rotationOffsetRange bounds rotation offsets; it exceeds the rotation length of any list in use.
const rotationOffsetRange = 1 << 16

func rotationOffset(address string) uint64 { return xxhash.Sum64String(address) % rotationOffsetRange }

func (p *peers) encode(n *schema.PeerNote) []byte {
	b, err := proto.Marshal(n)
	if err != nil {
		p.d.log.Error().Err(err).Msg("note_unsendable")
		return nil
	}
	if len(b) > maxDatagram {
		p.d.count("notes_too_long")
		return nil
	}
	return b
}

func (p *peers) send(n *schema.PeerNote, to *net.UDPAddr) { p.write(p.encode(n), to) }

func (p *peers) write(b []byte, to *net.UDPAddr) {
	if len(b) == 0 {
		return
	}
	if _, err := p.conn.WriteTo(b, to); err != nil {
		p.d.count("note_errors")
	}
}

func (p *peers) receiveNotes(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		size, addr, err := p.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			p.d.count("note_errors")
			continue
		}
		from, ok := addr.(*net.UDPAddr)
		n := &schema.PeerNote{}
		if err := proto.Unmarshal(buf[:size], n); err != nil || !ok {
			p.d.count("notes_unreadable")
			continue
		}
		p.handleNote(n, from)
	}
}

// handleNote processes a received note.
func (p *peers) handleNote(n *schema.PeerNote, from *net.UDPAddr) {
	p.d.placement.handleDecisions(n, from)
	p.d.remoteJobs.handleNote(n, from)
	p.d.resumption.handleNote(n, from)
	if n.Address == "" {
		// Notes about single requests contain nothing else.
		return
	}
	p.mu.Lock()
	pe := p.addVM(allowance.VM{Address: n.Address, Domain: n.FailureDomain})
	started := false
	if pe != nil {
		started = pe.incarnation != n.Incarnation
		pe.incarnation, pe.name, pe.stamp = n.Incarnation, n.Vm, stampOf(n)
		pe.recordContact(p.d.now())
		if pe.domain != p.d.settings.Vm.FailureDomain {
			p.domainSeen[pe.domain] = pe.lastSeen
		}
	}
	if len(n.Vms) > 0 {
		p.mergeListLocked(n.Vms)
	}
	p.updateShares()
	if pe != nil {
		if n.Endpoints != nil || pe.storeLost && !n.StoreLost {
			pe.relayedAt = p.d.now()
		}
		pe.followsConfig, pe.storeLost, pe.endpointsLost = n.FollowsConfig, n.StoreLost, n.EndpointsLost
		if placer := p.byAddress[n.Placer]; placer != nil {
			placer.namedAt = p.d.now()
			p.placing[placer] = true
		}
		if n.Number > 0 {
			pe.placesForOthers, pe.cpuShare, pe.asksPlacer, pe.members = n.Places, n.CpuShare, n.Placer != "", int(n.Members)
			pe.registryPosition = Position{Era: n.RegistryEra, Offset: n.Registry}
		}
		p.updateIndex(pe)
	}
	p.mu.Unlock()
	if n.Registry > 0 {
		p.d.observeEra(n.RegistryEra)
	}
	p.d.poison.Merge(n.Suspects)
	p.d.notices.mergeRemote(n.Notices)
	p.d.rollouts.mergeRemote(n.Rollouts)
	p.d.rollouts.mergeReports(n)
	if started {
		p.sendStartState(pe)
		p.d.resumption.tellAgain(pe.address)
	}
	p.handleRelay(n)
	p.handleLifeSigns(n, pe)
	if n.Loads {
		p.d.sched.applyPeerLoads(n)
		p.d.sched.applyOrganisationUses(n)
	}
	p.receiveGrants(n, from)
	p.grantWants(n, from)
}

// endpointLoads returns this VM's load at the endpoints it uses, for a note. A VM that has lost its
// link would make others doubt all endpoints.
func (p *peers) endpointLoads(withGaps bool) []*schema.EndpointUse {
	list := p.d.sched.endpointLoads(withGaps)
	if p.d.link.failed() {
		for _, use := range list {
			use.Doubted, use.Ejected = false, false
		}
	}
	return list
}

// endpointLoads returns this VM's load at the endpoints it uses. With withGaps it includes the
// other endpoints whose event gap this VM knows.
func (s *sharedScheduler) endpointLoads(withGaps bool) []*schema.EndpointUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*schema.EndpointUse
	for _, load := range s.sched.Loads(s.now(), withGaps) {
		list = append(list, &schema.EndpointUse{
			Endpoint: load.EndpointHash, Running: uint32(load.Running), Waiting: uint32(load.Waiting),
			PromptTokens: uint32(load.PromptTokens), EventGapUs: uint32(load.EventGap.Microseconds()), FreshGapUs: uint32(load.RecentGap.Microseconds()), Doubted: load.SuspectedDown, Gone: load.Replaced, Ejected: load.Ejected,
			LearnedLimit: uint32(load.LearnedLimit), LearnedMs: wireAge(load.LearnedAge),
		})
	}
	return list
}

func (s *sharedScheduler) applyPeerLoads(n *schema.PeerNote) {
	loads := make([]dispatch.EndpointLoad, 0, len(n.Uses))
	for _, use := range n.Uses {
		loads = append(loads, dispatch.EndpointLoad{EndpointHash: use.Endpoint, Load: dispatch.Load{
			Running: int(use.Running), Waiting: int(use.Waiting), PromptTokens: int(use.PromptTokens),
			EventGap: micros(uint64(use.EventGapUs)), RecentGap: micros(uint64(use.FreshGapUs)), SuspectedDown: use.Doubted, Replaced: use.Gone, Ejected: use.Ejected,
			LearnedLimit: int(use.LearnedLimit), LearnedAge: millis(uint64(use.LearnedMs)),
		}})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.touch()
	s.sched.ApplyPeerLoads(s.now(), n.Vm, n.FailureDomain, loads, n.Placer == "")
}
