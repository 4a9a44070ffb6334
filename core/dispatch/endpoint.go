package dispatch

import "time"

// peerFresh is how long a peer's word on its load counts. It guards against a
// VM that died or was cut off and whose last word would keep endpoints full.
const peerFresh = 1500 * time.Millisecond

// ownUse is the load that this VM knows of itself. read is the time to read a token,
// in seconds: the prompt that is being read counts only with what is left of it.
func (e *endpoint) ownUse(now time.Duration, read float64) Load { return e.use(now, read, false) }

// placedUse is the load that this VM has placed: others would count what it adopted
// twice.
func (e *endpoint) placedUse(now time.Duration, read float64) Load { return e.use(now, read, true) }

func (e *endpoint) use(now time.Duration, read float64, placed bool) Load {
	u := Load{}
	oldest := -1 * time.Second
	var first int
	for _, r := range e.own {
		if placed && r.adopted {
			continue
		}
		if r.started {
			u.Running++
			continue
		}
		u.Waiting++
		u.PromptTokens = addTokens(u.PromptTokens, r.job.PromptTokens)
		if oldest < 0 || r.sent < oldest {
			oldest, first = r.sent, r.job.PromptTokens
		}
	}
	if oldest >= 0 {
		u.PromptTokens -= readIn(now-max(oldest, e.lastFirst), read, first)
	}
	if e.gap.seen >= tellAfter {
		u.EventGap = seconds(e.gap.value)
	}
	return u
}

// setOther replaces one VM's load.
func (e *endpoint) setOther(u peerUse) {
	for i := range e.others {
		if e.others[i].vm == u.vm {
			e.others[i] = u
			return
		}
	}
	e.others = append(e.others, u)
}

// load is what all VMs together have at the endpoint, as far as known. lastNote
// is when each VM spoke last: what it said before is over.
func (e *endpoint) load(now time.Duration, read float64, lastNote []time.Duration) Load {
	u := e.ownUse(now, read)
	kept := e.others[:0]
	for _, o := range e.others {
		age := now - o.at
		if age > peerFresh || o.at < lastNote[o.vm] {
			continue
		}
		kept = append(kept, o)
		u.Running += o.Running
		u.Waiting += o.Waiting
		u.PromptTokens = addTokens(u.PromptTokens, o.PromptTokens-readIn(age, read, o.PromptTokens))
	}
	e.others = kept
	return u
}
