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

func TestStoryInOrderOfTime(t *testing.T) {
	is := is.New(t)
	lines, err := Request(strings.NewReader(logs), "r1")
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

func TestUnknownRequestHasNoStory(t *testing.T) {
	is := is.New(t)
	lines, err := Request(strings.NewReader(logs), "r2")
	is.NoErr(err)
	is.Equal(len(lines), 0)
}
