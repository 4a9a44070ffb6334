package dispatch

import "time"

// company is what this VM expects of others that use the same endpoints.
type company struct {
	// age is how old their word on their loads is on average.
	age time.Duration
	// takes is how many slots of one endpoint they are expected to take in that time
	// without this VM knowing of it.
	takes float64
}

const (
	// mostAge bounds the age of a word: an older one counts for nothing anyway.
	mostAge = peerFresh
	// silentNotes and silentLeast are after how many of its usual times between two
	// notes, and after what time at least, a VM counts as gone and takes nothing more.
	// Its last loads still count up to mostAge.
	silentNotes = 4
	silentLeast = 350 * time.Millisecond
	// everyWeight is the weight of one time between two notes in the usual one.
	everyWeight = 0.2
)

// heard notes that a VM spoke.
func (o *otherVM) heard(now, last time.Duration) {
	if last > 0 {
		o.every += time.Duration(everyWeight * float64(now-last-o.every))
	}
}

// gone says whether the VM has been silent for so long that it takes no slots.
func (o *otherVM) gone(silence time.Duration) bool {
	return silence > mostAge || silence > max(silentLeast, silentNotes*o.every)
}

// companyOf is that at an endpoint.
func (s *Scheduler) companyOf(e *endpoint) company {
	if e.FailureDomain == s.domain {
		return s.company[0]
	}
	return s.company[1]
}

// meet brings the company up to date before jobs of a service are placed. Others
// are taken to place as much as this VM does, and to use endpoints of their own
// failure domain first.
func (s *Scheduler) meet(now time.Duration, sv *service) {
	var vms, endpoints [2]int
	var ages [2]time.Duration
	for i, at := range s.lastNote {
		g := group(s.near[i])
		if !s.others[i].places || s.others[i].gone(now-at) {
			continue
		}
		vms[g]++
		ages[g] += now - at
	}
	for _, e := range sv.list {
		endpoints[group(e.FailureDomain == s.domain)]++
	}
	rate := sv.placed.perSecond(now)
	for g := range s.company {
		c := company{}
		if vms[g] > 0 {
			c.age = ages[g] / time.Duration(vms[g])
			// What is taken now is heard of half a turn later on average.
			unheard := c.age + turnTime/2
			c.takes = rate * float64(vms[g]) * unheard.Seconds() / float64(max(1, endpoints[g]))
		}
		s.company[g] = c
	}
}

func group(near bool) int {
	if near {
		return 0
	}
	return 1
}
