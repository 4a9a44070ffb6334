package upstream

import (
	"fmt"
	"net/http"
)

// minStatus and maxStatus bound the statuses of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// StatusError reports a response whose status is none of HTTP, or that switches to another protocol unasked. What
// follows it cannot be told from a response that the endpoint did not send.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("response with status %03d", e.Status)
}

// CheckStatus returns a *StatusError if a status answers no request.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &StatusError{Status: status}
	}
	return nil
}
