package rollout

import "time"

const (
	// minShiftShare and mostMove bound the part of the order's time that is kept for moving
	// requests and for the old version's last answers. Before it the new version is tried, so
	// that faults that come late are seen while it gets a bounded share.
	minShiftShare = 0.2
	maxShiftShare = 0.4
	// shiftMargin is what moving takes beside the longest answer: to tell all VMs, to hear
	// that nothing runs any more, and to write the verdict.
	shiftMargin = 1500 * time.Millisecond
	// minAnswers of each version are wanted for a comparison. A version that is suspect is
	// tried for doubtPart of the time kept for moving longer.
	minAnswers            = 20
	suspectExtensionShare = 0.25
	// maxHealthyFailureShare is the share of failures up to which a version needs no comparison.
	maxHealthyFailureShare = 0.05
	// negligibleRequests are so few that any version may get them.
	negligibleRequests = 15
	// giveUpFactor is after how many times the order's time a version that cannot be judged is
	// rolled back.
	giveUpFactor = 2
	// finishShare of the order's time, finishMost at most, is left when a move is completed: until
	// then the old version's endpoints are there to go back to.
	finishShare = 0.1
	maxFinish   = 2 * time.Second
	// soleVersionDelay is how long a version must be the only one before a roll-out to it counts as done
	// without a trial: the registry may list the old one a moment later.
	soleVersionDelay = time.Second
)

// State is what is known of a roll-out at a moment.
type State struct {
	// Age is the time since the order, as far as any VM knows.
	Age time.Duration
	// Finding is the strongest evidence against the version.
	Finding Finding
	// Answers came from the new version, of which Failures failed, OldAnswers from the old one.
	Answers, Failures, OldAnswers int
	// LongestAnswer is the longest time that an answer took at either version.
	LongestAnswer time.Duration
	// NewListed and OldListed are the endpoints of the versions in the registry.
	NewListed, OldListed int
	// Drained says that every VM sends all requests to the new version, and that nothing
	// runs at the old one.
	Drained bool
	// Held says that an operator wants no requests moved.
	Held bool
}

// comparable says whether both versions answered enough for a comparison.
func (s *State) comparable() bool { return s.Answers >= minAnswers && s.OldAnswers >= minAnswers }

// healthy says whether the new version fails so rarely that nothing need be compared: what was
// known of the old one may be lost with processes that ended.
func (s *State) healthy() bool {
	return s.Answers >= minAnswers && s.Failures <= int(maxHealthyFailureShare*float64(s.Answers))
}

// negligible says whether so few requests came in the whole time of the order that a bad version
// harms few if it gets them all. Sooner nobody can say: processes that ended took with them what
// they had counted.
func (o Order) negligible(s *State) bool {
	perSecond := float64(s.Answers+s.OldAnswers) / max(time.Second, s.Age).Seconds()
	return s.Age >= o.Duration && perSecond*fraction(minShiftShare, o.Duration).Seconds() <= negligibleRequests
}

// Decide returns the phase that follows from what is known. It never returns an earlier phase.
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
	shiftDue := s.Age >= o.latestShiftStart(s.LongestAnswer)
	switch {
	case s.NewListed == 0 || s.Finding.Untrusted():
		// Nothing to move to, or not to be trusted: what is asked cannot be done in time.
		if s.Age >= o.Duration {
			return RolledBack
		}
		return Canary
	case s.Held:
		return Canary
	case s.OldListed == 0 && s.Age >= soleVersionDelay:
		return Shifting
	case s.Age < o.ShiftStart(s.LongestAnswer):
		return Canary
	case o.negligible(s):
		return Shifting
	case !s.comparable():
		// Better late than unknown.
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

// ShiftStart is the age from which requests move, if an answer takes so long at most.
func (o Order) ShiftStart(longest time.Duration) time.Duration {
	need := longest + shiftMargin + o.RampDuration()
	return o.Duration - min(max(need, fraction(minShiftShare, o.Duration)), fraction(maxShiftShare, o.Duration))
}

// latestShiftStart is the age from which requests move though some doubt is left.
func (o Order) latestShiftStart(longest time.Duration) time.Duration {
	at := o.ShiftStart(longest)
	return at + fraction(suspectExtensionShare, o.Duration-at)
}

func fraction(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}
