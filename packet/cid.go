package packet

import (
	"encoding/binary"
	"net/netip"

	"dandelionhitch.example/service"
)

// CIDLen is the length of a connection ID in octets: the rotation octet and one AES block.
const CIDLen = 1 + _blockLen

const _blockLen = 16

// The rotation octet has the key number in its upper 3 bits and the length of
// what follows in its lower 5, as in the QUIC-LB draft.
const (
	_rotationShift = 5
	_lengthMask    = 1<<_rotationShift - 1
)

// The last word of the block has the nonce in its upper 24 bits and the zero
// check in its lower 8. Together with the length in the rotation octet and the
// service, which must be that of the address, 29 bits tell a connection ID of
// ours from a random one.
const (
	_nonceShift = 8
	_checkMask  = 1<<_nonceShift - 1
)

// CID is what a connection ID says: the flow's service and the agent that holds it.
type CID struct {
	Service     service.ID
	Agent       netip.AddrPort
	Incarnation service.Incarnation
	// Nonce makes the connection IDs of one agent differ; 0 to MaxNonce.
	Nonce uint32
}

// MaxNonce is the highest nonce. An agent counts nonces up and begins again, so
// a connection ID repeats only if a flow outlives 16 million later ones.
const MaxNonce = 1<<24 - 1

// Sealer encrypts and decrypts connection IDs without allocating. It holds the
// block in work, so each goroutine needs its own.
type Sealer struct {
	block [_blockLen]byte
}

// Seal encrypts cid under key number n. The nonce is the caller's to choose:
// connection IDs of one agent under one key must not repeat while in use.
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

// Open decrypts a connection ID. ErrForged, ErrShort, ErrUnknownKey and
// ErrMalformed all mean that it is not one of ours.
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
	tail := binary.BigEndian.Uint32(s.block[12:])
	if tail&_checkMask != 0 {
		return CID{}, ErrForged
	}
	cid := CID{
		Service:     service.ID(binary.BigEndian.Uint16(s.block[0:])),
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(s.block[2:6])), binary.BigEndian.Uint16(s.block[6:])),
		Incarnation: service.Incarnation(binary.BigEndian.Uint32(s.block[8:])),
		Nonce:       tail >> _nonceShift,
	}
	if cid.Service == 0 || cid.Agent.Port() == 0 || cid.Incarnation == 0 {
		return CID{}, ErrForged
	}
	return cid, nil
}
