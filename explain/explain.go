// Package explain tells the story of one request from the logs of all VMs.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one event of a log.
type Line struct {
	At    time.Time
	VM    string
	Event string
	// Fields are the rest, in the order of the line.
	Fields []Field
}

// Field is a key and its value.
type Field struct{ Key, Value string }

// Get returns a field's value; empty if the line has none.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// ReadError reports a log that could not be read.
type ReadError struct{ Err error }

// Error describes the failure.
func (e *ReadError) Error() string { return "cannot read the log: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// Scan calls each for every event of a log whose line holds a text; an empty one is in all.
// Lines that are none of the daemon's are passed over. The error is a ReadError.
func Scan(r io.Reader, substr string, handle func(*Line)) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		if !strings.Contains(sc.Text(), substr) {
			continue
		}
		if l, ok := Parse(sc.Text()); ok {
			handle(&l)
		}
	}
	if err := sc.Err(); err != nil {
		return &ReadError{Err: err}
	}
	return nil
}

// ReadRequest returns the lines about a request, from logs of any number of VMs, in
// order of time. Words before a line's time, as tools that collect logs add them,
// are passed over.
func ReadRequest(r io.Reader, id string) ([]Line, error) { return readMatching(r, "request", id) }

// ReadDigest returns the lines about all sendings of the same request: those that failed or were
// refused, and what was found out about it.
func ReadDigest(r io.Reader, digest string) ([]Line, error) { return readMatching(r, "digest", digest) }

// readMatching returns the lines with a field of that value.
func readMatching(r io.Reader, key, value string) ([]Line, error) {
	var lines []Line
	err := Scan(r, key+"="+value, func(l *Line) {
		if l.Get(key) == value {
			lines = append(lines, *l)
		}
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines, nil
}

// Parse reads one line; ok is false if it is none of the daemon's.
func Parse(text string) (l Line, ok bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return l, false
	}
	for _, f := range parseFields(text[start:]) {
		switch f.Key {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, f.Value)
			if err != nil {
				return l, false
			}
			l.At = at
		case "event":
			l.Event = f.Value
		case "vm":
			l.VM = f.Value
		case "level":
		default:
			l.Fields = append(l.Fields, f)
		}
	}
	return l, l.Event != ""
}

// parseFields splits key=value pairs; values with spaces are in double quotes.
func parseFields(s string) []Field {
	var list []Field
	for s = strings.TrimSpace(s); s != ""; s = strings.TrimSpace(s) {
		key, rest, ok := strings.Cut(s, "=")
		if !ok {
			return list
		}
		value, left := cutValue(rest)
		list = append(list, Field{key, value})
		s = left
	}
	return list
}

func cutValue(s string) (value, rest string) {
	if !strings.HasPrefix(s, `"`) {
		value, rest, _ = strings.Cut(s, " ")
		return value, rest
	}
	for i := 1; i < len(s); i++ {
		if s[i] == '"' && s[i-1] != '\\' {
			return strings.ReplaceAll(s[1:i], `\"`, `"`), s[i+1:]
		}
	}
	return s[1:], ""
}

// eventDescriptions say in words what an event tells.
var eventDescriptions = map[string]string{
	"over_allowance": "the organisation's allowance was spent",
	"placed":         "an endpoint was picked",
	"attempt_failed": "the attempt at the endpoint failed",
	"refused":        "the system answered for itself",
	"answered":       "the endpoint's answer was passed on whole",
	"streamed":       "the stream was passed on to its end",
	"stream_broken":  "the stream was broken off towards the caller",
	"caller_left":    "the caller closed its connection",
	"body_broken":    "the request's body did not arrive whole",

	"placer_passed_over": "the VM that places for this one could not be used",

	"request_suspected": "an endpoint ended that ran it",
	"request_convicted": "three endpoints in a row ended that ran it; it is refused from now on",
	"request_cleared":   "an answer speaks for it, or the endpoints live",
	"request_forgotten": "nothing was seen of it for its time",
}

// Write prints a story with times from its first line on.
func Write(w io.Writer, lines []Line) error {
	// Where all lines are about one sending, its id need not be repeated.
	singleRequest := !slices.ContainsFunc(lines, func(l Line) bool { return l.Get("request") != lines[0].Get("request") })
	for i, l := range lines {
		var b strings.Builder
		fmt.Fprintf(&b, "%+9.3fs", l.At.Sub(lines[0].At).Seconds())
		if i == 0 {
			fmt.Fprintf(&b, " (%s)", l.At.Format(time.RFC3339Nano))
		}
		if l.VM != "" {
			b.WriteString(" at " + l.VM)
		}
		b.WriteString(": " + l.Event)
		if m := eventDescriptions[l.Event]; m != "" {
			b.WriteString(", " + m)
		}
		for _, f := range l.Fields {
			if f.Key != "request" || !singleRequest {
				fmt.Fprintf(&b, "\n%14s = %s", f.Key, f.Value)
			}
		}
		if _, err := fmt.Fprintln(w, b.String()); err != nil {
			return err
		}
	}
	return nil
}
