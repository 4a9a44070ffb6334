package resume

import "time"

// Versions tracks which software versions of the services are listed, leaving endpoints included: streams
// run there, too. It is not safe for concurrent use.
type Versions struct {
	services map[string]*serviceVersions
	// vouched holds the services of which the store says that only one version has served.
	vouched map[string]string
	// first is set if no stream is older than this process.
	first bool
}

type serviceVersions struct {
	// since is when the service was first seen listed, or other VMs were last out of touch. sure is set once
	// a single version was certain, which then holds until another one is listed.
	since time.Duration
	sure  bool
	// listed holds the versions that are listed now, gone when others were last seen.
	listed map[string]bool
	gone   map[string]time.Duration
}

// NewVersions returns a Versions without services.
func NewVersions() *Versions {
	return &Versions{services: make(map[string]*serviceVersions), vouched: make(map[string]string)}
}

// RecordOutOfTouch records that VMs may serve that this one does not hear, and that go on using what they knew last:
// versions that are no longer listed count as used until now.
func (v *Versions) RecordOutOfTouch(now time.Duration) {
	for _, s := range v.services {
		if !s.sure {
			s.since = now
		}
		for version := range s.gone {
			s.gone[version] = now
		}
	}
}

// RecordGap records that this VM's copy of the registry was not up to date: a version may have been listed unseen.
func (v *Versions) RecordGap(now time.Duration) {
	v.first = false
	v.ClearVouched()
	for _, s := range v.services {
		s.since, s.sure = now, false
	}
}

// Observe records the versions that are listed, by service.
func (v *Versions) Observe(now time.Duration, listed map[string]map[string]bool) {
	for name, versions := range listed {
		s := v.services[name]
		if s == nil {
			s = &serviceVersions{since: now, gone: make(map[string]time.Duration)}
			v.services[name] = s
		}
		s.update(now, versions)
	}
	for name, s := range v.services {
		if listed[name] == nil {
			s.update(now, nil)
		}
	}
}

func (s *serviceVersions) update(now time.Duration, listed map[string]bool) {
	for version := range s.listed {
		if !listed[version] {
			s.gone[version] = now
			s.sure = false
		}
	}
	for version := range listed {
		delete(s.gone, version)
	}
	s.listed = listed
}

// Vouch records what the store says of a service: that only the given version has served for as long as a
// stream may live. It counts while no other version has been seen.
func (v *Versions) Vouch(service, version string) { v.vouched[service] = version }

// ClearVouched forgets what the store said.
func (v *Versions) ClearVouched() { clear(v.vouched) }

// MarkFirst records that no stream is older than this process.
func (v *Versions) MarkFirst() { v.first = true }

// Several reports whether streams of a service that may still live are known to have begun at several versions, or
// may do so.
func (v *Versions) Several(now time.Duration, service string, lifetime time.Duration) bool {
	s := v.services[service]
	if s == nil {
		return false
	}
	n := len(s.listed)
	for _, at := range s.gone {
		if now-at < lifetime {
			n++
		}
	}
	return n > 1
}

// IsFirst reports whether no stream is older than this process.
func (v *Versions) IsFirst() bool { return v.first }

// ListsOnly reports whether no other version of a service is listed than the given one.
func (v *Versions) ListsOnly(service, version string) bool {
	s := v.services[service]
	if s == nil {
		return true
	}
	for listed := range s.listed {
		if listed != version {
			return false
		}
	}
	return true
}

// Single returns the only version that can have begun a stream of a service within lifetime, if that is sure.
func (v *Versions) Single(now time.Duration, service string, lifetime time.Duration) (version string, sure bool) {
	s := v.services[service]
	if s == nil || len(s.listed) != 1 {
		return "", false
	}
	for listed := range s.listed {
		version = listed
	}
	for other, at := range s.gone {
		if now-at < lifetime {
			return "", false
		}
		delete(s.gone, other)
	}
	vouched, ok := v.vouched[service]
	s.sure = s.sure || now-s.since >= lifetime || v.first || ok && vouched == version
	return version, s.sure
}
