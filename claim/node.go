package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivefield/chivefield/rendezvous"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

// VM is one entry VM of the deployment.
type VM struct {
	ID     uint32
	Domain string
}

// Config holds the settings of a Node. They are fixed for the lifetime of a
// process.
type Config struct {
	Self        VM
	Incarnation uint64
	// VMs lists all VMs of the deployment, Self included.
	VMs []VM
	// CellSize bounds the number of VMs of a domain that exchange heartbeats; at
	// least 2.
	CellSize int
	// Lease is the time after which a silent backup is bypassed.
	Lease time.Duration
	// Retry is the interval at which unanswered messages are sent again.
	Retry time.Duration
	// Timeout bounds the duration of an acquisition.
	Timeout time.Duration
	// TTL is the retention time of records; no request may be retried after it.
	TTL time.Duration
	// MaxRecords bounds the memory; claims beyond it are refused.
	MaxRecords int
	// NoBackup grants claims without a copy. It is used to measure the cost of
	// the copy.
	NoBackup bool
}

// Outgoing is a message to a VM.
type Outgoing struct {
	To      uint32
	Message *schema.Message
}

// Verdict is the result of an acquisition.
type Verdict int

// Verdicts of acquisitions.
const (
	// Granted: the caller of Acquire may dispatch once, now.
	Granted Verdict = iota
	// Held: another dispatch has the key; Record describes it.
	Held
	// NotRun: the request ran nowhere and will not run under this attempt.
	NotRun
	// Unknown: the request may have run.
	Unknown
	// Conflict: the key was used with a different body.
	Conflict
	// Absent: Find found no claim, or the claim passed to ReleaseFenced is
	// released.
	Absent
)

// Result is the result of an acquisition.
type Result struct {
	ID      uint64
	Verdict Verdict
	Reason  request.Reason
	Record  *schema.Record
	// Domain is the failure domain that holds the record if the verdict is Held.
	Domain string
}

// Output holds the decisions of one or more steps, in order.
type Output struct {
	Messages []Outgoing
	Results  []Result
	// Fenced is set if the peers have declared this incarnation dead: the
	// process must exit.
	Fenced bool
	// Takeovers lists the dead VMs whose keys this VM now holds.
	Takeovers []Takeover
	// Silences lists the members that have become silent, in one direction or
	// both.
	Silences []Silence
}

// Silence reports that a lease of a member has expired.
type Silence struct {
	VM uint32
	// Bypassed: as a backup it acknowledged nothing for a lease; claims are
	// granted without its copy.
	Bypassed bool
	// StandingIn: nothing was received from it for a lease; first attempts of
	// its keys are granted here.
	StandingIn bool
}

// Takeover reports that the keys of a dead VM were taken over.
type Takeover struct {
	VM uint32
	// Clean reports whether every claim committed by the dead VM is known here.
	Clean bool
}

// Node implements the claim protocol of one VM. It is not safe for concurrent
// use.
type Node struct {
	cfg      Config
	now      time.Duration
	out      Output
	loopback []*schema.Message

	domains []string
	cells   map[string][][]uint32
	removed map[uint32]bool

	// Membership of this VM's cell.
	cell     []uint32
	peers    []*peer
	phase    phase
	fenced   bool
	firstRun bool
	// hasHistory is set once an active member has sent the records of the cell.
	hasHistory bool
	// reportedMembers lists the members that others reported while this VM
	// joined.
	reportedMembers []*schema.Member
	leaveRequested  bool
	lost            []lostIncarnation
	nextHeartbeatAt time.Duration

	// Records held or backed up.
	records map[request.Key]*record
	byAge   []ageEntry
	// waiting lists the keys whose claims wait for a copy, in order.
	waiting []request.Key

	// Claims and updates sent by this VM.
	lastCall         uint64
	domainClaims     map[uint64]*domainClaim
	domainClaimOrder []uint64
	updates          map[uint64]*update
	updateOrder      []uint64
	acquisitions     map[uint64]*acquisition
}

// New returns a node that has not joined its cell.
func New(cfg Config, now time.Duration) *Node {
	n := &Node{
		cfg:             cfg,
		now:             now,
		cells:           make(map[string][][]uint32),
		removed:         make(map[uint32]bool),
		records:         make(map[request.Key]*record),
		domainClaims:    make(map[uint64]*domainClaim),
		updates:         make(map[uint64]*update),
		acquisitions:    make(map[uint64]*acquisition),
		nextHeartbeatAt: now,
		// Call numbers of an earlier incarnation must not match any of this one.
		lastCall: cfg.Incarnation,
	}
	n.assignCells()
	for _, id := range n.cell {
		if id != cfg.Self.ID {
			n.peers = append(n.peers, &peer{
				id: id, ackedAt: now - cfg.Lease,
				heartbeatSeq: cfg.Incarnation, heartbeatAcked: cfg.Incarnation, dupSeq: cfg.Incarnation,
			})
		}
	}
	n.progressJoin()
	return n
}

// assignCells splits each domain's VMs, ordered by id, into cells of nearly
// equal size. Every VM computes the same cells from the same list.
func (n *Node) assignCells() {
	byDomain := make(map[string][]uint32)
	for _, vm := range n.cfg.VMs {
		byDomain[vm.Domain] = append(byDomain[vm.Domain], vm.ID)
	}
	for domain, ids := range byDomain {
		slices.Sort(ids)
		n.domains = append(n.domains, domain)
		n.cells[domain] = splitCells(ids, max(2, n.cfg.CellSize))
	}
	slices.Sort(n.domains)
	for _, c := range n.cells[n.cfg.Self.Domain] {
		if slices.Contains(c, n.cfg.Self.ID) {
			n.cell = c
		}
	}
}

func splitCells(ids []uint32, size int) [][]uint32 {
	count := max(1, (len(ids)+size-1)/size)
	cells := make([][]uint32, 0, count)
	for i := range count {
		cells = append(cells, ids[i*len(ids)/count:(i+1)*len(ids)/count])
	}
	return cells
}

// cellOf returns the cell of a domain to which a key belongs.
func (n *Node) cellOf(domain string, hash uint64) []uint32 {
	cells := n.cells[domain]
	return cells[hash%uint64(len(cells))]
}

// homeDomain returns the domain in which retries of a key are claimed. It does
// not depend on which domains are reachable, so that two retries always use the
// same one.
func (n *Node) homeDomain(hash uint64) string {
	home, _ := slices.BinarySearch(n.domains, "")
	var best uint64
	for i := range n.domains {
		if w := rendezvous.Weight(hash, uint32(i)); i == 0 || w > best {
			home, best = i, w
		}
	}
	return n.domains[home]
}

func keyHash(k request.Key) uint64 { return rendezvous.Hash(k.Organisation, k.ID) }

// Take returns the decisions made since the last call.
func (n *Node) Take() Output {
	n.handleLoopback()
	n.flushDuplicates()
	out := n.out
	n.out = Output{}
	return out
}

// send queues a message; a message to this VM itself is handled locally.
func (n *Node) send(to uint32, m *schema.Message) {
	if to == n.cfg.Self.ID {
		n.loopback = append(n.loopback, m)
		return
	}
	n.out.Messages = append(n.out.Messages, Outgoing{To: to, Message: m})
}

func (n *Node) handleLoopback() {
	for len(n.loopback) > 0 {
		m := n.loopback[0]
		n.loopback = n.loopback[1:]
		n.handleMessage(n.cfg.Self.ID, n.cfg.Incarnation, m)
	}
}

// Receive handles a message from an incarnation of another VM.
func (n *Node) Receive(now time.Duration, from uint32, incarnation uint64, m *schema.Message) {
	n.now = now
	if n.fenced {
		return
	}
	if p := n.peer(from); p != nil && !n.admit(p, incarnation) {
		n.send(from, &schema.Message{Body: &schema.Message_Fenced{Fenced: &schema.Fenced{Incarnation: incarnation}}})
		return
	}
	// A VM that sends messages has not been removed: the platform's list lags,
	// or a new process took over the address.
	delete(n.removed, from)
	n.handleMessage(from, incarnation, m)
	n.handleLoopback()
}

func (n *Node) handleMessage(from uint32, inc uint64, m *schema.Message) {
	switch b := m.Body.(type) {
	case *schema.Message_Heartbeat:
		n.onHeartbeat(n.peer(from), b.Heartbeat)
	case *schema.Message_HeartbeatAck:
		n.onHeartbeatAck(n.peer(from), b.HeartbeatAck)
	case *schema.Message_Join:
		n.onJoin(n.peer(from))
	case *schema.Message_JoinAck:
		n.onJoinAck(n.peer(from), b.JoinAck)
	case *schema.Message_Goodbye:
		n.onGoodbye(n.peer(from), b.Goodbye)
	case *schema.Message_GoodbyeAck:
		n.onGoodbyeAck(n.peer(from))
	case *schema.Message_Fenced:
		n.onFenced(b.Fenced)
	case *schema.Message_Claim:
		n.onClaim(from, inc, b.Claim)
	case *schema.Message_ClaimResult:
		n.onClaimResult(b.ClaimResult)
	case *schema.Message_Duplicate:
		n.onDuplicate(n.peer(from), b.Duplicate)
	case *schema.Message_DuplicateAck:
		n.onDuplicateAck(n.peer(from), b.DuplicateAck)
	case *schema.Message_Update:
		n.onUpdate(from, inc, b.Update)
	case *schema.Message_UpdateAck:
		n.onUpdateAck(b.UpdateAck)
	}
}

// Tick advances time. It must be called every few milliseconds, and at least
// four times per Retry.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	n.sendHeartbeats()
	n.progressJoin()
	n.checkLeases()
	n.progressLeave()
	n.resendDuplicates()
	n.resendClaims()
	n.resendUpdates()
	n.expireRecords()
	n.handleLoopback()
}

// Stats holds figures for logs and metrics.
type Stats struct {
	Records int
	Members int
	// Backed is the number of members whose death now would lose no claim.
	Backed int
	Active bool
	Lost   int
}

// Stats returns the current figures.
func (n *Node) Stats() Stats {
	s := Stats{Records: len(n.records), Active: n.phase == active, Lost: len(n.lost)}
	for _, p := range n.peers {
		if p.member {
			s.Members++
			if n.deathWouldBeClean(p) {
				s.Backed++
			}
		}
	}
	return s
}

// CellPeers returns the VMs with which this one exchanges heartbeats. The
// caller must keep a connection to each and report its close to PeerClosed.
func (n *Node) CellPeers() []uint32 {
	ids := make([]uint32, 0, len(n.peers))
	for _, p := range n.peers {
		ids = append(ids, p.id)
	}
	return ids
}

func (n *Node) peer(id uint32) *peer {
	i, ok := slices.BinarySearchFunc(n.peers, id, func(p *peer, id uint32) int { return cmp.Compare(p.id, id) })
	if !ok {
		return nil
	}
	return n.peers[i]
}
