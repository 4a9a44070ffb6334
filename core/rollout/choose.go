package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/chivefield/chivefield/rendezvous"
)

// minCanaryEndpoints is the least number of endpoints that are tried, if there are so many: of one
// alone nobody can say whether it or the version is sick.
const minCanaryEndpoints = 2

// maxSlots bounds the endpoints of the new version that are told apart in the evidence, so that
// what VMs tell each other does not grow with the service.
const maxSlots = 16

// AssignSlots numbers the endpoints of the new version from 1 on, by their keys, as evidence tells them
// apart. All VMs that know the same endpoints number them alike; of many several share a number.
func AssignSlots(keys []string) map[string]uint64 {
	slots := make(map[string]uint64, len(keys))
	for i, key := range slices.Sorted(slices.Values(keys)) {
		slots[key] = 1 + uint64(i%maxSlots)
	}
	return slots
}

// CanaryEndpoints picks the endpoints of the new version that get the requests of trials, by
// their keys: so few that each gets about as many as one of the old version, since a version
// that is bad under load looks good without. All VMs pick the same.
func (o Order) CanaryEndpoints(keys []string, old int, share float64) map[string]bool {
	n := max(minCanaryEndpoints, int(math.Round(share*float64(old))))
	ranked := slices.Clone(keys)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Compare(rendezvous.Hash(o.Version, b), rendezvous.Hash(o.Version, a))
	})
	picked := make(map[string]bool, n)
	for _, k := range ranked[:min(n, len(ranked))] {
		picked[k] = true
	}
	return picked
}
