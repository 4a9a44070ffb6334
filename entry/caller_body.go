package entry

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/chivefield/chivefield/entry/callerconn"
)

// minBodyTime is how long a body may take to come even if its request has less time.
const minBodyTime = 500 * time.Millisecond

// readBody reads the whole body before the request is forwarded, so that it can be resent, and so
// that a caller that stops sending halfway does not occupy an endpoint.
func (c *callerRequest) readBody(maxBytes int) *refusal {
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return nil
	}
	due := c.arrived.Add(max(c.deadline.Sub(c.arrived), minBodyTime))
	if err := http.NewResponseController(c.w).SetReadDeadline(due); err != nil {
		c.d.log.Error().Err(err).Msg("read_deadline_failed")
	}
	if denied := c.receiveBody(maxBytes); denied != nil {
		return denied
	}
	// Trailers are not forwarded.
	c.r.Trailer = nil
	if conn := callerconn.FromContext(c.r.Context()); conn != nil {
		conn.EndBody()
	}
	return nil
}

// receiveBody is readBody without the time limit.
func (c *callerRequest) receiveBody(maxBytes int) *refusal {
	if maxBytes <= 0 {
		maxBytes = math.MaxInt32
	}
	if c.r.ContentLength > int64(maxBytes) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	if n := c.r.ContentLength; n > 0 {
		if !c.reserveBody(n) {
			return &refusal{http.StatusServiceUnavailable, "no_memory", startupRetryAfter}
		}
		c.body = make([]byte, n)
		if _, err := io.ReadFull(c.r.Body, c.body); err != nil {
			return c.refuseBrokenBody(err)
		}
		return nil
	}
	body, err := io.ReadAll(&reservingReader{r: http.MaxBytesReader(c.w, c.r.Body, int64(maxBytes)), c: c})
	var tooLarge *http.MaxBytesError
	var noMemory *BodyMemoryError
	switch {
	case errors.As(err, &tooLarge):
		c.releaseBody()
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	case errors.As(err, &noMemory):
		c.releaseBody()
		return &refusal{http.StatusServiceUnavailable, "no_memory", startupRetryAfter}
	case err != nil:
		return c.refuseBrokenBody(err)
	}
	c.body = body
	c.trimReserved(int64(cap(body)))
	return nil
}

// growthCopies is how often a body of unstated length is in memory while the list of its bytes grows.
const growthCopies = 2

// reservingReader reserves memory for the body of a request as it arrives: many callers may send bodies of unstated
// lengths at once.
type reservingReader struct {
	r io.Reader
	c *callerRequest
}

// Read implements io.Reader. Without memory it returns a *BodyMemoryError.
func (b *reservingReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if n > 0 && !b.c.reserveBody(int64(n)*growthCopies) {
		return 0, &BodyMemoryError{Bytes: b.c.reservedBytes}
	}
	return n, err
}

// reserveBody reserves memory for a part of the body, and reports whether there was enough.
func (c *callerRequest) reserveBody(n int64) bool {
	onlyService := len(c.d.table.Load().Document.Services) == 1
	reserve := func() bool { return c.d.bodyMemory.reserve(c.service, n, onlyService) }
	if !c.d.callerConns.AwaitBodyMemory(reserve) {
		return false
	}
	c.reservedBytes += n
	return true
}

// trimReserved gives the memory back that is reserved beyond what the body takes.
func (c *callerRequest) trimReserved(needed int64) {
	if unused := c.reservedBytes - needed; unused > 0 {
		c.d.bodyMemory.release(c.service, unused)
		c.reservedBytes = needed
	}
}

// releaseBody gives the memory back that was reserved for a body that is not kept.
func (c *callerRequest) releaseBody() {
	c.d.bodyMemory.release(c.service, c.reservedBytes)
	c.reservedBytes = 0
}

// refuseBrokenBody returns the refusal of a request whose body has not come. It ends one whose connection this VM has
// closed meanwhile.
func (c *callerRequest) refuseBrokenBody(err error) *refusal {
	c.releaseBody()
	c.bodyBroken = true
	if callerconn.IsClosed(c.r) {
		c.d.count("callers_gone")
		panic(http.ErrAbortHandler)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &refusal{status: http.StatusRequestTimeout, reason: "body_late"}
	}
	c.d.log.Info().Str("request", c.reqHeaders.ID).Err(err).Msg("body_broken")
	return &refusal{status: http.StatusBadRequest, reason: "body_broken"}
}

const (
	// drainBytes and drainTimeout bound how much of the body of a refused request is read.
	drainBytes   = 256 << 10
	drainTimeout = time.Second
)

// drainBody reads the remaining body of a refused request. Closing a connection on which data is
// still arriving resets it and discards the response: the caller would see a broken connection
// instead of a status.
func (c *callerRequest) drainBody() {
	if c.body != nil || c.bodyBroken || c.r.ContentLength == 0 || c.r.Body == nil {
		return
	}
	rc := http.NewResponseController(c.w)
	if err := rc.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, c.r.Body, drainBytes); err == nil {
		// More of the body is left; the server closes the connection.
		c.w.Header().Set("Connection", "close")
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		c.d.log.Warn().Str("request", c.reqHeaders.ID).Err(err).Msg("read_deadline_kept")
	}
}
