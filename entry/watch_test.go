package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
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

// A VM whose processes are killed in series claims the restart allowance once: each process finds
// its predecessor's start in the store.
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
		if mayClaimRestart(last, self, window) {
			claims++
		}
		stored = self.String()
	}
	is.Equal(claims, 1)
	// Records of older processes have no start time, and neither do list entries in notes.
	last, err := parseVMRecord(listEntry(vm))
	is.NoErr(err)
	is.True(!mayClaimRestart(last, vmRecord{VM: vm, started: start}, window))
	_, err = parseVMRecord("10.0.0.1:1")
	is.True(err != nil)
	_, err = parseVMRecord("10.0.0.1:1 a soon")
	is.True(err != nil)
}

// callLog is a store that records the calls on the list of VMs.
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

// Guards against requests refused for their allowance: 23,000 in a day with 63 VMs, where it had
// been eleven. All VMs start together; each reads the list of VMs before it writes its own record,
// and takes the partial list for complete for a minute. The list must be read after the write.
func TestListOfVMsIsReadAfterTheRecordWasWritten(t *testing.T) {
	is := is.New(t)
	for _, first := range []bool{true, false} {
		set := testSettings(t, first)
		ctx, stop := context.WithCancel(context.Background())
		s := &callLog{stop: stop}
		d := New(Options{Settings: set, Log: logging.New(io.Discard), Store: s})
		is.NoErr(d.followVMs(ctx))
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

// Guards against most VMs taking themselves for the reader at a start: a calm day of 295 VMs made
// 8,900 calls to the store, most of them in the first seconds. VMs learn the list at once but
// receive each other's notes in rotation, over seconds, and the reader was chosen among the VMs
// from which one was received. Of 49 VMs that know each other exactly one must read.
func TestOneVMReadsBeforeNotesArrive(t *testing.T) {
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
		d.peers.mergeList(entries)
		if d.peers.isStoreReader() {
			readers++
		}
	}
	is.Equal(readers, 1)
}

// noStatuses is a codec that finds no rollout statuses among the VM records.
type noStatuses struct{ Codec }

func (noStatuses) DecodeRolloutStatus(Record) (*RolloutStatus, error) { return nil, nil }

// restartStore holds the record of this VM's previous process and that of another VM.
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

// Guards against needless reads of the list of VMs: part of 8,000 additional calls on a day on
// which 295 VMs were killed at once. A restarted process read the list, wrote its record and read
// the list again. The second read is needed only for a new VM, which VMs that start at the same
// time do not know. A VM whose own record is in the first list reads once; one at a new address
// twice.
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
		is.NoErr(d.followVMs(ctx))
		is.Equal(s.calls, calls)
		is.Equal(len(d.peers.listEntries()), 2+len(calls)-2)
	}
}

// Guards against a log line per endpoint and VM: 49,339 lines in the first moments of 295 VMs. The
// endpoints register one after the other and each relay names many of them.
func TestManyChangesAreLoggedInOneLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	d := New(Options{Settings: testSettings(t, true), Log: zerolog.New(&out)})
	var changes []members.Change
	for i := range 100 {
		changes = append(changes, members.Change{ID: fmt.Sprint("e", i)})
	}
	d.logEndpointChanges(changes[:maxLoggedSingly])
	is.Equal(strings.Count(out.String(), "\n"), maxLoggedSingly)
	out.Reset()
	d.logEndpointChanges(changes)
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), `"changes":100`))
	is.True(out.Len() < 1000)
}

// Guards against relays too large to send: 1,085 reads of the registry at the start of 295 VMs,
// where 6 VMs read for all. The reader relayed 82 changed endpoints in one note of over 32 KB,
// which was not sent; the others received nothing for 1.2 s and read the registry. Relays must be
// split; a VM applies the parts in order and detects a missing one.
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

// Guards against readers that poll twice as often as the operator's bounds require: 831 calls to
// the store on a calm day of 23 VMs, three in four of them by such readers, a fifth of that day's
// score. The intervals must follow the bounds and stay within them.
func TestReadersKeepToTheOperatorsBounds(t *testing.T) {
	is := is.New(t)
	set := testSettings(t, true)
	d := New(Options{Settings: set, Log: logging.New(io.Discard)})
	set.DrainBound, set.ConfigApplyBound = 2*time.Second, 2*time.Second
	is.Equal(d.endpointsInterval(), 700*time.Millisecond)
	is.Equal(d.relaySilence(), 1200*time.Millisecond)
	is.Equal(d.configWait(), 2*time.Second)
	set.DrainBound, set.ConfigApplyBound = 4*time.Second, 4*time.Second
	is.Equal(d.endpointsInterval(), 1400*time.Millisecond)
	is.Equal(d.configWait(), 3*time.Second)
	for _, drain := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 30 * time.Second} {
		set.DrainBound = drain
		for range 100 {
			is.True(jitter(d.relaySilence()) <= drain*4/5)
			is.True(jitter(d.endpointsInterval()) < d.relaySilence())
		}
	}
}

// Guards against constant retry pauses: 10,055 calls on a day on which all of 295 VMs were killed
// once and the store refused all calls for 4.5 s. The reader fails; no relays arrive, so all VMs
// read the store, are refused and retry after 0.3 s for each feed. For one feed a VM must make few
// calls during an outage, and one soon after its end.
func TestRetriesAgainstALostStoreBackOff(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, time.Minute)
	d.settings.DrainBound = 4 * time.Second
	var r backoff
	calls, at := 0, time.Duration(0)
	for at < 4500*time.Millisecond {
		calls++
		at += r.next(d.maxRetryPause())
	}
	is.True(calls <= 5)
	is.True(r.pause <= d.relaySilence())
	r.reset()
	is.Equal(r.next(d.maxRetryPause()), minRetryPause)
	fresh := New(Options{Settings: d.settings, Log: logging.New(io.Discard)})
	for range 10 {
		r.next(fresh.maxRetryPause())
	}
	is.Equal(r.pause, startRetryPause)
}

// Guards against a failure domain that hears of no change for half a minute: the VM that reads the store
// is lost, and in a domain of 300 VMs the others still take it for alive, or all read the store at once.
func TestReaderIsSucceededWithinDrainBound(t *testing.T) {
	const vms = 300
	is := is.New(t)
	var entries []string
	for i := range vms {
		entries = append(entries, fmt.Sprintf("10.0.%d.%d:7600 a", i/250, i%250))
	}
	const drainBound = 3 * time.Second
	uptime := time.Minute
	daemons := make([]*Daemon, vms)
	for i := range daemons {
		set := testSettings(t, false)
		set.DrainBound = drainBound
		set.Listen.Peers = fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250)
		d := New(Options{Settings: set, Log: logging.New(io.Discard)})
		d.start = time.Now().Add(-uptime)
		d.peers.mergeList(entries)
		// All VMs were heard of at intervals of seconds, the last time a moment ago.
		for _, pe := range d.peers.byAddress {
			pe.usualInterval, pe.lastSeen, pe.relayedAt = 4*time.Second, uptime, uptime
		}
		daemons[i] = d
	}
	// readers returns how many VMs take themselves for the reader after a silence of the lost ones.
	readers := func(silence time.Duration, lost map[*Daemon]bool) (list []*Daemon) {
		for _, d := range daemons {
			d.start = time.Now().Add(-uptime - silence)
			if !lost[d] && d.peers.isStoreReader() {
				list = append(list, d)
			}
		}
		return list
	}
	lost := make(map[*Daemon]bool)
	first := readers(0, lost)
	is.Equal(len(first), 1)
	lost[first[0]] = true
	is.Equal(len(readers(drainBound/2, lost)), 0)
	next := readers(daemons[0].relaySilence()+10*time.Millisecond, lost)
	is.Equal(len(next), 1)
	lost[next[0]] = true
	further := readers(daemons[0].relaySilence()+daemons[0].successionDelay()+10*time.Millisecond, lost)
	is.Equal(len(further), 1)
	longest := jitterMost(daemons[0].relaySilence()) + maxSuccessors*daemons[0].successionDelay()
	is.True(longest < drainBound)
	// After an outage of the store nobody has heard a relay; it takes only one reader to go on.
	for _, d := range daemons {
		d.registryRegainedAt.Store(int64(uptime + drainBound))
	}
	is.Equal(readers(drainBound+100*time.Millisecond, nil), first)
}

// jitterMost returns the most that jitter makes of a duration.
func jitterMost(d time.Duration) time.Duration { return d * 5 / 4 }

// Guards against a VM that learns what it missed seconds after its path to the store has healed: the whole pause
// followed a call that the partition had held up.
func TestHeldUpCallCountsTowardsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const longest = 1200 * time.Millisecond
		var delay backoff
		for range 5 {
			delay.begin()
			delay.next(longest)
		}
		is.Equal(delay.next(longest), longest)
		delay.begin()
		time.Sleep(2 * time.Second)
		is.Equal(delay.next(longest), minRetryPause)
	})
}
