package dispatch

import "time"

// candidate is an endpoint with what is expected of it for one job.
type candidate struct {
	ep *endpoint
	// first is the expected time to the first event.
	first time.Duration
	// score orders candidates: the least is picked.
	score float64
	// ahead are the prompt tokens that wait there.
	ahead int
	why   string
}

// farCost is what another failure domain counts for, in seconds: little more
// than its round trip, so that it only breaks ties.
const farCost = 0.004

// rate predicts what a job meets at an endpoint.
func (sv *service) rate(now time.Duration, j *Job, e *endpoint, u Use) candidate {
	slow := e.slow.get()
	c := candidate{ep: e, ahead: u.PromptTokens}
	var first, whole float64
	if e.engine {
		read := orStart(sv.pace.read, startRead)
		first = slow * read * float64(u.PromptTokens+j.Prompt)
		// Every other request shares the steps in which this one's tokens come.
		whole = slow * orStart(sv.pace.gap, startGap)
		first += whole
	} else {
		plain := orStart(sv.pace.plain, startPlain)
		first = slow * plain * (1 + float64(u.Running+u.Waiting)/float64(max(1, e.Slots)))
	}
	c.first = time.Duration(first * float64(time.Second))
	busy := float64(u.Running+u.Waiting) / float64(max(1, e.Slots))
	c.score = first + busy*slow*orStart(sv.pace.gap, startGap)
	if e.FailureDomain != j.Domain {
		c.score += farCost
	}
	return c
}
