// Package logging writes one line of key=value pairs for each event.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// The library keeps the format of times for the whole process.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// New returns a logger that writes key=value lines. zerolog itself writes JSON;
// its console writer is set to fields only.
func New(out io.Writer) zerolog.Logger {
	w := zerolog.ConsoleWriter{Out: out, NoColor: true, TimeFormat: time.RFC3339Nano}
	w.FormatTimestamp = func(v any) string { return fmt.Sprintf("time=%v", v) }
	w.FormatLevel = func(v any) string { return fmt.Sprintf("level=%v", v) }
	w.FormatMessage = func(v any) string { return fmt.Sprintf("event=%v", v) }
	return zerolog.New(w).With().Timestamp().Logger()
}
