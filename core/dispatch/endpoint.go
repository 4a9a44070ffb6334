package dispatch

import "time"

// peerLoadTTL is how long a peer's word on its load counts. It guards against a
// VM that died or was cut off and whose last word would keep endpoints full.
const peerLoadTTL = 1500 * time.Millisecond

// ownLoad is the load that this VM knows of itself. read is the time to read a token,
// in seconds: the prompt that is being read counts only with what is left of it.
func (e *endpoint) ownLoad(now time.Duration, prefillTime float64) Load {
	return e.loadOfRuns(now, prefillTime, false)
}

// placedLoad is the load that this VM has placed: others would count what it adopted
// twice.
func (e *endpoint) placedLoad(now time.Duration, prefillTime float64) Load {
	return e.loadOfRuns(now, prefillTime, true)
}

func (e *endpoint) loadOfRuns(now time.Duration, prefillTime float64, placedOnly bool) Load {
	u := Load{}
	oldest := -1 * time.Second
	var oldestPrompt int
	for _, r := range e.runs {
		if placedOnly && r.adopted {
			continue
		}
		if r.started {
			u.Running++
			continue
		}
		u.Waiting++
		u.PromptTokens = addTokens(u.PromptTokens, r.job.PromptTokens)
		if oldest < 0 || r.sent < oldest {
			oldest, oldestPrompt = r.sent, r.job.PromptTokens
		}
	}
	if oldest >= 0 {
		u.PromptTokens -= tokensReadIn(now-max(oldest, e.lastFirstEvent), prefillTime, oldestPrompt)
	}
	if e.eventGap.samples >= minReportedSamples {
		u.EventGap = toDuration(e.eventGap.value)
	}
	return u
}

// setPeerLoad replaces one VM's load.
func (e *endpoint) setPeerLoad(u peerLoad) {
	for i := range e.peerLoads {
		if e.peerLoads[i].vm == u.vm {
			e.peerLoads[i] = u
			return
		}
	}
	e.peerLoads = append(e.peerLoads, u)
}

// totalLoad is what all VMs together have at the endpoint, as far as known. lastNote
// is when each VM spoke last: what it said before is over.
func (e *endpoint) totalLoad(now time.Duration, prefillTime float64, lastNote []time.Duration) Load {
	u := e.ownLoad(now, prefillTime)
	kept := e.peerLoads[:0]
	for _, o := range e.peerLoads {
		age := now - o.received
		if age > peerLoadTTL || o.received < lastNote[o.vm] {
			continue
		}
		kept = append(kept, o)
		u.Running += o.Running
		u.Waiting += o.Waiting
		u.PromptTokens = addTokens(u.PromptTokens, o.PromptTokens-tokensReadIn(age, prefillTime, o.PromptTokens))
	}
	e.peerLoads = kept
	return u
}
