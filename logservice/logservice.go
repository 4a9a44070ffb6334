// Package logservice is the HTTP client of the log service behind the product's
// own interface: an append-only log and the list of VMs.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/chivefield/chivefield/httphead"
)

// Record is a record of the log.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the result of one read.
type Batch struct {
	// First is the lowest offset that retention has not removed.
	First uint64 `json:"first"`
	// Next is the offset that the next append will get.
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// Log is an append-only log. After an error of Append the record may or may not
// have been appended.
type Log interface {
	Append(ctx context.Context, data []byte) (offset uint64, err error)
	Read(ctx context.Context, from uint64, limit int) (Batch, error)
}

// VMState is the state of a VM as reported by the platform, with a delay.
type VMState string

// States of VMs.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
	Gone    VMState = "gone"
)

// VMStatus is one entry of the list of VMs.
type VMStatus struct {
	ID    uint32  `json:"id"`
	State VMState `json:"state"`
}

// VMList returns the platform's list of VMs, which lags behind their real state.
type VMList interface {
	VMs(ctx context.Context) ([]VMStatus, error)
}

// CallError is a failed call to the platform. Status is the HTTP status if it was not 200.
type CallError struct {
	Call   string
	Status int
	Err    error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Err != nil {
		return "platform " + e.Call + ": " + e.Err.Error()
	}
	return fmt.Sprintf("platform %s: status %d", e.Call, e.Status)
}

// Unwrap returns the underlying error, if any.
func (e *CallError) Unwrap() error { return e.Err }

// Client calls the platform over HTTP.
type Client struct {
	BaseURL string
	HTTP    *http.Client
}

var (
	_ Log    = (*Client)(nil)
	_ VMList = (*Client)(nil)
)

// maxResponseBytes is the number of bytes read of a response; the rest is ignored.
const maxResponseBytes = 64 << 20

// Append appends a record and returns its offset.
func (c *Client) Append(ctx context.Context, data []byte) (uint64, error) {
	var out struct {
		Offset uint64 `json:"offset"`
	}
	err := c.call(ctx, http.MethodPost, "/log", bytes.NewReader(data), &out)
	return out.Offset, err
}

// Read reads up to limit records from an offset.
func (c *Client) Read(ctx context.Context, from uint64, limit int) (Batch, error) {
	q := url.Values{"from": {fmt.Sprint(from)}, "limit": {fmt.Sprint(limit)}}
	var b Batch
	err := c.call(ctx, http.MethodGet, "/log?"+q.Encode(), nil, &b)
	return b, err
}

// VMs returns the list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VMStatus, error) {
	var list []VMStatus
	err := c.call(ctx, http.MethodGet, "/vms", nil, &list)
	return list, err
}

func (c *Client) call(ctx context.Context, method, path string, body io.Reader, out any) error {
	name := method + " " + path
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, body)
	if err != nil {
		return &CallError{Call: name, Err: err}
	}
	resp, err := httphead.Do(c.HTTP, req)
	if err != nil {
		return &CallError{Call: name, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &CallError{Call: name, Status: resp.StatusCode}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return &CallError{Call: name, Err: err}
	}
	return nil
}
