package packet

import (
	"net/netip"
	"testing"
)

func BenchmarkSeal(b *testing.B) {
	keys := testKeys(b, 1)
	var s Sealer
	cid := CID{Service: 1, Agent: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 1}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = s.Seal(keys, 1, cid)
	}
}

func BenchmarkOpen(b *testing.B) {
	keys := testKeys(b, 1)
	var s Sealer
	octets, _ := s.Seal(keys, 1, CID{Service: 1, Agent: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 1})
	b.ReportAllocs()
	for b.Loop() {
		_, _ = s.Open(keys, octets[:])
	}
}

func BenchmarkWrap1200(b *testing.B) {
	keys, header, buf := testKeys(b, 1), testHeader(), make([]byte, MaxWrapped)
	b.SetBytes(1200)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = Wrap(keys, &header, buf, 1200)
	}
}

func BenchmarkUnwrap1200(b *testing.B) {
	keys := testKeys(b, 1)
	wrapped := wrap(b, keys, testHeader(), make([]byte, 1200))
	b.SetBytes(1200)
	b.ReportAllocs()
	for b.Loop() {
		_, _, _ = Unwrap(keys, wrapped)
	}
}

func BenchmarkAppendReset(b *testing.B) {
	keys := testKeys(b, 1)
	datagram := make([]byte, 100)
	datagram[0], datagram[1] = 0x40, 1<<_rotationShift|_blockLen
	var out []byte
	b.ReportAllocs()
	for b.Loop() {
		out, _ = AppendReset(out[:0], keys, datagram)
	}
}
