package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"

	"dandelionhitch.example/service"
)

// Kind is the kind of a wrapped packet.
type Kind uint8

const (
	// Flow is sent by a balancer to the agent that the datagram's connection ID names.
	Flow Kind = iota + 1
	// Offer is sent to the candidate at index Hop, with a datagram that opens a flow.
	Offer
	// Reply is sent by an agent to a balancer, with a datagram for the caller.
	Reply
	// Notice is sent by an agent to another agent of its service, with a Load in place
	// of a datagram. Caller, Address and Balancer are all the sender's address.
	Notice
)

// MaxCandidates is the maximum number of candidates in a wrapped packet. It is one more
// than a balancer ranks: an agent that passes an offer on to a candidate that it prefers
// adds itself, to take the flow if that candidate does not.
const MaxCandidates = 4

// The layout of a wrapped packet, in octets: the header, the datagram, and the MAC over
// both. With the MAC at the end, one pass of the hash covers header and datagram, and a
// datagram can be wrapped in the buffer in which it was received.
const (
	_versionAt    = 0
	_keyAt        = 1
	_kindAt       = 2
	_hopAt        = 3
	_countAt      = 4
	_reservedAt   = 5
	_serviceAt    = 6
	_callerAt     = 8
	_addressAt    = 14
	_balancerAt   = 20
	_candidatesAt = 26
	_addrLen      = 6

	// HeaderLen is the length of the header in front of the datagram.
	HeaderLen = _candidatesAt + MaxCandidates*_addrLen
	// MACLen is the length of the MAC behind the datagram.
	MACLen = 16
	// Overhead is the number of octets that wrapping adds to a datagram.
	Overhead = HeaderLen + MACLen
)

// Sizes in octets that follow from the network's MTU.
const (
	_mtu        = 1500
	_ipv4AndUDP = 20 + 8
	// MaxWrapped is the maximum length of a wrapped packet.
	MaxWrapped = _mtu - _ipv4AndUDP
	// MaxDatagram is the maximum length of a datagram that can be wrapped.
	MaxDatagram = MaxWrapped - Overhead
)

const _version = 1

// Header is the header of a wrapped packet.
type Header struct {
	Kind Kind
	// Hop is the index of the candidate to which an Offer is sent. Each agent that passes
	// an offer on increases it, so that an offer is passed on at most MaxCandidates-1 times.
	Hop uint8
	// Service is the service of Address.
	Service service.ID
	// Caller is the caller's address.
	Caller netip.AddrPort
	// Address is the service address that the caller uses.
	Address netip.AddrPort
	// Balancer is the balancer that wrapped the datagram, or to which a Reply is sent.
	Balancer netip.AddrPort
	// Candidates holds, in its first Count elements, the agents to which a new flow is
	// offered, in order. A Flow has candidates if its datagram may open a new flow,
	// because its connection ID may be a random one that is valid only by chance.
	Candidates [MaxCandidates]netip.AddrPort
	Count      uint8
}

// Wrap adds the header and the MAC to a datagram in place. buf[HeaderLen:HeaderLen+n] must
// hold the datagram, followed by MACLen octets for the MAC. Wrap returns the wrapped
// packet, which is a slice of buf.
func Wrap(keys *Keys, h *Header, buf []byte, n int) ([]byte, error) {
	if n < 0 || n > MaxDatagram {
		return nil, ErrLarge
	}
	if len(buf) < n+Overhead {
		return nil, ErrShort
	}
	if !h.valid() {
		return nil, ErrMalformed
	}
	found := keys.find(keys.current)
	h.encode(buf, keys.current)
	end := HeaderLen + n
	low, high := siphash.Hash128(found.k0, found.k1, buf[:end])
	binary.LittleEndian.PutUint64(buf[end:], low)
	binary.LittleEndian.PutUint64(buf[end+8:], high)
	return buf[:end+MACLen], nil
}

// Unwrap verifies a wrapped packet and returns its header and its datagram, which is a
// slice of packet.
//
// Unwrap deliberately accepts replayed packets. The MAC covers the addresses of caller,
// service and balancer, so a replay only sends the same packet to the same receiver again,
// without amplification, and QUIC drops the duplicate. Limiting the age of packets would
// make every flow depend on synchronized clocks of the VMs.
func Unwrap(keys *Keys, packet []byte) (Header, []byte, error) {
	var h Header
	if len(packet) < Overhead {
		return h, nil, ErrShort
	}
	if len(packet) > MaxWrapped {
		return h, nil, ErrLarge
	}
	if packet[_versionAt] != _version || packet[_reservedAt] != 0 {
		return h, nil, ErrMalformed
	}
	found := keys.find(KeyNumber(packet[_keyAt]))
	if found == nil {
		return h, nil, ErrUnknownKey
	}
	end := len(packet) - MACLen
	low, high := siphash.Hash128(found.k0, found.k1, packet[:end])
	diff := low ^ binary.LittleEndian.Uint64(packet[end:])
	diff |= high ^ binary.LittleEndian.Uint64(packet[end+8:])
	if diff != 0 {
		return h, nil, ErrForged
	}
	h.decode(packet)
	if !h.valid() {
		return Header{}, nil, ErrMalformed
	}
	return h, packet[HeaderLen:end], nil
}

// valid reports whether all fields have values that a packet of the header's kind may have.
func (h *Header) valid() bool {
	if h.Kind < Flow || h.Kind > Notice || h.Service == 0 || h.Count > MaxCandidates {
		return false
	}
	if h.Kind == Offer && h.Hop >= h.Count {
		return false
	}
	if h.Kind != Offer && h.Hop != 0 {
		return false
	}
	for i := range h.Count {
		if !isEndpoint(h.Candidates[i]) {
			return false
		}
	}
	return isEndpoint(h.Caller) && isEndpoint(h.Address) && isEndpoint(h.Balancer)
}

func (h *Header) encode(buf []byte, n KeyNumber) {
	buf[_versionAt] = _version
	buf[_keyAt] = byte(n)
	buf[_kindAt] = byte(h.Kind)
	buf[_hopAt] = h.Hop
	buf[_countAt] = h.Count
	buf[_reservedAt] = 0
	binary.BigEndian.PutUint16(buf[_serviceAt:], uint16(h.Service))
	putAddr(buf[_callerAt:], h.Caller)
	putAddr(buf[_addressAt:], h.Address)
	putAddr(buf[_balancerAt:], h.Balancer)
	clear(buf[_candidatesAt:HeaderLen])
	for i := range h.Count {
		putAddr(buf[_candidatesAt+int(i)*_addrLen:], h.Candidates[i])
	}
}

func (h *Header) decode(buf []byte) {
	h.Kind = Kind(buf[_kindAt])
	h.Hop = buf[_hopAt]
	h.Count = buf[_countAt]
	h.Service = service.ID(binary.BigEndian.Uint16(buf[_serviceAt:]))
	h.Caller = getAddr(buf[_callerAt:])
	h.Address = getAddr(buf[_addressAt:])
	h.Balancer = getAddr(buf[_balancerAt:])
	for i := range min(h.Count, MaxCandidates) {
		h.Candidates[i] = getAddr(buf[_candidatesAt+int(i)*_addrLen:])
	}
}

func isEndpoint(addr netip.AddrPort) bool {
	return addr.Addr().Unmap().Is4() && addr.Port() != 0
}

func putAddr(buf []byte, addr netip.AddrPort) {
	ip := addr.Addr().Unmap().As4()
	copy(buf[:4], ip[:])
	binary.BigEndian.PutUint16(buf[4:_addrLen], addr.Port())
}

func getAddr(buf []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(buf[:4])), binary.BigEndian.Uint16(buf[4:_addrLen]))
}
