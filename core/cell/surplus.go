package cell

import (
	"slices"
	"time"
)

// When VMs start together, or after a failure domain was partitioned, different VMs may have
// chosen different placers, so that there are more placers than needed. Members keep their
// placer, and several placers then assign the same engine slots twice. Therefore a surplus placer
// itself steps down. It receives the other placers' notes ten times a second, and its decision
// moves its members once. Members that compared placers by notes received seconds apart would
// switch back and forth.

const (
	// surplusDelay is how long a placer must be surplus before it steps down: members that are
	// just switching are counted within a second.
	surplusDelay = 2 * time.Second
	// stepDownPeriod is how long it does not offer to place: twice the time in which all VMs of a
	// failure domain of 138 receive that.
	stepDownPeriod = 8 * time.Second
)

// IsSurplus reports whether self has members although as many VMs as should be placers rank
// before it and have members. willing are the live VMs that offer to place, including self.
func IsSurplus(self VM, fleet FleetSize, willing []VM) bool {
	if self.Members == 0 {
		return false
	}
	ranked := RankPlacers(candidates(self, fleet, willing))
	rank := slices.IndexFunc(ranked, func(v VM) bool { return v.Address == self.Address })
	return rank >= fleet.placerCount() && ranked[fleet.placerCount()-1].Members > 0
}

// HasActivePlacer reports whether a VM other than self, among those that may place for it, has
// members already. willing are the live VMs that offer to place.
func HasActivePlacer(self VM, fleet FleetSize, willing []VM) bool {
	return slices.ContainsFunc(candidates(self, fleet, willing), func(v VM) bool { return v.Address != self.Address && v.Members > 0 })
}

// SurplusDetector decides when a placer steps down. Its zero value is ready to use.
type SurplusDetector struct {
	// surplusSince is when the placer was first seen to be surplus, downUntil is the time until
	// which it does not offer to place.
	surplusSince, downUntil time.Duration
	wasSurplus              bool
}

// ShouldStepDown reports whether this VM should not offer to place now, given whether it is
// surplus.
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
