package control

import (
	"errors"
	"fmt"
	"net/netip"
)

// NotSentError says that the request did not reach the server: the method has
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

// AnswerLostError says that the request was sent and no answer came: the
// method may have run or not.
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

// RemoteError is the error that the method returned.
type RemoteError struct {
	Addr    netip.AddrPort
	Method  string
	Message string
}

// Error describes the failure.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("call %s at %s: %s", e.Method, e.Addr, e.Message)
}

// IsNotSent reports whether the call certainly did not reach the server.
func IsNotSent(err error) bool {
	var target *NotSentError
	return errors.As(err, &target)
}

// IsAnswerLost reports whether the method may have run although no answer came.
func IsAnswerLost(err error) bool {
	var target *AnswerLostError
	return errors.As(err, &target)
}
