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
	// wholeDeployment is up to how many VMs of a region's failure domains are one cell:
	// few enough that each hears each other ten times a second.
	wholeDeployment = 24
	// cellSize bounds the VMs of a cell. Several placers before the same engines take the
	// same slots, so a failure domain has as few as can carry the work.
	cellSize = 64
	// placerKey is hashed with the VMs' addresses to rank them.
	placerKey = "placer"
)

// VM is one that is heard and willing to place requests for others.
type VM struct {
	Address, Domain string
	// Region is that of the failure domain; a question across regions would take longer
	// than a request may wait.
	Region string
	// Share is its part of a core: placing costs time.
	Share float64
	// Members is how many VMs ask it now.
	Members int
}

// Fleet is how many VMs are known, whether they were heard lately or not: all VMs agree on
// that from the store's list, where each hears others only in turns.
type Fleet struct {
	// Region and Domain are those of the own region and failure domain, this one included.
	Region, Domain int
}

// whole says whether the region's VMs are one cell.
func (f Fleet) whole() bool { return f.Region <= wholeDeployment }

// placers is how many VMs place requests in the region or the failure domain.
func (f Fleet) placers() int {
	if f.whole() {
		return 1
	}
	return (f.Domain + cellSize - 1) / cellSize
}

// shareWorthMoving is how many times the part of a core, or the members, of the VM
// that places now another must have to take over: a change costs what the old one knew.
const shareWorthMoving = 2

// Ranked orders VMs by who should place: those that do it already, then those with the
// most processor time. Without that a VM that was restarted takes its place back at once,
// knowing no loads, and sends requests to engines that are full.
func Ranked(vms []VM) []VM {
	most := 0.0
	for _, v := range vms {
		most = max(most, v.Share)
	}
	members := func(v VM) int {
		if v.Share*shareWorthMoving < most {
			return 0
		}
		return v.Members
	}
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b VM) int {
		if c := cmp.Compare(members(b), members(a)); c != 0 {
			return c
		}
		if c := cmp.Compare(b.Share, a.Share); c != 0 {
			return c
		}
		return rendezvous.Compare(placerKey, a.Address, b.Address)
	})
	return ranked
}

// Placer is the address of the VM that places the requests of self, which may be
// self. willing are the VMs that are heard, self included if it is willing; empty if
// there is none. current is the placer so far: self stays with it while it is willing
// and none of those that should place has far more members or processor time, else VMs
// that change at the same moment would follow each other to and fro, and each change
// loses what the placer knew of the engines.
func Placer(self VM, fleet Fleet, willing []VM, current string) string {
	group := groupOf(self, fleet, willing)
	if len(group) == 0 {
		return ""
	}
	ranked := Ranked(group)
	placers := ranked[:min(len(ranked), fleet.placers())]
	i := slices.IndexFunc(ranked, func(v VM) bool { return v.Address == current })
	if i >= 0 && (i < len(placers) || !worthMoving(ranked[i], placers[len(placers)-1])) {
		return current
	}
	return slices.MinFunc(placers, func(a, b VM) int { return rendezvous.Compare(self.Address, a.Address, b.Address) }).Address
}

// worthMoving says whether to move from a placer to another.
func worthMoving(from, to VM) bool {
	return to.Members >= shareWorthMoving*max(1, from.Members) || to.Share >= shareWorthMoving*from.Share
}

// groupOf are the VMs among which self finds its placer.
func groupOf(self VM, fleet Fleet, willing []VM) []VM {
	near := slices.DeleteFunc(slices.Clone(willing), func(v VM) bool { return v.Region != self.Region })
	if !fleet.whole() {
		return ofDomain(near, self.Domain)
	}
	return near
}

// successors is how many VMs hear of a placer's loads in case they have to follow it.
const successors = 2

// Successors are those that would place next if the VM self, which places, were lost.
func Successors(self VM, fleet Fleet, willing []VM) []string {
	var next []string
	for _, v := range Ranked(groupOf(self, fleet, willing)) {
		if v.Address != self.Address && len(next) < successors {
			next = append(next, v.Address)
		}
	}
	return next
}

func ofDomain(vms []VM, domain string) []VM {
	return slices.DeleteFunc(slices.Clone(vms), func(v VM) bool { return v.Domain != domain })
}
