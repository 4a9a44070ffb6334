package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Budget limits the rate at which a Sink writes.
type Budget struct {
	// Lines and Bytes are per second. Bursts of up to one second's budget pass.
	Lines, Bytes int
}

// DefaultBudget allows six lines per request at 60 requests/s, which is three times
// the load of a VM at the deployment size that the design targets.
var DefaultBudget = Budget{Lines: 400, Bytes: 120_000}

// queueCapacity is the maximum number of lines queued for the writer.
const queueCapacity = 1024

// dropReportInterval is the interval at which a Sink logs how many lines it dropped.
const dropReportInterval = time.Second

// Sink is an io.Writer for log lines that never blocks its caller. If the reader of
// the log stalls or the budget is exceeded, lines are dropped; requests are not
// delayed. Dropped lines are counted, and the count is logged.
type Sink struct {
	out     io.Writer
	budget  Budget
	now     func() time.Time
	lines   chan []byte
	dropped atomic.Int64
	// quit stops the writer goroutine; done is closed when it has stopped.
	quit, done chan struct{}

	mu sync.Mutex
	// linesLeft and bytesLeft are the tokens left in the two rate limiters.
	linesLeft, bytesLeft float64
	lastRefill           time.Time
	reportedDrops        int64
}

// reservedShare is the share of the budget that only warnings and errors may use.
// Otherwise the lines of many requests would displace those that say why they fail.
const reservedShare = 0.2

// Level fields of the lines that may use the reserved share.
var (
	warnMark  = []byte("level=warn")
	errorMark = []byte("level=error")
)

// NewSink returns a Sink and starts its writer goroutine. Close flushes the sink.
func NewSink(out io.Writer, b Budget) *Sink {
	s := &Sink{
		out: out, budget: b, now: time.Now, lines: make(chan []byte, queueCapacity), quit: make(chan struct{}), done: make(chan struct{}),
		linesLeft: float64(b.Lines), bytesLeft: float64(b.Bytes), lastRefill: time.Now(),
	}
	go s.writeLoop()
	return s
}

// Write queues one line or drops it. It never blocks and never returns an error.
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

// Dropped returns the total number of dropped lines.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// allow takes a line of n bytes from the budget and reports whether it fits.
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

// writeBatch writes a line and all lines queued behind it in a single call. Write
// errors are ignored: there is no other place to report them.
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

// reportDropped logs how many lines were dropped since the last report.
func (s *Sink) reportDropped() {
	n := s.dropped.Load()
	if n == s.reportedDrops {
		return
	}
	_, _ = fmt.Fprintf(s.out, "time=%s level=warn event=log_lines_dropped lines=%d total=%d\n",
		s.now().Format(time.RFC3339Nano), n-s.reportedDrops, n)
	s.reportedDrops = n
}

// closeTimeout bounds the time that Close waits for the writer goroutine.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines, as far as the output accepts them within closeTimeout.
func (s *Sink) Close() {
	close(s.quit)
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
