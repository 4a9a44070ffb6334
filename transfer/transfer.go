// Package transfer observes the responses of HTTP requests while they arrive: what was received is
// known also when a transfer fails.
package transfer

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"
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

// Transport records the progress of responses to requests whose context has a Progress.
type Transport struct{ Next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Next.RoundTrip(r)
	p, _ := r.Context().Value(progressKey{}).(*Progress)
	if err != nil || p == nil {
		return resp, err
	}
	p.size.Store(max(0, resp.ContentLength))
	resp.Body = &body{ReadCloser: resp.Body, progress: p}
	return resp, nil
}

// body counts what is read of a response's body.
type body struct {
	io.ReadCloser
	progress *Progress
}

// Read implements io.Reader.
func (b *body) Read(to []byte) (int, error) {
	n, err := b.ReadCloser.Read(to)
	b.progress.received.Add(int64(n))
	return n, err
}
