package packet

import "encoding/binary"

// Type is the type of a caller's QUIC packet, as far as routing distinguishes it.
type Type uint8

const (
	// Short is a short header packet, which belongs to an established flow.
	Short Type = iota + 1
	// Initial is an Initial packet, which may open a flow.
	Initial
	// Handshake is a Handshake packet, which belongs to a flow that an agent has accepted.
	Handshake
	// EarlyData is a 0-RTT packet.
	EarlyData
	// Retry is a Retry packet, which callers never send.
	Retry
	// OtherVersion is a long header packet of a QUIC version other than 1 and 2.
	OtherVersion
)

// Version numbers of QUIC.
const (
	_version1 = 0x00000001
	_version2 = 0x6b3343cf
)

// Layout of QUIC's version-independent headers (RFC 8999) in octets.
const (
	_longBit     = 0x80
	_quicVersion = 1
	_dcidLenAt   = 5
	_dcidAt      = 6
	_maxCIDLen   = 20
)

// MinInitial is the shortest datagram that may open a flow (RFC 9000, 14.1).
const MinInitial = 1200

// QUIC holds the header fields of a datagram's first packet that can be read without keys.
type QUIC struct {
	Type Type
	// DCID is the destination connection ID, a slice of the datagram. As a short header
	// does not give its length, it is assumed to have CIDLen octets there.
	DCID []byte
}

// ParseQUIC decodes the header of the first packet in a caller's datagram. It returns
// ErrShort or ErrMalformed if the datagram has no valid QUIC header.
func ParseQUIC(datagram []byte) (QUIC, error) {
	if len(datagram) == 0 {
		return QUIC{}, ErrShort
	}
	if datagram[0]&_longBit == 0 {
		return parseShort(datagram)
	}
	return parseLong(datagram)
}

func parseShort(datagram []byte) (QUIC, error) {
	if len(datagram) < 1+CIDLen {
		return QUIC{}, ErrShort
	}
	return QUIC{Type: Short, DCID: datagram[1 : 1+CIDLen]}, nil
}

func parseLong(datagram []byte) (QUIC, error) {
	if len(datagram) <= _dcidAt {
		return QUIC{}, ErrShort
	}
	length := int(datagram[_dcidLenAt])
	kind := longType(datagram[0], binary.BigEndian.Uint32(datagram[_quicVersion:]))
	if kind != OtherVersion && length > _maxCIDLen {
		return QUIC{}, ErrMalformed
	}
	if len(datagram) < _dcidAt+length {
		return QUIC{}, ErrShort
	}
	return QUIC{Type: kind, DCID: datagram[_dcidAt : _dcidAt+length]}, nil
}

func longType(first byte, version uint32) Type {
	const typeShift, typeMask = 4, 3
	bits := first >> typeShift & typeMask
	switch version {
	case _version1:
		return [...]Type{Initial, EarlyData, Handshake, Retry}[bits]
	case _version2:
		return [...]Type{Retry, Initial, EarlyData, Handshake}[bits]
	default:
		return OtherVersion
	}
}
