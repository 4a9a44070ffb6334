// Package transfer receives HTTP responses of any size over links of any speed: a transfer is given
// up when it makes no progress, not after a fixed time. What was received is known also when it
// fails.
package transfer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/chivefield/chivefield/httphead"
	"github.com/chivefield/chivefield/timeout"
)

// Progress is how far the response to a request has arrived. It may be read while the transfer runs.
type Progress struct {
	start          time.Time
	received, size atomic.Int64
}

// Received returns the bytes of the body that have arrived.
func (p *Progress) Received() int64 { return p.received.Load() }

// Size returns the bytes of the whole body, as its sender stated; 0 if it did not, or has not yet.
func (p *Progress) Size() int64 { return p.size.Load() }

// Elapsed returns the time since the request was started.
func (p *Progress) Elapsed() time.Duration { return time.Since(p.start) }

type progressKey struct{}

// WithProgress returns a context for one request, whose response is recorded in p.
func WithProgress(ctx context.Context, p *Progress) context.Context {
	p.start = time.Now()
	return context.WithValue(ctx, progressKey{}, p)
}

// StalledError reports a transfer that was given up since nothing arrived for some time.
type StalledError struct {
	Timeout time.Duration
	// Received is how many bytes of the body had arrived.
	Received int64
}

// Error implements error.
func (e *StalledError) Error() string {
	return fmt.Sprintf("nothing arrived for %s after %d bytes", e.Timeout, e.Received)
}

// SizeError reports a response whose body exceeds the client's bound.
type SizeError struct{ MaxBytes int64 }

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("response exceeds %d bytes", e.MaxBytes) }

const (
	// minRate is the least rate of a transfer, in bytes a second, once it has taken slowGrace: a server that sends a byte
	// now and then, without end, never stalls. The narrowest links bring ten times as much.
	minRate   = 4 << 10
	slowGrace = 10 * time.Second
)

// SlowError reports a transfer that was given up since it took too long for what had arrived.
type SlowError struct {
	Took     time.Duration
	Received int64
}

// Error implements error.
func (e *SlowError) Error() string {
	return fmt.Sprintf("%d bytes in %s are too slow", e.Received, e.Took)
}

// VersionError reports a response in a version of HTTP before 1.1, which neither the store nor other VMs speak. Whether it
// is framed by chunks is not known: net/http drops the field of such a response that says so, and does not decode them.
type VersionError struct{ Proto string }

// Error implements error.
func (e *VersionError) Error() string { return "response of " + e.Proto }

// Client sends requests and gives up those whose responses make no progress.
type Client struct {
	HTTP *http.Client
	// Response is how long the server may take to begin its response, Stall how long nothing may
	// arrive of a response that has begun.
	Response, Stall time.Duration
	// MaxBytes bounds the body of a response; 0 for no bound.
	MaxBytes int64
}

// Do sends a request. The body of the response must be closed.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	p, _ := r.Context().Value(progressKey{}).(*Progress)
	if p == nil {
		p = &Progress{start: time.Now()}
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	b := &body{progress: p, stall: c.Stall, maxBytes: c.MaxBytes, ctx: ctx, cancel: cancel}
	b.timer = timeout.AfterFunc(c.Response, func(time.Duration) { cancel(&StalledError{Timeout: c.Response}) })
	resp, err := httphead.Do(c.HTTP, r.WithContext(ctx))
	if err != nil {
		defer b.release()
		return nil, b.cause(err)
	}
	if !resp.ProtoAtLeast(1, 1) {
		defer b.release()
		_ = resp.Body.Close()
		return nil, &VersionError{Proto: resp.Proto}
	}
	p.size.Store(max(0, resp.ContentLength))
	b.timer.Stop()
	b.timer = timeout.AfterFunc(c.Stall, func(time.Duration) { cancel(&StalledError{Timeout: c.Stall, Received: p.Received()}) })
	b.lastRead = time.Now()
	b.ReadCloser = resp.Body
	resp.Body = b
	return resp, nil
}

// body is the body of a response, whose transfer is given up if it stalls.
type body struct {
	io.ReadCloser
	progress *Progress
	stall    time.Duration
	maxBytes int64
	// received is how much of the body was read, took how long that took and lastRead when the last read ended.
	received int64
	took     time.Duration
	lastRead time.Time
	timer    *timeout.Timer
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

// Read implements io.Reader.
func (b *body) Read(to []byte) (int, error) {
	n, err := b.ReadCloser.Read(to)
	b.progress.received.Add(int64(n))
	b.received += int64(n)
	if b.maxBytes > 0 && b.received > b.maxBytes {
		return 0, &SizeError{MaxBytes: b.maxBytes}
	}
	b.recordTime()
	if err == nil && float64(b.received) < (b.took-slowGrace).Seconds()*minRate {
		return 0, &SlowError{Took: b.took, Received: b.received}
	}
	if n > 0 {
		b.timer.Reset(b.stall)
	}
	if err != nil && err != io.EOF {
		err = b.cause(err)
	}
	return n, err
}

// recordTime adds the time since the last read. A silence of the server for longer than stall ends the transfer, so what
// exceeds that is a pause of this process, in which it could not read what had arrived.
func (b *body) recordTime() {
	now := time.Now()
	b.took += min(now.Sub(b.lastRead), b.stall)
	b.lastRead = now
}

// Close implements io.Closer.
func (b *body) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}

func (b *body) release() {
	b.timer.Stop()
	b.cancel(nil)
}

// cause returns why the transfer was given up, or the given error if it was not.
func (b *body) cause(err error) error {
	if stalled, ok := context.Cause(b.ctx).(*StalledError); ok {
		return stalled
	}
	return err
}
