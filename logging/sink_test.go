package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Symptom: requests stood still. Sequence: the reader of standard output stalls, the
// pipe fills, the next line waits in the middle of a request. Cause: a log line was
// written by the goroutine of the request. Here the writer never takes a line.
func TestStalledReaderDropsLinesWithoutBlocking(t *testing.T) {
	is := is.New(t)
	out := stalledWriter{make(chan struct{})}
	s := NewSink(out, Budget{Lines: 1 << 20, Bytes: 1 << 30})
	start := time.Now()
	for range 10 * queueCapacity {
		_, err := s.Write([]byte("event=x\n"))
		is.NoErr(err)
	}
	is.True(time.Since(start) < time.Second)
	// The writer holds up to a line and a buffer of others, and the buffer may have
	// filled again behind it.
	is.True(s.Dropped() >= (10-2)*queueCapacity-1)
	close(out.release)
	s.Close()
}

// Volume stays within the budget, and what is left out is said.
func TestLinesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	var out syncBuffer
	s := NewSink(&out, Budget{Lines: 50, Bytes: 1000})
	for range 500 {
		_, err := s.Write([]byte("event=x padding\n"))
		is.NoErr(err)
	}
	s.Close()
	got := out.String()
	is.True(strings.Count(got, "event=x") <= 51)
	is.True(strings.Contains(got, "event=log_lines_dropped"))
}

// Symptom: the log of a burst had thousands of placements and not the line that
// said why they failed. Warnings keep a part of the budget.
func TestWarningsUseReservedBudget(t *testing.T) {
	is := is.New(t)
	var out syncBuffer
	s := NewSink(&out, Budget{Lines: 50, Bytes: 1 << 20})
	log := New(s)
	for range 500 {
		log.Info().Msg("placed")
	}
	log.Warn().Msg("store_lost")
	s.Close()
	is.True(strings.Contains(out.String(), "event=store_lost"))
}

// Within the budget all lines are there, in order.
func TestNoLineDroppedWithinBudget(t *testing.T) {
	is := is.New(t)
	var out syncBuffer
	s := NewSink(&out, DefaultBudget)
	log := New(s)
	for i := range 100 {
		log.Info().Int("n", i).Msg("counted")
	}
	s.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 100)
	is.True(strings.Contains(lines[99], "event=counted n=99"))
}
