package daemon

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/logging"
	"github.com/chivefield/chivefield/schema"
	"github.com/chivefield/chivefield/settings"
)

// Guards against a submitter that waits for the verdict on a document that was never sent to the log.
func TestDocumentThatIsNotAppendedIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	set, err := settings.Parse([]byte(`
[vm]
id = 1
failure_domain = "a"
[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
operators = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
[keys]
peer = "peer-key-of-this-test"
operator = "operator-key-of-this-test"
`))
	is.NoErr(err)
	d := New(Options{Settings: set, Log: logging.New(io.Discard)})
	for range appendBuffer {
		d.queueAppend(&appendJob{record: &schema.LogRecord{}})
	}
	start := time.Now()
	sub := SubmitResult{AppendID: newAppendID()}
	d.appendAndWait(t.Context(), &schema.Document{}, &sub)
	is.Equal(sub.Verdict, notAppendedVerdict)
	is.True(time.Since(start) < time.Second)
}
