package dispatch

import "time"

// contention is the expected contention from other VMs that use the same endpoints.
type contention struct {
	// loadAge is the average age of their load reports.
	loadAge time.Duration
	// unseenTakes is the number of slots of one endpoint that they are expected to have taken
	// since their last reports.
	unseenTakes float64
}

const (
	// maxLoadAge limits the age of a load report; older ones are ignored in any case.
	maxLoadAge = peerLoadTTL
	// A VM is presumed down, and expected to take no more slots, after silentNoteIntervals of
	// its usual intervals between notes without one, and after at least minSilence. Its last
	// loads still count up to maxLoadAge.
	silentNoteIntervals = 4
	minSilence          = 350 * time.Millisecond
	// noteIntervalWeight is the weight of one interval in the moving average.
	noteIntervalWeight = 0.2
)

// recordNote updates the average interval between the VM's notes.
func (o *peerVM) recordNote(now, last time.Duration) {
	if last > 0 {
		o.noteInterval += time.Duration(noteIntervalWeight * float64(now-last-o.noteInterval))
	}
}

// presumedDown reports whether the VM has been silent for so long that it is expected to take
// no slots.
func (o *peerVM) presumedDown(silence time.Duration) bool {
	return silence > maxLoadAge || silence > max(minSilence, silentNoteIntervals*o.noteInterval)
}

// contentionAt returns the expected contention at an endpoint.
func (s *Scheduler) contentionAt(e *endpoint) contention {
	if e.FailureDomain == s.domain {
		return s.contention[0]
	}
	return s.contention[1]
}

// updateContention recomputes the contention before jobs of a service are placed. Other placers
// are assumed to place as many jobs as this VM and to prefer endpoints of their own failure
// domain.
func (s *Scheduler) updateContention(now time.Duration, sv *service) {
	var vms, endpoints [2]int
	var ages [2]time.Duration
	for i, at := range s.lastNote {
		g := domainGroup(s.sameDomain[i])
		if !s.peers[i].isPlacer || s.peers[i].presumedDown(now-at) {
			continue
		}
		vms[g]++
		ages[g] += now - at
	}
	for _, e := range sv.list {
		endpoints[domainGroup(e.FailureDomain == s.domain)]++
	}
	rate := sv.placements.perSecond(now)
	for g := range s.contention {
		c := contention{}
		if vms[g] > 0 {
			c.loadAge = ages[g] / time.Duration(vms[g])
			// A slot taken now is reported half a turn later on average.
			unseen := c.loadAge + turnTime/2
			c.unseenTakes = rate * float64(vms[g]) * unseen.Seconds() / float64(max(1, endpoints[g]))
		}
		s.contention[g] = c
	}
}

func domainGroup(near bool) int {
	if near {
		return 0
	}
	return 1
}
