package config

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/chivefield/chivefield/schema"
)

// Line is one change of configuration in the audit trail.
type Line struct {
	Verdict
	UnixMs  int64
	Comment string
	// Changed are the sections in which an accepted document differs from the
	// one before.
	Changed []string
}

// Trail judges the log as every VM does and tells what each change was.
type Trail struct {
	ledger *Ledger
	held   map[uint64]*schema.LogRecord
	last   *schema.Document
}

// NewTrail returns a trail at the start of the log.
func NewTrail() *Trail {
	return &Trail{ledger: NewLedger(), held: make(map[uint64]*schema.LogRecord), last: &schema.Document{}}
}

// Begin tells from which offset the log could be read.
func (t *Trail) Begin(first uint64) { t.ledger.Begin(first) }

// Apply returns the lines that a record completes.
func (t *Trail) Apply(offset uint64, r *schema.LogRecord) []Line {
	t.held[offset] = r
	var lines []Line
	for _, v := range t.ledger.Apply(offset, r) {
		rec := t.held[v.Offset]
		if v.Judgement == Pending || rec.GetDocument() == nil {
			continue
		}
		delete(t.held, v.Offset)
		l := Line{Verdict: v, UnixMs: rec.UnixMs, Comment: rec.GetDocument().Comment}
		if v.Judgement == Accepted {
			l.Changed = Difference(t.last, rec.GetDocument())
			t.last = rec.GetDocument()
		}
		lines = append(lines, l)
	}
	return lines
}

// Difference names the top-level fields in which two documents differ, apart
// from those that say who changed what.
func Difference(a, b *schema.Document) []string {
	var names []string
	fields := a.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		switch fd.Name() {
		case "author", "comment", "base_version":
			continue
		}
		if !proto.Equal(only(a, fd), only(b, fd)) {
			names = append(names, string(fd.Name()))
		}
	}
	return names
}

// only returns a document with just one field of d.
func only(d *schema.Document, fd protoreflect.FieldDescriptor) *schema.Document {
	out := &schema.Document{}
	if d.ProtoReflect().Has(fd) {
		out.ProtoReflect().Set(fd, d.ProtoReflect().Get(fd))
	}
	return out
}
