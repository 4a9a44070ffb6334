package dispatch

import (
	"slices"
	"time"
)

// spare is how many requests may be at an endpoint beyond its slots, so that a
// slot that frees is taken at once and not a round trip later.
const spare = 1

// usable says whether an endpoint may get a job now.
func (e *endpoint) usable(now time.Duration, j *Job) bool {
	return now >= e.restUntil && !slices.Contains(j.Tried, e.ID)
}

// hasRoom says whether a free slot is expected.
func (e *endpoint) hasRoom(u Use) bool {
	return u.Running+u.Waiting < e.Slots+spare
}
