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
	// noteEvery is how often a VM tells others its load.
	noteEvery = 100 * time.Millisecond
	// vmsEvery is how many notes pass between two that list the known VMs and all
	// paces.
	vmsEvery = 10
	// maxListed bounds the VMs that notes list. Larger
	// deployments know each other from the store and by heartbeat.
	maxListed = 64
	// maxDatagram is the largest note; a larger one is not sent, and counted. It names
	// all requests that a VM can have under way.
	maxDatagram = 32 << 10
)

// peers exchanges notes with the other VMs by datagrams. A lost datagram costs a
// moment's knowledge or an amount of allowance, never a double one; and no
// connection can fall silent.
type peers struct {
	d    *Daemon
	conn net.PacketConn
	inc  uint64

	// relays are what other VMs read of the registry, hints are newer versions of
	// the configuration that they have.
	relays chan relay
	hints  chan configHint
	client *http.Client
	// offset is where this VM's turns begin.
	offset uint64
	// surplus decides, in the goroutine that tells notes, when this VM steps down as a
	// placer; steppedDown says that it has.
	surplus     cell.Surplus
	steppedDown atomic.Bool
	// eligible says that this process has heard enough to place for others.
	eligible atomic.Bool
	// follows says whether this VM follows the configuration in the store.
	follows atomic.Bool

	mu sync.Mutex
	// addrs are all VMs ever heard of, by address, without this one.
	addrs map[string]*peer
	// known counts those of the own region and failure domain, and this VM.
	known cell.Fleet
	// complete says that the whole list of VMs was read, from the store or from a VM
	// that had read it. Before that, shared amounts would be divided by too few.
	complete bool
	// knownBefore says that this VM's record was in the list before this process wrote it, settled
	// that the others count this VM too.
	knownBefore, settled bool
	// shared is the number of VMs that share was last told of.
	shared int
}

// newcomerSettles is after what uptime a VM takes part in what all share though some that are listed
// were not heard: they may be gone for good.
const newcomerSettles = 5 * time.Second

type peer struct {
	addr *net.UDPAddr
	// name is empty if it was never told.
	name   string
	domain string
	// learned is when this VM learned of it.
	learned time.Duration
	// incarnation is that of its process, 0 if it was never heard.
	incarnation uint64
	// heard is when a note came last, 0 for never.
	heard time.Duration
	// every is the usual time between two of its notes.
	every time.Duration
	// What it said of itself: whether it follows the configuration, could not read the
	// store, places requests for others or asks another, its share of a core and how
	// many ask it.
	followsConfig, storeLost, places, asks bool

	share   float64
	members int
	// named is when a VM last said that this one places its requests, 0 for never.
	named    time.Duration
	registry Position
	// avoidUntil is until when it is not asked for places.
	avoidUntil time.Duration
	// silent says that it was this VM's placer and fell silent.
	silent bool
}

// namedFor is how long the word that a VM places requests for others holds. Far VMs are
// heard in turns, so each placer of another failure domain is named every few seconds in the
// largest deployments.
const namedFor = 12 * time.Second

// placing says whether the VM places requests, its own or others', so that it needs to know
// loads. One that was never heard does only if others say so: if all far VMs were told loads
// in turns, those that place would hear them too seldom, and requests would meet full engines.
func (pe *peer) placing(now time.Duration) bool {
	return pe.isAlive(now) && !pe.asks || pe.named > 0 && now-pe.named < namedFor
}

// domain are the addresses of the other VMs of the own failure domain.
func (p *peers) domain() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for a, pe := range p.addrs {
		if pe.domain == p.d.settings.Vm.FailureDomain {
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
		d: d, inc: uint64(time.Now().UnixNano()), addrs: make(map[string]*peer), known: cell.Fleet{Region: 1, Domain: 1}, offset: turnOffset(d.settings.Listen.Peers),
		relays: make(chan relay, relayBuffer), hints: make(chan configHint, hintBuffer),
		client: &http.Client{Transport: &http.Transport{DialContext: d.opts.Dial, DisableKeepAlives: true}},
	}
}

func (p *peers) listen() (err error) {
	p.conn, err = p.d.opts.ListenPacket(p.d.settings.Listen.Peers)
	return err
}

// entryOf is how a VM stands in lists of VMs: its address and failure domain.
func entryOf(v allowance.VM) string { return v.Address + " " + v.Domain }

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
	s := entryOf(r.VM) + " " + strconv.FormatInt(started, 10)
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

// learnAll takes in the whole list of VMs.
func (p *peers) learnAll(entries []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnList(entries)
}

// learnNamed takes in the list of VMs by name as the store has it; complete says that none is
// missing there.
func (p *peers) learnNamed(records map[string]string, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnEntries(slices.Collect(maps.Values(records)))
	p.complete = p.complete || complete
	p.share()
	for name, value := range records {
		if r, err := parseVMRecord(value); err == nil && p.addrs[r.Address] != nil {
			p.addrs[r.Address].name = name
		}
	}
}

func (p *peers) learnList(entries []string) {
	p.learnEntries(entries)
	p.complete = true
	p.share()
}

func (p *peers) learnEntries(entries []string) {
	for _, e := range entries {
		r, err := parseVMRecord(e)
		if err != nil {
			p.d.log.Warn().Err(err).Msg("peer_entry_refused")
			continue
		}
		p.learn(r.VM)
	}
}

// share tells the parts that divide amounts among all VMs who they are, if one came.
// Notes come hundreds of times a second, new VMs seldom.
func (p *peers) share() {
	if !p.complete || !p.settles() || p.shared == len(p.addrs)+1 {
		return
	}
	p.shared = len(p.addrs) + 1
	vms := []allowance.VM{{Address: p.d.settings.Listen.Peers, Domain: p.d.settings.Vm.FailureDomain}}
	for a, pe := range p.addrs {
		vms = append(vms, allowance.VM{Address: a, Domain: pe.domain})
	}
	p.d.shares.setVMs(vms)
}

// settles says whether the others count this VM among those that share. A VM sends notes only to those
// that it counts, so one that was heard does. Until then this VM would hold a part of what
// the others have divided without it.
func (p *peers) settles() bool {
	if !p.settled {
		p.settled = p.knownBefore || p.d.now() >= newcomerSettles || p.allHeard()
	}
	return p.settled
}

func (p *peers) allHeard() bool {
	for _, pe := range p.addrs {
		if pe.heard == 0 {
			return false
		}
	}
	return true
}

// noteKnownBefore says that this VM's record was in the list before this process wrote it.
func (p *peers) noteKnownBefore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.knownBefore = true
}

// learn takes in one VM; nil if it is this one or cannot be understood.
func (p *peers) learn(v allowance.VM) *peer {
	if v.Address == p.d.settings.Listen.Peers {
		return nil
	}
	if known := p.addrs[v.Address]; known != nil {
		return known
	}
	// Only numbers: a name would be looked up while notes wait, for seconds.
	ap, err := netip.ParseAddrPort(v.Address)
	if err != nil {
		p.d.log.Warn().Str("address", v.Address).Err(err).Msg("peer_address_refused")
		return nil
	}
	pe := &peer{addr: net.UDPAddrFromAddrPort(ap), domain: v.Domain, learned: p.d.now()}
	p.addrs[v.Address] = pe
	p.countVM(v.Domain)
	p.d.log.Info().Str("address", v.Address).Str("peer_domain", v.Domain).Int("vms", len(p.addrs)+1).Msg("peer_known")
	return pe
}
