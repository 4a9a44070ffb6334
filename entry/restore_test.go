package entry

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/logging"
)

// scriptedStore is a store whose responses a test sets.
type scriptedStore struct {
	Store
	records []Record
	next    Position
	err     error
	// fullReads counts reads of the whole feed.
	fullReads int
}

func (s *scriptedStore) Snapshot(context.Context, Feed) ([]Record, Position, error) {
	s.fullReads++
	return s.records, s.next, s.err
}

func (s *scriptedStore) Read(context.Context, Feed, uint64, time.Duration) ([]Record, Position, error) {
	return s.records, s.next, s.err
}

// Guards against requests sent to a leaving endpoint for as long as it is listed. A reader is at
// offset 100; the store is restored from a backup that ends at 95; ten records are written; the
// reader continues at 100 and misses the announcement. An offset is only valid in the era that
// assigned it.
func TestFeedIsReadAgainInANewEra(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &scriptedStore{next: Position{Offset: 100}}
	c := feedCursor{store: s, feed: FeedEndpoints}
	got, err := c.read(ctx, 0)
	is.NoErr(err)
	is.True(got.full && !got.restored)
	s.next = Position{Era: 1, Offset: 105}
	got, err = c.read(ctx, 0)
	is.NoErr(err)
	is.True(got.full && got.restored)
	is.Equal(s.fullReads, 2)
	is.Equal(c.next, Position{Era: 1, Offset: 105})
	// The same holds if the store no longer has the offset.
	s.next, s.err = Position{Era: 2, Offset: 3}, &TrimmedError{From: 105}
	_, err = c.read(ctx, 0)
	is.True(err != nil)
	s.err = nil
	got, err = c.read(ctx, 0)
	is.NoErr(err)
	is.True(got.full && got.restored)
	// A delayed response from the previous era changes nothing, whichever call it answers.
	s.records, s.next = []Record{{Key: "e", Value: []byte("old")}}, Position{Era: 1, Offset: 106}
	got, err = c.read(ctx, 0)
	is.NoErr(err)
	is.Equal(len(got.records), 0)
	is.Equal(c.next, Position{Era: 2, Offset: 3})
	c.known = false
	_, err = c.read(ctx, 0)
	is.True(err != nil)
	is.Equal(c.next, Position{Era: 2, Offset: 3})
}

func TestPositions(t *testing.T) {
	is := is.New(t)
	is.True(Position{Era: 1, Offset: 95}.Before(Position{Era: 1, Offset: 96}))
	is.True(Position{Era: 1, Offset: 100}.Before(Position{Era: 2, Offset: 95}))
	is.True(!Position{Era: 2, Offset: 95}.Before(Position{Era: 1, Offset: 100}))
	is.True(!Position{Era: 2, Offset: 95}.Before(Position{Era: 2, Offset: 95}))
}

// Guards against an organisation spending more than its allowance in a window after all VMs were
// killed twice around a restore of the store. A process starts, writes its record and claims the
// restart allowance; the store loses the record; the process is killed; the next process finds its
// predecessor's record, which is old enough. A record that may have been reverted must not count as
// proof. The test draws kills, restores, lost writes, clock jumps within their bound and the times
// at which records are rewritten.
func TestRestartsAreClaimedOnceInAWindow(t *testing.T) {
	const window = 8 * time.Second
	vm := allowance.VM{Address: "10.0.0.1:1", Domain: "a"}
	rapid.Check(t, func(t *rapid.T) {
		// log holds the VM's record in the store, one version per write.
		var log []string
		var era uint64
		now := time.Unix(1_000_000, 0)
		var claimed, started time.Time
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Second, 7 * time.Second, 21 * time.Second}).Draw(t, "pause"))
			switch rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "what") {
			case 0: // A process starts: it reads, the store may be restored, it writes.
				started = now
				self := vmRecord{VM: vm, started: now, era: era}
				claims := false
				if len(log) > 0 {
					last, err := parseVMRecord(log[len(log)-1])
					if err != nil {
						t.Fatal(err)
					}
					claims = mayClaimRestart(last, self, window)
				}
				if rapid.IntRange(0, 3).Draw(t, "restore between") == 0 {
					era++
					log = log[:rapid.IntRange(0, len(log)).Draw(t, "left")]
				}
				if rapid.IntRange(0, 3).Draw(t, "write lost") == 0 {
					continue
				}
				log = append(log, self.String())
				if !claims {
					continue
				}
				if !claimed.IsZero() && now.Sub(claimed) <= window {
					t.Fatalf("step %d: claimed twice within %v", step, now.Sub(claimed))
				}
				claimed = now
			case 1: // The store is restored from a backup.
				era++
				log = log[:rapid.IntRange(0, len(log)).Draw(t, "left")]
			case 2: // Another VM rewrites this VM's record.
				if started.IsZero() {
					continue
				}
				rec := vmRecord{VM: vm, started: started, era: era}
				if rapid.Bool().Draw(t, "start unknown") {
					rec.started = time.Time{}
				}
				log = append(log, rec.String())
			}
		}
	})
}

func TestRecordsOfVMsHaveAnEra(t *testing.T) {
	is := is.New(t)
	vm := allowance.VM{Address: "10.0.0.1:1", Domain: "a"}
	for _, want := range []vmRecord{
		{VM: vm, started: time.UnixMilli(1786786484342)},
		{VM: vm, started: time.UnixMilli(1786786484342), era: 3},
		{VM: vm, era: 3},
	} {
		got, err := parseVMRecord(want.String())
		is.NoErr(err)
		is.Equal(got, want)
	}
	_, err := parseVMRecord("10.0.0.1:1 a 5 x")
	is.True(err != nil)
}

// Guards against a VM that lets organisations spend the shares of VMs whose records a restore of
// the store lost, because it takes the list for complete. The list is complete once each failure
// domain has marked that its own VMs are there again.
func TestVMListIsCompleteWhenMarked(t *testing.T) {
	is := is.New(t)
	set := testSettings(t, false)
	d := New(Options{Settings: set, Log: logging.New(io.Discard), Codec: noStatuses{}})
	own := Record{Key: "other", Value: []byte("10.0.0.9:1 a 1786786484342")}
	is.True(d.isCompleteList(vmList{records: []Record{own}}))
	is.True(!d.isCompleteList(vmList{records: []Record{own}, era: 1}))
	mark := func(domain string, era int) Record {
		return Record{Key: eraMarkPrefix + domain, Value: []byte(fmt.Sprint(era))}
	}
	is.True(!d.isCompleteList(vmList{records: []Record{own, mark(set.Vm.FailureDomain, 0)}, era: 1}))
	is.True(d.isCompleteList(vmList{records: []Record{own, mark(set.Vm.FailureDomain, 1)}, era: 1}))
	// A store may start at any era: at the first start of a deployment nothing can be missing.
	is.True(New(Options{Settings: testSettings(t, true), Log: logging.New(io.Discard), Codec: noStatuses{}}).isCompleteList(vmList{era: 1}))
	d.applyVMList(vmList{records: []Record{own}, era: 1})
	is.True(!d.peers.listComplete())
	d.applyVMList(vmList{records: []Record{own, mark(set.Vm.FailureDomain, 1)}, era: 1})
	is.True(d.peers.listComplete())
}

// writeRecorder is a store that records writes.
type writeRecorder struct {
	Store
	records []Record
	calls   int
}

func (w *writeRecorder) Write(_ context.Context, records ...Record) error {
	w.records = append(w.records, records...)
	w.calls++
	return nil
}

// One VM rewrites the records of its failure domain in one call: only those that are missing or
// from before the restore, with the start times from notes.
func TestRecordsAreRewrittenAfterARestore(t *testing.T) {
	is := is.New(t)
	set := testSettings(t, false)
	w := &writeRecorder{}
	d := New(Options{Settings: set, Log: logging.New(io.Discard), Codec: noStatuses{}, Store: w})
	d.start = d.start.Add(-rewriteUptime)
	domain := set.Vm.FailureDomain
	d.peers.mergeStoreList(map[string]string{
		"missing": "10.0.0.2:1 " + domain + " 5", "old": "10.0.0.3:1 " + domain + " 5", "current": "10.0.0.4:1 " + domain + " 5 2", "far": "10.0.0.5:1 elsewhere 5",
	}, true)
	d.peers.byAddress["10.0.0.2:1"].incarnation = uint64(time.UnixMilli(1786786484342).UnixNano())
	list := vmList{era: 2, records: []Record{
		{Key: "old", Value: []byte("10.0.0.3:1 " + domain + " 5 1")}, {Key: "current", Value: []byte("10.0.0.4:1 " + domain + " 5 2")},
	}}
	d.rewriteVMRecords(context.Background(), list)
	is.Equal(w.calls, 1)
	got := make(map[string]string)
	for _, r := range w.records {
		got[r.Key] = string(r.Value)
	}
	is.Equal(len(got), 4) // missing, old, this VM and the mark
	is.Equal(got["missing"], "10.0.0.2:1 "+domain+" 1786786484342 2")
	is.Equal(got["old"], "10.0.0.3:1 "+domain+" 0 2")
	is.Equal(got[eraMarkPrefix+domain], "2")
	list.records = w.records
	d.rewriteVMRecords(context.Background(), list)
	is.Equal(w.calls, 1)
	is.Equal(len(d.missingRecords(vmList{era: 2, records: w.records})), 1) // current, which was not rewritten
}
