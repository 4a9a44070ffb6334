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

// queueCapacity is the number of lines that may wait for the writer.
const queueCapacity = 1024

// dropReportInterval is how often a Sink says what it left out.
const dropReportInterval = time.Second

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
	lastRefill           time.Time
	reportedDrops        int64
}

// reservedShare is the share of the budget that only warnings and errors may use, so
// that the lines of many requests do not crowd out why they fail.
const reservedShare = 0.2

// Marks of lines that may use the reserve.
var (
	warnMark  = []byte("level=warn")
	errorMark = []byte("level=error")
)

// NewSink starts a sink. Close flushes it.
func NewSink(out io.Writer, b Budget) *Sink {
	s := &Sink{
		out: out, budget: b, now: time.Now, lines: make(chan []byte, queueCapacity), quit: make(chan struct{}), done: make(chan struct{}),
		linesLeft: float64(b.Lines), bytesLeft: float64(b.Bytes), lastRefill: time.Now(),
	}
	go s.writeLoop()
	return s
}

// Write takes one line. It never waits and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	if !s.allow(len(p), bytes.Contains(p, warnMark) || bytes.Contains(p, errorMark)) {
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
	elapsed := now.Sub(s.lastRefill).Seconds()
	s.lastRefill = now
	s.linesLeft = min(float64(s.budget.Lines), s.linesLeft+elapsed*float64(s.budget.Lines))
	s.bytesLeft = min(float64(s.budget.Bytes), s.bytesLeft+elapsed*float64(s.budget.Bytes))
	var reserved float64
	if !important {
		reserved = reservedShare
	}
	if s.linesLeft-1 < reserved*float64(s.budget.Lines) || s.bytesLeft-float64(n) < reserved*float64(s.budget.Bytes) {
		return false
	}
	s.linesLeft--
	s.bytesLeft -= float64(n)
	return true
}

func (s *Sink) writeLoop() {
	defer close(s.done)
	report := time.NewTicker(dropReportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-s.lines:
			s.writeBatch(line)
		case <-report.C:
			s.reportDropped()
		case <-s.quit:
			s.flush()
			return
		}
	}
}

// writeBatch writes lines that wait together at once. A log that cannot be written has
// nowhere to say so.
func (s *Sink) writeBatch(line []byte) {
	for range len(s.lines) {
		line = append(line, <-s.lines...)
	}
	_, _ = s.out.Write(line)
}

func (s *Sink) flush() {
	select {
	case line := <-s.lines:
		s.writeBatch(line)
	default:
	}
	s.reportDropped()
}

// reportDropped says how many lines were left out since the last report.
func (s *Sink) reportDropped() {
	n := s.dropped.Load()
	if n == s.reportedDrops {
		return
	}
	_, _ = fmt.Fprintf(s.out, "time=%s level=warn event=log_lines_dropped lines=%d total=%d\n",
		s.now().Format(time.RFC3339Nano), n-s.reportedDrops, n)
	s.reportedDrops = n
}

// closeTimeout bounds how long Close waits for the writer.
const closeTimeout = 200 * time.Millisecond

// Close writes what waits, as far as the writer takes it in time.
func (s *Sink) Close() {
	close(s.quit)
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
