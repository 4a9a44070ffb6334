package entry

import (
	"context"
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

const (
	// readerListInterval is how often the VM that reads for its failure domain reads the
	// list of VMs, listEvery how often the others do, who hear of new VMs by notes.
	readerListInterval = 5 * time.Second
	listInterval       = time.Minute
)

// followVMs writes this VM's record to the store once, and reads those of all after that and
// now and then: VMs that start together must be written before the list counts as whole,
// or what all share would be divided by too few.
func (d *Daemon) followVMs(ctx context.Context) error {
	var health storeHealth
	var delay backoff
	written := false
	for ctx.Err() == nil {
		list, err := d.listVMs(ctx, &written)
		d.recordStoreResult(&health, "vms", err)
		if err != nil {
			sleepJittered(ctx, delay.next(d.maxRetryPause()))
			continue
		}
		delay.reset()
		d.observeEra(list.era)
		d.applyVMList(list)
		d.retries.noteListed(d.apart)
		d.claimRestartAllowance()
		if d.peers.reads() {
			d.rewriteVMRecords(ctx, list)
			d.pauseUntilRelist(ctx, readerListInterval)
		} else {
			d.pauseUntilRelist(ctx, listInterval)
		}
	}
	return nil
}

// vmList is the records of FeedVMs as the store held them in an era.
type vmList struct {
	records []Record
	era     uint64
}

// listVMs returns the records of all VMs, once this VM's own is written.
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
	records, next, err := d.opts.Store.Newest(ctx, FeedVMs)
	return vmList{records, next.Era}, err
}

// writeOwnRecord writes this VM's record, and finds out before when its process before started. It
// returns the list of VMs if what was read before is whole: a VM that is in it was known to all that
// started since, so no two can miss each other.
func (d *Daemon) writeOwnRecord(ctx context.Context) (*vmList, error) {
	self := d.ownRecord()
	before, next, err := d.opts.Store.Newest(ctx, FeedVMs)
	if err != nil {
		return nil, err
	}
	self.era = next.Era
	last, found := d.previousRecord(before)
	if err := d.opts.Store.Write(ctx, Record{Key: d.set.Vm.Name, Value: []byte(self.String())}); err != nil {
		return nil, err
	}
	d.claimed = found && mayClaimRestart(last, self, d.set.AllowanceWindow)
	d.apart = found && mayClaimRestart(last, self, d.set.RetryWindow) || !found && next.Era == 0
	d.log.Info().Bool("started_before", found).Dur("since_last_start", self.started.Sub(last.started)).Bool("claims", d.claimed).
		Bool("apart", d.apart).Msg("previous_start")
	if slices.ContainsFunc(before, d.isOwnRecord) {
		d.peers.setListedBefore()
		return &vmList{before, next.Era}, nil
	}
	return nil, nil
}

// previousRecord is the record of this VM's process before this one.
func (d *Daemon) previousRecord(before []Record) (last vmRecord, found bool) {
	for _, r := range before {
		if r.Key != d.set.Vm.Name {
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

// isOwnRecord says whether a record of the list of VMs is that of this VM at its address.
func (d *Daemon) isOwnRecord(r Record) bool {
	own, err := parseVMRecord(string(r.Value))
	return err == nil && r.Key == d.set.Vm.Name && own.Address == d.set.Listen.Peers
}

func (d *Daemon) applyVMList(list vmList) {
	d.suspects.loadStored(list.records)
	d.rollouts.loadStatuses(list.records)
	d.noteInformed()
	named := make(map[string]string)
	for _, r := range list.records {
		if d.isVMRecord(r) {
			named[r.Key] = string(r.Value)
		}
	}
	d.peers.mergeStoreList(named, d.isCompleteList(list))
}

// isVMRecord says whether a record of FeedVMs is that of a VM.
func (d *Daemon) isVMRecord(r Record) bool {
	return len(r.Value) > 0 && !isSuspectRecord(r) && !isEraMark(r) && !d.isStatusRecord(r)
}

const (
	// restartMargin is by how much longer than the window of allowances the starts of two
	// processes of a VM must lie apart for the second to get what is kept for restarts.
	// Starts are told by clocks that jump by seconds, and a lost write may be done seconds
	// after.
	restartMargin = 12 * time.Second
	// restartClaimDeadline is after what uptime it is not asked for any more: balances have been
	// earned by then.
	restartClaimDeadline = 3 * time.Second
)

// claimRestartAllowance takes what is kept for restarts once this VM's parts are known.
func (d *Daemon) claimRestartAllowance() {
	if !d.claimed {
		return
	}
	d.claimed = false
	if d.now() > restartClaimDeadline || d.set.Off.Has(mechanism.RestartAllowance) {
		return
	}
	d.shares.creditRestartAllowance()
}

// mayClaimRestart says whether a VM's process may take what is kept for restarts, by the record
// of the one before. A record that was written before the store came back from a copy says
// nothing: the record of a process since, which may have taken it, may be lost.
func mayClaimRestart(last, self vmRecord, window time.Duration) bool {
	return last.era == self.era && !last.started.IsZero() && self.started.Sub(last.started) > window+restartMargin
}
