package upstream

import (
	"bytes"
	"fmt"
	"io"
	"time"
)

// Bounds on the head of a response, together with the interim responses before it, well above what sound
// endpoints send. A faulty endpoint may send a head without end, and net/http buffers what it reads of one.
const (
	maxHeadBytes        = 64 << 10
	maxHeadLines        = 256
	maxInterimResponses = 16
	// headTimeout is how long a head may take from its first byte to its end, so that an endpoint that
	// sends it byte by byte is given up as well.
	headTimeout = 5 * time.Second
)

// HeadLimitError reports a response whose head exceeds a bound.
type HeadLimitError struct {
	// Limit is what was exceeded, with its unit.
	Limit string
}

// Error implements error.
func (e *HeadLimitError) Error() string {
	return "response head exceeds " + e.Limit
}

func headLimit(n int, unit string) error {
	return &HeadLimitError{Limit: fmt.Sprintf("%d %s", n, unit)}
}

// headReader reads from an endpoint and bounds what is read until the head of a response has ended. What is
// read together with the end of a head counts towards its bytes, but not towards its lines.
type headReader struct {
	r io.Reader
	// inHead is set from begin until the end of the head was read.
	inHead bool
	// bytesLeft and linesLeft are what the head may still take.
	bytesLeft, linesLeft int
	lines                headLines
	// started is when the first byte of the head was read; zero before.
	started time.Time
	// err is the bound that was exceeded. It is returned at once from then on: bufio drops the error of a read that
	// ends within a line, and reads again.
	err error
}

// begin starts to bound the heads of the response to a request.
func (h *headReader) begin() {
	h.bytesLeft, h.linesLeft = maxHeadBytes, maxHeadLines
	h.beginNext(nil)
}

// beginNext continues with the head that follows an interim or skipped response. Its time counts anew, since the
// endpoint may have worked in between; its bytes and lines do not. buffered is what was read of it with the response
// before.
func (h *headReader) beginNext(buffered []byte) {
	h.inHead, h.started, h.lines = true, time.Time{}, headLines{begin: h.lines.begin[:0]}
	h.readLines(buffered)
}

// end stops to bound what is read.
func (h *headReader) end() { h.inHead = false }

// Read implements io.Reader. The error of a head that exceeds a bound is a *HeadLimitError.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.inHead {
		return h.r.Read(p)
	}
	if h.err != nil {
		return 0, h.err
	}
	if h.bytesLeft <= 0 {
		h.err = headLimit(maxHeadBytes, "bytes")
		return 0, h.err
	}
	n, err := h.r.Read(p[:min(len(p), h.bytesLeft)])
	h.bytesLeft -= n
	h.readLines(p[:n])
	switch {
	case h.linesLeft < 0:
		h.err = headLimit(maxHeadLines, "lines")
	case n > 0 && h.started.IsZero():
		h.started = time.Now()
	case h.inHead && n > 0 && time.Since(h.started) > headTimeout:
		h.err = &HeadLimitError{Limit: headTimeout.String()}
	}
	if h.err != nil {
		return 0, h.err
	}
	return n, err
}

// readLines reads the lines of a head up to the empty one that ends it.
func (h *headReader) readLines(b []byte) {
	for h.inHead {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			h.lines.add(bytes.TrimRight(b, "\r"))
			return
		}
		h.lines.add(bytes.TrimRight(b[:i], "\r"))
		h.linesLeft--
		h.inHead = !h.lines.end()
		b = b[i+1:]
	}
}
