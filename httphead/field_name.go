// Package httphead refuses heads of HTTP responses that net/http takes although they are malformed.
package httphead

import (
	"fmt"
	"net/http"
	"strings"
)

// FieldNameError reports a response with a field whose name is not a token (RFC 9110, section 5.1). What net/http makes
// of such a field is not what its sender meant: a misspelled length or transfer coding does not frame the body.
type FieldNameError struct{ Name string }

// Error implements error.
func (e *FieldNameError) Error() string {
	return fmt.Sprintf("response with the field name %q", e.Name)
}

// CheckFieldNames returns a *FieldNameError if a field's name is not a token. net/http keeps names with blanks, and
// refuses those with other bytes that no token has.
func CheckFieldNames(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return &FieldNameError{Name: name}
		}
	}
	return nil
}

// tokenSigns are the bytes of a token beside letters and digits (RFC 9110, section 5.6.2).
const tokenSigns = "!#$%&'*+-.^_`|~"

func isToken(s string) bool {
	for i := range len(s) {
		if !isLetterOrDigit(s[i]) && strings.IndexByte(tokenSigns, s[i]) < 0 {
			return false
		}
	}
	return s != ""
}

func isLetterOrDigit(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
