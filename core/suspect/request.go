package suspect

import (
	"slices"
	"time"
)

// maxParts bounds the parts of one request that are tracked. One endpoint that terminates could
// otherwise push everything else out of the tracker.
const maxParts = 32

// Request is what may be at fault when endpoints terminate under a request.
type Request struct {
	// Service is the service whose endpoints run it.
	Service string
	// Digest identifies the request across retries, Parts the parts of its prompt that other
	// requests may have.
	Digest Digest
	Parts  []Digest
}

// NewRequest returns a request with the shared parts of its prompt, given by their IDs. Parts behind
// the first maxParts are left out.
func NewRequest(service string, i Identity, partIDs []string) Request {
	r := Request{Service: service, Digest: i.Digest()}
	for _, id := range partIDs[:min(len(partIDs), maxParts)] {
		r.Parts = append(r.Parts, PartDigest(i.Organisation, id))
	}
	return r
}

// Contains reports whether a digest is the request's or that of one of its parts.
func (r Request) Contains(d Digest) bool {
	return r.Digest == d || slices.Contains(r.Parts, d)
}

// Copy is a copy of a request that is sent to an endpoint.
type Copy struct {
	Request
	// Sent is when it was sent.
	Sent time.Duration
	// generation and partGenerations are the Generation of Status then.
	generation      int
	partGenerations []int
}

// NewCopy returns a copy of a request that is sent now.
func (t *Tracker) NewCopy(now time.Duration, r Request) Copy {
	c := Copy{Request: r, Sent: now, generation: t.Status(r.Digest).Generation}
	for _, p := range r.Parts {
		c.partGenerations = append(c.partGenerations, t.Status(p).Generation)
	}
	return c
}

// WorstStatus returns the most serious status of a request and its parts, that of the request if
// nothing is known against any. One that may no longer be sent comes before all others.
func (t *Tracker) WorstStatus(r Request) Status {
	worst := t.Status(r.Digest)
	for _, p := range r.Parts {
		if v := t.Status(p); v.worseThan(worst) {
			worst = v
		}
	}
	return worst
}

// worseThan reports whether more is known against a request or part than against another.
func (s Status) worseThan(o Status) bool {
	switch {
	case s.Released:
		return false
	case o.Released:
		return s.Level > 0
	case s.Level != o.Level:
		return s.Level > o.Level
	}
	return s.Quarantined() && !o.Quarantined()
}

// RecordCopyCut records that a copy was cut off at an incarnation. unverified is set if it is not
// known that the incarnation was alive then.
//
// The cut of a part is only told to the other VMs at first, so that all know which terminations had a
// request with the part. Whether the termination speaks against the part, blame decides. A copy that met
// an endpoint which had already terminated, as RecordCut tells it, says nothing of either.
func (t *Tracker) RecordCopyCut(now time.Duration, c Copy, endpoint uint64, unverified bool) {
	if c.Sent > t.recordFirstCut(now, endpoint) {
		return
	}
	t.recordCut(now, c.Sent, c.Digest, endpoint, c.generation, unverified)
	t.service(c.Service).recordCut(now, endpoint, c.Parts)
	for i, p := range c.Parts {
		t.recordCut(now, c.Sent, p, endpoint, c.partGenerations[i], unverified)
	}
}

// blamePartsAt decides whether the termination of an incarnation speaks against the parts of the requests
// that were cut off there.
func (t *Tracker) blamePartsAt(now time.Duration, endpoint uint64) {
	for d, e := range t.entries {
		if d.IsPart() && e.sightings[endpoint] != nil {
			t.blame(now, e, endpoint)
		}
	}
}

// blame decides which terminations speak against a part: that of the latest incarnations given if its
// service serves requests without it, and all of the last cutTTL if in addition the service's endpoints
// terminate only under the part. When all endpoints terminate again and again, whatever they run, no part
// that their requests share is the cause.
//
// A VM decides it of incarnations at which it saw a cut itself, and so knows the service.
func (t *Tracker) blame(now time.Duration, e *entry, latest ...uint64) {
	for _, h := range t.services {
		open := t.openTerminations(h, e)
		if len(open) == 0 {
			continue
		}
		o := h.recentOutcomes(now, e)
		for _, s := range open {
			if o.onlyBeside(e.status().Cuts) || o.served() && slices.Contains(latest, s.Endpoint) {
				s.EndedAt = s.Generation
				t.mergeSighting(now, e.digest, e, s)
			}
		}
	}
}

// openTerminations returns the sightings of a part at incarnations of a service that have terminated, as
// far as that does not count against the part yet.
func (t *Tracker) openTerminations(h *serviceHistory, e *entry) []Sighting {
	return slices.DeleteFunc(e.list(), func(s Sighting) bool {
		_, terminated := t.terminatedAt[s.Endpoint]
		return !terminated || s.ended() || !s.relevant(e.cleared) || e.sightings[s.Endpoint].unverified || !h.cutAt(s.Endpoint)
	})
}

// service returns what was seen of a service lately.
func (t *Tracker) service(name string) *serviceHistory {
	h := t.services[name]
	if h == nil {
		h = &serviceHistory{}
		t.services[name] = h
	}
	return h
}

// RecordCompleteResponse records that a request got a complete response, successful or not. One that
// reports a failure does not clear the parts: the endpoint may have failed before it read them.
func (t *Tracker) RecordCompleteResponse(now time.Duration, r Request, successful bool) {
	t.RecordSuccess(now, r.Digest)
	if !successful {
		return
	}
	t.service(r.Service).recordResponse(now)
	for _, p := range r.Parts {
		t.RecordSuccess(now, p)
	}
}
