package rollout

import "time"

const (
	// leastMove and mostMove bound the part of the order's time that is kept for moving
	// requests and for the old version's last answers. Before it the new version is tried, so
	// that faults that come late are seen while it gets a bounded share.
	leastMove = 0.2
	mostMove  = 0.4
	// moveMargin is what moving takes beside the longest answer: to tell all VMs, to hear
	// that nothing runs any more, and to write the verdict.
	moveMargin = 1500 * time.Millisecond
	// leastAnswers of each version are wanted for a comparison. A version that is suspect is
	// tried for doubtPart of the time kept for moving longer.
	leastAnswers = 20
	doubtPart    = 0.25
	// soundFailures is the share of failures up to which a version needs no comparison.
	soundFailures = 0.05
	// harmlessRequests are so few that any version may get them.
	harmlessRequests = 15
	// giveUpAfter is after how many times the order's time a version that cannot be judged is
	// rolled back.
	giveUpAfter = 2
	// finishPart of the order's time, finishMost at most, is left when a move is completed: until
	// then the old version's endpoints are there to go back to.
	finishPart = 0.1
	finishMost = 2 * time.Second
	// alone is how long a version must be the only one before a roll-out to it counts as done
	// without a trial: the registry may list the old one a moment later.
	alone = time.Second
)

// Known is what is known of a roll-out at a moment.
type Known struct {
	// Age is the time since the order, as far as any VM knows.
	Age time.Duration
	// Finding is the strongest evidence against the version.
	Finding Finding
	// Answers came from the new version, of which Failures failed, OldAnswers from the old one.
	Answers, Failures, OldAnswers int
	// Longest is the longest time that an answer took at either version.
	Longest time.Duration
	// NewListed and OldListed are the endpoints of the versions in the registry.
	NewListed, OldListed int
	// Drained says that every VM sends all requests to the new version, and that nothing
	// runs at the old one.
	Drained bool
	// Held says that an operator wants no requests moved.
	Held bool
}

// comparable says whether both versions answered enough for a comparison.
func (k *Known) comparable() bool { return k.Answers >= leastAnswers && k.OldAnswers >= leastAnswers }

// sound says whether the new version fails so rarely that nothing need be compared: what was
// known of the old one may be lost with processes that ended.
func (k *Known) sound() bool {
	return k.Answers >= leastAnswers && k.Failures <= int(soundFailures*float64(k.Answers))
}

// harmless says whether so few requests came in the whole time of the order that a bad version
// harms few if it gets them all. Sooner nobody can say: processes that ended took with them what
// they had counted.
func (o Order) harmless(k *Known) bool {
	perSecond := float64(k.Answers+k.OldAnswers) / max(time.Second, k.Age).Seconds()
	return k.Age >= o.Duration && perSecond*part(leastMove, o.Duration).Seconds() <= harmlessRequests
}

// Decide returns the phase that follows from what is known. It never returns an earlier phase.
func (o Order) Decide(phase Phase, k Known) Phase {
	switch {
	case phase.Final():
		return phase
	case k.Finding.Bad():
		return RolledBack
	case phase == Trying:
		return o.decideTrial(&k)
	}
	return o.decideMove(&k)
}

func (o Order) decideTrial(k *Known) Phase {
	last := k.Age >= o.lastMove(k.Longest)
	switch {
	case k.NewListed == 0 || k.Finding.Untrusted():
		// Nothing to move to, or not to be trusted: what is asked cannot be done in time.
		if k.Age >= o.Duration {
			return RolledBack
		}
		return Trying
	case k.Held:
		return Trying
	case k.OldListed == 0 && k.Age >= alone:
		return Moving
	case k.Age < o.MoveAt(k.Longest):
		return Trying
	case o.harmless(k):
		return Moving
	case !k.comparable():
		// Better late than unknown.
		if k.Age >= giveUpAfter*o.Duration {
			return RolledBack
		}
		return Trying
	case k.Finding.Suspect() && !last:
		return Trying
	}
	return Moving
}

func (o Order) decideMove(k *Known) Phase {
	left := min(finishMost, part(finishPart, o.Duration))
	last := k.Age >= o.Duration-left/2
	switch {
	case k.OldListed == 0 && k.Drained && k.NewListed > 0:
		return Completed
	case k.Finding.Untrusted():
		return RolledBack
	case !k.Drained || k.NewListed == 0 || k.Age < o.Duration-left || k.Finding.Suspect() && !last:
		return Moving
	case k.comparable() || k.sound() || o.harmless(k) && k.Failures == 0:
		return Completed
	case k.Age >= giveUpAfter*o.Duration:
		return RolledBack
	}
	return Moving
}

// MoveAt is the age from which requests move, if an answer takes so long at most.
func (o Order) MoveAt(longest time.Duration) time.Duration {
	need := longest + moveMargin + o.Ramp()
	return o.Duration - min(max(need, part(leastMove, o.Duration)), part(mostMove, o.Duration))
}

// lastMove is the age from which requests move though some doubt is left.
func (o Order) lastMove(longest time.Duration) time.Duration {
	at := o.MoveAt(longest)
	return at + part(doubtPart, o.Duration-at)
}

func part(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}
