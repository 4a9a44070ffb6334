package dispatch

import "time"

// contention is what this VM expects of others that use the same endpoints.
type contention struct {
	// loadAge is how old their word on their loads is on average.
	loadAge time.Duration
	// unseenTakes is how many slots of one endpoint they are expected to take in that time
	// without this VM knowing of it.
	unseenTakes float64
}

const (
	// maxLoadAge bounds the age of a word: an older one counts for nothing anyway.
	maxLoadAge = peerLoadTTL
	// silentNoteIntervals and silentLeast are after how many of its usual times between two
	// notes, and after what time at least, a VM counts as gone and takes nothing more.
	// Its last loads still count up to mostAge.
	silentNoteIntervals = 4
	minSilence          = 350 * time.Millisecond
	// noteIntervalWeight is the weight of one time between two notes in the usual one.
	noteIntervalWeight = 0.2
)

// recordNote notes that a VM spoke.
func (o *peerVM) recordNote(now, last time.Duration) {
	if last > 0 {
		o.noteInterval += time.Duration(noteIntervalWeight * float64(now-last-o.noteInterval))
	}
}

// presumedDown says whether the VM has been silent for so long that it takes no slots.
func (o *peerVM) presumedDown(silence time.Duration) bool {
	return silence > maxLoadAge || silence > max(minSilence, silentNoteIntervals*o.noteInterval)
}

// contentionAt is that at an endpoint.
func (s *Scheduler) contentionAt(e *endpoint) contention {
	if e.FailureDomain == s.domain {
		return s.contention[0]
	}
	return s.contention[1]
}

// updateContention brings the company up to date before jobs of a service are placed. Others
// are taken to place as much as this VM does, and to use endpoints of their own
// failure domain first.
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
			// What is taken now is heard of half a turn later on average.
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
