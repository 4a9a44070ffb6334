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

// Guards against stalled requests. If the reader of standard output stalls, the pipe
// fills up; a log line written by the goroutine of a request then blocks that request.
// In this test the output accepts no line.
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
	// The blocked writer may hold one line and a full queue of others, and the queue may
	// have filled up again behind it.
	is.True(s.Dropped() >= (10-2)*queueCapacity-1)
	close(out.release)
	s.Close()
}

// The volume stays within the budget, and dropped lines are reported.
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

// Guards against dropped warnings: the log of a burst contained thousands of
// placements but not the line with the cause of their failure. Warnings have a
// reserved share of the budget.
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

// Within the budget no line is dropped, and the order is kept.
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
