package callerconn

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an end of a head that is seen where net/http sees none, or the other way round: lines would then be
// read that count as part of nothing.
func TestHeadEndsWhereNetHTTPSeesItsEnd(t *testing.T) {
	const rest = "GET /next"
	for name, head := range map[string]string{
		"CRLF":                  "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"LF":                    "GET / HTTP/1.1\nHost: a\n\n",
		"mixed":                 "GET / HTTP/1.1\r\nHost: a\n\r\n",
		"folded":                "GET / HTTP/1.1\r\nHost: a\r\nB: c\r\n d\r\n\r\n",
		"carriage return value": "GET / HTTP/1.1\r\nHost: a\r\nB:\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			br := bufio.NewReader(strings.NewReader(head + rest))
			_, err := http.ReadRequest(br)
			is.NoErr(err)
			for step := 1; step <= len(head); step++ {
				var s headScanner
				is.Equal(scanInSteps(&s, head+rest, step), len(head))
				is.Equal(s.bytes, len(head))
				is.Equal(br.Buffered(), len(rest))
			}
		})
	}
}

// scanInSteps scans a text in pieces of a size and returns where the head ends; -1 if it does not.
func scanInSteps(s *headScanner, text string, step int) int {
	for from := 0; from < len(text); from += step {
		n, ended := s.scan([]byte(text[from:min(len(text), from+step)]))
		if ended {
			return from + n
		}
	}
	return -1
}

// Guards against empty lines without end before a request.
func TestEmptyLinesBeforeRequestAreBounded(t *testing.T) {
	is := is.New(t)
	var s headScanner
	is.Equal(scanInSteps(&s, strings.Repeat("\r\n", 100), 1), maxLeadingBytes)
	s = headScanner{}
	is.Equal(scanInSteps(&s, "\r\nGET / HTTP/1.1\r\n\r\nx", 3), len("\r\nGET / HTTP/1.1\r\n\r\n"))
	is.Equal(s.lines, 1)
}
