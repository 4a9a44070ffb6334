package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleet simulates VMs that send each other notes in rotation, as in a deployment.
type fleet struct {
	vms []*fleetVM
	// index maps addresses to indexes of vms.
	index map[string]int
	size  FleetSize
	step  uint64
	// changes counts changes of placers since it was last reset.
	changes int
}

// fleetVM is one VM, with the state it received from others by their index.
type fleetVM struct {
	VM
	// startedAt and chosenAt are the steps at which it started and at which it chose its placer.
	startedAt, chosenAt uint64
	placer              string
	stopped             bool
	surplus             SurplusDetector
	steppedDown         bool
	peers               []peerState
	// lastAsked is the step at which each member last asked this VM.
	lastAsked map[string]uint64
}

// peerState is the last note received from a VM: the step, its number of members, whether it has
// another placer (asks), and whether it offers to place.
type peerState struct {
	at      uint64
	members int
	asks    bool
	willing bool
	// silent placers are ignored until they send a note again.
	silent bool
}

const (
	stepDuration = 100 * time.Millisecond
	// livenessSteps and placerTimeoutSteps are the numbers of steps after which a VM and a placer
	// count as lost, readySteps the number after which a process is willing to place.
	livenessSteps      = 48
	placerTimeoutSteps = 4
	readySteps         = 20
)

func newFleet(n, domains int) *fleet {
	f := &fleet{index: make(map[string]int), size: FleetSize{Region: n, Domain: n / domains}}
	for i := range n {
		v := &fleetVM{VM: VM{Address: fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250), Domain: fmt.Sprint(i % domains), CPUShare: 0.192}, peers: make([]peerState, n), lastAsked: make(map[string]uint64)}
		// One VM in sixteen of each failure domain is large.
		if i/domains%16 == 0 {
			v.CPUShare = 0.8
		}
		f.index[v.Address] = i
		f.vms = append(f.vms, v)
	}
	return f
}

func (f *fleet) start(v *fleetVM) {
	v.stopped, v.placer, v.startedAt, v.lastAsked = false, "", f.step, make(map[string]uint64)
	clear(v.peers)
}

func (v *fleetVM) members(step uint64) int {
	n := 0
	for _, at := range v.lastAsked {
		if step-at < livenessSteps/3 {
			n++
		}
	}
	return n
}

// ready reports whether a VM would place for others.
func (v *fleetVM) ready(step uint64) bool { return step-v.startedAt >= readySteps && !v.steppedDown }

// updatePlacer makes a VM choose its placer from the state it received.
func (f *fleet) updatePlacer(i int) {
	v := f.vms[i]
	self := v.VM
	self.Members = v.members(f.step)
	var willing []VM
	if v.ready(f.step) {
		willing = append(willing, self)
	}
	for j, w := range v.peers {
		if w.at == 0 || f.step-w.at > livenessSteps || !w.willing {
			continue
		}
		if f.vms[j].Address == v.placer && f.step-w.at > placerTimeoutSteps && f.step-v.chosenAt > placerTimeoutSteps {
			v.peers[j].silent = true
		}
		if v.peers[j].silent {
			continue
		}
		o := f.vms[j].VM
		o.Members = w.members
		willing = append(willing, o)
	}
	if v.steppedDown = v.surplus.ShouldStepDown(stepDuration*time.Duration(f.step), IsSurplus(self, f.size, willing)); v.steppedDown {
		willing = slices.DeleteFunc(willing, func(o VM) bool { return o.Address == self.Address })
	}
	current := v.placer
	if current == v.Address && self.Members == 0 {
		current = ""
	}
	chosen := ChoosePlacer(self, f.size, willing, current)
	if chosen == "" {
		chosen = v.Address
	}
	if chosen != v.placer {
		f.changes++
		v.placer, v.chosenAt = chosen, f.step
	}
}

// sendNote makes a VM send its note to the recipients of this step.
func (f *fleet) sendNote(i int) {
	v := f.vms[i]
	places := v.placer == v.Address
	var peers []Peer
	for j, o := range f.vms {
		if j == i {
			continue
		}
		asks := f.step-v.lastAsked[o.Address] < livenessSteps/3 && v.lastAsked[o.Address] > 0
		peers = append(peers, Peer{Address: o.Address, SameDomain: o.Domain == v.Domain, IsPlacer: v.peers[j].at > 0 && !v.peers[j].asks, SameCell: o.Address == v.placer || places && asks})
	}
	r := ChooseRecipients(neighbours(peers), f.step+uint64(i)*7919, places)
	state := peerState{at: f.step, members: v.members(f.step), asks: !places, willing: v.ready(f.step)}
	for _, list := range [][]string{r.Loads, r.State, r.Heartbeats} {
		for _, a := range list {
			o := f.vms[f.index[a]]
			if o.stopped {
				continue
			}
			o.peers[i] = state
			if v.placer == a {
				o.lastAsked[v.Address] = f.step
			}
		}
	}
}

// run simulates a number of steps.
func (f *fleet) run(steps int) {
	for range steps {
		f.step++
		for i, v := range f.vms {
			if !v.stopped {
				f.updatePlacer(i)
				f.sendNote(i)
			}
		}
	}
}

// countByPlacer returns the number of VMs that use each placer.
func (f *fleet) countByPlacer() map[string]int {
	n := make(map[string]int)
	for _, v := range f.vms {
		if !v.stopped {
			n[v.placer]++
		}
	}
	return n
}

// Guards against unstable placers in large failure domains: in a fleet of 295 VMs without a fault
// there were 380 changes of placer a second. Most VMs switched between the same two each half
// second, and 26 VMs were placers where 6 suffice. Each change loses the placer's state. Notes
// come in rotation, so each VM had the member counts of a different moment, and those decided who
// places. VMs kept their placer only in failure domains of up to 24 VMs. The test has domains of
// 11, 49 and 138 VMs without a fault, for ten seconds after the first eight.
func TestPlacersAreStableInLargeDomains(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ vms, domains, placers int }{{66, 6, 6}, {147, 3, 3}, {138, 1, 3}} {
		t.Run(fmt.Sprint(c.vms), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(c.vms, c.domains)
			f.run(80)
			f.changes = 0
			f.run(100)
			t.Logf("%d changes of placer, %d placers", f.changes, len(f.countByPlacer()))
			is.Equal(f.changes, 0)
			is.Equal(len(f.countByPlacer()), c.placers)
		})
	}
}

// Guards against changes at VMs that did not use the lost placer: when a placer is lost, the
// member counts of others change, and VMs that received the new counts switched too. The cause is
// the same as in TestPlacersAreStableInLargeDomains. The test has 147 VMs in three failure
// domains; one placer is lost, and restarts three seconds later.
func TestLostPlacerMovesOnlyItsMembers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(147, 3)
	f.run(80)
	var lost *fleetVM
	for _, v := range f.vms {
		if v.placer == v.Address && (lost == nil || f.countByPlacer()[v.Address] > f.countByPlacer()[lost.Address]) {
			lost = v
		}
	}
	asked := f.countByPlacer()[lost.Address]
	f.changes, lost.stopped = 0, true
	f.run(30)
	t.Logf("lost placer had %d members; %d changes of placer", asked, f.changes)
	// Each of its members may place for itself before it finds the next placer.
	is.True(f.changes <= 2*asked+147/20)
	is.Equal(f.countByPlacer()[lost.Address], 0)
	f.changes = 0
	f.start(lost)
	f.run(100)
	t.Logf("%d changes of placer after its restart", f.changes)
	is.True(f.changes <= 147/20)
}
