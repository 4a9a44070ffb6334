package entry

import (
	"context"
	"time"

	"github.com/chivefield/chivefield/core/bootstrap"
	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/schema"
)

const (
	// startListTimeout is how long a starting process waits for the list of VMs before it reads the
	// registry from the store.
	startListTimeout = 2 * time.Second
	// sourceWait is how long a source may hold a request until its own copy is complete. Along a
	// chain of sources that start together each waits for the one above it.
	sourceWait = 700 * time.Millisecond
	// sourcesTimeout is how long sources are asked before the store is read. A transfer that has begun
	// goes on: its time grows with the registry.
	sourcesTimeout = 3 * time.Second
	// sourcesPause is the pause after all sources were asked in vain: they may be starting.
	sourcesPause = 100 * time.Millisecond
)

// domainAddresses returns the addresses of the VMs of this VM's failure domain in a list of VMs.
func (d *Daemon) domainAddresses(list []Record) []string {
	var domain []string
	for _, r := range list {
		if !d.isVMRecord(r) {
			continue
		}
		if vm, err := parseVMRecord(string(r.Value)); err == nil && vm.Domain == d.settings.Vm.FailureDomain {
			domain = append(domain, vm.Address)
		}
	}
	return domain
}

// offerStartList passes the addresses of the VMs of this failure domain to the goroutine that reads
// the registry at the start; nil if they cannot be read. Only the first list counts.
func (d *Daemon) offerStartList(domain []string) {
	select {
	case d.startList <- domain:
	default:
	}
}

// bootstrapEndpoints fetches the registry from other VMs at the start of the process. It returns
// false if the store should be read: also when the whole deployment starts for the first time, since
// the registry is still being written then and no VM is listed.
func (d *Daemon) bootstrapEndpoints(ctx context.Context, c *feedCursor) bool {
	if d.settings.Disabled.Has(mechanism.Bootstrap) || d.settings.Vm.FirstStart {
		return false
	}
	var domain []string
	t := time.NewTimer(startListTimeout)
	defer t.Stop()
	select {
	case domain = <-d.startList:
	case <-t.C:
	case <-ctx.Done():
	}
	plan := bootstrap.New(d.settings.Listen.Peers, domain)
	if plan.ReadsStore {
		return false
	}
	start := time.Now()
	request := &schema.EndpointsRequest{AcceptsPacked: true, Current: true, WaitMs: uint64(sourceWait.Milliseconds())}
	for asked := 0; ctx.Err() == nil && time.Since(start) < sourcesTimeout; sleepJittered(ctx, sourcesPause) {
		for _, source := range plan.Sources {
			if time.Since(start) >= sourcesTimeout {
				break
			}
			asked++
			begun := d.standstill.elapsed()
			records, at, err := d.peers.fetchEndpointsFrom(ctx, source, request)
			if err != nil {
				d.count("bootstrap_refused")
				continue
			}
			d.applyFetched(c, records, at)
			d.confirmRegistry(begun)
			d.log.Info().Str("from", source).Int("asked", asked).Dur("uptime", d.now()).Uint64("era", at.Era).Uint64("offset", at.Offset).
				Int("endpoints", len(records)).Msg("registry_bootstrapped")
			return true
		}
	}
	d.log.Warn().Int("sources", len(plan.Sources)).Dur("uptime", d.now()).Msg("bootstrap_failed")
	return false
}
