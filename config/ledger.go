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

// Ledger follows the log and keeps what is in force. What is in force is the
// later of what this VM judged from the log itself and what others vouched for,
// so it never goes back; every record is still judged in the log's order, so
// that a submitter here learns the verdict. It is not safe for concurrent use.
type Ledger struct {
	force State
	known bool
	// log is the state at the position up to which this VM judged the log;
	// logKnown is false while records before it are missing.
	log      State
	logKnown bool
	// blocked is set by a record of a newer schema.
	blocked bool
	held    []entry
	// first is the lowest offset that the log keeps.
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
func (l *Ledger) State() (State, bool) { return l.force, l.known && !l.blocked }

// Blocked reports whether a record of a newer schema was met.
func (l *Ledger) Blocked() bool { return l.blocked }

// Begin tells before each batch from which offset the log can be read. From 0
// nothing was in force before; otherwise a carried record or a peer has to say.
// If retention took records that were not judged here, judging starts anew from
// what others vouched for; what is in force stays.
func (l *Ledger) Begin(first uint64) {
	l.first = first
	if !l.started {
		l.started = true
		l.logKnown = first == 0
		l.known = l.known || l.logKnown
	}
	if l.logKnown && first > l.log.Through {
		l.logKnown = false
	}
	l.catchUp()
}

// catchUp lets judging go on from what is in force, if no record is missing.
func (l *Ledger) catchUp() []Verdict {
	if l.logKnown || !l.known || !l.started || l.force.Through < l.first {
		return nil
	}
	l.log, l.logKnown = l.force, true
	held := l.held
	l.held = nil
	var out []Verdict
	for _, e := range held {
		out = append(out, l.Apply(e.offset, e.record)...)
	}
	return out
}

// Apply judges one record. Records must come in the order of their offsets.
func (l *Ledger) Apply(offset uint64, r *schema.LogRecord) []Verdict {
	if l.logKnown {
		if offset < l.log.Through {
			return nil
		}
		v := l.judge(offset, r)
		if l.log.Through > l.force.Through {
			l.force, l.known = l.log, true
		}
		return []Verdict{v}
	}
	l.held = append(l.held, entry{offset: offset, record: r})
	if c := r.GetCarried(); c != nil && c.Through >= l.first && c.Document != nil {
		return l.Adopt(State{Version: c.Version, Document: c.Document, Through: c.Through})
	}
	return []Verdict{{Offset: offset, AppendID: r.AppendId, Judgement: Pending}}
}

// Adopt puts a state in force that a peer or a carried record vouches for, if
// it is of a later position.
func (l *Ledger) Adopt(s State) []Verdict {
	if l.known && s.Through <= l.force.Through {
		return l.catchUp()
	}
	if HasUnknown(s.Document) || s.Document.SchemaVersion > SchemaVersion {
		l.blocked = true
		return nil
	}
	l.force, l.known = s, true
	return l.catchUp()
}

func (l *Ledger) judge(offset uint64, r *schema.LogRecord) Verdict {
	v := Verdict{Offset: offset, AppendID: r.AppendId, Author: r.Author, Judgement: Other}
	l.log.Through = offset + 1
	d := r.GetDocument()
	switch {
	case HasUnknown(r) || d != nil && d.SchemaVersion > SchemaVersion:
		l.blocked = true
		v.Judgement = Newer
	case d != nil:
		v.Base = d.BaseVersion
		v.Judgement, v.Faults = l.judgeDocument(d)
		if v.Judgement == Accepted {
			l.log.Version, l.log.Document = offset+1, d
		}
	case r.GetCarried() != nil:
		v.Judgement = Carry
	}
	v.Version = l.log.Version
	return v
}

// judgeDocument needs no memory of earlier appends: one that is repeated after
// a lost answer no longer has the base in force.
func (l *Ledger) judgeDocument(d *schema.Document) (Judgement, []Fault) {
	if d.BaseVersion != l.log.Version {
		return Stale, []Fault{{Path: "base_version", Problem: fmt.Sprintf("is %d, in force is %d", d.BaseVersion, l.log.Version)}}
	}
	if faults := append(Check(d), changedModes(l.log.Document, d)...); len(faults) > 0 {
		return Invalid, faults
	}
	return Accepted, nil
}

// changedModes finds kinds whose claims would move. Where a kind's keys are
// claimed follows from its mode; an attempt claimed under the old mode would not
// be found by its repeat under the new one, and the request would run twice.
func changedModes(old, d *schema.Document) []Fault {
	modes := make(map[string]bool)
	for _, k := range old.GetKinds() {
		modes[k.Name] = homeOnly(k)
	}
	var faults []Fault
	for i, k := range d.Kinds {
		if was, ok := modes[k.Name]; ok && was != homeOnly(k) {
			faults = append(faults, Fault{
				Path:    fmt.Sprintf("kinds[%d]", i),
				Problem: "non_idempotent and trust_first_attempt decide where the kind is claimed and cannot change; use a new name",
			})
		}
	}
	return faults
}

// homeOnly reports whether every attempt of a kind is claimed in the key's home
// domain.
func homeOnly(k *schema.Kind) bool { return k.NonIdempotent && !k.TrustFirstAttempt }

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
