// Package explain extracts the events of one request from the logs of all VMs and
// prints them in order of time.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is a parsed log line.
type Line struct {
	At    time.Time
	VM    string
	Event string
	// Fields are the other fields except the level, in the order of the line.
	Fields []Field
}

// Field is a key-value pair of a line.
type Field struct{ Key, Value string }

// Get returns the value of a field, or an empty string if the line does not have it.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// ReadError reports a log that could not be read.
type ReadError struct{ Err error }

// Error implements error.
func (e *ReadError) Error() string { return "cannot read the log: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// Scan calls handle for every event of a log whose line contains substr; an empty substr
// matches all lines. Lines that the daemon did not write are skipped. The error is a
// ReadError.
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

// ReadRequest returns the lines of the request with this id, in order of time. The logs
// may be those of any number of VMs. Text before the time field, as log collectors add
// it, is skipped.
func ReadRequest(r io.Reader, id string) ([]Line, error) { return readMatching(r, "request", id) }

// ReadDigest returns the lines with a digest, which all attempts of the same request share:
// those of failed and refused attempts and of changes to the suspicion of the request.
func ReadDigest(r io.Reader, digest string) ([]Line, error) { return readMatching(r, "digest", digest) }

// readMatching returns the lines in which the field has the value, in order of time.
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

// Parse parses one line; ok is false if the daemon did not write it.
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

// parseFields splits a line into key=value pairs. Values with spaces are in double quotes.
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

// cutValue returns the leading value of s, without its quotes, and the text after it.
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

// eventDescriptions are the explanations that Write prints after the names of events.
var eventDescriptions = map[string]string{
	"over_allowance":   "the organisation's allowance was spent",
	"placed":           "an endpoint was selected",
	"endpoint_stalled": "the endpoint had sent nothing for too long",
	"attempt_failed":   "the attempt at the endpoint failed",
	"refused":          "the VM answered with a refusal of its own",
	"answered":         "the endpoint's response was forwarded completely",
	"streamed":         "the stream was forwarded to its end",
	"stream_broken":    "the stream to the caller was aborted",
	"caller_left":      "the caller closed its connection",
	"body_broken":      "the request's body was received incompletely",

	"placer_passed_over": "the placer of this VM could not be used",

	"request_suspected": "an endpoint terminated while running it",
	"request_convicted": "three endpoints in a row terminated while running it; it is refused from now on",
	"request_cleared":   "an endpoint responded to it, or the endpoints that ran it are alive",
	"request_forgotten": "nothing was observed of it for the retention time; its record was removed",
}

// Write prints lines with their times relative to the first line.
func Write(w io.Writer, lines []Line) error {
	// If all lines have the same request id, it is not printed with each line.
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
