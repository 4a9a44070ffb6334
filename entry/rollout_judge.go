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
	// judgeKey is hashed with the VMs' addresses to choose who judges in a failure domain.
	judgeKey = "rollout-judge"
	// reportEvery is how often a VM tells its judge what it saw, and a judge the others;
	// reportSpread is added for each VM of the failure domain, so that what a judge hears
	// does not grow with it.
	reportEvery  = 200 * time.Millisecond
	reportSpread = 5 * time.Millisecond
	// announceRollouts is how often a judge tells its failure domain how far a move is.
	announceRollouts = 500 * time.Millisecond
	// reportLife is for how many times between two reports the last one holds.
	reportLife = 4
	// tellFinal is how long a verdict is told after it came.
	tellFinal = 30 * time.Second
)

// judge is what a VM knows that judges for its failure domain.
type judge struct {
	// vms is what the processes of the failure domain saw, domains what failure domains did.
	vms, domains *rollout.Ledger
	watch        *rollout.Watch
	// drainedVMs and drainedDomains are those where nothing runs at the old version.
	drainedVMs, drainedDomains drained
	// suspected and next are those that were last logged.
	suspected bool
	next      rollout.Phase
}

// drained is when VMs or failure domains last said that nothing runs at the old version there.
type drained map[string]time.Duration

// take takes in what one of them says.
func (d drained) take(now time.Duration, who string, report *schema.RolloutReport) {
	if report.Drained {
		d[who] = now
		return
	}
	delete(d, who)
}

// holds says whether one of them said so within some times between two reports.
func (d drained) holds(now, pause time.Duration, who string) bool {
	at, ok := d[who]
	return ok && now-at <= reportLife*pause
}

func newJudge(o rollout.Order) *judge {
	return &judge{
		vms: rollout.NewLedger(), domains: rollout.NewLedger(), watch: rollout.NewWatch(o),
		drainedVMs: make(drained), drainedDomains: make(drained),
	}
}

// judges are the addresses of the VMs that judge, by failure domain. VMs may disagree for a
// moment; what they told the one before is told again to the next, and counts once.
func (p *peers) judges() map[string]string {
	now := p.d.now()
	own := p.d.settings.Listen.Peers
	judges := map[string]string{p.d.settings.Vm.FailureDomain: own}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pe := range p.addrs {
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

// leads says whether a VM leads the judges: it alone moves requests and writes to the store.
func leads(address, service string, judges map[string]string) bool {
	for _, other := range judges {
		if rendezvous.Hash(service, other) > rendezvous.Hash(service, address) {
			return false
		}
	}
	return true
}

// reportPause is the time between two reports.
func (p *peers) reportPause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return reportEvery + time.Duration(p.known.Domain)*reportSpread
}

// step does what is due for the services that move. It is called with each note.
func (r *rollouts) step() {
	r.mu.Lock()
	moving := make([]*movement, 0, len(r.byService))
	for _, m := range r.byService {
		moving = append(moving, m)
	}
	r.mu.Unlock()
	if r.changing(r.d.now()) {
		r.d.sched.resync()
	}
	if len(moving) == 0 {
		return
	}
	judges := r.d.peers.judges()
	pause := r.d.peers.reportPause()
	for _, m := range moving {
		r.stepOne(m, judges, pause)
	}
}

func (r *rollouts) stepOne(m *movement, judges map[string]string, pause time.Duration) {
	own := r.d.settings.Listen.Peers
	mine := judges[r.d.settings.Vm.FailureDomain]
	r.mu.Lock()
	now := r.d.now()
	if m.phase.Final() && now-m.finalSince > tellFinal {
		r.mu.Unlock()
		return
	}
	var report *schema.RolloutReport
	if !m.phase.Final() && now-m.reported >= pause {
		m.reported = now
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
	var told *schema.RolloutReport
	lead := leads(own, m.order.Service, judges)
	if report != nil {
		m.judge.takeVM(now, own, own, report)
		told = r.domainReport(m, now, pause)
		r.decide(m, now, lead, judges, pause)
	}
	if lead {
		r.record(m, m.phase)
	}
	announce := now-m.announced >= announceRollouts
	if announce {
		m.announced = now
	}
	r.mu.Unlock()
	if told != nil {
		r.d.peers.sendReport(told, others)
	}
	if announce {
		r.tell(others)
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

// ownReport is what this process saw. The lock is held.
func (r *rollouts) ownReport(m *movement, now time.Duration) *schema.RolloutReport {
	_, whole := m.share(now, r.d.settings.Bounds.ExposureShare)
	report := reportOf(m.order, m.evidence)
	report.Drained = m.known && whole && m.runningOld == 0 && m.listedNew > 0
	return report
}

// domainReport is what the failure domain saw. The lock is held.
func (r *rollouts) domainReport(m *movement, now, pause time.Duration) *schema.RolloutReport {
	sum := m.judge.vms.Sum()
	m.judge.domains.Merge(r.d.settings.Vm.FailureDomain, sum)
	report := reportOf(m.order, sum)
	report.Domain = true
	report.Drained = r.domainDrained(m, now, pause)
	return report
}

// domainDrained says whether nothing runs at the old version from any VM of the own failure
// domain that is heard. One that is not heard is dead, or cut off: it cannot be waited for,
// and when the old endpoints stop it sees them gone. The lock is held.
func (r *rollouts) domainDrained(m *movement, now, pause time.Duration) bool {
	for _, address := range append(r.d.peers.heardIn(r.d.settings.Vm.FailureDomain), r.d.settings.Listen.Peers) {
		if !m.judge.drainedVMs.holds(now, pause, address) {
			return false
		}
	}
	return true
}

// allDrained says whether that holds for each failure domain. One of which no VM is heard may be
// dead, or cut off and still sending to the old version, whose endpoints would stop under its
// requests: it is waited for as long as the order's time lasts, and by the smaller side of a cut
// for ever. The lock is held.
func (r *rollouts) allDrained(m *movement, now, pause time.Duration, judges map[string]string) bool {
	known := r.d.peers.knownDomains()
	if len(judges) < known && (now-m.since < m.order.Duration || 2*len(judges) <= known) {
		return false
	}
	for domain := range judges {
		if domain != r.d.settings.Vm.FailureDomain && !m.judge.drainedDomains.holds(now, pause, domain) {
			return false
		}
	}
	return r.domainDrained(m, now, pause)
}

// decide takes the next step of a move as a judge. Each judge may find a version bad; only
// the one that leads moves requests and has the store written, so that it is done once. The
// lock is held.
func (r *rollouts) decide(m *movement, now time.Duration, lead bool, judges map[string]string, pause time.Duration) {
	if !m.known {
		return
	}
	sum := m.judge.domains.Sum()
	age := now - m.since
	k := rollout.Known{
		Age: age, Finding: m.judge.watch.Test(m.phase, age, sum, len(m.tried)), Longest: sum.Longest(),
		NewListed: m.listedNew, OldListed: m.listedOld, Held: slices.Contains(r.held, m.order.Service),
	}
	k.Answers, k.Failures, k.OldAnswers = sum.Totals()
	k.Drained = m.phase == rollout.Moving && r.allDrained(m, now, pause, judges)
	next := m.order.Decide(m.phase, k)
	r.logFinding(m, k, next)
	if next == rollout.RolledBack || lead && next == rollout.Moving {
		r.advance(m, next, learnedSeen)
	}
	if lead && next == rollout.Completed {
		r.record(m, next)
	}
}

// logFinding says what speaks against a version when it becomes suspect, and at the verdict.
func (r *rollouts) logFinding(m *movement, k rollout.Known, next rollout.Phase) {
	suspect := k.Finding.Suspect()
	logged := next == m.judge.next && (!suspect || m.judge.suspected)
	m.judge.suspected, m.judge.next = suspect, next
	if logged {
		return
	}
	f := k.Finding
	r.d.log.Info().Str("service", m.order.Service).Str("version", m.order.Version).Stringer("phase", m.phase).Stringer("next", next).
		Dur("age", k.Age).Str("route", f.Route).Stringer("kind", f.Kind).Str("strength", strconv.FormatFloat(f.Strength, 'f', 1, 64)).
		Int("new_bad", f.NewBad).Int("new_total", f.NewTotal).Int("old_bad", f.OldBad).Int("old_total", f.OldTotal).
		Str("doubt", strconv.FormatFloat(f.Doubt, 'f', 1, 64)).Int("answers", k.Answers).Int("failures", k.Failures).Int("old_answers", k.OldAnswers).Int("listed_new", k.NewListed).Int("listed_old", k.OldListed).Bool("drained", k.Drained).Msg("rollout_judged")
}

// takeVM takes in what a process of the own failure domain saw. source names the process,
// address its VM.
func (j *judge) takeVM(now time.Duration, source, address string, report *schema.RolloutReport) {
	j.vms.Merge(source, evidenceOf(report))
	j.drainedVMs.take(now, address, report)
}

func (j *judge) takeDomain(now time.Duration, domain string, report *schema.RolloutReport) {
	j.domains.Merge(domain, evidenceOf(report))
	j.drainedDomains.take(now, domain, report)
}

// takeReports takes in what other VMs saw, if this one judges.
func (r *rollouts) takeReports(n *schema.PeerNote) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range n.Reports {
		m := r.byService[report.Service]
		if m == nil || m.judge == nil || m.order.Version != report.Version {
			continue
		}
		switch {
		case report.Domain && n.FailureDomain != r.d.settings.Vm.FailureDomain:
			m.judge.takeDomain(r.d.now(), n.FailureDomain, report)
		case !report.Domain && n.FailureDomain == r.d.settings.Vm.FailureDomain:
			source := n.Address + " " + strconv.FormatUint(n.Incarnation, 10)
			m.judge.takeVM(r.d.now(), source, n.Address, report)
		}
	}
}
