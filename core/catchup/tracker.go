package catchup

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivefield/chivefield/rendezvous"
)

const (
	// maxAsked is how many holders a VM asks at the same time.
	maxAsked = 2
	// hedgeDelay is how long a single transfer runs before a second holder is asked: several times what
	// a narrow link needs for a copy.
	hedgeDelay = 500 * time.Millisecond
	// MaxHold is how long a request may be queued.
	MaxHold = 400 * time.Millisecond
	// firstBusyPause is the pause before a busy holder is asked again. It doubles up to maxBusyPause, so
	// that a holder that is known to hundreds of VMs can send more than refusals.
	firstBusyPause = 80 * time.Millisecond
	maxBusyPause   = 640 * time.Millisecond
	// askInterval is how often a VM that is behind looks for a holder to ask.
	askInterval = 20 * time.Millisecond
	// failurePause is the pause before a holder is asked again that did not answer.
	failurePause = time.Second
	// levelDelay is the time by which the VMs of each further level ask later for a version that they
	// have just heard of: the time of a copy or two on a narrow link. Otherwise all VMs that one note
	// reaches ask its sender at once.
	levelDelay = 60 * time.Millisecond
	// remoteLevelDelay is the same for asking holders of other failure domains, where the own one has
	// none.
	remoteLevelDelay = 300 * time.Millisecond
	// holderTTL is how long a holder is believed to have a version after it last said so. In a failure
	// domain of 300 VMs each hears from each other one within eight seconds.
	holderTTL = 10 * time.Second
	// maxPending bounds the versions whose announcement is remembered.
	maxPending = 32
	// storeShare is the fraction of the bound after which the first VMs read the store, since no VM has
	// served them. The others follow by rank, over the bound: together they would fill the store's link.
	storeShare = 1.0 / 3
	// storePause is the pause between two reads of the store.
	storePause = time.Second
)

// Standing is a VM's place among those of its failure domain.
type Standing struct {
	// Rank is its number in an order that all VMs agree on, Size how many there are.
	Rank, Size int
	// Level is the logarithm of the rank: few VMs are of level 0, several times as many of each
	// further one.
	Level int
}

const (
	// firstLevel is the number of VMs of level 0, levelGrowth how many times as many each further level
	// has.
	firstLevel  = 3
	levelGrowth = 3
	// rankKey is hashed with the VMs' addresses to rank them.
	rankKey = "catchup"
)

// NewStanding returns the standing of the VM at an address among others.
func NewStanding(self string, others []string) Standing {
	s := Standing{Size: 1 + len(others)}
	for _, a := range others {
		if rendezvous.Compare(rankKey, a, self) < 0 {
			s.Rank++
		}
	}
	for below, n := firstLevel, firstLevel; s.Rank >= below; s.Level++ {
		n *= levelGrowth
		below += n
	}
	return s
}

// holder is a VM that has a version newer than the current one.
type holder struct {
	version uint64
	near    bool
	heardAt time.Duration
	// restUntil is when it may be asked again. busyPause is its last pause for being busy, failed
	// reports that it did not answer the last time.
	restUntil time.Duration
	busyPause time.Duration
	failed    bool
}

// announcement records when a version was first heard of.
type announcement struct {
	version uint64
	at      time.Duration
}

// Tracker decides whom a VM asks for a newer version of the document. Times are those of one clock.
type Tracker struct {
	self    string
	bound   time.Duration
	current uint64
	// pending holds the versions newer than the current one, in ascending order.
	pending []announcement
	holders map[string]*holder
	// asked holds when each holder under way was asked.
	asked map[string]time.Duration
	// storeRead reports that a read of the store is under way, storeReadAt when the last one began.
	storeRead   bool
	storeReadAt time.Duration
}

// NewTracker returns the tracker of the VM at an address. A version must be in force within bound.
func NewTracker(self string, bound time.Duration) *Tracker {
	return &Tracker{self: self, bound: bound, holders: make(map[string]*holder), asked: make(map[string]time.Duration)}
}

// Announcement states that a VM has a version.
type Announcement struct {
	Holder  string
	Version uint64
	// Near is set if the holder is in the VM's own failure domain.
	Near bool
}

// Hear records an announcement. It reports whether the version is newer than all heard of before.
func (t *Tracker) Hear(now time.Duration, a Announcement) (news bool) {
	if a.Version <= t.current {
		return false
	}
	h := t.holders[a.Holder]
	if h == nil {
		h = &holder{near: a.Near}
		t.holders[a.Holder] = h
	}
	h.version, h.heardAt = max(h.version, a.Version), now
	n := len(t.pending)
	if n > 0 && a.Version <= t.pending[n-1].version {
		return false
	}
	if n == maxPending {
		t.pending = slices.Delete(t.pending, n-1, n)
	}
	t.pending = append(t.pending, announcement{version: a.Version, at: now})
	return true
}

// Applied records that a version is in force.
func (t *Tracker) Applied(version uint64) {
	t.current = max(t.current, version)
	t.pending = slices.DeleteFunc(t.pending, func(a announcement) bool { return a.version <= t.current })
	for address, h := range t.holders {
		if h.version <= t.current {
			delete(t.holders, address)
		}
	}
}

// HeardAt returns when a version, or the first newer than it, was announced.
func (t *Tracker) HeardAt(version uint64) (at time.Duration, ok bool) {
	for _, a := range t.pending {
		if a.version >= version {
			return a.at, true
		}
	}
	return 0, false
}

// BehindSince returns since when this VM has known that a newer version than its own is in force. ok
// is false if its own is the newest, as far as is known.
func (t *Tracker) BehindSince(now time.Duration) (since time.Duration, ok bool) {
	t.forget(now)
	if len(t.pending) == 0 {
		return 0, false
	}
	return t.pending[0].at, true
}

// Overdue reports whether the bound has passed since this VM heard of a newer version, and at least
// half of its failure domain has it: then callers are better served by the others. If most VMs were
// late, to refuse requests would turn a late change into an outage.
func (t *Tracker) Overdue(now time.Duration, standing func() Standing) bool {
	since, behind := t.BehindSince(now)
	if !behind || now-since <= t.bound {
		return false
	}
	current := 0
	for _, h := range t.holders {
		if h.near {
			current++
		}
	}
	return 2*current >= standing().Size
}

// forget drops holders that have not announced their version for long. A version that nobody
// announces any more is gone: its holders, or the store that had it, were lost.
func (t *Tracker) forget(now time.Duration) {
	newest := t.current
	for address, h := range t.holders {
		if now-h.heardAt > holderTTL {
			delete(t.holders, address)
			continue
		}
		newest = max(newest, h.version)
	}
	t.pending = slices.DeleteFunc(t.pending, func(a announcement) bool { return a.version > newest })
}

// Action is what a VM does next to get a newer version.
type Action struct {
	// Ask is the address of the holder to ask, empty if there is none to ask now.
	Ask string
	// ReadStore is set if the VM should read the store itself.
	ReadStore bool
}

// Next returns what to do now, if anything, and after which time to call Next again at the latest;
// zero means only after a change. An action counts as begun.
func (t *Tracker) Next(now time.Duration, standing func() Standing) (a Action, wait time.Duration) {
	since, behind := t.BehindSince(now)
	if !behind {
		return Action{}, 0
	}
	s := standing()
	if t.storeDue(now, since, s) {
		t.storeRead, t.storeReadAt = true, now
		return Action{ReadStore: true}, 0
	}
	if t.mayAsk(now) && now-since >= time.Duration(s.Level)*levelDelay {
		if address := t.pick(now, since, s); address != "" {
			t.asked[address] = now
			return Action{Ask: address}, 0
		}
	}
	return Action{}, askInterval
}

// storeDue reports whether the VM should read the store.
func (t *Tracker) storeDue(now, since time.Duration, s Standing) bool {
	if t.storeRead || t.storeReadAt > 0 && now-t.storeReadAt < storePause {
		return false
	}
	later := float64(s.Rank) / float64(max(1, s.Size))
	return now-since >= time.Duration((storeShare+later)*float64(t.bound))
}

// mayAsk reports whether another holder may be asked beside those under way.
func (t *Tracker) mayAsk(now time.Duration) bool {
	for _, at := range t.asked {
		if now-at < hedgeDelay {
			return false
		}
	}
	return len(t.asked) < maxAsked
}

// pick returns the holder to ask, or an empty string. Each VM has its own order of preference, so
// that those who know the same holders ask different ones.
func (t *Tracker) pick(now, since time.Duration, s Standing) string {
	remoteToo := now-since >= time.Duration(s.Level)*remoteLevelDelay
	for _, h := range t.holders {
		if h.near && !h.failed {
			remoteToo = false
		}
	}
	var best string
	for address, h := range t.holders {
		_, underWay := t.asked[address]
		if underWay || now < h.restUntil || !h.near && !remoteToo {
			continue
		}
		if best == "" || t.prefers(address, best) {
			best = address
		}
	}
	return best
}

// prefers reports whether this VM asks holder a rather than b: one in its own failure domain, one
// that was not busy, one with a newer version, then by hash.
func (t *Tracker) prefers(a, b string) bool {
	x, y := t.holders[a], t.holders[b]
	switch {
	case x.near != y.near:
		return x.near
	case x.busyPause != y.busyPause:
		return x.busyPause < y.busyPause
	case x.version != y.version:
		return x.version > y.version
	}
	return cmp.Compare(rendezvous.Hash(t.self, a), rendezvous.Hash(t.self, b)) > 0
}

// Served ends a request that a holder answered with its version.
func (t *Tracker) Served(address string) { delete(t.asked, address) }

// Refused ends a request to a holder that is busy and names others that have its version.
func (t *Tracker) Refused(now time.Duration, address string, referrals []Announcement) {
	delete(t.asked, address)
	if h := t.holders[address]; h != nil {
		h.busyPause = min(maxBusyPause, max(firstBusyPause, 2*h.busyPause))
		h.restUntil, h.failed = now+h.busyPause, false
	}
	for _, r := range referrals {
		if r.Holder != t.self {
			t.Hear(now, r)
		}
	}
}

// Failed ends a request that a holder did not answer, or not to its end.
func (t *Tracker) Failed(now time.Duration, address string) {
	delete(t.asked, address)
	if h := t.holders[address]; h != nil {
		h.restUntil, h.failed = now+failurePause, true
	}
}

// StoreReadDone ends a read of the store.
func (t *Tracker) StoreReadDone() { t.storeRead = false }
