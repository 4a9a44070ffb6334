package upstream

import (
	"io"
	"time"
)

// Read reads the body and records whether its end was reached. The error is an *UploadBrokenError if the end of the
// connection, which ends the body, may be a reset.
func (r *Response) Read(p []byte) (int, error) {
	if !r.lastRead.IsZero() {
		r.longestUnread = max(r.longestUnread, time.Since(r.lastRead))
	}
	n, err := r.Body.Read(p)
	r.lastRead = time.Now()
	if err == io.EOF {
		r.bodyRead = true
		err = r.checkEnd(err)
	}
	return n, readError(err)
}

// LongestUnread returns the longest time for which nothing of the body was read after reading it had
// begun. An endpoint may cut off a response that stays unread for long.
func (r *Response) LongestUnread() time.Duration { return r.longestUnread }
