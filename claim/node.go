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

// Config is fixed for the life of a process.
type Config struct {
	Self        VM
	Incarnation uint64
	// VMs of the whole deployment, Self included.
	VMs []VM
	// CellSize bounds how many VMs of a domain exchange heartbeats; at least 2.
	CellSize int
	// Lease is how long a silent backup is waited for.
	Lease time.Duration
	// Retry is the interval at which unanswered messages are sent again.
	Retry time.Duration
	// Timeout bounds a claim.
	Timeout time.Duration
	// TTL is how long records are kept; no request may be repeated after it.
	TTL time.Duration
	// MaxRecords bounds the memory; claims beyond it are refused.
	MaxRecords int
	// NoBackup grants without a copy. It exists to measure what the copy costs.
	NoBackup bool
}

// Outgoing is a message for a VM.
type Outgoing struct {
	To      uint32
	Message *schema.Message
}

// Verdict is what became of a flight.
type Verdict int

// Verdicts of flights.
const (
	// Granted: the caller of Acquire may dispatch, once, now.
	Granted Verdict = iota
	// Held: another dispatch has the key; Record says which.
	Held
	// NotRun: the request ran nowhere and will not under this attempt.
	NotRun
	// Unknown: it may have run.
	Unknown
	// Conflict: the key was used with another body.
	Conflict
	// Absent: a search found no claim.
	Absent
)

// Result ends a flight.
type Result struct {
	ID      uint64
	Verdict Verdict
	Reason  request.Reason
	Record  *schema.Record
	// Domain is where the record is held, with Held.
	Domain string
}

// Output is what one or more steps decided, in order.
type Output struct {
	Messages []Outgoing
	Results  []Result
	// Fenced is set when peers took this incarnation for dead: it must end.
	Fenced bool
	// Takeovers are the dead VMs whose keys this VM now holds.
	Takeovers []Takeover
}

// Takeover tells that a dead VM's keys moved.
type Takeover struct {
	VM uint32
	// Clean: every claim the dead VM counted is known here.
	Clean bool
}

// Node is one VM's part in the claims of all requests. It is not safe for
// concurrent use.
type Node struct {
	cfg      Config
	now      time.Duration
	out      Output
	loopback []*schema.Message

	domains []string
	cells   map[string][][]uint32
	removed map[uint32]bool

	// Membership of the own cell.
	cell     []uint32
	peers    []*peer
	phase    phase
	fenced   bool
	firstRun bool
	// hasHistory: an active member told what the cell has granted.
	hasHistory bool
	// reportedMembers are the members that others named while this VM joined.
	reportedMembers []*schema.Member
	leaveRequested  bool
	lost            []lostIncarnation
	nextHeartbeatAt time.Duration

	// Records held or backed up.
	records map[request.Key]*record
	byAge   []ageEntry
	// waiting are the keys whose claims wait for a copy, in order.
	waiting []request.Key

	// Calls of this VM.
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
		// Numbers of an earlier incarnation must match nothing of this one.
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

// cellOf returns the cell of a domain that a key belongs to.
func (n *Node) cellOf(domain string, hash uint64) []uint32 {
	cells := n.cells[domain]
	return cells[hash%uint64(len(cells))]
}

// homeDomain returns the domain in which repeats of a key are claimed. It does
// not depend on what is reachable, so that two repeats cannot disagree.
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

// Take returns what was decided since the last call.
func (n *Node) Take() Output {
	n.handleLoopback()
	n.flushDuplicates()
	out := n.out
	n.out = Output{}
	return out
}

// send queues a message; one for this VM itself is handled without the network.
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

// Receive handles a message of another VM's incarnation.
func (n *Node) Receive(now time.Duration, from uint32, incarnation uint64, m *schema.Message) {
	n.now = now
	if n.fenced {
		return
	}
	if p := n.peer(from); p != nil && !n.admit(p, incarnation) {
		n.send(from, &schema.Message{Body: &schema.Message_Fenced{Fenced: &schema.Fenced{Incarnation: incarnation}}})
		return
	}
	// Whoever speaks is not gone: the list lags, or a new process took the address.
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

// Tick lets time pass. Call it every few milliseconds, and at least four times
// in Retry.
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

// Stats are figures for logs and metrics.
type Stats struct {
	Records int
	Members int
	// Backed are the members whose death now would lose no claim.
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
// caller keeps a connection to each whose close it reports to PeerClosed.
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
