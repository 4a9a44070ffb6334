package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/entry/callerconn"
	"github.com/chivefield/chivefield/upstream"
)

// unknownLength is the length of a response that is sent as it arrives.
const unknownLength = -1

// unreadTolerance is how long a response may stay unread before its end is doubted: endpoints cut off
// those that stay unread for two seconds, and half of that is left for what is on its way.
const unreadTolerance = time.Second

// leftUnread reports whether a response stayed unread, because its caller is slow, for so long that its
// endpoint may have cut it off. The endpoint is not to blame for such an end.
func leftUnread(resp *upstream.Response) bool { return resp.LongestUnread() >= unreadTolerance }

// mayBeCutOff reports whether the end of a response, with its connection, may be where its endpoint cut it
// off because it stayed unread.
func mayBeCutOff(resp *upstream.Response) bool { return resp.Unframed() && leftUnread(resp) }

// excuseUnread returns the result of an attempt whose response broke off after it was left unread as one
// that says nothing about its endpoint.
func excuseUnread(resp *upstream.Response, a attemptResult) attemptResult {
	if a.outcome == dispatch.Broken && leftUnread(resp) {
		a.outcome = dispatch.CallerDisconnected
	}
	return a
}

// startResponse sends the headers of an endpoint's response whose body has the given length. A
// response whose end proves nothing here must prove nothing to the caller: it is sent without a
// length and without chunks, too, and ends with the connection.
//
// Until completeResponse is called, such a response ends with a reset, which no caller takes for
// its end, whatever closes the connection: an error, the server, or the end of this process.
func (c *callerRequest) startResponse(resp *upstream.Response, length int64) {
	c.answering.Store(true)
	h := c.w.Header()
	copyHeaders(h, resp.Header)
	switch {
	case resp.Unframed():
		// net/http sends a response with this encoding as it is and closes the connection.
		h.Set("Transfer-Encoding", "identity")
		c.endsWithConn = true
	case length != unknownLength:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	default:
		c.endsWithConn = !c.r.ProtoAtLeast(1, 1)
	}
	if c.endsWithConn {
		c.setLinger(callerconn.ResetOnClose)
	}
	c.w.WriteHeader(resp.StatusCode)
}

// completeResponse marks the response as whole after its last byte was written. What the server writes after it has
// a deadline of its own: the end may come long after the last piece.
func (c *callerRequest) completeResponse() error {
	if err := http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(callerStallTimeout)); err != nil {
		return err
	}
	if !c.endsWithConn {
		return nil
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return err
	}
	c.setLinger(callerconn.SendOnClose)
	return nil
}

func (c *callerRequest) setLinger(seconds int) {
	conn := callerconn.FromContext(c.r.Context())
	if conn == nil {
		return
	}
	if err := conn.SetLinger(seconds); err != nil {
		c.d.log.Warn().Str("request", c.reqHeaders.ID).Int("seconds", seconds).Err(err).Msg("linger_not_set")
	}
}
