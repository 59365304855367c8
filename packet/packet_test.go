package packet

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/service"
)

func testSpec(n KeyNumber) KeySpec {
	part := func(length int) []byte { return bytes.Repeat([]byte{byte(n) + 1}, length) }
	return KeySpec{Number: n, CID: part(16), MAC: part(16), Reset: part(32), Token: part(32)}
}

func testKeys(t testing.TB, numbers ...KeyNumber) *Keys {
	file := KeyFile{Current: numbers[0]}
	for _, n := range numbers {
		file.Keys = append(file.Keys, testSpec(n))
	}
	keys, err := NewKeys(file)
	assert.NilError(t, err)
	return keys
}

func TestNewKeysErrors(t *testing.T) {
	short := testSpec(1)
	short.MAC, short.Reset = short.MAC[1:], nil
	for want, file := range map[string]KeyFile{
		"keys[0]":                         {Current: 1, Keys: []KeySpec{short}},
		"mac: 15 octets":                  {Current: 1, Keys: []KeySpec{short}},
		"reset: 0 octets":                 {Current: 1, Keys: []KeySpec{short}},
		"number 7: want 0 to 6":           {Current: 7, Keys: []KeySpec{testSpec(7)}},
		"keys[1].number 1: listed twice":  {Current: 1, Keys: []KeySpec{testSpec(1), testSpec(1)}},
		"current 2: not listed in keys":   {Current: 2, Keys: []KeySpec{testSpec(1)}},
		"current 255: not listed in keys": {Current: 255, Keys: []KeySpec{testSpec(1)}},
		"current 0: not listed in keys":   {},
	} {
		_, err := NewKeys(file)
		assert.ErrorContains(t, err, want)
	}
}

func TestReadKeys(t *testing.T) {
	data, err := json.Marshal(KeyFile{Current: 2, Keys: []KeySpec{testSpec(2), testSpec(3)}})
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "keys.json")
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	keys, err := ReadKeys(file)
	assert.NilError(t, err)
	assert.Equal(t, keys.Current(), KeyNumber(2))
	_, err = ReadKeys(file + ".absent")
	assert.ErrorContains(t, err, "reading keys")
}

func drawAddr(t *rapid.T, name string) netip.AddrPort {
	ip := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, name)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), rapid.Uint16Range(1, 65535).Draw(t, name+" port"))
}

func drawCID(t *rapid.T) CID {
	return CID{
		Service:     service.ID(rapid.Uint16Range(1, 65535).Draw(t, "service")),
		Agent:       drawAddr(t, "agent"),
		Incarnation: service.Incarnation(rapid.Uint32Range(1, 1<<32-1).Draw(t, "incarnation")),
		Nonce:       rapid.Uint32Range(0, MaxNonce).Draw(t, "nonce"),
	}
}

func TestCIDRoundTrip(t *testing.T) {
	keys := testKeys(t, 1, 6)
	rapid.Check(t, func(t *rapid.T) {
		var s Sealer
		want := drawCID(t)
		n := rapid.SampledFrom([]KeyNumber{1, 6}).Draw(t, "key")
		octets, err := s.Seal(keys, n, want)
		assert.NilError(t, err)
		got, err := s.Open(keys, octets[:])
		assert.NilError(t, err)
		assert.Equal(t, got, want)
		for cut := range octets {
			_, err := s.Open(keys, octets[:cut])
			assert.ErrorIs(t, err, ErrShort)
		}
	})
}

// TestForeignCIDs checks that connection IDs that were sealed with another key, or are
// random, are not opened.
func TestForeignCIDs(t *testing.T) {
	var s Sealer
	keys, others := testKeys(t, 1), testKeys(t, 2)
	cid := CID{Service: 1, Agent: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 1}
	octets, err := s.Seal(others, 2, cid)
	assert.NilError(t, err)
	_, err = s.Open(keys, octets[:])
	assert.ErrorIs(t, err, ErrUnknownKey)
	_, err = s.Seal(keys, 2, cid)
	assert.ErrorIs(t, err, ErrUnknownKey)
	octets[0] = 1<<_rotationShift | 3
	_, err = s.Open(keys, octets[:])
	assert.ErrorIs(t, err, ErrMalformed)
	cid.Agent = netip.MustParseAddrPort("[::1]:7000")
	_, err = s.Seal(keys, 1, cid)
	assert.ErrorIs(t, err, ErrMalformed)

	// About one in 256 random blocks passes the 8-bit check.
	passed := 0
	for i := range 1 << 16 {
		octets[0] = 1<<_rotationShift | _blockLen
		octets[1], octets[2] = byte(i), byte(i>>8)
		if _, err := s.Open(keys, octets[:]); err == nil {
			passed++
		}
	}
	assert.Check(t, passed > 128 && passed < 512, "%d", passed)
}

func testHeader() Header {
	addr := netip.MustParseAddrPort
	return Header{
		Kind: Offer, Hop: 1, Service: 7, Caller: addr("192.0.2.1:4000"), Address: addr("198.51.100.1:443"),
		Balancer: addr("10.0.0.9:7000"), Count: 2,
		Candidates: [MaxCandidates]netip.AddrPort{addr("10.0.0.1:7000"), addr("10.0.0.2:7000")},
	}
}

func wrap(t testing.TB, keys *Keys, h Header, payload []byte) []byte {
	buf := make([]byte, len(payload)+Overhead)
	copy(buf[HeaderLen:], payload)
	wrapped, err := Wrap(keys, &h, buf, len(payload))
	assert.NilError(t, err)
	return wrapped
}

func TestWrapRoundTrip(t *testing.T) {
	keys := testKeys(t, 1)
	rapid.Check(t, func(t *rapid.T) {
		h := Header{
			Kind:    rapid.SampledFrom([]Kind{Flow, Offer, Reply, Notice}).Draw(t, "kind"),
			Service: service.ID(rapid.Uint16Range(1, 65535).Draw(t, "service")),
			Caller:  drawAddr(t, "caller"), Address: drawAddr(t, "address"), Balancer: drawAddr(t, "balancer"),
			Count: rapid.Uint8Range(1, MaxCandidates).Draw(t, "count"),
		}
		for i := range h.Count {
			h.Candidates[i] = drawAddr(t, "candidate")
		}
		if h.Kind == Offer {
			h.Hop = rapid.Uint8Range(0, h.Count-1).Draw(t, "hop")
		}
		payload := rapid.SliceOfN(rapid.Byte(), 0, MaxDatagram).Draw(t, "payload")
		buf := make([]byte, len(payload)+Overhead)
		copy(buf[HeaderLen:], payload)
		wrapped, err := Wrap(keys, &h, buf, len(payload))
		assert.NilError(t, err)
		got, datagram, err := Unwrap(keys, wrapped)
		assert.NilError(t, err)
		assert.Equal(t, got, h)
		assert.DeepEqual(t, datagram, payload)
		bit := rapid.IntRange(0, len(wrapped)*8-1).Draw(t, "bit")
		wrapped[bit/8] ^= 1 << (bit % 8)
		_, _, err = Unwrap(keys, wrapped)
		assert.Check(t, err != nil, "bit %d is not covered by the MAC", bit)
	})
}

func TestWrapRejectsInvalidHeaders(t *testing.T) {
	keys := testKeys(t, 1)
	for name, edit := range map[string]func(h *Header){
		"kind 0":      func(h *Header) { h.Kind = 0 },
		"kind 5":      func(h *Header) { h.Kind = 5 },
		"hop":         func(h *Header) { h.Hop = 2 },
		"hop of flow": func(h *Header) { h.Kind = Flow },
		"service":     func(h *Header) { h.Service = 0 },
		"count":       func(h *Header) { h.Count = MaxCandidates + 1 },
		"candidate":   func(h *Header) { h.Candidates[1] = netip.AddrPort{} },
		"caller":      func(h *Header) { h.Caller = netip.MustParseAddrPort("[2001:db8::1]:1") },
		"port":        func(h *Header) { h.Balancer = netip.AddrPortFrom(h.Balancer.Addr(), 0) },
	} {
		h := testHeader()
		edit(&h)
		_, err := Wrap(keys, &h, make([]byte, 200), 10)
		assert.ErrorIs(t, err, ErrMalformed, name)
	}
	h := testHeader()
	_, err := Wrap(keys, &h, make([]byte, 2000), MaxDatagram+1)
	assert.ErrorIs(t, err, ErrLarge)
	_, err = Wrap(keys, &h, make([]byte, 10+Overhead-1), 10)
	assert.ErrorIs(t, err, ErrShort)
}

// TestKeyRotation goes through the stages of a key rotation. Processes that are at most one
// stage apart must accept each other's packets, connection IDs and resets.
func TestKeyRotation(t *testing.T) {
	var s Sealer
	cid := CID{Service: 1, Agent: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 1}
	stages := []*Keys{testKeys(t, 1), testKeys(t, 1, 2), testKeys(t, 2, 1), testKeys(t, 2)}
	for i, sender := range stages {
		wrapped := wrap(t, sender, testHeader(), []byte("datagram"))
		octets, err := s.Seal(sender, sender.Current(), cid)
		assert.NilError(t, err)
		for j, receiver := range stages {
			_, _, wrapErr := Unwrap(receiver, wrapped)
			_, cidErr := s.Open(receiver, octets[:])
			_, resetErr := ResetToken(receiver, octets[:])
			neighbours := i-j <= 1 && j-i <= 1
			for _, err := range []error{wrapErr, cidErr, resetErr} {
				assert.Check(t, err == nil || !neighbours, "stage %d to %d: %v", i, j, err)
			}
		}
	}
}

func TestReset(t *testing.T) {
	keys := testKeys(t, 1)
	var s Sealer
	cid, err := s.Seal(keys, 1, CID{Service: 1, Agent: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 1})
	assert.NilError(t, err)
	mac := hmac.New(sha256.New, testSpec(1).Reset)
	mac.Write(cid[:])
	want := mac.Sum(nil)[:ResetTokenLen]
	for _, length := range []int{0, 1, CIDLen, MinResettable - 1, MinResettable, 40, 43, 44, 1200} {
		datagram := append([]byte{0x40}, append(cid[:], make([]byte, 1200)...)...)[:length]
		got, err := AppendReset(nil, keys, datagram)
		if length < MinResettable {
			assert.Check(t, err != nil && len(got) == 0, "length %d", length)
			continue
		}
		assert.NilError(t, err)
		assert.Check(t, len(got) < length && len(got) <= _maxReset, "length %d", length)
		assert.Equal(t, got[0]&0xc0, byte(0x40))
		assert.DeepEqual(t, got[len(got)-ResetTokenLen:], want)
	}
	_, err = AppendReset(nil, keys, bytes.Repeat([]byte{0xc0}, 1200))
	assert.Check(t, err != nil, "a long header packet was answered")
}

func TestParseQUIC(t *testing.T) {
	long := func(first byte, version string, length, rest int) []byte {
		return append([]byte{first, version[0], version[1], version[2], version[3], byte(length)}, make([]byte, rest)...)
	}
	const v1, v2, other = "\x00\x00\x00\x01", "\x6b\x33\x43\xcf", "\x00\x00\x00\x02"
	for name, c := range map[string]struct {
		datagram []byte
		kind     Type
		length   int
		err      error
	}{
		"empty":          {nil, 0, 0, ErrShort},
		"short":          {make([]byte, 18), Short, 17, nil},
		"cut short":      {make([]byte, 17), 0, 0, ErrShort},
		"initial":        {long(0xc0, v1, 8, 20), Initial, 8, nil},
		"early data":     {long(0xd0, v1, 8, 20), EarlyData, 8, nil},
		"handshake":      {long(0xe0, v1, 20, 20), Handshake, 20, nil},
		"retry":          {long(0xf0, v1, 0, 1), Retry, 0, nil},
		"initial v2":     {long(0xd0, v2, 8, 20), Initial, 8, nil},
		"retry v2":       {long(0xc0, v2, 8, 20), Retry, 8, nil},
		"other version":  {long(0xc0, other, 255, 255), OtherVersion, 255, nil},
		"long CID":       {long(0xc0, v1, 21, 30), 0, 0, ErrMalformed},
		"cut CID":        {long(0xc0, v1, 8, 7), 0, 0, ErrShort},
		"cut before CID": {long(0xc0, v1, 8, 0), 0, 0, ErrShort},
		"cut version":    {[]byte{0xc0, 0, 0}, 0, 0, ErrShort},
	} {
		got, err := ParseQUIC(c.datagram)
		assert.Check(t, errors.Is(err, c.err) && got.Type == c.kind && len(got.DCID) == c.length, "%s: %+v %v", name, got, err)
	}
}

// codecs returns the encoders and decoders of the packet path, each with valid input
// except "forged".
func codecs(t testing.TB) map[string]func() {
	keys := testKeys(t, 1)
	var s Sealer
	cid := CID{Service: 1, Agent: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 1}
	octets, err := s.Seal(keys, 1, cid)
	assert.NilError(t, err)
	wrapped := wrap(t, keys, testHeader(), make([]byte, 1200))
	forged := append([]byte(nil), wrapped...)
	forged[100]++
	header, buf := testHeader(), make([]byte, MaxWrapped)
	return map[string]func(){
		"seal":   func() { _, _ = s.Seal(keys, 1, cid) },
		"open":   func() { _, _ = s.Open(keys, octets[:]) },
		"wrap":   func() { _, _ = Wrap(keys, &header, buf, 1200) },
		"unwrap": func() { _, _, _ = Unwrap(keys, wrapped) },
		"forged": func() { _, _, _ = Unwrap(keys, forged) },
		"parse":  func() { _, _ = ParseQUIC(wrapped) },
	}
}

func TestCodecsDoNotAllocate(t *testing.T) {
	for name, f := range codecs(t) {
		assert.Equal(t, testing.AllocsPerRun(100, f), 0.0, name)
	}
}

// BenchmarkCodec measures each codec with a datagram of 1,200 octets, and making a reset
// and a refusal.
func BenchmarkCodec(b *testing.B) {
	all := codecs(b)
	datagram := append([]byte{0x40, 1<<_rotationShift | _blockLen}, make([]byte, 100)...)
	keys := testKeys(b, 1)
	all["reset"] = func() { _, _ = AppendReset(nil, keys, datagram) }
	initial := append([]byte{0xc0, 0, 0, 0, 1, 8}, make([]byte, 1200)...)
	all["refusal"] = func() { _, _ = AppendRefusal(nil, initial) }
	for name, f := range all {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f()
			}
		})
	}
}
