package entry

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/cell"
	"github.com/chivefield/chivefield/core/resume"
	"github.com/chivefield/chivefield/schema"
	"github.com/chivefield/chivefield/timeout"
)

const (
	// noteInterval is how often a VM sends its load to others.
	noteInterval = 100 * time.Millisecond
	// fullNoteEvery is the period, in notes, of those that list the known VMs and all event gaps.
	fullNoteEvery = 10
	// maxListedVMs limits the VMs listed in notes. VMs of larger deployments learn of each other
	// from the store and by heartbeat.
	maxListedVMs = 64
	// maxDatagram is the size of the largest note in bytes; a larger one is counted and not sent.
	// It has room for the handles of all requests that a VM can have in flight.
	maxDatagram = 32 << 10
)

// peers exchanges gossip datagrams, called notes, with the other VMs. A lost datagram costs some
// freshness or an amount of allowance, but never grants an amount twice, and there is no connection
// that could fall silent.
type peers struct {
	d           *Daemon
	conn        net.PacketConn
	incarnation uint64
	// transfers counts the transfers of allowance that this process has sent.
	transfers atomic.Uint64

	// relays carries registry changes relayed by other VMs.
	relays    chan relay
	transport http.RoundTripper
	// offset is this VM's starting point in the rotation of recipients.
	offset uint64
	// surplus decides, in the goroutine that sends notes, when this VM steps down as a placer;
	// steppedDown reports that it has.
	surplus     cell.SurplusDetector
	steppedDown atomic.Bool
	// eligible reports whether this process has received enough state to place requests for others.
	eligible atomic.Bool
	// followsConfig reports whether this VM reads the configuration from the store.
	followsConfig atomic.Bool

	mu sync.Mutex
	// byAddress holds all VMs ever learned of except this one; near and far are their addresses in
	// this VM's failure domain and in others, sorted.
	byAddress map[string]*peer
	near, far []string
	// placing holds the peers that do not ask a placer or were named as one, willing those that offer
	// to place requests for others: a few in a large deployment, of which each round looks at all.
	placing, willing map[*peer]bool
	// counts is the number of known VMs in this VM's region and failure domain, itself included.
	counts cell.FleetSize
	// domainSeen is when the last note arrived from each other failure domain, 0 for never.
	domainSeen map[string]time.Duration
	// regionList holds the VMs of this VM's region, itself included. It is made anew once counts differs.
	regionList []resume.VM
	// listIsComplete is set once the whole list of VMs was read, from the store or from a VM that
	// had read it. Before that, shared amounts would be divided by too few VMs.
	listIsComplete bool
	// listedBefore means that this VM's record was in the list before this process wrote it,
	// counted that the other VMs count this one when dividing shared amounts.
	listedBefore, counted bool
	// sharedAmong is the number of VMs last passed to sharedAllowances.
	sharedAmong int
}

// newcomerTimeout is the uptime after which a VM takes its share of the allowances even if no
// note was ever received from some listed VMs: they may be gone for good.
const newcomerTimeout = 5 * time.Second

type peer struct {
	address string
	addr    *net.UDPAddr
	// name is empty while unknown.
	name   string
	domain string
	// learnedAt is when this VM learned of the peer.
	learnedAt time.Duration
	// incarnation identifies the peer's process; 0 if no note of it was received.
	incarnation uint64
	// stamp is the latest that the peer stated.
	stamp allowance.Stamp
	// lastSeen is when the last note arrived, 0 for never.
	lastSeen time.Duration
	// usualInterval is the usual time between two notes of the peer.
	usualInterval time.Duration
	// State from the peer's own notes: it reads the configuration from the store, failed to read
	// the store, reaches no endpoint, places requests for others, asks a placer; below, its share of
	// a core and the number of VMs that ask it.
	followsConfig, storeLost, endpointsLost, placesForOthers, asksPlacer bool

	cpuShare float64
	members  int
	// namedAt is when a note last named the peer as its sender's placer, 0 for never.
	namedAt          time.Duration
	registryPosition Position
	// relayedAt is when the last relay of the registry arrived from the peer, or when it regained the
	// store after that; 0 for never.
	relayedAt time.Duration
	// avoidUntil is the time until which the peer is not asked for placements.
	avoidUntil time.Duration
	// avoidCarryUntil is the time until which the peer is not asked to carry connections.
	avoidCarryUntil time.Duration
	// wentSilent means that the peer was this VM's placer and stopped sending.
	wentSilent bool
}

// placerNameTTL is how long a peer counts as a placer after a note named it. Notes from other
// failure domains come in rotation, so in the largest deployments a remote placer is named only
// every few seconds.
const placerNameTTL = 12 * time.Second

// placesRequests reports whether the VM places requests, its own or others', and thus needs loads.
// A VM that has sent no note so far counts as one only if notes name it as a placer: if loads were
// sent to all remote VMs in rotation, the placers among them would get them too seldom and send
// requests to full engines.
func (pe *peer) placesRequests(now time.Duration) bool {
	return pe.isAlive(now) && !pe.asksPlacer || pe.namedAt > 0 && now-pe.namedAt < placerNameTTL
}

// knownVMs returns the number of VMs ever learned of, this one included.
func (p *peers) knownVMs() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byAddress) + 1
}

// domainAddresses returns the addresses of the other VMs of this VM's failure domain.
func (p *peers) domainAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.near)
}

// relay is a batch of registry changes relayed by the VM at address from.
type relay struct {
	*schema.EndpointRelay
	from string
}

const relayBuffer = 32

func newPeers(d *Daemon) *peers {
	return &peers{
		d: d, incarnation: uint64(time.Now().UnixNano()), byAddress: make(map[string]*peer), domainSeen: make(map[string]time.Duration), placing: make(map[*peer]bool), willing: make(map[*peer]bool), counts: cell.FleetSize{Region: 1, Domain: 1}, offset: rotationOffset(d.settings.Listen.Peers),
		relays: make(chan relay, relayBuffer), transport: &http.Transport{DialContext: d.dialPeer, DisableKeepAlives: true, MaxResponseHeaderBytes: maxPeerHeadBytes},
	}
}

// peerDialTimeout limits the time to connect to another VM, a hundred round trips: one without power
// does not answer, and others can be asked.
const peerDialTimeout = 300 * time.Millisecond

// dialPeer opens a connection to another VM.
func (d *Daemon) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := timeout.Context(ctx, peerDialTimeout)
	defer cancel()
	return d.opts.Dial(ctx, network, address)
}

func (p *peers) listen() (err error) {
	p.conn, err = p.d.opts.ListenPacket(p.d.settings.Listen.Peers)
	return err
}

// listEntry encodes a VM for lists of VMs: its address and failure domain.
func listEntry(v allowance.VM) string { return v.Address + " " + v.Domain }

// vmRecord is a VM's record in the store: its list entry and the start of its process.
type vmRecord struct {
	allowance.VM
	// started is read from that VM's clock; zero if the record has none.
	started time.Time
	// era is the store's era when the record was written.
	era uint64
}

// String encodes the record: the list entry, the start in Unix milliseconds and, if it is not 0,
// the era.
func (r vmRecord) String() string {
	var started int64
	if !r.started.IsZero() {
		started = r.started.UnixMilli()
	}
	s := listEntry(r.VM) + " " + strconv.FormatInt(started, 10)
	if r.era > 0 {
		s += " " + strconv.FormatUint(r.era, 10)
	}
	return s
}

// Indexes of the fields of a VM record.
const (
	fieldAddress = iota
	fieldDomain
	fieldStarted
	fieldEra
)

// parseVMRecord parses a list entry or a record of the store.
func parseVMRecord(s string) (vmRecord, error) {
	fields := strings.Fields(s)
	if len(fields) <= fieldDomain {
		return vmRecord{}, &VMRecordError{Record: s}
	}
	r := vmRecord{VM: allowance.VM{Address: fields[fieldAddress], Domain: fields[fieldDomain]}}
	if len(fields) > fieldStarted {
		ms, err := strconv.ParseInt(fields[fieldStarted], 10, 64)
		if err != nil {
			return vmRecord{}, &VMRecordError{Record: s}
		}
		if ms != 0 {
			r.started = time.UnixMilli(ms)
		}
	}
	if len(fields) > fieldEra {
		era, err := strconv.ParseUint(fields[fieldEra], 10, 64)
		if err != nil {
			return vmRecord{}, &VMRecordError{Record: s}
		}
		r.era = era
	}
	return r, nil
}

// mergeList adds the VMs of a complete list.
func (p *peers) mergeList(entries []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mergeListLocked(entries)
}

// mergeStoreList adds the VMs of the store's list, keyed by name; complete means that the list
// contains all VMs.
func (p *peers) mergeStoreList(records map[string]string, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addEntries(slices.Collect(maps.Values(records)))
	p.listIsComplete = p.listIsComplete || complete
	p.updateShares()
	for name, value := range records {
		if r, err := parseVMRecord(value); err == nil && p.byAddress[r.Address] != nil {
			p.byAddress[r.Address].name = name
		}
	}
}

func (p *peers) mergeListLocked(entries []string) {
	p.addEntries(entries)
	p.listIsComplete = true
	p.updateShares()
}

// addEntries adds the VMs of a list. A long list gets one log line: at the start of a deployment each
// VM learns of each other.
func (p *peers) addEntries(entries []string) {
	var added []*peer
	for _, e := range entries {
		r, err := parseVMRecord(e)
		if err != nil {
			p.d.log.Warn().Err(err).Msg("peer_entry_refused")
			continue
		}
		if p.byAddress[r.Address] != nil {
			continue
		}
		if pe := p.newPeer(r.VM); pe != nil {
			added = append(added, pe)
		}
	}
	if len(added) > maxLoggedSingly {
		p.d.log.Info().Int("added", len(added)).Int("vms", len(p.byAddress)+1).Msg("peers_known")
		return
	}
	for _, pe := range added {
		p.logPeer(pe)
	}
}

func (p *peers) logPeer(pe *peer) {
	p.d.log.Info().Str("address", pe.address).Str("peer_domain", pe.domain).Int("vms", len(p.byAddress)+1).Msg("peer_known")
}

// updateShares passes the list of VMs to sharedAllowances if a VM was added since. Notes arrive
// hundreds of times a second, new VMs seldom.
func (p *peers) updateShares() {
	if !p.listIsComplete || !p.countedByOthers() || p.sharedAmong == len(p.byAddress)+1 {
		return
	}
	p.sharedAmong = len(p.byAddress) + 1
	vms := []allowance.VM{{Address: p.d.settings.Listen.Peers, Domain: p.d.settings.Vm.FailureDomain}}
	for a, pe := range p.byAddress {
		vms = append(vms, allowance.VM{Address: a, Domain: pe.domain})
	}
	p.d.shares.setVMs(vms)
}

// countedByOthers reports whether the other VMs count this one when dividing shared amounts. A VM
// sends notes only to VMs that it counts, so a peer from which a note was received does. Before
// that this VM would hold a share of what the others have divided without it.
func (p *peers) countedByOthers() bool {
	if !p.counted {
		p.counted = p.listedBefore || p.d.now() >= newcomerTimeout || p.allSeen()
	}
	return p.counted
}

func (p *peers) allSeen() bool {
	for _, pe := range p.byAddress {
		if pe.lastSeen == 0 {
			return false
		}
	}
	return true
}

// setListedBefore records that this VM was in the list before this process wrote its record.
func (p *peers) setListedBefore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listedBefore = true
}

// addVM returns a VM, which is added if it is new. It returns nil for this VM itself and for an address
// that cannot be parsed.
func (p *peers) addVM(v allowance.VM) *peer {
	if known := p.byAddress[v.Address]; known != nil {
		return known
	}
	pe := p.newPeer(v)
	if pe != nil {
		p.logPeer(pe)
	}
	return pe
}

// newPeer adds a VM that is not known yet.
func (p *peers) newPeer(v allowance.VM) *peer {
	if v.Address == p.d.settings.Listen.Peers {
		return nil
	}
	// Numeric addresses only: resolving a name could block the receiving of notes for seconds.
	ap, err := netip.ParseAddrPort(v.Address)
	if err != nil {
		p.d.log.Warn().Str("address", v.Address).Err(err).Msg("peer_address_refused")
		return nil
	}
	pe := &peer{address: v.Address, addr: net.UDPAddrFromAddrPort(ap), domain: v.Domain, learnedAt: p.d.now()}
	p.byAddress[v.Address] = pe
	if v.Domain == p.d.settings.Vm.FailureDomain {
		p.near = insertSorted(p.near, v.Address)
	} else {
		p.far = insertSorted(p.far, v.Address)
		if _, known := p.domainSeen[v.Domain]; !known {
			p.domainSeen[v.Domain] = 0
		}
	}
	p.countVM(v.Domain)
	return pe
}

func insertSorted(list []string, address string) []string {
	i, _ := slices.BinarySearch(list, address)
	return slices.Insert(list, i, address)
}

// updateIndex updates the sets of peers with a role after a note of the peer.
func (p *peers) updateIndex(pe *peer) {
	if pe.placesForOthers {
		p.willing[pe] = true
	} else {
		delete(p.willing, pe)
	}
	if !pe.asksPlacer {
		p.placing[pe] = true
	}
}

// isKnownHost reports whether an address is on the host of a known VM.
func (p *peers) isKnownHost(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pe := range p.byAddress {
		if pe.addr.IP.Equal(ip) {
			return true
		}
	}
	return false
}
