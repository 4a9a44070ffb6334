package catchup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The model of a failure domain: what is told by notes is heard at once, or lost; a transfer shares
// the links of both its ends.
const (
	step = time.Millisecond
	// modelBound is the time within which a version must be in force.
	modelBound = 3 * time.Second
	// askBytes is what a request and a refusal take of a link, with the connection's own packets.
	askBytes = 700
	// roundTrip passes before a transfer begins: a connection, the request.
	roundTrip = 3 * time.Millisecond
	// applyTime is the time to decode and apply a document on a small VM.
	applyTime = 80 * time.Millisecond
	// noteEvery is the interval of notes, each to notesTo VMs in rotation.
	noteEvery = 100 * time.Millisecond
	notesTo   = 4
	// relayEvery is the interval at which the reader of the store sends a note to all.
	relayEvery = time.Second
)

type modelVM struct {
	address string
	tracker *Tracker
	source  Source
	version uint64
	// busyUntil is when the VM has applied what it received, pendingVersion what that is.
	busyUntil      time.Duration
	pendingVersion uint64
	up, down       int
	sent, received float64
	asks           int
	dead           bool
	queuedAt       []*modelVM
	servedBy       []string
	heldUntil      time.Duration
}

type modelTransfer struct {
	from, to *modelVM
	version  uint64
	left     float64
	startAt  time.Duration
}

type model struct {
	r         *rand.Rand
	vms       []*modelVM
	now       time.Duration
	transfers []*modelTransfer
	// bytesPerSecond is the rate of each link, size what a transfer takes.
	bytesPerSecond, size float64
	// wasted is what was sent to receivers that got the version elsewhere, in copies.
	wasted float64
	// lost is the share of notes that are lost.
	lost float64
}

func newModel(seed uint64, vms int, mbps, size float64) *model {
	m := &model{r: rand.New(rand.NewPCG(seed, 3)), bytesPerSecond: mbps * 1e6 / 8, size: size, lost: 0.02, now: time.Hour}
	for i := range vms {
		address := fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250)
		m.vms = append(m.vms, &modelVM{address: address, tracker: NewTracker(address, modelBound)})
	}
	return m
}

func (m *model) standing(i int) func() Standing {
	level := 0
	for rank := i; rank >= 3; rank = (rank - 3) / 3 {
		level++
	}
	return func() Standing { return Standing{Rank: i, Size: len(m.vms), Level: level} }
}

func (m *model) tell(from, to *modelVM) {
	if from != to && !from.dead && !to.dead && from.version > 0 && m.r.Float64() >= m.lost {
		to.tracker.Hear(m.now, Announcement{Holder: from.address, Version: from.version, Near: true})
	}
}

// apply puts a version in force at a VM, which announces it at once.
func (m *model) apply(v *modelVM, version uint64) {
	v.version = max(v.version, version)
	v.tracker.Applied(v.version)
	for _, address := range v.servedBy {
		v.tracker.Served(address)
	}
	v.servedBy = nil
	m.decide(v, v.source.Advance(version))
	for range notesTo {
		m.tell(v, m.vms[m.r.IntN(len(m.vms))])
	}
}

func (m *model) byAddress(address string) *modelVM {
	for _, v := range m.vms {
		if v.address == address {
			return v
		}
	}
	return nil
}

// ask plays one request of a VM to a holder.
func (m *model) ask(v *modelVM, address string) {
	h := m.byAddress(address)
	v.asks++
	if h.dead {
		v.tracker.Failed(m.now, address)
		return
	}
	v.sent, h.received = v.sent+askBytes, h.received+askBytes
	_, expects := h.tracker.BehindSince(m.now)
	v.heldUntil = m.now + MaxHold
	m.decide(h, []Decision{h.source.Ask(v.address, v.version, expects)})
}

// decide carries out the decisions of a source.
func (m *model) decide(h *modelVM, list []Decision) {
	for _, d := range list {
		v := m.byAddress(d.Asker)
		switch d.Verdict {
		case Serve:
			h.up++
			v.down++
			m.transfers = append(m.transfers, &modelTransfer{from: h, to: v, version: h.version, left: m.size, startAt: m.now + roundTrip})
		case Refuse:
			h.sent, v.received = h.sent+askBytes, v.received+askBytes
			var named []Announcement
			for _, a := range d.Referrals {
				named = append(named, Announcement{Holder: a, Version: h.version, Near: true})
			}
			v.tracker.Refused(m.now, h.address, named)
		case Queue:
			v.queuedAt = append(v.queuedAt, h)
		}
	}
}

// expire ends the requests of a VM that were queued for too long.
func (m *model) expire(v *modelVM) {
	if m.now >= v.heldUntil {
		m.leaveQueues(v)
	}
}

// leaveQueues ends all queued requests of a VM.
func (m *model) leaveQueues(v *modelVM) {
	for _, h := range v.queuedAt {
		if d, ok := h.source.Leave(v.address); ok {
			m.decide(h, []Decision{d})
		}
	}
	v.queuedAt = nil
}

// progress moves the bytes of one step.
func (m *model) progress() {
	running := m.transfers
	m.transfers = nil
	var kept []*modelTransfer
	for _, tr := range running {
		if m.now < tr.startAt {
			kept = append(kept, tr)
			continue
		}
		rate := m.bytesPerSecond / float64(max(tr.from.up, tr.to.down)) * step.Seconds()
		if tr.from.dead {
			tr.to.tracker.Failed(m.now, tr.from.address)
			tr.to.down--
			continue
		}
		if tr.to.pendingVersion >= tr.version {
			// The receiver closes the connection.
			tr.from.up--
			tr.to.down--
			m.wasted += (m.size - tr.left) / m.size
			m.decide(tr.from, tr.from.source.Done(tr.version, tr.to.address, true))
			continue
		}
		tr.left -= rate
		tr.from.sent, tr.to.received = tr.from.sent+rate, tr.to.received+rate
		if tr.left > 0 {
			kept = append(kept, tr)
			continue
		}
		tr.from.up--
		tr.to.down--
		m.decide(tr.from, tr.from.source.Done(tr.version, tr.to.address, true))
		tr.to.servedBy = append(tr.to.servedBy, tr.from.address)
		tr.to.pendingVersion, tr.to.busyUntil = tr.version, m.now+applyTime
		m.leaveQueues(tr.to)
	}
	m.transfers = append(m.transfers, kept...)
}

// run plays the model until all VMs have a version, for at most the given time.
func (m *model) run(version uint64, limit time.Duration, each func(elapsed time.Duration)) (took time.Duration, all bool) {
	start := m.now
	for m.now-start < limit {
		if each != nil {
			each(m.now - start)
		}
		m.progress()
		missing := 0
		for i, v := range m.vms {
			if v.dead {
				continue
			}
			if v.pendingVersion > v.version && m.now >= v.busyUntil {
				m.apply(v, v.pendingVersion)
			}
			if (m.now+time.Duration(i)*step)%noteEvery < step {
				for range notesTo {
					m.tell(v, m.vms[m.r.IntN(len(m.vms))])
				}
			}
			if v.version < version {
				missing++
			}
			m.expire(v)
			if a, _ := v.tracker.Next(m.now, m.standing(i)); a.Ask != "" {
				m.ask(v, a.Ask)
			} else if a.ReadStore {
				v.tracker.StoreReadDone()
			}
		}
		if (m.now-start)%relayEvery == 0 {
			for _, v := range m.vms {
				m.tell(m.vms[len(m.vms)/2], v)
			}
		}
		if missing == 0 {
			return m.now - start, true
		}
		m.now += step
	}
	return limit, false
}

// holders returns how many VMs that are alive have a version.
func (m *model) holders() (n int) {
	for _, v := range m.vms {
		if !v.dead && v.version > 0 {
			n++
		}
	}
	return n
}

// busiestLink returns the most bytes over one link, in copies of what is transferred.
func (m *model) busiestLink() float64 {
	var most float64
	for _, v := range m.vms {
		most = max(most, v.sent, v.received)
	}
	return most / m.size
}

func (m *model) asks() (n, most int) {
	for _, v := range m.vms {
		n, most = n+v.asks, max(most, v.asks)
	}
	return n, most
}

// spread plays how one version reaches all VMs from one of them.
func spread(seed uint64, vms int, size float64) (m *model, took time.Duration, all bool) {
	m = newModel(seed, vms, narrowLink, size)
	m.apply(m.vms[vms/2], 1)
	took, all = m.run(1, modelBound, nil)
	return m, took, all
}

// narrowLink is the rate of the narrowest links, in Mbit/s.
const narrowLink = 10

// Packed sizes of 1,400 routes that are added, and of twice as many.
const (
	someRoutes = 60e3
	moreRoutes = 2 * someRoutes
)

// Guards against a large change that never reaches most VMs: a holder that serves all at once.
func TestLargeChangeReachesAllInTime(t *testing.T) {
	is := is.New(t)
	for _, vms := range []int{18, 36, 164, 328} {
		for _, size := range []float64{someRoutes, moreRoutes} {
			for seed := range uint64(3) {
				m, took, all := spread(seed, vms, size)
				is.True(all)
				// A third of the bound is left for reading the store.
				is.True(took <= modelBound*2/3)
				is.True(m.wasted < float64(vms)/50)
			}
		}
	}
}

// Twice the VMs, or a change of twice the size, cost the busiest link a few more copies, not twice as many.
func TestBusiestLinkDoesNotCarryACopyForEachVM(t *testing.T) {
	is := is.New(t)
	m, _, _ := spread(1, 164, someRoutes)
	twice, _, _ := spread(1, 328, someRoutes)
	is.True(twice.busiestLink() < 1.5*m.busiestLink())
	is.True(m.busiestLink() < 164/8)
	larger, _, _ := spread(1, 164, moreRoutes)
	is.True(larger.busiestLink() <= m.busiestLink())
	asks, _ := m.asks()
	asksOfTwice, _ := twice.asks()
	is.True(asks < 8*164 && asksOfTwice < 8*328)
}

// VMs die at random, also while they send, and notes are lost: the others get the version in time.
func TestVersionSpreadsWhileVMsDie(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(8) {
		m := newModel(seed, 120, narrowLink, someRoutes)
		m.lost = 0.2
		first := m.vms[60]
		m.apply(first, 1)
		_, all := m.run(1, modelBound, func(elapsed time.Duration) {
			if elapsed > 100*time.Millisecond && elapsed < 600*time.Millisecond && elapsed%(40*time.Millisecond) == 0 {
				m.vms[m.r.IntN(len(m.vms))].dead = true
			}
		})
		is.True(all || first.dead && m.holders() == 0)
	}
}

// Guards against versions in a row of which none arrives, since each drops the transfer of the one before.
func TestStormOfVersionsEndsInTheLast(t *testing.T) {
	is := is.New(t)
	const versions = 10
	for seed := range uint64(3) {
		m := newModel(seed, 164, narrowLink, someRoutes/4)
		for v := range uint64(versions) {
			m.apply(m.vms[5], v+1)
			if v+1 < versions {
				m.run(versions, modelBound/versions, nil)
			}
		}
		took, all := m.run(versions, modelBound, nil)
		is.True(all)
		is.True(took <= modelBound*2/3)
	}
}

// BenchmarkSpread shows the time until all VMs have a change, the copies over the busiest link and the
// requests for each VM.
func BenchmarkSpread(b *testing.B) {
	for _, vms := range []int{18, 36, 164, 300, 600} {
		for _, size := range []float64{3e3, someRoutes, moreRoutes, 250e3} {
			b.Run(fmt.Sprintf("vms=%d/kB=%.0f", vms, size/1e3), func(b *testing.B) {
				for b.Loop() {
					m := newModel(1, vms, narrowLink, size)
					m.apply(m.vms[vms/2], 1)
					took, all := m.run(1, 3*modelBound, nil)
					if !all {
						b.Fatal("not all VMs have it")
					}
					asks, _ := m.asks()
					b.ReportMetric(took.Seconds(), "s")
					b.ReportMetric(m.busiestLink(), "copies")
					b.ReportMetric(float64(asks)/float64(vms), "asks/VM")
				}
			})
		}
	}
}
