package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/cell"
	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/schema"
)

const (
	// noteEvery is how often a VM tells others its load.
	noteEvery = 100 * time.Millisecond
	// vmsEvery is how many notes pass between two that list the known VMs and all
	// paces.
	vmsEvery = 10
	// maxListed bounds the VMs that notes list, 3 KB of them (BenchmarkNote). Larger
	// deployments know each other from the store and by signs of life.
	maxListed = 64
	// maxDatagram is the largest note; a larger one is not sent, and counted.
	maxDatagram = 8 << 10
)

// peers exchanges notes with the other VMs by datagrams. A lost datagram costs a
// moment's knowledge or an amount of allowance, never a double one; and no
// connection can fall silent.
type peers struct {
	d    *Daemon
	conn *net.UDPConn
	inc  uint64

	// relays are what other VMs read of the registry, hints are newer versions of
	// the configuration that they have.
	relays chan relay
	hints  chan configHint
	client *http.Client
	// offset is where this VM's turns begin.
	offset uint64
	// follows says whether this VM follows the configuration in the store.
	follows atomic.Bool

	mu sync.Mutex
	// addrs are all VMs ever heard of, by address, without this one.
	addrs map[string]*peer
	// complete says that the whole list of VMs was read, from the store or from a VM
	// that had read it. Before that, shared amounts would be divided by too few.
	complete bool
	// shared is the number of VMs that share was last told of.
	shared int
}

type peer struct {
	addr   *net.UDPAddr
	domain string
	// heard is when a note came last, 0 for never.
	heard time.Duration
	// every is the usual time between two of its notes.
	every time.Duration
	// What it said of itself: whether it follows the configuration, could not read the
	// store, places requests for others or asks another, its share of a core and how
	// many ask it.
	followsConfig, storeLost, places, asks bool

	share    float64
	members  int
	registry uint64
	// shunUntil is until when it is not asked for places.
	shunUntil time.Duration
	// silent says that it was this VM's placer and fell silent.
	silent bool
}

// relay is what a VM passed on of the registry.
type relay struct {
	*schema.EndpointRelay
	from string
}

// configHint says which VM serves by a newer configuration.
type configHint struct {
	address string
	version uint64
}

const (
	relayBuffer = 32
	hintBuffer  = 8
)

func newPeers(d *Daemon) *peers {
	return &peers{
		d: d, inc: uint64(time.Now().UnixNano()), addrs: make(map[string]*peer), offset: turnOffset(d.set.Listen.Peers),
		relays: make(chan relay, relayBuffer), hints: make(chan configHint, hintBuffer),
		client: &http.Client{Transport: &http.Transport{DialContext: d.opts.Dial, DisableKeepAlives: true}},
	}
}

func (p *peers) listen() error {
	addr, err := net.ResolveUDPAddr("udp4", p.d.set.Listen.Peers)
	if err != nil {
		return err
	}
	p.conn, err = net.ListenUDP("udp4", addr)
	return err
}

// entryOf is how a VM stands in lists of VMs: its address and failure domain.
func entryOf(v allowance.VM) string { return v.Address + " " + v.Domain }

// learnAll takes in the whole list of VMs.
func (p *peers) learnAll(entries []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnList(entries)
}

func (p *peers) learnList(entries []string) {
	for _, e := range entries {
		address, domain, ok := strings.Cut(e, " ")
		if !ok {
			p.d.log.Warn().Str("entry", e).Msg("peer_entry_refused")
			continue
		}
		p.learn(allowance.VM{Address: address, Domain: domain})
	}
	p.complete = true
	p.share()
}

// share tells the parts that divide amounts among all VMs who they are, if one came.
// Notes come hundreds of times a second, new VMs seldom.
func (p *peers) share() {
	if !p.complete || p.shared == len(p.addrs)+1 {
		return
	}
	p.shared = len(p.addrs) + 1
	vms := []allowance.VM{{Address: p.d.set.Listen.Peers, Domain: p.d.set.Vm.FailureDomain}}
	for a, pe := range p.addrs {
		vms = append(vms, allowance.VM{Address: a, Domain: pe.domain})
	}
	p.d.shares.setVMs(vms)
}

// learn takes in one VM; nil if it is this one or cannot be understood.
func (p *peers) learn(v allowance.VM) *peer {
	if v.Address == p.d.set.Listen.Peers {
		return nil
	}
	if known := p.addrs[v.Address]; known != nil {
		return known
	}
	addr, err := net.ResolveUDPAddr("udp4", v.Address)
	if err != nil {
		p.d.log.Warn().Str("address", v.Address).Err(err).Msg("peer_address_refused")
		return nil
	}
	pe := &peer{addr: addr, domain: v.Domain}
	p.addrs[v.Address] = pe
	p.d.log.Info().Str("address", v.Address).Str("peer_domain", v.Domain).Int("vms", len(p.addrs)+1).Msg("peer_known")
	return pe
}

// count is the number of VMs known, and whether the list of them is whole.
func (p *peers) count() (n int, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.addrs) + 1, p.complete
}

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
	return append(names, entryOf(allowance.VM{Address: p.d.set.Listen.Peers, Domain: p.d.set.Vm.FailureDomain}))
}

func (p *peers) note() *schema.PeerNote {
	n := &schema.PeerNote{Vm: p.d.set.Vm.Name, Incarnation: p.inc, Address: p.d.set.Listen.Peers, FailureDomain: p.d.set.Vm.FailureDomain}
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
		case <-t.C:
		}
		p.d.guests.sweep()
		p.d.placing.choose()
		p.tellOnce(i)
	}
}

// tellOnce sends the i-th note: with loads to those who place requests, with what a
// cell needs to the rest of it, and a sign of life to some others.
func (p *peers) tellOnce(i uint64) {
	to := p.recipients(i)
	sign := p.note()
	sign.Number = i + 1
	sign.Places, sign.CpuShare = p.d.guests.willing(), p.d.set.Limits.CpuShare
	sign.Registry = p.d.registry.position()
	sign.Members = uint32(len(p.d.guests.members()))
	if placer := p.d.placing.followed(); placer != nil {
		sign.Placer = placer.addr.String()
	}
	p.writeAll(p.encode(sign), to.Signs)
	state := proto.Clone(sign).(*schema.PeerNote)
	p.d.placing.describe(state)
	whole := i%vmsEvery == 0
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
	members := p.d.guests.members()
	placer := p.d.placing.followed()
	var next []string
	if placer == nil && len(members) > 0 {
		next = cell.Successors(p.willing(p.d.now()))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	peers := make([]cell.Peer, 0, len(p.addrs))
	for a, pe := range p.addrs {
		peers = append(peers, cell.Peer{
			Address: a, Near: pe.domain == p.d.set.Vm.FailureDomain, Places: !pe.asks,
			Cell: pe == placer || placer == nil && slices.Contains(members, a), Successor: slices.Contains(next, a),
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
	if _, err := p.conn.WriteToUDP(b, to); err != nil {
		p.d.count("note_errors")
	}
}

// firstAsked is how many keepers are asked at once; more only if they lack too.
const firstAsked = 2

// ask asks keepers of an organisation's allowance for an amount: first some of those
// that are near and alive, then all others.
func (p *peers) ask(want allowance.Request, more bool) {
	asked := p.keepers(want.Organisation)
	if more {
		asked = asked[min(firstAsked, len(asked)):]
	} else {
		asked = asked[:min(firstAsked, len(asked))]
	}
	n := p.note()
	n.Wants = []*schema.AllowanceGrant{{Organisation: want.Organisation, Amount: want.Units, Reserve: want.Reserve}}
	b := p.encode(n)
	for _, pe := range asked {
		p.write(b, pe.addr)
	}
}

// keepers returns those that keep an organisation's allowance, but for this VM: the
// living first, and of those the ones of the own failure domain.
func (p *peers) keepers(organisation string) []*peer {
	list := p.d.shares.keepersOf(organisation)
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []*peer
	for _, v := range list {
		if pe := p.addrs[v.Address]; pe != nil {
			found = append(found, pe)
		}
	}
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b *peer) int { return p.distance(now, a) - p.distance(now, b) })
	return found
}

// distance orders VMs by whom to ask first.
func (p *peers) distance(now time.Duration, pe *peer) int {
	switch {
	case !pe.heardLately(now):
		return 2
	case pe.domain != p.d.set.Vm.FailureDomain:
		return 1
	}
	return 0
}

// refund gives back what a request that was not run had spent; what this VM may not
// keep goes to a keeper.
func (p *peers) refund(a allowance.Amount) {
	back := p.d.shares.refund(a)
	if k := p.keepers(a.Organisation); back > 0 && len(k) > 0 {
		p.giveBack(a.Organisation, back, k[0].addr)
	}
}

// giveBack returns an amount that was not used.
func (p *peers) giveBack(organisation string, units float64, to *net.UDPAddr) {
	n := p.note()
	n.Returned = true
	n.Grants = []*schema.AllowanceGrant{{Organisation: organisation, Amount: units}}
	p.send(n, to)
}

func (p *peers) receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		size, from, err := p.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			p.d.count("note_errors")
			continue
		}
		n := &schema.PeerNote{}
		if err := proto.Unmarshal(buf[:size], n); err != nil {
			p.d.count("notes_unreadable")
			continue
		}
		p.take(n, from)
	}
}

// take takes in one note.
func (p *peers) take(n *schema.PeerNote, from *net.UDPAddr) {
	p.d.placing.take(n, from)
	p.d.guests.take(n, from)
	if n.Address == "" {
		// Messages on single requests say nothing else.
		return
	}
	p.mu.Lock()
	pe := p.learn(allowance.VM{Address: n.Address, Domain: n.FailureDomain})
	if len(n.Vms) > 0 {
		p.learnList(n.Vms)
	}
	p.share()
	if pe != nil {
		pe.hear(p.d.now())
		pe.followsConfig, pe.storeLost = n.FollowsConfig, n.StoreLost
		if n.Number > 0 {
			pe.places, pe.share, pe.asks, pe.members = n.Places, n.CpuShare, n.Placer != "", int(n.Members)
			pe.registry = n.Registry
		}
	}
	p.mu.Unlock()
	p.takeRelayed(n)
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

func request(w *schema.AllowanceGrant) allowance.Request {
	return allowance.Request{Amount: allowance.Amount{Organisation: w.Organisation, Units: w.Amount}, Reserve: w.Reserve}
}

// answer gives what can be spared.
func (p *peers) answer(wants []*schema.AllowanceGrant, to *net.UDPAddr) {
	var grants []*schema.AllowanceGrant
	for _, w := range wants {
		if units := p.d.shares.give(request(w)); units > 0 {
			grants = append(grants, &schema.AllowanceGrant{Organisation: w.Organisation, Amount: units})
		}
	}
	if len(grants) > 0 {
		n := p.note()
		n.Grants = grants
		p.send(n, to)
	}
}

// uses returns this VM's load as others need it.
func (s *scheduling) uses(paces bool) []*schema.EndpointUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*schema.EndpointUse
	for _, u := range s.sched.Uses(s.now(), paces) {
		list = append(list, &schema.EndpointUse{
			Endpoint: u.Name, Running: uint32(u.Running), Waiting: uint32(u.Waiting),
			PromptTokens: uint32(u.PromptTokens), EventGapUs: uint32(u.Gap.Microseconds()), Doubted: u.Doubted, Gone: u.Gone,
		})
	}
	return list
}

func (s *scheduling) peerUses(n *schema.PeerNote) {
	uses := make([]dispatch.NamedUse, 0, len(n.Uses))
	for _, u := range n.Uses {
		uses = append(uses, dispatch.NamedUse{Name: u.Endpoint, Use: dispatch.Use{
			Running: int(u.Running), Waiting: int(u.Waiting), PromptTokens: int(u.PromptTokens),
			Gap: time.Duration(u.EventGapUs) * time.Microsecond, Doubted: u.Doubted, Gone: u.Gone,
		}})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.PeerUses(s.now(), n.Vm, n.FailureDomain, uses, n.Placer == "")
}
