package entry

// syncEndpoints passes the usable endpoints to the scheduler if they have changed.
func (s *sharedScheduler) syncEndpoints() {
	if s.table == nil || s.syncedVersion == s.members.Version() && s.syncedVersion != 0 {
		return
	}
	s.syncedVersion = s.members.Version()
	for _, sv := range s.table.Document.Services {
		if sv.Engine != nil {
			s.sched.SetTokensPerEvent(sv.Name, sv.Engine.TokensPerEvent)
		}
		s.named[sv.Name] = sv.Engine != nil
		s.syncService(sv.Name)
	}
	s.syncDroppedServices()
	for _, h := range s.sched.TakeLostRuns() {
		if cancel := s.cancels[h]; cancel != nil {
			cancel()
		}
	}
}

// syncService passes the usable endpoints of a service to the scheduler, and returns how many there are.
func (s *sharedScheduler) syncService(name string) int {
	usable := s.filterUsable(s.now(), name, s.members.Usable(name))
	s.deliver(s.sched.SetEndpoints(s.now(), name, usable, s.named[name]))
	return len(usable)
}

// syncDroppedServices does so for the services that only an earlier configuration names. Their requests go
// on: those that wait, those that are tried again, and streams that are resumed. Without this they would
// be sent to endpoints that have left since. A service is forgotten once it has neither endpoints nor
// requests.
func (s *sharedScheduler) syncDroppedServices() {
	for name := range s.named {
		if s.table.Service(name) != nil {
			continue
		}
		if s.syncService(name) == 0 && s.sched.RemoveIdle(name) {
			delete(s.named, name)
		}
	}
}
