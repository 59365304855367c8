package packet

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

// Lengths of a stateless reset in octets (RFC 9000, 10.3).
const (
	// ResetTokenLen is the length of the token at the end of a reset.
	ResetTokenLen = 16
	// _minReset is the length of the shortest reset that is indistinguishable from a
	// short header packet.
	_minReset = 21
	// _maxReset is the length of the longest reset that AppendReset makes.
	_maxReset = 43
)

// ResetToken derives the stateless reset token of a connection ID. The agent that issued
// the ID announced the same token to the caller.
func ResetToken(keys *Keys, cid []byte) ([ResetTokenLen]byte, error) {
	if len(cid) != CIDLen {
		return [ResetTokenLen]byte{}, ErrShort
	}
	found := keys.find(KeyNumber(cid[0] >> _rotationShift))
	if found == nil {
		return [ResetTokenLen]byte{}, ErrUnknownKey
	}
	mac := hmac.New(sha256.New, found.reset[:])
	mac.Write(cid)
	return [ResetTokenLen]byte(mac.Sum(nil)), nil
}

// AppendReset appends a stateless reset that answers the caller's datagram. The reset is
// shorter than the datagram, so that two endpoints that answer each other with resets
// don't loop. It returns ErrShort if the datagram is too short to be answered.
func AppendReset(dst []byte, keys *Keys, datagram []byte) ([]byte, error) {
	parsed, err := ParseQUIC(datagram)
	if err != nil {
		return dst, err
	}
	if parsed.Type != Short {
		return dst, ErrMalformed
	}
	length := min(len(datagram)-1, _maxReset)
	if length < _minReset {
		return dst, ErrShort
	}
	token, err := ResetToken(keys, parsed.DCID)
	if err != nil {
		return dst, err
	}
	start := len(dst)
	dst = append(dst, make([]byte, length-ResetTokenLen)...)
	if _, err := rand.Read(dst[start:]); err != nil {
		return dst[:start], err
	}
	const fixedBit = 0x40
	dst[start] = dst[start]&^_longBit | fixedBit
	return append(dst, token[:]...), nil
}

// MinResettable is the length of the shortest datagram that can be answered by a reset.
const MinResettable = _minReset + 1
