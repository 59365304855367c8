package control

import (
	"errors"
	"fmt"
	"net/netip"
)

// NotSentError reports that the complete request was not sent, so the method has
// certainly not run.
type NotSentError struct {
	Addr   netip.AddrPort
	Method string
	Err    error
}

// Error describes the failure.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("call %s at %s: not sent: %v", e.Method, e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// AnswerLostError reports that the request was sent but no response was received.
// The method may have run.
type AnswerLostError struct {
	Addr   netip.AddrPort
	Method string
	Err    error
}

// Error describes the failure.
func (e *AnswerLostError) Error() string {
	return fmt.Sprintf("call %s at %s: sent, but the answer was lost: %v", e.Method, e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *AnswerLostError) Unwrap() error { return e.Err }

// RemoteError reports an error that the method returned, or an error of the server
// such as an unknown method or a reply that exceeds the size limit.
type RemoteError struct {
	Addr    netip.AddrPort
	Method  string
	Message string
}

// Error describes the failure.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("call %s at %s: %s", e.Method, e.Addr, e.Message)
}

// IsNotSent reports whether err is or wraps a NotSentError, in which case the
// method has certainly not run.
func IsNotSent(err error) bool {
	var target *NotSentError
	return errors.As(err, &target)
}

// IsAnswerLost reports whether err is or wraps an AnswerLostError, in which case
// the method may have run.
func IsAnswerLost(err error) bool {
	var target *AnswerLostError
	return errors.As(err, &target)
}
