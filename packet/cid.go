package packet

import (
	"encoding/binary"
	"net/netip"

	"dandelionhitch.example/service"
)

// CIDLen is the length of a connection ID in octets: the rotation octet and one AES block.
const CIDLen = 1 + _blockLen

const _blockLen = 16

// The first octet of a connection ID, the rotation octet, has the key number in its upper
// 3 bits and the number of octets after it in its lower 5, as in the QUIC-LB draft.
const (
	_rotationShift = 5
	_lengthMask    = 1<<_rotationShift - 1
)

// The last 32-bit word of the block has the nonce in its upper 24 bits and zeros in its
// lower 8, which are checked. Together with the length in the rotation octet (5 bits) and
// the service, which must be that of the address (16 bits), 29 bits distinguish a
// connection ID issued by an agent from a random one.
const (
	_nonceShift = 8
	_checkMask  = 1<<_nonceShift - 1
)

// CID is the content of a connection ID: the flow's service and the agent that holds it.
type CID struct {
	Service     service.ID
	Agent       netip.AddrPort
	Incarnation service.Incarnation
	// Nonce distinguishes the connection IDs of one agent; 0 to MaxNonce.
	Nonce uint32
}

// MaxNonce is the highest nonce. An agent numbers its connection IDs in sequence and wraps
// around, so that two flows only get the same ID if the agent issues 16 million others
// while the first flow is open.
const MaxNonce = 1<<24 - 1

// Sealer encrypts and decrypts connection IDs without allocating. It reuses a buffer, so
// it is not safe for concurrent use.
type Sealer struct {
	block [_blockLen]byte
}

// Seal encrypts cid with key number n. The nonce must differ from those of all connection
// IDs in use that the agent sealed with the same key. Seal returns ErrUnknownKey if the key
// is not listed, and ErrMalformed if the agent's address is not IPv4.
func (s *Sealer) Seal(keys *Keys, n KeyNumber, cid CID) ([CIDLen]byte, error) {
	var out [CIDLen]byte
	found := keys.find(n)
	if found == nil {
		return out, ErrUnknownKey
	}
	addr := cid.Agent.Addr().Unmap()
	if !addr.Is4() {
		return out, ErrMalformed
	}
	ip := addr.As4()
	binary.BigEndian.PutUint16(s.block[0:], uint16(cid.Service))
	copy(s.block[2:], ip[:])
	binary.BigEndian.PutUint16(s.block[6:], cid.Agent.Port())
	binary.BigEndian.PutUint32(s.block[8:], uint32(cid.Incarnation))
	binary.BigEndian.PutUint32(s.block[12:], cid.Nonce&MaxNonce<<_nonceShift)
	found.cid.Encrypt(s.block[:], s.block[:])
	out[0] = byte(n)<<_rotationShift | _blockLen
	copy(out[1:], s.block[:])
	return out, nil
}

// Open decrypts a connection ID. It returns ErrForged, ErrShort, ErrUnknownKey or
// ErrMalformed if the ID was not sealed with one of the keys.
func (s *Sealer) Open(keys *Keys, octets []byte) (CID, error) {
	if len(octets) != CIDLen {
		return CID{}, ErrShort
	}
	if octets[0]&_lengthMask != _blockLen {
		return CID{}, ErrMalformed
	}
	found := keys.find(KeyNumber(octets[0] >> _rotationShift))
	if found == nil {
		return CID{}, ErrUnknownKey
	}
	copy(s.block[:], octets[1:])
	found.cid.Decrypt(s.block[:], s.block[:])
	lastWord := binary.BigEndian.Uint32(s.block[12:])
	if lastWord&_checkMask != 0 {
		return CID{}, ErrForged
	}
	cid := CID{
		Service:     service.ID(binary.BigEndian.Uint16(s.block[0:])),
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(s.block[2:6])), binary.BigEndian.Uint16(s.block[6:])),
		Incarnation: service.Incarnation(binary.BigEndian.Uint32(s.block[8:])),
		Nonce:       lastWord >> _nonceShift,
	}
	if cid.Service == 0 || cid.Agent.Port() == 0 || cid.Incarnation == 0 {
		return CID{}, ErrForged
	}
	return cid, nil
}
