package transfer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A transfer that breaks off says how much had arrived of how much.
func TestProgressOfBrokenTransfer(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, strings.Repeat("x", 300))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	var p Progress
	r, err := http.NewRequestWithContext(WithProgress(t.Context(), &p), http.MethodGet, s.URL, nil)
	is.NoErr(err)
	resp, err := (&Transport{Next: http.DefaultTransport}).RoundTrip(r)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
	is.NoErr(resp.Body.Close())
	is.Equal(p.Received(), int64(300))
	is.Equal(p.Size(), int64(1000))
	is.True(p.Elapsed() > 0)
}
