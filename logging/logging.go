// Package logging writes one line of key=value pairs per event and bounds the log volume.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// zerolog's time format is a global setting of the process.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// New returns a logger that writes key=value lines. zerolog itself emits JSON; its
// console writer is configured to print the fields only.
func New(out io.Writer) zerolog.Logger {
	w := zerolog.ConsoleWriter{Out: out, NoColor: true, TimeFormat: time.RFC3339Nano}
	w.FormatTimestamp = func(v any) string { return fmt.Sprintf("time=%v", v) }
	w.FormatLevel = func(v any) string { return fmt.Sprintf("level=%v", v) }
	w.FormatMessage = func(v any) string { return fmt.Sprintf("event=%v", v) }
	return zerolog.New(w).With().Timestamp().Logger()
}
