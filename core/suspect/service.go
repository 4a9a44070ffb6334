package suspect

import (
	"slices"
	"time"
)

const (
	// serviceWindow is how long the responses and cuts of a service count. If there were fewer than
	// minOutcomes, longServiceWindow counts; fewer than minOutcomes in that say nothing. Neither is
	// longer than exemptPartFor: a part that all requests of a service have is then exempt whenever
	// its service responds, and is never blamed.
	serviceWindow     = 10 * time.Second
	longServiceWindow = exemptPartFor
	minOutcomes       = 6
	// minResponses is how many responses show that a service responds to requests without a part, while
	// most of its endpoints terminate: as many as the terminations that convict the part.
	minResponses = ConvictionLevel + partExtraEnds
	// besideFactor is how many times more cuts of other requests must lie where the part was cut off too
	// than elsewhere. Links break and endpoints terminate by themselves now and then.
	besideFactor = 3
	// maxServiceCuts bounds the cuts that are kept for a service. If there are more in serviceWindow,
	// most of its endpoints terminate.
	maxServiceCuts = 128
)

// serviceHistory is what this VM saw of one service lately. It tells whether endpoints terminate under
// requests with one part, or whatever they run.
type serviceHistory struct {
	// responses and cuts are the complete successful responses and the cuts of the last
	// longServiceWindow, the oldest first.
	responses []responseCount
	cuts      []serviceCut
}

// responseInterval is the time whose responses are counted together.
const responseInterval = time.Second

// responseCount is the number of responses within responseInterval after a time.
type responseCount struct {
	from time.Duration
	n    int
}

// serviceCut is a request that was cut off at an incarnation, with the shared parts of its prompt.
type serviceCut struct {
	at       time.Duration
	endpoint uint64
	parts    []Digest
}

func (h *serviceHistory) recordResponse(now time.Duration) {
	h.expire(now)
	if last := len(h.responses) - 1; last >= 0 && now-h.responses[last].from < responseInterval {
		h.responses[last].n++
		return
	}
	h.responses = append(h.responses, responseCount{from: now, n: 1})
}

func (h *serviceHistory) recordCut(now time.Duration, endpoint uint64, parts []Digest) {
	h.expire(now)
	if len(h.cuts) == maxServiceCuts {
		h.cuts = slices.Delete(h.cuts, 0, 1)
	}
	h.cuts = append(h.cuts, serviceCut{at: now, endpoint: endpoint, parts: parts})
}

// expire drops what is older than longServiceWindow.
func (h *serviceHistory) expire(now time.Duration) {
	old := func(at time.Duration) bool { return now-at >= longServiceWindow }
	h.responses = slices.DeleteFunc(h.responses, func(r responseCount) bool { return old(r.from) })
	h.cuts = slices.DeleteFunc(h.cuts, func(c serviceCut) bool { return old(c.at) })
}

func (h *serviceHistory) empty() bool { return len(h.responses)+len(h.cuts) == 0 }

// cutAt reports whether a request of the service was cut off at an incarnation.
func (h *serviceHistory) cutAt(endpoint uint64) bool {
	return slices.ContainsFunc(h.cuts, func(c serviceCut) bool { return c.endpoint == endpoint })
}

// recentOutcomes counts the outcomes of the last serviceWindow, of longServiceWindow if they are few.
func (h *serviceHistory) recentOutcomes(now time.Duration, part *entry) outcomes {
	o := h.outcomes(now-serviceWindow, part)
	if o.total() < minOutcomes {
		o = h.outcomes(now-longServiceWindow, part)
	}
	return o
}

// outcomes are the ends of requests without a part.
type outcomes struct {
	responses int
	// cutsBeside are the cuts at incarnations where a request with the part was cut off too, at any VM,
	// cutsElsewhere the others.
	cutsBeside, cutsElsewhere int
}

func (o outcomes) total() int { return o.responses + o.cutsBeside + o.cutsElsewhere }

// served reports whether as many requests got responses as were cut off. A few responses by chance, while
// most endpoints terminate, do not suffice.
func (o outcomes) served() bool {
	return o.total() >= minOutcomes && o.responses >= o.cutsBeside+o.cutsElsewhere
}

// onlyBeside reports whether endpoints terminate under the part, which was cut off at the given number of
// incarnations, and hardly without it, so that it explains the cuts of other requests. If endpoints
// terminated whatever they run, some would do so without the part; and if nearly all requests had the
// part, requests with it would have got responses as well.
func (o outcomes) onlyBeside(incarnations int) bool {
	return incarnations >= minResponses && o.total() >= minOutcomes && o.responses >= minResponses && besideFactor*o.cutsElsewhere <= o.cutsBeside
}

// outcomes counts the responses after a time, and the cuts of requests without a part.
func (h *serviceHistory) outcomes(after time.Duration, part *entry) (o outcomes) {
	for _, r := range h.responses {
		if r.from > after {
			o.responses += r.n
		}
	}
	for _, c := range h.cuts {
		switch s := part.sightings[c.endpoint]; {
		case c.at <= after || slices.Contains(c.parts, part.digest):
		case s != nil && s.relevant(part.cleared):
			o.cutsBeside++
		default:
			o.cutsElsewhere++
		}
	}
	return o
}
