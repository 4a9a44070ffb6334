package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/chivefield/chivefield/rendezvous"
)

// leastTrial is the least number of endpoints that are tried, if there are so many: of one
// alone nobody can say whether it or the version is sick.
const leastTrial = 2

// TrialEndpoints picks the endpoints of the new version that get the requests of trials, by
// their keys: so few that each gets about as many as one of the old version, since a version
// that is bad under load looks good without. All VMs pick the same.
func (o Order) TrialEndpoints(keys []string, old int, share float64) map[string]bool {
	n := max(leastTrial, int(math.Round(share*float64(old))))
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
