package entry

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/rollout"
)

// usableEndpoints returns the endpoints of a service that may get requests now. Those that only
// some requests may go to are marked as canaries.
func (r *rollouts) usableEndpoints(now time.Duration, service string, list []*members.Endpoint) []*members.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordVersions(now, service, list)
	m := r.byService[service]
	if m == nil {
		return r.settledEndpoints(now, service, list)
	}
	return m.usableEndpoints(now, list, r.d.settings.Bounds.ExposureShare)
}

// recordVersions records since when versions are listed. Versions found when a process first reads
// the registry count as settled.
func (r *rollouts) recordVersions(now time.Duration, service string, list []*members.Endpoint) {
	if len(list) == 0 {
		return
	}
	known := r.versions[service]
	first := known == nil
	if first {
		known = make(map[string]time.Duration)
		r.versions[service] = known
	}
	for _, e := range list {
		if _, ok := known[e.Version]; ok {
			continue
		}
		known[e.Version] = now
		if first {
			known[e.Version] = now - r.d.versionSettleTime()
		}
	}
}

// versionSettleTime returns how long a version without an order must be listed before it is used: at least
// for as long as a VM takes the registry that it has for up to date, so that no stream begins at a version
// of which such a VM does not know.
func (d *Daemon) versionSettleTime() time.Duration {
	return max(minVersionSettleTime, d.registryConfirmTimeout())
}

// settledEndpoints returns the endpoints of versions that have settled, or all if there are none.
func (r *rollouts) settledEndpoints(now time.Duration, service string, list []*members.Endpoint) []*members.Endpoint {
	known, settle := r.versions[service], r.d.versionSettleTime()
	unsettled := func(e *members.Endpoint) bool { return now-known[e.Version] < settle }
	if !slices.ContainsFunc(list, unsettled) {
		return list
	}
	usable := slices.DeleteFunc(slices.Clone(list), unsettled)
	if len(usable) == 0 {
		return list
	}
	return usable
}

func (m *rolloutState) usableEndpoints(now time.Duration, list []*members.Endpoint, bound float64) []*members.Endpoint {
	var old, updated []*members.Endpoint
	var keys []string
	for _, e := range list {
		if e.Version != m.order.Version {
			old = append(old, e)
			continue
		}
		updated = append(updated, e)
		keys = append(keys, e.Key())
	}
	m.listedOld, m.listedNew = len(old), len(updated)
	m.slots = rollout.AssignSlots(keys)
	m.canaryEndpoints = m.order.CanaryEndpoints(keys, len(old), rollout.CanaryShare(bound))
	_, all := m.trafficShare(now, bound)
	switch {
	case m.phase == rollout.Completed && now-m.finalSince < oldVersionGoneAfter && len(updated) > 0:
		return updated
	case m.phase == rollout.Completed:
		return list
	case m.phase == rollout.RolledBack || !m.phaseKnown && len(old) > 0:
		return old
	case len(old) == 0, all && len(updated) > 0:
		return updated
	case m.phase == rollout.Shifting:
		return append(old, markCanaries(updated)...)
	}
	return append(old, markCanaries(slices.DeleteFunc(updated, func(e *members.Endpoint) bool { return !m.canaryEndpoints[e.Key()] }))...)
}

// markCanaries returns copies of the endpoints, marked as open to some requests only.
func markCanaries(list []*members.Endpoint) []*members.Endpoint {
	marked := make([]*members.Endpoint, 0, len(list))
	for _, e := range list {
		canary := *e
		canary.Canary = true
		marked = append(marked, &canary)
	}
	return marked
}

// trafficShare returns the share of the requests that go to the new version, and whether all do.
func (m *rolloutState) trafficShare(now time.Duration, bound float64) (share float64, all bool) {
	share = rollout.CanaryShare(bound)
	if m.phase != rollout.Shifting {
		return share, false
	}
	ramp := m.order.RampDuration()
	moved := now - m.shiftingSince
	if moved >= ramp {
		return 1, true
	}
	return share + (1-share)*float64(moved)/float64(ramp), false
}

// admits reports whether a request may go to an endpoint.
func (m *rolloutState) admits(now time.Duration, ep *members.Endpoint, canary bool, bound float64) bool {
	_, all := m.trafficShare(now, bound)
	if ep.Version != m.order.Version {
		moved := all || m.phase == rollout.Completed && now-m.finalSince < oldVersionGoneAfter
		return !moved || m.listedNew == 0
	}
	switch m.phase {
	case rollout.Completed, rollout.Shifting:
		// While requests shift, the VM that places them decides: it may be some ms ahead.
		return true
	case rollout.RolledBack:
		return false
	}
	return canary || m.listedOld == 0
}

// takeTransition reports whether the usable endpoints have changed with time alone since the last call: a version
// settled, requests shift, or the old endpoints are gone. A call may come late, after a pause of the process: what
// happened in the meantime counts, or a version would not be used until another endpoint changes.
func (r *rollouts) takeTransition(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.transitionsAt
	r.transitionsAt = now
	passed := func(at time.Duration) bool { return at > last && at <= now }
	for _, m := range r.byService {
		if m.phase == rollout.Shifting && m.shiftingSince+m.order.RampDuration() > last ||
			m.phase == rollout.Completed && passed(m.finalSince+oldVersionGoneAfter) {
			return true
		}
	}
	settle := r.d.versionSettleTime()
	for _, known := range r.versions {
		for _, since := range known {
			if passed(since + settle) {
				return true
			}
		}
	}
	return false
}
