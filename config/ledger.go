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
	// StaleBase: another change of the same base came first.
	StaleBase Judgement = "stale_base"
	// Invalid: the document has faults.
	Invalid Judgement = "invalid"
	// Carried: the record repeats a document against retention.
	Carried Judgement = "carried"
	// NewerSchema: written by a newer program; this one can judge nothing any more.
	NewerSchema Judgement = "newer_schema"
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

// StateMachine follows the log and keeps what is in force. What is in force is the
// later of what this VM judged from the log itself and what others vouched for,
// so it never goes back; every record is still judged in the log's order, so
// that a submitter here learns the verdict. It is not safe for concurrent use.
type StateMachine struct {
	current State
	known   bool
	// replayed is the state at the position up to which this VM judged the replayed;
	// logKnown is false while records before it are missing.
	replayed    State
	replayValid bool
	// blocked is set by a record of a newer schema.
	blocked bool
	pending []logEntry
	// logStart is the lowest offset that the log keeps.
	logStart uint64
	started  bool
}

type logEntry struct {
	offset uint64
	record *schema.LogRecord
}

// NewStateMachine returns a ledger that knows nothing.
func NewStateMachine() *StateMachine { return &StateMachine{} }

// State returns what is in force and whether that is known.
func (m *StateMachine) State() (State, bool) { return m.current, m.known && !m.blocked }

// Blocked reports whether a record of a newer schema was met.
func (m *StateMachine) Blocked() bool { return m.blocked }

// SetLogStart tells before each batch from which offset the log can be read. From 0
// nothing was in force before; otherwise a carried record or a peer has to say.
// If retention took records that were not judged here, judging starts anew from
// what others vouched for; what is in force stays.
func (m *StateMachine) SetLogStart(first uint64) {
	m.logStart = first
	if !m.started {
		m.started = true
		m.replayValid = first == 0
		m.known = m.known || m.replayValid
	}
	if m.replayValid && first > m.replayed.Through {
		m.replayValid = false
	}
	m.resumeReplay()
}

// resumeReplay lets judging go on from what is in force, if no record is missing.
func (m *StateMachine) resumeReplay() []Verdict {
	if m.replayValid || !m.known || !m.started || m.current.Through < m.logStart {
		return nil
	}
	m.replayed, m.replayValid = m.current, true
	held := m.pending
	m.pending = nil
	var out []Verdict
	for _, e := range held {
		out = append(out, m.Apply(e.offset, e.record)...)
	}
	return out
}

// Apply judges one record. Records must come in the order of their offsets.
func (m *StateMachine) Apply(offset uint64, r *schema.LogRecord) []Verdict {
	if m.replayValid {
		if offset < m.replayed.Through {
			return nil
		}
		v := m.judge(offset, r)
		if m.replayed.Through > m.current.Through {
			m.current, m.known = m.replayed, true
		}
		return []Verdict{v}
	}
	m.pending = append(m.pending, logEntry{offset: offset, record: r})
	if c := r.GetCarried(); c != nil && c.Through >= m.logStart && c.Document != nil {
		return m.Adopt(State{Version: c.Version, Document: c.Document, Through: c.Through})
	}
	return []Verdict{{Offset: offset, AppendID: r.AppendId, Judgement: Pending}}
}

// Adopt puts a state in force that a peer or a carried record vouches for, if
// it is of a later position.
func (m *StateMachine) Adopt(s State) []Verdict {
	if m.known && s.Through <= m.current.Through {
		return m.resumeReplay()
	}
	if HasUnknownFields(s.Document) || s.Document.SchemaVersion > SchemaVersion {
		m.blocked = true
		return nil
	}
	m.current, m.known = s, true
	return m.resumeReplay()
}

func (m *StateMachine) judge(offset uint64, r *schema.LogRecord) Verdict {
	v := Verdict{Offset: offset, AppendID: r.AppendId, Author: r.Author, Judgement: Other}
	m.replayed.Through = offset + 1
	d := r.GetDocument()
	switch {
	case HasUnknownFields(r) || d != nil && d.SchemaVersion > SchemaVersion:
		m.blocked = true
		v.Judgement = NewerSchema
	case d != nil:
		v.Base = d.BaseVersion
		v.Judgement, v.Faults = m.judgeDocument(d)
		if v.Judgement == Accepted {
			m.replayed.Version, m.replayed.Document = offset+1, d
		}
	case r.GetCarried() != nil:
		v.Judgement = Carried
	}
	v.Version = m.replayed.Version
	return v
}

// judgeDocument needs no memory of earlier appends: one that is repeated after
// a lost answer no longer has the base in force.
func (m *StateMachine) judgeDocument(d *schema.Document) (Judgement, []Fault) {
	if d.BaseVersion != m.replayed.Version {
		return StaleBase, []Fault{{Path: "base_version", Problem: fmt.Sprintf("is %d, in force is %d", d.BaseVersion, m.replayed.Version)}}
	}
	if faults := append(Check(d), changedClaimModes(m.replayed.Document, d)...); len(faults) > 0 {
		return Invalid, faults
	}
	return Accepted, nil
}

// changedClaimModes finds kinds whose claims would move. Where a kind's keys are
// claimed follows from its mode; an attempt claimed under the old mode would not
// be found by its repeat under the new one, and the request would run twice.
func changedClaimModes(old, d *schema.Document) []Fault {
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
