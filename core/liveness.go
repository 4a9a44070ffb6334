package core

import "time"

const (
	// silenceInDigests is how many unchanged digests in a row a VM may miss
	// before it is taken to be gone.
	silenceInDigests = 3
	// maxTickGap is how much of the time between two ticks counts as time in
	// which this process ran and could have received messages.
	maxTickGap = 100 * time.Millisecond
)

// liveness records signs of life of the other VMs. Silence is measured in time
// during which this process itself ran: one that stood still has missed
// messages of VMs that live.
type liveness struct {
	// silence is the time without a message after which a VM counts as gone.
	silence  time.Duration
	ran      time.Duration
	lastTick time.Duration
	heard    map[uint32]signOfLife
}

// signOfLife is the newest message of a VM.
type signOfLife struct {
	incarnation uint64
	at          time.Duration
	// ended is set once that incarnation is known to have ended.
	ended bool
}

func newLiveness(digestInterval time.Duration) *liveness {
	return &liveness{
		silence: silenceInDigests * unchangedDigestIntervals * digestInterval,
		heard:   make(map[uint32]signOfLife),
	}
}

func (l *liveness) tick(now time.Duration) {
	l.ran += min(now-l.lastTick, maxTickGap)
	l.lastTick = now
}

func (l *liveness) recordMessage(vm uint32, incarnation uint64) {
	if s := l.heard[vm]; incarnation > s.incarnation || incarnation == s.incarnation && !s.ended {
		l.heard[vm] = signOfLife{incarnation: incarnation, at: l.ran}
	}
}

// recordEnd records that an incarnation, and any before it, has ended.
func (l *liveness) recordEnd(vm uint32, incarnation uint64) {
	if l.heard[vm].incarnation <= incarnation {
		l.heard[vm] = signOfLife{incarnation: incarnation, at: l.ran, ended: true}
	}
}

// isAlive reports whether an incarnation has given a sign of life lately. One
// that has not been heard of at all is given the same time.
func (l *liveness) isAlive(vm uint32, incarnation uint64) bool {
	s := l.heard[vm]
	if s.incarnation < incarnation {
		l.recordMessage(vm, incarnation)
		return true
	}
	return s.incarnation == incarnation && !s.ended && l.ran < s.at+l.silence
}
