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
	// surplusDelay is how long a placer must have been beyond the number that should place:
	// members that are just moving are counted within a second.
	surplusDelay = 2 * time.Second
	// stepDownPeriod is how long it offers itself no more: twice the time in which all VMs of a
	// failure domain of 138 hear of it.
	stepDownPeriod = 8 * time.Second
)

// IsSurplus says whether self places for others though as many VMs as should place have
// more members. willing are the VMs that are heard, self included.
func IsSurplus(self VM, fleet FleetSize, willing []VM) bool {
	if self.Members == 0 {
		return false
	}
	ranked := RankPlacers(candidates(self, fleet, willing))
	rank := slices.IndexFunc(ranked, func(v VM) bool { return v.Address == self.Address })
	return rank >= fleet.placerCount() && ranked[fleet.placerCount()-1].Members > 0
}

// HasActivePlacer says whether a VM other than self, of those that may place for it, does so for
// others already. willing are the VMs that are heard.
func HasActivePlacer(self VM, fleet FleetSize, willing []VM) bool {
	return slices.ContainsFunc(candidates(self, fleet, willing), func(v VM) bool { return v.Address != self.Address && v.Members > 0 })
}

// SurplusDetector decides when a placer steps down. The zero value has seen nothing.
type SurplusDetector struct {
	// surplusSince is when it was first seen to be one too many, downUntil when it offers no places.
	surplusSince, downUntil time.Duration
	wasSurplus              bool
}

// ShouldStepDown says whether to offer no places now, from whether this VM is one too many.
func (s *SurplusDetector) ShouldStepDown(now time.Duration, isSurplus bool) bool {
	switch {
	case now < s.downUntil:
		return true
	case !isSurplus:
		s.wasSurplus = false
	case !s.wasSurplus:
		s.wasSurplus, s.surplusSince = true, now
	case now-s.surplusSince >= surplusDelay:
		s.wasSurplus, s.downUntil = false, now+stepDownPeriod
		return true
	}
	return false
}
