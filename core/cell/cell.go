// Package cell divides VMs into cells. The VMs of a cell let one of them, the placer,
// place their requests: with one queue no slot of an engine goes to a lower tier while
// a higher one waits at another VM, and nobody takes a slot that somebody else took a
// moment ago.
//
// Load it answers: one and a half to three times what the engines do. The fewer VMs place,
// the more is served in time then (docs/CAPACITY.md).
//
// Nothing is elected or agreed on. Each VM works out its placer from the VMs that it
// hears; if two disagree for a moment, both place, as if they were two cells. A VM that
// hears nothing from its placer places for itself.
package cell

import (
	"cmp"
	"slices"

	"github.com/chivefield/chivefield/rendezvous"
)

const (
	// maxSingleCellVMs is up to how many VMs of a region's failure domains are one cell:
	// few enough that each hears each other ten times a second.
	maxSingleCellVMs = 24
	// targetCellSize bounds the VMs of a cell. Several placers before the same engines take the
	// same slots, so a failure domain has as few as can carry the work.
	targetCellSize = 64
	// placerHashKey is hashed with the VMs' addresses to rank them.
	placerHashKey = "placer"
)

// VM is one that is heard and willing to place requests for others.
type VM struct {
	Address, Domain string
	// Region is that of the failure domain; a question across regions would take longer
	// than a request may wait.
	Region string
	// CPUShare is its part of a core: placing costs time.
	CPUShare float64
	// Members is how many VMs ask it now.
	Members int
}

// FleetSize is how many VMs are known, whether they were heard lately or not: all VMs agree on
// that from the store's list, where each hears others only in turns.
type FleetSize struct {
	// Region and Domain are those of the own region and failure domain, this one included.
	Region, Domain int
}

// singleCell says whether the region's VMs are one cell.
func (f FleetSize) singleCell() bool { return f.Region <= maxSingleCellVMs }

// placerCount is how many VMs place requests in the region or the failure domain.
func (f FleetSize) placerCount() int {
	if f.singleCell() {
		return 1
	}
	return (f.Domain + targetCellSize - 1) / targetCellSize
}

// switchFactor is how many times the part of a core, or the members, of the VM
// that places now another must have to take over: a change costs what the old one knew.
const switchFactor = 2

// RankPlacers orders VMs by who should place: those that do it already, then those with the
// most processor time. Without that a VM that was restarted takes its place back at once,
// knowing no loads, and sends requests to engines that are full.
func RankPlacers(vms []VM) []VM {
	maxShare := 0.0
	for _, v := range vms {
		maxShare = max(maxShare, v.CPUShare)
	}
	members := func(v VM) int {
		if v.CPUShare*switchFactor < maxShare {
			return 0
		}
		return v.Members
	}
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b VM) int {
		if c := cmp.Compare(members(b), members(a)); c != 0 {
			return c
		}
		if c := cmp.Compare(b.CPUShare, a.CPUShare); c != 0 {
			return c
		}
		return rendezvous.Compare(placerHashKey, a.Address, b.Address)
	})
	return ranked
}

// ChoosePlacer is the address of the VM that places the requests of self, which may be
// self. willing are the VMs that are heard, self included if it is willing; empty if
// there is none. current is the placer so far: self stays with it while it is willing
// and none of those that should place has far more members or processor time, else VMs
// that change at the same moment would follow each other to and fro, and each change
// loses what the placer knew of the engines.
func ChoosePlacer(self VM, fleet FleetSize, willing []VM, current string) string {
	group := candidates(self, fleet, willing)
	if len(group) == 0 {
		return ""
	}
	ranked := RankPlacers(group)
	placers := ranked[:min(len(ranked), fleet.placerCount())]
	i := slices.IndexFunc(ranked, func(v VM) bool { return v.Address == current })
	if i >= 0 && (i < len(placers) || !shouldSwitch(ranked[i], placers[len(placers)-1])) {
		return current
	}
	return slices.MinFunc(placers, func(a, b VM) int { return rendezvous.Compare(self.Address, a.Address, b.Address) }).Address
}

// shouldSwitch says whether to move from a placer to another.
func shouldSwitch(from, to VM) bool {
	return to.Members >= switchFactor*max(1, from.Members) || to.CPUShare >= switchFactor*from.CPUShare
}

// candidates are the VMs among which self finds its placer.
func candidates(self VM, fleet FleetSize, willing []VM) []VM {
	sameRegion := slices.DeleteFunc(slices.Clone(willing), func(v VM) bool { return v.Region != self.Region })
	if !fleet.singleCell() {
		return inDomain(sameRegion, self.Domain)
	}
	return sameRegion
}

// successorCount is how many VMs hear of a placer's loads in case they have to follow it.
const successorCount = 2

// Successors are those that would place next if the VM self, which places, were lost.
func Successors(self VM, fleet FleetSize, willing []VM) []string {
	var next []string
	for _, v := range RankPlacers(candidates(self, fleet, willing)) {
		if v.Address != self.Address && len(next) < successorCount {
			next = append(next, v.Address)
		}
	}
	return next
}

func inDomain(vms []VM, domain string) []VM {
	return slices.DeleteFunc(slices.Clone(vms), func(v VM) bool { return v.Domain != domain })
}
