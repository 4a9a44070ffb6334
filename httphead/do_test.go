package httphead

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hiddenLength has a body of which net/http knows nothing, and which looks like a response.
const hiddenLength = "HTTP/1.1 200 OK\r\nContent-Length : 40\r\nContent-Length: 0\r\n\r\n"

// serve answers the first request on the first connection with a hidden body, which comes late, and all others soundly.
func serve(l net.Listener) {
	for first := true; ; first = false {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			for begin := first; ; begin = false {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				if !begin {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					continue
				}
				_, _ = io.WriteString(c, hiddenLength)
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
			}
		}()
	}
}

// Guards against the body of a refused response that is taken for the response to the next request, on a connection that
// was kept although its head is not believed.
func TestConnectionOfRefusedHeadIsNotKept(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go serve(l)
	client := &http.Client{Transport: &http.Transport{}}
	get := func() (*http.Response, error) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("http://%s/", l.Addr()), nil)
		is.NoErr(err)
		return Do(client, r)
	}
	_, err = get()
	var odd *FieldNameError
	is.True(errors.As(err, &odd))
	resp, err := get()
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(string(body), "ok")
}
