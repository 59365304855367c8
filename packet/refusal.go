package packet

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
)

// initialScheme holds the parameters by which one version of QUIC protects Initial packets
// (RFC 9001, 5.2 and RFC 9369, 3.3). The keys are derived from the destination connection
// ID that the caller chose, so that anyone who receives the Initial can answer it.
type initialScheme struct {
	salt           string
	firstByte      byte
	keyLabel       string
	ivLabel        string
	headerKeyLabel string
}

func initialSchemeOf(version uint32) initialScheme {
	if version == _version2 {
		return initialScheme{
			salt:           "\x0d\xed\xe3\xde\xf7\x00\xa6\xdb\x81\x93\x81\xbe\x6e\x26\x9d\xcb\xf9\xbd\x2e\xd9",
			firstByte:      0xd0,
			keyLabel:       "quicv2 key",
			ivLabel:        "quicv2 iv",
			headerKeyLabel: "quicv2 hp",
		}
	}
	return initialScheme{
		salt:           "\x38\x76\x2c\xf7\xf5\x59\x34\xb3\x4d\x17\x9a\xe6\xa4\xc8\x0c\xad\xcc\xbb\x7f\x0a",
		firstByte:      0xc0,
		keyLabel:       "quic key",
		ivLabel:        "quic iv",
		headerKeyLabel: "quic hp",
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

// AppendRefusal appends an Initial packet with a CONNECTION_CLOSE frame to dst, so that the
// caller that sent initial learns at once that its flow is refused. The answer is much
// shorter than the caller's Initial, so it does not amplify traffic to a spoofed address.
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
	dst = append(dst, scheme.firstByte|_packetNumberLen-1)
	dst = binary.BigEndian.AppendUint32(dst, version)
	dst = append(append(dst, byte(len(caller))), caller...)
	dst = append(append(dst, byte(len(parsed.DCID))), parsed.DCID...)
	const noToken = 0
	const twoOctets = 0x4000
	dst = append(dst, noToken)
	dst = binary.BigEndian.AppendUint16(dst, uint16(twoOctets|(_packetNumberLen+len(_connectionRefused)+_aeadTagLen)))
	numberAt := len(dst)
	dst = append(dst, make([]byte, _packetNumberLen)...)
	return scheme.protect(dst, start, numberAt, parsed.DCID)
}

// sourceCID returns the source connection ID of a long header packet.
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

// protect appends the encrypted frame to the header buf[start:] and applies header
// protection. numberAt is the index of the packet number in buf; the packet number is zero.
func (s *initialScheme) protect(buf []byte, start, numberAt int, dcid []byte) ([]byte, error) {
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
	nonce, err := expandLabel(secret, s.ivLabel, _aeadNonceLen)
	if err != nil {
		return buf[:start], err
	}
	block, err := newBlock(secret, s.headerKeyLabel)
	if err != nil {
		return buf[:start], err
	}
	buf = aead.Seal(buf, nonce, []byte(_connectionRefused), buf[start:])
	var mask [_blockLen]byte
	block.Encrypt(mask[:], buf[numberAt+_packetNumberLen:][:_blockLen])
	const longHeaderBits = 0x0f
	buf[start] ^= mask[0] & longHeaderBits
	for i := range _packetNumberLen {
		buf[numberAt+i] ^= mask[1+i]
	}
	return buf, nil
}

func (s *initialScheme) aead(secret []byte) (cipher.AEAD, error) {
	block, err := newBlock(secret, s.keyLabel)
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

// expandLabel implements HKDF-Expand-Label of TLS 1.3 with an empty context.
func expandLabel(secret []byte, label string, length int) ([]byte, error) {
	const prefix = "tls13 "
	info := binary.BigEndian.AppendUint16(nil, uint16(length))
	info = append(info, byte(len(prefix)+len(label)))
	info = append(info, prefix+label...)
	info = append(info, 0)
	return hkdf.Expand(sha256.New, secret, string(info), length)
}
