package entry

import (
	"context"
	"errors"

	"github.com/chivefield/chivefield/core/rollout"
)

// The operator reads the status of a rollout in the store. A status is written conditionally: the
// write fails if anything was written since the status was read. So the first verdict stands,
// whatever other VMs decide, and a lost response is resolved by reading again. A rollout is
// completed only once that is written: then the old endpoints stop.

// maxStatusTries is how often in a row the write of a status is tried, after conflicts or errors.
const maxStatusTries = 8

// queueStatus queues the writing of a rollout's status unless the store has it. The caller holds
// the lock.
func (r *rollouts) queueStatus(m *rolloutState, phase rollout.Phase) {
	if phase == rollout.Shifting {
		phase = rollout.Canary
	}
	if m.writing && m.targetPhase >= phase {
		return
	}
	select {
	case r.statusQueue <- m.order.Service:
		m.targetPhase, m.writing = phase, true
	default:
		r.d.count("rollout_statuses_waiting")
	}
}

// processStatusQueue writes statuses to the store until ctx ends.
func (r *rollouts) processStatusQueue(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case service := <-r.statusQueue:
			r.writeStatusWithRetry(ctx, service)
		}
	}
}

func (r *rollouts) writeStatusWithRetry(ctx context.Context, service string) {
	var delay backoff
	for range maxStatusTries {
		done, err := r.writeStatus(ctx, service)
		if done {
			return
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			r.d.count("rollout_status_conflicts")
		} else {
			r.d.count("store_errors")
		}
		r.d.log.Warn().Str("service", service).Err(err).Msg("rollout_status_unwritten")
		if !sleepJittered(ctx, delay.next(r.d.maxRetryPause())) {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.byService[service]; m != nil {
		m.writing = false
	}
}

// writeStatus reads the statuses in the store, adopts them and writes the status of a service if it
// is due. It reports whether nothing is left to do.
func (r *rollouts) writeStatus(ctx context.Context, service string) (done bool, err error) {
	records, next, err := r.d.opts.Store.Snapshot(ctx, FeedVMs)
	if err != nil {
		return false, err
	}
	r.loadStatuses(records)
	status, ok := r.dueStatus(service, records)
	if !ok {
		return true, nil
	}
	rec, err := r.d.codec.EncodeRolloutStatus(status)
	if err != nil {
		return false, err
	}
	if err := r.d.opts.Store.CompareAndWrite(ctx, rec, next); err != nil {
		return false, err
	}
	r.d.log.Info().Str("service", status.Service).Str("version", status.Version).Stringer("phase", status.Phase).Msg("rollout_status_written")
	r.mu.Lock()
	if m := r.byService[service]; m != nil && m.order.Version == status.Version {
		r.advance(m, status.Phase, learnedStore)
	}
	r.mu.Unlock()
	r.d.sched.resync()
	return true, nil
}

// dueStatus returns the status that the store should have; ok is false if the store has it.
func (r *rollouts) dueStatus(service string, records []Record) (status RolloutStatus, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byService[service]
	if m == nil {
		return status, false
	}
	status = RolloutStatus{Service: service, Version: m.order.Version}
	switch {
	case m.phase.Final():
		status.Phase = m.phase
	case m.phase == rollout.Shifting && m.targetPhase == rollout.Completed:
		// No judge has rolled the version back meanwhile, as far as this VM knows.
		status.Phase = rollout.Completed
	}
	for _, rec := range records {
		if s, err := r.d.codec.DecodeRolloutStatus(rec); err == nil && s != nil && *s == status {
			return status, false
		}
	}
	return status, true
}

// loadStatuses adopts the statuses in the store. A verdict there is final.
func (r *rollouts) loadStatuses(records []Record) {
	r.mu.Lock()
	for _, rec := range records {
		s, err := r.d.codec.DecodeRolloutStatus(rec)
		if err != nil {
			r.d.log.Warn().Err(err).Msg("rollout_status_unreadable")
			continue
		}
		if s != nil {
			r.statuses[s.Service] = *s
		}
	}
	r.statusesRead = true
	for _, m := range r.byService {
		r.adoptStatus(m)
		m.phaseKnown = true
	}
	ordered := len(r.byService) > 0
	r.mu.Unlock()
	if ordered {
		r.d.sched.resync()
	}
}

// rewriteStatuses lets statuses be queued again that a restore of the store may have lost.
func (r *rollouts) rewriteStatuses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.byService {
		m.writing = false
	}
}

// judgesInPartition reports whether this VM judges an unfinished rollout while a failure domain has
// no reachable VM: decisions made there are then known from the store alone.
func (r *rollouts) judgesInPartition() bool {
	r.mu.Lock()
	open := false
	for _, m := range r.byService {
		open = open || !m.phase.Final()
	}
	r.mu.Unlock()
	if !open {
		return false
	}
	judges := r.d.peers.judges()
	return judges[r.d.settings.Vm.FailureDomain] == r.d.settings.Listen.Peers && len(judges) < r.d.peers.knownDomains()
}

// adoptStatus adopts the store's verdict on an order. The caller holds the lock.
func (r *rollouts) adoptStatus(m *rolloutState) {
	s, ok := r.statuses[m.order.Service]
	if !ok || s.Version != m.order.Version || !s.Phase.Final() {
		return
	}
	m.targetPhase, m.writing = s.Phase, true
	r.advance(m, s.Phase, learnedStore)
}

// isStatusRecord reports whether a record of FeedVMs is the status of a rollout.
func (d *Daemon) isStatusRecord(rec Record) bool {
	s, err := d.codec.DecodeRolloutStatus(rec)
	return s != nil || err != nil
}
