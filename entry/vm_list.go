package entry

import (
	"context"
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/entry/poison"
)

const (
	// readerListInterval is how often the reader of a failure domain reads the list of VMs,
	// listInterval how often the other VMs do, which learn of new VMs from notes.
	readerListInterval = 5 * time.Second
	listInterval       = time.Minute
)

// followVMs writes this VM's record to the store once and then reads the records of all VMs
// periodically. The write comes first: if VMs that start together read before all have written,
// each takes a partial list for complete and the shared allowances are divided by too few VMs.
func (d *Daemon) followVMs(ctx context.Context) error {
	var health storeHealth
	var delay backoff
	written := false
	for ctx.Err() == nil {
		delay.begin()
		list, err := d.listVMs(ctx, &written)
		d.recordStoreResult(&health, "vms", err)
		if err != nil {
			d.offerStartList(nil)
			sleepJittered(ctx, delay.next(d.maxRetryPause()))
			continue
		}
		delay.reset()
		d.observeEra(list.era)
		d.applyVMList(list)
		d.retryBudgets.setFleetKnown(d.noRecentPredecessor)
		d.claimRestartAllowance()
		if d.peers.isStoreReader() {
			d.rewriteVMRecords(ctx, list)
			d.pauseUntilRelist(ctx, readerListInterval)
		} else {
			d.pauseUntilRelist(ctx, listInterval)
		}
	}
	return nil
}

// vmList holds the records of FeedVMs as read in one era of the store.
type vmList struct {
	records []Record
	era     uint64
}

// listVMs returns the records of all VMs, after writing this VM's own if that is not done yet.
func (d *Daemon) listVMs(ctx context.Context, written *bool) (vmList, error) {
	if !*written {
		before, err := d.writeOwnRecord(ctx)
		if err != nil {
			return vmList{}, err
		}
		*written = true
		if before != nil {
			return *before, nil
		}
	}
	records, next, err := d.opts.Store.Snapshot(ctx, FeedVMs)
	if err == nil {
		d.offerStartList(d.domainAddresses(records))
	}
	return vmList{records, next.Era}, err
}

// writeOwnRecord writes this VM's record, after reading when its previous process started. If the
// list read before the write already contains this VM, writeOwnRecord returns that list as
// complete: every VM that started since knows this one, so no two VMs can miss each other.
func (d *Daemon) writeOwnRecord(ctx context.Context) (*vmList, error) {
	self := d.ownRecord()
	before, next, err := d.opts.Store.Snapshot(ctx, FeedVMs)
	if err != nil {
		return nil, err
	}
	self.era = next.Era
	last, found := d.previousRecord(before)
	listed := slices.ContainsFunc(before, d.isOwnRecord)
	if listed {
		// The write may take seconds when many VMs start.
		d.offerStartList(d.domainAddresses(before))
	}
	if err := d.opts.Store.Write(ctx, Record{Key: d.settings.Vm.Name, Value: []byte(self.String())}); err != nil {
		return nil, err
	}
	if d.settings.Vm.FirstStart && !found && next.Era == 0 {
		d.resumption.markFirstStart()
	}
	d.restartClaimed = found && mayClaimRestart(last, self, d.settings.AllowanceWindow)
	d.noRecentPredecessor = found && mayClaimRestart(last, self, d.settings.RetryWindow) || !found && next.Era == 0
	d.log.Info().Bool("started_before", found).Dur("since_last_start", self.started.Sub(last.started)).Bool("claims", d.restartClaimed).
		Bool("apart", d.noRecentPredecessor).Msg("previous_start")
	if listed {
		d.peers.setListedBefore()
		return &vmList{before, next.Era}, nil
	}
	return nil, nil
}

// previousRecord returns the record that this VM's previous process wrote.
func (d *Daemon) previousRecord(before []Record) (last vmRecord, found bool) {
	for _, r := range before {
		if r.Key != d.settings.Vm.Name {
			continue
		}
		last, err := parseVMRecord(string(r.Value))
		if err != nil {
			d.log.Warn().Err(err).Msg("own_record_unreadable")
		}
		return last, true
	}
	return vmRecord{}, false
}

// isOwnRecord reports whether a record of the VM list belongs to this VM at its current address.
func (d *Daemon) isOwnRecord(r Record) bool {
	own, err := parseVMRecord(string(r.Value))
	return err == nil && r.Key == d.settings.Vm.Name && own.Address == d.settings.Listen.Peers
}

func (d *Daemon) applyVMList(list vmList) {
	d.loadConvictions(list.records)
	d.rollouts.loadStatuses(list.records)
	d.markInitialised()
	named := make(map[string]string)
	for _, r := range list.records {
		if d.isVMRecord(r) {
			named[r.Key] = string(r.Value)
		}
	}
	d.peers.mergeStoreList(named, d.isCompleteList(list))
	d.resumption.loadMarks(list)
}

// isVMRecord reports whether a record of FeedVMs describes a VM.
func (d *Daemon) isVMRecord(r Record) bool {
	return len(r.Value) > 0 && !poison.IsStoreKey(r.Key) && !isEraMark(r) && !isVersionMark(r) && !d.isStatusRecord(r)
}

const (
	// restartMargin is added to the allowance window: the starts of two processes of a VM must be
	// further apart than both together for the second to claim the restart allowance. Start times
	// come from clocks that may jump by seconds, and a lost write may take effect seconds later.
	restartMargin = 12 * time.Second
	// restartClaimDeadline is the uptime after which the restart allowance is not claimed any more:
	// the balances have refilled by then.
	restartClaimDeadline = 3 * time.Second
)

// claimRestartAllowance claims the restart allowance once this VM's shares are known.
func (d *Daemon) claimRestartAllowance() {
	if !d.restartClaimed {
		return
	}
	d.restartClaimed = false
	if d.now() > restartClaimDeadline || d.settings.Disabled.Has(mechanism.RestartAllowance) {
		return
	}
	d.shares.creditRestartAllowance()
}

// mayClaimRestart reports whether a process may claim the restart allowance, given the record of
// its predecessor. A record written before the store was restored from a backup proves nothing: the
// record of a later process, which may have claimed the allowance, may be lost.
func mayClaimRestart(last, self vmRecord, window time.Duration) bool {
	return last.era == self.era && !last.started.IsZero() && self.started.Sub(last.started) > window+restartMargin
}
