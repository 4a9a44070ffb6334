package cell

import (
	"slices"
	"time"
)

// When VMs start together, or a failure domain was cut, more VMs than needed may have been
// chosen as placers, each by some. All who ask them stay where they are, and several
// placers fill the same engines twice. The placer itself steps down: it hears the others
// ten times a second, and one that decides moves its members once, where members that
// compare placers by what they heard seconds apart go to and fro.

const (
	// surplusFor is how long a placer must have been beyond the number that should place:
	// members that are just moving are counted within a second.
	surplusFor = 2 * time.Second
	// downFor is how long it offers itself no more: twice the time in which all VMs of a
	// failure domain of 138 hear of it.
	downFor = 8 * time.Second
)

// IsSurplus says whether self places for others though as many VMs as should place have
// more members. willing are the VMs that are heard, self included.
func IsSurplus(self VM, fleet Fleet, willing []VM) bool {
	if self.Members == 0 {
		return false
	}
	ranked := Ranked(groupOf(self, fleet, willing))
	before := slices.IndexFunc(ranked, func(v VM) bool { return v.Address == self.Address })
	return before >= fleet.placers() && ranked[fleet.placers()-1].Members > 0
}

// Placed says whether a VM other than self, of those that may place for it, does so for
// others already. willing are the VMs that are heard.
func Placed(self VM, fleet Fleet, willing []VM) bool {
	return slices.ContainsFunc(groupOf(self, fleet, willing), func(v VM) bool { return v.Address != self.Address && v.Members > 0 })
}

// Surplus decides when a placer steps down. The zero value has seen nothing.
type Surplus struct {
	// since is when it was first seen to be one too many, until when it offers no places.
	since, until time.Duration
	seen         bool
}

// StepsDown says whether to offer no places now, from whether this VM is one too many.
func (s *Surplus) StepsDown(now time.Duration, surplus bool) bool {
	switch {
	case now < s.until:
		return true
	case !surplus:
		s.seen = false
	case !s.seen:
		s.seen, s.since = true, now
	case now-s.since >= surplusFor:
		s.seen, s.until = false, now+downFor
		return true
	}
	return false
}
