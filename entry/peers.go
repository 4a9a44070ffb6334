package entry

import (
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
	"github.com/chivefield/chivefield/schema"
)

const (
	// noteInterval is how often a VM tells others its load.
	noteInterval = 100 * time.Millisecond
	// fullNoteEvery is how many notes pass between two that list the known VMs and all
	// paces.
	fullNoteEvery = 10
	// maxListedVMs bounds the VMs that notes list. Larger
	// deployments know each other from the store and by heartbeat.
	maxListedVMs = 64
	// maxDatagram is the largest note; a larger one is not sent, and counted. It names
	// all requests that a VM can have under way.
	maxDatagram = 32 << 10
)

// peers exchanges notes with the other VMs by datagrams. A lost datagram costs a
// moment's knowledge or an amount of allowance, never a double one; and no
// connection can fall silent.
type peers struct {
	d           *Daemon
	conn        net.PacketConn
	incarnation uint64

	// relays are what other VMs read of the registry, hints are newer versions of
	// the configuration that they have.
	relays      chan relay
	configHints chan configHint
	client      *http.Client
	// offset is where this VM's turns begin.
	offset uint64
	// surplus decides, in the goroutine that tells notes, when this VM steps down as a
	// placer; steppedDown says that it has.
	surplus     cell.Surplus
	steppedDown atomic.Bool
	// eligible says that this process has heard enough to place for others.
	eligible atomic.Bool
	// followsConfig says whether this VM followsConfig the configuration in the store.
	followsConfig atomic.Bool

	mu sync.Mutex
	// byAddress are all VMs ever heard of, by address, without this one.
	byAddress map[string]*peer
	// counts counts those of the own region and failure domain, and this VM.
	counts cell.Fleet
	// listIsComplete says that the whole list of VMs was read, from the store or from a VM
	// that had read it. Before that, shared amounts would be divided by too few.
	listIsComplete bool
	// listedBefore says that this VM's record was in the list before this process wrote it, counted
	// that the others count this VM too.
	listedBefore, counted bool
	// sharedAmong is the number of VMs that share was last told of.
	sharedAmong int
}

// newcomerTimeout is after what uptime a VM takes part in what all share though some that are listed
// were not heard: they may be gone for good.
const newcomerTimeout = 5 * time.Second

type peer struct {
	addr *net.UDPAddr
	// name is empty if it was never told.
	name   string
	domain string
	// learnedAt is when this VM learnedAt of it.
	learnedAt time.Duration
	// incarnation is that of its process, 0 if it was never heard.
	incarnation uint64
	// lastHeard is when a note came last, 0 for never.
	lastHeard time.Duration
	// usualInterval is the usual time between two of its notes.
	usualInterval time.Duration
	// What it said of itself: whether it follows the configuration, could not read the
	// store, placesForOthers requests for others or asksPlacer another, its share of a core and how
	// many ask it.
	followsConfig, storeLost, placesForOthers, asksPlacer bool

	cpuShare float64
	members  int
	// namedAt is when a VM last said that this one places its requests, 0 for never.
	namedAt          time.Duration
	registryPosition Position
	// avoidUntil is until when it is not asked for places.
	avoidUntil time.Duration
	// wentSilent says that it was this VM's placer and fell wentSilent.
	wentSilent bool
}

// placerNameTTL is how long the word that a VM places requests for others holds. Far VMs are
// heard in turns, so each placer of another failure domain is named every few seconds in the
// largest deployments.
const placerNameTTL = 12 * time.Second

// placesRequests says whether the VM places requests, its own or others', so that it needs to know
// loads. One that was never heard does only if others say so: if all far VMs were told loads
// in turns, those that place would hear them too seldom, and requests would meet full engines.
func (pe *peer) placesRequests(now time.Duration) bool {
	return pe.heardLately(now) && !pe.asksPlacer || pe.namedAt > 0 && now-pe.namedAt < placerNameTTL
}

// domainAddresses are the addresses of the other VMs of the own failure domainAddresses.
func (p *peers) domainAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for a, pe := range p.byAddress {
		if pe.domain == p.d.set.Vm.FailureDomain {
			list = append(list, a)
		}
	}
	return list
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
		d: d, incarnation: uint64(time.Now().UnixNano()), byAddress: make(map[string]*peer), counts: cell.Fleet{Region: 1, Domain: 1}, offset: turnOffset(d.set.Listen.Peers),
		relays: make(chan relay, relayBuffer), configHints: make(chan configHint, hintBuffer),
		client: &http.Client{Transport: &http.Transport{DialContext: d.opts.Dial, DisableKeepAlives: true}},
	}
}

func (p *peers) listen() (err error) {
	p.conn, err = p.d.opts.ListenPacket(p.d.set.Listen.Peers)
	return err
}

// listEntry is how a VM stands in lists of VMs: its address and failure domain.
func listEntry(v allowance.VM) string { return v.Address + " " + v.Domain }

// vmRecord is a VM's own record in the store: its entry, and when its process started.
type vmRecord struct {
	allowance.VM
	// started is by the VM's clock; zero if the record does not say.
	started time.Time
	// era is the store's when the record was written.
	era uint64
}

// String is the record as it is written: the entry, Unix milliseconds and the era, if there was
// another before.
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

// Fields of a record of a VM, in order.
const (
	fieldAddress = iota
	fieldDomain
	fieldStarted
	fieldEra
)

// parseVMRecord reads an entry of a list of VMs or a record of the store.
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

// mergeList takes in the whole list of VMs.
func (p *peers) mergeList(entries []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mergeListLocked(entries)
}

// mergeStoreList takes in the list of VMs by name as the store has it; complete says that none is
// missing there.
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

func (p *peers) addEntries(entries []string) {
	for _, e := range entries {
		r, err := parseVMRecord(e)
		if err != nil {
			p.d.log.Warn().Err(err).Msg("peer_entry_refused")
			continue
		}
		p.addVM(r.VM)
	}
}

// updateShares tells the parts that divide amounts among all VMs who they are, if one came.
// Notes come hundreds of times a second, new VMs seldom.
func (p *peers) updateShares() {
	if !p.listIsComplete || !p.countedByOthers() || p.sharedAmong == len(p.byAddress)+1 {
		return
	}
	p.sharedAmong = len(p.byAddress) + 1
	vms := []allowance.VM{{Address: p.d.set.Listen.Peers, Domain: p.d.set.Vm.FailureDomain}}
	for a, pe := range p.byAddress {
		vms = append(vms, allowance.VM{Address: a, Domain: pe.domain})
	}
	p.d.shares.setVMs(vms)
}

// countedByOthers says whether the others count this VM among those that share. A VM sends notes only to those
// that it counts, so one that was heard does. Until then this VM would hold a part of what
// the others have divided without it.
func (p *peers) countedByOthers() bool {
	if !p.counted {
		p.counted = p.listedBefore || p.d.now() >= newcomerTimeout || p.allHeard()
	}
	return p.counted
}

func (p *peers) allHeard() bool {
	for _, pe := range p.byAddress {
		if pe.lastHeard == 0 {
			return false
		}
	}
	return true
}

// setListedBefore says that this VM's record was in the list before this process wrote it.
func (p *peers) setListedBefore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listedBefore = true
}

// addVM takes in one VM; nil if it is this one or cannot be understood.
func (p *peers) addVM(v allowance.VM) *peer {
	if v.Address == p.d.set.Listen.Peers {
		return nil
	}
	if known := p.byAddress[v.Address]; known != nil {
		return known
	}
	// Only numbers: a name would be looked up while notes wait, for seconds.
	ap, err := netip.ParseAddrPort(v.Address)
	if err != nil {
		p.d.log.Warn().Str("address", v.Address).Err(err).Msg("peer_address_refused")
		return nil
	}
	pe := &peer{addr: net.UDPAddrFromAddrPort(ap), domain: v.Domain, learnedAt: p.d.now()}
	p.byAddress[v.Address] = pe
	p.countKnown(v.Domain)
	p.d.log.Info().Str("address", v.Address).Str("peer_domain", v.Domain).Int("vms", len(p.byAddress)+1).Msg("peer_known")
	return pe
}
