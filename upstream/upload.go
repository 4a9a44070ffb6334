package upstream

import (
	"fmt"
	"time"
)

// UploadOutcomeTimeout is how long the end of a response waits for the writing of its request: some round trips
// between distant regions, in which a reset comes back for what was sent after the end.
const UploadOutcomeTimeout = 500 * time.Millisecond

// UploadBrokenError reports a response that ended with its connection, and whose request could not be written to
// its end because the endpoint reset the connection. Err is the error of the write.
type UploadBrokenError struct{ Err error }

// Error implements error.
func (e *UploadBrokenError) Error() string {
	return fmt.Sprintf("connection reset while the request was written: %v", e.Err)
}

// Unwrap returns the error of the write.
func (e *UploadBrokenError) Unwrap() error { return e.Err }

// upload is the writing of a request while its response is awaited. A nil upload was written before.
type upload struct {
	done chan struct{}
	// err is how the writing ended; it is set before done is closed.
	err error
}

// startUpload calls write in a goroutine of its own.
func startUpload(write func() error) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.err = write()
	}()
	return u
}

// written reports whether the whole request has been written.
func (u *upload) written() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// outcome returns how the writing ended, nil if it is still in progress after the timeout.
func (u *upload) outcome(timeout time.Duration) error {
	if u == nil {
		return nil
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-u.done:
		return u.err
	case <-t.C:
		return nil
	}
}

// checkEnd returns the error of a response's end: the kernel reports a reset once, and after a write that met it
// reads see the end of the connection, which is that of an unframed response. An endpoint that ends its half and
// reads on is no reset, so one that still takes the request after UploadOutcomeTimeout has ended its response.
func (r *Response) checkEnd(end error) error {
	if !r.Unframed() {
		return end
	}
	if err := r.upload.outcome(UploadOutcomeTimeout); err != nil {
		return &UploadBrokenError{Err: err}
	}
	return end
}
