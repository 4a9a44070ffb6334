package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/core/members"
)

// Loads returns this VM's load at the endpoints that it uses. With includeGaps it also returns
// those that have no load but a known event gap.
func (s *Scheduler) Loads(now time.Duration, includeGaps bool) []EndpointLoad {
	var loads []EndpointLoad
	for _, sv := range s.services {
		for _, ep := range sv.list {
			load := ep.placedLoad(now, sv.latency.prefillTime(ep, 0))
			load.SuspectedDown, load.Replaced = ep.health.suspectedDown && ep.health.probes > 0, ep.health.replaced
			load.Ejected = ep.health.ejection.active
			load.RecentGap = ep.takeUnreportedGap()
			load.LearnedLimit, load.LearnedAge = s.learnedFor(now, ep)
			if load.Running+load.Waiting > 0 || includeGaps && load.EventGap > 0 || load.RecentGap > 0 || load.SuspectedDown || load.Replaced || load.Ejected || load.LearnedLimit > 0 {
				loads = append(loads, EndpointLoad{ep.hash, load})
			}
		}
	}
	return loads
}

// EndpointHash returns the hash of an endpoint's key, by which VMs refer to the endpoint in
// notes.
func EndpointHash(key string) uint64 { return members.EndpointHash(key) }

// EndpointLoad is the load of the endpoint with the given hash.
type EndpointLoad struct {
	EndpointHash uint64
	Load
}

// ApplyPeerLoads replaces the loads reported by another VM. Endpoints that are not listed have
// no load from it. isPlacer reports whether that VM places requests itself: one that delegates
// placement takes no slots on its own.
func (s *Scheduler) ApplyPeerLoads(now time.Duration, vm, domain string, loads []EndpointLoad, isPlacer bool) {
	i, ok := s.peerIndex[vm]
	if !ok {
		i = len(s.lastNote)
		s.peerIndex[vm] = i
		s.lastNote = append(s.lastNote, 0)
		s.sameDomain = append(s.sameDomain, domain == s.domain)
		s.peers = append(s.peers, peerVM{hash: xxhash.Sum64String(vm), domain: domain})
	}
	if s.peers[i].isPlacer != isPlacer {
		s.peers[i].isPlacer = isPlacer
		s.placerChanges++
	}
	s.peers[i].recordNote(now, s.lastNote[i])
	s.lastNote[i] = now
	for _, load := range loads {
		ep := s.byHash[load.EndpointHash]
		if ep == nil {
			continue
		}
		s.clampLoad(&load.Load)
		// A VM that delegates placement sends no trial requests on its own.
		load.Ejected = load.Ejected && isPlacer
		ep.setPeerLoad(peerLoad{load.Load, i, now})
		ep.applyPeerGap(now, load.Load, isPlacer)
		s.learnFromPeerGap(now, ep, load.Load, isPlacer)
		if load.SuspectedDown && !s.delegates && !s.disabled.Has(mechanism.PeerDoubts) {
			ep.applyPeerSuspicion(now)
		}
		ep.health.replaced = ep.health.replaced || load.Replaced
		if load.Ejected {
			ep.applyPeerEjection(now, s.service(ep.Service))
		}
	}
}
