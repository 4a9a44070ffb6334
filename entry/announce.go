package entry

import (
	"context"
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/mechanism"
)

const (
	// announceEvery is how often the VM that reads for its failure domain reads the
	// list of VMs, listEvery how often the others do, who hear of new VMs by notes.
	announceEvery = 5 * time.Second
	listEvery     = time.Minute
)

// announce writes this VM's record to the store once, and reads those of all after that and
// now and then: VMs that start together must be written before the list counts as whole,
// or what all share would be divided by too few.
func (d *Daemon) announce(ctx context.Context) error {
	var dep dependency
	var again retry
	written := false
	for ctx.Err() == nil {
		list, err := d.listVMs(ctx, &written)
		d.noteStore(&dep, "vms", err)
		if err != nil {
			pause(ctx, again.failed(d.mostRetry()))
			continue
		}
		again.succeeded()
		d.noteEra(list.era)
		d.learnVMs(list)
		d.retryBudgets.setFleetKnown(d.noRecentPredecessor)
		d.claim()
		if d.peers.isStoreReader() {
			d.heal(ctx, list)
			d.pauseOrEra(ctx, announceEvery)
		} else {
			d.pauseOrEra(ctx, listEvery)
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
		before, err := d.writeRecord(ctx)
		if err != nil {
			return vmList{}, err
		}
		*written = true
		if before != nil {
			return *before, nil
		}
	}
	records, next, err := d.opts.Store.Snapshot(ctx, FeedVMs)
	return vmList{records, next.Era}, err
}

// writeRecord writes this VM's record, and finds out before when its process before started. It
// returns the list of VMs if what was read before is whole: a VM that is in it was known to all that
// started since, so no two can miss each other.
func (d *Daemon) writeRecord(ctx context.Context) (*vmList, error) {
	self := d.ownRecord()
	before, next, err := d.opts.Store.Snapshot(ctx, FeedVMs)
	if err != nil {
		return nil, err
	}
	self.era = next.Era
	last, found := d.lastRecord(before)
	if err := d.opts.Store.Write(ctx, Record{Key: d.settings.Vm.Name, Value: []byte(self.String())}); err != nil {
		return nil, err
	}
	d.restartClaimed = found && mayClaim(last, self, d.settings.AllowanceWindow)
	d.noRecentPredecessor = found && mayClaim(last, self, d.settings.RetryWindow) || !found && next.Era == 0
	d.log.Info().Bool("started_before", found).Dur("since_last_start", self.started.Sub(last.started)).Bool("claims", d.restartClaimed).
		Bool("apart", d.noRecentPredecessor).Msg("previous_start")
	if slices.ContainsFunc(before, d.isOwn) {
		d.peers.noteKnownBefore()
		return &vmList{before, next.Era}, nil
	}
	return nil, nil
}

// lastRecord is the record of this VM's process before this one.
func (d *Daemon) lastRecord(before []Record) (last vmRecord, found bool) {
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

// isOwn says whether a record of the list of VMs is that of this VM at its address.
func (d *Daemon) isOwn(r Record) bool {
	own, err := parseVMRecord(string(r.Value))
	return err == nil && r.Key == d.settings.Vm.Name && own.Address == d.settings.Listen.Peers
}

func (d *Daemon) learnVMs(list vmList) {
	d.suspects.learn(list.records)
	d.rollouts.learn(list.records)
	d.markInitialised()
	named := make(map[string]string)
	for _, r := range list.records {
		if d.isVM(r) {
			named[r.Key] = string(r.Value)
		}
	}
	d.peers.learnNamed(named, d.isComplete(list))
}

// isVM says whether a record of FeedVMs is that of a VM.
func (d *Daemon) isVM(r Record) bool {
	return len(r.Value) > 0 && !isSuspect(r) && !isMark(r) && !d.isStatus(r)
}

const (
	// restartsApart is by how much longer than the window of allowances the starts of two
	// processes of a VM must lie apart for the second to get what is kept for restarts.
	// Starts are told by clocks that jump by seconds, and a lost write may be done seconds
	// after.
	restartsApart = 12 * time.Second
	// restartLate is after what uptime it is not asked for any more: balances have been
	// earned by then.
	restartLate = 3 * time.Second
)

// claim takes what is kept for restarts once this VM's parts are known.
func (d *Daemon) claim() {
	if !d.restartClaimed {
		return
	}
	d.restartClaimed = false
	if d.now() > restartLate || d.settings.Off.Has(mechanism.RestartAllowance) {
		return
	}
	d.shares.restarted()
}

// mayClaim says whether a VM's process may take what is kept for restarts, by the record
// of the one before. A record that was written before the store came back from a copy says
// nothing: the record of a process since, which may have taken it, may be lost.
func mayClaim(last, self vmRecord, window time.Duration) bool {
	return last.era == self.era && !last.started.IsZero() && self.started.Sub(last.started) > window+restartsApart
}
