package entry

import (
	"slices"
	"strconv"
	"time"

	"github.com/chivefield/chivefield/core/rollout"
	"github.com/chivefield/chivefield/rendezvous"
	"github.com/chivefield/chivefield/schema"
)

const (
	// judgeKey is hashed with the VMs' addresses to choose the judge of a failure domain.
	judgeKey = "rollout-judge"
	// minReportInterval is how often a VM sends its evidence to its judge, and a judge to the
	// others. reportIntervalPerVM is added for each VM of the failure domain, so that the load on a
	// judge does not grow with it.
	minReportInterval   = 200 * time.Millisecond
	reportIntervalPerVM = 5 * time.Millisecond
	// announceInterval is how often a judge sends the phases of rollouts to its failure domain.
	announceInterval = 500 * time.Millisecond
	// reportTTLIntervals is the number of report intervals for which a report is valid.
	reportTTLIntervals = 4
	// finalAnnounceTime is how long a verdict is announced.
	finalAnnounceTime = 30 * time.Second
)

// judge is the state of the VM that judges a rollout for its failure domain.
type judge struct {
	// vms is the evidence of the failure domain's processes, domains that of whole failure domains.
	vms, domains *rollout.Aggregator
	monitor      *rollout.Monitor
	// drainedVMs and drainedDomains are those with no request at the old version.
	drainedVMs, drainedDomains drainReports
	// suspected and next are the last logged values.
	suspected bool
	next      rollout.Phase
}

// drainReports maps VMs or failure domains to when they last reported that they have no request at
// the old version.
type drainReports map[string]time.Duration

// record records a report of a VM or failure domain.
func (d drainReports) record(now time.Duration, name string, report *schema.RolloutReport) {
	if report.Drained {
		d[name] = now
		return
	}
	delete(d, name)
}

// isDrained reports whether the last report of a VM or failure domain says that it is drained and
// is still valid.
func (d drainReports) isDrained(now, interval time.Duration, name string) bool {
	at, ok := d[name]
	return ok && now-at <= reportTTLIntervals*interval
}

func newJudge(o rollout.Order) *judge {
	return &judge{
		vms: rollout.NewAggregator(), domains: rollout.NewAggregator(), monitor: rollout.NewMonitor(o),
		drainedVMs: make(drainReports), drainedDomains: make(drainReports),
	}
}

// judges returns the addresses of the judges by failure domain. VMs may disagree for a moment:
// evidence sent to one judge is then sent again to the next, and counts once.
func (p *peers) judges() map[string]string {
	now := p.d.now()
	own := p.d.settings.Listen.Peers
	judges := map[string]string{p.d.settings.Vm.FailureDomain: own}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pe := range p.byAddress {
		if !pe.presumedAlive(now) {
			continue
		}
		best, ok := judges[pe.domain]
		if !ok || rendezvous.Hash(judgeKey, address) > rendezvous.Hash(judgeKey, best) {
			judges[pe.domain] = address
		}
	}
	return judges
}

// isLeader reports whether a VM leads the judges. Only the leader shifts requests and writes to the
// store.
func isLeader(address, service string, judges map[string]string) bool {
	for _, other := range judges {
		if rendezvous.Hash(service, other) > rendezvous.Hash(service, address) {
			return false
		}
	}
	return true
}

// reportInterval returns the time between two reports.
func (p *peers) reportInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return minReportInterval + time.Duration(p.counts.Domain)*reportIntervalPerVM
}

// step performs the due actions of all rollouts. It runs before each round of notes.
func (r *rollouts) step() {
	r.mu.Lock()
	active := make([]*rolloutState, 0, len(r.byService))
	for _, m := range r.byService {
		active = append(active, m)
	}
	r.mu.Unlock()
	if r.takeTransition(r.d.now()) {
		r.d.sched.resync()
	}
	if len(active) == 0 {
		return
	}
	judges := r.d.peers.judges()
	interval := r.d.peers.reportInterval()
	for _, m := range active {
		r.stepRollout(m, judges, interval)
	}
}

func (r *rollouts) stepRollout(m *rolloutState, judges map[string]string, interval time.Duration) {
	own := r.d.settings.Listen.Peers
	mine := judges[r.d.settings.Vm.FailureDomain]
	r.mu.Lock()
	now := r.d.now()
	if m.phase.Final() && now-m.finalSince > finalAnnounceTime {
		r.mu.Unlock()
		return
	}
	var report *schema.RolloutReport
	if !m.phase.Final() && now-m.reportedAt >= interval {
		m.reportedAt = now
		report = r.ownReport(m, now)
	}
	if mine != own {
		m.judge = nil
		r.mu.Unlock()
		if report != nil {
			r.d.peers.sendReport(report, []string{mine})
		}
		return
	}
	if m.judge == nil {
		m.judge = newJudge(m.order)
	}
	others := otherJudges(judges, own)
	var toDomains *schema.RolloutReport
	lead := isLeader(own, m.order.Service, judges)
	if report != nil {
		m.judge.mergeVMReport(now, own, own, report)
		toDomains = r.domainReport(m, now, interval)
		r.decide(m, now, lead, judges, interval)
	}
	if lead {
		r.queueStatus(m, m.phase)
	}
	announce := now-m.announcedAt >= announceInterval
	if announce {
		m.announcedAt = now
	}
	r.mu.Unlock()
	if toDomains != nil {
		r.d.peers.sendReport(toDomains, others)
	}
	if announce {
		r.announce(others)
	}
}

func otherJudges(judges map[string]string, own string) []string {
	var list []string
	for _, address := range judges {
		if address != own {
			list = append(list, address)
		}
	}
	return list
}

// ownReport returns the evidence of this process. The caller holds the lock.
func (r *rollouts) ownReport(m *rolloutState, now time.Duration) *schema.RolloutReport {
	_, all := m.trafficShare(now, r.d.settings.Bounds.ExposureShare)
	report := reportToWire(m.order, m.evidence)
	report.Drained = m.phaseKnown && all && m.runningOld == 0 && m.listedNew > 0
	return report
}

// domainReport returns the evidence of the failure domain. The caller holds the lock.
func (r *rollouts) domainReport(m *rolloutState, now, interval time.Duration) *schema.RolloutReport {
	sum := m.judge.vms.Sum()
	m.judge.domains.Merge(r.d.settings.Vm.FailureDomain, sum)
	report := reportToWire(m.order, sum)
	report.Domain = true
	report.Drained = r.domainDrained(m, now, interval)
	return report
}

// domainDrained reports whether no reachable VM of this VM's failure domain has a request at the
// old version. An unreachable VM is dead or partitioned: it cannot be waited for, and sees the old
// endpoints gone when they stop. The caller holds the lock.
func (r *rollouts) domainDrained(m *rolloutState, now, interval time.Duration) bool {
	for _, address := range append(r.d.peers.reachableIn(r.d.settings.Vm.FailureDomain), r.d.settings.Listen.Peers) {
		if !m.judge.drainedVMs.isDrained(now, interval, address) {
			return false
		}
	}
	return true
}

// allDrained reports whether all failure domains are drained. A failure domain without a reachable
// VM may be dead, or partitioned and still sending to the old version, whose endpoints would stop
// under its requests. It is waited for until the order's duration is over, and indefinitely on a
// side of the partition that reaches at most half of the failure domains. The caller holds the
// lock.
func (r *rollouts) allDrained(m *rolloutState, now, interval time.Duration, judges map[string]string) bool {
	known := r.d.peers.knownDomains()
	if len(judges) < known && (now-m.orderedAt < m.order.Duration || 2*len(judges) <= known) {
		return false
	}
	for domain := range judges {
		if domain != r.d.settings.Vm.FailureDomain && !m.judge.drainedDomains.isDrained(now, interval, domain) {
			return false
		}
	}
	return r.domainDrained(m, now, interval)
}

// decide takes the next step of a rollout as a judge. Each judge may roll a version back; only the
// leader shifts requests and has the completion written to the store, so that it is done once. The
// caller holds the lock.
func (r *rollouts) decide(m *rolloutState, now time.Duration, lead bool, judges map[string]string, interval time.Duration) {
	if !m.phaseKnown {
		return
	}
	sum := m.judge.domains.Sum()
	age := now - m.orderedAt
	state := rollout.State{
		Age: age, Finding: m.judge.monitor.Evaluate(m.phase, age, sum, len(m.canaryEndpoints)), LongestResponse: sum.LongestResponse(),
		NewListed: m.listedNew, OldListed: m.listedOld, Held: slices.Contains(r.held, m.order.Service),
	}
	state.Answers, state.Failures, state.OldAnswers = sum.Totals()
	state.Drained = m.phase == rollout.Shifting && r.allDrained(m, now, interval, judges)
	next := m.order.Decide(m.phase, state)
	r.logFinding(m, state, next)
	if next == rollout.RolledBack || lead && next == rollout.Shifting {
		r.advance(m, next, learnedSeen)
	}
	if lead && next == rollout.Completed {
		r.queueStatus(m, next)
	}
}

// logFinding logs the evidence against a version when it becomes suspect and at the verdict.
func (r *rollouts) logFinding(m *rolloutState, state rollout.State, next rollout.Phase) {
	suspect := state.Finding.Suspect()
	logged := next == m.judge.next && (!suspect || m.judge.suspected)
	m.judge.suspected, m.judge.next = suspect, next
	if logged {
		return
	}
	f := state.Finding
	r.d.log.Info().Str("service", m.order.Service).Str("version", m.order.Version).Stringer("phase", m.phase).Stringer("next", next).
		Dur("age", state.Age).Str("route", f.Route).Stringer("kind", f.Kind).Str("strength", strconv.FormatFloat(f.Strength, 'f', 1, 64)).
		Int("new_bad", f.NewBad).Int("new_total", f.NewTotal).Int("old_bad", f.OldBad).Int("old_total", f.OldTotal).
		Str("doubt", strconv.FormatFloat(f.TotalStrength, 'f', 1, 64)).Int("answers", state.Answers).Int("failures", state.Failures).Int("old_answers", state.OldAnswers).Int("listed_new", state.NewListed).Int("listed_old", state.OldListed).Bool("drained", state.Drained).Msg("rollout_judged")
}

// mergeVMReport merges the evidence of a process of this VM's failure domain. source identifies the
// process, address its VM.
func (j *judge) mergeVMReport(now time.Duration, source, address string, report *schema.RolloutReport) {
	j.vms.Merge(source, evidenceFromWire(report))
	j.drainedVMs.record(now, address, report)
}

func (j *judge) mergeDomainReport(now time.Duration, domain string, report *schema.RolloutReport) {
	j.domains.Merge(domain, evidenceFromWire(report))
	j.drainedDomains.record(now, domain, report)
}

// mergeReports merges the evidence of other VMs if this VM is a judge.
func (r *rollouts) mergeReports(n *schema.PeerNote) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range n.Reports {
		m := r.byService[report.Service]
		if m == nil || m.judge == nil || m.order.Version != report.Version {
			continue
		}
		switch {
		case report.Domain && n.FailureDomain != r.d.settings.Vm.FailureDomain:
			m.judge.mergeDomainReport(r.d.now(), n.FailureDomain, report)
		case !report.Domain && n.FailureDomain == r.d.settings.Vm.FailureDomain:
			source := n.Address + " " + strconv.FormatUint(n.Incarnation, 10)
			m.judge.mergeVMReport(r.d.now(), source, n.Address, report)
		}
	}
}
