package poison

import (
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/suspect"
	"github.com/chivefield/chivefield/upstream"
)

// incarnationEnd is the end of an incarnation, and when this VM learned of it.
type incarnationEnd struct {
	at time.Duration
	// refused is set if the incarnation accepted a connection and then nothing listened there.
	refused bool
}

// endedTTL is how long this VM remembers that an incarnation has ended: other requests there are
// found cut off some ms later, those that fell silent some seconds later.
const endedTTL = 10 * time.Second

// RecordCut records that a copy of a request was cut off at an endpoint, and probes whether the
// endpoint ended.
func (g *Guard) RecordCut(sent suspect.Copy, ep *members.Endpoint) {
	if !g.Endpoints.IsServing(ep) {
		// The endpoint was told to leave: the cut is expected.
		return
	}
	g.mu.Lock()
	g.recordCut(sent, dispatch.EndpointHash(ep.Key()))
	g.mu.Unlock()
	g.probeIfWatched(ep)
}

// recordCut is RecordCut, without the probe, for a caller that holds the lock.
func (g *Guard) recordCut(sent suspect.Copy, hash uint64) {
	now := g.Now()
	g.tracker.RecordCopyCut(now, sent, hash, g.unseen[hash])
	if end, ok := g.ended[hash]; ok {
		g.applyEnd(now, hash, end)
	}
	g.handleChanges(learnedSeen)
}

// RecordUnreachable records that no connection to an endpoint could be opened.
func (g *Guard) RecordUnreachable(ep *members.Endpoint, err error) {
	if upstream.IsConnectionRefused(err) {
		g.probeIfWatched(ep)
	}
}

// RecordReplaced records that another incarnation responded at the address of an endpoint.
func (g *Guard) RecordReplaced(ep *members.Endpoint) { g.recordEnd(ep.Key(), howReplaced) }

// probeIfWatched probes an incarnation under which a request was cut off, unless it is known to
// have ended or is being probed.
func (g *Guard) probeIfWatched(ep *members.Endpoint) {
	hash := dispatch.EndpointHash(ep.Key())
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ended := g.ended[hash]; ended || g.probing[hash] || !g.tracker.Watched(hash) {
		return
	}
	g.probing[hash] = true
	go g.probe(ep)
}

// probe opens a connection to an endpoint after a connection to it broke. Requests that wait for a
// place then need not find out one by one.
//
// A VM whose own link refuses connections would take every endpoint behind it for ended, and a
// stream that continues elsewhere would count several ends. So connections to other endpoints of
// the failure domain must succeed; otherwise the registry decides.
func (g *Guard) probe(ep *members.Endpoint) {
	err := g.Endpoints.OpenConnection(dispatch.Probe{Key: ep.Key(), Address: ep.Address})
	ended := false
	if upstream.IsConnectionRefused(err) {
		g.Endpoints.ReportUnreachable(ep.Key())
		controls := g.Endpoints.ControlProbes(ep)
		ended = len(controls) == 0
		for _, c := range controls {
			ended = ended || g.Endpoints.OpenConnection(c) == nil
		}
	}
	g.mu.Lock()
	delete(g.probing, dispatch.EndpointHash(ep.Key()))
	g.mu.Unlock()
	if ended {
		g.recordEnd(ep.Key(), howRefused)
	}
}

// How an end was detected, in logs.
const (
	howRefused  = "connection_refused"
	howReplaced = "replaced"
	howDropped  = "dropped_by_registry"
)

// recordEnd records that an incarnation has ended.
func (g *Guard) recordEnd(key, how string) {
	hash := dispatch.EndpointHash(key)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	watched := g.tracker.Watched(hash)
	before, known := g.ended[hash]
	end := incarnationEnd{at: now, refused: before.refused || how == howRefused}
	g.ended[hash] = end
	if !watched {
		return
	}
	if !known {
		g.Count("endpoints_ended")
		g.Log.Info().Str("endpoint", key).Uint64("endpoint_hash", hash).Str("how", how).Msg("endpoint_ended")
	}
	g.applyEnd(now, hash, end)
	g.handleChanges(learnedSeen)
}

// applyEnd records the end of an incarnation in the tracker. The caller holds the lock.
func (g *Guard) applyEnd(now time.Duration, hash uint64, end incarnationEnd) {
	if end.refused {
		g.tracker.RecordEnd(now, hash)
	} else {
		g.tracker.RecordGone(now, hash)
	}
}

// HasEnded reports whether an incarnation is known to have ended.
func (g *Guard) HasEnded(ep *members.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ended := g.ended[dispatch.EndpointHash(ep.Key())]
	return ended
}

// RecordDepartures records incarnations that the registry dropped or that announced leaving.
func (g *Guard) RecordDepartures(list []members.Departure) {
	for _, dep := range list {
		if !dep.Leaving {
			g.recordEnd(dep.Key, howDropped)
			continue
		}
		g.mu.Lock()
		g.tracker.RecordLeaving(g.Now(), dispatch.EndpointHash(dep.Key))
		g.handleChanges(learnedSeen)
		g.mu.Unlock()
	}
}
