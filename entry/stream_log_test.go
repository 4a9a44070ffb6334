package entry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/chivefield/chivefield/core/resume"
	"github.com/chivefield/chivefield/schema"
)

// batchStore is a store that holds batches of streams from offset first on.
type batchStore struct {
	Store
	first   uint64
	batches [][]byte
	fails   bool
	reads   int
}

func (s *batchStore) AppendLog(_ context.Context, record []byte) error {
	if s.fails {
		return errors.ErrUnsupported
	}
	s.batches = append(s.batches, record)
	return nil
}

func (s *batchStore) ReadLog(_ context.Context, from uint64) (LogPage, error) {
	const pageSize = 100
	s.reads++
	if from < s.first {
		return LogPage{}, &TrimmedError{From: from, First: s.first}
	}
	rest := s.batches[from-s.first:]
	return LogPage{Records: rest[:min(pageSize, len(rest))], End: s.first + uint64(len(s.batches))}, nil
}

// Streams are read as they were written, whatever their versions are called.
func TestStreamBatchRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var records []resume.Record
		for i := range rapid.IntRange(0, 50).Draw(t, "records") {
			version := rapid.StringN(0, -1, maxVersionBytes).Draw(t, "version")
			ttl := time.Duration(rapid.IntRange(0, 60000).Draw(t, "ttl")) * time.Millisecond
			records = append(records, resume.Record{Key: resume.Key(i), Version: version, Expires: time.Second + ttl})
		}
		b, err := proto.Marshal(encodeStreams(time.Second, records))
		is.NoErr(err)
		got, err := decodeStreams(time.Second, b)
		is.NoErr(err)
		is.Equal(len(got), len(records))
		for i := range got {
			is.Equal(got[i], records[i])
		}
	})
}

// Guards against a batch of another writer that ends the process or is believed in part.
func TestMalformedStreamBatchIsRefused(t *testing.T) {
	for _, b := range []*schema.StreamBatch{
		{Keys: []uint64{1}},
		{Versions: []string{"v"}, Keys: []uint64{1}, Version: []uint32{1}, TtlMs: []uint32{1}},
		{Versions: []string{"v"}, Keys: []uint64{1}, Version: []uint32{0}},
		{Versions: []string{string(make([]byte, maxVersionBytes+1))}, Keys: []uint64{1}, Version: []uint32{0}, TtlMs: []uint32{1}},
	} {
		encoded, err := proto.Marshal(b)
		is.New(t).NoErr(err)
		records, err := decodeStreams(0, encoded)
		if err == nil || len(records) > 0 {
			t.Errorf("%v was believed", b)
		}
	}
}

// Guards against streams that are unknown after all VMs have ended since a write of their batch failed.
func TestFailedBatchIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, time.Minute)
	store := &batchStore{fails: true}
	d.opts.Store = store
	for i := range maxUnstored + 1 {
		d.resumption.enqueueRecord(resume.Record{Key: resume.Key(i), Version: "v1"})
	}
	is.Equal(len(d.resumption.unstored), maxUnstored) // what waits is bounded
	d.resumption.storeBatch(t.Context())
	is.Equal(len(d.resumption.unstored), maxUnstored)
	store.fails = false
	d.resumption.storeBatch(t.Context())
	d.resumption.storeBatch(t.Context())
	d.resumption.storeBatch(t.Context())
	is.Equal(len(d.resumption.unstored), 0)
	is.Equal(len(store.batches), 2) // nothing is written without records
}

// Guards against a starting VM that does not find the latest streams in a log of which the beginning has been trimmed,
// or reads all of a long one.
func TestLatestStreamsAreLoaded(t *testing.T) {
	for _, n := range []int{0, 1, 250, 3 * maxLoadedBatches} {
		t.Run(fmt.Sprint(n, " batches"), func(t *testing.T) {
			is := is.New(t)
			d := newDaemonWithUptime(t, time.Minute)
			store := &batchStore{first: 7}
			d.opts.Store = store
			for i := range n {
				b, err := proto.Marshal(encodeStreams(0, []resume.Record{{Key: resume.Key(i), Version: "v1", Expires: time.Hour}}))
				is.NoErr(err)
				store.batches = append(store.batches, b)
			}
			d.resumption.loadStreams(t.Context())
			is.Equal(d.resumption.ledger.Len(), min(n, maxLoadedBatches))
			_, known := d.resumption.ledger.Version(resume.Key(n - 1))
			is.Equal(known, n > 0)
			is.True(store.reads <= 3+maxLoadedBatches/100+1)
		})
	}
}
