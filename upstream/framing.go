package upstream

import "net/http"

// Framing is how a response states where its body ends.
type Framing int

// Framings of responses.
const (
	// ByLength: the response states the length of its body, or has none.
	ByLength Framing = iota
	// ByChunks: the body is sent in chunks.
	ByChunks
	// ByConnection: the body ends with its connection, so that its completeness cannot be verified.
	ByConnection
)

// framingNames are the framings as written to logs, in order.
var framingNames = [...]string{"length", "chunks", "connection"}

// String returns the framing's name in logs.
func (f Framing) String() string { return framingNames[f] }

// Framing returns how the response states where its body ends.
func (r *Response) Framing() Framing { return framingOf(r.Response) }

func framingOf(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return ByChunks
	case r.ContentLength < 0 && r.Request.Method != http.MethodHead:
		return ByConnection
	}
	return ByLength
}

// Unframed reports whether the response ends with its connection.
func (r *Response) Unframed() bool { return r.Framing() == ByConnection }
