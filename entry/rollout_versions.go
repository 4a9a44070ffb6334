package entry

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/rollout"
)

// usable are those of a service's endpoints that may get requests now, marked where only some
// requests may go there.
func (r *rollouts) usable(now time.Duration, service string, list []*members.Endpoint) []*members.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteVersions(now, service, list)
	m := r.byService[service]
	if m == nil {
		return r.settled(now, service, list)
	}
	return m.usable(now, list, r.d.settings.Bounds.ExposureShare)
}

// noteVersions notes since when versions are listed. Those that are there when a process
// first reads the registry are taken to have been there.
func (r *rollouts) noteVersions(now time.Duration, service string, list []*members.Endpoint) {
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
			known[e.Version] = now - versionSettles - resyncMargin
		}
	}
}

// settled are the endpoints of versions that have been listed for a while, or all if there is
// none.
func (r *rollouts) settled(now time.Duration, service string, list []*members.Endpoint) []*members.Endpoint {
	known := r.versions[service]
	fresh := func(e *members.Endpoint) bool { return now-known[e.Version] < versionSettles }
	if !slices.ContainsFunc(list, fresh) {
		return list
	}
	usable := slices.DeleteFunc(slices.Clone(list), fresh)
	if len(usable) == 0 {
		return list
	}
	return usable
}

func (m *movement) usable(now time.Duration, list []*members.Endpoint, bound float64) []*members.Endpoint {
	var old, fresh []*members.Endpoint
	var keys []string
	for _, e := range list {
		if e.Version != m.order.Version {
			old = append(old, e)
			continue
		}
		fresh = append(fresh, e)
		keys = append(keys, e.Key())
	}
	m.listedOld, m.listedNew = len(old), len(fresh)
	m.slots = rollout.Slots(keys)
	m.tried = m.order.TrialEndpoints(keys, len(old), rollout.TrialShare(bound))
	_, whole := m.share(now, bound)
	switch {
	case m.phase == rollout.Completed && now-m.finalSince < oldGoneAfter && len(fresh) > 0:
		return fresh
	case m.phase == rollout.Completed:
		return list
	case m.phase == rollout.RolledBack || !m.known && len(old) > 0:
		return old
	case len(old) == 0, whole && len(fresh) > 0:
		return fresh
	case m.phase == rollout.Moving:
		return append(old, onTrial(fresh)...)
	}
	return append(old, onTrial(slices.DeleteFunc(fresh, func(e *members.Endpoint) bool { return !m.tried[e.Key()] }))...)
}

// onTrial marks endpoints as those that only some requests may go to.
func onTrial(list []*members.Endpoint) []*members.Endpoint {
	marked := make([]*members.Endpoint, 0, len(list))
	for _, e := range list {
		trial := *e
		trial.Trial = true
		marked = append(marked, &trial)
	}
	return marked
}

// share is the share of the requests that go to the new version; whole says that all do.
func (m *movement) share(now time.Duration, bound float64) (share float64, whole bool) {
	share = rollout.TrialShare(bound)
	if m.phase != rollout.Moving {
		return share, false
	}
	ramp := m.order.Ramp()
	moved := now - m.movingSince
	if moved >= ramp {
		return 1, true
	}
	return share + (1-share)*float64(moved)/float64(ramp), false
}

// admits says whether a request may go to an endpoint.
func (m *movement) admits(now time.Duration, ep *members.Endpoint, trial bool, bound float64) bool {
	_, whole := m.share(now, bound)
	if ep.Version != m.order.Version {
		moved := whole || m.phase == rollout.Completed && now-m.finalSince < oldGoneAfter
		return !moved || m.listedNew == 0
	}
	switch m.phase {
	case rollout.Completed, rollout.Moving:
		// While requests move the VM that places them says which: it may be some ms ahead.
		return true
	case rollout.RolledBack:
		return false
	}
	return trial || m.listedOld == 0
}

// changing says whether the usable endpoints follow from the time by itself: a version settles,
// requests move, or the old endpoints are gone.
func (r *rollouts) changing(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.byService {
		if m.phase == rollout.Moving && now-m.movingSince < m.order.Ramp()+resyncMargin ||
			m.phase == rollout.Completed && now-m.finalSince < oldGoneAfter+resyncMargin {
			return true
		}
	}
	for _, known := range r.versions {
		for _, since := range known {
			if now-since >= versionSettles && now-since < versionSettles+resyncMargin {
				return true
			}
		}
	}
	return false
}
