package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/httphead"
)

// oddNames are lines of a head whose names hold a blank.
var oddNames = []string{
	"X Odd: 1", "X-Odd : 1", "X-Odd  : 1", "Content-Length : 2", "Content Length: 2",
	"Transfer-Encoding : chunked", "Connection : close", "Id : 1",
}

// Guards against a head that is believed although the name of one of its fields holds a blank, whether the head is that
// of the response, of an interim response or of one to an earlier request.
func TestHeadWithOddNameIsNoResponse(t *testing.T) {
	get := &Request{Method: http.MethodGet, Target: "/", Host: "h", Matches: func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == "1" }}
	const sound = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	for _, line := range oddNames {
		for name, text := range map[string]string{
			"no framing": "HTTP/1.1 200 OK\r\nId: 1\r\n%s\r\n\r\nok",
			"length":     "HTTP/1.1 200 OK\r\nId: 1\r\n%s\r\nContent-Length: 2\r\n\r\nok",
			"chunks":     "HTTP/1.1 200 OK\r\nId: 1\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
			"no body":    "HTTP/1.1 204 No Content\r\nId: 1\r\n%s\r\n\r\n",
			"rejection":  "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\n%s\r\nContent-Length: 0\r\n\r\n",
			"interim":    "HTTP/1.1 103 Early Hints\r\n%s\r\n\r\n" + sound,
			"stale":      "HTTP/1.1 200 OK\r\nId: 0\r\n%s\r\nContent-Length: 2\r\n\r\nno" + sound,
		} {
			t.Run(fmt.Sprintf("%q %s", line, name), func(t *testing.T) {
				is := is.New(t)
				_, _, err := exchangeWith(t, get, fmt.Sprintf(text, line), "")
				var ex *ExchangeError
				is.True(errors.As(err, &ex))
				is.Equal(ex.Stage, Sent)
				var odd *httphead.FieldNameError
				is.True(errors.As(err, &odd))
			})
		}
	}
}

// Guards against a field that frames the body and is taken for the rest of the line before, since a blank comes before its
// name.
func TestHeadWithBlankBeforeNameIsNoResponse(t *testing.T) {
	get := &Request{Method: http.MethodGet, Target: "/", Host: "h", Matches: func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == "1" }}
	const sound = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	for _, line := range []string{" : 1", " X-Odd: 1", "\tContent-Length: 2", "  Transfer-Encoding: chunked"} {
		for name, text := range map[string]string{
			"no framing":   "HTTP/1.1 200 OK\r\nId: 1\r\nX: a\r\n%s\r\n\r\nok",
			"length":       "HTTP/1.1 200 OK\r\nId: 1\r\nX: a\r\n%s\r\nContent-Length: 2\r\n\r\nok",
			"chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 1\r\nX: a\r\n%s\r\n\r\n2\r\nok\r\n0\r\n\r\n",
			"interim":      "HTTP/1.1 103 Early Hints\r\nX: a\r\n%s\r\n\r\n" + sound,
			"stale":        "HTTP/1.1 200 OK\r\nId: 0\r\nX: a\r\n%s\r\nContent-Length: 2\r\n\r\nno" + sound,
			"after others": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nX: a\r\n%s\r\nContent-Length: 2\r\n\r\nok",
		} {
			t.Run(fmt.Sprintf("%q %s", line, name), func(t *testing.T) {
				is := is.New(t)
				_, _, err := exchangeWith(t, get, fmt.Sprintf(text, line), "")
				var folded *FoldedFieldError
				is.True(errors.As(err, &folded))
			})
		}
	}
}

// Guards against a head that is refused although its names are those of HTTP.
func TestHeadWithRareNamesIsRead(t *testing.T) {
	is := is.New(t)
	any := &Request{Method: http.MethodGet, Target: "/", Host: "h", Matches: func(*http.Response, bool) bool { return true }}
	resp, _, err := exchangeWith(t, any, "HTTP/1.1 200 OK\r\nx_a.b!c~d#e$f%g&h'i*j+k^l`m|n: v\r\nX-Empty:\r\nX-Folded: a\r\n b\r\nContent-Length: 2\r\n\r\nok", "")
	is.NoErr(err)
	body, err := io.ReadAll(resp)
	is.NoErr(err)
	is.Equal(string(body), "ok")
	resp.Finish()
}
