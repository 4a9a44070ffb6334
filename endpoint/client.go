// Package endpoint implements the client of model engines and plain services.
// Its main concern is to report correctly whether a request may have run.
package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/chivefield/chivefield/httphead"
	"github.com/chivefield/chivefield/upstream"
)

// Headers of the protocol with endpoints.
const (
	// HeaderStream carries the stream id under which an engine can be asked
	// again.
	HeaderStream = "X-Stream-Id"
	// HeaderKey carries organisation/id, for the endpoint's own records.
	HeaderKey = "X-Request-Key"
)

// Call is a request to an endpoint.
type Call struct {
	// Base is the endpoint's address, such as "http://10.0.0.1:8000".
	Base string
	Path string
	// Stream is empty for plain services.
	Stream string
	Key    string
	Body   []byte
	// ContentType is the media type of the body.
	ContentType string
}

// Sink receives the parts of a response as they arrive.
type Sink interface {
	// Token receives the data of one token. Offsets count up from 0 without
	// gaps.
	Token(offset int, data []byte)
	// Response receives the whole response of a plain service.
	Response(status int, contentType string, body []byte)
}

// Result is the way in which a call ended.
type Result int

// Results of calls.
const (
	// Complete: the whole response was received.
	Complete Result = iota
	// NotAccepted: the endpoint provably did not accept the request.
	NotAccepted
	// Cancelled: the endpoint cancelled the stream.
	Cancelled
	// Broken: the request may have run, and the response is incomplete.
	Broken
	// NotFound: the endpoint has no stream of that id.
	NotFound
	// Fenced: the endpoint refused the stream, having promised never to run it.
	Fenced
)

// Client calls endpoints. Its HTTP client must not retry requests: calls are
// made without GetBody and without an idempotency header, which keeps net/http
// from sending a body twice.
type Client struct {
	HTTP *http.Client
	// ResumeInterval is the time between two attempts to resume a broken stream.
	ResumeInterval time.Duration
	// MaxResumes bounds the number of attempts.
	MaxResumes int
}

// MaxResponseBody bounds the response of a plain service, in bytes.
const MaxResponseBody = 16 << 20

// Run sends the request once. If the response is interrupted, the rest of the
// stream is requested from a model engine; the request itself is never sent
// again.
func (c *Client) Run(ctx context.Context, call Call, sink Sink) Result {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, call.Base+call.Path, io.NopCloser(bytes.NewReader(call.Body)))
	if err != nil {
		return NotAccepted
	}
	req.ContentLength = int64(len(call.Body))
	req.Header.Set("Content-Type", call.ContentType)
	req.Header.Set(HeaderKey, call.Key)
	if call.Stream != "" {
		req.Header.Set(HeaderStream, call.Stream)
	}
	resp, err := httphead.Do(c.HTTP, req)
	if err != nil {
		if failedToConnect(err) {
			return NotAccepted
		}
		return c.resumeWithRetries(ctx, call, 0, sink)
	}
	defer func() { _ = resp.Body.Close() }()
	if call.Stream == "" {
		// Whatever a plain service responds, it may have run the call.
		return readResponse(resp, sink)
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		// In the engines' protocol, such a request was not admitted.
		return NotAccepted
	}
	if resp.StatusCode == http.StatusGone {
		return Fenced
	}
	if resp.StatusCode != http.StatusOK {
		return Broken
	}
	next, res := readStream(resp.Body, 0, sink)
	if res != Broken {
		return res
	}
	return c.resumeWithRetries(ctx, call, next, sink)
}

// failedToConnect reports whether an error occurred before a connection was
// established.
func failedToConnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func readResponse(resp *http.Response, sink Sink) Result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBody+1))
	if err != nil || len(body) > MaxResponseBody || !endIsStated(resp) || upstream.CheckStatus(resp.StatusCode) != nil {
		return Broken
	}
	sink.Response(resp.StatusCode, resp.Header.Get("Content-Type"), body)
	return Complete
}

// endIsStated reports whether a response states where its body ends, by a length, by chunks or by the
// checksum of a compressed body. One that ends with its connection may have been cut short.
func endIsStated(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Uncompressed
}

// resumeWithRetries tries up to MaxResumes times to resume a broken stream.
func (c *Client) resumeWithRetries(ctx context.Context, call Call, next int, sink Sink) Result {
	if call.Stream == "" {
		return Broken
	}
	for range c.MaxResumes {
		select {
		case <-ctx.Done():
			return Broken
		case <-time.After(c.ResumeInterval):
		}
		var res Result
		if next, res = c.Resume(ctx, call.Base, call.Stream, next, sink); res == Complete || res == Cancelled {
			return res
		}
	}
	return Broken
}

// Resume reads a stream from an offset and returns the next offset.
func (c *Client) Resume(ctx context.Context, base, stream string, offset int, sink Sink) (int, Result) {
	url := fmt.Sprintf("%s/v1/streams/%s?offset=%d", base, stream, offset)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return offset, Broken
	}
	resp, err := httphead.Do(c.HTTP, req)
	if err != nil {
		return offset, Broken
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		return offset, NotFound
	}
	if resp.StatusCode != http.StatusOK {
		return offset, Broken
	}
	return readStream(resp.Body, offset, sink)
}

// Cancel stops a stream and reports whether the endpoint confirmed it.
func (c *Client) Cancel(ctx context.Context, base, stream string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, base+"/v1/streams/"+stream, nil)
	if err != nil {
		return false
	}
	resp, err := httphead.Do(c.HTTP, req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// States that a fencing engine returns for a stream that is to be fenced.
const (
	stateNeverStarted = "never_started"
	stateStarted      = "started"
)

// FenceResult is an engine's answer to a request to fence a stream.
type FenceResult int

// Results of Fence.
const (
	// FenceUnanswered: the engine promised nothing and did not say that it knows
	// the stream.
	FenceUnanswered FenceResult = iota
	// FencePromised: the stream has not run and never will.
	FencePromised
	// FenceTooLate: the engine has received the stream and left it as it was.
	FenceTooLate
)

// Fence asks an engine never to run a stream.
func (c *Client) Fence(ctx context.Context, base, stream string) FenceResult {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, base+"/v1/streams/"+stream+"?fence=1", nil)
	if err != nil {
		return FenceUnanswered
	}
	resp, err := httphead.Do(c.HTTP, req)
	if err != nil {
		return FenceUnanswered
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil || resp.StatusCode != http.StatusOK {
		return FenceUnanswered
	}
	switch out.State {
	case stateNeverStarted:
		return FencePromised
	case stateStarted:
		return FenceTooLate
	}
	return FenceUnanswered
}

// Markers and limits of a stream of server-sent events.
const (
	doneMark      = "[DONE]"
	cancelledMark = "event: cancelled"
	maxLineBytes  = 1 << 20
)

// readStream passes tokens to the sink, starting at offset next, until the end
// marker. A stream that ends without one is broken.
func readStream(r io.Reader, next int, sink Sink) (int, Result) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for sc.Scan() {
		line := sc.Text()
		if line == cancelledMark {
			return next, Cancelled
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == doneMark {
			return next, Complete
		}
		sink.Token(next, []byte(data))
		next++
	}
	return next, Broken
}

// Load is an endpoint's load report.
type Load struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// Load requests the load of an engine.
func (c *Client) Load(ctx context.Context, base string) (Load, error) {
	var l Load
	return l, c.get(ctx, base+"/v1/load", &l)
}

// CacheReport holds an engine's cache events from number First up to but
// excluding Next.
type CacheReport struct {
	First  int `json:"first"`
	Next   int `json:"next"`
	Events []struct {
		Stored, Dropped []uint64
	} `json:"events"`
}

// CacheEvents requests an engine's cache events starting at a number.
func (c *Client) CacheEvents(ctx context.Context, base string, after int) (CacheReport, error) {
	var r CacheReport
	return r, c.get(ctx, fmt.Sprintf("%s/v1/cache-events?after=%d", base, after), &r)
}

// ReportError reports that a load or cache report could not be retrieved.
type ReportError struct {
	URL    string
	Status int
	Err    error
}

// Error returns the URL with the cause or the HTTP status.
func (e *ReportError) Error() string {
	if e.Err != nil {
		return "report " + e.URL + ": " + e.Err.Error()
	}
	return fmt.Sprintf("report %s: status %d", e.URL, e.Status)
}

// Unwrap returns the cause.
func (e *ReportError) Unwrap() error { return e.Err }

func (c *Client) get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return &ReportError{URL: url, Err: err}
	}
	resp, err := httphead.Do(c.HTTP, req)
	if err != nil {
		return &ReportError{URL: url, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &ReportError{URL: url, Status: resp.StatusCode}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxResponseBody)).Decode(out); err != nil {
		return &ReportError{URL: url, Err: err}
	}
	return nil
}
