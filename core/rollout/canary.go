package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/chivefield/chivefield/rendezvous"
)

// minCanaryEndpoints is the minimum number of canary endpoints, if the new version has as many.
// With a single one, a faulty endpoint cannot be told from a bad version.
const minCanaryEndpoints = 2

// maxSlots bounds the number of groups into which evidence divides the endpoints of the new
// version, so that the reports that VMs exchange do not grow with the service.
const maxSlots = 16

// AssignSlots maps the keys of the new version's endpoints to the numbers, from 1 on, under which
// evidence counts them. All VMs with the same list of endpoints compute the same numbers. If there
// are more than maxSlots endpoints, several share a number.
func AssignSlots(keys []string) map[string]uint64 {
	slots := make(map[string]uint64, len(keys))
	for i, key := range slices.Sorted(slices.Values(keys)) {
		slots[key] = 1 + uint64(i%maxSlots)
	}
	return slots
}

// CanaryEndpoints returns the keys of the new version's endpoints that serve canary requests: so
// few that each gets about as many requests as an endpoint of the old version, since a version
// that is bad under load looks good without. All VMs choose the same endpoints.
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
