package ticket

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/service"
)

// ErrForeign means that a text does not have the form of a ticket. No request was ever run
// with it as its ticket.
var ErrForeign = errors.New("not a ticket")

// ErrUnverified means that a text has the form of a ticket but its MAC cannot be verified:
// it was altered, or its key is no longer accepted. The outcome of its request is unknown.
var ErrUnverified = errors.New("ticket cannot be verified")

// The layout of a sealed ticket: a prefix that identifies the format and its version,
// followed by the fixed-size fields and the MAC over them, in base64url.
const (
	_prefix      = "dht1."
	_fieldsBytes = 1 + 2 + 4 + 2 + 4 + 8 + 8
	_macBytes    = 16
	_minKeyBytes = 16
)

// Key is one key of a key file.
type Key struct {
	// Number identifies the key in tickets; 1 to 255.
	Number uint8 `json:"number"`
	// Ticket is the secret, at least 16 bytes, base64 in JSON.
	Ticket []byte `json:"ticket"`
}

// Keys seals and opens tickets. It is immutable and safe for concurrent use.
//
// To rotate keys, list the new key in every agent's key file, then make it current, and
// remove the old key once all tickets sealed with it have expired.
type Keys struct {
	current Key
	secrets map[uint8][]byte
}

// keyFile is the JSON form of a key file.
type keyFile struct {
	Current uint8 `json:"current"`
	Keys    []Key `json:"keys"`
}

// ParseKeys decodes and checks a key file, which has the number of the current key and all
// keys that are accepted.
func ParseKeys(data []byte) (*Keys, error) {
	var file keyFile
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&file); err != nil {
		return nil, trace.BadParameter("ticket keys: %v", err)
	}
	return NewKeys(file.Current, file.Keys...)
}

// NewKeys returns Keys that seal with the key numbered current and open tickets of all
// keys. Its error lists everything that is invalid.
func NewKeys(current uint8, keys ...Key) (*Keys, error) {
	var findings []error
	k := &Keys{secrets: make(map[uint8][]byte, len(keys))}
	for i, key := range keys {
		if key.Number == 0 {
			findings = append(findings, trace.BadParameter("ticket keys[%d]: number 0, want 1 to 255", i))
		}
		if len(key.Ticket) < _minKeyBytes {
			findings = append(findings, trace.BadParameter("ticket keys[%d]: %d bytes, want %d or more", i, len(key.Ticket), _minKeyBytes))
		}
		if _, duplicate := k.secrets[key.Number]; duplicate {
			findings = append(findings, trace.BadParameter("ticket keys[%d]: number %d is listed twice", i, key.Number))
		}
		k.secrets[key.Number] = bytes.Clone(key.Ticket)
	}
	secret, ok := k.secrets[current]
	if !ok {
		findings = append(findings, trace.BadParameter("ticket keys: current key %d is not listed", current))
	}
	if len(findings) > 0 {
		return nil, trace.NewAggregate(findings...)
	}
	k.current = Key{Number: current, Ticket: secret}
	return k, nil
}

// Seal encodes t, with a MAC, as a text for an Idempotency-Key header. It returns an error
// if the agent's address is not an IPv4 address with a port.
func (k *Keys) Seal(t Ticket) (string, error) {
	if err := service.CheckAddress("ticket agent", t.Agent); err != nil {
		return "", trace.Wrap(err, "seal ticket")
	}
	buf := make([]byte, 0, _fieldsBytes+_macBytes)
	ip := t.Agent.Addr().Unmap().As4()
	buf = append(buf, k.current.Number)
	buf = binary.BigEndian.AppendUint16(buf, uint16(t.Service))
	buf = append(buf, ip[:]...)
	buf = binary.BigEndian.AppendUint16(buf, t.Agent.Port())
	buf = binary.BigEndian.AppendUint32(buf, uint32(t.Incarnation))
	buf = binary.BigEndian.AppendUint64(buf, uint64(t.Number))
	buf = binary.BigEndian.AppendUint64(buf, uint64(t.Expiry.UnixMilli()))
	buf = appendMAC(buf, k.current.Ticket)
	return _prefix + base64.RawURLEncoding.EncodeToString(buf), nil
}

// Open decodes and verifies a sealed ticket. It accepts quotes around the text, as in the
// Idempotency-Key header. It returns ErrForeign or ErrUnverified if the text is not a valid
// ticket.
func (k *Keys) Open(text string) (Ticket, error) {
	text = strings.Trim(text, ` "`)
	encoded, ok := strings.CutPrefix(text, _prefix)
	if !ok {
		return Ticket{}, ErrForeign
	}
	buf, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil || len(buf) != _fieldsBytes+_macBytes {
		return Ticket{}, ErrUnverified
	}
	fields := buf[:_fieldsBytes:_fieldsBytes]
	secret, ok := k.secrets[fields[0]]
	if !ok || !hmac.Equal(appendMAC(fields, secret), buf) {
		return Ticket{}, ErrUnverified
	}
	return decodeFields(fields), nil
}

// decodeFields reads the verified fields of a ticket.
func decodeFields(fields []byte) Ticket {
	ip := netip.AddrFrom4([4]byte(fields[3:7]))
	expiry := int64(binary.BigEndian.Uint64(fields[21:29]))
	return Ticket{
		Service:     service.ID(binary.BigEndian.Uint16(fields[1:3])),
		Agent:       netip.AddrPortFrom(ip, binary.BigEndian.Uint16(fields[7:9])),
		Incarnation: service.Incarnation(binary.BigEndian.Uint32(fields[9:13])),
		Number:      Number(binary.BigEndian.Uint64(fields[13:21])),
		Expiry:      time.UnixMilli(expiry).UTC(),
	}
}

// appendMAC appends the MAC of fields to them.
func appendMAC(fields, secret []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(fields)
	return append(fields, mac.Sum(nil)[:_macBytes]...)
}
