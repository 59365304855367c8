// Package flow defines the flows of callers to service addresses and the headers of their
// packets, for relays and sidecars, which forward packets without reading their data.
//
// A flow is one connection between a caller and an upstream. Only the caller and the
// upstream read the flow's data; relays and sidecars only use Packet, the decoded header. The
// package does not depend on sockets or on the wire format.
package flow

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow by its two endpoints, which are IPv4.
type Key struct {
	// Caller is the caller's endpoint.
	Caller netip.AddrPort
	// Address is the service address that the caller connects to.
	Address netip.AddrPort
}

// String returns the flow's ID in logs, which is the same in every process.
func (k Key) String() string {
	return k.Caller.String() + ">" + k.Address.String()
}

// ParseKey parses a key in the form that String returns.
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

// Hash returns a hash of the key that is the same in every process.
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
	// SYN opens a flow; together with ACK it is the upstream's consent to the flow.
	SYN Flags = 1 << iota
	// ACK means that Packet.Ack is valid.
	ACK
	// FIN means that the sender has no more data to send.
	FIN
	// RST ends the flow at once.
	RST
	// Bounced marks a caller's packet that the upstream has rejected and sent back.
	Bounced
)

// Has reports whether all bits of want are set.
func (f Flags) Has(want Flags) bool { return f&want == want }

// Packet is the decoded header of a packet.
type Packet struct {
	// Source and Destination are the sender's and the receiver's endpoints.
	Source, Destination netip.AddrPort
	Flags               Flags
	// Seq is the sequence number of the first byte of data. Ack is the sequence number of
	// the next byte that the sender expects; on a SYN without ACK, it is the number of
	// earlier copies of the packet that the caller has sent.
	Seq, Ack uint32
	// Age is the minimum time since the caller sent the first copy of an opening packet;
	// zero on other packets.
	Age time.Duration
	// Size is the length of the data in bytes.
	Size int
}

// Opening reports whether the packet opens a new flow.
func (p Packet) Opening() bool { return p.Flags.Has(SYN) && p.Flags&(ACK|RST) == 0 }

// FromCaller returns the flow of a packet that a caller sent.
func (p Packet) FromCaller() Key { return Key{Caller: p.Source, Address: p.Destination} }

// ToCaller returns the flow of a packet that is addressed to a caller.
func (p Packet) ToCaller() Key { return Key{Caller: p.Destination, Address: p.Source} }
