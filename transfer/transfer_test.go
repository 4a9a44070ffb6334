package transfer

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/timeout"
)

// fetch receives the response of a handler.
func fetch(t *testing.T, c *Client, handler http.HandlerFunc) (string, *Progress, error) {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	var p Progress
	r, err := http.NewRequestWithContext(WithProgress(t.Context(), &p), http.MethodGet, s.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Do(r)
	if err != nil {
		return "", &p, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), &p, err
}

func sendPart(w http.ResponseWriter) {
	_, _ = io.WriteString(w, strings.Repeat("x", 100))
	w.(http.Flusher).Flush()
}

// A transfer that breaks off says how much had arrived of how much.
func TestProgressOfBrokenTransfer(t *testing.T) {
	is := is.New(t)
	_, p, err := fetch(t, &Client{HTTP: http.DefaultClient, Response: time.Minute, Stall: time.Minute}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000")
		sendPart(w)
		panic(http.ErrAbortHandler)
	})
	is.True(err != nil)
	is.Equal(p.Received(), int64(100))
	is.Equal(p.Size(), int64(1000))
	is.True(p.Elapsed() > 0)
}

// Guards against a transfer that is cut although it makes progress: a large body on a narrow link.
func TestSlowTransferIsNotCut(t *testing.T) {
	is := is.New(t)
	const stall = 150 * time.Millisecond
	got, _, err := fetch(t, &Client{HTTP: http.DefaultClient, Response: stall, Stall: stall}, func(w http.ResponseWriter, _ *http.Request) {
		for range 10 {
			sendPart(w)
			time.Sleep(stall / 3)
		}
	})
	is.NoErr(err)
	is.Equal(len(got), 1000)
}

// A connection that has gone silent is given up, before and amid a response.
func TestStalledTransferIsGivenUp(t *testing.T) {
	const stall = 50 * time.Millisecond
	for _, parts := range []int{0, 3} {
		is := is.New(t)
		_, _, err := fetch(t, &Client{HTTP: http.DefaultClient, Response: stall, Stall: stall}, func(w http.ResponseWriter, r *http.Request) {
			for range parts {
				sendPart(w)
			}
			<-r.Context().Done()
		})
		var stalled *StalledError
		is.True(errors.As(err, &stalled))
		is.Equal(stalled.Received, int64(100*parts))
	}
}

// trickle is a body that brings a byte now and then, without end.
type trickle struct{ every time.Duration }

func (r trickle) Read(p []byte) (int, error) {
	time.Sleep(r.every)
	p[0] = 'x'
	return 1, nil
}

func (trickle) Close() error { return nil }

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a reader that waits for good for a server that sends a byte now and then, which is no stall.
func TestTrickleIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := Client{HTTP: &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Body: trickle{every: time.Second / 2}, ContentLength: -1, Request: r}, nil
		})}, Response: time.Second, Stall: time.Second, MaxBytes: 100}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://store/", nil)
		is.NoErr(err)
		resp, err := client.Do(r)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		var slow *SlowError
		is.True(errors.As(err, &slow))
		is.True(slow.Took <= slowGrace+time.Second)
		is.NoErr(resp.Body.Close())
	})
}

// Guards against a transfer that is given up as slow because this process was paused between two reads: what arrived
// meanwhile is ready, and a new transfer would begin from the start.
func TestPauseOfReaderIsNoTrickle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &body{ReadCloser: io.NopCloser(strings.NewReader(strings.Repeat("x", 4))), progress: &Progress{}, stall: time.Second, lastRead: time.Now()}
		b.timer = timeout.AfterFunc(time.Hour, func(time.Duration) {})
		defer b.timer.Stop()
		_, err := b.Read(make([]byte, 1))
		is.NoErr(err)
		time.Sleep(6 * slowGrace)
		_, err = b.Read(make([]byte, 1))
		is.NoErr(err)
	})
}
