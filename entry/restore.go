package entry

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/allowance"
)

// The store may be restored from a backup of itself that is some seconds old. Records acknowledged
// since the backup are lost, their offsets are assigned again, and the store's era increases. The
// VMs recover what was lost:
//
//   - Each feed detects the restore by the era of each response and reads everything again
//     (feedCursor). Known configurations, departures and rollout verdicts are never reverted.
//   - The VMs' own records are written again by the reader of each failure domain in one call,
//     with a mark that they are complete. Convictions and rollout statuses are written again
//     by the VMs that store them.
//   - No spending depends on a record that may have been reverted: the restart allowance is
//     claimed only with a record of the same era, and the shared allowances are divided only
//     by a list that is marked as complete.

const (
	// rewriteDelay is the delay, with jitter, before the VMs' records are written again after a
	// restore. It is short because VMs that start meanwhile miss the lost records.
	rewriteDelay = 400 * time.Millisecond
	// rewriteUptime is the uptime after which a process marks the list as complete: by then VMs
	// that started at the same time have written their records and notes of the live ones have
	// arrived.
	rewriteUptime = 2 * time.Second
	// completeAfter is the uptime after which a process takes the list for complete even if a
	// failure domain has no mark: no VM is alive there.
	completeAfter = 5 * time.Second
	// incompleteListInterval is how often the list is read until it is complete.
	incompleteListInterval = time.Second
	// eraMarkPrefix starts the keys of the marks; the failure domain follows.
	eraMarkPrefix = "era-"
)

// eraTracker records the latest era of the store that this process has seen.
type eraTracker struct {
	mu    sync.Mutex
	known bool
	era   uint64
	// changed signals a new era to the goroutine that runs followVMs.
	changed chan struct{}
}

func newEraTracker() *eraTracker { return &eraTracker{changed: make(chan struct{}, 1)} }

// observe records an era and reports whether the store was restored from a backup since the last
// one.
func (e *eraTracker) observe(era uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && era <= e.era {
		return false
	}
	first := !e.known
	e.known, e.era = true, era
	if first {
		return false
	}
	select {
	case e.changed <- struct{}{}:
	default:
	}
	return true
}

// observeEra records an era received from the store or from another VM. After a restore it has
// convictions and rollout statuses written again.
func (d *Daemon) observeEra(era uint64) {
	if !d.eras.observe(era) {
		return
	}
	d.count("store_copies")
	d.log.Warn().Uint64("era", era).Msg("store_copied")
	d.poison.RewriteStored()
	d.rollouts.rewriteStatuses()
}

// pauseUntilRelist waits for a jittered duration. It returns earlier if the list of VMs is
// incomplete or this VM judges a rollout during a network partition, which may begin while it
// waits, and rewriteDelay after a restore of the store.
func (d *Daemon) pauseUntilRelist(ctx context.Context, longest time.Duration) {
	end := d.now() + jitter(longest)
	for ctx.Err() == nil && d.now() < end {
		t := time.NewTimer(min(jitter(incompleteListInterval), end-d.now()))
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-d.eras.changed:
			t.Stop()
			sleepJittered(ctx, rewriteDelay)
			return
		}
		t.Stop()
		if !d.peers.listComplete() || d.rollouts.judgesInPartition() {
			return
		}
	}
}

// isEraMark reports whether a record of FeedVMs marks a failure domain's VM records as complete.
func isEraMark(r Record) bool { return strings.HasPrefix(r.Key, eraMarkPrefix) }

// ownRecord returns this VM's record.
func (d *Daemon) ownRecord() vmRecord {
	return vmRecord{VM: allowance.VM{Address: d.settings.Listen.Peers, Domain: d.settings.Vm.FailureDomain}, started: d.startedAt}
}

// eraMarks returns, by failure domain, the era in which its VM records were last complete.
func (l vmList) eraMarks() map[string]uint64 {
	marks := make(map[string]uint64)
	for _, r := range l.records {
		domain, ok := strings.CutPrefix(r.Key, eraMarkPrefix)
		if !ok {
			continue
		}
		// An unreadable mark counts as missing.
		if era, err := strconv.ParseUint(string(r.Value), 10, 64); err == nil {
			marks[domain] = era
		}
	}
	return marks
}

// isCompleteList reports whether a list contains all VMs. A store that was never restored has lost
// none, and at the first start of a deployment there was nothing to lose. After a restore each
// failure domain marks when its own records are there again.
func (d *Daemon) isCompleteList(l vmList) bool {
	if l.era == 0 || d.settings.Vm.FirstStart || d.now() >= completeAfter {
		return true
	}
	marks := l.eraMarks()
	for _, domain := range d.settings.FailureDomains {
		if marks[domain.Name] != l.era {
			return false
		}
	}
	return marks[d.settings.Vm.FailureDomain] == l.era
}

// rewriteVMRecords writes the VM records of this failure domain that a restore of the store may
// have lost, and the mark.
func (d *Daemon) rewriteVMRecords(ctx context.Context, l vmList) {
	domain := d.settings.Vm.FailureDomain
	if l.era == 0 || l.eraMarks()[domain] == l.era || d.now() < rewriteUptime {
		return
	}
	records := d.missingRecords(l)
	mark := Record{Key: eraMarkPrefix + domain, Value: []byte(strconv.FormatUint(l.era, 10))}
	err := d.opts.Store.Write(ctx, append(records, mark)...)
	d.log.Info().Uint64("era", l.era).Int("records", len(records)).Err(err).Msg("store_healed")
}

// missingRecords returns the records of this failure domain's VMs that the store lacks in its
// current era. Start times are taken from the VMs' notes; a record without one has none, so that
// no restart allowance is claimed by it.
func (d *Daemon) missingRecords(l vmList) []Record {
	current := make(map[string]bool)
	for _, r := range l.records {
		if rec, err := parseVMRecord(string(r.Value)); d.isVMRecord(r) && err == nil && rec.era == l.era {
			current[r.Key] = true
		}
	}
	known := d.peers.vmRecordsIn(d.settings.Vm.FailureDomain)
	known[d.settings.Vm.Name] = d.ownRecord()
	var records []Record
	for name, rec := range known {
		if !current[name] {
			rec.era = l.era
			records = append(records, Record{Key: name, Value: []byte(rec.String())})
		}
	}
	return records
}

// vmRecordsIn returns the records of the other known VMs of a failure domain, by name.
func (p *peers) vmRecordsIn(domain string) map[string]vmRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	records := make(map[string]vmRecord)
	for address, pe := range p.byAddress {
		if pe.domain != domain || pe.name == "" {
			continue
		}
		rec := vmRecord{VM: allowance.VM{Address: address, Domain: domain}}
		if pe.incarnation > 0 {
			rec.started = time.Unix(0, int64(pe.incarnation))
		}
		records[pe.name] = rec
	}
	return records
}

// listComplete reports whether the list of VMs is complete.
func (p *peers) listComplete() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listIsComplete
}
