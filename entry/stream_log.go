package entry

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/core/resume"
	"github.com/chivefield/chivefield/schema"
)

// The records of streams that begin while a service has several versions are also written to the store's log, in
// batches by the readers of the store: after all VMs have ended nobody else knows which version began a stream.
const (
	// streamBatchSpacing is the time between two batches of all readers together, a tenth of the writes that
	// a store takes. Streams that began later than the last batch before all VMs ended are refused.
	streamBatchSpacing = 25 * time.Millisecond
	// maxStreamBatch bounds the records of a batch, of some 15 bytes each, by what one record of the log may hold.
	maxStreamBatch = 8192
	// maxUnstored bounds the records that wait to be written.
	maxUnstored = 2 * maxStreamBatch
	// maxLoadedBatches bounds the batches that a starting VM reads: those of 13 failure domains in 20 s.
	maxLoadedBatches = 512
	// maxLoadingFleet is the number of VMs up to which each reads the log at its start. In larger deployments
	// the readers do, which the others ask.
	maxLoadingFleet = 64
	// streamLoadTries is how often a starting VM tries to read the log.
	streamLoadTries = 3
)

// store has the record of a stream written to the store's log, if its service has several versions. The caller
// holds the lock.
func (r *resumption) store(now time.Duration, rec resume.Record) {
	if !r.versions.Several(now, rec.Service, r.lifetime) {
		return
	}
	if r.d.peers.isStoreReader() {
		r.enqueueRecord(rec)
		return
	}
	if addr := r.d.peers.udpAddress(r.d.peers.storeReader()); addr != nil {
		n := &schema.PeerNote{Origins: []*schema.StreamOrigin{{Key: uint64(rec.Key), Version: rec.Version, TtlMs: ttlMillis(now, rec), Store: true}}}
		r.d.peers.send(n, addr)
	}
}

// ttlMillis returns how long a stream may still be resumed.
func ttlMillis(now time.Duration, rec resume.Record) uint32 {
	return uint32(max(0, rec.Expires-now).Milliseconds())
}

// enqueueRecord adds a record to the next batch. The caller holds the lock.
func (r *resumption) enqueueRecord(rec resume.Record) {
	if len(r.unstored) >= maxUnstored {
		r.d.count("stream_records_unstored")
		return
	}
	r.unstored = append(r.unstored, rec)
}

// storeStreams writes batches until ctx ends. Each failure domain has a reader that does.
func (r *resumption) storeStreams(ctx context.Context) error {
	readers := max(1, len(r.d.settings.FailureDomains))
	t := time.NewTicker(time.Duration(readers) * streamBatchSpacing)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			r.storeBatch(ctx)
		}
	}
}

// storeBatch writes the records that wait. If the write fails they are written with the next batch.
func (r *resumption) storeBatch(ctx context.Context) {
	r.mu.Lock()
	n := min(len(r.unstored), maxStreamBatch)
	batch := r.unstored[:n:n]
	r.unstored = r.unstored[n:]
	r.mu.Unlock()
	if n == 0 {
		return
	}
	b, err := proto.Marshal(encodeStreams(r.d.now(), batch))
	if err == nil {
		err = r.d.opts.Store.AppendLog(ctx, b)
	}
	if err == nil {
		r.d.countMany("stream_records_stored", n)
		return
	}
	r.d.count("store_errors")
	r.d.log.Warn().Int("streams", n).Err(err).Msg("streams_unstored")
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range batch {
		r.enqueueRecord(rec)
	}
}

// encodeStreams returns a batch of records.
func encodeStreams(now time.Duration, records []resume.Record) *schema.StreamBatch {
	b := &schema.StreamBatch{}
	indexes := make(map[string]uint32)
	for _, rec := range records {
		i, known := indexes[rec.Version]
		if !known {
			i = uint32(len(b.Versions))
			indexes[rec.Version] = i
			b.Versions = append(b.Versions, rec.Version)
		}
		b.Keys = append(b.Keys, uint64(rec.Key))
		b.Version = append(b.Version, i)
		b.TtlMs = append(b.TtlMs, ttlMillis(now, rec))
	}
	return b
}

// decodeStreams returns the records of a batch, which may have been written by another version of this program.
func decodeStreams(now time.Duration, encoded []byte) ([]resume.Record, error) {
	b := &schema.StreamBatch{}
	if err := proto.Unmarshal(encoded, b); err != nil {
		return nil, err
	}
	if len(b.Version) != len(b.Keys) || len(b.TtlMs) != len(b.Keys) {
		return nil, &StreamBatchError{Keys: len(b.Keys), Versions: len(b.Version), TTLs: len(b.TtlMs)}
	}
	records := make([]resume.Record, 0, len(b.Keys))
	for i, key := range b.Keys {
		if int(b.Version[i]) >= len(b.Versions) || len(b.Versions[b.Version[i]]) > maxVersionBytes {
			return nil, &StreamBatchError{Keys: len(b.Keys), Versions: len(b.Versions), TTLs: len(b.TtlMs)}
		}
		ttl := min(maxRecordTTL, millis(uint64(b.TtlMs[i])))
		records = append(records, resume.Record{Key: resume.Key(key), Version: b.Versions[b.Version[i]], Expires: now + ttl})
	}
	return records, nil
}

// loadStreams reads the log at the start of the process, unless no stream is older.
func (r *resumption) loadStreams(ctx context.Context) {
	r.mu.Lock()
	first := r.versions.IsFirst()
	r.mu.Unlock()
	if first || r.d.peers.knownVMs() > maxLoadingFleet && !r.d.peers.isStoreReader() {
		return
	}
	for range streamLoadTries {
		n, err := r.readStreams(ctx)
		if err == nil {
			r.d.log.Info().Int("streams", n).Msg("streams_loaded")
			return
		}
		r.d.log.Warn().Err(err).Msg("streams_not_loaded")
		if !sleepJittered(ctx, minRetryPause) {
			return
		}
	}
}

// readStreams reads the latest batches of the log and returns how many records they hold.
func (r *resumption) readStreams(ctx context.Context) (n int, err error) {
	from := uint64(0)
	page, err := r.d.opts.Store.ReadLog(ctx, from)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) && trimmed.First > 0 {
		from = trimmed.First
		page, err = r.d.opts.Store.ReadLog(ctx, from)
	}
	if err == nil && page.End > from+maxLoadedBatches {
		from = page.End - maxLoadedBatches
		page, err = r.d.opts.Store.ReadLog(ctx, from)
	}
	for ; err == nil && len(page.Records) > 0; page, err = r.d.opts.Store.ReadLog(ctx, from) {
		n += r.keepBatches(page.Records)
		from += uint64(len(page.Records))
		if from >= page.End {
			return n, nil
		}
	}
	return n, err
}

// keepBatches keeps the records of some batches and returns how many there were.
func (r *resumption) keepBatches(batches [][]byte) (n int) {
	for _, encoded := range batches {
		records, err := decodeStreams(r.d.now(), encoded)
		if err != nil {
			r.d.count("stream_batches_unreadable")
			r.d.log.Warn().Err(err).Msg("stream_batch_unreadable")
			continue
		}
		r.mu.Lock()
		for _, rec := range records {
			if !r.ledger.Keep(rec) {
				r.d.count("stream_records_refused")
			}
		}
		r.mu.Unlock()
		n += len(records)
	}
	return n
}
