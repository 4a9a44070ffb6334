package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/core"
	"github.com/chivefield/chivefield/logservice"
	"github.com/chivefield/chivefield/schema"
)

const (
	// maxReadRecords is the number of records requested by one read of the log.
	maxReadRecords = 256
	vmListInterval = time.Second
)

func (d *Daemon) startPlatform(ctx context.Context) {
	d.group.Go(func() error { return d.followLog(ctx) })
	d.group.Go(func() error { return d.followVMList(ctx) })
	d.group.Go(func() error { return d.appendLoop(ctx) })
}

// followLog reads the log continuously. While reads fail it reports that to the
// core, which serves with the configuration it has.
func (d *Daemon) followLog(ctx context.Context) error {
	var next uint64
	for {
		b, err := d.readBatch(ctx, next)
		if err != nil {
			d.count("log.errors")
			d.push(ctx, core.LogFailed{})
		} else {
			next = d.pushRecords(ctx, b, next)
		}
		if err == nil && next < b.Next {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(d.settings.PollInterval):
		}
	}
}

func (d *Daemon) readBatch(ctx context.Context, from uint64) (logservice.Batch, error) {
	bound, cancel := context.WithTimeout(ctx, d.settings.PlatformTimeout)
	defer cancel()
	return d.platform.Read(bound, from, maxReadRecords)
}

func (d *Daemon) pushRecords(ctx context.Context, b logservice.Batch, next uint64) uint64 {
	ev := core.LogRead{First: b.First, Next: b.Next}
	next = max(next, b.First)
	for _, r := range b.Records {
		rec, err := config.Decode(r.Data)
		if err != nil {
			d.log.Warn().Err(err).Uint64("offset", r.Offset).Msg("log_record_unreadable")
		}
		ev.Records = append(ev.Records, core.LogEntry{Offset: r.Offset, Record: rec})
		next = r.Offset + 1
	}
	d.push(ctx, ev)
	return next
}

// followVMList polls the platform's list of VMs and reports each VM that is
// gone.
func (d *Daemon) followVMList(ctx context.Context) error {
	gone := make(map[uint32]bool)
	for {
		bound, cancel := context.WithTimeout(ctx, d.settings.PlatformTimeout)
		list, err := d.platform.VMs(bound)
		cancel()
		if err == nil {
			for _, vm := range list {
				if vm.State == logservice.Gone && !gone[vm.ID] {
					d.push(ctx, core.PeerRemoved{VM: vm.ID})
				}
				gone[vm.ID] = vm.State == logservice.Gone
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(vmListInterval):
		}
	}
}

// appendJob is a record queued for the log. done, if set, receives the error.
type appendJob struct {
	record *schema.LogRecord
	done   chan error
}

func (d *Daemon) queueAppend(j *appendJob) {
	select {
	case d.appends <- j:
	default:
		d.count("log.appends_dropped")
		if j.done != nil {
			j.done <- &QueueFullError{}
		}
	}
}

// QueueFullError reports a record that was not sent because the append queue is
// full.
type QueueFullError struct{}

// Error implements error.
func (e *QueueFullError) Error() string { return "log append queue is full" }

func (d *Daemon) appendLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case j := <-d.appends:
			err := d.appendRecord(ctx, j.record)
			if j.done != nil {
				j.done <- err
			}
		}
	}
}

func (d *Daemon) appendRecord(ctx context.Context, r *schema.LogRecord) error {
	if r.AppendId == "" {
		r.AppendId = newAppendID()
	}
	r.UnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(r)
	if err != nil {
		return &config.DecodeError{Err: err}
	}
	bound, cancel := context.WithTimeout(ctx, d.settings.PlatformTimeout)
	defer cancel()
	d.count("log.appends")
	_, err = d.platform.Append(bound, data)
	return err
}

func newAppendID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// verdictWaiters lets submitters wait for the verdicts on their records.
type verdictWaiters struct {
	mu      sync.Mutex
	waiters map[string]chan config.Verdict
}

func newVerdictWaiters() *verdictWaiters {
	return &verdictWaiters{waiters: make(map[string]chan config.Verdict)}
}

func (v *verdictWaiters) register(id string) <-chan config.Verdict {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := make(chan config.Verdict, 1)
	v.waiters[id] = c
	return c
}

func (v *verdictWaiters) remove(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.waiters, id)
}

func (v *verdictWaiters) deliver(verdict config.Verdict) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c := v.waiters[verdict.AppendID]; c != nil {
		delete(v.waiters, verdict.AppendID)
		c <- verdict
	}
}

func (d *Daemon) handleVerdict(v config.Verdict) {
	if v.Judgement != config.Other && v.Judgement != config.Carried {
		d.log.Info().Uint64("offset", v.Offset).Str("author", v.Author).Uint64("base", v.Base).
			Str("judgement", string(v.Judgement)).Uint64("version", v.Version).Msg("configuration_judged")
	}
	d.verdicts.deliver(v)
}
