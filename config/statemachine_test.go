package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/chivefield/chivefield/schema"
)

// validDocument returns a document without faults.
func validDocument(base uint64, author string) *schema.Document {
	return &schema.Document{
		SchemaVersion: 1, BaseVersion: base, Author: author, RecordTtl: "15m",
		Tiers:         []*schema.Tier{{Number: 0, Name: "high"}},
		Organisations: []*schema.Organisation{{Name: "o", KeySha256: strings.Repeat("ab", 32)}},
		Kinds:         []*schema.Kind{{Name: "k", Deadline: "1s", Model: "m", ExpectedOutput: 1}},
		Assignments:   []*schema.Assignment{{Organisation: Any, Kind: Any}},
	}
}

// TestStateMachine replays recorded sessions of several VMs that read one log,
// with concurrent changes, outages and log retention. Each output line is a
// verdict or a state of one VM.
func TestStateMachine(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		vms := map[string]*StateMachine{}
		highest := map[string]uint64{}
		var log []*schema.LogRecord
		first := 0
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			switch d.Cmd {
			case "append":
				log = append(log, newRecord(t, d, uint64(len(log))))
				return fmt.Sprintf("offset %d", len(log)-1)
			case "retain":
				d.ScanArgs(t, "from", &first)
			case "read":
				for _, name := range strings.Fields(d.Input) {
					l := vm(vms, name)
					l.SetLogStart(uint64(first))
					for i := first; i < len(log); i++ {
						for _, v := range l.Apply(uint64(i), log[i]) {
							fmt.Fprintf(&out, "%s: offset %d by %s base %d: %s, in force %d\n", name, v.Offset, v.Author, v.Base, v.Judgement, v.Version)
						}
					}
					checkNoRollback(t, highest, name, l)
				}
			case "offer":
				var from, to string
				d.ScanArgs(t, "from", &from)
				d.ScanArgs(t, "to", &to)
				if s, ok := vm(vms, from).State(); ok {
					vm(vms, to).Adopt(s)
				}
				checkNoRollback(t, highest, to, vm(vms, to))
				show(&out, to, vm(vms, to))
			case "show":
				for _, name := range strings.Fields(d.Input) {
					show(&out, name, vm(vms, name))
				}
			}
			return out.String()
		})
	})
}

func vm(vms map[string]*StateMachine, name string) *StateMachine {
	if vms[name] == nil {
		vms[name] = NewStateMachine()
	}
	return vms[name]
}

func show(out *strings.Builder, name string, l *StateMachine) {
	s, known := l.State()
	fmt.Fprintf(out, "%s: in force %d through %d known %t\n", name, s.Version, s.Through, known)
}

// checkNoRollback fails the test if the configuration of a VM went back.
func checkNoRollback(t *testing.T, high map[string]uint64, name string, l *StateMachine) {
	s, _ := l.State()
	if s.Version < high[name] {
		t.Fatalf("config: %s went back from %d to %d", name, high[name], s.Version)
	}
	high[name] = s.Version
}

func newRecord(t *testing.T, d *datadriven.TestData, offset uint64) *schema.LogRecord {
	var author string
	var base, version, through uint64
	d.MaybeScanArgs(t, "author", &author)
	d.MaybeScanArgs(t, "base", &base)
	r := &schema.LogRecord{AppendId: fmt.Sprint("id", offset), Author: author}
	body := validDocument(base, author)
	switch {
	case d.MaybeScanArgs(t, "carry", &version):
		d.ScanArgs(t, "through", &through)
		r.Body = &schema.LogRecord_Carried{Carried: &schema.Carried{Version: version, Through: through, Document: body}}
		return r
	case d.HasArg("newer"):
		body.SchemaVersion = SchemaVersion + 1
	case d.HasArg("unknown-field"):
		body.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 999, protowire.VarintType), 1))
	case d.HasArg("mode"):
		body.Kinds[0].NonIdempotent = true
	case d.HasArg("faulty"):
		body.RecordTtl = "forever"
	}
	r.Body = &schema.LogRecord_Document{Document: body}
	return r
}
