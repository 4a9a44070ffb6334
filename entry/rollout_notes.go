package entry

import (
	"context"
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/rollout"
	"github.com/chivefield/chivefield/schema"
)

// forNote returns the phases of all rollouts for a note.
func (r *rollouts) forNote() []*schema.Rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*schema.Rollout
	for _, m := range r.byService {
		if !m.phaseKnown {
			continue
		}
		list = append(list, &schema.Rollout{
			Service: m.order.Service, Version: m.order.Version, DurationMs: uint32(m.order.Duration.Milliseconds()),
			Position: &schema.StorePosition{Era: m.position.Era, Offset: m.position.Offset},
			Phase:    uint32(m.phase), AgeMs: uint32((r.d.now() - m.orderedAt).Milliseconds()),
		})
	}
	return list
}

// mergeRemote merges the rollouts received from another VM.
func (r *rollouts) mergeRemote(list []*schema.Rollout) {
	for _, remote := range list {
		phase := rollout.Phase(min(remote.Phase, uint32(rollout.Completed)))
		o := rollout.Order{Service: remote.Service, Version: remote.Version, Duration: time.Duration(remote.DurationMs) * time.Millisecond}
		at := Position{Era: remote.GetPosition().GetEra(), Offset: remote.GetPosition().GetOffset()}
		r.applyOrder(o, at, r.d.now()-time.Duration(remote.AgeMs)*time.Millisecond, &phase)
	}
}

// announce sends the phases of rollouts to this VM's failure domain and to the given VMs.
func (r *rollouts) announce(others []string) {
	n := r.d.peers.newNote()
	if n.Rollouts = r.forNote(); len(n.Rollouts) == 0 {
		return
	}
	r.d.peers.writeAll(r.d.peers.encode(n), append(r.d.peers.domainAddresses(), others...))
}

// announceNow sends the phases of rollouts to this VM's failure domain and to the judges of the
// others, which pass them on.
func (r *rollouts) announceNow() {
	r.announce(otherJudges(r.d.peers.judges(), r.d.settings.Listen.Peers))
}

// sendReport sends evidence to judges.
func (p *peers) sendReport(report *schema.RolloutReport, to []string) {
	n := p.newNote()
	n.Reports = []*schema.RolloutReport{report}
	p.writeAll(p.encode(n), to)
}

// coverage returns the number of VMs served by the reachable placers, this VM included, and the
// number of known VMs; both are 0 if the list of VMs is incomplete.
func (p *peers) coverage() (served, known int) {
	now, members := p.d.now(), p.d.remoteJobs.requesterAddresses()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.listIsComplete {
		return 0, 0
	}
	served = 1 + len(members)
	for pe := range p.placing {
		if pe.isAlive(now) && !pe.asksPlacer {
			served += 1 + pe.members
		}
	}
	return served, len(p.byAddress) + 1
}

// fleetSize returns the number of VMs, this one included; 0 if the list is incomplete.
func (p *peers) fleetSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.listIsComplete {
		return 0
	}
	return len(p.byAddress) + 1
}

// knownDomains returns the number of failure domains with a known VM, including its own.
func (p *peers) knownDomains() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	domains := map[string]bool{p.d.settings.Vm.FailureDomain: true}
	for _, pe := range p.byAddress {
		domains[pe.domain] = true
	}
	return len(domains)
}

// reachableIn returns the addresses of the other reachable VMs of a failure domain.
func (p *peers) reachableIn(domain string) []string {
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, pe := range p.byAddress {
		if pe.domain == domain && pe.isAlive(now) {
			list = append(list, address)
		}
	}
	return list
}

func reportToWire(o rollout.Order, e rollout.Evidence) *schema.RolloutReport {
	report := &schema.RolloutReport{Service: o.Service, Version: o.Version}
	for g, c := range e {
		report.Counts = append(report.Counts, &schema.RolloutCounts{
			Route: g.Route, Endpoint: uint32(g.Endpoint), Answers: c.Answers, Failures: c.Failures, Cuts: c.Cuts, First: trimHistogram(c.FirstEvent), Whole: trimHistogram(c.WholeAnswer),
		})
	}
	return report
}

// trimHistogram returns a histogram's buckets without the empty ones at the end.
func trimHistogram(h rollout.Histogram) []uint32 {
	n := len(h)
	for n > 0 && h[n-1] == 0 {
		n--
	}
	return slices.Clone(h[:n])
}

func evidenceFromWire(report *schema.RolloutReport) rollout.Evidence {
	e := make(rollout.Evidence)
	for _, t := range report.GetCounts() {
		c := rollout.Counts{Answers: t.Answers, Failures: t.Failures, Cuts: t.Cuts}
		copy(c.FirstEvent[:], t.First)
		copy(c.WholeAnswer[:], t.Whole)
		e[rollout.Group{Route: t.Route, Endpoint: uint64(t.Endpoint)}] = c
	}
	return e
}

// announceChanges announces changes of rollouts until ctx ends.
func (r *rollouts) announceChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.changed:
			r.announceNow()
		}
	}
}
