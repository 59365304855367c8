package packet

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
)

// initialScheme is how one version of QUIC protects Initial packets (RFC 9001,
// 5.2 and RFC 9369, 3.3). The keys follow from the caller's connection ID, so
// that anyone who sees it can answer.
type initialScheme struct {
	salt     string
	first    byte
	key      string
	iv       string
	headerID string
}

func initialSchemeOf(version uint32) initialScheme {
	if version == _version2 {
		return initialScheme{
			salt:     "\x0d\xed\xe3\xde\xf7\x00\xa6\xdb\x81\x93\x81\xbe\x6e\x26\x9d\xcb\xf9\xbd\x2e\xd9",
			first:    0xd0,
			key:      "quicv2 key",
			iv:       "quicv2 iv",
			headerID: "quicv2 hp",
		}
	}
	return initialScheme{
		salt:     "\x38\x76\x2c\xf7\xf5\x59\x34\xb3\x4d\x17\x9a\xe6\xa4\xc8\x0c\xad\xcc\xbb\x7f\x0a",
		first:    0xc0,
		key:      "quic key",
		iv:       "quic iv",
		headerID: "quic hp",
	}
}

// Lengths of an Initial packet's parts in octets.
const (
	_packetNumberLen = 4
	_aeadKeyLen      = 16
	_aeadNonceLen    = 12
	_aeadTagLen      = 16
)

// _connectionRefused is a CONNECTION_CLOSE frame with the error CONNECTION_REFUSED,
// no frame type and no reason.
const _connectionRefused = "\x1c\x02\x00\x00"

// AppendRefusal appends the answer to an Initial that tells the caller at once
// that its flow is refused. It is much shorter than the Initial.
func AppendRefusal(dst, initial []byte) ([]byte, error) {
	parsed, err := ParseQUIC(initial)
	if err != nil {
		return dst, err
	}
	if parsed.Type != Initial {
		return dst, ErrMalformed
	}
	caller, err := sourceCID(initial, parsed)
	if err != nil {
		return dst, err
	}
	version := binary.BigEndian.Uint32(initial[_quicVersion:])
	scheme := initialSchemeOf(version)
	start := len(dst)
	dst = append(dst, scheme.first|_packetNumberLen-1)
	dst = binary.BigEndian.AppendUint32(dst, version)
	dst = append(append(dst, byte(len(caller))), caller...)
	dst = append(append(dst, byte(len(parsed.DCID))), parsed.DCID...)
	const noToken = 0
	const twoOctets = 0x4000
	dst = append(dst, noToken)
	dst = binary.BigEndian.AppendUint16(dst, uint16(twoOctets|(_packetNumberLen+len(_connectionRefused)+_aeadTagLen)))
	number := len(dst)
	dst = append(dst, make([]byte, _packetNumberLen)...)
	return scheme.protect(dst, start, number, parsed.DCID)
}

// sourceCID is the connection ID that the sender of a long header packet chose for itself.
func sourceCID(datagram []byte, parsed QUIC) ([]byte, error) {
	at := _dcidAt + len(parsed.DCID)
	if len(datagram) <= at {
		return nil, ErrShort
	}
	length := int(datagram[at])
	if length > _maxCIDLen {
		return nil, ErrMalformed
	}
	if len(datagram) < at+1+length {
		return nil, ErrShort
	}
	return datagram[at+1 : at+1+length], nil
}

// protect encrypts the frame behind the header buf[start:], whose packet number
// is at number, and protects the header. The packet number is zero.
func (s *initialScheme) protect(buf []byte, start, number int, dcid []byte) ([]byte, error) {
	secret, err := hkdf.Extract(sha256.New, dcid, []byte(s.salt))
	if err != nil {
		return buf[:start], err
	}
	secret, err = expandLabel(secret, "server in", sha256.Size)
	if err != nil {
		return buf[:start], err
	}
	aead, err := s.aead(secret)
	if err != nil {
		return buf[:start], err
	}
	nonce, err := expandLabel(secret, s.iv, _aeadNonceLen)
	if err != nil {
		return buf[:start], err
	}
	block, err := newBlock(secret, s.headerID)
	if err != nil {
		return buf[:start], err
	}
	buf = aead.Seal(buf, nonce, []byte(_connectionRefused), buf[start:])
	var mask [_blockLen]byte
	block.Encrypt(mask[:], buf[number+_packetNumberLen:][:_blockLen])
	const longHeaderBits = 0x0f
	buf[start] ^= mask[0] & longHeaderBits
	for i := range _packetNumberLen {
		buf[number+i] ^= mask[1+i]
	}
	return buf, nil
}

func (s *initialScheme) aead(secret []byte) (cipher.AEAD, error) {
	block, err := newBlock(secret, s.key)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

func newBlock(secret []byte, label string) (cipher.Block, error) {
	key, err := expandLabel(secret, label, _aeadKeyLen)
	if err != nil {
		return nil, err
	}
	return aes.NewCipher(key)
}

// expandLabel is HKDF-Expand-Label of TLS 1.3 without a context.
func expandLabel(secret []byte, label string, length int) ([]byte, error) {
	const prefix = "tls13 "
	info := binary.BigEndian.AppendUint16(nil, uint16(length))
	info = append(info, byte(len(prefix)+len(label)))
	info = append(info, prefix+label...)
	info = append(info, 0)
	return hkdf.Expand(sha256.New, secret, string(info), length)
}
