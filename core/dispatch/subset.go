package dispatch

import (
	"cmp"
	"slices"

	"github.com/chivefield/chivefield/core/members"
)

// A VM of a large deployment uses only a subset of the endpoints. Otherwise the cost of a
// decision and the number of connections would grow with the deployment, and the load reports
// for most endpoints would be too old. The subset has a fixed size and is chosen by hash, so
// that each endpoint is used by about the same number of VMs.

const (
	// maxUsedEndpoints is the number of endpoints of a service that a VM uses. It bounds the
	// time of a decision.
	maxUsedEndpoints = 128
	// minFarEndpoints of them are in other failure domains, in case the VM's own domain fails.
	minFarEndpoints = maxUsedEndpoints / 4
	// minVersionEndpoints of each software version are used besides, if the subset has fewer: streams
	// that the version began can go on nowhere else.
	minVersionEndpoints = 4
)

// chooseSubset returns the endpoints that this VM uses.
func (s *Scheduler) chooseSubset(list []*members.Endpoint) []*members.Endpoint {
	if len(list) <= maxUsedEndpoints {
		return list
	}
	var near, far []*members.Endpoint
	for _, m := range list {
		if m.FailureDomain == s.domain {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	near = s.highestWeighted(near, max(maxUsedEndpoints-minFarEndpoints, maxUsedEndpoints-len(far)))
	far = s.highestWeighted(far, maxUsedEndpoints-len(near))
	chosen := s.addVersions(append(near, far...), list)
	slices.SortFunc(chosen, func(a, b *members.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

// addVersions adds endpoints of the versions in list of which fewer than minVersionEndpoints were chosen.
func (s *Scheduler) addVersions(chosen, list []*members.Endpoint) []*members.Endpoint {
	byVersion := make(map[string][]*members.Endpoint)
	for _, m := range list {
		byVersion[m.Version] = append(byVersion[m.Version], m)
	}
	if len(byVersion) == 1 {
		return chosen
	}
	used := make(map[string]bool, len(chosen))
	count := make(map[string]int, len(byVersion))
	for _, m := range chosen {
		used[m.Key()] = true
		count[m.Version]++
	}
	for version, all := range byVersion {
		if count[version] >= minVersionEndpoints {
			continue
		}
		for _, m := range s.highestWeighted(all, minVersionEndpoints) {
			if !used[m.Key()] {
				chosen = append(chosen, m)
			}
		}
	}
	return chosen
}

// highestWeighted returns the n endpoints with the highest rendezvous-hash weight for this VM.
func (s *Scheduler) highestWeighted(list []*members.Endpoint, n int) []*members.Endpoint {
	if len(list) <= n {
		return list
	}
	type weighed struct {
		m *members.Endpoint
		w uint64
	}
	ranked := make([]weighed, 0, len(list))
	for _, m := range list {
		ranked = append(ranked, weighed{m, weight(EndpointHash(m.Key()), s.placer)})
	}
	slices.SortFunc(ranked, func(a, b weighed) int { return cmp.Compare(b.w, a.w) })
	picked := make([]*members.Endpoint, 0, n)
	for _, r := range ranked[:n] {
		picked = append(picked, r.m)
	}
	return picked
}
