package packet

import "errors"

// Errors for invalid input. They carry no details, so that the packet path neither
// allocates nor formats text for packets that anyone can send.
var (
	// ErrShort means that the input is too short.
	ErrShort = errors.New("packet: too short")
	// ErrLarge means that a datagram or wrapped packet would not fit into the MTU.
	ErrLarge = errors.New("packet: too large to wrap")
	// ErrMalformed means that a field has a value that no encoder writes.
	ErrMalformed = errors.New("packet: malformed")
	// ErrUnknownKey means that no key has the given number.
	ErrUnknownKey = errors.New("packet: unknown key")
	// ErrForged means that the MAC of a packet or the check of a connection ID is wrong.
	ErrForged = errors.New("packet: forged")
)
