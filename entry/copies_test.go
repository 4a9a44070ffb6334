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

// scripted is a store whose answers a test sets.
type scripted struct {
	Store
	records []Record
	next    Position
	err     error
	// whole counts reads of everything.
	whole int
}

func (s *scripted) Snapshot(context.Context, Feed) ([]Record, Position, error) {
	s.whole++
	return s.records, s.next, s.err
}

func (s *scripted) Read(context.Context, Feed, uint64, time.Duration) ([]Record, Position, error) {
	return s.records, s.next, s.err
}

// Symptom: an endpoint that had announced its leaving got requests for as long as it was listed.
// Sequence: a reader is at offset 100; the store comes back from a copy that ends at 95; ten
// records are written; the reader reads on from 100. Cause: an offset means nothing without the
// era in which it was given out.
func TestFeedIsReadAgainInANewEra(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &scripted{next: Position{Offset: 100}}
	c := cursor{store: s, feed: FeedEndpoints}
	got, err := c.read(ctx, 0)
	is.NoErr(err)
	is.True(got.whole && !got.copied)
	s.next = Position{Era: 1, Offset: 105}
	got, err = c.read(ctx, 0)
	is.NoErr(err)
	is.True(got.whole && got.copied)
	is.Equal(s.whole, 2)
	is.Equal(c.next, Position{Era: 1, Offset: 105})
	// Without an offset that the store has it is the same.
	s.next, s.err = Position{Era: 2, Offset: 3}, &TrimmedError{From: 105}
	_, err = c.read(ctx, 0)
	is.True(err != nil)
	s.err = nil
	got, err = c.read(ctx, 0)
	is.NoErr(err)
	is.True(got.whole && got.copied)
	// An answer of before that was long under way changes nothing, whichever call it answers.
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

// Symptom: after all VMs were killed twice around the moment at which the store came back from a
// copy, organisations spent more than their allowance in a window. Sequence: a VM's process
// starts, writes its record and takes what is kept for restarts; the store loses that record;
// the process is killed; the next finds the record of the one before, which is old enough.
// Cause: a record that can go back was taken for the truth. An adversary chooses kills, copies,
// lost writes, jumps of clocks within their bound, and when the records are written again.
func TestRestartsAreClaimedOnceInAWindow(t *testing.T) {
	const window = 8 * time.Second
	vm := allowance.VM{Address: "10.0.0.1:1", Domain: "a"}
	rapid.Check(t, func(t *rapid.T) {
		// log is the store's own; what the VM's newest record says at each length of it.
		var log []string
		var era uint64
		now := time.Unix(1_000_000, 0)
		var claimed, started time.Time
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Second, 7 * time.Second, 21 * time.Second}).Draw(t, "pause"))
			switch rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "what") {
			case 0: // A process starts: it reads, a copy may come in between, it writes.
				started = now
				self := vmRecord{VM: vm, started: now, era: era}
				claims := false
				if len(log) > 0 {
					last, err := parseVMRecord(log[len(log)-1])
					if err != nil {
						t.Fatal(err)
					}
					claims = mayClaim(last, self, window)
				}
				if rapid.IntRange(0, 3).Draw(t, "copy between") == 0 {
					era++
					log = log[:rapid.IntRange(0, len(log)).Draw(t, "left")]
				}
				if rapid.IntRange(0, 3).Draw(t, "write is lost") == 0 {
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
			case 1: // The store comes back from a copy.
				era++
				log = log[:rapid.IntRange(0, len(log)).Draw(t, "left")]
			case 2: // Another VM writes this one's record again.
				if started.IsZero() {
					continue
				}
				rec := vmRecord{VM: vm, started: started, era: era}
				if rapid.Bool().Draw(t, "start not known") {
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

// Symptom: a VM that started after the store had come back from a copy let organisations spend the
// parts of VMs whose records were lost. Cause: the list was taken for whole. It is, once each
// failure domain has said that its own VMs are there again.
func TestListOfVMsIsWholeWhenMarked(t *testing.T) {
	is := is.New(t)
	set := testSettings(t, false)
	d := New(Options{Settings: set, Log: logging.New(io.Discard), Codec: noStatuses{}})
	own := Record{Key: "other", Value: []byte("10.0.0.9:1 a 1786786484342")}
	is.True(d.isComplete(vmList{records: []Record{own}}))
	is.True(!d.isComplete(vmList{records: []Record{own}, era: 1}))
	mark := func(domain string, era int) Record {
		return Record{Key: markKey + domain, Value: []byte(fmt.Sprint(era))}
	}
	is.True(!d.isComplete(vmList{records: []Record{own, mark(set.Vm.FailureDomain, 0)}, era: 1}))
	is.True(d.isComplete(vmList{records: []Record{own, mark(set.Vm.FailureDomain, 1)}, era: 1}))
	// A store may begin at any era: at the first start of a deployment nothing can be missing.
	is.True(New(Options{Settings: testSettings(t, true), Log: logging.New(io.Discard), Codec: noStatuses{}}).isComplete(vmList{era: 1}))
	d.learnVMs(vmList{records: []Record{own}, era: 1})
	is.True(!d.peers.knowsAll())
	d.learnVMs(vmList{records: []Record{own, mark(set.Vm.FailureDomain, 1)}, era: 1})
	is.True(d.peers.knowsAll())
}

// writes is a store that takes down what is written.
type writes struct {
	Store
	records []Record
	calls   int
}

func (w *writes) Write(_ context.Context, records ...Record) error {
	w.records = append(w.records, records...)
	w.calls++
	return nil
}

// What a failure domain's VMs had written is written again in one call, by one of them: only what
// is missing or of before the copy, with the starts as they were heard.
func TestRecordsAreWrittenAgainAfterACopy(t *testing.T) {
	is := is.New(t)
	set := testSettings(t, false)
	w := &writes{}
	d := New(Options{Settings: set, Log: logging.New(io.Discard), Codec: noStatuses{}, Store: w})
	d.start = d.start.Add(-healUptime)
	domain := set.Vm.FailureDomain
	d.peers.learnNamed(map[string]string{
		"missing": "10.0.0.2:1 " + domain + " 5", "old": "10.0.0.3:1 " + domain + " 5", "current": "10.0.0.4:1 " + domain + " 5 2", "far": "10.0.0.5:1 elsewhere 5",
	}, true)
	d.peers.addrs["10.0.0.2:1"].incarnation = uint64(time.UnixMilli(1786786484342).UnixNano())
	list := vmList{era: 2, records: []Record{
		{Key: "old", Value: []byte("10.0.0.3:1 " + domain + " 5 1")}, {Key: "current", Value: []byte("10.0.0.4:1 " + domain + " 5 2")},
	}}
	d.heal(context.Background(), list)
	is.Equal(w.calls, 1)
	got := make(map[string]string)
	for _, r := range w.records {
		got[r.Key] = string(r.Value)
	}
	is.Equal(len(got), 4) // these two, this VM and the mark
	is.Equal(got["missing"], "10.0.0.2:1 "+domain+" 1786786484342 2")
	is.Equal(got["old"], "10.0.0.3:1 "+domain+" 0 2")
	is.Equal(got[markKey+domain], "2")
	list.records = w.records
	d.heal(context.Background(), list)
	is.Equal(w.calls, 1)
	is.Equal(len(d.lost(vmList{era: 2, records: w.records})), 1) // the one that had been there
}
