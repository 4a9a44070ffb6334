package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/logging"
	"github.com/chivefield/chivefield/schema"
	"github.com/chivefield/chivefield/settings"
)

// A VM whose processes are killed one after the other takes what is kept for restarts once:
// each finds the start of the one before in the store.
func TestRestartsInSeriesClaimOnce(t *testing.T) {
	is := is.New(t)
	const window = 8 * time.Second
	vm := allowance.VM{Address: "10.0.0.1:1", Domain: "a"}
	start := time.UnixMilli(1786786484342)
	claims := 0
	stored := (vmRecord{VM: vm, started: start}).String()
	for _, after := range []time.Duration{30 * time.Second, 31 * time.Second, 37 * time.Second, 50 * time.Second} {
		last, err := parseVMRecord(stored)
		is.NoErr(err)
		is.Equal(last.VM, vm)
		self := vmRecord{VM: vm, started: start.Add(after)}
		if mayClaim(last, self, window) {
			claims++
		}
		stored = self.String()
	}
	is.Equal(claims, 1)
	// Records of older processes do not tell their start, and notes name VMs without it.
	last, err := parseVMRecord(entryOf(vm))
	is.NoErr(err)
	is.True(!mayClaim(last, vmRecord{VM: vm, started: start}, window))
	_, err = parseVMRecord("10.0.0.1:1")
	is.True(err != nil)
	_, err = parseVMRecord("10.0.0.1:1 a soon")
	is.True(err != nil)
}

// callLog is a store that notes the calls on the list of VMs.
type callLog struct {
	Store
	calls []string
	stop  context.CancelFunc
}

func (s *callLog) Snapshot(context.Context, Feed) ([]Record, Position, error) {
	s.calls = append(s.calls, "read")
	if slices.Contains(s.calls, "write") {
		s.stop()
	}
	return nil, Position{}, nil
}

func (s *callLog) Write(context.Context, ...Record) error {
	s.calls = append(s.calls, "write")
	return nil
}

// Symptom: 23,000 requests of a day with 63 VMs were refused for their allowance, eleven
// before. Sequence: all VMs start together; each reads the list of VMs and then writes its
// own record; the list is a part, and counts as whole for a minute. Cause: the order. What
// counts as whole is read after the record was written.
func TestListOfVMsIsReadAfterTheRecordWasWritten(t *testing.T) {
	is := is.New(t)
	for _, first := range []bool{true, false} {
		set := testSettings(t, first)
		ctx, stop := context.WithCancel(context.Background())
		s := &callLog{stop: stop}
		d := New(Options{Settings: set, Log: logging.New(io.Discard), Store: s})
		is.NoErr(d.announce(ctx))
		is.Equal(s.calls[len(s.calls)-2:], []string{"write", "read"})
	}
}

func testSettings(t testing.TB, first bool) *settings.Entry {
	set, err := settings.ParseEntry(fmt.Appendf(nil, `
[vm]
name = "self"
failure_domain = "a"
first_start = %t
[listen]
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
peers = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
[bounds]
grace = "6s"
retry_ratio = 0.2
retry_slack = 50
allowance_window = "8s"
allowance_over = 0.1
allowance_slack = 1000
`, first))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// Symptom: a calm day of 295 VMs made 8,900 calls to the store, most of them in the first
// seconds. Sequence: all VMs start; each learns the list of VMs and hears the others in
// turns, over seconds; meanwhile most take themselves for the reader. Cause: the reader
// followed from those that had been heard. Of 49 VMs that know each other, one reads.
func TestOneVMReadsBeforeOthersWereHeard(t *testing.T) {
	is := is.New(t)
	var entries []string
	for i := range 49 {
		entries = append(entries, fmt.Sprintf("10.0.0.%d:7600 a", i))
	}
	readers := 0
	for i := range 49 {
		set := testSettings(t, true)
		set.Listen.Peers = fmt.Sprintf("10.0.0.%d:7600", i)
		d := New(Options{Settings: set, Log: logging.New(io.Discard)})
		d.peers.learnAll(entries)
		if d.peers.isStoreReader() {
			readers++
		}
	}
	is.Equal(readers, 1)
}

// noStatuses is a codec that finds no statuses of roll-outs among the records of VMs.
type noStatuses struct{ Codec }

func (noStatuses) DecodeRolloutStatus(Record) (*RolloutStatus, error) { return nil, nil }

// restartStore has the record that this VM's process before wrote, beside another's.
type restartStore struct {
	callLog
	own string
}

func (s *restartStore) Snapshot(ctx context.Context, f Feed) ([]Record, Position, error) {
	_, _, _ = s.callLog.Snapshot(ctx, f)
	return []Record{{Key: "other", Value: []byte("10.0.0.9:1 a 1786786484342")}, {Key: "self", Value: []byte(s.own)}}, Position{}, nil
}

func (s *restartStore) Write(ctx context.Context, records ...Record) error {
	defer s.stop()
	return s.callLog.Write(ctx, records...)
}

// Symptom: 8,000 calls more on a day on which 295 VMs were killed at once, some of them
// needless reads of the list of VMs. Sequence: a restarted process reads the list, writes its
// record, reads the list again. Cause: the second reading is needed
// only for VMs that are new, which those that start beside them do not know. A VM whose own
// record was in the first list reads once; one at a new address twice.
func TestRestartedVMReadsTheListOnce(t *testing.T) {
	for own, calls := range map[string][]string{
		"127.0.0.1:3 a 1786786484342": {"read", "write"},
		"127.0.0.7:3 a 1786786484342": {"read", "write", "read"},
	} {
		is := is.New(t)
		set := testSettings(t, false)
		ctx, stop := context.WithCancel(context.Background())
		s := &restartStore{callLog{stop: stop}, own}
		d := New(Options{Settings: set, Log: logging.New(io.Discard), Store: s, Codec: noStatuses{}})
		is.NoErr(d.announce(ctx))
		is.Equal(s.calls, calls)
		is.Equal(len(d.peers.names()), 2+len(calls)-2)
	}
}

// Symptom: 49,339 lines in the first moments of 295 VMs. Sequence: the endpoints register
// one after the other; what the reader passes on names many; each VM logs each of them.
func TestManyChangesAreOneLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	d := New(Options{Settings: testSettings(t, true), Log: zerolog.New(&out)})
	var changes []members.Change
	for i := range 100 {
		changes = append(changes, members.Change{ID: fmt.Sprint("e", i)})
	}
	d.logEndpoints(changes[:eachLogged])
	is.Equal(strings.Count(out.String(), "\n"), eachLogged)
	out.Reset()
	d.logEndpoints(changes)
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), `"changes":100`))
	is.True(out.Len() < 1000)
}

// Symptom: 1,085 reads of the registry in the start of 295 VMs, where 6 read for all.
// Sequence: the endpoints register; the reader passes on 82 that changed, in a note of over
// 32 KB, which is not sent; the others hear nothing for 1.2 s and read. Cause: what was read
// went into one note whatever its length. A VM takes the parts in order, and one that
// misses a part notices.
func TestLongRelaysGoInParts(t *testing.T) {
	is := is.New(t)
	var records []Record
	var changed []int
	for i := range 251 {
		records = append(records, Record{Key: fmt.Sprint("i-", i), Value: fmt.Appendf(nil, `{"service":"review","address":"10.%d.64.%d:8184","zone":"kewdale-a","version":"1","slots":6,"state":"ready","slow_start":0,"number":%d,"born":%d,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}]}`, i%6, i, i*7, 1787903480000+i*37)})
		if i%3 != 0 {
			changed = append(changed, i)
		}
	}
	parts := splitParts(1000, Position{Offset: 1251}, records, changed)
	is.True(len(parts) > 1)
	at, n := uint64(1000), 0
	for _, p := range parts {
		is.Equal(p.From, at)
		is.True(p.Next > p.From)
		is.True(proto.Size(&schema.PeerNote{Endpoints: p}) < maxDatagram)
		packed, err := packPart(p)
		is.NoErr(err)
		is.True(4*proto.Size(packed) < proto.Size(p))
		is.Equal(len(packed.Records), 0)
		is.NoErr(unpackPart(packed))
		is.True(proto.Equal(packed, p))
		at, n = p.Next, n+len(p.Records)
	}
	is.Equal(at, uint64(1251))
	is.Equal(n, len(changed))
	is.Equal(len(splitParts(7, Position{Offset: 9}, nil, nil)), 1)
	is.True(unpackPart(&schema.EndpointRelay{Packed: []byte("no such thing")}) != nil)
}

// Symptom: 831 calls to the store on a calm day of 23 VMs, a fifth of what the day was worth,
// three in four of them by readers that looked for changes twice as often as the operator's
// bounds ask. The times follow the bounds, and keep within them.
func TestReadersKeepToTheOperatorsBounds(t *testing.T) {
	is := is.New(t)
	set := testSettings(t, true)
	d := New(Options{Settings: set, Log: logging.New(io.Discard)})
	set.Drain, set.InForce = 2*time.Second, 2*time.Second
	is.Equal(d.endpointsEvery(), 700*time.Millisecond)
	is.Equal(d.relaySilence(), 1200*time.Millisecond)
	is.Equal(d.configWait(), 2*time.Second)
	set.Drain, set.InForce = 4*time.Second, 4*time.Second
	is.Equal(d.endpointsEvery(), 1400*time.Millisecond)
	is.Equal(d.configWait(), 3*time.Second)
	for _, drain := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 30 * time.Second} {
		set.Drain = drain
		for range 100 {
			is.True(spread(d.relaySilence()) <= drain*4/5)
			is.True(spread(d.endpointsEvery()) < d.relaySilence())
		}
	}
}

// Symptom: 10,055 calls on a day on which all of 295 VMs were killed once and the store
// turned all away for 4.5 s. Sequence: the reader fails; nobody hears of the registry, so
// all look for themselves; each is turned away and asks again after 0.3 s, for each feed.
// Cause: the pause after a failed call did not grow. Of one feed, for the time that a store
// is away, a VM makes few calls, and one soon after its return.
func TestRetriesAgainstALostStoreThinOut(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, time.Minute)
	d.settings.Drain = 4 * time.Second
	var r retry
	calls, at := 0, time.Duration(0)
	for at < 4500*time.Millisecond {
		calls++
		at += r.failed(d.mostRetry())
	}
	is.True(calls <= 5)
	is.True(r.pause <= d.relaySilence())
	r.succeeded()
	is.Equal(r.failed(d.mostRetry()), retryEvery)
	fresh := New(Options{Settings: d.settings, Log: logging.New(io.Discard)})
	for range 10 {
		r.failed(fresh.mostRetry())
	}
	is.Equal(r.pause, startRetry)
}
