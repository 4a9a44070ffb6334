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

// names lists the VMs known, or none if the list is not whole.
func (p *peers) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.complete || len(p.addrs) >= maxListed {
		return nil
	}
	names := make([]string, 0, len(p.addrs))
	for a, pe := range p.addrs {
		names = append(names, entryOf(allowance.VM{Address: a, Domain: pe.domain}))
	}
	slices.Sort(names)
	return append(names, entryOf(allowance.VM{Address: p.d.settings.Listen.Peers, Domain: p.d.settings.Vm.FailureDomain}))
}

func (p *peers) note() *schema.PeerNote {
	n := &schema.PeerNote{Vm: p.d.settings.Vm.Name, Incarnation: p.inc, Address: p.d.settings.Listen.Peers, FailureDomain: p.d.settings.Vm.FailureDomain}
	if t := p.d.table.Load(); t != nil {
		n.ConfigVersion = t.Document.Version
	}
	n.FollowsConfig, n.StoreLost = p.follows.Load(), p.d.registryLost(p.d.now())
	return n
}

// tell sends notes until ctx ends.
func (p *peers) tell(ctx context.Context) error {
	t := time.NewTicker(noteEvery)
	defer t.Stop()
	for i := uint64(0); ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-p.d.suspects.fresh:
			pause(ctx, suspectsSettle)
			p.tellNews(i)
			continue
		case <-p.d.notices.fresh:
			p.tellNews(i)
			continue
		case <-t.C:
		}
		p.d.remoteJobs.expireRequesters()
		p.updatePlacerRole()
		p.d.placing.updatePlacer()
		p.d.sched.setCoverage(p.reach())
		p.d.rollouts.step()
		p.tellOnce(i)
	}
}

// heartbeat is the i-th note without loads.
func (p *peers) heartbeat(i uint64) *schema.PeerNote {
	n := p.note()
	n.Number = i + 1
	n.Places, n.CpuShare = p.offersPlacement(), p.d.settings.Limits.CpuShare
	at := p.d.registry.position()
	n.Registry, n.RegistryEra = at.Offset, at.Era
	n.Members = uint32(len(p.d.remoteJobs.requesterAddresses()))
	n.Rollouts = p.d.rollouts.describe()
	if placer := p.d.placing.assignedPlacer(); placer != nil {
		n.Placer = placer.addr.String()
	}
	return n
}

// tellOnce sends the i-th note: with loads to those who place requests, with what a
// cell needs to the rest of it, and a heartbeat to some others.
func (p *peers) tellOnce(i uint64) {
	to := p.recipients(i)
	heartbeat := p.heartbeat(i)
	whole := i%vmsEvery == 0
	heartbeat.Suspects, heartbeat.Notices = p.d.suspects.news(whole), p.d.notices.news(whole)
	p.writeAll(p.encode(heartbeat), to.Heartbeats)
	state := proto.Clone(heartbeat).(*schema.PeerNote)
	p.d.placing.addRunState(state)
	if whole {
		state.Vms = p.names()
		// Those who ask need the paces for when they place for themselves.
		state.Loads, state.Uses = true, p.d.sched.uses(true)
	}
	p.writeAll(p.encode(state), to.State)
	if !whole {
		state.Loads, state.Uses = true, p.d.sched.uses(false)
	}
	p.writeAll(p.encode(state), to.Loads)
}

func (p *peers) writeAll(b []byte, to []string) {
	p.mu.Lock()
	addrs := make([]*net.UDPAddr, 0, len(to))
	for _, a := range to {
		if pe := p.addrs[a]; pe != nil {
			addrs = append(addrs, pe.addr)
		}
	}
	p.mu.Unlock()
	for _, a := range addrs {
		p.write(b, a)
	}
}

// recipients chooses who gets the i-th note.
func (p *peers) recipients(i uint64) cell.Recipients {
	members := p.d.remoteJobs.requesterAddresses()
	placer := p.d.placing.assignedPlacer()
	var next []string
	if placer == nil && len(members) > 0 {
		self, willing := p.willingPlacers(p.d.now())
		next = cell.Successors(self, p.fleet(), willing)
	}
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share()
	peers := make([]cell.Peer, 0, len(p.addrs))
	for a, pe := range p.addrs {
		peers = append(peers, cell.Peer{
			Address: a, Near: pe.domain == p.d.settings.Vm.FailureDomain, Places: pe.placing(now),
			Cell: pe == placer || placer == nil && members[a], Successor: slices.Contains(next, a),
		})
	}
	// Each VM begins elsewhere in the list, or one VM would hear all others at once
	// and then none for a while.
	return cell.RecipientsOf(peers, i+p.offset, placer == nil)
}

// turnRange bounds offsets; more than the turns of a list of any length in use.
const turnRange = 1 << 16

func turnOffset(address string) uint64 { return xxhash.Sum64String(address) % turnRange }

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

func (p *peers) receive(ctx context.Context) error {
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
		p.take(n, from)
	}
}

// take takes in one note.
func (p *peers) take(n *schema.PeerNote, from *net.UDPAddr) {
	p.d.placing.handleDecisions(n, from)
	p.d.remoteJobs.handleNote(n, from)
	if n.Address == "" {
		// Messages on single requests say nothing else.
		return
	}
	p.mu.Lock()
	pe := p.learn(allowance.VM{Address: n.Address, Domain: n.FailureDomain})
	started := false
	if pe != nil {
		started = pe.incarnation != n.Incarnation
		pe.incarnation, pe.name = n.Incarnation, n.Vm
		pe.recordContact(p.d.now())
	}
	if len(n.Vms) > 0 {
		p.learnList(n.Vms)
	}
	p.share()
	if pe != nil {
		pe.followsConfig, pe.storeLost = n.FollowsConfig, n.StoreLost
		if placer := p.addrs[n.Placer]; placer != nil {
			placer.named = p.d.now()
		}
		if n.Number > 0 {
			pe.places, pe.share, pe.asks, pe.members = n.Places, n.CpuShare, n.Placer != "", int(n.Members)
			pe.registry = Position{Era: n.RegistryEra, Offset: n.Registry}
		}
	}
	p.mu.Unlock()
	if n.Registry > 0 {
		p.d.noteEra(n.RegistryEra)
	}
	p.d.suspects.told(n.Suspects)
	p.d.notices.told(n.Notices)
	p.d.rollouts.told(n.Rollouts)
	p.d.rollouts.takeReports(n)
	if started {
		p.tellStarted(pe)
	}
	p.handleRelay(n)
	if n.Loads {
		p.d.sched.peerUses(n)
	}
	for _, g := range n.Grants {
		back := p.d.shares.receive(allowance.Amount{Organisation: g.Organisation, Units: g.Amount})
		// What was returned once is not sent again, or it would go to and fro.
		if back > 0 && !n.Returned {
			p.giveBack(g.Organisation, back, from)
		}
	}
	p.answer(n.Wants, from)
}

// uses returns this VM's load as others need it.
func (s *sharedScheduler) uses(paces bool) []*schema.EndpointUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*schema.EndpointUse
	for _, u := range s.sched.Uses(s.now(), paces) {
		list = append(list, &schema.EndpointUse{
			Endpoint: u.Name, Running: uint32(u.Running), Waiting: uint32(u.Waiting),
			PromptTokens: uint32(u.PromptTokens), EventGapUs: uint32(u.Gap.Microseconds()), FreshGapUs: uint32(u.Fresh.Microseconds()), Doubted: u.Doubted, Gone: u.Gone, Ejected: u.Ejected,
		})
	}
	return list
}

func (s *sharedScheduler) peerUses(n *schema.PeerNote) {
	uses := make([]dispatch.NamedUse, 0, len(n.Uses))
	for _, u := range n.Uses {
		uses = append(uses, dispatch.NamedUse{Name: u.Endpoint, Use: dispatch.Use{
			Running: int(u.Running), Waiting: int(u.Waiting), PromptTokens: int(u.PromptTokens),
			Gap: micros(uint64(u.EventGapUs)), Fresh: micros(uint64(u.FreshGapUs)), Doubted: u.Doubted, Gone: u.Gone, Ejected: u.Ejected,
		}})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.PeerUses(s.now(), n.Vm, n.FailureDomain, uses, n.Placer == "")
}
