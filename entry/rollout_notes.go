package entry

import (
	"context"
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/rollout"
	"github.com/chivefield/chivefield/schema"
)

// describe is how far all moves are, as other VMs are told.
func (r *rollouts) describe() []*schema.Rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*schema.Rollout
	for _, m := range r.byService {
		if !m.known {
			continue
		}
		list = append(list, &schema.Rollout{
			Service: m.order.Service, Version: m.order.Version, DurationMs: uint32(m.order.Duration.Milliseconds()),
			Position: &schema.StorePosition{Era: m.at.Era, Offset: m.at.Offset},
			Phase:    uint32(m.phase), AgeMs: uint32((r.d.now() - m.since).Milliseconds()),
		})
	}
	return list
}

// told takes in what another VM knows of moves.
func (r *rollouts) told(list []*schema.Rollout) {
	for _, t := range list {
		phase := rollout.Phase(min(t.Phase, uint32(rollout.Completed)))
		o := rollout.Order{Service: t.Service, Version: t.Version, Duration: time.Duration(t.DurationMs) * time.Millisecond}
		at := Position{Era: t.GetPosition().GetEra(), Offset: t.GetPosition().GetOffset()}
		r.take(o, at, r.d.now()-time.Duration(t.AgeMs)*time.Millisecond, &phase)
	}
}

// tell tells the own failure domain, and some others, how far moves are.
func (r *rollouts) tell(others []string) {
	n := r.d.peers.note()
	if n.Rollouts = r.describe(); len(n.Rollouts) == 0 {
		return
	}
	r.d.peers.writeAll(r.d.peers.encode(n), append(r.d.peers.domain(), others...))
}

// tellNews tells at once what changed: to the own failure domain and the judges of others, who
// pass it on.
func (r *rollouts) tellNews() {
	r.tell(otherJudges(r.d.peers.judges(), r.d.settings.Listen.Peers))
}

// sendReport sends what was seen to VMs that judge.
func (p *peers) sendReport(report *schema.RolloutReport, to []string) {
	n := p.note()
	n.Reports = []*schema.RolloutReport{report}
	p.writeAll(p.encode(n), to)
}

// reach is how many VMs are served by the placers that are heard, this VM included, and how many are
// known; 0 if the list is not whole.
func (p *peers) reach() (heard, known int) {
	now, members := p.d.now(), p.d.remoteJobs.requesterAddresses()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.complete {
		return 0, 0
	}
	heard = 1 + len(members)
	for _, pe := range p.addrs {
		if pe.isAlive(now) && !pe.asks {
			heard += 1 + pe.members
		}
	}
	return heard, len(p.addrs) + 1
}

// fleetSize is the number of VMs, this one included; 0 if it is not known.
func (p *peers) fleetSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.complete {
		return 0
	}
	return len(p.addrs) + 1
}

// knownDomains is the number of failure domains with a VM that is known, the own one included.
func (p *peers) knownDomains() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	domains := map[string]bool{p.d.settings.Vm.FailureDomain: true}
	for _, pe := range p.addrs {
		domains[pe.domain] = true
	}
	return len(domains)
}

// heardIn are the addresses of the other VMs of a failure domain that are heard.
func (p *peers) heardIn(domain string) []string {
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, pe := range p.addrs {
		if pe.domain == domain && pe.isAlive(now) {
			list = append(list, address)
		}
	}
	return list
}

func reportOf(o rollout.Order, e rollout.Evidence) *schema.RolloutReport {
	report := &schema.RolloutReport{Service: o.Service, Version: o.Version}
	for g, c := range e {
		report.Counts = append(report.Counts, &schema.RolloutCounts{
			Route: g.Route, Endpoint: uint32(g.Endpoint), Answers: c.Answers, Failures: c.Failures, Cuts: c.Cuts, First: trimmed(c.First), Whole: trimmed(c.Whole),
		})
	}
	return report
}

// trimmed are a histogram's buckets without the empty ones at the end.
func trimmed(h rollout.Histogram) []uint32 {
	n := len(h)
	for n > 0 && h[n-1] == 0 {
		n--
	}
	return slices.Clone(h[:n])
}

func evidenceOf(report *schema.RolloutReport) rollout.Evidence {
	e := make(rollout.Evidence)
	for _, t := range report.GetCounts() {
		c := rollout.Counts{Answers: t.Answers, Failures: t.Failures, Cuts: t.Cuts}
		copy(c.First[:], t.First)
		copy(c.Whole[:], t.Whole)
		e[rollout.Group{Route: t.Route, Endpoint: uint64(t.Endpoint)}] = c
	}
	return e
}

// follow tells news of moves until ctx ends.
func (r *rollouts) follow(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.news:
			r.tellNews()
		}
	}
}
