package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against chunk sizes that reach a caller among the content: a response of HTTP/1.0 states chunks, which that
// version has not.
func TestChunksOfOldVersionAreNoResponse(t *testing.T) {
	any := &Request{Method: http.MethodGet, Target: "/", Host: "h", Matches: func(*http.Response, bool) bool { return true }}
	const body = "2\r\nok\r\n0\r\n\r\n"
	for _, version := range []string{"HTTP/1.0", "HTTP/0.9"} {
		for _, fields := range []string{
			"Transfer-Encoding: chunked\r\n", "transfer-encoding:chunked\r\n", "TRANSFER-ENCODING: gzip\r\n",
			fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(body)),
		} {
			t.Run(version+" "+fields, func(t *testing.T) {
				is := is.New(t)
				_, _, err := exchangeWith(t, any, version+" 200 OK\r\n"+fields+"\r\n"+body, "")
				var version *FramingVersionError
				is.True(errors.As(err, &version))
			})
		}
	}
}

// Guards against sound responses that are refused together with chunks of HTTP/1.0.
func TestSoundFramingIsRead(t *testing.T) {
	any := &Request{Method: http.MethodGet, Target: "/", Host: "h", Matches: func(*http.Response, bool) bool { return true }}
	for _, text := range []string{
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding-Hint: none\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding-Hint: none\r\n\r\nHTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			resp, _, err := exchangeWith(t, any, text, "")
			is.NoErr(err)
			body, err := io.ReadAll(resp)
			is.NoErr(err)
			is.Equal(string(body), "ok")
			resp.Finish()
		})
	}
}
