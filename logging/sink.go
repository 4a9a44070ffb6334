package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Budget bounds what a Sink writes.
type Budget struct {
	// Lines and Bytes a second; bursts of one second's worth are let through.
	Lines, Bytes int
}

// DefaultBudget is enough for six lines a request at 60 requests a second, three
// times what a VM carries at the size that the design is made for.
var DefaultBudget = Budget{Lines: 400, Bytes: 120_000}

// sinkBuffer is the number of lines that may wait for the writer.
const sinkBuffer = 1024

// reportEvery is how often a Sink says what it left out.
const reportEvery = time.Second

// Sink writes lines without ever making the caller wait: a reader of the log that
// stalls, or more lines than the budget, costs lines and no requests. What was left
// out is counted and said in a line of its own.
type Sink struct {
	out     io.Writer
	budget  Budget
	now     func() time.Time
	lines   chan []byte
	dropped atomic.Int64
	// quit ends the writer, done is closed when it has ended.
	quit, done chan struct{}

	mu sync.Mutex
	// linesLeft and bytesLeft are what may be written now.
	linesLeft, bytesLeft float64
	refilled             time.Time
	lastDropped          int64
}

// reserve is the share of the budget that only warnings and errors may use, so
// that the lines of many requests do not crowd out why they fail.
const reserve = 0.2

// Marks of lines that may use the reserve.
var (
	warning = []byte("level=warn")
	failure = []byte("level=error")
)

// NewSink starts a sink. Close flushes it.
func NewSink(out io.Writer, b Budget) *Sink {
	s := &Sink{
		out: out, budget: b, now: time.Now, lines: make(chan []byte, sinkBuffer), quit: make(chan struct{}), done: make(chan struct{}),
		linesLeft: float64(b.Lines), bytesLeft: float64(b.Bytes), refilled: time.Now(),
	}
	go s.write()
	return s
}

// Write takes one line. It never waits and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	if !s.allow(len(p), bytes.Contains(p, warning) || bytes.Contains(p, failure)) {
		s.dropped.Add(1)
		return len(p), nil
	}
	select {
	case s.lines <- append([]byte(nil), p...):
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped is the number of lines left out so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) allow(n int, important bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	passed := now.Sub(s.refilled).Seconds()
	s.refilled = now
	s.linesLeft = min(float64(s.budget.Lines), s.linesLeft+passed*float64(s.budget.Lines))
	s.bytesLeft = min(float64(s.budget.Bytes), s.bytesLeft+passed*float64(s.budget.Bytes))
	var keep float64
	if !important {
		keep = reserve
	}
	if s.linesLeft-1 < keep*float64(s.budget.Lines) || s.bytesLeft-float64(n) < keep*float64(s.budget.Bytes) {
		return false
	}
	s.linesLeft--
	s.bytesLeft -= float64(n)
	return true
}

func (s *Sink) write() {
	defer close(s.done)
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		case <-report.C:
			s.report()
		case <-s.quit:
			s.flush()
			return
		}
	}
}

// put writes lines that wait together at once. A log that cannot be written has
// nowhere to say so.
func (s *Sink) put(line []byte) {
	for range len(s.lines) {
		line = append(line, <-s.lines...)
	}
	_, _ = s.out.Write(line)
}

func (s *Sink) flush() {
	select {
	case line := <-s.lines:
		s.put(line)
	default:
	}
	s.report()
}

// report says how many lines were left out since the last report.
func (s *Sink) report() {
	n := s.dropped.Load()
	if n == s.lastDropped {
		return
	}
	_, _ = fmt.Fprintf(s.out, "time=%s level=warn event=log_lines_dropped lines=%d total=%d\n",
		s.now().Format(time.RFC3339Nano), n-s.lastDropped, n)
	s.lastDropped = n
}

// closeWait bounds how long Close waits for the writer.
const closeWait = 200 * time.Millisecond

// Close writes what waits, as far as the writer takes it in time.
func (s *Sink) Close() {
	close(s.quit)
	select {
	case <-s.done:
	case <-time.After(closeWait):
	}
}
