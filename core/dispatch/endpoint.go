package dispatch

import "time"

// peerFresh is how long a peer's word on its load counts. It guards against a
// VM that died or was cut off and whose last word would keep endpoints full.
const peerFresh = 1500 * time.Millisecond

// Rest of an endpoint that failed: it doubles with each failure in a row, so
// that a straggler or a dead endpoint costs few requests and one that recovers
// is found again within a second or two.
const (
	restFirst = 250 * time.Millisecond
	restMost  = 2 * time.Second
)

func (e *endpoint) ownUse() Use {
	u := Use{Slowness: e.slow.own()}
	for _, r := range e.own {
		if r.started {
			u.Running++
			continue
		}
		u.Waiting++
		u.PromptTokens += r.job.Prompt
	}
	return u
}

// load is what all VMs together have at the endpoint, as far as known.
func (e *endpoint) load(now time.Duration) Use {
	u := e.ownUse()
	for vm, o := range e.others {
		if now-o.at > peerFresh {
			delete(e.others, vm)
			continue
		}
		u.Running += o.Running
		u.Waiting += o.Waiting
		u.PromptTokens += o.PromptTokens
	}
	return u
}

// note learns from the end of a run whether the endpoint can be used.
func (e *endpoint) note(now time.Duration, o Outcome) {
	switch o {
	case Answered:
		e.failures = 0
		e.restUntil = 0
	case Unreachable, Broken, Rejected:
		rest := restFirst << min(e.failures, 3)
		e.failures++
		e.restUntil = now + min(rest, restMost)
	case Left:
	}
}
