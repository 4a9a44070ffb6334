package upstream

import (
	"errors"
	"net/http"
	"slices"
)

// framingLimits are the texts of the errors by which net/http bounds what it reads of a body in chunks beside the body
// itself, as far as they have no exported value.
var framingLimits = []string{
	"chunked encoding contains too much non-data",
	"http: suspiciously long trailer after chunked body",
}

// FramingLimitError reports a body in chunks whose chunk sizes, extensions or trailers are too long, or have no end.
type FramingLimitError struct{ Err error }

// Error implements error.
func (e *FramingLimitError) Error() string {
	return "response framing exceeds its bounds: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *FramingLimitError) Unwrap() error { return e.Err }

// readError returns the error of a read of a body, as a FramingLimitError if it is one.
func readError(err error) error {
	if errors.Is(err, http.ErrLineTooLong) || err != nil && slices.Contains(framingLimits, err.Error()) {
		return &FramingLimitError{Err: err}
	}
	return err
}
