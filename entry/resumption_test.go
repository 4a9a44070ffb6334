package entry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/resume"
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
		m, err := parseVersionMark(versionMark{version, 7}.String())
		is.NoErr(err)
		is.Equal(m, versionMark{version, 7})
	}
	for _, s := range []string{"", "v1 0", `"v1"`, `"v1" x`, "10.0.0.1:7600 a 0"} {
		_, err := parseVersionMark(s)
		is.True(err != nil)
	}
}

// Guards against a mark from before a restore of the store that is believed: that it was removed may be lost.
func TestMarkFromBeforeRestoreProvesNothing(t *testing.T) {
	is := is.New(t)
	sure := func(markEra, era uint64) bool {
		d := newDaemonWithUptime(t, time.Minute)
		d.resumption.loadMarks(vmList{records: []Record{{Key: versionMarkPrefix + "s", Value: []byte(versionMark{"v1", markEra}.String())}}, era: era})
		d.resumption.versions.Observe(d.now(), map[string]map[string]bool{"s": {"v1": true}})
		_, sure := d.resumption.versions.Single(d.now(), "s", time.Hour)
		return sure
	}
	is.True(sure(3, 3))
	is.True(!sure(2, 3))
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
