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

// serviceCut is a request that was cut off, with the shared parts of its prompt.
type serviceCut struct {
	at    time.Duration
	parts []Digest
}

func (h *serviceHistory) recordResponse(now time.Duration) {
	h.expire(now)
	if last := len(h.responses) - 1; last >= 0 && now-h.responses[last].from < responseInterval {
		h.responses[last].n++
		return
	}
	h.responses = append(h.responses, responseCount{from: now, n: 1})
}

func (h *serviceHistory) recordCut(now time.Duration, parts []Digest) {
	h.expire(now)
	if len(h.cuts) == maxServiceCuts {
		h.cuts = slices.Delete(h.cuts, 0, 1)
	}
	h.cuts = append(h.cuts, serviceCut{at: now, parts: parts})
}

// expire drops what is older than longServiceWindow.
func (h *serviceHistory) expire(now time.Duration) {
	old := func(at time.Duration) bool { return now-at >= longServiceWindow }
	h.responses = slices.DeleteFunc(h.responses, func(r responseCount) bool { return old(r.from) })
	h.cuts = slices.DeleteFunc(h.cuts, func(c serviceCut) bool { return old(c.at) })
}

func (h *serviceHistory) empty() bool { return len(h.responses)+len(h.cuts) == 0 }

// servesOthers reports whether, of the requests without a part, as many got responses as were cut off.
// Only then a cut of a request with the part speaks against the part. A few responses by chance, while
// most endpoints terminate, do not suffice.
func (h *serviceHistory) servesOthers(now time.Duration, part Digest) bool {
	responses, cuts := h.outcomes(now-serviceWindow, part)
	if responses+cuts < minOutcomes {
		responses, cuts = h.outcomes(now-longServiceWindow, part)
	}
	return responses+cuts >= minOutcomes && responses >= cuts
}

// outcomes counts the responses after a time, and the cuts of requests without a part.
func (h *serviceHistory) outcomes(after time.Duration, part Digest) (responses, cuts int) {
	for _, r := range h.responses {
		if r.from > after {
			responses += r.n
		}
	}
	for _, c := range h.cuts {
		if c.at > after && !slices.Contains(c.parts, part) {
			cuts++
		}
	}
	return responses, cuts
}
