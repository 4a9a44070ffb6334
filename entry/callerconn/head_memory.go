package callerconn

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// freeHeadBytes and freeHeadLines are the size of a head up to which it needs no memory beside what its connection
	// has. Few callers send larger ones.
	freeHeadBytes = 4 << 10
	freeHeadLines = 64
	// parsedLineBytes is what a header line takes in net/http's form beside its own bytes: a map entry, a list of
	// values and a name of its own.
	parsedLineBytes = 256
	// parsedCopies is how often the bytes of a head are in memory while it is parsed.
	parsedCopies = 3
	// parseShare is the share of the memory for heads that heads may take while they are parsed.
	parseShare = 0.5
	// memoryWait is how long a head may wait for memory that others hold, memoryPollInterval how often it looks for
	// some.
	memoryWait         = 500 * time.Millisecond
	memoryPollInterval = 20 * time.Millisecond
)

// budget limits the memory that something takes, in bytes. It is safe for concurrent use.
type budget struct{ available atomic.Int64 }

// Reserve reserves n bytes, and reports whether there were as many.
func (b *budget) Reserve(n int64) bool {
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return false
	}
	return true
}

// Release gives n bytes back.
func (b *budget) Release(n int64) { b.available.Add(n) }

// HeadMemory limits the memory that the heads of all callers' requests take together. It is safe for concurrent use.
//
// A head waits in the bytes in which it comes until it is whole, since those without an end would otherwise keep a form
// that takes a multiple of them. Of the whole ones, as many are parsed at a time as there is memory for; that takes no
// longer than it takes to parse them, so the others wait.
type HeadMemory struct {
	// held is for heads in a form that takes little more than their bytes: those that are not whole, and those of
	// requests that run.
	held budget
	// parsing is for heads in net/http's form, maxParsing what there is of it.
	parsing    *semaphore.Weighted
	maxParsing int64
}

// NewHeadMemory returns a limit of n bytes.
func NewHeadMemory(n int64) *HeadMemory {
	parsing := int64(float64(n) * parseShare)
	m := &HeadMemory{parsing: semaphore.NewWeighted(parsing), maxParsing: parsing}
	m.held.Release(n - parsing)
	return m
}

// awaitParse waits until a head may be parsed, and returns what it holds then. One that takes more than there is waits
// until it is alone.
func (m *HeadMemory) awaitParse(s headScanner) (held int64, err error) {
	if s.isFree() {
		return 0, nil
	}
	held = min(m.maxParsing, int64(s.lines*parsedLineBytes+s.bytes*parsedCopies))
	ctx, cancel := context.WithTimeout(context.Background(), memoryWait)
	defer cancel()
	if err := m.parsing.Acquire(ctx, held); err != nil {
		return 0, err
	}
	return held, nil
}

func (m *HeadMemory) releaseParse(held int64) {
	if held > 0 {
		m.parsing.Release(held)
	}
}
