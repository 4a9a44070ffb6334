package httphead

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Do sends a request by a client and returns the response. It returns a *FieldNameError, wrapped in a *url.Error, if the
// head of a response holds a name that is no token, be it the final one, an interim one or a redirect: nothing that such
// a response says may be believed. Other errors are those of the client.
func Do(c *http.Client, r *http.Request) (*http.Response, error) {
	checked := *c
	checked.Transport = checkedTransport{c.Transport}
	return checked.Do(r)
}

// checkedTransport refuses responses whose heads are malformed.
type checkedTransport struct {
	// base sends the requests; nil for http.DefaultTransport.
	base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := t.base
	if base == nil {
		base = http.DefaultTransport
	}
	var conn net.Conn
	trace := &httptrace.ClientTrace{
		GotConn:        func(i httptrace.GotConnInfo) { conn = i.Conn },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return CheckFieldNames(http.Header(h)) },
	}
	resp, err := base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckFieldNames(resp.Header); err != nil {
		abandon(resp, conn)
		return nil, err
	}
	return resp, nil
}

// abandon ends a response that is refused, together with its connection: where its body ends is not known, and a client
// that took it for empty has kept the connection for the next request already.
func abandon(resp *http.Response, conn net.Conn) {
	_ = resp.Body.Close()
	if conn != nil {
		_ = conn.Close()
	}
}
