package entry

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/allowance"
)

// The store may come back from a copy of itself that is some seconds old. What was acknowledged
// since is gone, offsets are given out again, and its era rises. What the VMs know outlasts it:
//
//   - Each feed notices by itself, by the era of each answer, and reads everything again
//     (cursor). Configurations, departures and verdicts that are known never go back.
//   - What the VMs themselves had written is written again by the VM that reads for its failure
//     domain, in one call: records of VMs, and a mark that they are whole. Convictions and
//     statuses follow by those who keep them.
//   - Nothing that is spent rests on a record that may have gone back: what is kept for
//     restarts is taken only by a record of the same era, and what all VMs share is
//     divided only by a list that is marked as whole.

const (
	// healSpread is how long after a copy the records of VMs are written again, with spread:
	// what is lost is lost to those that start now.
	healSpread = 400 * time.Millisecond
	// healUptime is after what uptime a process says that the list is whole: by then VMs
	// that started beside it have written themselves, and those that live were heard.
	healUptime = 2 * time.Second
	// completeAfter is after what uptime a process takes the list for whole though no VM of
	// some failure domain says so: none lives there.
	completeAfter = 5 * time.Second
	// incompleteEvery is how often the list is read until it is whole.
	incompleteEvery = time.Second
	// markKey begins the keys of marks, which end with the failure domain.
	markKey = "era-"
)

// eras is what this process knows of the store's eras.
type eras struct {
	mu    sync.Mutex
	known bool
	era   uint64
	// changed delivers a new era to the goroutine that announces this VM.
	changed chan struct{}
}

func newEras() *eras { return &eras{changed: make(chan struct{}, 1)} }

// note takes in an era, and reports whether the store came back from a copy since.
func (e *eras) note(era uint64) bool {
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

// noteEra takes in the era that an answer of the store told, or another VM.
func (d *Daemon) noteEra(era uint64) {
	if !d.eras.note(era) {
		return
	}
	d.count("store_copies")
	d.log.Warn().Uint64("era", era).Msg("store_copied")
	d.suspects.rewrite()
	d.rollouts.rewrite()
}

// pauseOrEra waits for a time, until a while after the store came back from a copy, or until the list
// has to be read oftener: a cut may begin while it waits.
func (d *Daemon) pauseOrEra(ctx context.Context, most time.Duration) {
	end := d.now() + spread(most)
	for ctx.Err() == nil && d.now() < end {
		t := time.NewTimer(min(spread(incompleteEvery), end-d.now()))
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-d.eras.changed:
			t.Stop()
			pause(ctx, healSpread)
			return
		}
		t.Stop()
		if !d.peers.knowsAll() || d.rollouts.cutOff() {
			return
		}
	}
}

// isMark says whether a record of FeedVMs says that those of a failure domain are whole.
func isMark(r Record) bool { return strings.HasPrefix(r.Key, markKey) }

// ownRecord is this VM's record.
func (d *Daemon) ownRecord() vmRecord {
	return vmRecord{VM: allowance.VM{Address: d.settings.Listen.Peers, Domain: d.settings.Vm.FailureDomain}, started: d.startedAt}
}

// marks are the eras in which the records of failure domains were last whole.
func (l vmList) marks() map[string]uint64 {
	marks := make(map[string]uint64)
	for _, r := range l.records {
		domain, ok := strings.CutPrefix(r.Key, markKey)
		if !ok {
			continue
		}
		// A mark that cannot be read is none.
		if era, err := strconv.ParseUint(string(r.Value), 10, 64); err == nil {
			marks[domain] = era
		}
	}
	return marks
}

// isComplete says whether a list holds all VMs: a store that never came back from a copy loses
// none, and before the first start of the deployment there was nothing to lose; after a copy each
// failure domain says when its own are there again.
func (d *Daemon) isComplete(l vmList) bool {
	if l.era == 0 || d.settings.Vm.FirstStart || d.now() >= completeAfter {
		return true
	}
	marks := l.marks()
	for _, domain := range d.settings.FailureDomains {
		if marks[domain.Name] != l.era {
			return false
		}
	}
	return marks[d.settings.Vm.FailureDomain] == l.era
}

// heal writes again what the store may have lost of this failure domain's VMs.
func (d *Daemon) heal(ctx context.Context, l vmList) {
	domain := d.settings.Vm.FailureDomain
	if l.era == 0 || l.marks()[domain] == l.era || d.now() < healUptime {
		return
	}
	records := d.lost(l)
	mark := Record{Key: markKey + domain, Value: []byte(strconv.FormatUint(l.era, 10))}
	err := d.opts.Store.Write(ctx, append(records, mark)...)
	d.log.Info().Uint64("era", l.era).Int("records", len(records)).Err(err).Msg("store_healed")
}

// lost are the records of VMs of this failure domain that the store does not have as of its era.
// The start of a VM's process is known from its notes; without it the record says none, so
// that nothing is taken for it.
func (d *Daemon) lost(l vmList) []Record {
	current := make(map[string]bool)
	for _, r := range l.records {
		if rec, err := parseVMRecord(string(r.Value)); d.isVM(r) && err == nil && rec.era == l.era {
			current[r.Key] = true
		}
	}
	known := d.peers.recordsOf(d.settings.Vm.FailureDomain)
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

// recordsOf are the records of the other VMs of a failure domain as this VM knows them, by name.
func (p *peers) recordsOf(domain string) map[string]vmRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	records := make(map[string]vmRecord)
	for address, pe := range p.addrs {
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

// knowsAll says whether the whole list of VMs is known.
func (p *peers) knowsAll() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.complete
}
