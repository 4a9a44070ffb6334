package entry

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/resume"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/schema"
)

// Guards against notes on streams that take more of the links than docs/CAPACITY.md says.
func TestStreamNotesStaySmall(t *testing.T) {
	is := is.New(t)
	size := func(n *schema.PeerNote) int {
		b, err := proto.Marshal(n)
		is.NoErr(err)
		return len(b)
	}
	told := size(&schema.PeerNote{Origins: []*schema.StreamOrigin{{Key: 1 << 63, Version: "v1.22", TtlMs: 20000}}})
	asked := size(&schema.PeerNote{OriginAsks: []*schema.OriginAsk{{Handle: 1 << 63, Key: 1 << 63, Service: "chive-review"}}})
	answered := size(&schema.PeerNote{OriginAnswers: []*schema.OriginAnswer{{Handle: 1 << 63, Source: schema.OriginAnswer_RECORD, Version: "v1.22"}}})
	t.Logf("a record is told in %d bytes, asked for in %d, answered in %d", told, asked, answered)
	is.True(told <= 32)
	is.True(asked <= 48)
	is.True(answered <= 32)
}

// A mark is read as it was written, whatever the version is called.
func TestVersionMark(t *testing.T) {
	is := is.New(t)
	for _, version := range []string{"v1", "", "a b", `a"b\`, "\n"} {
		want := resume.Mark{Version: version, Era: 7, Offset: 1 << 40}
		m, err := parseVersionMark(encodeMark(want))
		is.NoErr(err)
		is.Equal(m, want)
	}
	for _, s := range []string{"", "v1 0", `"v1"`, `"v1" x`, `"v1" 1`, `"v1" 1 x`, "10.0.0.1:7600 a 0"} {
		_, err := parseVersionMark(s)
		is.True(err != nil)
	}
}

// logStore is a store whose registry's log is given.
type logStore struct {
	Store
	records []Record
	// first is the offset of the oldest record that it still has.
	first uint64
	// onRead is called at each read; nil for nothing.
	onRead func()
}

func (s *logStore) Read(_ context.Context, _ Feed, from uint64, _ time.Duration) ([]Record, Position, error) {
	if s.onRead != nil {
		s.onRead()
	}
	if from < s.first {
		return nil, Position{}, &TrimmedError{From: from}
	}
	return s.records[from:], Position{Era: 3, Offset: uint64(len(s.records))}, nil
}

// versionCodec decodes records whose value is the version of an endpoint of service "s".
type versionCodec struct{ Codec }

func (versionCodec) DecodeEndpoint(r Record) (members.Change, error) {
	if string(r.Value) == "unreadable" {
		return members.Change{ID: r.Key, Unreadable: true}, &DecodeError{Err: errors.ErrUnsupported}
	}
	return members.Change{ID: r.Key, Endpoint: &members.Endpoint{ID: r.Key, Service: "s", Version: string(r.Value)}}, nil
}

// Guards against a mark that is believed though it has outlived its truth: it is from before a restore of the store,
// the log shows another version since, or the log no longer reaches back to it.
func TestMarkIsBelievedOnlyIfLogBearsItOut(t *testing.T) {
	record := func(value string) Record { return Record{Key: "e", Value: []byte(value)} }
	log := []Record{record("v0"), record("v1"), record("v1"), record("v1")}
	for _, c := range []struct {
		name  string
		mark  resume.Mark
		log   []Record
		first uint64
		sure  bool
	}{
		{"borne out", resume.Mark{Version: "v1", Era: 3, Offset: 1}, log, 0, true},
		{"newer than this VM's copy", resume.Mark{Version: "v1", Era: 3, Offset: 9}, log, 0, true},
		{"before a restore", resume.Mark{Version: "v1", Era: 2, Offset: 1}, log, 0, false},
		{"another version", resume.Mark{Version: "v1", Era: 3, Offset: 0}, log, 0, false},
		{"another version came and went", resume.Mark{Version: "v1", Era: 3, Offset: 1}, []Record{record("v0"), record("v1"), record("v2"), record("v1")}, 0, false},
		{"unreadable entry", resume.Mark{Version: "v1", Era: 3, Offset: 1}, []Record{record("v0"), record("v1"), record("unreadable"), record("v1")}, 0, false},
		{"log trimmed", resume.Mark{Version: "v1", Era: 3, Offset: 1}, log, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDaemonWithUptime(t, time.Minute)
			d.opts.Store, d.codec = &logStore{records: c.log, first: c.first}, versionCodec{d.codec}
			d.sched.updateMembers(func(now time.Duration, m *members.Set) {
				m.Apply(now, members.Change{ID: "e", Endpoint: &members.Endpoint{ID: "e", Service: "s", Version: "v1"}})
			})
			d.sched.setMembersPosition(Position{Era: 3, Offset: uint64(len(c.log))})
			d.resumption.loadMarks(vmList{records: []Record{{Key: versionMarkPrefix + "s", Value: []byte(encodeMark(c.mark))}}, era: 3})
			d.resumption.checkListedMarks(t.Context())
			_, sure := d.resumption.versions.Single(d.now(), "s", time.Hour)
			is.Equal(sure, c.sure)
		})
	}
}

// Guards against a mark that is believed though the registry was lost while it was checked: another version may have
// come and gone unseen.
func TestMarkIsNotBelievedAfterGap(t *testing.T) {
	is := is.New(t)
	for _, gap := range []bool{false, true} {
		d := newDaemonWithUptime(t, time.Minute)
		store := &logStore{records: []Record{{Key: "e", Value: []byte("v1")}, {Key: "e", Value: []byte("v1")}}}
		d.opts.Store, d.codec = store, versionCodec{d.codec}
		d.sched.updateMembers(func(now time.Duration, m *members.Set) {
			m.Apply(now, members.Change{ID: "e", Endpoint: &members.Endpoint{ID: "e", Service: "s", Version: "v1"}})
		})
		d.sched.setMembersPosition(Position{Era: 3, Offset: 2})
		d.confirmRegistry(d.now())
		store.onRead = func() {
			if gap {
				d.registryConfirmedAt.Store(int64(time.Second))
				d.resumption.step()
				d.confirmRegistry(d.now())
			}
		}
		mark := resume.Mark{Version: "v1", Era: 3, Offset: 1}
		d.resumption.loadMarks(vmList{records: []Record{{Key: versionMarkPrefix + "s", Value: []byte(encodeMark(mark))}}, era: 3})
		d.resumption.checkListedMarks(t.Context())
		_, sure := d.resumption.versions.Single(d.now(), "s", time.Hour)
		is.Equal(sure, !gap)
	}
}

// Guards against streams of a service that the configuration dropped that are taken for those of its only version
// though another is listed by then.
func TestDroppedServiceIsNotSureForGood(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, time.Minute)
	table := func(service string) *routing.Table {
		route := &routing.Route{Name: "r", Host: "h", Prefix: "/", Kind: routing.Stream, Timeout: time.Second, Shares: []routing.Share{{Service: service, Weight: 1}}}
		return routing.NewTable(&routing.Document{Routes: []*routing.Route{route}, Services: []*routing.Service{{Name: service}}})
	}
	list := func(id, version string) {
		d.sched.updateMembers(func(now time.Duration, m *members.Set) {
			m.Apply(now, members.Change{ID: id, Endpoint: &members.Endpoint{ID: id, Service: "s", Version: version}})
		})
		d.confirmRegistry(d.now())
		d.resumption.step()
	}
	d.resumption.markFirstStart()
	d.table.Store(table("s"))
	list("e1", "v1")
	is.Equal(d.resumption.single["s"], "v1")
	d.table.Store(table("other"))
	list("e2", "v2")
	_, sure := d.resumption.single["s"]
	is.True(!sure)
}

// Guards against records of another VM that would fill the memory or outlive their streams.
func TestToldRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	d := newDaemonWithUptime(t, time.Minute)
	from := d.peers.addVM(allowance.VM{Address: "127.0.0.1:9", Domain: "a"}).addr
	long := make([]byte, maxVersionBytes+1)
	d.resumption.handleNote(&schema.PeerNote{Origins: []*schema.StreamOrigin{{Key: 1, Version: string(long), TtlMs: 1000}, {Key: 2, Version: "v1", TtlMs: 1 << 31}}}, from)
	_, known := d.resumption.ledger.Version(1)
	is.True(!known)
	d.resumption.ledger.Expire(d.now() + maxRecordTTL + time.Second)
	is.Equal(d.resumption.ledger.Len(), 0)
}

// BenchmarkStreamRecords measures the memory of the records of a VM at the target size: 18 streams a second of its own
// and twice as many kept, for 35 s each.
func BenchmarkStreamRecords(b *testing.B) {
	const records = 18 * 3 * 35
	var before, after runtime.MemStats
	ledgers := make([]*resume.Ledger, b.N)
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range b.N {
		l := resume.NewLedger()
		for k := range records {
			r := resume.Record{Key: resume.Key(k * 7919), Service: "chive-review", Version: fmt.Sprint("v1.", k%2), Expires: time.Duration(k)}
			if k%3 == 0 {
				l.Begin(r)
			} else {
				l.Keep(r)
			}
		}
		ledgers[i] = l
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N*records), "B/record")
	runtime.KeepAlive(ledgers)
}
