package rollout

import "time"

const (
	// minShiftShare and maxShiftShare bound the fraction of the order's time that is reserved for
	// shifting requests and for the last responses of the old version. Until then the new version
	// is in the canary phase, so that faults that appear late are seen while its share of
	// requests is bounded.
	minShiftShare = 0.2
	maxShiftShare = 0.4
	// shiftMargin is the time that shifting takes in addition to the longest response: to inform
	// all VMs, to learn that nothing runs at the old version any more, and to write the verdict.
	shiftMargin = 1500 * time.Millisecond
	// minResponses is the number of responses of each version that a comparison needs. A suspect
	// version stays in the canary phase longer by suspectExtensionShare of the time reserved for
	// shifting.
	minResponses          = 20
	suspectExtensionShare = 0.25
	// maxHealthyFailureShare is the fraction of failures up to which a version needs no
	// comparison.
	maxHealthyFailureShare = 0.05
	// negligibleRequests are so few that any version may receive them.
	negligibleRequests = 15
	// giveUpFactor is the multiple of the order's time after which a version that cannot be judged
	// is rolled back.
	giveUpFactor = 2
	// finishShare is the fraction of the order's time, at most maxFinish, that is left when the
	// rollout is completed. Until then the endpoints of the old version are kept for a rollback.
	finishShare = 0.1
	maxFinish   = 2 * time.Second
	// soleVersionDelay is how long a version must be the only one listed before a rollout to it
	// skips the canary phase: the registry may list the old version a moment later.
	soleVersionDelay = time.Second
)

// State is the state of a rollout that a decision is based on.
type State struct {
	// Age is the time since the earliest receipt of the order by any VM.
	Age     time.Duration
	Finding Finding
	// Answers counts responses of the new version, Failures those of them that failed, OldAnswers
	// responses of the old version.
	Answers, Failures, OldAnswers int
	// LongestResponse is the longest time that a response of either version took.
	LongestResponse time.Duration
	// NewListed and OldListed are the numbers of endpoints of the versions in the registry.
	NewListed, OldListed int
	// Drained reports whether every VM sends all requests to the new version and none runs at the
	// old one.
	Drained bool
	// Held reports whether an operator wants no requests shifted.
	Held bool
}

// comparable reports whether there are enough responses of both versions for a comparison.
func (s *State) comparable() bool { return s.Answers >= minResponses && s.OldAnswers >= minResponses }

// healthy reports whether the new version fails so rarely that no comparison is needed. The
// counts of the old version may be lost with processes that ended.
func (s *State) healthy() bool {
	return s.Answers >= minResponses && s.Failures <= int(maxHealthyFailureShare*float64(s.Answers))
}

// negligible reports whether there were so few requests in the whole time of the order that a bad
// version does little harm if it receives them all. It returns false before the order's time has
// passed, because processes that ended took their counts with them.
func (o Order) negligible(s *State) bool {
	perSecond := float64(s.Answers+s.OldAnswers) / max(time.Second, s.Age).Seconds()
	return s.Age >= o.Duration && perSecond*fraction(minShiftShare, o.Duration).Seconds() <= negligibleRequests
}

// Decide returns the phase that follows from the state. It never returns an earlier phase.
func (o Order) Decide(phase Phase, s State) Phase {
	switch {
	case phase.Final():
		return phase
	case s.Finding.Bad():
		return RolledBack
	case phase == Canary:
		return o.decideCanary(&s)
	}
	return o.decideShift(&s)
}

func (o Order) decideCanary(s *State) Phase {
	shiftDue := s.Age >= o.latestShiftStart(s.LongestResponse)
	switch {
	case s.NewListed == 0 || s.Finding.Untrusted():
		// There is no endpoint to shift to, or the version is untrusted: the order cannot be
		// completed in time.
		if s.Age >= o.Duration {
			return RolledBack
		}
		return Canary
	case s.Held:
		return Canary
	case s.OldListed == 0 && s.Age >= soleVersionDelay:
		return Shifting
	case s.Age < o.ShiftStart(s.LongestResponse):
		return Canary
	case o.negligible(s):
		return Shifting
	case !s.comparable():
		// A late verdict is better than a shift without a comparison.
		if s.Age >= giveUpFactor*o.Duration {
			return RolledBack
		}
		return Canary
	case s.Finding.Suspect() && !shiftDue:
		return Canary
	}
	return Shifting
}

func (o Order) decideShift(s *State) Phase {
	remaining := min(maxFinish, fraction(finishShare, o.Duration))
	due := s.Age >= o.Duration-remaining/2
	switch {
	case s.OldListed == 0 && s.Drained && s.NewListed > 0:
		return Completed
	case s.Finding.Untrusted():
		return RolledBack
	case !s.Drained || s.NewListed == 0 || s.Age < o.Duration-remaining || s.Finding.Suspect() && !due:
		return Shifting
	case s.comparable() || s.healthy() || o.negligible(s) && s.Failures == 0:
		return Completed
	case s.Age >= giveUpFactor*o.Duration:
		return RolledBack
	}
	return Shifting
}

// ShiftStart returns the age of the order at which requests start to shift, if responses take at
// most longest.
func (o Order) ShiftStart(longest time.Duration) time.Duration {
	need := longest + shiftMargin + o.RampDuration()
	return o.Duration - min(max(need, fraction(minShiftShare, o.Duration)), fraction(maxShiftShare, o.Duration))
}

// latestShiftStart returns the age of the order at which requests start to shift even if the
// version is suspect.
func (o Order) latestShiftStart(longest time.Duration) time.Duration {
	at := o.ShiftStart(longest)
	return at + fraction(suspectExtensionShare, o.Duration-at)
}

func fraction(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}
