// Package flow names what the data path of opaque packets carries: flows of
// callers to service addresses, and the headers of their packets.
//
// A flow is one connection between a caller and an upstream. Only these two read
// its bytes; everything between them decides by Packet, the decoded header. The
// package has no sockets and knows no wire format.
package flow

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow: who called which address. Caller and Address are IPv4.
type Key struct {
	// Caller is the caller's end.
	Caller netip.AddrPort
	// Address is the service's end, as callers see it.
	Address netip.AddrPort
}

// String returns the flow's id in logs: the same at every process.
func (k Key) String() string {
	return k.Caller.String() + ">" + k.Address.String()
}

// ParseKey reads what String returned.
func ParseKey(text string) (Key, error) {
	for i := range len(text) {
		if text[i] != '>' {
			continue
		}
		caller, err := netip.ParseAddrPort(text[:i])
		if err != nil {
			return Key{}, err
		}
		address, err := netip.ParseAddrPort(text[i+1:])
		return Key{Caller: caller, Address: address}, err
	}
	return Key{}, strconv.ErrSyntax
}

// Hash returns a number that is the same at every process.
func (k Key) Hash() uint64 {
	var b [12]byte
	caller, address := k.Caller.Addr().As4(), k.Address.Addr().As4()
	copy(b[0:], caller[:])
	copy(b[4:], address[:])
	b[8], b[9] = byte(k.Caller.Port()>>8), byte(k.Caller.Port())
	b[10], b[11] = byte(k.Address.Port()>>8), byte(k.Address.Port())
	return xxhash.Sum64(b[:])
}

// Flags are the control bits of a packet.
type Flags uint8

// The control bits.
const (
	// SYN opens a flow; with ACK it is the upstream's consent.
	SYN Flags = 1 << iota
	// ACK says that Packet.Ack counts.
	ACK
	// FIN says that the sender has nothing more to send.
	FIN
	// RST ends the flow at once.
	RST
	// Bounced marks a packet of a caller that the upstream gave back.
	Bounced
)

// Has reports whether all bits of want are set.
func (f Flags) Has(want Flags) bool { return f&want == want }

// Packet is the decoded header of a packet.
type Packet struct {
	// Source and Destination are the sender's and the receiver's end.
	Source, Destination netip.AddrPort
	Flags               Flags
	// Seq numbers the first byte of data; Ack is the next byte that the sender
	// expects. On a SYN, Ack counts the copies sent before.
	Seq, Ack uint32
	// Age is how long ago the caller sent its first copy of an opening packet, at
	// least; zero on other packets.
	Age time.Duration
	// Size is the length of the data in bytes.
	Size int
}

// Opening reports whether the packet asks for a new flow.
func (p Packet) Opening() bool { return p.Flags.Has(SYN) && p.Flags&(ACK|RST) == 0 }

// FromCaller returns the flow of a packet that a caller sent.
func (p Packet) FromCaller() Key { return Key{Caller: p.Source, Address: p.Destination} }

// ToCaller returns the flow of a packet that is meant for a caller.
func (p Packet) ToCaller() Key { return Key{Caller: p.Destination, Address: p.Source} }
