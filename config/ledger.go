package config

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/schema"
)

// State is what was in force at a position of the log. It is a function of the
// log alone, so any two states are ordered by Through.
type State struct {
	// Version is the offset of the document's record plus one; 0 if none is in force.
	Version  uint64
	Document *schema.Document
	// Through is the first offset that is not yet judged.
	Through uint64
}

// Judgement is the verdict on a document.
type Judgement string

// Judgements. Only Accepted changes what is in force.
const (
	Accepted Judgement = "accepted"
	// Stale: another change of the same base came first.
	Stale Judgement = "stale_base"
	// Invalid: the document has faults.
	Invalid Judgement = "invalid"
	// Carry: the record repeats a document against retention.
	Carry Judgement = "carried"
	// Newer: written by a newer program; this one can judge nothing any more.
	Newer Judgement = "newer_schema"
	// Other: not about configuration.
	Other Judgement = "other"
	// Pending: the log before the record is not known.
	Pending Judgement = "pending"
)

// Verdict is the judgement of one record.
type Verdict struct {
	Offset    uint64
	AppendID  string
	Author    string
	Base      uint64
	Judgement Judgement
	Faults    []Fault
	// Version in force after the record.
	Version uint64
}

// Ledger follows the log and keeps what is in force. It never goes back: each
// change moves Through forward. It is not safe for concurrent use.
type Ledger struct {
	state State
	known bool
	// blocked is set by a record of a newer schema.
	blocked bool
	held    []entry
	// first is the lowest offset held or judged.
	first   uint64
	started bool
}

type entry struct {
	offset uint64
	record *schema.LogRecord
}

// NewLedger returns a ledger that knows nothing.
func NewLedger() *Ledger { return &Ledger{} }

// State returns what is in force and whether that is known.
func (l *Ledger) State() (State, bool) { return l.state, l.known && !l.blocked }

// Blocked reports whether a record of a newer schema was met.
func (l *Ledger) Blocked() bool { return l.blocked }

// Begin tells from which offset the log could be read. From 0 nothing was in
// force before; otherwise a carried record or a peer has to say.
func (l *Ledger) Begin(first uint64) {
	if l.started {
		return
	}
	l.started = true
	l.first = first
	if first == 0 && !l.known {
		l.known = true
	}
}

// Apply judges one record. Records must come in the order of their offsets.
func (l *Ledger) Apply(offset uint64, r *schema.LogRecord) []Verdict {
	if l.known && offset < l.state.Through {
		return nil
	}
	if l.known {
		return []Verdict{l.judge(offset, r)}
	}
	l.held = append(l.held, entry{offset: offset, record: r})
	if c := r.GetCarried(); c != nil && c.Through >= l.first && c.Document != nil {
		return l.Adopt(State{Version: c.Version, Document: c.Document, Through: c.Through})
	}
	return []Verdict{{Offset: offset, AppendID: r.AppendId, Judgement: Pending}}
}

// Adopt takes over a state that a peer or a carried record vouches for, if it
// is of a later position, and judges what was held back.
func (l *Ledger) Adopt(s State) []Verdict {
	if l.known && s.Through <= l.state.Through {
		return nil
	}
	if HasUnknown(s.Document) || s.Document.SchemaVersion > SchemaVersion {
		l.blocked = true
		return nil
	}
	l.known = true
	l.state = s
	held := l.held
	l.held = nil
	var out []Verdict
	for _, e := range held {
		if e.offset >= l.state.Through {
			out = append(out, l.judge(e.offset, e.record))
		}
	}
	return out
}

func (l *Ledger) judge(offset uint64, r *schema.LogRecord) Verdict {
	v := Verdict{Offset: offset, AppendID: r.AppendId, Author: r.Author, Judgement: Other}
	l.state.Through = offset + 1
	d := r.GetDocument()
	switch {
	case HasUnknown(r) || d != nil && d.SchemaVersion > SchemaVersion:
		l.blocked = true
		v.Judgement = Newer
	case d != nil:
		v.Base = d.BaseVersion
		v.Judgement, v.Faults = l.judgeDocument(d)
		if v.Judgement == Accepted {
			l.state.Version, l.state.Document = offset+1, d
		}
	case r.GetCarried() != nil:
		v.Judgement = Carry
	}
	v.Version = l.state.Version
	return v
}

// judgeDocument needs no memory of earlier appends: one that is repeated after
// a lost answer no longer has the base in force.
func (l *Ledger) judgeDocument(d *schema.Document) (Judgement, []Fault) {
	if d.BaseVersion != l.state.Version {
		return Stale, []Fault{{Path: "base_version", Problem: fmt.Sprintf("is %d, in force is %d", d.BaseVersion, l.state.Version)}}
	}
	if faults := Check(d); len(faults) > 0 {
		return Invalid, faults
	}
	return Accepted, nil
}

// Decode reads a record of the log.
func Decode(data []byte) (*schema.LogRecord, error) {
	r := &schema.LogRecord{}
	if err := proto.Unmarshal(data, r); err != nil {
		return nil, &DecodeError{Err: err}
	}
	return r, nil
}

// DecodeError reports bytes that are no record.
type DecodeError struct{ Err error }

// Error describes the failure.
func (e *DecodeError) Error() string { return "not a log record: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }
