package cell

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func deployment(n, domains int) []VM {
	var vms []VM
	for i := range n {
		vms = append(vms, VM{Address: fmt.Sprintf("10.0.0.%d:7600", i), Domain: fmt.Sprint(i % domains), CPUShare: 0.4})
	}
	return vms
}

// fleetOf counts the VMs in self's region and failure domain.
func fleetOf(self VM, vms []VM) FleetSize {
	var f FleetSize
	for _, v := range vms {
		if v.Region == self.Region {
			f.Region++
		}
		if v.Domain == self.Domain {
			f.Domain++
		}
	}
	return f
}

// A small deployment is one cell over all failure domains; a large one has cells of bounded size
// within each.
func TestCellSizes(t *testing.T) {
	for _, c := range []struct{ vms, domains, placers int }{{8, 4, 1}, {66, 4, 4}, {300, 4, 8}, {1800, 13, 39}} {
		is := is.New(t)
		vms := deployment(c.vms, c.domains)
		members := make(map[string]int)
		domain := make(map[string]string)
		for _, v := range vms {
			domain[v.Address] = v.Domain
		}
		for _, v := range vms {
			p := ChoosePlacer(v, fleetOf(v, vms), vms, "")
			members[p]++
			if c.vms > maxSingleCellVMs {
				is.Equal(domain[p], v.Domain)
			}
		}
		is.Equal(len(members), c.placers)
		for _, n := range members {
			is.True(n < 2*targetCellSize)
		}
	}
}

// Guards against long waits for placement decisions: of VMs whose CPU differs fourfold, the
// smallest was the placer for all. The largest must be the placer.
func TestLargestVMIsPlacer(t *testing.T) {
	is := is.New(t)
	vms := deployment(16, 4)
	vms[5].CPUShare = 0.8
	for _, v := range vms {
		is.Equal(ChoosePlacer(v, fleetOf(v, vms), vms, ""), vms[5].Address)
	}
}

// When the placer is lost, all VMs agree on the next one. Without any willing VM, each places for
// itself.
func TestLostPlacerIsReplaced(t *testing.T) {
	is := is.New(t)
	vms := deployment(8, 4)
	first := ChoosePlacer(vms[0], fleetOf(vms[0], vms), vms, "")
	var left []VM
	for _, v := range vms {
		if v.Address != first {
			left = append(left, v)
		}
	}
	next := ChoosePlacer(vms[0], fleetOf(vms[0], vms), left, "")
	is.True(next != first)
	for _, v := range vms {
		is.Equal(ChoosePlacer(v, fleetOf(v, vms), left, ""), next)
	}
	is.Equal(ChoosePlacer(vms[0], fleetOf(vms[0], vms), nil, ""), "")
}

// Guards against traffic per VM that grows with the deployment: at 300 VMs each sent 386 KB a
// second, nine tenths of it across failure domains. Every VM sent its loads to 22 others ten
// times a second, whether or not they place requests, and few do. The test has 1,800 VMs in 13
// failure domains.
func TestTrafficDoesNotGrowWithTheDeployment(t *testing.T) {
	is := is.New(t)
	vms := deployment(1800, 13)
	self := vms[0]
	placerOf := make(map[string]string)
	placers := make(map[string]bool)
	for _, v := range vms {
		placerOf[v.Address] = ChoosePlacer(v, fleetOf(v, vms), vms, "")
		placers[placerOf[v.Address]] = true
	}
	ownPlacer := placerOf[self.Address]
	is.True(ownPlacer != self.Address)
	var peers []Peer
	for _, v := range vms[1:] {
		peers = append(peers, Peer{Address: v.Address, SameDomain: v.Domain == self.Domain, IsPlacer: placers[v.Address], SameCell: v.Address == ownPlacer})
	}
	received := make(map[string]int)
	for i := range uint64(100) {
		r := ChooseRecipients(neighbours(peers), i, false)
		is.True(len(r.Heartbeats) <= maxHeartbeatsSameDomain+maxHeartbeatsOtherDomains)
		is.Equal(r.Loads, []string{ownPlacer})
		for _, a := range r.Heartbeats {
			received[a]++
		}
	}
	near := 0
	for _, v := range vms {
		if v.Domain == self.Domain && v != self && v.Address != ownPlacer {
			is.True(received[v.Address] > 0)
			near++
		}
	}
	is.True(near > 100)
}

// Guards against many late requests for seconds each time a VM restarts. The placer restarts and
// the next VM takes over; when the first is back, it ranked first again but had no load data,
// because the rank depended on CPU and hash alone. A placer must stay unless it has far less CPU.
func TestPlacerIsSticky(t *testing.T) {
	is := is.New(t)
	vms := deployment(8, 4)
	first := ChoosePlacer(vms[0], fleetOf(vms[0], vms), vms, "")
	for i := range vms {
		if vms[i].Address == first {
			continue
		}
		vms[i].Members = 7
		is.Equal(ChoosePlacer(vms[0], fleetOf(vms[0], vms), vms, ""), vms[i].Address)
		next := Successors(vms[i], fleetOf(vms[i], vms), vms)
		is.Equal(len(next), successorCount)
		is.True(next[0] != vms[i].Address)
		is.Equal(ChoosePlacer(vms[0], fleetOf(vms[0], vms), vms, first), vms[i].Address)
		vms[i].Members = 1
		is.Equal(ChoosePlacer(vms[0], fleetOf(vms[0], vms), vms, first), first)
		vms[i].CPUShare = 0.1
		is.Equal(ChoosePlacer(vms[0], fleetOf(vms[0], vms), vms, vms[i].Address), first)
		vms[i].CPUShare, vms[i].Members = 0.4, 0
	}
}

// Guards against a wait of 120 ms before each placement. With eight VMs in two regions, 50 ms
// apart, the placer was in the other region, and its decisions arrived after the VM had asked
// three times, because a small deployment was one cell across regions.
func TestCellsStayWithinARegion(t *testing.T) {
	is := is.New(t)
	vms := deployment(8, 4)
	region := make(map[string]string)
	for i := range vms {
		vms[i].Region = fmt.Sprint(i % 2)
		region[vms[i].Address] = vms[i].Region
	}
	for _, v := range vms {
		is.Equal(region[ChoosePlacer(v, fleetOf(v, vms), vms, "")], v.Region)
	}
}

// neighbours returns peers as Neighbours.
func neighbours(peers []Peer) Neighbours {
	n := Neighbours{WithRole: peers}
	for _, p := range peers {
		if p.SameDomain {
			n.Near = append(n.Near, p.Address)
		} else {
			n.Far = append(n.Far, p.Address)
		}
	}
	return n
}
