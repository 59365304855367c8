package packet

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

func FuzzUnwrap(f *testing.F) {
	keys := testKeys(f, 1)
	wrapped := wrap(f, keys, testHeader(), []byte("datagram"))
	f.Add(wrapped)
	f.Add(wrapped[:Overhead-1])
	f.Add(make([]byte, MaxWrapped+1))
	f.Fuzz(func(t *testing.T, packet []byte) {
		h, datagram, err := Unwrap(keys, packet)
		if err != nil {
			return
		}
		assert.DeepEqual(t, wrap(t, keys, h, datagram), packet)
	})
}

// FuzzHeader adds a valid MAC to the fuzzer's headers, so that they reach the decoder.
func FuzzHeader(f *testing.F) {
	keys := testKeys(f, 1)
	f.Add(wrap(f, keys, testHeader(), nil)[:HeaderLen])
	f.Fuzz(func(t *testing.T, header []byte) {
		if len(header) != HeaderLen {
			return
		}
		var h Header
		h.decode(header)
		if !h.valid() {
			return
		}
		wrapped := wrap(t, keys, h, nil)
		got, _, err := Unwrap(keys, wrapped)
		assert.NilError(t, err)
		assert.Equal(t, got, h)
	})
}

func FuzzOpen(f *testing.F) {
	keys := testKeys(f, 1)
	f.Add([]byte{1<<_rotationShift | _blockLen, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, octets []byte) {
		var s Sealer
		cid, err := s.Open(keys, octets)
		if err != nil {
			return
		}
		sealed, err := s.Seal(keys, 1, cid)
		assert.NilError(t, err)
		assert.DeepEqual(t, sealed[:], octets)
	})
}

func FuzzParseQUIC(f *testing.F) {
	f.Add([]byte{0x40, 1, 2, 3})
	f.Add([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	keys := testKeys(f, 1)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		parsed, err := ParseQUIC(datagram)
		assert.Check(t, err != nil || parsed.Type >= Short && parsed.Type <= OtherVersion)
		answer, err := AppendReset(nil, keys, datagram)
		assert.Check(t, err != nil || len(answer) < len(datagram))
		refusal, err := AppendRefusal(nil, datagram)
		assert.Check(t, err != nil || len(refusal) <= 100)
	})
}

func FuzzParseKeys(f *testing.F) {
	data, err := json.Marshal(KeyFile{Current: 1, Keys: []KeySpec{testSpec(1)}})
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte(`{"current":9,"keys":[{"number":200}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		keys, err := ParseKeys(data)
		assert.Check(t, err != nil || keys.find(keys.Current()) != nil)
	})
}

func FuzzParseLoad(f *testing.F) {
	f.Add([]byte{0, 0, 1, 2, 1})
	f.Add([]byte{0, 0, 1, 2, 2})
	f.Fuzz(func(t *testing.T, octets []byte) {
		load, err := ParseLoad(octets)
		if err != nil {
			return
		}
		var encoded [LoadLen]byte
		load.Put(encoded[:])
		assert.DeepEqual(t, encoded[:], octets)
	})
}
