package config

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/chivefield/chivefield/schema"
)

// AuditEntry describes one configuration change in the audit trail.
type AuditEntry struct {
	Verdict
	UnixMs  int64
	Comment string
	// Changed lists the sections in which an accepted document differs from the
	// previous one.
	Changed []string
}

// AuditTrail judges the log as every VM does and describes each change.
type AuditTrail struct {
	machine *StateMachine
	pending map[uint64]*schema.LogRecord
	last    *schema.Document
}

// NewAuditTrail returns an audit trail at the start of the log.
func NewAuditTrail() *AuditTrail {
	return &AuditTrail{machine: NewStateMachine(), pending: make(map[uint64]*schema.LogRecord), last: &schema.Document{}}
}

// SetLogStart sets the first offset that the log retains.
func (t *AuditTrail) SetLogStart(first uint64) { t.machine.SetLogStart(first) }

// Apply judges a record and returns the entries whose verdict is now known.
func (t *AuditTrail) Apply(offset uint64, r *schema.LogRecord) []AuditEntry {
	t.pending[offset] = r
	var entries []AuditEntry
	for _, v := range t.machine.Apply(offset, r) {
		rec := t.pending[v.Offset]
		if v.Judgement == Pending || rec.GetDocument() == nil {
			continue
		}
		delete(t.pending, v.Offset)
		l := AuditEntry{Verdict: v, UnixMs: rec.UnixMs, Comment: rec.GetDocument().Comment}
		if v.Judgement == Accepted {
			l.Changed = ChangedSections(t.last, rec.GetDocument())
			t.last = rec.GetDocument()
		}
		entries = append(entries, l)
	}
	return entries
}

// ChangedSections returns the names of the top-level fields in which two
// documents differ, except those that describe the change itself.
func ChangedSections(a, b *schema.Document) []string {
	var names []string
	fields := a.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		switch fd.Name() {
		case "author", "comment", "base_version":
			continue
		}
		if !proto.Equal(withOnlyField(a, fd), withOnlyField(b, fd)) {
			names = append(names, string(fd.Name()))
		}
	}
	return names
}

// withOnlyField returns a document that has only one field of d.
func withOnlyField(d *schema.Document, fd protoreflect.FieldDescriptor) *schema.Document {
	out := &schema.Document{}
	if d.ProtoReflect().Has(fd) {
		out.ProtoReflect().Set(fd, d.ProtoReflect().Get(fd))
	}
	return out
}
