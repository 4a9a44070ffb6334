package dispatch

import "time"

// peerLoadTTL is the time for which a peer's load report counts. Without it the last report of
// a VM that died or was partitioned would keep endpoints full.
const peerLoadTTL = 1500 * time.Millisecond

// ownLoad returns the load of this VM's runs. prefillTime is the time to process a prompt
// token, in seconds: of the prompt in progress only the remaining tokens count.
func (e *endpoint) ownLoad(now time.Duration, prefillTime float64) Load {
	return e.loadOfRuns(now, prefillTime, false)
}

// placedLoad returns the load that this VM has placed. Adopted runs are left out, since peers
// would count them twice.
func (e *endpoint) placedLoad(now time.Duration, prefillTime float64) Load {
	return e.loadOfRuns(now, prefillTime, true)
}

func (e *endpoint) loadOfRuns(now time.Duration, prefillTime float64, placedOnly bool) Load {
	load := Load{}
	var oldest *run
	for _, r := range e.runs {
		if placedOnly && r.adopted {
			continue
		}
		if r.started {
			load.Running++
			continue
		}
		load.Waiting++
		load.PromptTokens = addTokens(load.PromptTokens, r.job.PromptTokens)
		if oldest == nil || r.sentBefore(oldest) {
			oldest = r
		}
	}
	if oldest != nil {
		load.PromptTokens -= tokensPrefilledIn(now-max(oldest.sent, e.lastFirstEvent), prefillTime, oldest.job.PromptTokens)
	}
	if e.eventGap.samples >= minReportedSamples {
		load.EventGap = toDuration(e.eventGap.value)
	}
	return load
}

// sentBefore reports whether a run was sent before another. Runs that were sent together are ordered by handle, which
// is the order in which they were submitted.
func (r *run) sentBefore(other *run) bool {
	if r.sent != other.sent {
		return r.sent < other.sent
	}
	return r.job.Handle < other.job.Handle
}

// setPeerLoad replaces one VM's load.
func (e *endpoint) setPeerLoad(load peerLoad) {
	for i := range e.peerLoads {
		if e.peerLoads[i].vm == load.vm {
			e.peerLoads[i] = load
			return
		}
	}
	e.peerLoads = append(e.peerLoads, load)
}

// totalLoad returns the known load of all VMs together at the endpoint. lastNote is the time of
// each VM's last note; loads from earlier notes are dropped.
func (e *endpoint) totalLoad(now time.Duration, prefillTime float64, lastNote []time.Duration) Load {
	load := e.ownLoad(now, prefillTime)
	kept := e.peerLoads[:0]
	for _, o := range e.peerLoads {
		age := now - o.received
		if age > peerLoadTTL || o.received < lastNote[o.vm] {
			continue
		}
		kept = append(kept, o)
		load.Running += o.Running
		load.Waiting += o.Waiting
		load.PromptTokens = addTokens(load.PromptTokens, o.PromptTokens-tokensPrefilledIn(age, prefillTime, o.PromptTokens))
	}
	e.peerLoads = kept
	return load
}
