package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of what was sent, answered and run, with times since its creation.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Since returns the time since the record was created.
func (r *Record) Since() time.Duration { return time.Since(r.start) }

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The record is evidence for a reader; the verdict does not depend on it.
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
