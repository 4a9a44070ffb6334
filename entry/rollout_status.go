package entry

import (
	"context"
	"errors"

	"github.com/chivefield/chivefield/core/rollout"
)

// The operator reads in the store how far a move is. A verdict is written by a write that fails
// if anything was written since the status was read: so the first verdict stands, whichever
// VMs come to others, and an answer that is lost is found out by reading again. That a move is
// completed is known only once it is written: the old endpoints stop then.

// statusTries is how often in a row a status is written that meets another write or an error.
const statusTries = 8

// record has the store written if it does not say how far a move is. The lock is held.
func (r *rollouts) record(m *movement, phase rollout.Phase) {
	if phase == rollout.Moving {
		phase = rollout.Trying
	}
	if m.writing && m.wanted >= phase {
		return
	}
	select {
	case r.unrecorded <- m.order.Service:
		m.wanted, m.writing = phase, true
	default:
		r.d.count("rollout_statuses_waiting")
	}
}

// keep writes statuses to the store until ctx ends.
func (r *rollouts) keep(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case service := <-r.unrecorded:
			r.keepOne(ctx, service)
		}
	}
}

func (r *rollouts) keepOne(ctx context.Context, service string) {
	var again retry
	for range statusTries {
		done, err := r.write(ctx, service)
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
		if !pause(ctx, again.failed(r.d.mostRetry())) {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.byService[service]; m != nil {
		m.writing = false
	}
}

// write brings the store's status of a service up to date, and this VM's knowledge. It reports
// whether nothing is left to do.
func (r *rollouts) write(ctx context.Context, service string) (done bool, err error) {
	records, next, err := r.d.opts.Store.Snapshot(ctx, FeedVMs)
	if err != nil {
		return false, err
	}
	r.learn(records)
	status, ok := r.due(service, records)
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

// due is the status that the store should have; ok is false if it has it.
func (r *rollouts) due(service string, records []Record) (status RolloutStatus, ok bool) {
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
	case m.phase == rollout.Moving && m.wanted == rollout.Completed:
		// Nobody has found the version bad meanwhile, as far as is known here.
		status.Phase = rollout.Completed
	}
	for _, rec := range records {
		if s, err := r.d.codec.DecodeRolloutStatus(rec); err == nil && s != nil && *s == status {
			return status, false
		}
	}
	return status, true
}

// learn takes in the statuses that the store has. A verdict there is final.
func (r *rollouts) learn(records []Record) {
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
		m.known = true
	}
	ordered := len(r.byService) > 0
	r.mu.Unlock()
	if ordered {
		r.d.sched.resync()
	}
}

// rewrite has statuses written again that the store may have lost.
func (r *rollouts) rewrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.byService {
		m.writing = false
	}
}

// cutOff says whether this VM judges a service that moves while no VM of some failure domain is
// heard: what is decided there is then known from the store alone.
func (r *rollouts) cutOff() bool {
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

// adoptStatus takes over a verdict on an order that the store has. The lock is held.
func (r *rollouts) adoptStatus(m *movement) {
	s, ok := r.statuses[m.order.Service]
	if !ok || s.Version != m.order.Version || !s.Phase.Final() {
		return
	}
	m.wanted, m.writing = s.Phase, true
	r.advance(m, s.Phase, learnedStore)
}

// isStatus says whether a record of FeedVMs says how far a move is.
func (d *Daemon) isStatus(rec Record) bool {
	s, err := d.codec.DecodeRolloutStatus(rec)
	return s != nil || err != nil
}
