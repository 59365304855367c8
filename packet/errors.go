package packet

import "errors"

// The reasons why octets are not accepted. They are plain values, so that the
// packet path neither allocates nor formats for input that anyone can send.
var (
	// ErrShort says that the octets end too early.
	ErrShort = errors.New("packet: too short")
	// ErrLarge says that a datagram has no room for the wrapped header.
	ErrLarge = errors.New("packet: too large to wrap")
	// ErrMalformed says that a field has a value that no encoder writes.
	ErrMalformed = errors.New("packet: malformed")
	// ErrUnknownKey says that the key named is not listed.
	ErrUnknownKey = errors.New("packet: unknown key")
	// ErrForged says that the MAC or the check of a connection ID is wrong.
	ErrForged = errors.New("packet: forged")
)
