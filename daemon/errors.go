package daemon

import "fmt"

// ListenError reports an address on which the daemon cannot listen.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// TLSError reports certificates that cannot be used.
type TLSError struct{ Err error }

// Error implements error.
func (e *TLSError) Error() string { return "tls: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TLSError) Unwrap() error { return e.Err }

// FencedError reports that the other VMs have declared this process dead. It
// must be restarted.
type FencedError struct{ VM uint32 }

// Error implements error.
func (e *FencedError) Error() string { return fmt.Sprintf("vm %d was fenced by its peers", e.VM) }

// NoCertificateError reports a file that contains no certificate.
type NoCertificateError struct{ Path string }

// Error implements error.
func (e *NoCertificateError) Error() string { return e.Path + " contains no certificate" }
