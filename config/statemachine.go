package config

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/schema"
)

// State is the configuration at a position of the log. It is a function of the
// log alone, so any two states are ordered by Through.
type State struct {
	// Version is the offset of the document's record plus one; 0 without a
	// document.
	Version  uint64
	Document *schema.Document
	// Through is the offset of the first record that is not included.
	Through uint64
}

// Judgement is the result of judging a record.
type Judgement string

// Judgements. Only Accepted changes the configuration.
const (
	Accepted Judgement = "accepted"
	// StaleBase: another change to the same base version came first.
	StaleBase Judgement = "stale_base"
	// Invalid: the document has faults.
	Invalid Judgement = "invalid"
	// Carried: the record republishes the current configuration, so that log
	// retention does not remove it.
	Carried Judgement = "carried"
	// NewerSchema: the record was written by a newer version. From then on
	// State reports the configuration as unknown.
	NewerSchema Judgement = "newer_schema"
	// Other: the record is not about configuration.
	Other Judgement = "other"
	// Pending: the record cannot be judged yet because earlier records are
	// missing.
	Pending Judgement = "pending"
)

// Verdict describes how one record was judged.
type Verdict struct {
	Offset    uint64
	AppendID  string
	Author    string
	Base      uint64
	Judgement Judgement
	Faults    []Fault
	// Version is the configuration version after the record.
	Version uint64
}

// StateMachine replays the log and maintains the current configuration. That is
// the later of the state replayed from the log and the states adopted from
// others, so it never goes back. Every record is still judged in the log's
// order, so that a submitter at this VM receives its verdict. It is not safe
// for concurrent use.
type StateMachine struct {
	current State
	known   bool
	// replayed is the state up to which this VM has judged the log. replayValid
	// is false while records before it are missing.
	replayed    State
	replayValid bool
	// blocked is set by a record of a newer schema.
	blocked bool
	pending []logEntry
	// logStart is the lowest offset that the log retains.
	logStart uint64
	started  bool
}

type logEntry struct {
	offset uint64
	record *schema.LogRecord
}

// NewStateMachine returns a state machine without a state.
func NewStateMachine() *StateMachine { return &StateMachine{} }

// State returns the current configuration and whether it is known.
func (m *StateMachine) State() (State, bool) { return m.current, m.known && !m.blocked }

// Blocked reports whether a record of a newer schema was found.
func (m *StateMachine) Blocked() bool { return m.blocked }

// SetLogStart sets the first offset that the log retains. It must be called
// before each batch. If the offset is 0 at the first call, there was no earlier
// configuration; otherwise the state before it must come from a republished
// configuration or a peer. If retention removed records that were not judged
// here, replay restarts from an adopted state; the current configuration stays.
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

// resumeReplay continues the replay from the current configuration if no record
// after it is missing.
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

// Apply judges one record. Records must be applied in the order of their
// offsets.
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

// Adopt makes a state from a peer or a republished configuration the current
// one if it is later.
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

// judgeDocument needs no list of earlier appends to reject duplicates: if an
// append is retried after its response was lost, the retry's base is no longer
// the current version.
func (m *StateMachine) judgeDocument(d *schema.Document) (Judgement, []Fault) {
	if d.BaseVersion != m.replayed.Version {
		return StaleBase, []Fault{{Path: "base_version", Problem: fmt.Sprintf("is %d, but the current version is %d", d.BaseVersion, m.replayed.Version)}}
	}
	if faults := append(Check(d), changedClaimModes(m.replayed.Document, d)...); len(faults) > 0 {
		return Invalid, faults
	}
	return Accepted, nil
}

// changedClaimModes returns a fault for each kind whose claims would move. The
// mode of a kind determines where its keys are claimed. A retry under a new
// mode would not find the attempt claimed under the old one, and the request
// would run twice.
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

// homeOnly reports whether all attempts of a kind are claimed in the key's home
// domain.
func homeOnly(k *schema.Kind) bool { return k.NonIdempotent && !k.TrustFirstAttempt }

// Decode decodes a record of the log.
func Decode(data []byte) (*schema.LogRecord, error) {
	r := &schema.LogRecord{}
	if err := proto.Unmarshal(data, r); err != nil {
		return nil, &DecodeError{Err: err}
	}
	return r, nil
}

// DecodeError reports data that is not a valid log record.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return "not a log record: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }
