package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/endpoint"
	"github.com/chivefield/chivefield/engine"
)

// TestTokensBeforeCutAreFlushed guards against a lost connection that discards the
// tokens before CutAfter, when all of them were available at once.
func TestTokensBeforeCutAreFlushed(t *testing.T) {
	is := is.New(t)
	e := NewEngine("e", engine.Config{Slots: 1, PrefillSpeed: 8000, OutputSpeed: 8000, CacheBlocks: 10})
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	req, err := http.NewRequest("POST", server.URL+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p","max_tokens":10,"stream":true}`))
	is.NoErr(err)
	req.Header.Set("X-Stream-Id", "s")
	whole, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	_, err = io.ReadAll(whole.Body)
	is.NoErr(err)
	e.SetFaults(EngineFaults{CutAfter: 5})
	resp, err := http.Get(server.URL + "/v1/streams/s?offset=0")
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	is.True(err != nil)
	is.Equal(strings.Count(string(body), "id: "), 5)
}

// TestFenceLeavesStartedStream guards against a VM that waits for a late dispatch
// and ends it, because the stream starts just before the fence.
func TestFenceLeavesStartedStream(t *testing.T) {
	is := is.New(t)
	e := NewEngine("e", engine.Config{Slots: 1, PrefillSpeed: 8000, OutputSpeed: 100, CacheBlocks: 10})
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	req, err := http.NewRequest("POST", server.URL+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p","max_tokens":20,"stream":true}`))
	is.NoErr(err)
	req.Header.Set("X-Stream-Id", "s")
	resp, err := http.DefaultClient.Do(req) // Its headers show that the stream has started.
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	client := &endpoint.Client{HTTP: http.DefaultClient}
	is.Equal(client.Fence(t.Context(), server.URL, "s"), endpoint.FenceTooLate)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(strings.Count(string(body), "id: "), 20)
	is.Equal(client.Fence(t.Context(), server.URL, "other"), endpoint.FencePromised)
}
