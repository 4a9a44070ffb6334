package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/core/members"
)

// Uses returns this VM's load at the endpoints it uses, with paces also at those
// whose pace it knows.
func (s *Scheduler) Uses(now time.Duration, paces bool) []NamedUse {
	var uses []NamedUse
	for _, sv := range s.services {
		for _, ep := range sv.list {
			u := ep.placedUse(now, sv.pace.readOf(ep, 0))
			u.Doubted, u.Gone = ep.health.doubted && ep.health.probes > 0, ep.health.gone
			u.Ejected = ep.health.ejection.on
			u.Fresh = ep.takeFresh()
			if u.Running+u.Waiting > 0 || paces && u.Gap > 0 || u.Fresh > 0 || u.Doubted || u.Gone || u.Ejected {
				uses = append(uses, NamedUse{ep.name, u})
			}
		}
	}
	return uses
}

// NameOf is the short name by which VMs tell each other of an endpoint, from its key.
func NameOf(key string) uint64 { return members.KeyHash(key) }

// NamedUse is a load with the short name of its endpoint.
type NamedUse struct {
	Name uint64
	Use
}

// PeerUses takes in the whole load that another VM has placed. Endpoints that it
// does not name, it does not use. places says whether that VM places requests by
// itself: one that asks another VM takes no slots of its own accord.
func (s *Scheduler) PeerUses(now time.Duration, vm, domain string, uses []NamedUse, places bool) {
	i, ok := s.vms[vm]
	if !ok {
		i = len(s.lastNote)
		s.vms[vm] = i
		s.lastNote = append(s.lastNote, 0)
		s.near = append(s.near, domain == s.domain)
		s.others = append(s.others, otherVM{name: xxhash.Sum64String(vm), domain: domain})
	}
	if s.others[i].places != places {
		s.others[i].places = places
		s.placers++
	}
	s.others[i].heard(now, s.lastNote[i])
	s.lastNote[i] = now
	for _, u := range uses {
		ep := s.byName[u.Name]
		if ep == nil {
			continue
		}
		s.checkUse(&u.Use)
		// A VM that asks another sends no requests on trial by itself.
		u.Ejected = u.Ejected && places
		ep.setOther(peerUse{u.Use, i, now})
		ep.hearPace(now, u.Use, places)
		if u.Doubted && !s.asks && !s.off.Has(mechanism.PeerDoubts) {
			ep.peerDoubts(now)
		}
		ep.health.gone = ep.health.gone || u.Gone
		if u.Ejected {
			ep.peerEjects(now, s.service(ep.Service))
		}
	}
}
