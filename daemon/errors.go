package daemon

import "fmt"

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address string
	Err     error
}

// Error describes the failure.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// TLSError reports certificates that cannot be used.
type TLSError struct{ Err error }

// Error describes the failure.
func (e *TLSError) Error() string { return "tls: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TLSError) Unwrap() error { return e.Err }

// FencedError reports that the other VMs took this process for dead. It has to
// be started again.
type FencedError struct{ VM uint32 }

// Error describes the failure.
func (e *FencedError) Error() string { return fmt.Sprintf("vm %d was fenced by its peers", e.VM) }

// NoCertificateError reports a file without certificates.
type NoCertificateError struct{ Path string }

// Error describes the failure.
func (e *NoCertificateError) Error() string { return e.Path + " holds no certificate" }
