package dispatch

import (
	"slices"
	"time"
)

// Endpoints of a service may fall silent together for about a second and go on where they stopped. A stream that
// has no event yet would begin anew elsewhere, at an endpoint that is as silent, so it is better left where it is.

const (
	// An endpoint with running streams is overdue once nothing was received from it for overdueGaps times its event gap, or for
	// minOverdueTime: prompts that are processed between two events delay them by some tenths of a second.
	overdueGaps    = 2
	minOverdueTime = 250 * time.Millisecond
	// longestBriefSilence is the longest silence after which an endpoint is still expected to go on.
	longestBriefSilence = 2 * time.Second
	// firstEventWeight is the weight of one first event in the moving average.
	firstEventWeight = 0.2
	// firstEventMargin is the multiple of the usual time to a first event that is allowed for after a silence.
	firstEventMargin = 1.25
)

// commonSilence records when the endpoints of a service were heard by this VM.
type commonSilence struct {
	// lastHeard is when anything was last received from any of them.
	lastHeard time.Duration
	// fellSilent and resumed are the begin and end of their last silence together.
	fellSilent, resumed time.Duration
	// firstEvent is the moving average of the time to a first event that no silence delayed; 0 if unknown.
	firstEvent time.Duration
}

// recordEventArrival records that an event of a run has arrived.
func (sv *service) recordEventArrival(now time.Duration, r *run) {
	p := &sv.silence
	if sv.silentTogether(now) {
		p.fellSilent, p.resumed = p.lastHeard, now
	}
	p.lastHeard = now
	if r.started || r.sent < p.resumed {
		return
	}
	took := now - r.sent
	if p.firstEvent == 0 {
		p.firstEvent = took
	}
	p.firstEvent += time.Duration(firstEventWeight * float64(took-p.firstEvent))
}

// overdueTime returns the time after which a running stream at the endpoint is overdue.
func (sv *service) overdueTime(e *endpoint) time.Duration {
	return max(minOverdueTime, overdueGaps*toDuration(sv.latency.expectedGap(e)))
}

// overdue reports whether streams of this VM are running at the endpoint and none has sent anything for longer than
// usual, but not for so long that the endpoint is not expected to go on.
func (sv *service) overdue(now time.Duration, e *endpoint) bool {
	silence := now - e.health.lastContact
	if silence <= sv.overdueTime(e) || silence > longestBriefSilence {
		return false
	}
	for _, r := range e.runs {
		if r.started && !r.job.Remote && now-r.lastEvent > sv.overdueTime(e) {
			return true
		}
	}
	return false
}

// othersSilentSince reports whether streams are overdue at some other endpoint that sent its last data before the first
// event of the run was due. A run whose event was due earlier will get none once the others go on.
func (sv *service) othersSilentSince(now time.Duration, r *run) bool {
	due := sv.firstEventDue(r)
	for _, e := range sv.list {
		if e != r.ep && sv.overdue(now, e) && e.health.lastContact < due {
			return true
		}
	}
	return false
}

// firstEventDue returns when the first event of a run is due.
func (sv *service) firstEventDue(r *run) time.Duration {
	return r.sent + max(sv.silence.firstEventTime(r), minOverdueTime)
}

// silentTogether reports whether streams are overdue at an endpoint and none of the service has sent anything
// meanwhile.
func (sv *service) silentTogether(now time.Duration) bool {
	return sv.sentNothingLately(now) && slices.ContainsFunc(sv.list, func(e *endpoint) bool { return sv.overdue(now, e) })
}

// sentNothingLately reports whether no endpoint of the service has sent anything for a time.
func (sv *service) sentNothingLately(now time.Duration) bool {
	return now-sv.silence.lastHeard > minOverdueTime
}

// StaysInSilence reports whether a run without an event is better left where it is. That is so while other endpoints of
// the service are silent too and fell silent before its first event was due. It is so for firstEventTime after they go
// on, if its caller would leave before another endpoint could send an event.
func (s *Scheduler) StaysInSilence(now time.Duration, handle uint64) bool {
	r := s.running[handle]
	if r == nil || r.started {
		return false
	}
	sv := s.service(r.job.Service)
	if sv.sentNothingLately(now) && sv.othersSilentSince(now, r) {
		return true
	}
	p, allowed := sv.silence, sv.silence.firstEventTime(r)
	return r.sent < p.resumed && p.fellSilent < sv.firstEventDue(r) && now < p.resumed+allowed && now+allowed < r.job.AbandonAt
}

// firstEventTime returns the time that is allowed for the first event of a run.
func (p *commonSilence) firstEventTime(r *run) time.Duration {
	return time.Duration(firstEventMargin * float64(max(p.firstEvent, r.predicted)))
}

// MayBeSilentToo reports whether an endpoint may be as silent as that of a run without an event: others fell silent
// together with that, and nothing was received from this one lately.
func (s *Scheduler) MayBeSilentToo(now time.Duration, handle, endpointHash uint64) bool {
	r, e := s.running[handle], s.byHash[endpointHash]
	if r == nil || r.started || e == nil {
		return false
	}
	sv := s.service(r.job.Service)
	return now-e.health.lastContact > sv.overdueTime(e) && sv.othersSilentSince(now, r)
}
