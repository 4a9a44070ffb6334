package entry

import (
	"bytes"
	"net/http"

	"github.com/chivefield/chivefield/entry/callerconn"
)

// partMemory is what an entry of the list of a prompt's parts takes beside its bytes, in bytes.
const partMemory = 24

// replaceHeader replaces the request's header by what is needed of it. It returns nil if there is memory for that.
func (c *callerRequest) replaceHeader() *refusal {
	conn := callerconn.FromContext(c.r.Context())
	if conn != nil {
		conn.BeginBody(c.r.ContentLength)
	}
	c.hasBody = c.r.ContentLength != 0 || c.r.Header.Get("Content-Length") != ""
	c.fields = c.forwardedFields()
	c.r.Header = http.Header{}
	if conn != nil && !conn.ReplaceHead(c.headMemory()) {
		return &refusal{http.StatusServiceUnavailable, "no_head_memory", startupRetryAfter}
	}
	return nil
}

// forwardedFields returns the header lines that every endpoint gets as the caller sent them.
func (c *callerRequest) forwardedFields() []byte {
	h := c.r.Header
	removeHopHeaders(h)
	c.d.codec.RemoveOwnHeaders(h)
	var b bytes.Buffer
	// A buffer fails no write.
	_ = h.Write(&b)
	return bytes.Clone(b.Bytes())
}

// headMemory returns what the request's head takes in memory until the request has ended, in bytes.
func (c *callerRequest) headMemory() int64 {
	parsed := len(c.reqHeaders.ID) + len(c.reqHeaders.Key) + len(c.reqHeaders.Parts)*partMemory
	return int64(len(c.r.RequestURI) + len(c.fields) + parsed)
}
