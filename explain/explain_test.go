package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logs = `  1.2 vm-b time=2026-12-02T10:00:01.5Z level=info event=refused held=12 reason=attempts_spent request=r1 vm=vm-b
noise without a time
time=2026-12-02T10:00:01.2Z level=info event=attempt_failed endpoint=e1 error="unexpected \"EOF\" here" request=r1 vm=vm-a
time=2026-12-02T10:00:01Z level=info event=placed endpoint=e1 request=r1 vm=vm-a
time=2026-12-02T10:00:01Z level=info event=placed endpoint=e1 request=r10 vm=vm-a
`

func TestLinesInTimeOrder(t *testing.T) {
	is := is.New(t)
	lines, err := ReadRequest(strings.NewReader(logs), "r1")
	is.NoErr(err)
	is.Equal(len(lines), 3)
	is.Equal(lines[0].Event, "placed")
	is.Equal(lines[1].Get("error"), `unexpected "EOF" here`)
	is.Equal(lines[2].VM, "vm-b")
	var out strings.Builder
	is.NoErr(Write(&out, lines))
	is.True(strings.Contains(out.String(), "+0.500s at vm-b: refused"))
	is.True(strings.Contains(out.String(), "reason = attempts_spent"))
}

func TestUnknownRequestHasNoLines(t *testing.T) {
	is := is.New(t)
	lines, err := ReadRequest(strings.NewReader(logs), "r2")
	is.NoErr(err)
	is.Equal(len(lines), 0)
}

// All attempts of one request share a digest; they differ in their ids.
func TestReadDigestFindsAllAttempts(t *testing.T) {
	is := is.New(t)
	const digest = "0123456789abcdef0123456789abcdef"
	text := `time=2026-12-02T10:00:02Z level=info event=refused digest=` + digest + ` reason=ends_endpoints request=r2 vm=vm-b
time=2026-12-02T10:00:01Z level=info event=attempt_failed digest=` + digest + ` endpoint=e1 outcome=broken request=r1 vm=vm-a
time=2026-12-02T10:00:01.5Z level=info event=request_convicted digest=` + digest + ` ends=3 learned=told vm=vm-b
time=2026-12-02T10:00:01Z level=info event=attempt_failed digest=f123456789abcdef0123456789abcdef endpoint=e1 request=r3 vm=vm-a
`
	lines, err := ReadDigest(strings.NewReader(text), digest)
	is.NoErr(err)
	is.Equal(len(lines), 3)
	var out strings.Builder
	is.NoErr(Write(&out, lines))
	is.True(strings.Contains(out.String(), "request_convicted, three endpoints in a row terminated while running it"))
	is.True(strings.Contains(out.String(), "request = r2"))
}
