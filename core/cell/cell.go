// Package cell divides VMs into cells. The VMs of a cell send their placement requests to one of
// them, the placer. With a single queue, no slot of an engine goes to a lower tier while a
// request of a higher tier waits at another VM, and no VM assigns a slot that another VM assigned
// a moment ago.
//
// It is designed for overload of one and a half to three times what the engines can serve. The
// fewer VMs place requests, the more requests are then served in time (docs/CAPACITY.md).
//
// There is no election and no consensus. Each VM computes its placer from the VMs whose
// heartbeats it receives. If two disagree for a moment, both place, as if they were two cells. A
// VM that receives nothing from its placer places its own requests.
package cell

import (
	"cmp"
	"slices"

	"github.com/chivefield/chivefield/rendezvous"
)

const (
	// maxSingleCellVMs is the largest number of VMs in a region that form one cell: few enough
	// that each receives the notes of each other ten times a second.
	maxSingleCellVMs = 24
	// targetCellSize is the number of VMs of a failure domain per placer. Several placers for the
	// same engines assign the same slots, so a failure domain has as few placers as can carry the
	// load.
	targetCellSize = 64
	// placerHashKey is hashed with the VMs' addresses to rank them.
	placerHashKey = "placer"
)

// VM is a live VM that is willing to place requests for others.
type VM struct {
	Address, Domain string
	// Region is the region of its failure domain. A placement request to another region would
	// take longer than a request may wait.
	Region string
	// CPUShare is its share of a CPU core. Placement takes CPU time.
	CPUShare float64
	// Members is the number of VMs that send it placement requests now.
	Members int
}

// FleetSize is the number of known VMs, whether alive or not. All VMs agree on it, because it
// comes from the list in the store, while they receive heartbeats of others only in rotation.
type FleetSize struct {
	// Region and Domain count the VMs of this VM's region and failure domain, this VM included.
	Region, Domain int
}

// singleCell reports whether the region's VMs form one cell.
func (f FleetSize) singleCell() bool { return f.Region <= maxSingleCellVMs }

// placerCount returns the number of placers in the region or the failure domain.
func (f FleetSize) placerCount() int {
	if f.singleCell() {
		return 1
	}
	return (f.Domain + targetCellSize - 1) / targetCellSize
}

// switchFactor is how many times as much CPU, or as many members, another VM must have to replace
// the current placer. A change loses the state that the old placer had.
const switchFactor = 2

// RankPlacers sorts VMs by preference as placer: first those with most members, then those with
// most CPU. Members of a VM with far less CPU than the largest do not count. Without the first
// criterion a restarted VM would become placer again at once, without any load data, and send
// requests to engines that are full.
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

// ChoosePlacer returns the address of the VM that places the requests of self, which may be self.
// It returns "" if there is none. willing are the live VMs that offer to place, including self if
// it does. current is the placer so far. It is kept while it is willing and none of the preferred
// placers has far more members or CPU: otherwise VMs that switch at the same moment would follow
// each other back and forth, and each switch loses the placer's knowledge of the engines.
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

// shouldSwitch reports whether to switch from one placer to another.
func shouldSwitch(from, to VM) bool {
	return to.Members >= switchFactor*max(1, from.Members) || to.CPUShare >= switchFactor*from.CPUShare
}

// candidates returns the VMs from which self chooses its placer.
func candidates(self VM, fleet FleetSize, willing []VM) []VM {
	sameRegion := slices.DeleteFunc(slices.Clone(willing), func(v VM) bool { return v.Region != self.Region })
	if !fleet.singleCell() {
		return inDomain(sameRegion, self.Domain)
	}
	return sameRegion
}

// successorCount is the number of VMs that receive a placer's loads in case they have to replace
// it.
const successorCount = 2

// Successors returns the VMs that would be placers next if the placer self were lost.
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
