package entry

import (
	"bytes"
	"compress/flate"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against a part of compressed contents that passes for the whole, since they exceed the limit.
func TestInflateDoesNotCutContents(t *testing.T) {
	is := is.New(t)
	contents := bytes.Repeat([]byte("x"), 100)
	packed, err := deflate(contents, flate.BestSpeed)
	is.NoErr(err)
	got, err := inflate(packed, int64(len(contents)))
	is.NoErr(err)
	is.Equal(got, contents)
	got, err = inflate(packed, int64(len(contents))-1)
	var size *InflatedSizeError
	is.True(errors.As(err, &size))
	is.Equal(len(got), 0)
}
