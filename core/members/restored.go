package members

import "time"

// backupListWindow is how long after a restore a record whose offset is unknown may come from the
// backup. The registry drops an endpoint that is silent for three heartbeats.
const backupListWindow = 10 * time.Second

// MarkRegistryRestored records that the registry was restored from a backup that is some seconds old.
// The known state takes precedence: an incarnation that is gone stays out though it is listed
// again, and a live one stays in use though it is missing, until it has had time to be listed again,
// as after an outage. The restored records must follow through Replace or ApplyRestored.
func (s *Set) MarkRegistryRestored(now time.Duration) {
	s.unavailable, s.graceEnd, s.keepRemoved = false, now+relistGrace, true
	s.gap = gap{}
	s.restoredAt = now
	s.restores++
}

// listedByBackup reports whether a record is the backup's of an incarnation that was gone before the
// last restore. Records that the incarnation has written since then have a later offset.
func (s *Set) listedByBackup(now time.Duration, c Change) bool {
	d, ok := s.tombstones[c.ID]
	if !ok || c.Endpoint == nil || d.key != c.Endpoint.Key() || d.restores == s.restores {
		return false
	}
	if c.Written == 0 {
		return now < s.restoredAt+backupListWindow
	}
	if d.relistedIn != s.restores {
		d.relistedIn, d.written = s.restores, c.Written
		s.tombstones[c.ID] = d
	}
	return c.Written <= d.written
}

// ApplyRestored applies a record that may be as old as the backup from which the registry was restored.
func (s *Set) ApplyRestored(now time.Duration, c Change) {
	if !s.listedByBackup(now, c) {
		s.apply(now, c)
	}
}
