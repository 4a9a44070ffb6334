package endpoint

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// recorder is a Sink that keeps the response of a plain service.
type recorder struct{ body []byte }

// Token implements Sink.
func (r *recorder) Token(int, []byte) {}

// Response implements Sink.
func (r *recorder) Response(_ int, _ string, body []byte) { r.body = body }

// respond starts a plain service that sends the same bytes to each request and closes the connection.
func respond(t *testing.T, response string) (base string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = c.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(c, response)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a response that was cut short, by its endpoint or by this client, or whose status is none of HTTP,
// and is passed on as complete.
func TestResponseWithoutProofOfItsEndIsBroken(t *testing.T) {
	long := strings.Repeat("x", MaxResponseBody+1)
	for _, c := range []struct {
		name, response string
		want           Result
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", Complete},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", Complete},
		{"no length, no chunks", "HTTP/1.1 200 OK\r\n\r\nhello", Broken},
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", Broken},
		{"status 000", "HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nhello", Broken},
		{"status 600", "HTTP/1.1 600 Odd\r\nContent-Length: 5\r\n\r\nhello", Broken},
		{"too long", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long), Broken},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
			var got recorder
			is.Equal(client.Run(context.Background(), Call{Base: respond(t, c.response), Path: "/"}, &got), c.want)
			if c.want == Complete {
				is.Equal(string(got.body), "hello")
			}
			is.Equal(got.body != nil, c.want == Complete)
		})
	}
}

// oddHeads build responses that hold a name with a blank in a head.
var oddHeads = map[string]func(status, body string) string{
	"field": func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nX Odd: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	},
	"length": func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\nContent-Length : 2\r\n\r\n%s", status, len(body), body)
	},
	"interim response": func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	},
}

// Guards against a response that is believed although a name in its head holds a blank: as the answer to a request, as
// the promise that a request does not run, as a cancellation or as a report.
func TestResponseWithOddNameIsNotBelieved(t *testing.T) {
	const events, load = "data: a\n\ndata: [DONE]\n\n", `{"running":1}`
	client := Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for name, odd := range oddHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got recorder
			is.Equal(client.Run(t.Context(), Call{Base: respond(t, odd("200 OK", "hello")), Path: "/"}, &got), Broken)
			is.Equal(got.body, nil)
			is.Equal(client.Run(t.Context(), Call{Base: respond(t, odd("200 OK", events)), Path: "/", Stream: "s"}, &got), Broken)
			is.Equal(client.Run(t.Context(), Call{Base: respond(t, odd("503 Service Unavailable", "")), Path: "/", Stream: "s"}, &got), Broken)
			_, res := client.Resume(t.Context(), respond(t, odd("200 OK", events)), "s", 0, &got)
			is.Equal(res, Broken)
			_, res = client.Resume(t.Context(), respond(t, odd("404 Not Found", "")), "s", 0, &got)
			is.Equal(res, Broken)
			is.Equal(client.Fence(t.Context(), respond(t, odd("200 OK", `{"state":"never_started"}`)), "s"), FenceUnanswered)
			is.True(!client.Cancel(t.Context(), respond(t, odd("200 OK", "")), "s"))
			_, err := client.Load(t.Context(), respond(t, odd("200 OK", load)))
			is.True(err != nil)
		})
	}
}

// Guards against an answer that is taken from a redirect whose head holds a name with a blank.
func TestRedirectWithOddNameIsNotFollowed(t *testing.T) {
	is := is.New(t)
	target := respond(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
	client := Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	base := respond(t, "HTTP/1.1 303 See Other\r\nX Odd: 1\r\nLocation: "+target+"/\r\nContent-Length: 0\r\n\r\n")
	var got recorder
	is.Equal(client.Run(t.Context(), Call{Base: base, Path: "/"}, &got), Broken)
	is.Equal(got.body, nil)
}

// Guards against chunk sizes within a token of a stream, and against a part of a response as the whole: a blank before a
// field's name, or a version of HTTP that has no chunks, hides how the body is framed.
func TestHiddenFramingIsBroken(t *testing.T) {
	const chunks = "a\r\ndata: ab\r\n\r\n1\r\nc\r\n10\r\n\n\ndata: [DONE]\n\n\r\n0\r\n\r\n"
	client := Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for name, response := range map[string]string{
		"blank":    "HTTP/1.1 200 OK\r\nX: a\r\n Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"HTTP/1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got recorder
			is.Equal(client.Run(t.Context(), Call{Base: respond(t, response), Path: "/", Stream: "s"}, &got), Broken)
		})
	}
}
