package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/suspect"
	"github.com/chivefield/chivefield/entry/poison"
	"github.com/chivefield/chivefield/schema"
)

// reasonEndsEndpoints is the reason for refusing a request that crashed endpoints, or has a part in its
// prompt that did. The refusal names no time to retry after: a retry would be refused again.
const reasonEndsEndpoints = "ends_endpoints"

const (
	// suspectsPushDelay is how long a VM that saw an endpoint end collects the requests that ran
	// there before it sends an extra note. A caller that retries at once reaches another VM within
	// a round trip; with regular notes alone one more endpoint ends.
	suspectsPushDelay = 5 * time.Millisecond
	// maxStoreTries limits the attempts in a row to write one conviction to the store, which take
	// up to half a minute, before the next one gets its turn.
	maxStoreTries = 16
)

func newPoisonGuard(d *Daemon) *poison.Guard {
	return poison.New(poison.Options{
		Log: d.log, Endpoints: poisonEndpoints{d}, Now: d.now, Count: d.count, Released: d.settings.Released,
		IsStoreReader: func() bool { return d.peers.isStoreReader() },
	})
}

// poisonEndpoints implements poison.Endpoints.
type poisonEndpoints struct{ d *Daemon }

// IsServing implements poison.Endpoints.
func (e poisonEndpoints) IsServing(ep *members.Endpoint) bool { return e.d.sched.isServing(ep) }

// OpenConnection implements poison.Endpoints.
func (e poisonEndpoints) OpenConnection(p dispatch.Probe) error { return e.d.openConnection(p) }

// ReportUnreachable implements poison.Endpoints.
func (e poisonEndpoints) ReportUnreachable(key string) { e.d.sched.reportUnreachable(key) }

// ControlProbes implements poison.Endpoints.
func (e poisonEndpoints) ControlProbes(ep *members.Endpoint) []dispatch.Probe {
	return e.d.sched.controlProbes(ep)
}

// suspicionFor returns how carefully a request is placed.
func suspicionFor(v suspect.Status) dispatch.Suspicion {
	switch {
	case v.Quarantined():
		return dispatch.Quarantined
	case v.Level > 0 && !v.Released:
		return dispatch.Suspected
	}
	return dispatch.Unsuspected
}

// isConnectionBroken reports whether an error means that a connection ended, as opposed to one
// about unreadable data.
func isConnectionBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed)
}

// recordAttempt tells the guard how the attempt that sent a copy of a request ended.
func (c *callerRequest) recordAttempt(sent suspect.Copy, ep *members.Endpoint, a attemptResult) {
	switch {
	case a.connectionLost:
		c.d.poison.RecordCut(sent, ep)
	case a.outcome == dispatch.Replaced:
		c.d.poison.RecordReplaced(ep)
	case a.outcome == dispatch.Unreachable:
		c.d.poison.RecordUnreachable(ep, a.err)
	}
}

// pushUpdates sends recent changes at once to the recipients of the i-th round of notes.
func (p *peers) pushUpdates(i uint64) {
	p.sendDoubts()
	n := p.newNote()
	n.Suspects, n.Notices = p.d.poison.ForNote(false), p.d.notices.forNote(false)
	if len(n.Suspects)+len(n.Notices) == 0 {
		return
	}
	to := p.recipients(i)
	p.writeAll(p.encode(n), slices.Concat(to.Loads, to.State, to.Heartbeats))
}

// sendStartState sends a newly seen process the state that it must not learn late: requests that
// crash endpoints, rollouts, whose new versions get few requests, and notices of endpoints.
func (p *peers) sendStartState(pe *peer) {
	n := p.newNote()
	n.Suspects, n.Rollouts, n.Notices = p.d.poison.ForNewProcess(), p.d.rollouts.forNote(), p.d.notices.forNewProcess()
	if len(n.Suspects)+len(n.Rollouts)+len(n.Notices) > 0 {
		p.send(n, pe.addr)
	}
}

// handleLifeSigns answers a note that doubts incarnations, and takes the answer to one of this VM's.
func (p *peers) handleLifeSigns(n *schema.PeerNote, pe *peer) {
	if len(n.Alive) > 0 && n.AliveFor == p.incarnation {
		p.d.poison.ConfirmAlive(n.Alive)
	}
	if len(n.Doubted) == 0 || pe == nil {
		return
	}
	started := p.d.now() - millis(n.UptimeMs)
	if alive := p.d.poison.AliveSince(started, n.Doubted); len(alive) > 0 {
		reply := p.newNote()
		reply.Alive, reply.AliveFor = alive, n.Incarnation
		p.send(reply, pe.addr)
	}
}

// sendDoubts asks the VM that reads the registry for this failure domain about doubted incarnations.
func (p *peers) sendDoubts() {
	n := p.newNote()
	if n.Doubted = p.d.poison.Doubted(); len(n.Doubted) == 0 {
		return
	}
	if reader := p.storeReader(); reader != "" {
		p.writeAll(p.encode(n), []string{reader})
	}
}

// loadConvictions loads the convictions among the records of the VM list.
func (d *Daemon) loadConvictions(records []Record) {
	var list []poison.StoredRecord
	for _, r := range records {
		if poison.IsStoreKey(r.Key) {
			list = append(list, poison.StoredRecord{Key: r.Key, Value: r.Value})
		}
	}
	d.poison.LoadStored(list)
}

// storeConvictions writes convictions to the store until ctx ends, so that they survive a restart
// of all VMs.
func (d *Daemon) storeConvictions(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case digest := <-d.poison.ToStore():
			d.storeConviction(ctx, digest)
		}
	}
}

// storeConviction writes one conviction to the store, with retries.
func (d *Daemon) storeConviction(ctx context.Context, digest suspect.Digest) {
	var delay backoff
	for range maxStoreTries {
		r, err := d.poison.EncodeStored(digest)
		if err == nil {
			if err = d.opts.Store.Write(ctx, Record{Key: r.Key, Value: r.Value}); err == nil {
				return
			}
		}
		d.count("store_errors")
		d.log.Warn().Stringer("digest", digest).Err(err).Msg("suspect_unkept")
		if !sleepJittered(ctx, delay.next(d.maxRetryPause())) {
			return
		}
	}
	d.poison.RecordNotStored(digest)
}
