package packet

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"encoding/json"
	"os"

	"github.com/gravitational/trace"
)

// KeyNumber identifies one key of a key file.
type KeyNumber uint8

// MaxKeyNumber is the highest key number. The rotation octet has 3 bits for the number,
// whose highest value, 7, is reserved.
const MaxKeyNumber KeyNumber = 6

// Lengths of the parts of a key in octets.
const (
	_cidKeyLen   = 16
	_macKeyLen   = 16
	_resetKeyLen = 32
	_tokenKeyLen = 32
)

// _maxKeyFileLen is the maximum size of a key file in octets.
const _maxKeyFileLen = 64 << 10

// KeySpec is one key as written in a key file, where its parts are in base64.
type KeySpec struct {
	Number KeyNumber `json:"number"`
	// CID encrypts connection IDs (16 octets).
	CID []byte `json:"cid"`
	// MAC signs wrapped packets (16 octets).
	MAC []byte `json:"mac"`
	// Reset derives stateless reset tokens (32 octets).
	Reset []byte `json:"reset"`
	// Token encrypts address validation tokens (32 octets).
	Token []byte `json:"token"`
}

// KeyFile is the JSON form of Keys.
type KeyFile struct {
	// Current is the number of the key that is used for encoding. All listed keys are
	// accepted for decoding. To rotate keys, list the new key in the files of all
	// processes, then make it current, and keep the old one listed until all flows that
	// use it have ended.
	Current KeyNumber `json:"current"`
	Keys    []KeySpec `json:"keys"`
}

// Keys are the parsed keys of one key file. They are immutable and safe for
// concurrent use.
type Keys struct {
	current KeyNumber
	keys    [MaxKeyNumber + 1]*key
}

type key struct {
	cid    cipher.Block
	k0, k1 uint64
	reset  [_resetKeyLen]byte
	token  [_tokenKeyLen]byte
}

// NewKeys checks and parses a key file's content. Its error lists everything that is
// invalid.
func NewKeys(file KeyFile) (*Keys, error) {
	keys := &Keys{current: file.Current}
	var findings []error
	for i, spec := range file.Keys {
		parsed, err := parseKey(spec)
		switch {
		case err != nil:
			findings = append(findings, trace.Wrap(err, "keys[%d]", i))
		case keys.keys[spec.Number] != nil:
			findings = append(findings, trace.BadParameter("keys[%d].number %d: listed twice", i, spec.Number))
		default:
			keys.keys[spec.Number] = parsed
		}
	}
	if len(findings) == 0 && keys.find(file.Current) == nil {
		findings = append(findings, trace.BadParameter("current %d: not listed in keys", file.Current))
	}
	if err := trace.NewAggregate(findings...); err != nil {
		return nil, trace.Wrap(err, "checking keys")
	}
	return keys, nil
}

// ParseKeys decodes and checks a key file.
func ParseKeys(data []byte) (*Keys, error) {
	if len(data) > _maxKeyFileLen {
		return nil, trace.BadParameter("parsing keys: %d octets, want at most %d", len(data), _maxKeyFileLen)
	}
	var file KeyFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, trace.BadParameter("parsing keys: %v", err)
	}
	return NewKeys(file)
}

// ReadKeys reads and checks the key file at path.
func ReadKeys(path string) (*Keys, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "reading keys")
	}
	return ParseKeys(data)
}

// Current returns the number of the key that is used for encoding.
func (k *Keys) Current() KeyNumber { return k.current }

// ResetKey returns the key for stateless reset tokens of connection IDs that were sealed
// with key number n, or ErrUnknownKey.
func (k *Keys) ResetKey(n KeyNumber) ([_resetKeyLen]byte, error) {
	found := k.find(n)
	if found == nil {
		return [_resetKeyLen]byte{}, ErrUnknownKey
	}
	return found.reset, nil
}

// TokenKey returns the key for address validation tokens of key number n, or
// ErrUnknownKey. All agents of a service share it, so that each accepts the tokens in the
// Retry packets of the others.
func (k *Keys) TokenKey(n KeyNumber) ([_tokenKeyLen]byte, error) {
	found := k.find(n)
	if found == nil {
		return [_tokenKeyLen]byte{}, ErrUnknownKey
	}
	return found.token, nil
}

// find returns the key with the given number, or nil if it is not listed.
func (k *Keys) find(n KeyNumber) *key {
	if n > MaxKeyNumber {
		return nil
	}
	return k.keys[n]
}

func parseKey(spec KeySpec) (*key, error) {
	var findings []error
	if spec.Number > MaxKeyNumber {
		findings = append(findings, trace.BadParameter("number %d: want 0 to %d", spec.Number, MaxKeyNumber))
	}
	check := func(name string, part []byte, want int) {
		if len(part) != want {
			findings = append(findings, trace.BadParameter("%s: %d octets, want %d", name, len(part), want))
		}
	}
	check("cid", spec.CID, _cidKeyLen)
	check("mac", spec.MAC, _macKeyLen)
	check("reset", spec.Reset, _resetKeyLen)
	check("token", spec.Token, _tokenKeyLen)
	if len(findings) > 0 {
		return nil, trace.NewAggregate(findings...)
	}
	block, err := aes.NewCipher(spec.CID)
	if err != nil {
		return nil, trace.Wrap(err, "cid")
	}
	return &key{
		cid:   block,
		k0:    binary.LittleEndian.Uint64(spec.MAC[:8]),
		k1:    binary.LittleEndian.Uint64(spec.MAC[8:]),
		reset: [_resetKeyLen]byte(spec.Reset),
		token: [_tokenKeyLen]byte(spec.Token),
	}, nil
}
